package requests

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

const (
	granted     = pb.GrantResult_GRANT_RESULT_GRANTED
	refused     = pb.GrantResult_GRANT_RESULT_REFUSED
	duplicate   = pb.GrantResult_GRANT_RESULT_DUPLICATE
	notAdmitter = pb.GrantResult_GRANT_RESULT_NOT_ADMITTER
	didNotRun   = pb.Outcome_OUTCOME_DID_NOT_RUN
	unknown     = pb.Outcome_OUTCOME_UNKNOWN
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// harness drives a coordinator and collects its actions by type.
type harness struct {
	*Coordinator
	t             *testing.T
	grantRequests []RequestGrant
	sent          []SendToServer
	cancels       []SendCancel
	replies       []ReplyToCaller
	releases      []ReleaseGrant
	ended         []RequestEnded
}

func newHarness(t *testing.T, cfg Config) *harness {
	cfg.Self = "a"
	cfg.Rand = rand.New(rand.NewPCG(1, 2))
	return &harness{Coordinator: New(cfg), t: t}
}

func (h *harness) collect(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case RequestGrant:
			h.grantRequests = append(h.grantRequests, a)
		case SendToServer:
			h.sent = append(h.sent, a)
		case SendCancel:
			h.cancels = append(h.cancels, a)
		case ReplyToCaller:
			h.replies = append(h.replies, a)
		case ReleaseGrant:
			h.releases = append(h.releases, a)
		case RequestEnded:
			h.ended = append(h.ended, a)
		}
	}
}

func key(id uint64) Key { return Key{Service: 1, Flow: 2, ID: id} }

func (h *harness) start(ms int, r Request) {
	if r.Server == 0 {
		r.Server = 10
	}
	if r.CallerAttempt == 0 {
		r.CallerAttempt = 1
	}
	h.collect(h.Start(at(ms), r))
}

func (h *harness) grantReply(ms int, result pb.GrantResult) {
	request := h.grantRequests[len(h.grantRequests)-1].GrantRequest
	h.collect(h.HandleGrantReply(at(ms), &pb.GrantReply{Grant: request.GetGrant(), Result: result, Reason: pb.Reason_REASON_OVERLOAD}))
}

// answer delivers a part of the answer to attempt n, counted from 0.
func (h *harness) answer(ms, n int, part, parts uint32) {
	s := h.sent[n]
	payload := []byte(fmt.Sprintf("%d/%d", s.Attempt, part))
	h.collect(h.HandleServerPacket(at(ms), ServerPacket{
		Key: s.Key, Server: s.Server, Kind: pb.Kind_KIND_ANSWER, Attempt: s.Attempt, Part: part, Parts: parts, Payload: payload,
	}))
}

func (h *harness) refuse(ms, n int, reason pb.Reason, outcome pb.Outcome) {
	s := h.sent[n]
	h.collect(h.HandleServerPacket(at(ms), ServerPacket{
		Key: s.Key, Server: s.Server, Kind: pb.Kind_KIND_REFUSAL, Attempt: s.Attempt, Reason: reason, Outcome: outcome,
	}))
}

// tick calls Tick at each time that NextTick returns up to ms, and at ms.
func (h *harness) tick(ms int) {
	for {
		next, ok := h.NextTick()
		if !ok || next.After(at(ms)) {
			h.collect(h.Tick(at(ms)))
			return
		}
		h.collect(h.Tick(next))
	}
}

func (h *harness) wantRefusal(reason pb.Reason, outcome pb.Outcome) {
	h.t.Helper()
	if len(h.replies) != 1 || h.replies[0].Kind != pb.Kind_KIND_REFUSAL {
		h.t.Fatalf("replies %+v, want one refusal", h.replies)
	}
	if r := h.replies[0]; r.Reason != reason || r.Outcome != outcome {
		h.t.Errorf("refused as %v, %v; want %v, %v", r.Reason, r.Outcome, reason, outcome)
	}
}

