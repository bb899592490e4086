package limits

import (
	"slices"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/rendezvous"
)

// maxHoldersTried is the maximum number of instances from which this instance tries
// to borrow the unit for one opening or request.
const maxHoldersTried = 3

// releaseRetryInterval is the time after which an unconfirmed release is sent
// again.
const releaseRetryInterval = time.Second

// pendingDecision is a decision that waits for the reply to a LimitRequest.
type pendingDecision struct {
	key key
	// lender is the instance to which the LimitRequest was sent.
	lender model.InstanceID
	// remaining holds the instances that are tried next if lender refuses.
	remaining []model.InstanceID
	deadline  time.Time
	// perSecond and concurrent are the limits of the plan at the time of the
	// LimitRequest.
	perSecond, concurrent int
}

// pendingRelease is a unit whose return the lender has not confirmed yet.
type pendingRelease struct {
	key    key
	lender model.InstanceID
	sentAt time.Time
}

// PlanLookup returns the limits that the present plan of a caller sets for a
// service, and false if the plan does not include the service.
type PlanLookup func(caller string, service model.ServiceID) (model.PlanUse, bool)

// HandlePeer handles a LimitRequest or LimitReply message. It returns the messages
// to send and the pending decisions that the message resolves. lookup supplies the
// limits for a LimitRequest, since this instance may not have seen the caller.
func (l *Limits) HandlePeer(now time.Time, from model.InstanceID, body *pb.PeerMessage, lookup PlanLookup) ([]peer.Message, []Resolved) {
	if r := body.GetLimitRequest(); r != nil {
		return []peer.Message{l.handleLimitRequest(now, from, r, lookup)}, nil
	}
	if r := body.GetLimitReply(); r != nil {
		return l.handleLimitReply(now, from, r)
	}
	return nil, nil
}

// Tick refuses pending decisions whose reply has not arrived in time, resends
// unconfirmed releases and drops idle state.
func (l *Limits) Tick(now time.Time) ([]peer.Message, []Resolved) {
	var messages []peer.Message
	var resolved []Resolved
	for _, id := range sortedIDs(l.pending) {
		p := l.pending[id]
		if now.Before(p.deadline) {
			continue
		}
		delete(l.pending, id)
		resolved = append(resolved, Resolved{ID: id, Reason: pb.Reason_REASON_PEER_UNREACHABLE})
		// The lender may have lent the unit, and its reply may have been lost.
		messages = append(messages, l.sendRelease(now, p.key, unit{p.lender, id}))
	}
	for _, id := range sortedIDs(l.releases) {
		r := l.releases[id]
		if now.Sub(r.sentAt) >= releaseRetryInterval {
			messages = append(messages, l.sendRelease(now, r.key, unit{r.lender, id}))
		}
	}
	l.dropIdle(now)
	return messages, resolved
}

// requestUnit returns a pending decision with a LimitRequest to an instance that
// holds a share of the limits, or a refusal if there is none.
func (l *Limits) requestUnit(now time.Time, k key, perSecond, concurrent int) Decision {
	refused := Decision{Verdict: Refused, Reason: pb.Reason_REASON_RATE_LIMIT}
	if len(l.lists) == 0 || len(l.pending) >= l.cfg.MaxPending {
		return refused
	}
	ids := l.lists[len(l.lists)-1].ids
	n := len(ids)
	for _, limit := range []int{perSecond, concurrent} {
		if limit > 0 {
			n = min(n, limit)
		}
	}
	holders := shareHolders(ids, k, n)
	var others []model.InstanceID
	start := int(rendezvous.Seed(l.cfg.Self) % uint64(max(1, len(holders))))
	for i := range holders {
		if id := holders[(start+i)%len(holders)]; id != l.cfg.Self && len(others) < maxHoldersTried {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return refused
	}
	l.nextID++
	p := &pendingDecision{key: k, lender: others[0], remaining: others[1:], deadline: now.Add(l.cfg.ReplyTimeout), perSecond: perSecond, concurrent: concurrent}
	l.pending[l.nextID] = p
	return Decision{Verdict: Pending, ID: l.nextID, Message: limitRequest(l.nextID, p.lender, k, false)}
}

// handleLimitRequest lends a unit to another instance or takes back a lent one.
func (l *Limits) handleLimitRequest(now time.Time, from model.InstanceID, r *pb.LimitRequest, lookup PlanLookup) peer.Message {
	k := key{r.GetCaller(), model.ServiceID(r.GetService()), requests}
	if r.GetOpening() {
		k.kind = openings
	}
	// The reply to a release has neither Allowed nor Reason set.
	reply := &pb.LimitReply{Id: r.GetId()}
	if r.GetRelease() {
		if lent, ok := l.lent[from][r.GetId()]; ok {
			delete(l.lent[from], r.GetId())
			l.returnLentUnit(now, lent)
		}
	} else {
		reply.Reason = l.lendUnit(now, from, r.GetId(), k, lookup)
		reply.Allowed = reply.Reason == 0
	}
	return peer.Message{To: from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_LimitReply{LimitReply: reply}}}
}

