package membership

import (
	"cmp"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

// The publisher changes in two ways. A successor that has heard all instances
// appoints itself once the publisher has been silent for DeadAfter. A live
// publisher yields to a member that ranks above it: it stops publishing, says
// so in its acknowledgements, and the other takes over from that very state.
// Leases granted by the former publisher end before the new one may declare
// an instance out that it has not heard from.

const (
	// catchUpFactor times DeadAfter is the time after which a publisher goes
	// on without a state that a live instance reports but does not hand over.
	catchUpFactor = 2
	// offerFactor times DeadAfter is the time for which a yield is offered,
	// resumeFactor times DeadAfter the time after which the former publisher
	// resumes when the other did not take over. The difference lets the last
	// offer expire.
	offerFactor  = 3
	resumeFactor = 5
	// stalledFactor times DeadAfter is the time without acknowledgement after
	// which the publisher of the applied state, though alive, is taken to have
	// stopped publishing.
	stalledFactor = 5
	// blindFactor times DeadAfter is the time for which a new instance waits
	// for the instance list before it concludes that it is alone.
	blindFactor = 10
)

func compare(a, b model.InstanceID) int { return cmp.Compare(a, b) }

// Publishing reports whether this instance is to publish the state now.
func (m *Membership) Publishing(now time.Time) bool {
	return m.publishing && now.Sub(m.last) <= m.cfg.Lease
}

// ranking returns the known instances, highest rank first.
func (m *Membership) ranking() []model.InstanceID {
	if m.order != nil {
		return m.order
	}
	ids := []model.InstanceID{m.cfg.Self}
	for id := range m.peers {
		ids = append(ids, id)
	}
	for id := range m.listed {
		if m.peers[id] == nil {
			ids = append(ids, id)
		}
	}
	m.order = rendezvous.Ranked(rendezvous.NewKey("publisher", 0), ids, len(ids))
	m.rank = make(map[model.InstanceID]int, len(ids))
	for i, id := range m.order {
		m.rank[id] = i
	}
	return m.order
}

func (m *Membership) ranksAbove(id model.InstanceID) bool {
	m.ranking()
	return m.rank[id] < m.rank[m.cfg.Self]
}

// candidate reports whether an instance in this state may publish while
// another candidate lives.
func (m *Membership) candidate(id model.InstanceID, state pb.InstanceState) bool {
	return state == pb.InstanceState_INSTANCE_STATE_READY && !m.out[id]
}

// rival returns the highest-ranked live instance that would publish in place
// of this one, or "". An instance that leaves or is marked out publishes only
// when no candidate lives; among several of those the rank decides. To a
// member of the view, an instance outside it or without a state is no rival: it
// cannot publish before a member has added it and given it the state.
func (m *Membership) rival(now time.Time) model.InstanceID {
	selfIsCandidate, inView := m.candidate(m.cfg.Self, m.ownState()), m.inView()
	above, fallback := true, model.InstanceID("")
	for _, id := range m.ranking() {
		if id == m.cfg.Self {
			if selfIsCandidate {
				return ""
			}
			above = false
			continue
		}
		p := m.peers[id]
		if p == nil || !m.heard(now, p) || p.state == pb.InstanceState_INSTANCE_STATE_JOINING {
			continue
		}
		if member, ok := m.members[id]; inView && (!ok || member.Incarnation != p.incarnation || p.stateless()) {
			continue
		}
		if m.candidate(id, p.state) {
			return id
		}
		if above && fallback == "" {
			fallback = id
		}
	}
	return fallback
}

func (m *Membership) headsRanking(now time.Time) bool {
	return m.ownState() != pb.InstanceState_INSTANCE_STATE_JOINING && m.rival(now) == ""
}

// updateRole decides whether this instance publishes and extends its lease
// when it does.
func (m *Membership) updateRole(now time.Time) {
	m.updateHearing(now)
	incumbent := m.publishing && m.state.Version.Publisher == m.cfg.Self
	switch {
	case m.yieldedTo != "":
		m.endYield(now)
		m.publishing = false
	case incumbent && !m.behind(now):
		m.considerYield(now)
		m.publishing = m.yieldedTo == "" && m.ownState() != pb.InstanceState_INSTANCE_STATE_JOINING
	case m.mayAppoint(now):
		if !m.publishing {
			m.startPublishing(now)
		}
	default:
		m.publishing = false
	}
	if m.publishing {
		m.leaseFrom, m.lastAck = now, now
	} else if !m.headsRanking(now) {
		m.waitingSince = time.Time{}
	}
}

// startPublishing takes over. After an early takeover, while leases of the
// former publisher may run, the silence of members counts from now.
func (m *Membership) startPublishing(now time.Time) {
	m.publishing = true
	// A state that this instance was to catch up with is gone with all that
	// had it, or mayAppoint would wait for it.
	m.required = dcstate.Version{}
	if m.hearingSince.IsZero() {
		m.hearingSince = now
	}
	m.graceFrom, m.earlyTakeover = m.hearingSince, false
	if former := m.state.Version.Publisher; former != m.cfg.Self {
		if p := m.peers[former]; p != nil && m.heard(now, p) {
			m.graceFrom, m.earlyTakeover = now, true
		}
	}
}

// withoutList is the time after which an instance that has never read the
// instance list takes itself to be alone.
const withoutList = 10 * time.Second

// knowsPeers reports whether the instance has had time to hear the others. One
// that started while the platform was out of reach knows no addresses: it may
// get a configuration before the instance list, and would then publish a map
// of its own beside the one in force.
func (m *Membership) knowsPeers(now time.Time) bool {
	if m.haveList {
		return now.Sub(m.firstList) >= m.cfg.DeadAfter
	}
	return now.Sub(m.cfg.Started) >= withoutList
}

// mayAppoint reports whether this instance may become publisher, or go on as
// one before its first publication.
func (m *Membership) mayAppoint(now time.Time) bool {
	return m.headsRanking(now) &&
		now.Sub(m.listenSince) >= m.cfg.DeadAfter &&
		m.knowsPeers(now) &&
		m.formerGone(now) &&
		(m.publishing || now.Sub(m.silenceSince()) >= m.appointDelay(now)) &&
		m.viewPermits(now) &&
		!m.behind(now)
}

// formerGone reports whether the publisher of the applied state has yielded,
// is silent, has stopped publishing, or runs in another incarnation.
func (m *Membership) formerGone(now time.Time) bool {
	former := m.state.Version.Publisher
	p := m.peers[former]
	if former == "" || former == m.cfg.Self || p == nil || !m.heard(now, p) {
		return true
	}
	if member, ok := m.members[former]; ok && member.Incarnation != p.incarnation {
		return true
	}
	if now.Sub(m.silenceSince()) >= stalledFactor*m.cfg.DeadAfter {
		return true
	}
	return m.offer.from == former && now.Sub(m.offer.at) <= m.cfg.DeadAfter && !m.state.Version.Less(m.offer.version)
}

// viewPermits reports whether the applied view names this instance. An
// instance outside the view publishes only when no other member lives:
// otherwise the publisher adds it first.
func (m *Membership) viewPermits(now time.Time) bool {
	if m.inView() {
		return true
	}
	for id, member := range m.members {
		p := m.peers[id]
		if p != nil && p.incarnation == member.Incarnation && m.heard(now, p) {
			return false
		}
	}
	return true
}

// behind reports whether a live instance has a newer state. An instance that
// heads the ranking gives up waiting for that state after a while, unless it
// has no state at all: a start from nothing would contradict the others.
func (m *Membership) behind(now time.Time) bool {
	if !m.state.Version.Less(m.newestHeard(now)) {
		m.waitingSince = time.Time{}
		return false
	}
	if m.waitingSince.IsZero() {
		m.waitingSince = now
	}
	return m.state.Version.Generation == 0 || now.Sub(m.waitingSince) < catchUpFactor*m.cfg.DeadAfter
}

// silenceSince returns the time since which no publisher was heard.
func (m *Membership) silenceSince() time.Time {
	if m.lastAck.After(m.listenSince) {
		return m.lastAck
	}
	return m.listenSince
}

// appointDelay is the silence after which this instance may appoint itself.
// The publisher and its successors hear all instances and need no extra delay;
// others wait until the widened heartbeats of all instances include them.
func (m *Membership) appointDelay(now time.Time) time.Duration {
	switch {
	case now.Sub(m.offer.at) <= m.cfg.DeadAfter || m.hearsAll():
		return 0
	case !m.haveList && len(m.members) == 0:
		return blindFactor * m.cfg.DeadAfter
	}
	rank := m.rankAmongMembers()
	delay := m.cfg.DeadAfter
	for window := m.cfg.Successors + 1; window <= rank; window *= 2 {
		delay += m.cfg.DeadAfter
	}
	return delay
}

// rankAmongMembers counts the candidates of the view, or of all known
// instances while there is no view, that rank above this instance.
func (m *Membership) rankAmongMembers() int {
	rank := 0
	for _, id := range m.ranking() {
		if id == m.cfg.Self {
			break
		}
		member, ok := m.members[id]
		if len(m.members) == 0 || (ok && m.candidate(id, member.State)) {
			rank++
		}
	}
	return rank
}

func (m *Membership) hearsAll() bool {
	return m.inView() && (len(m.members) <= m.cfg.FullMeshLimit || m.rankAmongMembers() <= m.cfg.Successors)
}

func (m *Membership) updateHearing(now time.Time) {
	switch {
	case m.publishing:
	case !m.hearsAll():
		m.hearingSince = time.Time{}
	case m.hearingSince.IsZero():
		m.hearingSince = now
	}
}

// considerYield yields to a rival that can take over at once: it is in the
// published view, follows this publisher, and has listened long enough.
func (m *Membership) considerYield(now time.Time) {
	id := m.rival(now)
	if id == "" {
		return
	}
	p := m.peers[id]
	member, ok := m.members[id]
	listened := m.cfg.DeadAfter + m.cfg.HeartbeatInterval
	if !ok || member.Incarnation != p.incarnation || p.heardSince.IsZero() || now.Sub(p.heardSince) < listened {
		return
	}
	if p.applied.Publisher == m.cfg.Self {
		m.yieldedTo, m.yieldedAt = id, now
	}
}

// endYield lets this instance resume when the other is gone or did not take
// over.
func (m *Membership) endYield(now time.Time) {
	p := m.peers[m.yieldedTo]
	if p == nil || !m.heard(now, p) || !m.candidate(m.yieldedTo, p.state) ||
		now.Sub(m.yieldedAt) > resumeFactor*m.cfg.DeadAfter {
		m.yieldedTo = ""
	}
}

// acknowledges reports whether a heartbeat of the instance is acknowledged.
// After a yield, leases are extended only so long that they end before the
// new publisher, which cannot take over earlier than the yield, may declare
// an instance out.
func (m *Membership) acknowledges(now time.Time, to model.InstanceID) bool {
	switch {
	case m.Publishing(now):
		return true
	case m.yieldedTo == "":
		return false
	case m.yieldedTo == to:
		return now.Sub(m.yieldedAt) <= offerFactor*m.cfg.DeadAfter
	}
	return now.Sub(m.yieldedAt) <= m.cfg.DeadAfter-m.cfg.Lease
}

// offersRole reports whether this instance, the publisher of its state before
// it froze, leaves the role to the sender. Such an offer extends no lease: the
// state may be old.
func (m *Membership) offersRole(now time.Time, to model.InstanceID) bool {
	return !m.publishing && m.yieldedTo == "" && m.state.Version.Publisher == m.cfg.Self && m.rival(now) == to
}

// Following returns the newest state applied, for status reports.
func (m *Membership) AppliedVersion() dcstate.Version { return m.state.Version }
