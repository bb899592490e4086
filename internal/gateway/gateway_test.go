package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
)

const (
	norte = model.DataCentre("norte")
	sur   = model.DataCentre("sur")
	campo = "campo"
)

var service = netip.MustParseAddrPort("198.18.0.1:443")

// world is one instance with a clock.
type world struct {
	t        *testing.T
	core     *Core
	now      time.Time
	revision source.Revision
	actions  []Action
}

func newWorld(t *testing.T, servers ...registry.Entry) *world {
	w := &world{t: t, now: time.Unix(1000, 0), core: New(Config{
		DataCentre: norte, FreshFor: 2700 * time.Millisecond, FlowLifetime: time.Minute, ColdSlack: 5, Instances: 1,
	})}
	w.configure(1, service)
	w.list(servers...)
	return w
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) handle(e Event) []Action {
	actions := w.core.Handle(w.now, e)
	w.actions = append(w.actions, actions...)
	return actions
}

func (w *world) configure(version int64, addresses ...netip.AddrPort) []Action {
	c := &routing.Configuration{Version: version, Routes: map[netip.AddrPort]*routing.Route{}, IdleTimeout: 15 * time.Second,
		Services: map[string]routing.Service{campo: {Name: campo, HealthPath: "/health"}}}
	for _, a := range addresses {
		c.Routes[a] = &routing.Route{Shares: []routing.Share{{Service: campo, Weight: 1}}}
	}
	w.revision++
	return w.handle(Updated{Kind: source.Configuration, AsOf: w.now, Update: source.Update{Full: true, Revision: w.revision, Configuration: c}})
}

func (w *world) list(servers ...registry.Entry) []Action {
	u := source.Update{Full: true}
	for _, e := range servers {
		u.Servers = append(u.Servers, source.ServerChange{Entry: e})
	}
	w.revision++
	u.Revision = w.revision
	return w.handle(Updated{Kind: source.Registry, AsOf: w.now, Update: u})
}

func (w *world) withdraw(dc model.DataCentre, out bool) {
	w.revision++
	w.handle(Updated{Kind: source.Withdrawals, AsOf: w.now, Update: source.Update{Revision: w.revision,
		DataCentres: []source.DataCentreChange{{DataCentre: dc, Withdrawn: out}}}})
}

// confirm renews the knowledge of all sources.
func (w *world) confirm() {
	for k := range source.Kind(source.Kinds) {
		w.handle(Updated{Kind: k, AsOf: w.now})
	}
}

func server(name string, dc model.DataCentre) registry.Entry {
	return registry.Entry{Name: name, Fence: 7, Service: campo, DataCentre: dc, Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func key(port uint16) flow.Key {
	return flow.NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), service)
}

func (w *world) open(port uint16) Verdict { return w.copy(port, 0) }

func (w *world) copy(port uint16, n uint32) Verdict {
	return w.packet(&flow.Segment{Key: key(port), Opening: true, Copy: n})
}

func (w *world) packet(s *flow.Segment) Verdict {
	v, actions := w.core.Packet(w.now, s)
	w.actions = append(w.actions, actions...)
	return v
}

// opened opens a flow and lets the caller accept it.
func (w *world) opened(port uint16) Verdict {
	w.t.Helper()
	v := w.open(port)
	if v.Kind != Forward {
		w.t.Fatalf("opening: %s, %s", v.Kind, v.Reason)
	}
	w.packet(&flow.Segment{Key: key(port), Seq: 1, Ack: 100, Token: v.Token})
	return v
}

func (w *world) request(port uint16, v Verdict, seq uint32) Verdict {
	return w.packet(&flow.Segment{Key: key(port), Seq: seq, Ack: 100, Length: 50, Token: v.Token})
}

func (w *world) resets() map[flow.Key]Reason {
	out := map[flow.Key]Reason{}
	for _, a := range w.actions {
		if r, ok := a.(ResetFlow); ok {
			out[r.Flow] = r.Reason
		}
	}
	return out
}

func (w *world) probes() int {
	n := 0
	for _, a := range w.actions {
		if _, ok := a.(Probe); ok {
			n++
		}
	}
	return n
}

func TestSilentUntilItKnowsRoutesAndServers(t *testing.T) {
	c := New(Config{DataCentre: norte})
	v, _ := c.Packet(time.Unix(1000, 0), &flow.Segment{Key: key(1), Opening: true})
	if v.Kind != Drop || v.Reason != NotLoaded || c.Ready() {
		t.Fatalf("%+v, ready %t", v, c.Ready())
	}
}

