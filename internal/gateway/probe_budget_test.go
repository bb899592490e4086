package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/token"
)

// probePlay plays requests at many servers, some of which are silent, in steps of 10 ms.
// A probe of a server that is up takes 10 ms, one of a silent server 120 ms.
type probePlay struct {
	*testInstance
	silent  map[string]bool
	down    map[string]time.Time
	ends    map[time.Time][]Probe
	started []time.Time
}

func newProbePlay(t *testing.T, servers int) *probePlay {
	var entries []registry.Entry
	for i := range servers {
		e := server(fmt.Sprintf("i-%08x", i+1), norte)
		e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		entries = append(entries, e)
	}
	return &probePlay{testInstance: newTestInstance(t, entries...), silent: map[string]bool{}, down: map[string]time.Time{}, ends: map[time.Time][]Probe{}}
}

func (p *probePlay) perform(actions []Action) {
	for _, a := range actions {
		probe, ok := a.(Probe)
		if !ok {
			continue
		}
		p.started = append(p.started, p.now)
		if probe.Control.IsValid() {
			p.started = append(p.started, p.now)
		}
		end := p.now.Add(10 * time.Millisecond)
		if p.silent[probe.Server] {
			end = p.now.Add(120 * time.Millisecond)
		}
		p.ends[end] = append(p.ends[end], probe)
	}
}

// requestPacket passes the packet of a request at the server; flows are told apart by n.
func (p *probePlay) requestPacket(name string, n uint32, ack uint32, length int) {
	srv := p.core.serverStates[p.core.servers.Record(name)]
	k := key(1)
	k.CallerIP += n
	_, actions := p.core.HandlePacket(p.now, &flow.Segment{Key: k, Seq: 1, Ack: ack, Length: length, Token: p.core.tokens.TokenFor(name, srv)})
	p.perform(actions)
}

// step advances by 10 ms.
func (p *probePlay) step() {
	p.advance(10 * time.Millisecond)
	for _, probe := range p.ends[p.now] {
		e := ProbeDone{Server: probe.Server, Result: reach.Answered}
		if p.silent[probe.Server] {
			e.Result, e.ControlAnswered = reach.NoAnswer, probe.Control.IsValid()
		}
		p.perform(p.core.HandleEvent(p.now, e))
		srv := p.core.serverStates[p.core.servers.Record(probe.Server)]
		if _, known := p.down[probe.Server]; !known && srv.reach.ConfirmedDown() {
			p.down[probe.Server] = p.now
		}
	}
	delete(p.ends, p.now)
	if p.now.UnixNano()%int64(TickInterval) == 0 {
		p.confirmSources()
		p.perform(p.core.HandleEvent(p.now, Tick{}))
	}
}

// Guards against probes that fill a narrow link when a data centre is lost, and against
// servers that are not found because their probes were skipped.
func TestProbesOfLostDataCentreStayWithinBudget(t *testing.T) {
	const servers, lost = 520, 500
	p := newProbePlay(t, servers)
	p.core.probeBudget = newProbeBudget(10e6)
	probesPerSecond, probeBurst := float64(p.core.probeBudget.Limit()), p.core.probeBudget.Burst()
	name := func(i int) string { return fmt.Sprintf("i-%08x", i+1) }
	for i := range lost {
		p.silent[name(i)] = true
		p.requestPacket(name(i), uint32(i), 100, 50)
	}
	begin := p.now
	var unreachableAfter time.Duration
	for p.now.Sub(begin) < time.Minute && len(p.down) < lost {
		p.step()
		for i := range lost {
			at := p.now.Sub(begin)
			if at == 200*time.Millisecond || at == 600*time.Millisecond || at == 1400*time.Millisecond || at == 3*time.Second {
				p.requestPacket(name(i), uint32(i), 100, 50)
			}
		}
		unreachable := 0
		for _, srv := range p.core.serverStates {
			if srv.reach.State() == reach.Unreachable {
				unreachable++
			}
		}
		if unreachable == lost && unreachableAfter == 0 {
			unreachableAfter = p.now.Sub(begin)
		}
	}
	first := 0
	for i, at := range p.started {
		for at.Sub(p.started[first]) > time.Second {
			first++
		}
		if n := i - first + 1; n > probeBurst+int(probesPerSecond) {
			t.Fatalf("%d probes in a second", n)
		}
	}
	took := p.now.Sub(begin)
	t.Logf("%d servers unreachable after %v, %d confirmed down after %v; %d probes, %d deferred", lost, unreachableAfter, len(p.down), took, len(p.started), p.core.ProbesDeferred())
	if limit := probeBurst + int(probesPerSecond*took.Seconds()); len(p.started) > limit {
		t.Errorf("%d probes in %v", len(p.started), took)
	}
	if unreachableAfter == 0 || unreachableAfter > 3*time.Second || len(p.down) != lost || p.core.ProbesDeferred() == 0 {
		t.Errorf("%d servers confirmed down in %v, all unreachable after %v", len(p.down), took, unreachableAfter)
	}
	// One more server falls silent while the others stay down.
	next := name(lost)
	p.silent[next] = true
	p.requestPacket(next, lost, 100, 50)
	began := p.now
	for p.down[next].IsZero() && p.now.Sub(began) < 10*time.Second {
		p.step()
		if at := p.now.Sub(began); at == 200*time.Millisecond || at == 600*time.Millisecond {
			p.requestPacket(next, lost, 100, 50)
		}
	}
	if took := p.down[next].Sub(began); p.down[next].IsZero() || took > time.Second {
		t.Errorf("one more server confirmed down after %v", took)
	}
}

