package requests

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

type phase uint8

const (
	awaitingGrant phase = iota
	// running means that an attempt is under way.
	running
	// backingOff means that the request waits before its next attempt.
	backingOff
	// cancelling means that the caller has cancelled the request and that the
	// server has not yet reported whether it ran.
	cancelling
)

// attempt is one transmission of a request to a server.
type attempt struct {
	number   uint32
	server   model.ServerID
	grant    uint64
	sentAt   time.Time
	deadline time.Time
	// didNotRun is set when the server reported that the attempt did not run.
	didNotRun bool
	// refused is set when the server refused the attempt. ended is set then, and
	// also when the attempt timed out.
	refused bool
	ended   bool
	// cancelled is set when the attempt was cancelled at the server.
	cancelled bool
	// parts holds the parts of the answer; a missing part is nil.
	parts        [][]byte
	missingParts int
	// bytes is the memory that the parts take.
	bytes int
}

// request is the state of a request in flight.
type request struct {
	Request
	startedAt time.Time
	phase     phase
	attempts  []*attempt
	// maybeSentElsewhere is set when another instance may have sent the request
	// to a server.
	maybeSentElsewhere bool

	// grantID is the ID of the present grant request, or zero if there is none.
	grantID uint64
	// grantIDs holds the IDs of all grant requests, including the present one.
	grantIDs []uint64
	// requestedBefore is set when the grant for the next attempt was requested
	// before, perhaps from another admitter. It is sent as GrantRequest.Reasked.
	requestedBefore bool
	// resendAt is the time at which the grant request is sent again, and
	// resendInterval the wait after that.
	resendAt       time.Time
	resendInterval time.Duration
	// notAdmitterReplies counts NOT_ADMITTER replies, for the backoff.
	notAdmitterReplies int
	// grantDeadline is the latest end of an attempt under the present grant.
	grantDeadline time.Time
	// retryAt is the end of the backoff.
	retryAt time.Time
	// wakeAt is the time of the current timer of the request. Timers of the request
	// with another time are obsolete.
	wakeAt time.Time

	// cancelUntil is the end of the wait for the server after a cancellation.
	cancelUntil time.Time
}

