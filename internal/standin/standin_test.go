package standin_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/caller"
	"cuminshift/internal/standin/fabric"
	"cuminshift/internal/standin/instancelist"
	"cuminshift/internal/standin/server"
	"cuminshift/internal/standin/wire"
)

// forwarder is a minimal entry instance that selects the server by the flow
// hash. When misrouteEvery is n > 0, it sends every nth packet to another
// server.
type forwarder struct {
	callerConn, serverConn *net.UDPConn
	servers                []netip.AddrPort
	misrouteEvery, packets int
}

func startForwarder(t *testing.T, ctx context.Context, servers []netip.AddrPort, misrouteEvery int) *forwarder {
	t.Helper()
	f := &forwarder{servers: servers, misrouteEvery: misrouteEvery}
	for _, c := range []**net.UDPConn{&f.callerConn, &f.serverConn} {
		conn, err := wire.ListenUDP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		*c = conn
	}
	go f.loop(f.callerConn, f.toServer)
	go f.loop(f.serverConn, f.toCaller)
	return f
}

func (f *forwarder) loop(c *net.UDPConn, handle func(*pb.Packet)) {
	buf := make([]byte, wire.MaxDatagramSize)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, err := wire.Decode(buf[:n]); err == nil {
			handle(p)
		}
	}
}

func (f *forwarder) toServer(p *pb.Packet) {
	flow := wire.FlowOf(p)
	i := int(uint64(model.FlowKey(flow).Hash()) % uint64(len(f.servers)))
	if f.packets++; f.misrouteEvery > 0 && f.packets%f.misrouteEvery == 0 {
		i = (i + 1) % len(f.servers)
	}
	_ = wire.Send(f.serverConn, p, f.servers[i])
}

func (f *forwarder) toCaller(p *pb.Packet) {
	_ = wire.Send(f.callerConn, p, wire.FlowOf(p).Caller)
}

// testbed is a fabric with two forwarders and two servers.
type testbed struct {
	fabric  *fabric.Fabric
	list    *instancelist.List
	servers []*server.Server
}

