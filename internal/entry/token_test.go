package entry

import (
	"net/netip"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

var (
	serviceAddress = netip.MustParseAddrPort("10.200.0.1:80")
	callerAddress  = netip.MustParseAddrPort("10.1.0.1:5000")
	// otherCallerAddress belongs to the same caller, on another flow.
	otherCallerAddress = netip.MustParseAddrPort("10.1.0.2:5000")
)

// singleInstance drives the core of the only instance of a data centre.
type singleInstance struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newSingleInstance(t *testing.T, use model.PlanUse, names ...string) *singleInstance {
	s := &singleInstance{t: t, now: time.Unix(1000, 0)}
	s.core = New(Config{Self: "a1", DataCentre: "a", Incarnation: 1, Started: s.now, HeartbeatInterval: 200 * time.Millisecond, Lease: 600 * time.Millisecond,
		DeadAfter: membership.DefaultDeadAfter, FlowIdleTimeout: 4 * time.Second})
	s.core.Handle(s.now, InstanceListRead{Instances: []*pb.ListedInstance{{Instance: "a1", DataCentre: "a", PacketAddress: "10.0.0.1:9101"}}})
	s.configure(1, use, names...)
	s.advance(10 * time.Second)
	return s
}

// configure applies a configuration version with the named servers of the
// service campo.
func (s *singleInstance) configure(version uint64, use model.PlanUse, names ...string) {
	service := &model.Service{ID: model.NewServiceID("campo"), Name: "campo"}
	site := &model.Site{Service: service, DataCentre: "a", Address: serviceAddress}
	service.Sites = []*model.Site{site}
	plan := &model.Plan{Name: "parana", Uses: map[model.ServiceID]model.PlanUse{service.ID: use}}
	c := &model.Catalog{
		Version: version, Services: map[model.ServiceID]*model.Service{service.ID: service}, Servers: map[model.ServerID]*model.BackendServer{},
		Sites:   map[netip.AddrPort]*model.Site{serviceAddress: site},
		Callers: map[string]*model.Caller{"villa": {Name: "villa", Plan: plan, Prefixes: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}},
	}
	for i, name := range names {
		server := &model.BackendServer{ID: model.NewServerID("campo", name), Name: name, Service: service.ID, DataCentre: "a", Slots: 3, ColdOpeningsPerSecond: 10,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(name[len(name)-1])}), uint16(9000+i))}
		site.Servers = append(site.Servers, server)
		c.Servers[server.ID] = server
	}
	c.IndexCallers()
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	s.core.setCatalog(s.now, c, "test")
}

// advance moves the time forward in ticks.
func (s *singleInstance) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(TickInterval)
		s.core.Handle(s.now, Tick{})
	}
}

// send delivers a caller's packet to the core and returns the datagrams sent to
// servers. refused is the reason if the packet was refused, otherwise 0.
func (s *singleInstance) send(p packet.Packet) (to []SendToServer, refused pb.Reason) {
	if !p.Caller.IsValid() {
		p.Caller = callerAddress
	}
	p.Service = serviceAddress
	var scratch packet.Packet
	data := p.Append(nil)
	if f, ok := s.core.FastPathFromCaller(s.now, &scratch, data); ok {
		return []SendToServer{{Server: f.Server, Address: f.Address, Data: data}}, 0
	}
	for _, a := range s.core.Handle(s.now, CallerPacket{Data: data}) {
		switch a := a.(type) {
		case SendToServer:
			to = append(to, a)
		case SendToCaller:
			var reply packet.Packet
			if err := reply.Decode(a.Data); err != nil {
				s.t.Fatal(err)
			}
			refused = reply.Reason
		}
	}
	return to, refused
}

// answer delivers a server's reply of the given kind to a datagram.
func (s *singleInstance) answer(sent SendToServer, kind pb.Kind) {
	var p packet.Packet
	if err := p.Decode(sent.Data); err != nil {
		s.t.Fatal(err)
	}
	p.Kind = kind
	s.core.Handle(s.now, ServerPacket{From: sent.Address, Data: p.Append(nil)})
}

// open sends an opening and fails the test unless it reaches one server with the
// token of that server.
func (s *singleInstance) open(p packet.Packet) (sent SendToServer, token model.ServerID) {
	s.t.Helper()
	p.Kind = pb.Kind_KIND_OPEN
	to, refused := s.send(p)
	if len(to) != 1 {
		s.t.Fatalf("opening: refused with %v, sent to %d servers, want 1", refused, len(to))
	}
	var got packet.Packet
	if err := got.Decode(to[0].Data); err != nil {
		s.t.Fatal(err)
	}
	if got.Token != to[0].Server {
		s.t.Fatalf("opening to server %x has token %x", to[0].Server, got.Token)
	}
	return to[0], got.Token
}

// An instance that has not seen the opening of a flow forwards the flow's packets
// by their token.
func TestPacketsAreForwardedByToken(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{}, "s1", "s2", "s3")
	for _, name := range []string{"s1", "s2", "s3"} {
		id := model.NewServerID("campo", name)
		for _, kind := range []pb.Kind{pb.Kind_KIND_DATA, pb.Kind_KIND_CLOSE} {
			if to, refused := s.send(packet.Packet{Kind: kind, Token: id}); len(to) != 1 || to[0].Server != id {
				t.Errorf("%v of a flow at %s: sent to %v, refused with %v", kind, name, to, refused)
			}
		}
	}
}

