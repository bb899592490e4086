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
	for k := range source.Kind(source.NumKinds) {
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

// A copy of an opening went to a second server, whose acceptance reaches the
// caller after it has accepted the first one's. The flow stays at the first.
func TestOpenFlowKeepsTheAcceptedServer(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", norte))
	first := w.open(1)
	w.pass(200 * time.Millisecond)
	second := w.copy(1, 1)
	if first.Server.Name == second.Server.Name {
		t.Fatal("the copy went to the same server")
	}
	w.request(1, first, 1)
	if got := w.request(1, second, 51); got.Server.Name != first.Server.Name {
		t.Fatalf("the open flow moved to %s", got.Server.Name)
	}
}

// A caller uses a port again while the instance still knows the flow before.
// The new flow must not go to a server that has begun to drain.
func TestPortUsedAgain(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	w.opened(1)
	draining := server("i-1", norte)
	draining.Draining = true
	w.list(draining, server("i-2", norte))
	if got := w.open(1); got.Server.Name != "i-2" {
		t.Fatalf("the new flow went to %s", got.Server.Name)
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
