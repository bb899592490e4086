package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/readiness"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
)

// A server stops responding: its flows, including idle ones, are reset once two
// retransmissions and a probe agree, and the next flow goes to another server.
func TestUnresponsiveServerFlowsAreReset(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	opened := map[uint16]Verdict{}
	for port := uint16(1); port <= 3; port++ {
		opened[port] = inst.openEstablished(port)
	}
	inst.setServers(server("i-1", norte), server("i-2", norte))
	inst.advance(time.Second)
	inst.sendRequest(1, opened[1], 1)
	inst.sendRequest(2, opened[2], 1)
	inst.advance(200 * time.Millisecond)
	inst.sendRequest(1, opened[1], 1)
	if inst.probeCount() != 1 {
		t.Fatalf("%d probes after the first retransmission", inst.probeCount())
	}
	inst.advance(20 * time.Millisecond)
	inst.sendRequest(2, opened[2], 1)
	inst.advance(100 * time.Millisecond)
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.NoAnswer, ControlAnswered: true})
	resets := inst.resets()
	for port := uint16(1); port <= 3; port++ {
		if resets[key(port)] != ServerLost {
			t.Errorf("flow %d is not reset", port)
		}
	}
	if v := inst.open(9); v.Server.Name != "i-2" {
		t.Errorf("new flow at %s", v.Server.Name)
	}
}

// Packet loss must never reset a flow.
func TestPacketLossResetsNoFlow(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	v := inst.openEstablished(1)
	inst.advance(time.Second)
	inst.sendRequest(1, v, 1)
	inst.advance(200 * time.Millisecond)
	inst.sendRequest(1, v, 1)
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.NoAnswer, ControlAnswered: true})
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.Answered})
	if n := len(inst.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
	if got := inst.sendRequest(1, v, 1); got.Kind != Forward {
		t.Fatalf("after the second probe was answered: %+v", got)
	}
}

// Guards against resets of the flows of a full server: callers retransmit and probes stay
// unanswered, while other servers of the service answer. A refused connection still counts.
func TestSilentServerOfSaturatedServiceKeepsFlows(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	v := inst.openEstablished(1)
	inst.setServers(server("i-1", norte), server("i-2", norte))
	for range 100 {
		inst.core.serviceLoad(v.Server.Service, norte).RecordRefusal(inst.now)
	}
	inst.advance(10 * time.Millisecond)
	inst.sendRequest(1, v, 1)
	for range 4 {
		inst.advance(200 * time.Millisecond)
		inst.sendRequest(1, v, 1)
		inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.NoAnswer, ControlAnswered: true})
	}
	if n := len(inst.resets()); n > 0 {
		t.Fatalf("%d resets by silence", n)
	}
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.ConnectionRefused})
	if n := len(inst.resets()); n != 1 {
		t.Fatalf("%d resets after a refused connection", n)
	}
}

// Several servers crash at once. The first one detected triggers probes of the
// others, so that callers do not have to discover them one by one.
func TestSimultaneousServerCrashes(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte), server("i-3", norte), server("i-4", norte), server("i-5", sur))
	flows := map[uint16]string{}
	for port := uint16(1); port <= 8; port++ {
		flows[port] = inst.openEstablished(port).Server.Name
	}
	inst.advance(time.Second)
	crashed := map[string]bool{"i-1": true, "i-2": true, "i-3": true}
	inst.core.serverStates[inst.core.servers.Record("i-1")].reach.MarkSuspect(inst.now)
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.ConnectionRefused})
	if n := inst.probeCount(); n != 3 {
		t.Fatalf("%d probes of the 3 other servers of the data centre", n)
	}
	for _, name := range []string{"i-2", "i-3"} {
		inst.handleEvent(ProbeDone{Server: name, Result: reach.ConnectionRefused})
	}
	inst.handleEvent(ProbeDone{Server: "i-4", Result: reach.Answered})
	resets := inst.resets()
	for port, name := range flows {
		if _, reset := resets[key(port)]; reset != crashed[name] {
			t.Errorf("flow at %s reset: %t", name, reset)
		}
	}
	for port := uint16(20); port < 30; port++ {
		if v := inst.openEstablished(port); v.Server.Name != "i-4" {
			t.Fatalf("new flow at %s", v.Server.Name)
		}
	}
}

