package entry

import (
	"net/netip"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

// coreWithOpenFlow returns a core whose fast path forwards one flow, and a data
// packet of this flow.
func coreWithOpenFlow(now time.Time) (*Core, []byte) {
	c := New(Config{Self: "a1", DataCentre: "a", Started: now, HeartbeatInterval: time.Second, Lease: time.Hour, DeadAfter: time.Second, FlowIdleTimeout: time.Minute})
	service := &model.Service{ID: model.NewServiceID("campo"), Name: "campo"}
	server := &model.BackendServer{ID: model.NewServerID("campo", "s1"), Service: service.ID, DataCentre: "a", Address: netip.MustParseAddrPort("10.9.0.1:9000")}
	address := netip.MustParseAddrPort("10.200.0.1:80")
	plan := &model.Plan{Name: "parana", Uses: map[model.ServiceID]model.PlanUse{service.ID: {}}}
	catalog := &model.Catalog{
		Version: 1,
		Callers: map[string]*model.Caller{"villa": {Name: "villa", Plan: plan, Prefixes: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}},
		Sites:   map[netip.AddrPort]*model.Site{address: {Service: service, DataCentre: "a", Address: address}},
		Servers: map[model.ServerID]*model.BackendServer{server.ID: server},
	}
	catalog.IndexCallers()
	c.forwarding.Store(&forwardingTable{catalog: catalog, serversByAddress: map[netip.AddrPort]*model.BackendServer{server.Address: server}})
	p := packet.Packet{Kind: pb.Kind_KIND_DATA, Token: server.ID, Caller: netip.MustParseAddrPort("10.1.0.1:5000"), Service: address, Payload: make([]byte, 200)}
	return c, p.Append(nil)
}

// Guards against an allocation or the use of the mutex on the fast path.
func TestFastPathDoesNotAllocate(t *testing.T) {
	now := time.Unix(1000, 0)
	c, data := coreWithOpenFlow(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var scratch packet.Packet
	if n := testing.AllocsPerRun(100, func() {
		if to, ok := c.FastPathFromCaller(now, &scratch, data); !ok || to.Address.Port() != 9000 {
			t.Fatal("the packet is not forwarded on the fast path")
		}
	}); n != 0 {
		t.Errorf("got %v allocations per packet, want 0", n)
	}
}

// BenchmarkFastPath measures the forwarding decision for a data packet of an open
// flow, including decoding.
func BenchmarkFastPath(b *testing.B) {
	now := time.Unix(1000, 0)
	c, data := coreWithOpenFlow(now)
	var scratch packet.Packet
	b.ReportAllocs()
	for b.Loop() {
		c.FastPathFromCaller(now, &scratch, data)
	}
}

// Guards against data races between packet workers and events. Both run
// concurrently here, so that the race detector finds unsynchronised access.
func TestFastPathConcurrentWithEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	c, data := coreWithOpenFlow(now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var scratch packet.Packet
		for range 2000 {
			c.FastPathFromCaller(now, &scratch, data)
		}
	}()
	for i := range 200 {
		c.Handle(now.Add(time.Duration(i)*time.Millisecond), Tick{})
		c.Status(now)
	}
	<-done
}
