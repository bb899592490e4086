package membership

import (
	"cmp"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

// The publisher role moves in two ways. A successor that receives the
// heartbeats of all instances takes over once the publisher has been silent for
// DeadAfter. A live publisher yields to a member that ranks above it: it stops
// publishing, offers the role in its acknowledgements, and the other instance
// takes over from the state published last. Leases granted by the former
// publisher expire before the new one may remove from the view an instance that
// it has not heard from.

const (
	// catchUpFactor times DeadAfter is the time after which a publisher
	// proceeds without a newer state that a live instance reports but does not
	// send.
	catchUpFactor = 2
	// yieldOfferFactor times DeadAfter is the time for which a yielding
	// publisher offers the role. yieldResumeFactor times DeadAfter is the time
	// after which it resumes if the other instance has not taken over; it is
	// larger so that the last offer has expired by then.
	yieldOfferFactor  = 3
	yieldResumeFactor = 5
	// stalledFactor times DeadAfter is the time without acknowledgement after
	// which the publisher of the applied state is assumed to have stopped
	// publishing, even though it is alive.
	stalledFactor = 5
	// noInstanceListFactor times DeadAfter is the takeover delay of an instance that
	// has neither an instance list nor a view; after it, the instance assumes
	// that it is alone.
	noInstanceListFactor = 10
)

func compareInstances(a, b model.InstanceID) int { return cmp.Compare(a, b) }

// Publishing reports whether this instance is the publisher now.
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
	m.ranked = rendezvous.TopN(rendezvous.NewKey("publisher", 0), ids, len(ids))
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

// isCandidate reports whether an instance in this state is a regular candidate
// for the publisher role. Other instances publish only when no candidate is
// alive.
func (m *Membership) isCandidate(id model.InstanceID, state pb.InstanceState) bool {
	return state == pb.InstanceState_INSTANCE_STATE_READY && !m.markedOut[id]
}

// preferredPeer returns the highest-ranked live instance that should publish
// instead of this one, or "" if there is none. An instance that is leaving or
// marked out publishes only when no candidate is alive; among several of those
// the rank decides. A member of the view disregards instances that are outside
// the view or have no state: they cannot publish before a member has added them
// and sent them the state.
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
		if p == nil || !m.isAlive(now, p) || p.state == pb.InstanceState_INSTANCE_STATE_JOINING {
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

// isPreferredPublisher reports whether this instance is not joining and no
// live instance should publish instead of it.
func (m *Membership) isPreferredPublisher(now time.Time) bool {
	return m.ownState() != pb.InstanceState_INSTANCE_STATE_JOINING && m.preferredPeer(now) == ""
}

// updateRole decides whether this instance publishes. If it does, its own lease
// is extended too, since no other instance acknowledges its heartbeats.
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

// startPublishing takes over the publisher role. If the former publisher is
// still alive (an early takeover), leases that it granted may not have expired,
// so the silence of all members counts from now.
func (m *Membership) startPublishing(now time.Time) {
	m.publishing = true
	// No live instance holds a newer state that this one would have to apply
	// first: otherwise mayTakeOver would wait for it.
	m.requiredVersion = dcstate.Version{}
	if m.receivesAllSince.IsZero() {
		m.receivesAllSince = now
	}
	m.graceStart, m.earlyTakeover = m.receivesAllSince, false
	if former := m.state.Version.Publisher; former != m.cfg.Self {
		if p := m.peers[former]; p != nil && m.isAlive(now, p) {
			m.graceStart, m.earlyTakeover = now, true
		}
	}
}

// instanceListTimeout is the time after its start at which an instance that has
// never read the instance list stops waiting for it and assumes that it is
// alone.
const instanceListTimeout = 10 * time.Second

// peerDiscoveryDone reports whether the instance has had time to hear from the
// others. An instance that starts while the platform is unreachable knows no
// addresses. It may receive a configuration before the instance list, and would
// then publish a state that conflicts with the one in use.
func (m *Membership) peerDiscoveryDone(now time.Time) bool {
	if m.haveInstanceList {
		return now.Sub(m.instanceListSince) >= m.cfg.DeadAfter
	}
	return now.Sub(m.cfg.Started) >= instanceListTimeout
}

// mayTakeOver reports whether this instance may become publisher or, before its
// first publication, remain publisher.
func (m *Membership) mayTakeOver(now time.Time) bool {
	return m.isPreferredPublisher(now) &&
		now.Sub(m.listeningSince) >= m.cfg.DeadAfter &&
		m.peerDiscoveryDone(now) &&
		m.formerPublisherGone(now) &&
		(m.publishing || now.Sub(m.noPublisherSince()) >= m.takeoverDelay(now)) &&
		m.viewAllowsPublishing(now) &&
		!m.awaitsNewerState(now)
}

// formerPublisherGone reports whether the publisher of the applied state has
// yielded, is silent, has stopped publishing, or has restarted.
func (m *Membership) formerPublisherGone(now time.Time) bool {
	formerPublisher := m.state.Version.Publisher
	p := m.peers[formerPublisher]
	if formerPublisher == "" || formerPublisher == m.cfg.Self || p == nil || !m.isAlive(now, p) {
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

// viewAllowsPublishing reports whether the applied view contains this instance
// or none of its members is alive. While a member is alive, the publisher has to
// add this instance to the view first.
func (m *Membership) viewAllowsPublishing(now time.Time) bool {
	if m.inView() {
		return true
	}
	for id, member := range m.members {
		p := m.peers[id]
		if p != nil && p.incarnation == member.Incarnation && m.isAlive(now, p) {
			return false
		}
	}
	return true
}

// awaitsNewerState reports whether this instance has to wait for a newer state
// that a live instance has. The preferred publisher stops waiting after
// catchUpFactor times DeadAfter, unless it has no state at all: a state built
// from nothing would contradict that of the others.
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

// noPublisherSince returns the time since which this instance, running without a
// pause, has received no acknowledgement from a publisher.
func (m *Membership) noPublisherSince() time.Time {
	if m.lastAck.After(m.listeningSince) {
		return m.lastAck
	}
	return m.listeningSince
}

// takeoverDelay returns the time without a publisher after which this instance
// may take over. The publisher and its successors receive all heartbeats and
// need no extra delay. For other instances it is the time after which all
// instances have widened the range of ranks to which they send heartbeats so far
// that it includes this instance (see targets).
func (m *Membership) takeoverDelay(now time.Time) time.Duration {
	switch {
	case now.Sub(m.offer.at) <= m.cfg.DeadAfter || m.receivesAllHeartbeats():
		return 0
	case !m.haveInstanceList && len(m.members) == 0:
		return noInstanceListFactor * m.cfg.DeadAfter
	}
	rank := m.rankAmongCandidates()
	delay := m.cfg.DeadAfter
	for window := m.cfg.Successors + 1; window <= rank; window *= 2 {
		delay += m.cfg.DeadAfter
	}
	return delay
}

// rankAmongCandidates returns the number of candidates in the view, or of all
// known instances while there is no view, that rank above this instance.
func (m *Membership) rankAmongCandidates() int {
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

// receivesAllHeartbeats reports whether all members have to send their
// heartbeats to this instance.
func (m *Membership) receivesAllHeartbeats() bool {
	return m.inView() && (len(m.members) <= m.cfg.FullMeshLimit || m.rankAmongCandidates() <= m.cfg.Successors)
}

// updateReceivesAllSince updates receivesAllSince. A publisher keeps its value.
func (m *Membership) updateReceivesAllSince(now time.Time) {
	switch {
	case m.publishing:
	case !m.receivesAllHeartbeats():
		m.receivesAllSince = time.Time{}
	case m.receivesAllSince.IsZero():
		m.receivesAllSince = now
	}
}

// maybeYield yields to the preferred peer if that peer can take over at once: it
// is in the published view, has applied a state of this publisher, and has sent
// heartbeats without a gap for long enough to have heard from all instances.
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

// maybeCancelYield lets this instance resume publishing when the instance to
// which it yielded is gone, is no longer a candidate or did not take over in
// time.
func (m *Membership) maybeCancelYield(now time.Time) {
	p := m.peers[m.yieldedTo]
	if p == nil || !m.isAlive(now, p) || !m.isCandidate(m.yieldedTo, p.state) ||
		now.Sub(m.yieldedAt) > yieldResumeFactor*m.cfg.DeadAfter {
		m.yieldedTo = ""
	}
}

// acknowledges reports whether heartbeats of the instance are acknowledged.
// After a yield, leases are extended only for as long as they expire before the
// new publisher may remove an instance from the view; it cannot take over
// earlier than the yield. The instance yielded to is acknowledged for as long as
// the offer lasts.
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

// offersTakeover reports whether this instance, which published the applied
// state but was paused since, offers the role to the instance. Such an offer
// extends no lease, because the state may be outdated.
func (m *Membership) offersTakeover(now time.Time, to model.InstanceID) bool {
	return !m.publishing && m.yieldedTo == "" && m.state.Version.Publisher == m.cfg.Self && m.preferredPeer(now) == to
}

// AppliedVersion returns the version of the applied state, for status reports.
func (m *Membership) AppliedVersion() dcstate.Version { return m.state.Version }