func startTestbed(t *testing.T, misrouteEvery int, fabricConfig fabric.Config, serverConfig server.Config) *testbed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	b := &testbed{}
	var addrs []netip.AddrPort
	for _, name := range []string{"s1", "s2"} {
		c := serverConfig
		c.Name, c.Service, c.Listen, c.HealthListen = name, "campo", "127.0.0.1:0", "127.0.0.1:0"
		s, err := server.Start(ctx, c)
		if err != nil {
			t.Fatal(err)
		}
		b.servers = append(b.servers, s)
		addrs = append(addrs, s.Addr)
	}
	var entries []instancelist.Entry
	for _, name := range []string{"e1", "e2"} {
		f := startForwarder(t, ctx, addrs, misrouteEvery)
		entries = append(entries, instancelist.Entry{Instance: name, DataCentre: "dc", PacketAddress: wire.LocalAddr(f.callerConn).String()})
	}
	list, srv, err := instancelist.Start(ctx, "127.0.0.1:0", 0, entries)
	if err != nil {
		t.Fatal(err)
	}
	b.list = list
	fabricConfig.Listen, fabricConfig.DataCentre, fabricConfig.InstanceListURL = "127.0.0.1:0", "dc", srv.URL()
	if b.fabric, err = fabric.Start(ctx, fabricConfig); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *testbed) run(t *testing.T, c caller.Config) *caller.Result {
	t.Helper()
	c.Fabric, c.Service, c.ServiceName = b.fabric.Addr.String(), "127.0.0.200:80", "campo"
	c.Addresses, c.Seed = []string{"127.0.1.1", "127.0.1.2"}, 1
	c.RetransmitInterval, c.BrokenAfter, c.Deadline = 50*time.Millisecond, time.Second, time.Second
	r, err := caller.Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against the stand-ins losing, mixing up or miscounting messages on a
// fabric that duplicates, loses and reorders datagrams.
func TestCallersThroughFaultyFabric(t *testing.T) {
	b := startTestbed(t, 0, fabric.Config{DuplicateRate: 0.05, LossRate: 0.05, ReorderRate: 0.2, Seed: 3},
		server.Config{Slots: 50, ServiceTime: time.Millisecond, Parts: 3})
	r := b.run(t, caller.Config{Flows: 40, Duration: time.Second, DataInterval: 20 * time.Millisecond, RequestInterval: 30 * time.Millisecond, NonIdempotentShare: 0.5})
	if !r.Faultless() || r.Opened != 40 || r.Lost != 0 {
		t.Errorf("opened %d flows, want 40; lost %d messages, want 0; result %+v", r.Opened, r.Lost, r)
	}
	if r.Sent != r.Answered+r.Refused+r.Lost {
		t.Errorf("sent %d, answered %d, refused %d, lost %d do not add up", r.Sent, r.Answered, r.Refused, r.Lost)
	}
	var duplicateRuns, openings, open uint64
	for _, s := range b.servers {
		st := s.Stats()
		duplicateRuns += st.DuplicateRuns + st.DuplicateIdempotentRuns
		openings += st.Openings
		open += uint64(st.OpenFlows)
	}
	if openings != 40 {
		t.Errorf("servers counted %d openings of 40 flows", openings)
	}
	if duplicateRuns == 0 {
		t.Error("the forwarders pass on duplicated requests, but the servers counted no duplicate run")
	}
	if b.fabric.Stats.Lost.Load() == 0 || b.fabric.Stats.Duplicated.Load() == 0 || b.fabric.Stats.Reordered.Load() == 0 {
		t.Error("the fabric did not lose, duplicate and reorder datagrams")
	}
	t.Logf("sent %d, answered %d, retransmitted %d, duplicate runs %d, flows still open %d", r.Sent, r.Answered, r.Retransmitted, duplicateRuns, open)
}

// Guards against a caller that does not detect packets that reach a wrong
// server.
func TestCallerReportsMisroutedPackets(t *testing.T) {
	b := startTestbed(t, 25, fabric.Config{}, server.Config{Slots: 50, ServiceTime: time.Millisecond})
	r := b.run(t, caller.Config{Flows: 20, Duration: 500 * time.Millisecond, DataInterval: 10 * time.Millisecond})
	if r.Broken == 0 {
		t.Errorf("packets were sent to another server, but no flow was reported broken: %+v", r)
	}
}

// Guards against a refusal with DID_NOT_RUN of a request that has run.
func TestShedRequestDidNotRun(t *testing.T) {
	b := startTestbed(t, 0, fabric.Config{}, server.Config{Slots: 1, ServiceTime: 20 * time.Millisecond})
	r := b.run(t, caller.Config{Flows: 10, Duration: 500 * time.Millisecond, RequestInterval: 10 * time.Millisecond, NonIdempotentShare: 1})
	if r.Refused == 0 {
		t.Fatalf("servers without free slots refused no request: %+v", r)
	}
	for _, n := range r.NotRun {
		for _, s := range b.servers {
			if s.Runs(wire.Flow{Caller: n.Caller, Service: n.Service}, n.RequestID) > 0 {
				t.Errorf("request %x was refused with DID_NOT_RUN but ran", n.RequestID)
			}
		}
	}
}

// testRequest sends copies of one request of an open flow to a server.
type testRequest struct {
	t      *testing.T
	conn   *net.UDPConn
	server *server.Server
	flow   wire.Flow
	id     uint64
}

func (r *testRequest) send(kind pb.Kind) *pb.Packet {
	r.t.Helper()
	p := &pb.Packet{Kind: kind}
	if kind == pb.Kind_KIND_REQUEST {
		p.RequestId = r.id
	}
	wire.SetCaller(p, r.flow.Caller)
	wire.SetService(p, r.flow.Service)
	if err := wire.Send(r.conn, p, r.server.Addr); err != nil {
		r.t.Fatal(err)
	}
	return r.receive()
}

func (r *testRequest) receive() *pb.Packet {
	r.t.Helper()
	buf := make([]byte, wire.MaxDatagramSize)
	if err := r.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	n, _, err := r.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		r.t.Fatal(err)
	}
	p, err := wire.Decode(buf[:n])
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

// Guards against a refusal with DID_NOT_RUN that another copy of the same request
// makes untrue: a copy that ran before, or one that arrives after the overload. A
// caller sends copies when the reply to the first one is late.
func TestCopyOfShedRequestDoesNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := server.Start(ctx, server.Config{Name: "s1", Service: "campo", Listen: "127.0.0.1:0", HealthListen: "127.0.0.1:0", Slots: 1, ServiceTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := wire.ListenUDP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	r := &testRequest{t: t, conn: conn, server: s, id: 1,
		flow: wire.Flow{Caller: netip.MustParseAddrPort("127.0.1.1:5000"), Service: netip.MustParseAddrPort("127.0.0.200:80")}}
	r.send(pb.Kind_KIND_OPEN)
	s.SetSwitches(server.Switches{Shed: true})
	if p := r.send(pb.Kind_KIND_REQUEST); p.GetOutcome() != pb.Outcome_OUTCOME_DID_NOT_RUN {
		t.Fatalf("got %v %v from a server that sheds all requests, want DID_NOT_RUN", p.GetKind(), p.GetOutcome())
	}
	s.SetSwitches(server.Switches{})
	if p := r.send(pb.Kind_KIND_REQUEST); p.GetKind() != pb.Kind_KIND_REFUSAL || s.Runs(r.flow, r.id) > 0 {
		t.Errorf("got %v for a copy of a request that was refused with DID_NOT_RUN, and %d runs", p.GetKind(), s.Runs(r.flow, r.id))
	}
	r.id = 2
	if p := r.send(pb.Kind_KIND_REQUEST); p.GetKind() != pb.Kind_KIND_ANSWER {
		t.Fatalf("got %v, want an answer", p.GetKind())
	}
	s.SetSwitches(server.Switches{Shed: true})
	if p := r.send(pb.Kind_KIND_REQUEST); p.GetOutcome() == pb.Outcome_OUTCOME_DID_NOT_RUN {
		t.Error("a copy of a request that ran was refused with DID_NOT_RUN")
	}
}

// Guards against a cold server that does not count overload or never becomes
// warm.
func TestColdServerCountsLoadAboveCapacity(t *testing.T) {
	b := startTestbed(t, 0, fabric.Config{}, server.Config{Slots: 8, ServiceTime: time.Millisecond, ColdSlots: 1, ColdOpeningsPerSecond: 5, WarmAfter: 300})
	b.run(t, caller.Config{Flows: 40, Duration: time.Second, RequestInterval: 10 * time.Millisecond})
	for _, s := range b.servers {
		if st := s.Stats(); st.PeakColdLoad <= 1 || st.ColdOpeningsOverCapacity == 0 || st.Cold {
			t.Errorf("about 20 simultaneous openings on a server with a cold capacity of 5 per second: %+v", st)
		}
	}
}

// Guards against a draining server that accepts flows, and against a health
// endpoint that does not report the state set in ReportedState.
func TestDrainAndFalseStatus(t *testing.T) {
	b := startTestbed(t, 0, fabric.Config{}, server.Config{Slots: 8, ServiceTime: time.Millisecond})
	for _, s := range b.servers {
		s.SetSwitches(server.Switches{Drain: true, RefuseOpenings: true, ReportedState: "down"})
	}
	r := b.run(t, caller.Config{Flows: 4, Duration: 300 * time.Millisecond, DataInterval: 10 * time.Millisecond})
	if r.Opened != 0 || r.Causes[pb.Reason_REASON_DRAINING.String()] == 0 {
		t.Errorf("draining servers accepted flows: %+v", r)
	}
	c := cuminshiftv1connect.NewBackendStatusClient(http.DefaultClient, "http://"+b.servers[0].HealthAddr)
	st, err := c.Status(t.Context(), connect.NewRequest(&pb.BackendStatusRequest{}))
	if err != nil || st.Msg.GetState() != pb.BackendStatusResponse_STATE_DOWN {
		t.Errorf("status is %v, %v; want the reported state DOWN", st, err)
	}
}

// Guards against delivery of datagrams to an instance that is leaving or
// removed.
func TestFabricSkipsLeavingInstances(t *testing.T) {
	b := startTestbed(t, 0, fabric.Config{}, server.Config{Slots: 8})
	b.list.MarkLeaving("e1")
	b.list.Remove("e2")
	time.Sleep(2 * fabric.PollInterval)
	before := b.fabric.Stats.Delivered.Load()
	r := b.run(t, caller.Config{Flows: 2, Duration: 200 * time.Millisecond})
	if got := b.fabric.Stats.Delivered.Load() - before; got != 0 || r.Opened != 0 {
		t.Errorf("%d datagrams delivered although no instance is ready", got)
	}
}