func TestAnyInstanceForwardsByToken(t *testing.T) {
	servers := []registry.Entry{server("i-1", norte), server("i-2", norte), server("i-3", sur)}
	a, b := newWorld(t, servers...), newWorld(t, servers...)
	for port := uint16(1); port < 50; port++ {
		v := a.opened(port)
		got := b.request(port, v, 1)
		if got.Kind != Forward || got.Server.Name != v.Server.Name {
			t.Fatalf("flow of %s went to %+v", v.Server.Name, got)
		}
	}
}

func TestOwnDataCentreFirst(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", sur))
	if v := w.open(1); v.Server.Name != "i-1" {
		t.Fatal(v.Server.Name)
	}
}

func TestRefusalNeedsCurrentKnowledge(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	other := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:1"), netip.MustParseAddrPort("198.18.0.9:443"))
	if v := w.packet(&flow.Segment{Key: other, Opening: true}); v.Kind != Reset || v.Reason != NoRoute {
		t.Fatalf("no route: %+v", v)
	}
	w.pass(5 * time.Second)
	if v := w.packet(&flow.Segment{Key: other, Opening: true}); v.Kind != Drop || v.Reason != NotFresh {
		t.Fatalf("no route, knowledge 5 s old: %+v", v)
	}
	w.confirm()
	if v := w.packet(&flow.Segment{Key: other, Opening: true}); v.Kind != Reset {
		t.Fatalf("no route, confirmed: %+v", v)
	}
}