// A server's entry is removed while it has open flows: the server is probed,
// and its flows are reset at once if it no longer runs.
func TestDepartedServerIsProbed(t *testing.T) {
	for _, result := range []reach.ProbeResult{reach.ConnectionRefused, reach.OtherServer, reach.Answered} {
		inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
		v := inst.openEstablished(1)
		remaining := "i-1"
		if v.Server.Name == "i-1" {
			remaining = "i-2"
		}
		inst.advance(time.Second)
		inst.setServers(server(remaining, norte))
		if inst.probeCount() != 1 {
			t.Fatalf("%d probes", inst.probeCount())
		}
		inst.handleEvent(ProbeDone{Server: v.Server.Name, Result: result})
		_, reset := inst.resets()[key(1)]
		if reset != (result != reach.Answered) {
			t.Errorf("probe %s: flow reset %t", result, reset)
		}
	}
}

func TestServerRestartResetsItsFlows(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.openEstablished(1)
	restarted := server("i-1", norte)
	restarted.Incarnation = 99
	inst.setServers(restarted)
	if inst.resets()[key(1)] != ServerLost {
		t.Fatalf("no reset after the server restarted: %+v", inst.actions)
	}
}

// A crashed server rejects its callers, which the instance does not see. The
// few attempts of a caller, which follow each other at once, must not all go to
// that server.
func TestSuccessiveOpeningsOfCallerUseDifferentServers(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte), server("i-3", norte))
	first := inst.openEstablished(1)
	inst.advance(time.Second)
	inst.sendRequest(1, first, 1)
	used := map[string]bool{first.Server.Name: true}
	for port := uint16(2); port <= 3; port++ {
		inst.advance(3 * time.Millisecond)
		v := inst.open(port)
		if used[v.Server.Name] {
			t.Fatalf("attempt %d goes to %s again", port, v.Server.Name)
		}
		used[v.Server.Name] = true
	}
	if inst.probeCount() != 2 {
		t.Fatalf("%d probes of the two servers that did not answer", inst.probeCount())
	}
	if n := len(inst.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
}

// A data centre loses power, and its callers come to this instance with flows
// at its servers. The servers are probed at the first packet, not only at its
// retransmission.
func TestTakenOverFlowsProbeRemoteServer(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", sur), server("i-3", sur))
	for port := uint16(1); port <= 3; port++ {
		inst.handlePacket(&flow.Segment{Key: key(port), Seq: 1, Ack: 9, Length: 50, Token: token.ForServer("i-2", 0)})
	}
	if inst.probeCount() != 1 {
		t.Fatalf("%d probes", inst.probeCount())
	}
	inst.advance(120 * time.Millisecond)
	for range 3 {
		inst.handleEvent(ProbeDone{Server: "i-2", Result: reach.NoAnswer, ControlAnswered: true})
	}
	if n := len(inst.resets()); n != 3 {
		t.Fatalf("%d of 3 flows are reset", n)
	}
	inst.handlePacket(&flow.Segment{Key: key(9), Seq: 1, Ack: 9, Length: 50, Token: token.ForServer("i-1", 0)})
	if n := inst.probeCount(); n > 5 {
		t.Fatalf("%d probes", n)
	}
}

// A data centre whose own servers are withdrawn is cut off from the others: its
// instances report not ready, and ready again when servers are reachable.
func TestNotReadyWithoutReachableServers(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", sur), server("i-3", sur))
	inst.setWithdrawn(norte, true)
	v := inst.openEstablished(1)
	inst.advance(time.Second)
	inst.sendRequest(1, v, 1)
	inst.advance(200 * time.Millisecond)
	inst.sendRequest(1, v, 1)
	for range 3 {
		inst.advance(120 * time.Millisecond)
		for _, name := range []string{"i-2", "i-3"} {
			inst.handleEvent(ProbeDone{Server: name, Result: reach.NoAnswer, ControlAnswered: true})
		}
	}
	if inst.core.Ready() {
		t.Fatal("ready without any reachable server")
	}
	if inst.resets()[key(1)] != ServerLost {
		t.Fatal("the flow to the data centre that was cut off is not reset")
	}
	for range 20 {
		inst.advance(TickInterval)
		for _, a := range inst.handleEvent(Tick{}) {
			if p, ok := a.(Probe); ok {
				inst.handleEvent(ProbeDone{Server: p.Server, Result: reach.Answered})
			}
		}
	}
	if !inst.core.Ready() {
		t.Fatal("not ready though the servers answer again")
	}
}

