package requests

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// phase is the phase of a request.
type phase uint8

const (
	asking phase = iota
	running
	backingOff
	cancelling
)

// attempt is one transmission of a request to a server.
type attempt struct {
	number   uint32
	server   model.ServerID
	grant    uint64
	sentAt   time.Time
	deadline time.Time
	// didNotRun is set when the server said so.
	didNotRun bool
	// refused is set when the server refused the attempt, over also when it
	// timed out.
	refused   bool
	over      bool
	cancelled bool
	parts     [][]byte
	missing   int
	bytes     int
}

type request struct {
	Request
	startedAt time.Time
	phase     phase
	attempts  []*attempt
	// copyElsewhere is set when another instance may have sent the request.
	copyElsewhere bool
	reason        pb.Reason

	ask uint64
	// numbers lists the numbers of all asks.
	numbers     []uint64
	reasked     bool
	nextAsk     time.Time
	askWait     time.Duration
	notAdmitter int
	window      time.Time
	retryAt     time.Time
	wake        time.Time

	cancelUntil time.Time
}

// heldGrant is a grant that this instance has not released.
type heldGrant struct {
	server     model.ServerID
	key        Key
	attempt    uint32
	idempotent bool
	expires    time.Time
	// releaseAt is set when the attempt is over here but may still run at
	// the server.
	releaseAt time.Time
}

func (r *request) attempt(number uint32) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// current returns the attempt under way, or nil.
func (r *request) current() *attempt {
	if n := len(r.attempts); n > 0 && !r.attempts[n-1].over {
		return r.attempts[n-1]
	}
	return nil
}

// didNotRun reports whether it is certain that the request did not run.
func (r *request) didNotRun() bool {
	// An earlier transmission by the caller may have reached another instance.
	if r.copyElsewhere || r.CallerAttempt > 1 {
		return false
	}
	for _, a := range r.attempts {
		if !a.didNotRun {
			return false
		}
	}
	return true
}

func (r *request) refusal(reason pb.Reason) ReplyToCaller {
	outcome := pb.Outcome_OUTCOME_UNKNOWN
	if r.didNotRun() {
		outcome = pb.Outcome_OUTCOME_DID_NOT_RUN
	}
	return ReplyToCaller{Key: r.Key, Kind: pb.Kind_KIND_REFUSAL, Reason: reason, Outcome: outcome, CallerAttempt: r.CallerAttempt}
}

// ask asks for a grant for the next attempt.
func (c *Coordinator) ask(now time.Time, r *request) []Action {
	r.reasked = false
	return c.askNumbered(now, r)
}

func (c *Coordinator) askNumbered(now time.Time, r *request) []Action {
	c.nextGrant++
	r.phase, r.ask, r.askWait = asking, c.nextGrant, c.cfg.AskTimeout
	r.window = earlier(r.Deadline, now.Add(c.cfg.MaxGrant))
	r.numbers = append(r.numbers, r.ask)
	c.asks[r.ask] = r
	return c.sendAsk(now, r)
}

// sendAsk sends the ask, also when it is repeated: the time left shrinks, so
// that the admitter never counts on more than the first ask gave it.
func (c *Coordinator) sendAsk(now time.Time, r *request) []Action {
	r.nextAsk = now.Add(r.askWait)
	r.askWait *= 2
	c.schedule(r)
	ask := RequestGrant{r.Server, &pb.GrantRequest{
		Grant: r.ask, Server: uint64(r.Server), Flow: uint64(r.Flow), RequestId: r.ID, Idempotent: r.Idempotent,
		Priority: r.Priority, DeadlineMs: max(1, milliseconds(r.window.Sub(now))), CallerAttempt: r.CallerAttempt,
		Retry: len(r.attempts) > 0, Reasked: r.reasked,
	}}
	if !r.Idempotent {
		ask.Request.FormerGrants = slices.Clone(r.numbers[:len(r.numbers)-1])
	}
	r.reasked = true
	return []Action{ask}
}