func TestDroppedRouteEndsItsFlows(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.opened(1)
	w.configure(2)
	if w.resets()[key(1)] != RouteDropped {
		t.Fatalf("%+v", w.actions)
	}
	if v := w.open(2); v.Kind != Reset {
		t.Fatalf("%+v", v)
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.configure(7, service)
	w.configure(3)
	if v := w.open(1); v.Kind != Forward {
		t.Fatalf("%+v", v)
	}
}

// Updates come in on several ways; an older one must not undo a newer one.
func TestOlderUpdateIsNotTaken(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	draining := server("i-1", norte)
	draining.Draining = true
	w.list(draining, server("i-2", norte))
	w.revision -= 2
	w.list(server("i-1", norte))
	if v := w.open(1); v.Server.Name != "i-2" {
		t.Fatalf("new flow at %s", v.Server.Name)
	}
}

func TestDrainingServerKeepsItsFlows(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	v := w.opened(1)
	draining := server("i-1", norte)
	draining.Draining = true
	w.list(draining, server("i-2", norte))
	if got := w.request(1, v, 1); got.Kind != Forward || got.Server.Name != "i-1" {
		t.Fatalf("%+v", got)
	}
	if got := w.open(2); got.Server.Name != "i-2" {
		t.Fatalf("new flow at %s", got.Server.Name)
	}
	if n := len(w.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
}

func TestWithdrawnDataCentreGetsNoNewFlows(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", sur))
	v := w.opened(1)
	w.withdraw(norte, true)
	if got := w.open(2); got.Server.Name != "i-2" {
		t.Fatalf("new flow at %s", got.Server.Name)
	}
	if got := w.request(1, v, 1); got.Kind != Forward {
		t.Fatalf("open flow: %+v", got)
	}
	w.withdraw(sur, true)
	if got := w.open(3); got.Kind != Reset || got.Reason != NoServer {
		t.Fatalf("all withdrawn: %+v", got)
	}
	w.withdraw(norte, false)
	w.pass(3 * time.Second)
	if got := w.open(4); got.Kind != Forward || got.Server.Name != "i-1" {
		t.Fatalf("back in service: %+v", got)
	}
}

// A server that falls silent: its flows, also idle ones, are given up once two
// repeats and a probe agree, and the next flow goes elsewhere.
func TestSilentServer(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	flows := map[uint16]Verdict{}
	for port := uint16(1); port <= 3; port++ {
		flows[port] = w.opened(port)
	}
	w.list(server("i-1", norte), server("i-2", norte))
	w.pass(time.Second)
	w.request(1, flows[1], 1)
	w.request(2, flows[2], 1)
	w.pass(200 * time.Millisecond)
	w.request(1, flows[1], 1)
	if w.probes() != 1 {
		t.Fatalf("%d probes after the first repeat", w.probes())
	}
	w.pass(20 * time.Millisecond)
	w.request(2, flows[2], 1)
	w.pass(100 * time.Millisecond)
	w.handle(Probed{Server: "i-1", Result: reach.NoAnswer, PathGood: true})
	resets := w.resets()
	for port := uint16(1); port <= 3; port++ {
		if resets[key(port)] != ServerLost {
			t.Errorf("flow %d is not given up", port)
		}
	}
	if v := w.open(9); v.Server.Name != "i-2" {
		t.Errorf("new flow at %s", v.Server.Name)
	}
}

// Packet loss must never break a flow.
func TestLostPacketsBreakNoFlow(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	v := w.opened(1)
	w.pass(time.Second)
	w.request(1, v, 1)
	w.pass(200 * time.Millisecond)
	w.request(1, v, 1)
	w.handle(Probed{Server: "i-1", Result: reach.NoAnswer, PathGood: true})
	w.handle(Probed{Server: "i-1", Result: reach.Answered})
	if n := len(w.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
	if got := w.request(1, v, 1); got.Kind != Forward {
		t.Fatalf("%+v", got)
	}
}

// The entry of a server goes with flows still open: whether it lives is asked,
// and the flows end at once when it does not.
func TestDepartedServer(t *testing.T) {
	for _, result := range []reach.ProbeResult{reach.Refused, reach.OtherServer, reach.Answered} {
		w := newWorld(t, server("i-1", norte), server("i-2", norte))
		v := w.opened(1)
		rest := "i-1"
		if v.Server.Name == "i-1" {
			rest = "i-2"
		}
		w.pass(time.Second)
		w.list(server(rest, norte))
		if w.probes() != 1 {
			t.Fatalf("%d probes", w.probes())
		}
		w.handle(Probed{Server: v.Server.Name, Result: result})
		_, reset := w.resets()[key(1)]
		if reset != (result != reach.Answered) {
			t.Errorf("probe %s: flow given up %t", result, reset)
		}
	}
}

func TestRestartedServerHoldsNoFlow(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.opened(1)
	again := server("i-1", norte)
	again.Incarnation = 99
	w.list(again)
	if w.resets()[key(1)] != ServerLost {
		t.Fatalf("%+v", w.actions)
	}
}

// Copies of an opening meet the server of the first copy while it lives, and
// another one when it has answered nobody since.
func TestCopiesOfAnOpening(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", norte))
	first := w.open(1)
	w.pass(50 * time.Millisecond)
	for port := uint16(2); ; port++ {
		if v := w.open(port); v.Server.Name == first.Server.Name {
			w.packet(&flow.Segment{Key: key(port), Seq: 1, Ack: 9, Token: v.Token})
			break
		}
	}
	w.pass(150 * time.Millisecond)
	if v := w.copy(1, 1); v.Server.Name != first.Server.Name {
		t.Fatalf("copy at %s though %s lives", v.Server.Name, first.Server.Name)
	}

	w = newWorld(t, server("i-1", norte), server("i-2", norte))
	first = w.open(1)
	w.pass(200 * time.Millisecond)
	if v := w.copy(1, 1); v.Server.Name == first.Server.Name || v.Reason != Repeated {
		t.Fatalf("copy at %s, which has answered nobody", v.Server.Name)
	}
}

// A server has crashed and rejects its callers, which the instance does not
// see. The few attempts of a caller, which follow each other at once, must not
// all meet it.
func TestAttemptsOfACallerMeetDifferentServers(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", norte), server("i-3", norte))
	first := w.opened(1)
	w.pass(time.Second)
	w.request(1, first, 1)
	met := map[string]bool{first.Server.Name: true}
	for port := uint16(2); port <= 3; port++ {
		w.pass(3 * time.Millisecond)
		v := w.open(port)
		if met[v.Server.Name] {
			t.Fatalf("attempt %d meets %s again", port, v.Server.Name)
		}
		met[v.Server.Name] = true
	}
	if w.probes() != 2 {
		t.Fatalf("%d probes of the two servers that did not answer", w.probes())
	}
	if n := len(w.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
}

// A data centre loses power; its callers come to this instance with flows at
// its servers. The servers are probed at the first packet, not at its repeat.
func TestFlowsTakenOverFromAnotherDataCentre(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", sur), server("i-3", sur))
	for port := uint16(1); port <= 3; port++ {
		w.packet(&flow.Segment{Key: key(port), Seq: 1, Ack: 9, Length: 50, Token: token.Of("i-2", 0)})
	}
	if w.probes() != 1 {
		t.Fatalf("%d probes", w.probes())
	}
	w.pass(120 * time.Millisecond)
	for range 3 {
		w.handle(Probed{Server: "i-2", Result: reach.NoAnswer, PathGood: true})
	}
	if n := len(w.resets()); n != 3 {
		t.Fatalf("%d of 3 flows are given up", n)
	}
	w.packet(&flow.Segment{Key: key(9), Seq: 1, Ack: 9, Length: 50, Token: token.Of("i-1", 0)})
	if n := w.probes(); n > 5 {
		t.Fatalf("%d probes", n)
	}
}

// In a large data centre a sample is looked at; the flows still spread evenly,
// and servers that take none get none.
func TestLargeDataCentre(t *testing.T) {
	var servers []registry.Entry
	for i := range 500 {
		e := server(fmt.Sprintf("i-%x", i+1), norte)
		e.Draining = i%5 == 0
		servers = append(servers, e)
	}
	w := newWorld(t, servers...)
	count := map[string]int{}
	for port := range uint16(8000) {
		v := w.open(port)
		if v.Kind != Forward || v.Server.Draining {
			t.Fatalf("%+v", v)
		}
		count[v.Server.Name]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	if len(count) != 400 || most > 25 {
		t.Fatalf("%d servers of 400 used, up to %d flows where 20 are the mean", len(count), most)
	}
}

func TestColdServerGetsItsShare(t *testing.T) {
	cold := server("i-1", norte)
	cold.ColdFor = 2 * time.Second
	w := newWorld(t, cold)
	forwarded := 0
	for port := uint16(1); port <= 20; port++ {
		if w.open(port).Kind == Forward {
			forwarded++
		}
		w.pass(20 * time.Millisecond)
	}
	if forwarded != 5 {
		t.Fatalf("%d openings within 400 ms at a server that bears 5 a second", forwarded)
	}
}

// A data centre whose servers are out of service loses the others: its
// instances withdraw, and come back when the servers are reached again.
func TestCutOffWithoutServers(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", sur), server("i-3", sur))
	w.withdraw(norte, true)
	v := w.opened(1)
	w.pass(time.Second)
	w.request(1, v, 1)
	w.pass(200 * time.Millisecond)
	w.request(1, v, 1)
	for range 3 {
		w.pass(120 * time.Millisecond)
		for _, name := range []string{"i-2", "i-3"} {
			w.handle(Probed{Server: name, Result: reach.NoAnswer, PathGood: true})
		}
	}
	if w.core.Ready() {
		t.Fatal("ready without any server")
	}
	if w.resets()[key(1)] != ServerLost {
		t.Fatal("the flow across the cut is not given up")
	}
	for range 20 {
		w.pass(TickInterval)
		for _, a := range w.handle(Tick{}) {
			if p, ok := a.(Probe); ok {
				w.handle(Probed{Server: p.Server, Result: reach.Answered})
			}
		}
	}
	if !w.core.Ready() {
		t.Fatal("not ready though the servers answer again")
	}
}

// A service with a flow for each request opens more flows than one with long
// flows. That its few servers are out of reach must not withdraw an instance
// whose other callers are served.
func TestLongFlowsWeighAsMuchAsTheirRequests(t *testing.T) {
	other := server("i-9", sur)
	other.Service = "ordenes"
	w := newWorld(t, server("i-1", norte), other)
	second := netip.MustParseAddrPort("198.18.0.2:443")
	c := &routing.Configuration{Version: 2, IdleTimeout: time.Minute, Routes: map[netip.AddrPort]*routing.Route{
		service: {Shares: []routing.Share{{Service: campo, Weight: 1}}},
		second:  {Shares: []routing.Share{{Service: "ordenes", Weight: 1}}},
	}}
	w.handle(Updated{Kind: source.Configuration, AsOf: w.now, Update: source.Update{Full: true, Revision: 50, Configuration: c}})
	v := w.opened(1)
	for i := range uint32(60) {
		w.request(1, v, 1+50*i)
		w.packet(&flow.Segment{Key: key(1), Seq: 51 + 50*i, Ack: 200 + i, Token: v.Token})
		if i%3 == 0 {
			k := flow.NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.8"), uint16(i)), second)
			got := w.packet(&flow.Segment{Key: k, Opening: true})
			w.packet(&flow.Segment{Key: k, Seq: 1, Ack: 7, Length: 9, Token: got.Token})
		}
		w.pass(10 * time.Millisecond)
	}
	w.core.services["ordenes"].remote[0].reach.Doubt(w.now)
	for range 3 {
		w.handle(Probed{Server: "i-9", Result: reach.NoAnswer, PathGood: true})
		w.handle(Tick{})
	}
	if !w.core.Ready() {
		t.Fatal("withdrawn though three quarters of the requests are served")
	}
}

// A packet of a flow whose server left before this instance started.
func TestUnknownToken(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.pass(3 * time.Second)
	s := flow.Segment{Key: key(1), Seq: 1, Ack: 5, Length: 9, Token: token.Of("i-99", 0)}
	if v := w.packet(&s); v.Kind != Drop || v.Reason != UnknownToken {
		t.Fatalf("%+v", v)
	}
	if _, ok := w.actions[len(w.actions)-1].(Refresh); !ok {
		t.Fatalf("no read of the registry: %+v", w.actions)
	}
	w.pass(5 * time.Millisecond)
	w.list(server("i-1", norte))
	if w.resets()[key(1)] != UnknownToken {
		t.Fatalf("the flow of a server that left is not given up: %+v", w.actions)
	}
}

// A server may register between two reads: its flows are not given up.
func TestUnknownTokenOfANewServer(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.pass(3 * time.Second)
	s := flow.Segment{Key: key(1), Seq: 1, Ack: 5, Length: 9, Token: token.Of("i-99", 0)}
	w.packet(&s)
	w.pass(5 * time.Millisecond)
	w.list(server("i-1", norte), server("i-99", norte))
	if n := len(w.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
	if v := w.packet(&s); v.Kind != Forward || v.Server.Name != "i-99" {
		t.Fatalf("%+v", v)
	}
}

// After an outage of the registry entries of live servers may be missing.
func TestUnknownTokenAfterAnOutage(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.pass(3 * time.Second)
	w.handle(Unanswered{Kind: source.Registry, Sent: w.now})
	w.pass(3 * time.Second)
	w.list(server("i-1", norte))
	w.packet(&flow.Segment{Key: key(1), Seq: 1, Ack: 5, Length: 9, Token: token.Of("i-99", 0)})
	w.pass(time.Second)
	w.list(server("i-1", norte))
	if n := len(w.resets()); n > 0 {
		t.Fatalf("%d resets within the time in which entries come back", n)
	}
}

// A follower hears of an outage of the registry only from the instance that it
// follows. Entries that lapsed in it must not empty the service there.
func TestFollowerKeepsLapsedServers(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.pass(5 * time.Second)
	w.handle(RegistryOutage{Returned: w.now.Add(-100 * time.Millisecond)})
	w.list()
	if v := w.open(1); v.Kind != Forward {
		t.Fatalf("%s, %s", v.Kind, v.Reason)
	}
	w.pass(3 * time.Second)
	w.handle(Tick{})
	w.confirm()
	if v := w.open(2); v.Kind != Reset {
		t.Fatalf("3 s later: %s, %s", v.Kind, v.Reason)
	}
}

func TestPlannedStopForwardsOn(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	v := w.opened(1)
	w.handle(StopRequested{})
	if w.core.Ready() {
		t.Fatal("ready during a planned stop")
	}
	if got := w.request(1, v, 1); got.Kind != Forward {
		t.Fatalf("open flow: %+v", got)
	}
	if got := w.open(2); got.Kind != Forward {
		t.Fatalf("new flow: %+v", got)
	}
}

func TestFlowsAreForgotten(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	v := w.opened(1)
	w.opened(2)
	w.packet(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Final: true, Token: v.Token})
	w.pass(3 * time.Second)
	for range 20 {
		w.pass(TickInterval)
		w.handle(Tick{})
	}
	if n := w.core.Flows(); n != 1 {
		t.Fatalf("%d flows after one was closed", n)
	}
	w.pass(16 * time.Second)
	for range 20 {
		w.pass(TickInterval)
		w.handle(Tick{})
	}
	if n := w.core.Flows(); n != 0 {
		t.Fatalf("%d flows after the idle timeout", n)
	}
}

func BenchmarkFollowing(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		w := newWorld(nil, servers...)
		v := w.open(1)
		s := flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: v.Token}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				w.core.Packet(w.now, &s)
			}
		})
	}
}

func BenchmarkOpening(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		w := newWorld(nil, servers...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				k := key(1)
				k.CallerIP += uint32(i)
				w.core.Packet(w.now, &flow.Segment{Key: k, Opening: true})
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		w := newWorld(nil, servers...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w.pass(TickInterval)
				w.core.Handle(w.now, Tick{})
			}
		})
	}
}
