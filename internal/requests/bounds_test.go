package requests

import (
	"math/rand/v2"
	"testing"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// Guards against retries of more than 10% of the requests.
func TestRetryBudget(t *testing.T) {
	h := newHarness(t, Config{})
	const n = 1000
	for i := 0; i < n; i++ {
		ms := i * 100
		h.start(ms, Request{Key: key(uint64(i)), Idempotent: true, Deadline: at(ms + 5000)})
		for sent := -1; sent != len(h.sent); {
			sent = len(h.sent)
			if h.IsInFlight(key(uint64(i))) {
				h.grantReply(ms, granted)
				h.refuse(ms+1, len(h.sent)-1, pb.Reason_REASON_SHED, didNotRun)
				h.tick(ms + 90)
			}
		}
	}
	if retries := len(h.sent) - n; retries > n/10+1 || retries < n/20 {
		t.Errorf("%d retries of %d requests, want about 10%%", retries, n)
	}
}

// Guards against losing a request when the admitter changes or replies
// NOT_ADMITTER, and against using a late grant of a former admitter.
func TestAdmitterChanges(t *testing.T) {
	member := func(id model.InstanceID) dcstate.Member { return dcstate.Member{Instance: id, Incarnation: 1} }
	old := dcstate.New(dcstate.Version{Generation: 1}, []dcstate.Member{member("a")})
	new := dcstate.New(dcstate.Version{Generation: 2}, []dcstate.Member{member("b")})
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(5000)})
	h.grantReply(1, notAdmitter)
	h.tick(60)
	if len(h.grantRequests) != 2 || h.grantRequests[0].GrantRequest.GetGrant() != h.grantRequests[1].GrantRequest.GetGrant() {
		t.Fatalf("grant requests %v, want two with the same ID", h.grantRequests)
	}
	h.collect(h.StateChanged(at(70), old, new))
	if len(h.grantRequests) != 3 || h.grantRequests[2].GrantRequest.GetGrant() == h.grantRequests[0].GrantRequest.GetGrant() || !h.grantRequests[2].GrantRequest.GetReasked() {
		t.Fatalf("grant requests %v, want a third one with a new ID", h.grantRequests)
	}
	h.collect(h.HandleGrantReply(at(80), &pb.GrantReply{Grant: h.grantRequests[0].GrantRequest.GetGrant(), Result: granted}))
	if len(h.sent) != 0 || len(h.releases) != 1 {
		t.Errorf("%d attempts, %d releases after a late grant; want 0 and 1", len(h.sent), len(h.releases))
	}
	h.grantReply(90, granted)
	if len(h.sent) != 1 {
		t.Error("no attempt, or more than one, after the grant of the new admitter")
	}
}

// Guards against a graceful stop that ends requests in flight or accepts new ones.
func TestGracefulStop(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(5000)})
	h.Stop()
	h.start(1, Request{Key: key(2), Deadline: at(5000)})
	h.wantRefusal(pb.Reason_REASON_INSTANCE_NOT_READY, didNotRun)
	h.grantReply(2, granted)
	h.answer(3, 0, 0, 1)
	if len(h.replies) != 2 || h.replies[1].Kind != pb.Kind_KIND_ANSWER || !h.Idle() {
		t.Errorf("replies %+v, idle %v; want the first request answered", h.replies, h.Idle())
	}
}

// Guards against unbounded memory for requests, payloads and timers.
func TestBounds(t *testing.T) {
	h := newHarness(t, Config{MaxInFlight: 100, MaxBytes: 1000})
	for i := 0; i < 200; i++ {
		h.start(0, Request{Key: key(uint64(i)), Deadline: at(5000), Payload: make([]byte, 20)})
	}
	if h.InFlight() != 50 || len(h.replies) != 150 {
		t.Errorf("%d in flight, %d refused; want 50 and 150", h.InFlight(), len(h.replies))
	}
	h.tick(10_000)
	for i := 0; i < 5000; i++ {
		h.start(10_000, Request{Key: key(uint64(i)), Idempotent: true, Deadline: at(60_000)})
		h.grantReply(10_000, granted)
		h.answer(10_001, len(h.sent)-1, 0, 1)
	}
	if len(h.timers) > 100 {
		t.Errorf("%d timers without a request in flight, want at most 100", len(h.timers))
	}
}

