// Package requests coordinates the requests of callers (customers). An attempt is
// one transmission of a request from this instance to a server. Before each attempt
// the Coordinator requests a grant, which is the right to run the request there, from
// the admitter of the server (see package admission). It sends one attempt at a time,
// assembles the parts of the answer and decides about retries, deadlines and
// refusals. A retry is another attempt by this instance. A retransmission is another
// transmission of the same request by its caller, perhaps to another instance.
//
// The Coordinator sends nothing itself: its methods return the actions that the
// code that uses it must carry out.
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

// Request is a request of a caller as it arrived at this instance.
type Request struct {
	Key
	// Server is the server of the flow (the connection) to which the request
	// belongs; zero means that there is none.
	Server     model.ServerID
	Idempotent bool
	// Priority 0 is the highest.
	Priority uint32
	// Deadline is the deadline of the caller; zero means MaxGrantDuration from
	// now.
	Deadline time.Time
	// CallerAttempt is the number of the caller's transmission, from 1. A higher
	// number is a retransmission.
	CallerAttempt uint32
	// Payload is kept until the request ends and must not be modified before.
	Payload []byte
}

// ServerPacket is a packet of a server that carries a part of an answer
// (KIND_ANSWER) or a refusal (KIND_REFUSAL).
type ServerPacket struct {
	Key
	Server  model.ServerID
	Kind    pb.Kind
	Attempt uint32
	// Part is the number of the part, from 0, out of Parts. Parts of 0 means 1.
	Part, Parts uint32
	// Payload is kept until the answer is sent to the caller and, if the request
	// is not idempotent, for up to AnswerRetention after that. It must not be
	// modified before.
	Payload []byte
	Reason  pb.Reason
	Outcome pb.Outcome
	// Cold is set when the server reports that it is cold.
	Cold bool
}

// Config holds the parameters of a Coordinator. A zero field takes its default.
type Config struct {
	// Self is the ID of this instance.
	Self model.InstanceID
	// Rand is the source of the first attempt number, the first grant ID and
	// jitter. It is required.
	Rand *rand.Rand
	// ChooseServer returns the server for the next attempt of an idempotent
	// request that has failed at a server; zero means the same server. If
	// ChooseServer is nil, the server is kept. A non-idempotent request always
	// keeps its server, because only the admitter of that server has the request
	// in its history.
	ChooseServer func(now time.Time, key Key, failed model.ServerID) model.ServerID
	// MaxGrantDuration is the longest time from the request of a grant to the
	// deadline of the attempt that uses it; default 10 s. The grant expires
	// DatagramLifetime after this deadline. MaxGrantDuration must equal
	// admission.Config.MaxGrantDuration.
	MaxGrantDuration time.Duration
	// DatagramLifetime is the longest time that a datagram can be under way
	// within a data centre; default 300 ms.
	DatagramLifetime time.Duration
	// MinAttemptTimeout is the shortest timeout of an attempt of an idempotent
	// request; default 1 s. The timeout is half of the time left, so that a lost
	// datagram leaves time for another attempt, but at least MinAttemptTimeout.
	// It never exceeds the time left. An attempt of a non-idempotent request may
	// use all the time left.
	MinAttemptTimeout time.Duration
	// GrantRequestTimeout is the time after which an unanswered grant request is
	// sent again for the first time; default 500 ms. The time doubles with each
	// transmission.
	GrantRequestTimeout time.Duration
	// NotAdmitterBackoff limits the random wait before a grant request is sent
	// again after the first NOT_ADMITTER reply; default 50 ms. The limit doubles
	// with each further reply, up to GrantRequestTimeout.
	NotAdmitterBackoff time.Duration
	// BackoffBase limits the random wait before the first retry of a request. The
	// limit doubles with each further retry, up to BackoffMax. Defaults 10 ms and
	// 1 s.
	BackoffBase, BackoffMax time.Duration
	// RetryRatio is the number of retries that each new request adds to the retry
	// budget of its service, and RetryBurst the largest budget; defaults 0.1 and
	// 10. A retry takes one from the budget. If the budget is below one, the
	// request is refused instead.
	RetryRatio float64
	RetryBurst float64
	// CancelTimeout is how long a cancelled request waits for the server to
	// report whether it ran; default 300 ms.
	CancelTimeout time.Duration
	// MinRetransmitInterval is the shortest time after which a caller retransmits
	// a request, perhaps to another instance; default 200 ms. If a request is
	// cancelled or reaches its deadline when it has waited at least this long for
	// a grant or a retry, its outcome is reported as unknown, because another
	// instance may have sent it. A refusal by the admitter may still be reported
	// as DID_NOT_RUN, because the admitter sees all transmissions.
	MinRetransmitInterval time.Duration
	// MaxInFlight is the maximum number of requests in flight; default 16384.
	MaxInFlight int
	// MaxParts is the maximum number of parts of an answer; default 256.
	MaxParts int
	// MaxBytes is the maximum size of all payloads held, of requests and of
	// answers; default 16 MiB.
	MaxBytes int
	// AnswerRetention is how long the answer to a non-idempotent request is kept
	// for retransmissions; default 5 s. These answers take at most an eighth of
	// MaxBytes.
	AnswerRetention time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxGrantDuration, 10*time.Second)
	setDefault(&c.DatagramLifetime, 300*time.Millisecond)
	setDefault(&c.MinAttemptTimeout, time.Second)
	setDefault(&c.GrantRequestTimeout, 500*time.Millisecond)
	setDefault(&c.NotAdmitterBackoff, 50*time.Millisecond)
	setDefault(&c.BackoffBase, 10*time.Millisecond)
	setDefault(&c.BackoffMax, time.Second)
	setDefault(&c.RetryRatio, 0.1)
	setDefault(&c.RetryBurst, 10)
	setDefault(&c.CancelTimeout, 300*time.Millisecond)
	setDefault(&c.MinRetransmitInterval, 200*time.Millisecond)
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

