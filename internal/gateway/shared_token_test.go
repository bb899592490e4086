package gateway

import (
	"testing"

	"cuminshift/internal/flow"
	"cuminshift/internal/registry"
	"cuminshift/internal/token"
)

const (
	// sharingA and sharingB have the same first token.
	sharingA, sharingB = "i-d78d21f7", "i-1f36606b"
	// sharingSecondOfB has the second token of sharingB.
	sharingSecondOfB = "i-601ecd47"
)

// startedServer returns a server that started at a time.
func startedServer(name string, started int64) registry.Entry {
	e := server(name, norte)
	e.Incarnation = started
	return e
}

// Guards against the reset of an open flow whose caller paused: a server with the same
// token has joined, and an instance that did not see the flow being opened sends the
// flow's packets there.
func TestPausedFlowStaysAtItsServerWhenAnotherSharesItsToken(t *testing.T) {
	if token.ForServer(sharingA, 0) != token.ForServer(sharingB, 0) {
		t.Fatal("the names do not share a token")
	}
	for _, names := range [][2]string{{sharingA, sharingB}, {sharingB, sharingA}} {
		first, second := startedServer(names[0], 100), startedServer(names[1], 200)
		inst := newTestInstance(t, first)
		opened := inst.openEstablished(1)
		for _, listed := range [][]registry.Entry{{first, second}, {second, first}} {
			restarted := newTestInstance(t, listed...)
			v := restarted.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Length: 50, Token: opened.Token})
			if v.Kind != Forward || v.Server.Name != first.Name {
				t.Errorf("listed %s first: packet of a flow at %s: %s to %+v", listed[0].Name, first.Name, v.Kind, v.Server)
			}
			restarted.openAtEach(second.Name, first.Name)
		}
	}
}

// openAtEach opens flows until each server has one, and checks that another instance
// sends their packets to the same server.
func (inst *testInstance) openAtEach(names ...string) {
	inst.t.Helper()
	missing := map[string]bool{}
	for _, name := range names {
		missing[name] = true
	}
	for port := uint16(100); len(missing) > 0; port++ {
		if port == 300 {
			inst.t.Fatalf("no flow at %v", missing)
		}
		v := inst.openEstablished(port)
		delete(missing, v.Server.Name)
		other := newTestInstance(inst.t, *inst.core.servers.Record(names[0]).Entry, *inst.core.servers.Record(names[1]).Entry)
		if got := other.handlePacket(&flow.Segment{Key: key(port), Seq: 1, Ack: 100, Length: 50, Token: v.Token}); got.Kind != Forward || got.Server.Name != v.Server.Name {
			inst.t.Fatalf("packet of a flow at %s: %s to %+v", v.Server.Name, got.Kind, got.Server)
		}
	}
}

// Guards against the reset of a flow by a server that was chosen among several by
// chance: a packet that cannot be placed is dropped, now and after the next read.
func TestPacketWithTokenOfUnknownOrderIsDropped(t *testing.T) {
	inst := newTestInstance(t, server(sharingA, norte), server(sharingB, norte))
	s := &flow.Segment{Key: key(1), Seq: 1, Ack: 100, Length: 50, Token: token.ForServer(sharingA, 0)}
	if v := inst.handlePacket(s); v.Kind != Drop || v.Reason != AmbiguousToken {
		t.Errorf("%s to %+v, %s", v.Kind, v.Server, v.Reason)
	}
	other := server(sharingB, norte)
	other.Service = "ordenes"
	apart := newTestInstance(t, server(sharingA, norte), other)
	if v := apart.handlePacket(s); v.Kind != Forward || v.Server.Name != sharingA {
		t.Errorf("one server of the route: %s to %+v, %s", v.Kind, v.Server, v.Reason)
	}
}

// Guards against a flow that is not answered while it opens, because a server with the same
// token joins and the order of their starts is not known.
func TestOpeningFlowStaysAtItsServerWhenTokenBecomesShared(t *testing.T) {
	inst := newTestInstance(t, server(sharingA, norte))
	opened := inst.open(1)
	inst.setServers(server(sharingA, norte), server(sharingB, norte))
	v := inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: opened.Token})
	if v.Kind != Forward || v.Server.Name != sharingA {
		t.Errorf("%s to %+v, %s", v.Kind, v.Server, v.Reason)
	}
}

// Guards against the reset of a flow with an unknown token that turns out to be shared by
// servers which have registered since.
func TestFlowWithTokenThatIsSharedLaterIsNotReset(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.advance(registry.LapseGrace)
	inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Length: 50, Token: token.ForServer(sharingA, 0)})
	inst.advance(TickInterval)
	inst.actions = nil
	inst.setServers(server("i-1", norte), server(sharingA, norte), server(sharingB, norte))
	for _, a := range inst.actions {
		if r, ok := a.(ResetFlow); ok {
			t.Errorf("reset: %+v", r)
		}
	}
}

// Guards against a token that stays with a server which lost its flows when it restarted.
func TestTokenPassesOnWhenItsServerRestarts(t *testing.T) {
	inst := newTestInstance(t, startedServer(sharingA, 100), startedServer(sharingB, 200))
	inst.setServers(startedServer(sharingA, 300), startedServer(sharingB, 200))
	v := inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Length: 50, Token: token.ForServer(sharingB, 0)})
	if v.Kind != Forward || v.Server.Name != sharingB {
		t.Errorf("%s to %+v; want it at the server that has run for longer", v.Kind, v.Server)
	}
	inst.openAtEach(sharingA, sharingB)
}

// Guards against flows at a server that no token names: their packets would reach another
// server at any instance that has not seen the flow being opened.
func TestServerWithoutTokenGetsNoFlows(t *testing.T) {
	a, c, without := startedServer(sharingA, 100), startedServer(sharingSecondOfB, 150), startedServer(sharingB, 200)
	inst := newTestInstance(t, a, c, without)
	for port := range uint16(60) {
		if v := inst.open(3000 + port); v.Server == nil || v.Server.Name == sharingB {
			t.Fatalf("opening: %+v; want it at a server that has a token", v)
		}
	}
}