func (c *Coordinator) forgetAsk(r *request) {
	delete(c.asks, r.ask)
	r.ask = 0
}

// abandonAsk withdraws the present ask, if there is one.
func (c *Coordinator) abandonAsk(r *request) []Action {
	if r.ask == 0 {
		return nil
	}
	c.abandoned.put(r.ask, r.Server)
	release := unusedRelease(r.Server, r.ask)
	c.forgetAsk(r)
	return []Action{release}
}

// unusedRelease releases a grant under which nothing was sent.
func unusedRelease(server model.ServerID, grant uint64) ReleaseGrant {
	return ReleaseGrant{server, &pb.GrantRelease{Grant: grant, Server: uint64(server), DidNotRun: true}}
}

func (c *Coordinator) granted(now time.Time, r *request) []Action {
	if !now.Before(r.window) {
		// Sent now, it could run after the admitter has counted the slot free.
		return append(c.abandonAsk(r), c.wake(now, r)...)
	}
	c.nextAttempt++
	a := &attempt{number: c.nextAttempt, server: r.Server, grant: r.ask, sentAt: now, deadline: r.window}
	if r.Idempotent {
		left := max(c.cfg.MinAttempt, r.Deadline.Sub(now)/2)
		a.deadline = earlier(r.window, now.Add(left))
	}
	c.held[r.ask] = &heldGrant{
		server: r.Server, key: r.Key, attempt: a.number, idempotent: r.Idempotent, expires: r.window.Add(c.cfg.Margin),
	}
	c.byAttempt[a.number] = a.grant
	c.forgetAsk(r)
	r.attempts = append(r.attempts, a)
	r.phase = running
	c.schedule(r)
	return []Action{SendToServer{
		Key: r.Key, Server: a.server, Attempt: a.number, Deadline: a.deadline, Idempotent: r.Idempotent,
		Priority: r.Priority, CallerAttempt: r.CallerAttempt, Payload: r.Payload,
	}}
}

// grantRefused tries another server, if the request may have one; the
// admitter's own refusal is not retried there, because it means overload.
func (c *Coordinator) grantRefused(now time.Time, r *request, reason pb.Reason) []Action {
	if r.Idempotent && reason != pb.Reason_REASON_DEADLINE && c.moveServer(now, r) {
		return c.backOff(now, r, reason)
	}
	return c.finish(now, r, r.refusalLater(reason))
}

// moveServer lets Choose pick another server and reports whether it did.
func (c *Coordinator) moveServer(now time.Time, r *request) bool {
	if c.cfg.Choose == nil || !r.Idempotent {
		return false
	}
	server := c.cfg.Choose(now, r.Key, r.Server)
	if server == 0 || server == r.Server {
		return false
	}
	r.Server = server
	return true
}

// backOff waits before the next attempt, if the retry budget and the deadline
// leave one.
func (c *Coordinator) backOff(now time.Time, r *request, reason pb.Reason) []Action {
	limit := c.cfg.BackoffMax
	if n := len(r.attempts); n < 16 {
		limit = min(limit, c.cfg.BackoffBase<<max(0, n-1))
	}
	r.retryAt = now.Add(c.jitter(limit))
	if !r.retryAt.Before(r.Deadline) || !c.budget(r.Service).take() {
		return c.finish(now, r, r.refusalLater(reason))
	}
	r.phase, r.reason = backingOff, reason
	c.schedule(r)
	return nil
}

// noteWait notes that a request ends which waited for a grant, or for its next
// attempt, so long that the caller may have repeated it elsewhere.
func (c *Coordinator) noteWait(now time.Time, r *request) {
	waiting := r.phase == asking || r.phase == backingOff
	if waiting && now.Sub(r.startedAt) >= c.cfg.CopyAfter {
		r.copyElsewhere = true
	}
}