// heldGrant is a grant that this instance has not released yet.
type heldGrant struct {
	server     model.ServerID
	key        Key
	attempt    uint32
	idempotent bool
	expires    time.Time
	// releaseAt is the time at which the grant is released. It is set when the
	// attempt has ended here but may still run at the server.
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

// currentAttempt returns the attempt that is under way, or nil.
func (r *request) currentAttempt() *attempt {
	if n := len(r.attempts); n > 0 && !r.attempts[n-1].ended {
		return r.attempts[n-1]
	}
	return nil
}

// didNotRun reports whether it is certain that the request did not run.
func (r *request) didNotRun() bool {
	// An earlier transmission of the caller may have reached another instance.
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

// requestGrant requests the grant for the next attempt for the first time.
// requestGrantWithNewID replaces a request for it.
func (c *Coordinator) requestGrant(now time.Time, r *request) []Action {
	r.requestedBefore = false
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

// sendGrantRequest sends the grant request or sends it again. Each transmission
// carries the time that is left, so that the admitter never assumes a later
// deadline than that of the first one.
func (c *Coordinator) sendGrantRequest(now time.Time, r *request) []Action {
	r.resendAt = now.Add(r.resendInterval)
	r.resendInterval *= 2
	c.schedule(r)
	action := RequestGrant{r.Server, &pb.GrantRequest{
		Grant: r.grantID, Server: uint64(r.Server), Flow: uint64(r.Flow), RequestId: r.ID, Idempotent: r.Idempotent,
		Priority: r.Priority, DeadlineMs: max(1, milliseconds(r.grantDeadline.Sub(now))), CallerAttempt: r.CallerAttempt,
		Retry: len(r.attempts) > 0, Reasked: r.requestedBefore,
	}}
	if !r.Idempotent {
		action.GrantRequest.FormerGrants = slices.Clone(r.grantIDs[:len(r.grantIDs)-1])
	}
	r.requestedBefore = true
	return []Action{action}
}

func (c *Coordinator) forgetGrantRequest(r *request) {
	delete(c.grantRequests, r.grantID)
	r.grantID = 0
}

// abandonGrantRequest withdraws the present grant request, if there is one.
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

// startAttempt sends the next attempt under the grant that was just given.
func (c *Coordinator) startAttempt(now time.Time, r *request) []Action {
	if !now.Before(r.grantDeadline) {
		// An attempt that is sent now could still run when the admitter
		// considers the slot free.
		return append(c.abandonGrantRequest(r), c.handleWake(now, r)...)
	}
	c.lastAttempt++
	a := &attempt{number: c.lastAttempt, server: r.Server, grant: r.grantID, sentAt: now, deadline: r.grantDeadline}
	if r.Idempotent {
		attemptTimeout := max(c.cfg.MinAttemptTimeout, r.Deadline.Sub(now)/2)
		a.deadline = earlier(r.grantDeadline, now.Add(attemptTimeout))
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

// handleGrantRefused tries another server if the request may be moved. It requests
// no other grant from the admitter that refused, because the refusal means overload.
func (c *Coordinator) handleGrantRefused(now time.Time, r *request, reason pb.Reason) []Action {
	if r.Idempotent && reason != pb.Reason_REASON_DEADLINE && c.chooseOtherServer(now, r) {
		return c.backOff(now, r, reason)
	}
	return c.finish(now, r, r.refuseWith(reason))
}

// chooseOtherServer moves an idempotent request to another server and reports
// whether Config.ChooseServer returned one.
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

// backOff waits before the next attempt. It refuses the request instead if the
// retry budget or the deadline does not allow another attempt.
func (c *Coordinator) backOff(now time.Time, r *request, reason pb.Reason) []Action {
	limit := c.cfg.BackoffMax
	if n := len(r.attempts); n < 16 {
		limit = min(limit, c.cfg.BackoffBase<<max(0, n-1))
	}
	r.retryAt = now.Add(c.jitter(limit))
	if !r.retryAt.Before(r.Deadline) || !c.retryBudget(r.Service).withdraw() {
		return c.finish(now, r, r.refuseWith(reason))
	}
	r.phase = backingOff
	c.schedule(r)
	return nil
}

// noteLongWait is called when a request ends. It sets maybeSentElsewhere if the
// request waited for a grant or for its next attempt so long that the caller may
// have retransmitted it to another instance.
func (c *Coordinator) noteLongWait(now time.Time, r *request) {
	waiting := r.phase == awaitingGrant || r.phase == backingOff
	if waiting && now.Sub(r.startedAt) >= c.cfg.MinRetransmitInterval {
		r.maybeSentElsewhere = true
	}
}

// handleWake performs the action that is due for a request.
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

// handleAttemptTimeout ends an attempt that was not answered in time. Its grant is
// held until the attempt can no longer run at the server.
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

// releaseGrant releases the grant of an attempt. m carries the result of the
// attempt; the remaining fields are filled in.
func (c *Coordinator) releaseGrant(now time.Time, a *attempt, m *pb.GrantRelease) []Action {
	if c.heldGrants[a.grant] == nil {
		return nil
	}
	c.dropHeldGrant(a.grant)
	m.Grant, m.Server = a.grant, uint64(a.server)
	m.LatencyMs = milliseconds(now.Sub(a.sentAt))
	return []Action{ReleaseGrant{a.server, m}}
}

// finalActions returns the last actions of a request. It is called when the state
// of the request is final.
type finalActions func() []Action

func (r *request) refuseWith(reason pb.Reason) finalActions {
	return func() []Action { return []Action{r.refusalReply(reason)} }
}

// finish ends a request. Attempts that may still run are cancelled at the server,
// and their grants are held until they can no longer run.
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