// Guards against an instance that reports ready for seconds although its data centre
// is withdrawn and cut off, until it has probed each of hundreds of servers of the
// other data centres. It plays the load of such a data centre: some callers repeat
// their packets, and the first probes stay unanswered.
func TestNotReadyAfterFewProbesOfManyServers(t *testing.T) {
	var servers []registry.Entry
	for i := range 120 {
		servers = append(servers, server(fmt.Sprintf("i-%d", i), sur))
	}
	inst := newTestInstance(t, append(servers, server("i-norte", norte))...)
	inst.setWithdrawn(norte, true)
	v := inst.openEstablished(1)
	inst.advance(time.Second)
	inst.sendRequest(1, v, 1)
	inst.advance(200 * time.Millisecond)
	inst.sendRequest(1, v, 1)
	inst.advance(120 * time.Millisecond)
	for i := range readiness.MinLostServers {
		inst.core.serverStates[inst.core.servers.Record(fmt.Sprintf("i-%d", i))].reach.MarkSuspect(inst.now)
		inst.handleEvent(ProbeDone{Server: fmt.Sprintf("i-%d", i), Result: reach.NoAnswer, ControlAnswered: false})
	}
	inst.advance(TickInterval)
	inst.handleEvent(Tick{})
	if inst.core.Ready() {
		t.Fatalf("ready after %d of 120 servers of the only other data centre did not answer and none did", readiness.MinLostServers)
	}
	inst.handleEvent(ProbeDone{Server: "i-0", Result: reach.Answered})
	for range 7 {
		inst.advance(TickInterval)
		inst.handleEvent(Tick{})
	}
	if !inst.core.Ready() {
		t.Fatal("not ready though a server answers again")
	}
}

// A service with one flow per request opens more flows than a service with long
// flows. If its few servers are unreachable, an instance whose other callers
// are served must stay ready.
func TestReadinessWeighsServicesByRequests(t *testing.T) {
	other := server("i-9", sur)
	other.Service = "ordenes"
	inst := newTestInstance(t, server("i-1", norte), other)
	secondService := netip.MustParseAddrPort("198.18.0.2:443")
	c := &routing.Configuration{Version: 2, IdleTimeout: time.Minute, Routes: map[netip.AddrPort]*routing.Route{
		service:       {Shares: []routing.Share{{Service: campo, Weight: 1}}},
		secondService: {Shares: []routing.Share{{Service: "ordenes", Weight: 1}}},
	}}
	inst.handleEvent(SourceUpdated{Kind: source.Configuration, AsOf: inst.now, Update: source.Update{Full: true, Position: source.Position{Revision: 50}, Configuration: c}})
	v := inst.openEstablished(1)
	for i := range uint32(60) {
		inst.sendRequest(1, v, 1+50*i)
		inst.handlePacket(&flow.Segment{Key: key(1), Seq: 51 + 50*i, Ack: 200 + i, Token: v.Token})
		if i%3 == 0 {
			k := flow.NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.8"), uint16(i)), secondService)
			got := inst.handlePacket(&flow.Segment{Key: k, Opening: true})
			inst.handlePacket(&flow.Segment{Key: k, Seq: 1, Ack: 7, Length: 9, Token: got.Token})
		}
		inst.advance(10 * time.Millisecond)
	}
	inst.core.services["ordenes"].remote[0].reach.MarkSuspect(inst.now)
	for range 3 {
		inst.handleEvent(ProbeDone{Server: "i-9", Result: reach.NoAnswer, ControlAnswered: true})
		inst.handleEvent(Tick{})
	}
	if !inst.core.Ready() {
		t.Fatal("not ready though three quarters of the requests are served")
	}
}

