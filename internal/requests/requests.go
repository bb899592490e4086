// Package requests coordinates callers' requests: it asks for a grant before
// each attempt, sends one attempt at a time, assembles answers and decides
// about retries, deadlines and refusals.
package requests

import (
	"math/rand/v2"
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Key identifies a request of a caller.
type Key struct {
	Service model.ServiceID
	Flow    model.FlowHash
	ID      uint64
}

// Request is a caller's request as it reached this instance.
type Request struct {
	Key
	// Server is the flow's server.
	Server     model.ServerID
	Idempotent bool
	// Priority 0 is the highest.
	Priority uint32
	// Deadline of the caller; zero means MaxGrant from now.
	Deadline time.Time
	// CallerAttempt counts the caller's transmissions from 1.
	CallerAttempt uint32
	// Payload is kept until the request ends; the caller must not reuse it.
	Payload []byte
}

// ServerPacket is an ANSWER or REFUSAL from a server.
type ServerPacket struct {
	Key
	Server  model.ServerID
	Kind    pb.Kind
	Attempt uint32
	// Part is numbered from 0; Parts of 0 means 1.
	Part, Parts uint32
	// Payload is kept until the answer is passed on.
	Payload []byte
	Reason  pb.Reason
	Outcome pb.Outcome
	Cold    bool
}

// Config holds the parameters; zero fields take the defaults.
type Config struct {
	Self model.InstanceID
	// Rand is the source of attempt and grant numbers and of jitter; required.
	Rand *rand.Rand
	// ChooseServer returns another server for the next attempt of an idempotent
	// request, or zero to stay; nil means to stay. A non-idempotent request
	// stays, because only its server's admitter remembers it.
	ChooseServer func(now time.Time, key Key, failed model.ServerID) model.ServerID
	// MaxGrantDuration bounds the time from asking for a grant to the end of its
	// attempt; it must equal admission.Config.MaxGrant. Default 10 s.
	MaxGrantDuration time.Duration
	// DatagramLifetime is the longest datagram lifetime within a data centre; default
	// 300 ms.
	DatagramLifetime time.Duration
	// MinAttemptTime is the shortest time that an attempt of an idempotent
	// request gets; otherwise it gets half of the time left, so that one
	// lost datagram leaves time for another attempt. Default 1 s.
	MinAttemptTime time.Duration
	// GrantRequestTimeout is the time after which an unanswered RequestGrant is repeated;
	// it doubles with each repetition. Default 500 ms.
	GrantRequestTimeout time.Duration
	// NotAdmitterBackoff bounds the wait after the first NOT_ADMITTER reply; it
	// doubles up to AskTimeout. Default 50 ms.
	NotAdmitterBackoff time.Duration
	// BackoffBase and BackoffMax bound the exponential backoff; defaults
	// 10 ms and 1 s.
	BackoffBase, BackoffMax time.Duration
	// RetryRatio is the share of requests that may be retried, RetryBurst
	// how many of them at once, per service; defaults 0.1 and 10.
	RetryRatio float64
	RetryBurst float64
	// CancelTimeout is how long a cancelled request waits for the server to say
	// whether it ran; default 300 ms.
	CancelTimeout time.Duration
	// RetransmitAfter is the shortest time after which a caller repeats a request,
	// perhaps to another instance. A request that waited longer for a grant in
	// vain is not said not to have run, unless the admitter, which sees the
	// copies, said so. Default 200 ms.
	RetransmitAfter time.Duration
	// MaxInFlight bounds the requests; default 16384.
	MaxInFlight int
	// MaxParts bounds the parts of an answer; default 256.
	MaxParts int
	// MaxBytes bounds the payloads held, of requests and of answers;
	// default 16 MiB.
	MaxBytes int
	// AnswerRetention is how long the answer of a non-idempotent request is kept
	// for repeated copies; default 5 s. At most an eighth of MaxBytes is used.
	AnswerRetention time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxGrantDuration, 10*time.Second)
	setDefault(&c.DatagramLifetime, 300*time.Millisecond)
	setDefault(&c.MinAttemptTime, time.Second)
	setDefault(&c.GrantRequestTimeout, 500*time.Millisecond)
	setDefault(&c.NotAdmitterBackoff, 50*time.Millisecond)
	setDefault(&c.BackoffBase, 10*time.Millisecond)
	setDefault(&c.BackoffMax, time.Second)
	setDefault(&c.RetryRatio, 0.1)
	setDefault(&c.RetryBurst, 10)
	setDefault(&c.CancelTimeout, 300*time.Millisecond)
	setDefault(&c.RetransmitAfter, 200*time.Millisecond)
	setDefault(&c.MaxInFlight, 16384)
	setDefault(&c.MaxParts, 256)
	setDefault(&c.MaxBytes, 16<<20)
	setDefault(&c.AnswerRetention, 5*time.Second)
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Coordinator holds the requests that this instance coordinates. It is not
// safe for concurrent use.
type Coordinator struct {
	cfg           Config
	requests      map[Key]*request
	grantRequests map[uint64]*request
	heldGrants    map[uint64]*heldGrant
	// grantByAttempt finds the held grant of an attempt.
	grantByAttempt map[uint32]uint64
	// abandoned remembers asks that were given up: a late grant is released.
	abandoned    *boundedMap[uint64, model.ServerID]
	answerCache  *answerCache
	retryBudgets map[model.ServiceID]*retryBudget
	timers       timers
	lastGrantID  uint64
	lastAttempt  uint32
	bytes        int
	stopping     bool
}

// maxAbandonedGrantRequests bounds the memory of asks that were given up.
const maxAbandonedGrantRequests = 4096

// New returns a Coordinator without requests.
func New(cfg Config) *Coordinator {
	cfg.setDefaults()
	return &Coordinator{
		cfg: cfg, requests: map[Key]*request{}, grantRequests: map[uint64]*request{}, heldGrants: map[uint64]*heldGrant{}, grantByAttempt: map[uint32]uint64{},
		abandoned: newBoundedMap[uint64, model.ServerID](maxAbandonedGrantRequests), answerCache: newAnswerCache(cfg.AnswerRetention, cfg.MaxBytes/8),
		retryBudgets: map[model.ServiceID]*retryBudget{},
		// Random starts keep the numbers of one incarnation apart from those
		// that servers and admitters still hold from an earlier one.
		lastGrantID: cfg.Rand.Uint64N(1 << 48), lastAttempt: cfg.Rand.Uint32(),
	}
}

// IsInFlight reports whether a request with the key is in flight: a copy of it
// joins it and is not counted again.
func (c *Coordinator) IsInFlight(k Key) bool { return c.requests[k] != nil }

// InFlight returns the number of requests that are not yet answered.
func (c *Coordinator) InFlight() int { return len(c.requests) }

// Idle reports that no request is in flight and no grant is held; a stopping
// instance waits for it.
func (c *Coordinator) Idle() bool { return len(c.requests) == 0 && len(c.heldGrants) == 0 }

// Stop begins a planned stop: requests in flight are finished, new ones are
// refused.
func (c *Coordinator) Stop() { c.stopping = true }

// NextTick returns when Tick must be called next; false means not before another
// event.
func (c *Coordinator) NextTick() (time.Time, bool) {
	if len(c.timers) == 0 {
		return time.Time{}, false
	}
	return c.timers[0].at, true
}

// Start begins a request. A repeated copy of a request in flight joins it:
// the one reply serves both.
func (c *Coordinator) Start(now time.Time, req Request) []Action {
	if c.requests[req.Key] != nil {
		return nil
	}
	if parts := c.answerCache.lookup(now, req.Key); parts != nil && !req.Idempotent {
		return answerActions(req.Key, parts)
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(c.cfg.MaxGrantDuration)
	}
	r := &request{Request: req, startedAt: now}
	switch {
	case c.stopping:
		return c.refuseNew(r, pb.Reason_REASON_INSTANCE_NOT_READY)
	case !now.Before(req.Deadline):
		return c.refuseNew(r, pb.Reason_REASON_DEADLINE)
	case req.Server == 0:
		return c.refuseNew(r, pb.Reason_REASON_NO_SERVER)
	case len(c.requests) >= c.cfg.MaxInFlight || c.bytes+len(req.Payload) > c.cfg.MaxBytes:
		return c.refuseNew(r, pb.Reason_REASON_OVERLOAD)
	}
	c.requests[req.Key] = r
	c.bytes += len(req.Payload)
	c.retryBudget(req.Service).deposit(&c.cfg)
	return c.requestGrant(now, r)
}

func (c *Coordinator) refuseNew(r *request, reason pb.Reason) []Action {
	return []Action{r.refusalReply(reason), RequestEnded{r.Key}}
}

// HandleGrantReply handles the admitter's reply to a RequestGrant.
func (c *Coordinator) HandleGrantReply(now time.Time, m *pb.GrantReply) []Action {
	r := c.grantRequests[m.GetGrant()]
	if r == nil {
		return c.releaseLateGrant(m)
	}
	switch m.GetResult() {
	case pb.GrantResult_GRANT_RESULT_GRANTED:
		return c.startAttempt(now, r)
	case pb.GrantResult_GRANT_RESULT_DUPLICATE:
		c.forgetGrantRequest(r)
		r.maybeSentElsewhere = true
		return c.finish(now, r, r.refuseWith(m.GetReason()))
	case pb.GrantResult_GRANT_RESULT_UNDER_WAY:
		c.forgetGrantRequest(r)
		if len(r.attempts) > 0 {
			// This instance has sent the request before and owes a word on it.
			r.maybeSentElsewhere = true
			return c.finish(now, r, r.refuseWith(pb.Reason_REASON_DUPLICATE))
		}
		// A refusal would make the caller give up the answer that is to come.
		return c.finish(now, r, func() []Action { return nil })
	case pb.GrantResult_GRANT_RESULT_REFUSED:
		c.forgetGrantRequest(r)
		return c.handleGrantRefused(now, r, m.GetReason())
	}
	// Not, or not yet, the admitter: the published state is about to change.
	r.notAdmitterReplies = min(r.notAdmitterReplies+1, 16)
	r.resendAt = now.Add(c.jitter(min(c.cfg.GrantRequestTimeout, c.cfg.NotAdmitterBackoff<<(r.notAdmitterReplies-1))))
	c.schedule(r)
	return nil
}

// releaseLateGrant gives back a grant that is not used any more.
func (c *Coordinator) releaseLateGrant(m *pb.GrantReply) []Action {
	server, ok := c.abandoned.get(m.GetGrant())
	if !ok || m.GetResult() != pb.GrantResult_GRANT_RESULT_GRANTED {
		return nil
	}
	return []Action{unusedRelease(server, m.GetGrant())}
}

// HandleServerPacket handles an answer part or a refusal of a server.
func (c *Coordinator) HandleServerPacket(now time.Time, p ServerPacket) []Action {
	r := c.requests[p.Key]
	if r == nil {
		return c.handleLatePacket(now, p)
	}
	a := r.findAttempt(p.Attempt)
	if a == nil || a.server != p.Server {
		return c.handleLatePacket(now, p)
	}
	switch p.Kind {
	case pb.Kind_KIND_ANSWER:
		return c.handleAnswerPart(now, r, a, p)
	case pb.Kind_KIND_REFUSAL:
		return c.handleServerRefusal(now, r, a, p)
	}
	return nil
}

// Cancel withdraws a request for its caller. If an attempt is under way, the
// reply waits a little for the server to say whether it ran.
func (c *Coordinator) Cancel(now time.Time, k Key) []Action {
	r := c.requests[k]
	if r == nil || r.phase == cancelling {
		return nil
	}
	c.noteLongWait(now, r)
	actions := c.abandonGrantRequest(r)
	a := r.currentAttempt()
	if r.phase != running || a == nil {
		return append(actions, c.finish(now, r, r.refuseWith(pb.Reason_REASON_CANCELLED))...)
	}
	r.phase = cancelling
	r.cancelUntil = now.Add(c.cfg.CancelTimeout)
	c.schedule(r)
	return append(actions, c.cancelAttempt(r, a)...)
}

// StateChanged asks again for the grants that were asked of instances that
// are no longer the admitters. Asks get new numbers, so that a grant of a
// former admitter is never used.
func (c *Coordinator) StateChanged(now time.Time, old, new *dcstate.State) []Action {
	var actions []Action
	if old != nil && slices.Equal(old.Members, new.Members) {
		return nil
	}
	for _, id := range sortedKeys(c.grantRequests) {
		r := c.grantRequests[id]
		if !admitterChanged(old, new, r.Server) {
			continue
		}
		c.abandoned.put(id, r.Server)
		delete(c.grantRequests, id)
		actions = append(actions, c.requestGrantWithNewID(now, r)...)
	}
	return actions
}

// HeldGrants returns the grants of a server that this instance holds.
func (c *Coordinator) HeldGrants(now time.Time, server model.ServerID) []*pb.OutstandingGrant {
	var out []*pb.OutstandingGrant
	for _, id := range sortedKeys(c.heldGrants) {
		g := c.heldGrants[id]
		if g.server != server || !now.Before(g.expires) {
			continue
		}
		out = append(out, &pb.OutstandingGrant{
			Holder: string(c.cfg.Self), Grant: id, Server: uint64(server), ExpiresMs: milliseconds(g.expires.Sub(now)),
			Flow: uint64(g.key.Flow), RequestId: g.key.ID, Idempotent: g.idempotent,
		})
	}
	return out
}

// Tick carries out what is due.
func (c *Coordinator) Tick(now time.Time) []Action {
	var actions []Action
	for {
		t, ok := c.timers.due(now)
		if !ok {
			break
		}
		if t.grant != 0 {
			actions = append(actions, c.releaseOverdueGrant(now, t)...)
		} else if r := c.requests[t.key]; r != nil && r.wakeAt.Equal(t.at) {
			actions = append(actions, c.handleWake(now, r)...)
		}
	}
	c.answerCache.expire(now)
	return actions
}
