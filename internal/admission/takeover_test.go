package admission

import (
	"testing"

	"cuminshift/internal/dcstate"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// newHandoverPair returns two admitters and a server that moves from b to a: b is
// the only instance in state before, and a joins in state after.
func newHandoverPair(condition pb.ServerCondition) (a, b *Admitter, id model.ServerID, before, after *dcstate.State) {
	id = serverAdmittedBy("a", "a", "b")
	servers := backendsOf(model.BackendServer{ID: id, Slots: 3, ColdSlots: 1})
	before, after = state(1, "b"), state(2, "a", "b")
	a, b = New(Config{Self: "a"}, 0), New(Config{Self: "b"}, 0)
	for _, x := range []*Admitter{a, b} {
		x.SetServers(at(0), servers)
		x.Observe(at(0), id, condition)
	}
	b.StateChanged(at(0), nil, before, noHeldGrants)
	return a, b, id, before, after
}

// findHandover returns the body of the first handover among the messages.
func findHandover(t *testing.T, messages []peer.Message) *pb.PeerMessage {
	t.Helper()
	for _, m := range messages {
		if m.Body.GetAdmitterHandover() != nil {
			return m.Body
		}
	}
	t.Fatal("no handover among the messages")
	return nil
}

// Guards against a planned change of admitter that loses grants or the request
// history, grants a slot twice, or fails when one message is lost.
func TestPlannedHandover(t *testing.T) {
	a, b, id, before, after := newHandoverPair(healthy)
	nonIdempotent := func(grant, id uint64, r *pb.GrantRequest) *pb.PeerMessage {
		r.Grant, r.RequestId, r.Server = grant, id, uint64(serverAdmittedBy("a", "a", "b"))
		return requestMessage(r)
	}
	b.HandlePeer(at(39_000), "c", nonIdempotent(20, 20, &pb.GrantRequest{CallerAttempt: 1}))
	b.HandlePeer(at(39_010), "c", releaseMessage(&pb.GrantRelease{Server: uint64(id), Grant: 20, Answered: true}))
	for i := uint64(1); i <= 4; i++ {
		b.HandlePeer(at(40_000), "c", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: i, RequestId: i, CallerAttempt: 1}))
	}
	a.StateChanged(at(40_010), nil, after, noHeldGrants)
	wantReplies(t, "before the handover", a.HandlePeer(at(40_011), "c", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: 5, RequestId: 4, CallerAttempt: 1})))
	out := b.StateChanged(at(40_020), before, after, noHeldGrants)
	wantReplies(t, "waiters at the former admitter", out, 4, notAdmitter)
	findHandover(t, out) // The network loses this handover.
	if m := b.Tick(at(40_100)); len(m) != 0 {
		t.Errorf("messages %v before the retry interval, want none", m)
	}
	handoverMessage := findHandover(t, b.Tick(at(40_300)))
	out = a.HandlePeer(at(40_301), "b", handoverMessage)
	wantReplies(t, "all slots are in use", out)
	b.HandlePeer(at(40_302), "a", out[0].Body)
	if b.HandoversPending() != 0 {
		t.Error("acknowledged handover is still pending")
	}
	wantReplies(t, "duplicate of an answered request", a.HandlePeer(at(40_303), "d", nonIdempotent(21, 20, &pb.GrantRequest{CallerAttempt: 2})), 21, duplicate)
	wantReplies(t, "duplicate of a request whose grant was handed over", a.HandlePeer(at(40_303), "d", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: 9, RequestId: 2, CallerAttempt: 2})), 9, underWay)
	wantReplies(t, "release of an inherited grant", a.HandlePeer(at(40_304), "c", releaseMessage(&pb.GrantRelease{Server: uint64(id), Grant: 1, Answered: true})), 5, granted)
	// A repeated handover must not restore the released grant.
	a.HandlePeer(at(40_305), "b", handoverMessage)
	if s := a.Status(at(40_305), id); s.Outstanding != 3 {
		t.Errorf("%d grants outstanding after a repeated handover, want 3", s.Outstanding)
	}
	// The report of a restarted coordinator does not list the grants that its
	// former incarnation held.
	report := &pb.GrantReport{Generation: 2, Servers: []uint64{uint64(id)}}
	body := &pb.PeerMessage{Body: &pb.PeerMessage_GrantReport{GrantReport: report}}
	for former, outstanding := range map[string]int{"": 3, "b": 0} {
		a2, _, _, _, _ := newHandoverPair(healthy)
		a2.StateChanged(at(40_010), nil, after, noHeldGrants)
		a2.HandlePeer(at(40_301), "b", handoverMessage)
		report.Former = former
		a2.HandlePeer(at(40_302), "c", body)
		if s := a2.Status(at(40_302), id); s.Outstanding != outstanding {
			t.Errorf("%d grants outstanding after an empty report with former admitter %q", s.Outstanding, former)
		}
	}
	wantReplies(t, "request to the former admitter", b.HandlePeer(at(40_306), "c", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: 10, Idempotent: true})), 10, notAdmitter)
}

