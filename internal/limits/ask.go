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

// maxHoldersAsked bounds how many instances are asked for one opening or request.
const maxHoldersAsked = 3

// releaseRetryInterval is the time after which an unconfirmed release is repeated.
const releaseRetryInterval = time.Second

// pendingDecision is a decision that waits for the reply of holder.
type pendingDecision struct {
	key       limitKey
	holder    model.InstanceID
	remaining []model.InstanceID
	deadline  time.Time
	// perSecond and concurrent are the limits of the plan when asked.
	perSecond, concurrent int
}

// pendingRelease is a unit given back to its holder but not yet confirmed.
type pendingRelease struct {
	key    limitKey
	holder model.InstanceID
	sentAt time.Time
}

// Lookup returns what a caller may use of a service under its present plan.
type Lookup func(caller string, service model.ServiceID) (model.Use, bool)

// HandlePeer handles LimitRequest and LimitReply. The lookup serves requests
// for callers of which this instance has seen nothing.
func (l *Limits) HandlePeer(now time.Time, from model.InstanceID, body *pb.PeerMessage, lookup Lookup) ([]peer.Message, []Resolved) {
	if r := body.GetLimitRequest(); r != nil {
		return []peer.Message{l.handleLimitRequest(now, from, r, lookup)}, nil
	}
	if r := body.GetLimitReply(); r != nil {
		return l.handleLimitReply(now, from, r)
	}
	return nil, nil
}

// Tick gives up on replies that did not come, repeats unconfirmed releases
// and drops idle state.
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
		// The holder may have counted the unit although its reply was lost.
		messages = append(messages, l.sendRelease(now, p.key, unit{p.holder, id}))
	}
	for _, id := range sortedIDs(l.releases) {
		r := l.releases[id]
		if now.Sub(r.sentAt) >= releaseRetryInterval {
			messages = append(messages, l.sendRelease(now, r.key, unit{r.holder, id}))
		}
	}
	l.dropIdle(now)
	return messages, resolved
}

// requestUnit sends a LimitRequest to one of the instances that hold a share.
func (l *Limits) requestUnit(now time.Time, k limitKey, perSecond, concurrent int) Decision {
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
		if id := holders[(start+i)%len(holders)]; id != l.cfg.Self && len(others) < maxHoldersAsked {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return refused
	}
	l.nextID++
	p := &pendingDecision{key: k, holder: others[0], remaining: others[1:], deadline: now.Add(l.cfg.ReplyTimeout), perSecond: perSecond, concurrent: concurrent}
	l.pending[l.nextID] = p
	return Decision{Verdict: Pending, ID: l.nextID, Message: limitRequest(l.nextID, p.holder, k, false)}
}

// handleLimitRequest decides about a unit for another instance.
func (l *Limits) handleLimitRequest(now time.Time, from model.InstanceID, r *pb.LimitRequest, lookup Lookup) peer.Message {
	k := limitKey{r.GetCaller(), model.ServiceID(r.GetService()), requests}
	if r.GetOpening() {
		k.kind = openings
	}
	// The reply to a release has neither Allowed nor a reason.
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

func (l *Limits) lendUnit(now time.Time, from model.InstanceID, id uint64, k limitKey, lookup Lookup) pb.Reason {
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
	if l.lent[from] == nil {
		l.lent[from] = map[uint64]limitKey{}
	}
	l.lent[from][id] = k
	return 0
}

// handleLimitReply handles the answer to a LimitRequest or to a release.
func (l *Limits) handleLimitReply(now time.Time, from model.InstanceID, r *pb.LimitReply) ([]peer.Message, []Resolved) {
	if rel := l.releases[r.GetId()]; rel != nil && rel.holder == from {
		if !r.GetAllowed() {
			delete(l.releases, r.GetId())
		}
		return nil, nil
	}
	p := l.pending[r.GetId()]
	if p == nil && r.GetAllowed() && !l.isBorrowed(from, r.GetId()) {
		// The release overtook the request that it was for.
		return []peer.Message{l.sendRelease(now, limitKey{}, unit{from, r.GetId()})}, nil
	}
	if p == nil || p.holder != from {
		return nil, nil
	}
	if r.GetAllowed() {
		delete(l.pending, r.GetId())
		e := l.state(now, p.key, p.perSecond, p.concurrent)
		e.borrowed = append(e.borrowed, unit{from, r.GetId()})
		return nil, []Resolved{{ID: r.GetId(), Allowed: true}}
	}
	if len(p.remaining) > 0 {
		p.holder, p.remaining = p.remaining[0], p.remaining[1:]
		p.deadline = now.Add(l.cfg.ReplyTimeout)
		return []peer.Message{limitRequest(r.GetId(), p.holder, p.key, false)}, nil
	}
	delete(l.pending, r.GetId())
	return nil, []Resolved{{ID: r.GetId(), Reason: r.GetReason()}}
}

// isBorrowed reports whether the unit is in use here; it is called only for
// replies that repeat or come late.
func (l *Limits) isBorrowed(holder model.InstanceID, id uint64) bool {
	for _, e := range l.states {
		for _, u := range e.borrowed {
			if u == (unit{holder, id}) {
				return true
			}
		}
	}
	return false
}

// sendRelease gives a unit back to its holder; the holder finds it by its ID.
func (l *Limits) sendRelease(now time.Time, k limitKey, u unit) peer.Message {
	l.releases[u.id] = &pendingRelease{k, u.holder, now}
	return limitRequest(u.id, u.holder, k, true)
}

func limitRequest(id uint64, to model.InstanceID, k limitKey, release bool) peer.Message {
	r := &pb.LimitRequest{Id: id, Caller: k.caller, Service: uint64(k.service), Opening: k.kind == openings, Release: release}
	return peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_LimitRequest{LimitRequest: r}}}
}

// returnLentUnit ends a unit that was lent to another instance.
func (l *Limits) returnLentUnit(now time.Time, k limitKey) {
	if e := l.states[k]; e != nil && e.inUse > 0 {
		e.inUse--
		e.lastUse = now
	}
}

// dropDepartedInstances takes back what was lent to instances that are gone, and forgets
// what was borrowed from them.
func (l *Limits) dropDepartedInstances(ids []model.InstanceID) {
	for holder, units := range l.lent {
		if slices.Contains(ids, holder) {
			continue
		}
		for _, k := range units {
			if e := l.states[k]; e != nil && e.inUse > 0 {
				e.inUse--
			}
		}
		delete(l.lent, holder)
	}
	for id, r := range l.releases {
		if !slices.Contains(ids, r.holder) {
			delete(l.releases, id)
		}
	}
}

// dropIdle looks at a bounded number of entries, in the random order of the
// map, so that a tick stays short with many callers.
func (l *Limits) dropIdle(now time.Time) {
	const perTick = 1000
	seen := 0
	for k, e := range l.states {
		if seen++; seen > perTick {
			return
		}
		if e.inUse == 0 && len(e.borrowed) == 0 && now.Sub(e.lastUse) >= l.cfg.IdleTimeout {
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
