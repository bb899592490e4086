package steering

import (
	"testing"
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	filterService = model.ServiceID(1)
	oldServer     = model.ServerID(10)
	newServer     = model.ServerID(11)
)

// filterPair returns the owner and another instance of a service whose only
// bucket is MIXED with newServer as base, settled, and with one exception.
func filterPair(now time.Time) (owner, other *Steering, later time.Time) {
	members := []dcstate.Member{
		{Instance: "a", Incarnation: 1, State: pb.InstanceState_INSTANCE_STATE_READY},
		{Instance: "b", Incarnation: 1, State: pb.InstanceState_INSTANCE_STATE_READY},
	}
	state := func(generation uint64, b dcstate.Bucket) *dcstate.State {
		return dcstate.New(dcstate.Version{Generation: generation, Publisher: "a"}, members, map[model.ServiceID][]dcstate.Bucket{filterService: {b}})
	}
	states := []*dcstate.State{
		state(1, dcstate.Bucket{Base: oldServer, Phase: dcstate.Stable}),
		state(2, dcstate.Bucket{Base: oldServer, Next: newServer, Phase: dcstate.Active}),
		state(3, dcstate.Bucket{Base: newServer, Phase: dcstate.Mixed}),
	}
	byID := map[model.InstanceID]*Steering{}
	for _, id := range []model.InstanceID{"a", "b"} {
		byID[id] = New(Config{Self: id, Incarnation: 1, Belongs: func(model.ServiceID, model.ServerID) bool { return true }}, flowtable.New(1, 64, now))
	}
	for _, s := range states {
		now = now.Add(10 * time.Second)
		for _, instance := range byID {
			instance.Tick(now)
			instance.StateChanged(now, s, nil)
		}
	}
	first, _ := states[2].Owner(filterService, 0)
	owner, other = byID["a"], byID["b"]
	if first == "b" {
		owner, other = other, owner
	}
	owner.HandlePeer(now, other.cfg.Self, &pb.PeerMessage{Body: &pb.PeerMessage_Records{Records: &pb.RecordBatch{
		Add: []*pb.FlowGroup{{Service: uint64(filterService), Server: uint64(oldServer), Flows: []uint64{77}}}, Sequence: 5,
	}}})
	// An instance that has not run for a while is careful for 100 ms; both run
	// until the bucket has settled.
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		owner.Tick(now)
		other.Tick(now)
	}
	return owner, other, now
}

// resolveThrough passes a packet to an instance and its query to the owner and
// back, and returns the server and whether a query was sent.
func resolveThrough(now time.Time, owner, other *Steering, flow model.FlowHash) (server model.ServerID, asked bool) {
	actions := other.Packet(now, Packet{Service: filterService, Flow: flow, Token: uint64(flow)})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Forward:
			return a.Server, asked
		case Send:
			if a.Message.Body.GetResolveQuery() == nil {
				continue
			}
			asked = true
			for _, reply := range owner.HandlePeer(now, other.cfg.Self, a.Message.Body) {
				if r, ok := reply.(Send); ok && r.Message.Body.GetResolveReply() != nil {
					actions = append(actions, other.HandlePeer(now, owner.cfg.Self, r.Message.Body)...)
				}
			}
		}
	}
	return 0, asked
}

// Guards against a query for each new flow of a MIXED bucket, which lasts as
// long as its sessions, and against a filter that hides an exception.
func TestInstanceAsksOncePerMixedBucket(t *testing.T) {
	owner, other, now := filterPair(time.Unix(1000, 0))
	if server, asked := resolveThrough(now, owner, other, 1); server != newServer || !asked {
		t.Fatalf("first flow: server %d, asked %v; want %d after a query", server, asked, newServer)
	}
	if server, asked := resolveThrough(now, owner, other, 2); server != newServer || asked {
		t.Errorf("second flow: server %d, asked %v; want %d without a query", server, asked, newServer)
	}
	if server, asked := resolveThrough(now, owner, other, 77); server != oldServer || !asked {
		t.Errorf("exception: server %d, asked %v; want %d after a query", server, asked, oldServer)
	}
}

// Guards against a closed flow whose record comes back with the report of an
// instance that did not see the end.
func TestEndedFlowIsNotRecordedAgain(t *testing.T) {
	owner, other, now := filterPair(time.Unix(1000, 0))
	group := []*pb.FlowGroup{{Service: uint64(filterService), Server: uint64(oldServer), Flows: []uint64{77}}}
	for _, batch := range []*pb.RecordBatch{{End: group, Sequence: 6}, {Add: group, Sequence: 7}} {
		owner.HandlePeer(now, other.cfg.Self, &pb.PeerMessage{Body: &pb.PeerMessage_Records{Records: batch}})
	}
	if owned, _ := owner.Records(); owned != 0 {
		t.Errorf("%d records after the end of the only flow, want 0", owned)
	}
}

// Guards against the pin of an opening that was refused for a draining or cold
// server: the flow opens at another server later, and its packets went to the
// pinned one (fault matrix, seed 21, I1, start-up x [store-answer-lost]).
func TestRefusedOpeningLeavesNothing(t *testing.T) {
	owner, other, now := filterPair(time.Unix(1000, 0))
	for _, s := range []*Steering{owner, other} {
		s.cfg.MayOpen = func(time.Time, model.ServerID) bool { return false }
		before := s.table.Len()
		actions := s.Packet(now, Packet{Service: filterService, Flow: 5, Opening: true, Token: 1})
		if len(actions) != 1 {
			t.Fatalf("%s: got %d actions, want a refusal", s.cfg.Self, len(actions))
		}
		if _, refused := actions[0].(Refuse); !refused || s.table.Len() != before {
			t.Errorf("%s: got %T and %d new pins, want Refuse and none", s.cfg.Self, actions[0], s.table.Len()-before)
		}
	}
}