// Guards against a restarted admitter that waits for a handover that cannot
// arrive, or that grants a network duplicate of a request from before its restart.
func TestRestartedAdmitter(t *testing.T) {
	a, b, id, _, _ := newHandoverPair(healthy)
	old, new := state(2, "a", "b"), state(3, "a", "b")
	new.Members[0].Incarnation = 2
	first := func(ms int, grant uint64) []peer.Message {
		return a.HandlePeer(at(ms), "c", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: grant, RequestId: grant, CallerAttempt: 1}))
	}
	// The former incarnation of a applied this handover, but its Ack was lost.
	handoverMessage := findHandover(t, b.StateChanged(at(-500), state(1, "b"), old, noHeldGrants))
	for _, m := range a.StateChanged(at(0), nil, new, noHeldGrants) {
		a.HandlePeer(at(0), "a", m.Body)
	}
	a.HandlePeer(at(5), "b", handoverMessage)
	for _, m := range b.StateChanged(at(0), old, new, noHeldGrants) {
		a.HandlePeer(at(10), "b", m.Body)
	}
	wantReplies(t, "retransmission", a.HandlePeer(at(15), "c", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: 3, RequestId: 3, CallerAttempt: 2})), 3, duplicate)
	wantReplies(t, "first transmission soon after the restart", first(20, 1), 1, duplicate)
	wantReplies(t, "first transmission later", first(400, 2), 2, granted)
}

// Guards against a new admitter that grants slots of a cold server that the failed
// admitter may have granted: both together must not exceed the cold-start slots.
func TestUnplannedChangeAtColdServer(t *testing.T) {
	id := model.ServerID(1)
	old, new := state(1, "a", "b", "c"), state(2, "a", "c")
	for old.Admitter(id) != "b" || new.Admitter(id) != "a" {
		id++
	}
	for _, ownCondition := range []pb.ServerCondition{cold, healthy} {
		a := New(Config{Self: "a"}, 0)
		a.SetServers(at(0), backendsOf(model.BackendServer{ID: id, Slots: 3, ColdSlots: 1}))
		a.Observe(at(0), id, ownCondition)
		a.StateChanged(at(0), nil, old, noHeldGrants)
		for _, m := range a.StateChanged(at(1000), old, new, noHeldGrants) {
			if m.To == "a" {
				a.HandlePeer(at(1000), "a", m.Body)
			}
		}
		// Another member reports that the server is cold.
		report := &pb.GrantReport{Generation: 2, Servers: []uint64{uint64(id)}, Conditions: []pb.ServerCondition{cold}, Former: "b"}
		a.HandlePeer(at(1010), "c", &pb.PeerMessage{Body: &pb.PeerMessage_GrantReport{GrantReport: report}})
		requestGrant := func(ms int, grant uint64) []peer.Message {
			return a.HandlePeer(at(ms), "c", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: grant, Idempotent: true, DeadlineMs: 20_000}))
		}
		requestGrant(1500, 1)
		wantReplies(t, "unreported slot is busy", a.Tick(at(11_500)), 1, refused)
		requestGrant(12_000, 2)
		wantReplies(t, "grants of the failed admitter have expired", a.Tick(at(12_300)), 2, granted)
	}
}