// Coordinator coordinates the requests that arrive at this instance. It is not
// safe for concurrent use.
type Coordinator struct {
	cfg      Config
	requests map[Key]*request
	// grantRequests holds the requests that wait for a grant, by grant ID.
	grantRequests map[uint64]*request
	// heldGrants holds the grants that are not released, by grant ID.
	heldGrants map[uint64]*heldGrant
	// grantByAttempt maps the number of an attempt to the ID of its held grant.
	grantByAttempt map[uint32]uint64
	// abandoned holds the servers of grant requests that are no longer needed, by
	// grant ID. A grant that arrives for one of them is released.
	abandoned *boundedMap[uint64, model.ServerID]
	// answers holds the answers to non-idempotent requests.
	answers      *answerCache
	retryBudgets map[model.ServiceID]*retryBudget
	timers       timers
	lastGrantID  uint64
	lastAttempt  uint32
	// bytes is the size of the payloads held by requests and their answers.
	bytes    int
	stopping bool
}

// maxAbandonedGrantRequests is the maximum number of abandoned grant requests
// that are remembered.
const maxAbandonedGrantRequests = 4096

// New returns a Coordinator without requests.
func New(cfg Config) *Coordinator {
	cfg.setDefaults()
	return &Coordinator{
		cfg: cfg, requests: map[Key]*request{}, grantRequests: map[uint64]*request{}, heldGrants: map[uint64]*heldGrant{}, grantByAttempt: map[uint32]uint64{},
		abandoned: newBoundedMap[uint64, model.ServerID](maxAbandonedGrantRequests), answers: newAnswerCache(cfg.AnswerRetention, cfg.MaxBytes/8),
		retryBudgets: map[model.ServiceID]*retryBudget{},
		// The random initial values avoid IDs that servers and admitters still
		// hold from an earlier incarnation (run) of this instance.
		lastGrantID: cfg.Rand.Uint64N(1 << 48), lastAttempt: cfg.Rand.Uint32(),
	}
}

// IsInFlight reports whether a request with the key is in flight. A
// retransmission of such a request joins it and is not counted again.
func (c *Coordinator) IsInFlight(k Key) bool { return c.requests[k] != nil }