// A packet arrives of a flow whose server departed before this instance
// started.
func TestUnknownTokenOfDepartedServer(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.advance(3 * time.Second)
	s := flow.Segment{Key: key(1), Seq: 1, Ack: 5, Length: 9, Token: token.ForServer("i-99", 0)}
	if v := inst.handlePacket(&s); v.Kind != Drop || v.Reason != UnknownToken {
		t.Fatalf("packet with an unknown token: %+v", v)
	}
	if _, ok := inst.actions[len(inst.actions)-1].(Refresh); !ok {
		t.Fatalf("no read of the registry: %+v", inst.actions)
	}
	inst.advance(5 * time.Millisecond)
	inst.setServers(server("i-1", norte))
	if inst.resets()[key(1)] != UnknownToken {
		t.Fatalf("the flow of a departed server is not reset: %+v", inst.actions)
	}
}

// A server may register between two reads; its flows must not be reset.
func TestUnknownTokenOfNewServer(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.advance(3 * time.Second)
	s := flow.Segment{Key: key(1), Seq: 1, Ack: 5, Length: 9, Token: token.ForServer("i-99", 0)}
	inst.handlePacket(&s)
	inst.advance(5 * time.Millisecond)
	inst.setServers(server("i-1", norte), server("i-99", norte))
	if n := len(inst.resets()); n > 0 {
		t.Fatalf("%d resets", n)
	}
	if v := inst.handlePacket(&s); v.Kind != Forward || v.Server.Name != "i-99" {
		t.Fatalf("packet after its server was listed: %+v", v)
	}
}

// After an outage of the registry, entries of live servers may be missing.
func TestUnknownTokenAfterRegistryOutage(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.advance(3 * time.Second)
	inst.handleEvent(CallFailed{Kind: source.Registry, Sent: inst.now})
	inst.advance(3 * time.Second)
	inst.setServers(server("i-1", norte))
	inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 5, Length: 9, Token: token.ForServer("i-99", 0)})
	inst.advance(time.Second)
	inst.setServers(server("i-1", norte))
	if n := len(inst.resets()); n > 0 {
		t.Fatalf("%d resets within the lapse grace", n)
	}
}

// A follower learns of an outage of the registry only from the instance that it
// follows. Entries that lapsed in the outage must not leave the service without
// servers at the follower.
func TestFollowerAppliesLapseGrace(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.advance(5 * time.Second)
	inst.handleEvent(RegistryOutage{LastEnd: inst.now.Add(-100 * time.Millisecond)})
	inst.setServers()
	if v := inst.open(1); v.Kind != Forward {
		t.Fatalf("within the lapse grace: %s, %s", v.Kind, v.Reason)
	}
	inst.advance(3 * time.Second)
	inst.handleEvent(Tick{})
	inst.confirmSources()
	if v := inst.open(2); v.Kind != Reset {
		t.Fatalf("3 s later: %s, %s", v.Kind, v.Reason)
	}
}

// A server that drained and departed says nothing about the other servers of
// its data centre.
func TestDepartedServerTriggersNoDataCentreProbes(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte), server("i-3", norte))
	for port := uint16(1); port <= 6; port++ {
		inst.openEstablished(port)
	}
	inst.advance(time.Second)
	draining := server("i-1", norte)
	draining.Draining = true
	inst.setServers(draining, server("i-2", norte), server("i-3", norte))
	inst.setServers(server("i-2", norte), server("i-3", norte))
	if n := inst.probeCount(); n != 1 {
		t.Fatalf("%d probes of a server that departed with open flows", n)
	}
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.ConnectionRefused})
	if n := inst.probeCount(); n != 1 {
		t.Errorf("%d probes after the departed server refused its probe", n)
	}
}

// Guards against resets of flows that a leaving server still serves: it stops to accept
// connections before it has ended.
func TestRefusedProbeOfDrainingServerResetsNothing(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.openEstablished(1)
	draining := server("i-1", norte)
	draining.Draining = true
	inst.setServers(draining)
	inst.core.serverStates[inst.core.servers.Record("i-1")].reach.MarkSuspect(inst.now)
	for range 5 {
		inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.ConnectionRefused, ControlAnswered: true})
	}
	if resets := inst.resets(); len(resets) > 0 {
		t.Fatalf("resets %v while the server is registered", resets)
	}
	inst.setServers()
	inst.handleEvent(ProbeDone{Server: "i-1", Result: reach.ConnectionRefused})
	if resets := inst.resets(); len(resets) != 1 {
		t.Errorf("%d resets after the server has left, want 1", len(resets))
	}
}
