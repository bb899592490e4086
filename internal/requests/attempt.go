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
	awaitingGrant phase = iota
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
	refused      bool
	ended        bool
	cancelled    bool
	parts        [][]byte
	missingParts int
	bytes        int
}

type request struct {
	Request
	startedAt time.Time
	phase     phase
	attempts  []*attempt
	// maybeSentElsewhere is set when another instance may have sent the request.
	maybeSentElsewhere bool
	reason             pb.Reason

	grantID uint64
	// grantIDs lists the numbers of all asks.
	grantIDs           []uint64
	reasked            bool
	resendAt           time.Time
	resendInterval     time.Duration
	notAdmitterReplies int
	grantDeadline      time.Time
	retryAt            time.Time
	wakeAt             time.Time

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

func (r *request) findAttempt(number uint32) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// currentAttempt returns the attempt under way, or nil.
func (r *request) currentAttempt() *attempt {
	if n := len(r.attempts); n > 0 && !r.attempts[n-1].ended {
		return r.attempts[n-1]
	}
	return nil
}

// didNotRun reports whether it is certain that the request did not run.
func (r *request) didNotRun() bool {
	// An earlier transmission by the caller may have reached another instance.
	if r.maybeSentElsewhere || r.CallerAttempt > 1 {
		return false
	}
	for _, a := range r.attempts {
		if !a.didNotRun {
			return false
		}
	}
	return true
}

func (r *request) refusalReply(reason pb.Reason) ReplyToCaller {
	outcome := pb.Outcome_OUTCOME_UNKNOWN
	if r.didNotRun() {
		outcome = pb.Outcome_OUTCOME_DID_NOT_RUN
	}
	return ReplyToCaller{Key: r.Key, Kind: pb.Kind_KIND_REFUSAL, Reason: reason, Outcome: outcome, CallerAttempt: r.CallerAttempt}
}

// requestGrant asks for a grant for the next attempt.
func (c *Coordinator) requestGrant(now time.Time, r *request) []Action {
	r.reasked = false
	return c.requestGrantWithNewID(now, r)
}

func (c *Coordinator) requestGrantWithNewID(now time.Time, r *request) []Action {
	c.lastGrantID++
	r.phase, r.grantID, r.resendInterval = awaitingGrant, c.lastGrantID, c.cfg.GrantRequestTimeout
	r.grantDeadline = earlier(r.Deadline, now.Add(c.cfg.MaxGrantDuration))
	r.grantIDs = append(r.grantIDs, r.grantID)
	c.grantRequests[r.grantID] = r
	return c.sendGrantRequest(now, r)
}

// sendGrantRequest sends the ask, also when it is repeated: the time left shrinks, so
// that the admitter never counts on more than the first ask gave it.
func (c *Coordinator) sendGrantRequest(now time.Time, r *request) []Action {
	r.resendAt = now.Add(r.resendInterval)
	r.resendInterval *= 2
	c.schedule(r)
	action := RequestGrant{r.Server, &pb.GrantRequest{
		Grant: r.grantID, Server: uint64(r.Server), Flow: uint64(r.Flow), RequestId: r.ID, Idempotent: r.Idempotent,
		Priority: r.Priority, DeadlineMs: max(1, milliseconds(r.grantDeadline.Sub(now))), CallerAttempt: r.CallerAttempt,
		Retry: len(r.attempts) > 0, Reasked: r.reasked,
	}}
	if !r.Idempotent {
		action.Request.FormerGrants = slices.Clone(r.grantIDs[:len(r.grantIDs)-1])
	}
	r.reasked = true
	return []Action{action}
}

func (c *Coordinator) forgetGrantRequest(r *request) {
	delete(c.grantRequests, r.grantID)
	r.grantID = 0
}

// abandonGrantRequest withdraws the present ask, if there is one.
func (c *Coordinator) abandonGrantRequest(r *request) []Action {
	if r.grantID == 0 {
		return nil
	}
	c.abandoned.put(r.grantID, r.Server)
	release := unusedRelease(r.Server, r.grantID)
	c.forgetGrantRequest(r)
	return []Action{release}
}

// unusedRelease releases a grant under which nothing was sent.
func unusedRelease(server model.ServerID, grant uint64) ReleaseGrant {
	return ReleaseGrant{server, &pb.GrantRelease{Grant: grant, Server: uint64(server), DidNotRun: true}}
}

func (c *Coordinator) startAttempt(now time.Time, r *request) []Action {
	if !now.Before(r.grantDeadline) {
		// Sent now, it could run after the admitter has counted the slot free.
		return append(c.abandonGrantRequest(r), c.handleWake(now, r)...)
	}
	c.lastAttempt++
	a := &attempt{number: c.lastAttempt, server: r.Server, grant: r.grantID, sentAt: now, deadline: r.grantDeadline}
	if r.Idempotent {
		attemptTime := max(c.cfg.MinAttemptTime, r.Deadline.Sub(now)/2)
		a.deadline = earlier(r.grantDeadline, now.Add(attemptTime))
	}
	c.heldGrants[r.grantID] = &heldGrant{
		server: r.Server, key: r.Key, attempt: a.number, idempotent: r.Idempotent, expires: r.grantDeadline.Add(c.cfg.DatagramLifetime),
	}
	c.grantByAttempt[a.number] = a.grant
	c.forgetGrantRequest(r)
	r.attempts = append(r.attempts, a)
	r.phase = running
	c.schedule(r)
	return []Action{SendToServer{
		Key: r.Key, Server: a.server, Attempt: a.number, Deadline: a.deadline, Idempotent: r.Idempotent,
		Priority: r.Priority, CallerAttempt: r.CallerAttempt, Payload: r.Payload,
	}}
}

// handleGrantRefused tries another server, if the request may have one; the
// admitter's own refusal is not retried there, because it means overload.
func (c *Coordinator) handleGrantRefused(now time.Time, r *request, reason pb.Reason) []Action {
	if r.Idempotent && reason != pb.Reason_REASON_DEADLINE && c.chooseOtherServer(now, r) {
		return c.backOff(now, r, reason)
	}
	return c.finish(now, r, r.refuseWith(reason))
}

// chooseOtherServer lets Choose pick another server and reports whether it did.
func (c *Coordinator) chooseOtherServer(now time.Time, r *request) bool {
	if c.cfg.ChooseServer == nil || !r.Idempotent {
		return false
	}
	server := c.cfg.ChooseServer(now, r.Key, r.Server)
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
	if !r.retryAt.Before(r.Deadline) || !c.retryBudget(r.Service).withdraw() {
		return c.finish(now, r, r.refuseWith(reason))
	}
	r.phase, r.reason = backingOff, reason
	c.schedule(r)
	return nil
}

// noteLongWait notes that a request ends which waited for a grant, or for its next
// attempt, so long that the caller may have repeated it elsewhere.
func (c *Coordinator) noteLongWait(now time.Time, r *request) {
	waiting := r.phase == awaitingGrant || r.phase == backingOff
	if waiting && now.Sub(r.startedAt) >= c.cfg.RetransmitAfter {
		r.maybeSentElsewhere = true
	}
}

// handleWake carries out what is due for a request.
func (c *Coordinator) handleWake(now time.Time, r *request) []Action {
	switch {
	case r.phase == cancelling && !now.Before(earlier(r.cancelUntil, r.Deadline)):
		return c.finish(now, r, r.refuseWith(pb.Reason_REASON_CANCELLED))
	case r.phase == running && !now.Before(r.currentAttempt().deadline):
		return c.handleAttemptTimeout(now, r, r.currentAttempt())
	case !now.Before(r.Deadline):
		c.noteLongWait(now, r)
		return c.finish(now, r, r.refuseWith(pb.Reason_REASON_DEADLINE))
	case r.phase == backingOff && !now.Before(r.retryAt):
		return c.requestGrant(now, r)
	case r.phase == awaitingGrant && !now.Before(r.grantDeadline):
		return append(c.abandonGrantRequest(r), c.requestGrantWithNewID(now, r)...)
	case r.phase == awaitingGrant && !now.Before(r.resendAt):
		return c.sendGrantRequest(now, r)
	}
	c.schedule(r)
	return nil
}

// handleAttemptTimeout ends an attempt without an answer. Its grant is kept until the
// server must have stopped.
func (c *Coordinator) handleAttemptTimeout(now time.Time, r *request, a *attempt) []Action {
	a.ended = true
	o := serverhealth.Observation{Kind: serverhealth.TimedOut, Latency: now.Sub(a.sentAt)}
	actions := []Action{Observe{r.Key, a.server, o}}
	actions = append(actions, c.cancelAttempt(r, a)...)
	c.scheduleGrantRelease(now, a)
	if !r.Idempotent || !now.Before(r.Deadline) {
		return append(actions, c.finish(now, r, r.refuseWith(pb.Reason_REASON_DEADLINE))...)
	}
	c.chooseOtherServer(now, r)
	return append(actions, c.backOff(now, r, pb.Reason_REASON_DEADLINE)...)
}

func (c *Coordinator) cancelAttempt(r *request, a *attempt) []Action {
	if a.cancelled {
		return nil
	}
	a.cancelled = true
	return []Action{SendCancel{r.Key, a.server, a.number}}
}

func (c *Coordinator) dropHeldGrant(grant uint64) {
	if g := c.heldGrants[grant]; g != nil {
		delete(c.grantByAttempt, g.attempt)
		delete(c.heldGrants, grant)
	}
}

// releaseGrant releases the grant of an attempt with what was observed.
func (c *Coordinator) releaseGrant(now time.Time, a *attempt, m *pb.GrantRelease) []Action {
	if c.heldGrants[a.grant] == nil {
		return nil
	}
	c.dropHeldGrant(a.grant)
	m.Grant, m.Server = a.grant, uint64(a.server)
	m.LatencyMs = milliseconds(now.Sub(a.sentAt))
	return []Action{ReleaseGrant{a.server, m}}
}

// finalActions makes the last actions of a request, after its state is settled.
type finalActions func() []Action

func (r *request) refuseWith(reason pb.Reason) finalActions {
	return func() []Action { return []Action{r.refusalReply(reason)} }
}

// finish ends a request: open attempts are cancelled at the server and keep
// their grants until it must have stopped.
func (c *Coordinator) finish(now time.Time, r *request, final finalActions) []Action {
	actions := c.abandonGrantRequest(r)
	for _, a := range r.attempts {
		if c.heldGrants[a.grant] != nil {
			actions = append(actions, c.cancelAttempt(r, a)...)
			c.scheduleGrantRelease(now, a)
		}
		c.bytes -= a.bytes
	}
	c.bytes -= len(r.Payload)
	delete(c.requests, r.Key)
	actions = append(actions, final()...)
	return append(actions, RequestEnded{r.Key})
}

func (c *Coordinator) retryBudget(service model.ServiceID) *retryBudget {
	b := c.retryBudgets[service]
	if b == nil {
		b = &retryBudget{tokens: 1}
		c.retryBudgets[service] = b
	}
	return b
}

func admitterChanged(old, new *dcstate.State, server model.ServerID) bool {
	if old == nil {
		return true
	}
	oldAdmitter, newAdmitter := old.Admitter(server), new.Admitter(server)
	oldMember, _ := old.Member(oldAdmitter)
	newMember, _ := new.Member(newAdmitter)
	return oldAdmitter != newAdmitter || oldMember.Incarnation != newMember.Incarnation
}