// IsAnswered reports whether the answer to a non-idempotent request with the key is
// kept for its retransmissions. Such a retransmission starts nothing.
func (c *Coordinator) IsAnswered(now time.Time, k Key) bool { return c.answers.lookup(now, k) != nil }

// InFlight returns the number of requests in flight.
func (c *Coordinator) InFlight() int { return len(c.requests) }

// Idle reports whether no request is in flight and no grant is held. A stopping
// instance waits until the Coordinator is idle.
func (c *Coordinator) Idle() bool { return len(c.requests) == 0 && len(c.heldGrants) == 0 }

// Stop begins a graceful stop: requests in flight are finished, and new ones are
// refused with REASON_INSTANCE_NOT_READY.
func (c *Coordinator) Stop() { c.stopping = true }

// NextTick returns the time at which Tick must be called next, and false if no
// timer is pending.
func (c *Coordinator) NextTick() (time.Time, bool) {
	if len(c.timers) == 0 {
		return time.Time{}, false
	}
	return c.timers[0].at, true
}

// Start begins a request. A retransmission of a request in flight joins it: the
// caller gets one reply for both. A retransmission of a non-idempotent request that
// was answered within AnswerRetention gets the same answer again.
func (c *Coordinator) Start(now time.Time, req Request) []Action {
	if c.requests[req.Key] != nil {
		return nil
	}
	if parts := c.answers.lookup(now, req.Key); parts != nil && !req.Idempotent {
		return append(answerActions(req.Key, parts), RequestEnded{req.Key})
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

// HandleGrantReply handles the reply of the admitter to a grant request.
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
			// This instance has sent the request before, so it must reply to
			// the caller.
			r.maybeSentElsewhere = true
			return c.finish(now, r, r.refuseWith(pb.Reason_REASON_DUPLICATE))
		}
		// No reply is sent: a refusal would make the caller discard the answer
		// of the instance that sent the request.
		return c.finish(now, r, func() []Action { return nil })
	case pb.GrantResult_GRANT_RESULT_REFUSED:
		c.forgetGrantRequest(r)
		return c.handleGrantRefused(now, r, m.GetReason())
	}
	// The instance that replied is not the admitter, or not yet: the published
	// state is about to change.
	r.notAdmitterReplies = min(r.notAdmitterReplies+1, 16)
	r.resendAt = now.Add(c.jitter(min(c.cfg.GrantRequestTimeout, c.cfg.NotAdmitterBackoff<<(r.notAdmitterReplies-1))))
	c.schedule(r)
	return nil
}

// releaseLateGrant releases a grant whose request was abandoned.
func (c *Coordinator) releaseLateGrant(m *pb.GrantReply) []Action {
	server, ok := c.abandoned.get(m.GetGrant())
	if !ok || m.GetResult() != pb.GrantResult_GRANT_RESULT_GRANTED {
		return nil
	}
	return []Action{unusedRelease(server, m.GetGrant())}
}

// HandleServerPacket handles a part of an answer or a refusal from a server.
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

// Cancel cancels a request for its caller. If an attempt is under way, the reply
// is delayed by up to CancelTimeout until the server reports whether it ran.
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

// StateChanged replaces each pending grant request whose server has a new admitter,
// or a restarted one, in the new state. The replacement has a new grant ID, so that a
// grant of a former admitter is never used.
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

// HeldGrants returns the grants of a server that this instance holds, without
// expired ones.
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

// Tick returns the actions that are due (see NextTick).
func (c *Coordinator) Tick(now time.Time) []Action {
	var actions []Action
	for {
		t, ok := c.timers.popDue(now)
		if !ok {
			break
		}
		if t.grant != 0 {
			actions = append(actions, c.releaseOverdueGrant(now, t)...)
		} else if r := c.requests[t.key]; r != nil && r.wakeAt.Equal(t.at) {
			actions = append(actions, c.handleWake(now, r)...)
		}
	}
	c.answers.expire(now)
	return actions
}
