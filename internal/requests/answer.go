package requests

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/serverhealth"
)

// partOverheadBytes is the memory that a part takes besides its payload.
const partOverheadBytes = 24

// handleAnswerPart adds a part to the answer of its attempt. The first complete
// answer is sent to the caller, even if it belongs to an earlier attempt.
func (c *Coordinator) handleAnswerPart(now time.Time, r *request, a *attempt, p ServerPacket) []Action {
	partCount := max(1, p.Parts)
	if p.Part >= partCount || int(partCount) > c.cfg.MaxParts || c.bytes+len(p.Payload) > c.cfg.MaxBytes {
		return nil
	}
	if a.parts == nil {
		a.parts, a.missingParts = make([][]byte, partCount), int(partCount)
		a.bytes, c.bytes = a.bytes+partOverheadBytes*int(partCount), c.bytes+partOverheadBytes*int(partCount)
	}
	if len(a.parts) != int(partCount) || a.parts[p.Part] != nil {
		return nil
	}
	if p.Payload == nil {
		p.Payload = []byte{}
	}
	a.parts[p.Part], a.didNotRun = p.Payload, false
	a.bytes += len(p.Payload)
	c.bytes += len(p.Payload)
	if a.missingParts--; a.missingParts > 0 {
		return nil
	}
	condition := serverhealth.Healthy
	if p.Cold {
		condition = serverhealth.Cold
	}
	actions := c.releaseGrant(now, a, &pb.GrantRelease{Condition: condition, Answered: true})
	o := serverhealth.Observation{Kind: serverhealth.Answered, Cold: p.Cold, Latency: now.Sub(a.sentAt)}
	actions = append(actions, Observe{r.Key, a.server, o})
	if !r.Idempotent {
		c.answers.add(now, r.Key, a.parts)
	}
	return append(actions, c.finish(now, r, func() []Action { return answerActions(r.Key, a.parts) })...)
}

func answerActions(k Key, parts [][]byte) []Action {
	actions := make([]Action, 0, len(parts))
	for i, payload := range parts {
		actions = append(actions, ReplyToCaller{Key: k, Kind: pb.Kind_KIND_ANSWER, Part: uint32(i), Parts: uint32(len(parts)), Payload: payload})
	}
	return actions
}

// handleServerRefusal ends an attempt that the server refused. If the request
// still waits for this attempt, it is retried if that is allowed, or else refused.
func (c *Coordinator) handleServerRefusal(now time.Time, r *request, a *attempt, p ServerPacket) []Action {
	// If the server sends contradictory packets for one attempt, the first one
	// counts, but an answer always shows that the attempt ran.
	if a.refused || a.parts != nil {
		return nil
	}
	hadEnded := a.ended
	a.refused, a.ended = true, true
	a.didNotRun = p.Outcome == pb.Outcome_OUTCOME_DID_NOT_RUN
	actions := c.releaseGrant(now, a, &pb.GrantRelease{Condition: refusalCondition(p), DidNotRun: a.didNotRun})
	o := serverhealth.Observation{Kind: serverhealth.Refused, Reason: p.Reason, Cold: p.Cold}
	actions = append(actions, Observe{r.Key, a.server, o})
	switch {
	case hadEnded:
		return actions
	case r.phase == cancelling:
		return append(actions, c.finish(now, r, r.refuseWith(pb.Reason_REASON_CANCELLED))...)
	case !retryable(p.Reason) || !(r.Idempotent || r.allAttemptsDidNotRun()):
		return append(actions, c.finish(now, r, r.refuseWith(p.Reason))...)
	}
	c.chooseOtherServer(now, r)
	return append(actions, c.backOff(now, r, p.Reason)...)
}

// allAttemptsDidNotRun reports whether the server refused each attempt with the
// outcome DID_NOT_RUN.
func (r *request) allAttemptsDidNotRun() bool {
	for _, a := range r.attempts {
		if !a.didNotRun {
			return false
		}
	}
	return true
}

// retryable reports whether another attempt may succeed after a refusal with this
// reason.
func retryable(reason pb.Reason) bool {
	switch reason {
	case pb.Reason_REASON_UNKNOWN_FLOW, pb.Reason_REASON_NOT_IN_PLAN, pb.Reason_REASON_CANCELLED, pb.Reason_REASON_DUPLICATE:
		return false
	}
	return true
}

func refusalCondition(p ServerPacket) serverhealth.Condition {
	switch {
	case p.Cold:
		return serverhealth.Cold
	case p.Reason == pb.Reason_REASON_DRAINING:
		return serverhealth.Draining
	case p.Reason == pb.Reason_REASON_SHED || p.Reason == pb.Reason_REASON_OVERLOAD:
		return serverhealth.Shedding
	}
	return serverhealth.Unknown
}

// handleLatePacket handles a packet of an attempt that no request in flight has made,
// usually because its request has ended. The last packet of the attempt shows that
// the server has finished it, so that its grant can be released.
func (c *Coordinator) handleLatePacket(now time.Time, p ServerPacket) []Action {
	id := c.grantByAttempt[p.Attempt]
	g := c.heldGrants[id]
	last := p.Kind == pb.Kind_KIND_REFUSAL || p.Part+1 >= p.Parts
	if g == nil || g.key != p.Key || g.server != p.Server || !last {
		return nil
	}
	c.dropHeldGrant(id)
	release := &pb.GrantRelease{
		Grant: id, Server: uint64(g.server), Condition: refusalCondition(p),
		DidNotRun: p.Kind == pb.Kind_KIND_REFUSAL && p.Outcome == pb.Outcome_OUTCOME_DID_NOT_RUN,
	}
	kind := serverhealth.Answered
	if p.Kind == pb.Kind_KIND_REFUSAL {
		kind = serverhealth.Refused
	}
	o := serverhealth.Observation{Kind: kind, Reason: p.Reason, Cold: p.Cold}
	return []Action{ReleaseGrant{g.server, release}, Observe{p.Key, g.server, o}}
}

// answerCache keeps the answers to non-idempotent requests for retransmissions.
type answerCache struct {
	retention time.Duration
	maxBytes  int
	bytes     int
	answers   map[Key]cachedAnswer
	// order holds the keys of the answers, oldest first.
	order []Key
}

type cachedAnswer struct {
	parts   [][]byte
	bytes   int
	expires time.Time
}

func newAnswerCache(retention time.Duration, maxBytes int) *answerCache {
	return &answerCache{retention: retention, maxBytes: maxBytes, answers: map[Key]cachedAnswer{}}
}

// answerOverheadBytes is the approximate memory that an answer takes besides its
// payload.
const answerOverheadBytes = 128

func (c *answerCache) add(now time.Time, k Key, parts [][]byte) {
	size := answerOverheadBytes
	for _, p := range parts {
		size += len(p)
	}
	if _, ok := c.answers[k]; ok || size > c.maxBytes {
		return
	}
	for c.bytes+size > c.maxBytes {
		c.evictOldest()
	}
	c.answers[k] = cachedAnswer{parts, size, now.Add(c.retention)}
	c.order = append(c.order, k)
	c.bytes += size
}

func (c *answerCache) lookup(now time.Time, k Key) [][]byte {
	c.expire(now)
	return c.answers[k].parts
}

func (c *answerCache) expire(now time.Time) {
	for len(c.order) > 0 && !now.Before(c.answers[c.order[0]].expires) {
		c.evictOldest()
	}
}

func (c *answerCache) evictOldest() {
	c.bytes -= c.answers[c.order[0]].bytes
	delete(c.answers, c.order[0])
	c.order = c.order[1:]
}
