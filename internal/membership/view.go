package membership

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// View returns the members to publish, sorted by instance. It is meaningful on
// the publisher only. It omits instances that are joining. Instances that
// operators marked out are shown as leaving, so that they own nothing.
func (m *Membership) View(now time.Time) []dcstate.Member {
	view := []dcstate.Member{{Instance: m.cfg.Self, Incarnation: m.cfg.Incarnation, State: m.publishedState(m.cfg.Self, m.ownState())}}
	for id, p := range m.peers {
		if p.state != pb.InstanceState_INSTANCE_STATE_READY && p.state != pb.InstanceState_INSTANCE_STATE_LEAVING {
			continue
		}
		if m.belongsInView(now, id, p) {
			view = append(view, dcstate.Member{Instance: id, Incarnation: p.incarnation, State: m.publishedState(id, p.state)})
		}
	}
	slices.SortFunc(view, func(a, b dcstate.Member) int { return compareInstances(a.Instance, b.Instance) })
	return view
}

// publishedState returns the state to publish for an instance that reports
// state.
func (m *Membership) publishedState(id model.InstanceID, state pb.InstanceState) pb.InstanceState {
	if m.markedOut[id] {
		return pb.InstanceState_INSTANCE_STATE_LEAVING
	}
	return state
}

// belongsInView reports whether the instance belongs in the view. The silence
// of a member of the applied view counts from graceStart at the earliest,
// because it may not have sent heartbeats to a new publisher before. This does
// not hold for an instance that ranks above this one: it is known to be silent,
// otherwise this instance would not publish.
func (m *Membership) belongsInView(now time.Time, id model.InstanceID, p *peerInfo) bool {
	silenceStart := p.lastHeard
	member, ok := m.members[id]
	if ok && member.Incarnation == p.incarnation && silenceStart.Before(m.graceStart) && (m.earlyTakeover || !m.ranksAbove(id)) {
		silenceStart = m.graceStart
	}
	if !ok && p.heardSince.IsZero() {
		return false
	}
	return now.Sub(silenceStart) <= m.cfg.DeadAfter
}

// MemberStatuses returns the last reported status of each member of View, in the
// same order.
func (m *Membership) MemberStatuses(now time.Time) []MemberStatus {
	view := m.View(now)
	out := make([]MemberStatus, 0, len(view))
	for _, member := range view {
		status := MemberStatus{Instance: member.Instance, Incarnation: member.Incarnation}
		if member.Instance == m.cfg.Self {
			status.AppliedVersion, status.ConfigVersion = m.state.Version, m.localStatus.ConfigVersion
			status.Uptime = now.Sub(m.cfg.Started)
		} else {
			p := m.peers[member.Instance]
			status.AppliedVersion, status.ConfigVersion, status.Uptime = p.appliedVersion, p.configVersion, now.Sub(p.started)
		}
		out = append(out, status)
	}
	return out
}

// KnownInstances returns, sorted, this instance, the instances in the view or
// on the instance list, and those heard from within DeadAfter.
func (m *Membership) KnownInstances(now time.Time) []model.InstanceID {
	out := []model.InstanceID{m.cfg.Self}
	for id := range m.listed {
		out = append(out, id)
	}
	for id, p := range m.peers {
		if !m.listed[id] && (m.isMember(id) || m.isAlive(now, p)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// StateRecipients returns, sorted, the other instances to which the publisher
// sends state updates: those in the view and those heard from within DeadAfter,
// which include the joining ones.
func (m *Membership) StateRecipients(now time.Time) []model.InstanceID {
	var out []model.InstanceID
	for id, p := range m.peers {
		if m.isMember(id) || m.isAlive(now, p) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// NewestVersion returns the newest version that this instance has applied or
// that any instance has ever reported, even if that instance is gone since. A
// state that this instance publishes has a higher generation. The time is not
// used.
func (m *Membership) NewestVersion(time.Time) dcstate.Version {
	if m.state.Version.Less(m.newestReported) {
		return m.newestReported
	}
	return m.state.Version
}

// newestLiveVersion returns the newest version that a live instance has
// reported. If none is newer than the applied one, the result is some version
// that is not newer either. The instances are scanned only if a newer version
// was ever reported.
func (m *Membership) newestLiveVersion(now time.Time) dcstate.Version {
	if !m.state.Version.Less(m.newestReported) {
		return m.newestReported
	}
	var newest dcstate.Version
	for _, p := range m.peers {
		if newest.Less(p.appliedVersion) && m.isAlive(now, p) {
			newest = p.appliedVersion
		}
	}
	return newest
}

func (m *Membership) isMember(id model.InstanceID) bool {
	_, ok := m.members[id]
	return ok
}

// isAlive reports whether the instance was heard from within DeadAfter.
func (m *Membership) isAlive(now time.Time, p *peerInfo) bool {
	return now.Sub(p.lastHeard) <= m.cfg.DeadAfter
}
