package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

const (
	norte = model.DataCentre("norte")
	sur   = model.DataCentre("sur")
	campo = "campo"
)

var service = netip.MustParseAddrPort("198.18.0.1:443")

// testInstance is one instance with a simulated clock. It collects the actions
// that the instance returns.
type testInstance struct {
	t        *testing.T
	core     *Core
	now      time.Time
	era      source.Era
	revision source.Revision
	actions  []Action
}

func newTestInstance(t *testing.T, servers ...registry.Entry) *testInstance {
	return newTestInstanceBehindLink(t, 0, servers...)
}

// newTestInstanceBehindLink returns an instance whose link has the given bandwidth.
func newTestInstanceBehindLink(t *testing.T, bitsPerSecond float64, servers ...registry.Entry) *testInstance {
	inst := &testInstance{t: t, now: time.Unix(1000, 0), core: New(Config{
		DataCentre: norte, MaxStaleness: 2700 * time.Millisecond, FlowLifetime: time.Minute, ColdSlack: 5, Instances: 1,
		LinkBandwidth: bitsPerSecond,
	})}
	inst.setConfiguration(1, service)
	inst.setServers(servers...)
	return inst
}

func (inst *testInstance) position() source.Position {
	return source.Position{Era: inst.era, Revision: inst.revision}
}

func (inst *testInstance) advance(d time.Duration) { inst.now = inst.now.Add(d) }

func (inst *testInstance) handleEvent(e Event) []Action {
	actions := inst.core.HandleEvent(inst.now, e)
	inst.actions = append(inst.actions, actions...)
	return actions
}

func (inst *testInstance) setConfiguration(version int64, addresses ...netip.AddrPort) []Action {
	c := &routing.Configuration{Version: version, Routes: map[netip.AddrPort]*routing.Route{}, IdleTimeout: 15 * time.Second,
		Services: map[string]routing.Service{campo: {Name: campo, HealthPath: "/health"}}}
	for _, a := range addresses {
		c.Routes[a] = &routing.Route{Shares: []routing.Share{{Service: campo, Weight: 1}}}
	}
	inst.revision++
	return inst.handleEvent(SourceUpdated{Kind: source.Configuration, AsOf: inst.now, Update: source.Update{Full: true, Position: inst.position(), Configuration: c}})
}

func (inst *testInstance) setServers(servers ...registry.Entry) []Action {
	u := source.Update{Full: true}
	for _, e := range servers {
		u.Servers = append(u.Servers, source.ServerChange{Entry: e})
	}
	inst.revision++
	u.Position = inst.position()
	return inst.handleEvent(SourceUpdated{Kind: source.Registry, AsOf: inst.now, Update: u})
}

func (inst *testInstance) setWithdrawn(dc model.DataCentre, withdrawn bool) {
	inst.revision++
	inst.handleEvent(SourceUpdated{Kind: source.Withdrawals, AsOf: inst.now, Update: source.Update{Position: inst.position(),
		DataCentres: []source.DataCentreChange{{DataCentre: dc, Withdrawn: withdrawn, Withdrawal: inst.revision}}}})
}

// listWithdrawn lists the data centres of which an object has withdrawn one, at the given
// revision.
func (inst *testInstance) listWithdrawn(dc model.DataCentre, r source.Revision) {
	inst.revision = max(inst.revision, r)
	inst.handleEvent(SourceUpdated{Kind: source.Withdrawals, AsOf: inst.now, Update: source.Update{Full: true, Position: inst.position(),
		DataCentres: []source.DataCentreChange{{DataCentre: dc, Withdrawn: true, Withdrawal: r}}}})
}

// confirmSources confirms that the applied state of all sources is current.
func (inst *testInstance) confirmSources() {
	for k := range source.Kind(source.NumKinds) {
		inst.handleEvent(SourceUpdated{Kind: k, AsOf: inst.now, Update: source.Update{Position: inst.position()}})
	}
}

func server(name string, dc model.DataCentre) registry.Entry {
	return registry.Entry{Name: name, Fence: 7, Service: campo, DataCentre: dc, Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func key(port uint16) flow.Key {
	return flow.NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), service)
}

func (inst *testInstance) open(port uint16) Verdict { return inst.sendOpening(port, 0) }

func (inst *testInstance) sendOpening(port uint16, retransmitCount uint32) Verdict {
	return inst.handlePacket(&flow.Segment{Key: key(port), Opening: true, RetransmitCount: retransmitCount})
}

func (inst *testInstance) handlePacket(s *flow.Segment) Verdict {
	v, actions := inst.core.HandlePacket(inst.now, s)
	inst.actions = append(inst.actions, actions...)
	return v
}

// openEstablished opens a flow and lets the caller accept it.
func (inst *testInstance) openEstablished(port uint16) Verdict {
	inst.t.Helper()
	v := inst.open(port)
	if v.Kind != Forward {
		inst.t.Fatalf("opening: %s, %s", v.Kind, v.Reason)
	}
	inst.handlePacket(&flow.Segment{Key: key(port), Seq: 1, Ack: 100, Token: v.Token})
	return v
}