// wake carries out what is due for a request.
func (c *Coordinator) wake(now time.Time, r *request) []Action {
	switch {
	case r.phase == cancelling && !now.Before(earlier(r.cancelUntil, r.Deadline)):
		return c.finish(now, r, r.refusalLater(pb.Reason_REASON_CANCELLED))
	case r.phase == running && !now.Before(r.current().deadline):
		return c.timedOut(now, r, r.current())
	case !now.Before(r.Deadline):
		c.noteWait(now, r)
		return c.finish(now, r, r.refusalLater(pb.Reason_REASON_DEADLINE))
	case r.phase == backingOff && !now.Before(r.retryAt):
		return c.ask(now, r)
	case r.phase == asking && !now.Before(r.window):
		return append(c.abandonAsk(r), c.askNumbered(now, r)...)
	case r.phase == asking && !now.Before(r.nextAsk):
		return c.sendAsk(now, r)
	}
	c.schedule(r)
	return nil
}

// timedOut ends an attempt without an answer. Its grant is kept until the
// server must have stopped.
func (c *Coordinator) timedOut(now time.Time, r *request, a *attempt) []Action {
	a.over = true
	o := serverhealth.Observation{Kind: serverhealth.TimedOut, Latency: now.Sub(a.sentAt)}
	actions := []Action{Observe{r.Key, a.server, o}}
	actions = append(actions, c.cancelAttempt(r, a)...)
	c.linger(now, a)
	if !r.Idempotent || !now.Before(r.Deadline) {
		return append(actions, c.finish(now, r, r.refusalLater(pb.Reason_REASON_DEADLINE))...)
	}
	c.moveServer(now, r)
	return append(actions, c.backOff(now, r, pb.Reason_REASON_DEADLINE)...)
}

func (c *Coordinator) cancelAttempt(r *request, a *attempt) []Action {
	if a.cancelled {
		return nil
	}
	a.cancelled = true
	return []Action{SendCancel{r.Key, a.server, a.number}}
}

func (c *Coordinator) dropHeld(grant uint64) {
	if g := c.held[grant]; g != nil {
		delete(c.byAttempt, g.attempt)
		delete(c.held, grant)
	}
}

// release releases the grant of an attempt with what was observed.
func (c *Coordinator) release(now time.Time, a *attempt, m *pb.GrantRelease) []Action {
	if c.held[a.grant] == nil {
		return nil
	}
	c.dropHeld(a.grant)
	m.Grant, m.Server = a.grant, uint64(a.server)
	m.LatencyMs = milliseconds(now.Sub(a.sentAt))
	return []Action{ReleaseGrant{a.server, m}}
}

// ending makes the last actions of a request, after its state is settled.
type ending func() []Action

func (r *request) refusalLater(reason pb.Reason) ending {
	return func() []Action { return []Action{r.refusal(reason)} }
}

// finish ends a request: open attempts are cancelled at the server and keep
// their grants until it must have stopped.
func (c *Coordinator) finish(now time.Time, r *request, end ending) []Action {
	actions := c.abandonAsk(r)
	for _, a := range r.attempts {
		if c.held[a.grant] != nil {
			actions = append(actions, c.cancelAttempt(r, a)...)
			c.linger(now, a)
		}
		c.bytes -= a.bytes
	}
	c.bytes -= len(r.Payload)
	delete(c.requests, r.Key)
	actions = append(actions, end()...)
	return append(actions, RequestEnded{r.Key})
}

func (c *Coordinator) budget(service model.ServiceID) *budget {
	b := c.budgets[service]
	if b == nil {
		b = &budget{tokens: 1}
		c.budgets[service] = b
	}
	return b
}

func admitterChanged(old, new *dcstate.State, server model.ServerID) bool {
	if old == nil {
		return true
	}
	was, is := old.Admitter(server), new.Admitter(server)
	before, _ := old.Member(was)
	after, _ := new.Member(is)
	return was != is || before.Incarnation != after.Incarnation
}