// Guards against answers that are partial, out of order, repeated or mixed from
// two attempts.
func TestAnswerAssembly(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Idempotent: true, Deadline: at(8000)})
	h.grantReply(1, granted)
	h.answer(10, 0, 2, 3)
	h.tick(4100) // The first attempt times out after half of the time left.
	h.grantReply(4100, granted)
	if len(h.sent) != 2 {
		t.Fatalf("%d attempts, want 2", len(h.sent))
	}
	h.answer(4200, 1, 0, 3)
	h.answer(4201, 1, 0, 3)
	h.answer(4202, 1, 1, 2) // This part has a different number of parts.
	h.answer(4203, 0, 1, 3) // This part of the first attempt is late.
	h.answer(4204, 1, 2, 3)
	if len(h.replies) != 0 {
		t.Fatalf("replies %+v before the answer is complete, want none", h.replies)
	}
	h.answer(4205, 1, 1, 3)
	h.answer(4206, 1, 1, 3)
	h.answer(4207, 0, 0, 3)
	if len(h.replies) != 3 {
		t.Fatalf("%d parts sent to the caller, want 3", len(h.replies))
	}
	for i, r := range h.replies {
		if want := fmt.Sprintf("%d/%d", h.sent[1].Attempt, i); string(r.Payload) != want || int(r.Part) != i || r.Parts != 3 {
			t.Errorf("part %d is %d of %d with %q, want %q", i, r.Part, r.Parts, r.Payload, want)
		}
	}
	h.tick(20_000)
	if !h.Idle() || h.bytes != 0 || len(h.releases) != 2 {
		t.Errorf("idle %v, %d bytes held, %d releases; want true, 0 and 2", h.Idle(), h.bytes, len(h.releases))
	}
}

// Guards against a false DID_NOT_RUN and against running a request twice.
func TestOutcomes(t *testing.T) {
	shed, draining := pb.Reason_REASON_SHED, pb.Reason_REASON_DRAINING
	for _, c := range []struct {
		name    string
		request Request
		steps   func(h *harness)
		reason  pb.Reason
		outcome pb.Outcome
		sent    int
	}{
		{"grant refused", Request{}, func(h *harness) { h.grantReply(1, refused) }, pb.Reason_REASON_OVERLOAD, didNotRun, 0},
		{"grant refused, retransmission", Request{CallerAttempt: 2}, func(h *harness) { h.grantReply(1, refused) }, pb.Reason_REASON_OVERLOAD, unknown, 0},
		{"duplicate", Request{}, func(h *harness) { h.grantReply(1, duplicate) }, pb.Reason_REASON_OVERLOAD, unknown, 0},
		{"no reply from the admitter", Request{}, func(h *harness) { h.tick(9000) }, pb.Reason_REASON_DEADLINE, unknown, 0},
		{"server reports unknown", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.refuse(2, 0, shed, unknown)
		}, shed, unknown, 1},
		{"no answer", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.tick(9000)
		}, pb.Reason_REASON_DEADLINE, unknown, 1},
		{"shed twice", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.refuse(2, 0, shed, didNotRun)
			h.tick(100)
			h.grantReply(101, granted)
			h.refuse(102, 1, draining, didNotRun)
		}, draining, didNotRun, 2},
		{"shed, then no answer", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.refuse(2, 0, shed, didNotRun)
			h.tick(100)
			h.grantReply(101, granted)
			h.tick(9000)
		}, pb.Reason_REASON_DEADLINE, unknown, 2},
		{"idempotent: timeout, then shed", Request{Idempotent: true}, func(h *harness) {
			h.grantReply(1, granted)
			h.tick(4100)
			h.grantReply(4101, granted)
			h.refuse(4102, 1, shed, didNotRun)
		}, shed, unknown, 2},
		{"suspended between attempts", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.refuse(2, 0, shed, didNotRun)
			h.collect(h.Tick(at(9000)))
		}, pb.Reason_REASON_DEADLINE, unknown, 1},
		{"cancelled before the grant", Request{}, func(h *harness) { h.collect(h.Cancel(at(5), key(1))) }, pb.Reason_REASON_CANCELLED, didNotRun, 0},
		{"cancelled, server reports did not run", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.collect(h.Cancel(at(5), key(1)))
			h.refuse(6, 0, pb.Reason_REASON_CANCELLED, didNotRun)
		}, pb.Reason_REASON_CANCELLED, didNotRun, 1},
		{"cancelled, no answer", Request{}, func(h *harness) {
			h.grantReply(1, granted)
			h.collect(h.Cancel(at(5), key(1)))
			h.tick(500)
		}, pb.Reason_REASON_CANCELLED, unknown, 1},
		{"grant after its deadline", Request{}, func(h *harness) { h.grantReply(8001, granted) }, pb.Reason_REASON_DEADLINE, unknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Config{})
			// The retry budget starts with one token, which allows one retry.
			c.request.Key, c.request.Deadline = key(1), at(8000)
			h.start(0, c.request)
			c.steps(h)
			h.wantRefusal(c.reason, c.outcome)
			if len(h.sent) != c.sent {
				t.Errorf("%d attempts sent, want %d", len(h.sent), c.sent)
			}
			for i, s := range h.sent {
				if s.Deadline.After(at(8000)) {
					t.Errorf("attempt %d has deadline %v, after the deadline of the caller", i, s.Deadline)
				}
			}
			h.tick(30_000)
			if !h.Idle() {
				t.Error("grants are still held 22 s after the deadline")
			}
		})
	}
}