func (inst *testInstance) sendRequest(port uint16, v Verdict, seq uint32) Verdict {
	return inst.handlePacket(&flow.Segment{Key: key(port), Seq: seq, Ack: 100, Length: 50, Token: v.Token})
}

// resets returns the requested resets and their reasons by flow.
func (inst *testInstance) resets() map[flow.Key]Reason {
	out := map[flow.Key]Reason{}
	for _, a := range inst.actions {
		if r, ok := a.(ResetFlow); ok {
			out[r.Flow] = r.Reason
		}
	}
	return out
}

func (inst *testInstance) probeCount() int {
	n := 0
	for _, a := range inst.actions {
		if _, ok := a.(Probe); ok {
			n++
		}
	}
	return n
}

func TestDropsPacketsBeforeSourcesAreLoaded(t *testing.T) {
	c := New(Config{DataCentre: norte})
	v, _ := c.HandlePacket(time.Unix(1000, 0), &flow.Segment{Key: key(1), Opening: true})
	if v.Kind != Drop || v.Reason != NotLoaded || c.Ready() {
		t.Fatalf("before any source is loaded: %+v, ready %t", v, c.Ready())
	}
}

func TestAnyInstanceForwardsByToken(t *testing.T) {
	servers := []registry.Entry{server("i-1", norte), server("i-2", norte), server("i-3", sur)}
	a, b := newTestInstance(t, servers...), newTestInstance(t, servers...)
	for port := uint16(1); port < 50; port++ {
		v := a.openEstablished(port)
		got := b.sendRequest(port, v, 1)
		if got.Kind != Forward || got.Server.Name != v.Server.Name {
			t.Fatalf("flow of %s went to %+v", v.Server.Name, got)
		}
	}
}

func TestPrefersOwnDataCentre(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", sur))
	if v := inst.open(1); v.Server.Name != "i-1" {
		t.Fatal(v.Server.Name)
	}
}

func TestRefusesOnlyOnFreshSources(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	unrouted := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:1"), netip.MustParseAddrPort("198.18.0.9:443"))
	if v := inst.handlePacket(&flow.Segment{Key: unrouted, Opening: true}); v.Kind != Reset || v.Reason != NoRoute {
		t.Fatalf("no route: %+v", v)
	}
	inst.advance(5 * time.Second)
	if v := inst.handlePacket(&flow.Segment{Key: unrouted, Opening: true}); v.Kind != Drop || v.Reason != NotFresh {
		t.Fatalf("no route, information 5 s old: %+v", v)
	}
	inst.confirmSources()
	if v := inst.handlePacket(&flow.Segment{Key: unrouted, Opening: true}); v.Kind != Reset {
		t.Fatalf("no route, confirmed: %+v", v)
	}
}

func TestRouteRemovalResetsItsFlows(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.openEstablished(1)
	inst.setConfiguration(2)
	if inst.resets()[key(1)] != RouteRemoved {
		t.Fatalf("no reset of the flow whose route was removed: %+v", inst.actions)
	}
	if v := inst.open(2); v.Kind != Reset {
		t.Fatalf("opening without a route: %+v", v)
	}
}

func TestIgnoresOlderConfigurationVersion(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.setConfiguration(7, service)
	inst.setConfiguration(3)
	if v := inst.open(1); v.Kind != Forward {
		t.Fatalf("opening after an older version arrived: %+v", v)
	}
}

// Updates arrive on several paths; an older one must not undo a newer one.
func TestIgnoresOlderRevision(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	draining := server("i-1", norte)
	draining.Draining = true
	inst.setServers(draining, server("i-2", norte))
	inst.revision -= 2
	inst.setServers(server("i-1", norte))
	if v := inst.open(1); v.Server.Name != "i-2" {
		t.Fatalf("new flow at %s", v.Server.Name)
	}
}

// A retransmitted opening went to a second server, whose acceptance reaches the
// caller after the caller has accepted the first server. The flow stays at the
// first server.
func TestEstablishedFlowKeepsItsServer(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
	first := inst.open(1)
	inst.advance(200 * time.Millisecond)
	second := inst.sendOpening(1, 1)
	if first.Server.Name == second.Server.Name {
		t.Fatal("the retransmission went to the same server")
	}
	inst.sendRequest(1, first, 1)
	if got := inst.sendRequest(1, second, 51); got.Server.Name != first.Server.Name {
		t.Fatalf("the established flow moved to %s", got.Server.Name)
	}
}

// A caller reuses a port while the instance still has the previous flow. The
// new flow must not go to a server that has begun to drain.
func TestCallerPortReuse(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.openEstablished(1)
	draining := server("i-1", norte)
	draining.Draining = true
	inst.setServers(draining, server("i-2", norte))
	if got := inst.open(1); got.Server.Name != "i-2" {
		t.Fatalf("the new flow went to %s", got.Server.Name)
	}
}