// Guards against retrying at the server that just failed when another one is
// available, and against moving a non-idempotent request.
func TestRetryAtAnotherServer(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, Config{ChooseServer: func(time.Time, Key, model.ServerID) model.ServerID { return 11 }})
		h.start(0, Request{Key: key(1), Idempotent: idempotent, Deadline: at(5000)})
		h.grantReply(1, granted)
		h.refuse(2, 0, pb.Reason_REASON_SHED, didNotRun)
		h.tick(100)
		h.grantReply(101, granted)
		want := model.ServerID(10)
		if idempotent {
			want = 11
		}
		if len(h.sent) != 2 || h.sent[1].Server != want {
			t.Errorf("idempotent %v: attempts %+v, want the second at %d", idempotent, h.sent, want)
		}
	}
}

// Guards against observations that are not passed to the serverhealth package.
func TestObservations(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(5000)})
	h.grantReply(1, granted)
	s := h.sent[0]
	actions := h.HandleServerPacket(at(31), ServerPacket{Key: s.Key, Server: 10, Kind: pb.Kind_KIND_ANSWER, Attempt: s.Attempt, Cold: true})
	release, _ := actions[0].(ReleaseGrant)
	observe, _ := actions[1].(Observe)
	if release.GrantRelease.GetCondition() != serverhealth.Cold || release.GrantRelease.GetLatencyMs() != 30 {
		t.Errorf("release %v, want cold after 30 ms", release.GrantRelease)
	}
	if want := (serverhealth.Observation{Kind: serverhealth.Answered, Cold: true, Latency: 30 * time.Millisecond}); observe.Observation != want {
		t.Errorf("observation %+v, want %+v", observe.Observation, want)
	}
}

func BenchmarkRequest(b *testing.B) {
	c := New(Config{Self: "a", Rand: rand.New(rand.NewPCG(1, 2))})
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		grantRequest := c.Start(now, Request{Key: key(uint64(i)), Server: 10, Idempotent: true, CallerAttempt: 1})[0].(RequestGrant)
		sent := c.HandleGrantReply(now, &pb.GrantReply{Grant: grantRequest.GrantRequest.Grant, Result: granted})[0].(SendToServer)
		c.HandleServerPacket(now, ServerPacket{Key: sent.Key, Server: 10, Kind: pb.Kind_KIND_ANSWER, Attempt: sent.Attempt, Parts: 1})
		c.Tick(now)
	}
}

// Guards against a refusal of a duplicate whose request runs through another
// instance: it would make the caller discard the answer of that instance.
func TestDuplicateOfARunningRequestIsDropped(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), CallerAttempt: 2, Deadline: at(1000)})
	h.grantReply(1, pb.GrantResult_GRANT_RESULT_UNDER_WAY)
	h.tick(2000)
	if len(h.replies) != 0 || len(h.sent) != 0 || h.IsInFlight(key(1)) {
		t.Errorf("%d replies, %d attempts, in flight %v; want the request dropped", len(h.replies), len(h.sent), h.IsInFlight(key(1)))
	}
}

// Guards against ending a request without a reply although its coordinator has
// sent it. This happened when a duplicate at another instance was granted before
// the retry (fault matrix, seed 78, I9).
func TestOvertakenRequestIsAnswered(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(2000)})
	h.grantReply(1, granted)
	h.refuse(5, 0, pb.Reason_REASON_SHED, didNotRun)
	h.tick(500)
	h.grantReply(501, pb.GrantResult_GRANT_RESULT_UNDER_WAY)
	h.wantRefusal(pb.Reason_REASON_DUPLICATE, unknown)
}