// Guards against leaving a healthy server idle after its admitter has failed,
// against granting before the members have reported their grants, and against
// filling the slots of a server that became cold after its admitter had failed.
func TestUnplannedChangeAtHealthyServer(t *testing.T) {
	id := serverAdmittedBy("b", "a", "b")
	a := New(Config{Self: "a"}, 0)
	a.SetServers(at(0), backendsOf(model.BackendServer{ID: id, Slots: 3, ColdSlots: 1}))
	a.Observe(at(0), id, healthy)
	old, new := state(1, "a", "b"), state(2, "a")
	held := func(model.ServerID) []*pb.OutstandingGrant {
		return []*pb.OutstandingGrant{{Holder: "a", Grant: 100, Server: uint64(id), ExpiresMs: 5000, RequestId: 8, Flow: 9}}
	}
	a.StateChanged(at(0), nil, old, noHeldGrants)
	out := a.StateChanged(at(1000), old, new, held)
	for i := uint64(1); i <= 3; i++ {
		wantReplies(t, "before the report", a.HandlePeer(at(1001), "a", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: i, Idempotent: true})))
	}
	for _, m := range out {
		if m.Body.GetGrantReport() != nil {
			wantReplies(t, "after the report, one slot is busy", a.HandlePeer(at(1002), "a", m.Body))
		}
	}
	wantReplies(t, "duplicate of a reported request", a.HandlePeer(at(1003), "a", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: 9, RequestId: 8, Flow: 9, CallerAttempt: 1})), 9, duplicate)
	releaseAnswered := func(ms int, grant uint64) []peer.Message {
		return a.HandlePeer(at(ms), "a", releaseMessage(&pb.GrantRelease{Server: uint64(id), Grant: grant, Answered: true, Condition: healthy, LatencyMs: 10}))
	}
	wantReplies(t, "an answer shows that the server is warm", releaseAnswered(1010, 100), 1, granted, 2, granted, 3, granted)
}

// Guards against a partition in which both sides grant the slots of a cold server
// or run the same non-idempotent request.
func TestPartition(t *testing.T) {
	sides := [][]model.InstanceID{{"a", "b"}, {"c", "d"}}
	grants := 0
	for _, side := range sides {
		id := serverAdmittedBy(side[0], side...)
		a := New(Config{Self: side[0]}, 0)
		a.SetServers(at(0), backendsOf(model.BackendServer{ID: id, Slots: 3, ColdSlots: 1}))
		a.Observe(at(0), id, cold)
		a.SetKnownInstances(at(0), []model.InstanceID{"a", "b", "c", "d"})
		a.StateChanged(at(0), nil, state(1, side...), noHeldGrants)
		a.Tick(at(2000))
		for i := uint64(1); i <= 2; i++ {
			m := a.HandlePeer(at(20_000), "x", requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: i, Idempotent: true}))
			grants += len(m)
		}
		retransmission := requestMessage(&pb.GrantRequest{Server: uint64(id), Grant: 9, RequestId: 9, CallerAttempt: 2})
		wantReplies(t, "retransmission of a request that the other side may have granted", a.HandlePeer(at(60_000), "x", retransmission), 9, duplicate)
		a.SetKnownInstances(at(20_001), side)
		if s := a.Status(at(20_001), id); s.Outstanding != 1 {
			t.Errorf("side %v: %d grants after the instance list matches the view, want 1", side, s.Outstanding)
		}
	}
	if grants != 1 {
		t.Errorf("%d grants on the two sides together, want 1", grants)
	}
}