func TestDrainingServerKeepsItsFlows(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	v := inst.openEstablished(1)
	draining := server("i-1", norte)
	draining.Draining = true
	inst.setServers(draining, server("i-2", norte))
	if got := inst.sendRequest(1, v, 1); got.Kind != Forward || got.Server.Name != "i-1" {
		t.Fatalf("flow at the draining server: %+v", got)
	}
	if got := inst.open(2); got.Server.Name != "i-2" {
		t.Fatalf("new flow at %s", got.Server.Name)
	}
	if n := len(inst.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
}

func TestWithdrawnDataCentreGetsNoNewFlows(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", sur))
	v := inst.openEstablished(1)
	inst.setWithdrawn(norte, true)
	if got := inst.open(2); got.Server.Name != "i-2" {
		t.Fatalf("new flow at %s", got.Server.Name)
	}
	if got := inst.sendRequest(1, v, 1); got.Kind != Forward {
		t.Fatalf("established flow: %+v", got)
	}
	inst.setWithdrawn(sur, true)
	if got := inst.open(3); got.Kind != Reset || got.Reason != NoServer {
		t.Fatalf("all data centres withdrawn: %+v", got)
	}
	inst.setWithdrawn(norte, false)
	inst.advance(3 * time.Second)
	if got := inst.open(4); got.Kind != Forward || got.Server.Name != "i-1" {
		t.Fatalf("back in service: %+v", got)
	}
}

// A retransmitted opening goes to the same server while that server answers
// callers, and to another one if it has answered none since the opening.
func TestRetransmittedOpening(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
	first := inst.open(1)
	inst.advance(50 * time.Millisecond)
	for port := uint16(2); ; port++ {
		if v := inst.open(port); v.Server.Name == first.Server.Name {
			inst.handlePacket(&flow.Segment{Key: key(port), Seq: 1, Ack: 9, Token: v.Token})
			break
		}
	}
	inst.advance(150 * time.Millisecond)
	if v := inst.sendOpening(1, 1); v.Server.Name != first.Server.Name {
		t.Fatalf("retransmission at %s though %s answers callers", v.Server.Name, first.Server.Name)
	}

	inst = newTestInstance(t, server("i-1", norte), server("i-2", norte))
	first = inst.open(1)
	inst.advance(200 * time.Millisecond)
	if v := inst.sendOpening(1, 1); v.Server.Name == first.Server.Name || v.Reason != OpeningRerouted {
		t.Fatalf("retransmission at %s, which has answered no caller", v.Server.Name)
	}
}

// In a large data centre only a sample of the servers is compared. Flows must
// still spread evenly, and servers that take no flows must get none.
func TestSamplingSpreadsFlowsEvenly(t *testing.T) {
	var servers []registry.Entry
	for i := range 500 {
		e := server(fmt.Sprintf("i-%x", i+1), norte)
		e.Draining = i%5 == 0
		servers = append(servers, e)
	}
	inst := newTestInstance(t, servers...)
	flowCounts := map[string]int{}
	for port := range uint16(8000) {
		v := inst.open(port)
		if v.Kind != Forward || v.Server.Draining {
			t.Fatalf("opening: %+v", v)
		}
		flowCounts[v.Server.Name]++
	}
	most := 0
	for _, n := range flowCounts {
		most = max(most, n)
	}
	if len(flowCounts) != 400 || most > 25 {
		t.Fatalf("%d servers of 400 used, up to %d flows where the mean is 20", len(flowCounts), most)
	}
}

func TestColdServerOpeningsAreLimited(t *testing.T) {
	cold := server("i-1", norte)
	cold.ColdRemaining = 2 * time.Second
	inst := newTestInstance(t, cold)
	forwarded := 0
	for port := uint16(1); port <= 20; port++ {
		if inst.open(port).Kind == Forward {
			forwarded++
		}
		inst.advance(20 * time.Millisecond)
	}
	if forwarded != 5 {
		t.Fatalf("%d openings within 400 ms at a server that takes 5 per second", forwarded)
	}
}

func TestPlannedStopKeepsForwarding(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	v := inst.openEstablished(1)
	inst.handleEvent(StopRequested{})
	if inst.core.Ready() {
		t.Fatal("ready during a planned stop")
	}
	if got := inst.sendRequest(1, v, 1); got.Kind != Forward {
		t.Fatalf("established flow: %+v", got)
	}
	if got := inst.open(2); got.Kind != Forward {
		t.Fatalf("new flow: %+v", got)
	}
}

func TestClosedAndIdleFlowsExpire(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	v := inst.openEstablished(1)
	inst.openEstablished(2)
	inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Final: true, Token: v.Token})
	inst.advance(3 * time.Second)
	for range 20 {
		inst.advance(TickInterval)
		inst.handleEvent(Tick{})
	}
	if n := inst.core.FlowCount(); n != 1 {
		t.Fatalf("%d flows after one was closed", n)
	}
	inst.advance(16 * time.Second)
	for range 20 {
		inst.advance(TickInterval)
		inst.handleEvent(Tick{})
	}
	if n := inst.core.FlowCount(); n != 0 {
		t.Fatalf("%d flows after the idle timeout", n)
	}
}
