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
	yieldOfferFactor  = 3
	yieldResumeFactor = 5
	// stalledFactor times DeadAfter is the time without acknowledgement after
	// which the publisher of the applied state, though alive, is taken to have
	// stopped publishing.
	stalledFactor = 5
	// blindFactor times DeadAfter is the time for which a new instance waits
	// for the instance list before it concludes that it is alone.
	noListFactor = 10
)

func compareInstances(a, b model.InstanceID) int { return cmp.Compare(a, b) }

// Publishing reports whether this instance is to publish the state now.
func (m *Membership) Publishing(now time.Time) bool {
	return m.publishing && now.Sub(m.latestTime) <= m.cfg.Lease
}

// ranking returns the known instances, highest rank first.
func (m *Membership) ranking() []model.InstanceID {
	if m.ranked != nil {
		return m.ranked
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
	m.ranked = rendezvous.Ranked(rendezvous.NewKey("publisher", 0), ids, len(ids))
	m.rankOf = make(map[model.InstanceID]int, len(ids))
	for i, id := range m.ranked {
		m.rankOf[id] = i
	}
	return m.ranked
}

func (m *Membership) ranksAbove(id model.InstanceID) bool {
	m.ranking()
	return m.rankOf[id] < m.rankOf[m.cfg.Self]
}

// candidate reports whether an instance in this state may publish while
// another candidate lives.
func (m *Membership) isCandidate(id model.InstanceID, state pb.InstanceState) bool {
	return state == pb.InstanceState_INSTANCE_STATE_READY && !m.markedOut[id]
}

// rival returns the highest-ranked live instance that would publish in place
// of this one, or "". An instance that leaves or is marked out publishes only
// when no candidate lives; among several of those the rank decides. To a
// member of the view, an instance outside it or without a state is no rival: it
// cannot publish before a member has added it and given it the state.
func (m *Membership) preferredPeer(now time.Time) model.InstanceID {
	selfIsCandidate, inView := m.isCandidate(m.cfg.Self, m.ownState()), m.inView()
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
		if p == nil || !m.heardRecently(now, p) || p.state == pb.InstanceState_INSTANCE_STATE_JOINING {
			continue
		}
		if member, ok := m.members[id]; inView && (!ok || member.Incarnation != p.incarnation || p.reportsNoState()) {
			continue
		}
		if m.isCandidate(id, p.state) {
			return id
		}
		if above && fallback == "" {
			fallback = id
		}
	}
	return fallback
}

func (m *Membership) isPreferredPublisher(now time.Time) bool {
	return m.ownState() != pb.InstanceState_INSTANCE_STATE_JOINING && m.preferredPeer(now) == ""
}

// updateRole decides whether this instance publishes and extends its lease
// when it does.
func (m *Membership) updateRole(now time.Time) {
	m.updateReceivesAllSince(now)
	wasPublisher := m.publishing && m.state.Version.Publisher == m.cfg.Self
	switch {
	case m.yieldedTo != "":
		m.maybeCancelYield(now)
		m.publishing = false
	case wasPublisher && !m.awaitsNewerState(now):
		m.maybeYield(now)
		m.publishing = m.yieldedTo == "" && m.ownState() != pb.InstanceState_INSTANCE_STATE_JOINING
	case m.mayTakeOver(now):
		if !m.publishing {
			m.startPublishing(now)
		}
	default:
		m.publishing = false
	}
	if m.publishing {
		m.leaseStart, m.lastAck = now, now
	} else if !m.isPreferredPublisher(now) {
		m.awaitingStateSince = time.Time{}
	}
}

// startPublishing takes over. After an early takeover, while leases of the
// former publisher may run, the silence of members counts from now.
func (m *Membership) startPublishing(now time.Time) {
	m.publishing = true
	// A state that this instance was to catch up with is gone with all that
	// had it, or mayAppoint would wait for it.
	m.requiredVersion = dcstate.Version{}
	if m.receivesAllSince.IsZero() {
		m.receivesAllSince = now
	}
	m.graceStart, m.earlyTakeover = m.receivesAllSince, false
	if former := m.state.Version.Publisher; former != m.cfg.Self {
		if p := m.peers[former]; p != nil && m.heardRecently(now, p) {
			m.graceStart, m.earlyTakeover = now, true
		}
	}
}

// withoutList is the time after which an instance that has never read the
// instance list takes itself to be alone.
const instanceListTimeout = 10 * time.Second

// knowsPeers reports whether the instance has had time to hear the others. One
// that started while the platform was out of reach knows no addresses: it may
// get a configuration before the instance list, and would then publish a map
// of its own beside the one in force.
func (m *Membership) peerDiscoveryDone(now time.Time) bool {
	if m.haveInstanceList {
		return now.Sub(m.instanceListSince) >= m.cfg.DeadAfter
	}
	return now.Sub(m.cfg.Started) >= instanceListTimeout
}

// mayAppoint reports whether this instance may become publisher, or go on as
// one before its first publication.
func (m *Membership) mayTakeOver(now time.Time) bool {
	return m.isPreferredPublisher(now) &&
		now.Sub(m.listeningSince) >= m.cfg.DeadAfter &&
		m.peerDiscoveryDone(now) &&
		m.formerPublisherGone(now) &&
		(m.publishing || now.Sub(m.noPublisherSince()) >= m.takeoverDelay(now)) &&
		m.viewAllowsPublishing(now) &&
		!m.awaitsNewerState(now)
}

