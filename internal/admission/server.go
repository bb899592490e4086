package admission

import (
	"slices"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// phase is the state of the takeover of a server by this instance.
type phase uint8

const (
	// owned means that this instance grants the slots of the server.
	owned phase = iota
	// awaitingHandover means that the handover of the former admitter has not
	// arrived.
	awaitingHandover
)

// grantKey identifies a grant by its holder, which is the instance that requested
// it, and the ID that the holder chose.
type grantKey struct {
	holder model.InstanceID
	id     uint64
}

type grant struct {
	request    requestKey
	idempotent bool
	grantedAt  time.Time
	expires    time.Time
	// inherited means that an earlier admitter gave the grant.
	inherited bool
}

// server is the state of the slots of one server.
type server struct {
	id           model.ServerID
	backend      *model.BackendServer
	phase        phase
	grants       map[grantKey]*grant
	queue        queue
	history      history
	recentGrants recentGrants
	ramp         ramp

	// formerAdmitter is the admitter whose handover is awaited, and
	// formerIncarnation its incarnation, or zero if that is not known.
	// formerKnown is false until the former admitter is known from the previous
	// state or from the report of a member.
	formerAdmitter    model.InstanceID
	formerIncarnation uint64
	formerKnown       bool
	handoverDeadline  time.Time

	// missingReports is the set of members whose GrantReport has not arrived. A
	// server that was taken over without a handover grants no slots before all
	// reports have arrived or reportDeadline has passed. reportedGrants holds
	// the IDs of the grants that the other members reported.
	missingReports map[model.InstanceID]bool
	reportDeadline time.Time
	reportedGrants map[model.InstanceID]map[uint64]bool
	// unreportedSlots is the number of slots of a cold server that count as busy
	// until unreportedSlotsUntil, because grants that another admitter gave and
	// that no member has reported may still use them.
	unreportedSlots      int
	unreportedSlotsUntil time.Time
	// networkDuplicatesUntil is the time until which a network duplicate of a
	// request that the former admitter granted may arrive. It is set when the
	// former admitter restarted instead of leaving the view, since less than
	// DeadAfter may have passed since its last grant.
	networkDuplicatesUntil time.Time

	// arrivals counts the waiters that were added to the queue.
	arrivals uint64
	// lastAnswerAt is the time of the last answer to a granted request.
	lastAnswerAt time.Time
}

func (a *Admitter) newServer(now time.Time, id model.ServerID) *server {
	s := &server{
		id: id, backend: a.backends[id], grants: map[grantKey]*grant{}, queue: newQueue(), history: newHistory(&a.cfg),
		reportedGrants: map[model.InstanceID]map[uint64]bool{}, missingReports: map[model.InstanceID]bool{},
	}
	s.ramp.start(now, s.backend, a.conditions[id])
	s.lastAnswerAt = a.healthyAt[id]
	return s
}

func (s *server) nextArrival() uint64 {
	s.arrivals++
	return s.arrivals
}

// busySlots returns the number of slots that are or may be in use.
func (s *server) busySlots(now time.Time) int {
	n := len(s.grants)
	if s.ramp.cold && now.Before(s.unreportedSlotsUntil) {
		n += s.unreportedSlots
	}
	return n
}

// checkAdmissible decides whether the request may be sent, regardless of free
// slots. It detects duplicates of non-idempotent requests.
func (a *Admitter) checkAdmissible(now time.Time, s *server, w *waiter) (pb.GrantResult, pb.Reason) {
	r := w.request
	if r.GetIdempotent() {
		return pb.GrantResult_GRANT_RESULT_GRANTED, 0
	}
	latest, known := s.history.lookup(now, keyOf(r))
	switch {
	case known && latest.holder == "":
		return pb.GrantResult_GRANT_RESULT_GRANTED, 0
	case known && latest.holder == w.key.holder && slices.Contains(r.GetFormerGrants(), latest.id):
		return pb.GrantResult_GRANT_RESULT_GRANTED, 0
	case known && s.grants[latest] != nil && latest.holder != w.key.holder:
		return pb.GrantResult_GRANT_RESULT_UNDER_WAY, 0
	case known:
		return pb.GrantResult_GRANT_RESULT_DUPLICATE, pb.Reason_REASON_DUPLICATE
	case r.GetRetry() || ((s.history.incomplete(now) || !a.viewComplete) && s.mayBeDuplicate(w)):
		return pb.GrantResult_GRANT_RESULT_DUPLICATE, pb.Reason_REASON_DUPLICATE
	case s.history.full(now):
		return pb.GrantResult_GRANT_RESULT_REFUSED, pb.Reason_REASON_OVERLOAD
	}
	return pb.GrantResult_GRANT_RESULT_GRANTED, 0
}

// mayBeDuplicate reports whether the request may be a duplicate of one that
// another admitter granted and that is missing from the history. A network
// duplicate of the first transmission reaches this admitter only if its
// coordinator requested the grant from the former admitter before, or if the
// former admitter was replaced within the lifetime of a datagram.
func (s *server) mayBeDuplicate(w *waiter) bool {
	return w.request.GetCallerAttempt() > 1 || w.request.GetReasked() || w.arrivedAt.Before(s.networkDuplicatesUntil)
}

// grant grants a slot to the waiter. The grant expires DatagramLifetime after the
// deadline by which the coordinator must have ended the attempt, because the
// packet of the attempt may still be under way at the deadline.
func (s *server) grant(now time.Time, w *waiter, cfg *Config) {
	s.grants[w.key] = &grant{
		request: keyOf(w.request), idempotent: w.request.GetIdempotent(),
		grantedAt: now, expires: w.deadline.Add(cfg.DatagramLifetime),
	}
	if w.request.GetIdempotent() {
		s.recentGrants.add(keyOf(w.request))
	} else {
		s.history.remember(now.Add(cfg.RequestRetention), keyOf(w.request), w.key)
	}
}

func (s *server) expireGrants(now time.Time) {
	for k, g := range s.grants {
		if !now.Before(g.expires) {
			delete(s.grants, k)
		}
	}
}

func (a *Admitter) expireQueue(now time.Time, s *server) []peer.Message {
	var out []peer.Message
	for _, w := range s.queue.expired(now) {
		s.queue.remove(w.key)
		out = append(out, a.refuse(now, s, w, pb.Reason_REASON_DEADLINE))
	}
	return out
}

// refuse returns the refusal of a waiter. If a duplicate of the request may have
// run, the result is not REFUSED, because REFUSED means that the request did not
// run.
func (a *Admitter) refuse(now time.Time, s *server, w *waiter, reason pb.Reason) peer.Message {
	if result, duplicateReason := a.checkAdmissible(now, s, w); result == pb.GrantResult_GRANT_RESULT_DUPLICATE || result == pb.GrantResult_GRANT_RESULT_UNDER_WAY {
		return grantReply(w.key.holder, w.key.id, result, duplicateReason)
	}
	granted := w.request.GetIdempotent() && s.recentGrants.keys[keyOf(w.request)]
	if granted || s.queue.hasRequest(keyOf(w.request)) {
		return grantReply(w.key.holder, w.key.id, pb.GrantResult_GRANT_RESULT_DUPLICATE, reason)
	}
	return grantReply(w.key.holder, w.key.id, pb.GrantResult_GRANT_RESULT_REFUSED, reason)
}

// rejectQueued empties the queue and replies NOT_ADMITTER to all waiters, which
// leaves the decision about their requests to the new admitter.
func (s *server) rejectQueued() []peer.Message {
	var out []peer.Message
	for s.queue.Len() > 0 {
		w := s.queue.first()
		s.queue.remove(w.key)
		out = append(out, grantReply(w.key.holder, w.key.id, pb.GrantResult_GRANT_RESULT_NOT_ADMITTER, pb.Reason_REASON_INSTANCE_NOT_READY))
	}
	return out
}

// inherit adds a grant that an earlier admitter gave, unless its holder has sent a
// report without it.
func (s *server) inherit(now time.Time, o *pb.OutstandingGrant, cfg *Config) {
	holder := model.InstanceID(o.GetHolder())
	key := grantKey{holder, o.GetGrant()}
	if ids, reported := s.reportedGrants[holder]; s.grants[key] != nil || (reported && !ids[o.GetGrant()]) {
		return
	}
	left := min(time.Duration(o.GetExpiresMs())*time.Millisecond, cfg.MaxGrantDuration+cfg.DatagramLifetime)
	request := requestKey{model.FlowHash(o.GetFlow()), o.GetRequestId()}
	s.grants[key] = &grant{request: request, idempotent: o.GetIdempotent(), grantedAt: now, expires: now.Add(left), inherited: true}
	if _, known := s.history.lookup(now, request); !known && !o.GetIdempotent() {
		s.history.remember(now.Add(cfg.RequestRetention), request, key)
	}
}

// outstanding returns the grants ordered by holder and ID, followed by one entry
// without a holder for each unreported slot.
func (s *server) outstanding(now time.Time) []*pb.OutstandingGrant {
	var out []*pb.OutstandingGrant
	for k, g := range s.grants {
		out = append(out, &pb.OutstandingGrant{
			Holder: string(k.holder), Grant: k.id, Server: uint64(s.id), ExpiresMs: milliseconds(g.expires.Sub(now)),
			Flow: uint64(g.request.flow), RequestId: g.request.id, Idempotent: g.idempotent,
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Holder != out[j].Holder {
			return out[i].Holder < out[j].Holder
		}
		return out[i].Grant < out[j].Grant
	})
	for i := 0; i < s.unreportedSlots && now.Before(s.unreportedSlotsUntil); i++ {
		out = append(out, &pb.OutstandingGrant{
			Grant: uint64(i), Server: uint64(s.id), ExpiresMs: milliseconds(s.unreportedSlotsUntil.Sub(now)), Idempotent: true,
		})
	}
	return out
}

// milliseconds returns d in milliseconds, rounded up so that nothing expires
// early at the receiver.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