// Copies of an opening go to the server of the first one, also after that server
// has answered, because the acknowledgement may have been lost.
func TestRetransmittedOpeningGoesToSameServer(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{}, "s1", "s2", "s3")
	first, _ := s.open(packet.Packet{})
	for i := range 4 {
		if i == 2 {
			s.answer(first, pb.Kind_KIND_OPEN_ACK)
		}
		s.advance(100 * time.Millisecond)
		if again, _ := s.open(packet.Packet{}); again.Server != first.Server {
			t.Errorf("copy %d went to another server", i+1)
		}
	}
}

// A token may name a server of a newer configuration than this instance holds. A
// packet with such a token is dropped, because the caller's next copy reaches
// another instance. A packet for a removed server is refused, so that the caller
// opens the flow again.
func TestTokensOfUnknownAndRemovedServers(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{}, "s1", "s2")
	newer := model.NewServerID("campo", "s3")
	if to, refused := s.send(packet.Packet{Kind: pb.Kind_KIND_DATA, Token: newer}); len(to) != 0 || refused != 0 {
		t.Errorf("server not known yet: sent %d, refused with %v, want a drop", len(to), refused)
	}
	removed := model.NewServerID("campo", "s1")
	s.configure(2, model.PlanUse{}, "s2")
	if to, refused := s.send(packet.Packet{Kind: pb.Kind_KIND_DATA, Token: removed}); len(to) != 0 || refused != pb.Reason_REASON_NO_SERVER {
		t.Errorf("removed server: sent %d, refused with %v, want NO_SERVER", len(to), refused)
	}
	if to, refused := s.send(packet.Packet{Kind: pb.Kind_KIND_DATA}); len(to) != 0 || refused != pb.Reason_REASON_UNKNOWN_FLOW {
		t.Errorf("no token: sent %d, refused with %v, want UNKNOWN_FLOW", len(to), refused)
	}
}

// An instance that started after a server was removed has no record of it. It ends
// the server's flows once the token cannot belong to a newer configuration, instead
// of dropping their packets for ever.
func TestTokenOfServerRemovedBeforeStart(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{}, "s2")
	p := packet.Packet{Kind: pb.Kind_KIND_DATA, Token: model.NewServerID("campo", "s1")}
	for waited := time.Duration(0); waited <= configApplyLimit; waited += 500 * time.Millisecond {
		if to, refused := s.send(p); len(to) != 0 || refused != 0 {
			t.Fatalf("after %s: sent %d, refused with %v, want a drop", waited, len(to), refused)
		}
		s.advance(500 * time.Millisecond)
	}
	if to, refused := s.send(p); len(to) != 0 || refused != pb.Reason_REASON_NO_SERVER {
		t.Errorf("after %s: sent %d, refused with %v, want NO_SERVER", configApplyLimit, len(to), refused)
	}
	s.configure(2, model.PlanUse{}, "s1", "s2")
	if to, _ := s.send(p); len(to) != 1 {
		t.Error("packet of a server that was added is not forwarded")
	}
}

// A token must not give access to a service that the caller's plan does not
// allow, or to another service than that of the packet's address.
func TestTokenGivesNoAccessToOtherServices(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{}, "s1")
	other := model.NewServerID("ordenes", "s1")
	c := *s.core.catalog
	c.Servers = map[model.ServerID]*model.BackendServer{other: {ID: other, Name: "s1", Service: model.NewServiceID("ordenes"), DataCentre: "a", Address: netip.MustParseAddrPort("10.9.9.9:1")}}
	for id, server := range s.core.catalog.Servers {
		c.Servers[id] = server
	}
	s.core.setCatalog(s.now, &c, "test")
	if to, _ := s.send(packet.Packet{Kind: pb.Kind_KIND_DATA, Token: other}); len(to) != 0 {
		t.Error("packet for campo was forwarded to a server of ordenes")
	}
	unlistedCaller := packet.Packet{Kind: pb.Kind_KIND_DATA, Token: model.NewServerID("campo", "s1"), Caller: netip.MustParseAddrPort("10.2.0.1:5000")}
	if to, refused := s.send(unlistedCaller); len(to) != 0 || refused != pb.Reason_REASON_NOT_IN_PLAN {
		t.Errorf("caller without a plan: sent %d, refused with %v, want NOT_IN_PLAN", len(to), refused)
	}
}

// A flow that ends without a CLOSE releases its place under a concurrency limit
// once it is idle.
func TestIdleFlowReleasesConcurrencyLimit(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{ConcurrentFlows: 1}, "s1")
	sent, token := s.open(packet.Packet{})
	s.answer(sent, pb.Kind_KIND_OPEN_ACK)
	second := packet.Packet{Kind: pb.Kind_KIND_OPEN, Caller: netip.MustParseAddrPort("10.1.0.2:5000")}
	for range 5 {
		// The flow is in use, so it continues to count.
		s.advance(2 * time.Second)
		if to, _ := s.send(packet.Packet{Kind: pb.Kind_KIND_DATA, Token: token}); len(to) != 1 {
			t.Fatal("data packet is not forwarded")
		}
		if _, refused := s.send(second); refused != pb.Reason_REASON_CONCURRENCY_LIMIT {
			t.Fatalf("second flow: %v, want CONCURRENCY_LIMIT", refused)
		}
	}
	s.advance(6 * time.Second)
	if to, refused := s.send(second); len(to) != 1 {
		t.Errorf("second flow after the first one was idle: refused with %v", refused)
	}
}