// formerGone reports whether the publisher of the applied state has yielded,
// is silent, has stopped publishing, or runs in another incarnation.
func (m *Membership) formerPublisherGone(now time.Time) bool {
	formerPublisher := m.state.Version.Publisher
	p := m.peers[formerPublisher]
	if formerPublisher == "" || formerPublisher == m.cfg.Self || p == nil || !m.heardRecently(now, p) {
		return true
	}
	if member, ok := m.members[formerPublisher]; ok && member.Incarnation != p.incarnation {
		return true
	}
	if now.Sub(m.noPublisherSince()) >= stalledFactor*m.cfg.DeadAfter {
		return true
	}
	return m.offer.from == formerPublisher && now.Sub(m.offer.at) <= m.cfg.DeadAfter && !m.state.Version.Less(m.offer.version)
}

// viewPermits reports whether the applied view names this instance. An
// instance outside the view publishes only when no other member lives:
// otherwise the publisher adds it first.
func (m *Membership) viewAllowsPublishing(now time.Time) bool {
	if m.inView() {
		return true
	}
	for id, member := range m.members {
		p := m.peers[id]
		if p != nil && p.incarnation == member.Incarnation && m.heardRecently(now, p) {
			return false
		}
	}
	return true
}

// behind reports whether a live instance has a newer state. An instance that
// heads the ranking gives up waiting for that state after a while, unless it
// has no state at all: a start from nothing would contradict the others.
func (m *Membership) awaitsNewerState(now time.Time) bool {
	if !m.state.Version.Less(m.newestLiveVersion(now)) {
		m.awaitingStateSince = time.Time{}
		return false
	}
	if m.awaitingStateSince.IsZero() {
		m.awaitingStateSince = now
	}
	return m.state.Version.Generation == 0 || now.Sub(m.awaitingStateSince) < catchUpFactor*m.cfg.DeadAfter
}

// silenceSince returns the time since which no publisher was heard.
func (m *Membership) noPublisherSince() time.Time {
	if m.lastAck.After(m.listeningSince) {
		return m.lastAck
	}
	return m.listeningSince
}

// appointDelay is the silence after which this instance may appoint itself.
// The publisher and its successors hear all instances and need no extra delay;
// others wait until the widened heartbeats of all instances include them.
func (m *Membership) takeoverDelay(now time.Time) time.Duration {
	switch {
	case now.Sub(m.offer.at) <= m.cfg.DeadAfter || m.receivesAllHeartbeats():
		return 0
	case !m.haveInstanceList && len(m.members) == 0:
		return noListFactor * m.cfg.DeadAfter
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
		if len(m.members) == 0 || (ok && m.isCandidate(id, member.State)) {
			rank++
		}
	}
	return rank
}

func (m *Membership) receivesAllHeartbeats() bool {
	return m.inView() && (len(m.members) <= m.cfg.FullMeshLimit || m.rankAmongMembers() <= m.cfg.Successors)
}

func (m *Membership) updateReceivesAllSince(now time.Time) {
	switch {
	case m.publishing:
	case !m.receivesAllHeartbeats():
		m.receivesAllSince = time.Time{}
	case m.receivesAllSince.IsZero():
		m.receivesAllSince = now
	}
}

// considerYield yields to a rival that can take over at once: it is in the
// published view, follows this publisher, and has listened long enough.
func (m *Membership) maybeYield(now time.Time) {
	id := m.preferredPeer(now)
	if id == "" {
		return
	}
	p := m.peers[id]
	member, ok := m.members[id]
	requiredListening := m.cfg.DeadAfter + m.cfg.HeartbeatInterval
	if !ok || member.Incarnation != p.incarnation || p.heardSince.IsZero() || now.Sub(p.heardSince) < requiredListening {
		return
	}
	if p.appliedVersion.Publisher == m.cfg.Self {
		m.yieldedTo, m.yieldedAt = id, now
	}
}

// endYield lets this instance resume when the other is gone or did not take
// over.
func (m *Membership) maybeCancelYield(now time.Time) {
	p := m.peers[m.yieldedTo]
	if p == nil || !m.heardRecently(now, p) || !m.isCandidate(m.yieldedTo, p.state) ||
		now.Sub(m.yieldedAt) > yieldResumeFactor*m.cfg.DeadAfter {
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
		return now.Sub(m.yieldedAt) <= yieldOfferFactor*m.cfg.DeadAfter
	}
	return now.Sub(m.yieldedAt) <= m.cfg.DeadAfter-m.cfg.Lease
}

// offersRole reports whether this instance, the publisher of its state before
// it froze, leaves the role to the sender. Such an offer extends no lease: the
// state may be old.
func (m *Membership) offersTakeover(now time.Time, to model.InstanceID) bool {
	return !m.publishing && m.yieldedTo == "" && m.state.Version.Publisher == m.cfg.Self && m.preferredPeer(now) == to
}

// Following returns the newest state applied, for status reports.
func (m *Membership) AppliedVersion() dcstate.Version { return m.state.Version }