// lendUnit lends a unit to another instance, or returns the reason of a refusal.
// A unit that is already lent under the ID is not counted again. Without a
// concurrency limit only the rate counts, and there is nothing to give back.
func (l *Limits) lendUnit(now time.Time, from model.InstanceID, id uint64, k key, lookup PlanLookup) pb.Reason {
	if _, ok := l.lent[from][id]; ok {
		return 0
	}
	use, ok := lookup(k.caller, k.service)
	if !ok {
		return pb.Reason_REASON_NOT_IN_PLAN
	}
	perSecond, concurrent := use.RequestsPerSecond, use.ConcurrentRequests
	if k.kind == openings {
		perSecond, concurrent = use.OpeningsPerSecond, use.ConcurrentFlows
	}
	if reason := l.state(now, k, perSecond, concurrent).takeUnit(now); reason != 0 {
		return reason
	}
	if concurrent == 0 {
		return 0
	}
	if l.lent[from] == nil {
		l.lent[from] = map[uint64]key{}
	}
	l.lent[from][id] = k
	return 0
}

// handleLimitReply handles the reply to a request for a unit or to a release.
func (l *Limits) handleLimitReply(now time.Time, from model.InstanceID, r *pb.LimitReply) ([]peer.Message, []Resolved) {
	if rel := l.releases[r.GetId()]; rel != nil && rel.lender == from {
		if !r.GetAllowed() {
			delete(l.releases, r.GetId())
		}
		return nil, nil
	}
	p := l.pending[r.GetId()]
	if p == nil && r.GetAllowed() && !l.isBorrowed(from, r.GetId()) {
		// The release arrived at the lender before the request for the unit.
		return []peer.Message{l.sendRelease(now, key{}, unit{from, r.GetId()})}, nil
	}
	if p == nil || p.lender != from {
		return nil, nil
	}
	if r.GetAllowed() {
		delete(l.pending, r.GetId())
		resolved := []Resolved{{ID: r.GetId(), Allowed: true}}
		if p.concurrent == 0 {
			// The lender counts the unit if its configuration already has a
			// concurrency limit.
			return []peer.Message{l.sendRelease(now, p.key, unit{from, r.GetId()})}, resolved
		}
		s := l.state(now, p.key, p.perSecond, p.concurrent)
		s.borrowed = append(s.borrowed, unit{from, r.GetId()})
		return nil, resolved
	}
	if len(p.remaining) > 0 {
		p.lender, p.remaining = p.remaining[0], p.remaining[1:]
		p.deadline = now.Add(l.cfg.ReplyTimeout)
		return []peer.Message{limitRequest(r.GetId(), p.lender, p.key, false)}, nil
	}
	delete(l.pending, r.GetId())
	return nil, []Resolved{{ID: r.GetId(), Reason: r.GetReason()}}
}

// isBorrowed reports whether a flow or request of this instance uses the unit. It
// scans all states, but is called only for duplicate or late replies.
func (l *Limits) isBorrowed(lender model.InstanceID, id uint64) bool {
	for _, s := range l.states {
		for _, u := range s.borrowed {
			if u == (unit{lender, id}) {
				return true
			}
		}
	}
	return false
}

// sendRelease returns the message that gives a unit back to its lender. Tick sends
// it again until the lender confirms it. The lender identifies the unit by its ID
// alone.
func (l *Limits) sendRelease(now time.Time, k key, u unit) peer.Message {
	l.releases[u.id] = &pendingRelease{k, u.lender, now}
	return limitRequest(u.id, u.lender, k, true)
}

func limitRequest(id uint64, to model.InstanceID, k key, release bool) peer.Message {
	r := &pb.LimitRequest{Id: id, Caller: k.caller, Service: uint64(k.service), Opening: k.kind == openings, Release: release}
	return peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_LimitRequest{LimitRequest: r}}}
}

// returnLentUnit counts a unit as no longer lent.
func (l *Limits) returnLentUnit(now time.Time, k key) {
	if s := l.states[k]; s != nil && s.inUse > 0 {
		s.inUse--
		s.lastUse = now
	}
}

// dropDepartedInstances takes back the units that were lent to instances that are
// not in ids, and drops the unconfirmed releases to them.
func (l *Limits) dropDepartedInstances(ids []model.InstanceID) {
	for borrower, units := range l.lent {
		if slices.Contains(ids, borrower) {
			continue
		}
		for _, k := range units {
			if s := l.states[k]; s != nil && s.inUse > 0 {
				s.inUse--
			}
		}
		delete(l.lent, borrower)
	}
	for id, r := range l.releases {
		if !slices.Contains(ids, r.lender) {
			delete(l.releases, id)
		}
	}
}

// dropIdle drops idle states. It examines a limited number of them per tick, in
// the random iteration order of the map, so that a tick stays short with many
// callers.
func (l *Limits) dropIdle(now time.Time) {
	const perTick = 1000
	seen := 0
	for k, s := range l.states {
		if seen++; seen > perTick {
			return
		}
		if s.inUse == 0 && len(s.borrowed) == 0 && now.Sub(s.lastUse) >= l.cfg.IdleTimeout {
			delete(l.states, k)
		}
	}
}

func sortedIDs[T any](m map[uint64]T) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
