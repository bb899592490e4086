package admission

import (
	"slices"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// phase says how far an instance is with taking over a server.
type phase uint8

const (
	owned phase = iota
	// awaitingHandover means that the handover of the former admitter has not come.
	awaitingHandover
)

type grantKey struct {
	holder model.InstanceID
	id     uint64
}

type grant struct {
	request    requestKey
	idempotent bool
	grantedAt  time.Time
	expires    time.Time
	// inherited grants were given by an earlier admitter.
	inherited bool
}

// server is the state of one server's slots.
type server struct {
	id           model.ServerID
	backend      *model.BackendServer
	phase        phase
	grants       map[grantKey]*grant
	queue        queue
	history      requestHistory
	recentGrants recentGrants
	ramp         ramp

	// formerAdmitter is the admitter whose handover is awaited, with its
	// incarnation; formerSure is false while it is only deduced from ranks.
	formerAdmitter    model.InstanceID
	formerIncarnation uint64
	formerKnown       bool
	handoverDeadline  time.Time

	// missingReports are the members whose GrantReport is missing; until openAt the
	// admitter waits for them. reports holds what the others reported.
	missingReports map[model.InstanceID]bool
	reportDeadline time.Time
	reportedGrants map[model.InstanceID]map[uint64]bool
	// unreportedSlots slots of a cold server count as busy until
	// unreportedUntil: grants of a dead admitter may still use them.
	unreportedSlots      int
	unreportedSlotsUntil time.Time
	// networkDuplicatesUntil is set when the former admitter did not leave the view but
	// restarted: less than DeadAfter may have passed since its last grant.
	networkDuplicatesUntil time.Time

	arrivals uint64
	// lastAnswerAt is the time of the last answer to a granted request.
	lastAnswerAt time.Time
}

func (a *Admitter) newServer(now time.Time, id model.ServerID) *server {
	s := &server{
		id: id, backend: a.catalog[id], grants: map[grantKey]*grant{}, queue: newQueue(), history: newRequestHistory(&a.cfg),
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

// busySlots returns the slots that are or may be in use.
func (s *server) busySlots(now time.Time) int {
	n := len(s.grants)
	if s.ramp.cold && now.Before(s.unreportedSlotsUntil) {
		n += s.unreportedSlots
	}
	return n
}

// checkAdmissible says whether the request may be sent at all.
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

// mayBeDuplicate reports whether the request may be a copy of one that a former
// admitter granted and this one does not know. A network duplicate of a first
// transmission meets this admitter only if its coordinator asked the former
// one before, or if the former one was replaced faster than a datagram
// travels.
func (s *server) mayBeDuplicate(w *waiter) bool {
	return w.request.GetCallerAttempt() > 1 || w.request.GetReasked() || w.arrivedAt.Before(s.networkDuplicatesUntil)
}

// grant gives a slot to the waiter. It expires when the coordinator must have
// ended the attempt, plus the time for which its packet may be under way.
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

// refuse refuses a waiter; not as one that did not run if a copy may have.
func (a *Admitter) refuse(now time.Time, s *server, w *waiter, reason pb.Reason) peer.Message {
	if result, why := a.checkAdmissible(now, s, w); result == pb.GrantResult_GRANT_RESULT_DUPLICATE || result == pb.GrantResult_GRANT_RESULT_UNDER_WAY {
		return reply(w.key.holder, w.key.id, result, why)
	}
	granted := w.request.GetIdempotent() && s.recentGrants.keys[keyOf(w.request)]
	if granted || s.queue.hasRequest(keyOf(w.request)) {
		return reply(w.key.holder, w.key.id, pb.GrantResult_GRANT_RESULT_DUPLICATE, reason)
	}
	return reply(w.key.holder, w.key.id, pb.GrantResult_GRANT_RESULT_REFUSED, reason)
}

// rejectQueued empties the queue without a decision about its requests.
func (s *server) rejectQueued() []peer.Message {
	var out []peer.Message
	for s.queue.Len() > 0 {
		w := s.queue.first()
		s.queue.remove(w.key)
		out = append(out, reply(w.key.holder, w.key.id, pb.GrantResult_GRANT_RESULT_NOT_ADMITTER, pb.Reason_REASON_INSTANCE_NOT_READY))
	}
	return out
}

// inherit adds a grant that an earlier admitter gave, unless its holder has
// reported that it does not hold it.
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

// outstanding lists the grants in the order of holder and number.
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

// milliseconds rounds up, so that nothing expires early at the receiver.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