// Guards against releasing a grant while its attempt may still run.
func TestGrantIsHeldWhileTheServerMayRun(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(1000)})
	h.grantReply(1, granted)
	h.collect(h.Cancel(at(10), key(1)))
	h.tick(1299)
	if len(h.cancels) != 1 || len(h.releases) != 0 || len(h.HeldGrants(at(1299), 10)) != 1 {
		t.Errorf("%d cancels, %d releases, held %v; want the grant held", len(h.cancels), len(h.releases), h.HeldGrants(at(1299), 10))
	}
	h.tick(1300)
	if len(h.releases) != 1 {
		t.Errorf("%d releases DatagramLifetime after the deadline, want 1", len(h.releases))
	}

	h = newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(1000)})
	h.grantReply(1, granted)
	h.tick(1000)
	h.refuse(1010, 0, pb.Reason_REASON_DEADLINE, unknown)
	if len(h.releases) != 1 {
		t.Errorf("%d releases after the server's late refusal, want 1", len(h.releases))
	}
}

// Guards against retransmissions that run again or get no answer.
func TestDuplicateRequests(t *testing.T) {
	h := newHarness(t, Config{})
	h.start(0, Request{Key: key(1), Deadline: at(5000)})
	h.start(1, Request{Key: key(1), Deadline: at(5000), CallerAttempt: 2})
	h.grantReply(2, granted)
	h.start(3, Request{Key: key(1), Deadline: at(5000), CallerAttempt: 3})
	h.answer(4, 0, 0, 1)
	if len(h.grantRequests) != 1 || len(h.sent) != 1 || len(h.replies) != 1 {
		t.Errorf("%d grant requests, %d attempts, %d replies; want one of each", len(h.grantRequests), len(h.sent), len(h.replies))
	}
	h.start(1000, Request{Key: key(1), Deadline: at(5000), CallerAttempt: 4})
	if len(h.grantRequests) != 1 || len(h.replies) != 2 || h.replies[1].Kind != pb.Kind_KIND_ANSWER {
		t.Errorf("replies %+v to a retransmission after the answer, want the same answer", h.replies)
	}
	// A retransmission that is not reported as ended would count as running, and
	// against the caller's limit, for ever.
	if len(h.ended) != 2 {
		t.Errorf("%d requests reported as ended, want the request and its retransmission after the answer", len(h.ended))
	}
	h.start(6000, Request{Key: key(1), Deadline: at(9000), CallerAttempt: 5})
	if len(h.grantRequests) != 2 {
		t.Error("no grant requested for a retransmission after AnswerRetention")
	}
}