// Guards against a budget that delays the probes of one silent server while the others
// lose 1% of the packets of 1,000 requests a second.
func TestOrdinaryLoadLeavesProbesToSilentServer(t *testing.T) {
	const servers, lossyPerSecond = 50, 10
	detection := func(load int) time.Duration {
		p := newProbePlay(t, servers)
		for i := range 10_000 / 10 {
			if load > 0 && i%(100/load) == 0 {
				// A request whose first packet was lost after the instance.
				name, n := fmt.Sprintf("i-%08x", 2+i%(servers-1)), uint32(1000+i)
				p.requestPacket(name, n, 100, 50)
				p.advance(200 * time.Millisecond)
				p.requestPacket(name, n, 100, 50)
				p.advance(-200 * time.Millisecond)
			}
			p.step()
		}
		p.silent["i-00000001"] = true
		p.requestPacket("i-00000001", 1, 100, 50)
		began := p.now
		for p.down["i-00000001"].IsZero() && p.now.Sub(began) < 10*time.Second {
			p.step()
			if at := p.now.Sub(began); at == 200*time.Millisecond || at == 600*time.Millisecond {
				p.requestPacket("i-00000001", 1, 100, 50)
			}
		}
		if n := p.core.ProbesDeferred(); n != 0 {
			t.Errorf("%d probes deferred at %d lost packets a second", n, load)
		}
		return p.down["i-00000001"].Sub(began)
	}
	idle, loaded := detection(0), detection(lossyPerSecond)
	t.Logf("confirmed down after %v without load, %v with it", idle, loaded)
	if idle != loaded || idle <= 0 || idle > time.Second {
		t.Errorf("confirmed down after %v without load, %v with it", idle, loaded)
	}
}

// Guards against probes of a busy server for each caller that opens another flow: under
// load, a server that answers others is not down. The opening still avoids it.
func TestServerThatJustAnsweredIsNotProbedForOneCaller(t *testing.T) {
	for _, test := range []struct {
		ago    time.Duration
		probes int
	}{{50 * time.Millisecond, 0}, {150 * time.Millisecond, 1}} {
		inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
		v := inst.open(1)
		srv := inst.core.serverStates[inst.core.servers.Record(v.Server.Name)]
		inst.advance(time.Millisecond)
		srv.reach.RecordProgress(inst.now)
		inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: token.ForServer(v.Server.Name, 0)})
		inst.advance(time.Millisecond)
		inst.sendRequest(1, v, 1)
		srv.reach.RecordProgress(inst.now.Add(-time.Millisecond))
		inst.advance(test.ago)
		second := inst.open(2)
		if inst.probeCount() != test.probes || second.Server.Name == v.Server.Name {
			t.Errorf("answered %v ago: %d probes, want %d; second flow at %s", test.ago, inst.probeCount(), test.probes, second.Server.Name)
		}
	}
}

// Guards against a budget that delays the detection of a lost data centre on links that
// bear more probes.
func TestProbeBudgetFollowsBandwidth(t *testing.T) {
	for _, c := range []struct{ bandwidth, perSecond float64 }{{0, 1000}, {1e6, 100}, {10e6, 104}, {20e6, 208}, {1500e6, 1000}} {
		b := newProbeBudget(c.bandwidth)
		if got := float64(b.Limit()); got < c.perSecond || got >= c.perSecond+1 || b.Burst() != int(5*got) {
			t.Errorf("%.0f bit/s: %.1f probes a second, burst %d", c.bandwidth, got, b.Burst())
		}
	}
}
