package membership

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Publish returns the update with the next state, or nil when this instance is
// not the publisher or the view has not changed. The update must then be applied
// (see SetAppliedState) and sent to StateRecipients. A new publisher publishes
// once even if the view has not changed, so that all instances follow it.
func (m *Membership) Publish(now time.Time) *pb.StateUpdate {
	if !m.Publishing(now) {
		return nil
	}
	view := m.View(now)
	if m.state.Version.Publisher == m.cfg.Self && slices.Equal(m.state.Members, view) {
		return nil
	}
	return dcstate.New(dcstate.Version{Generation: m.nextGeneration(now), Publisher: m.cfg.Self}, view).AsUpdate()
}

// nextGeneration returns the generation after that of the newest known state.
// Without any known state it starts from the time in milliseconds: a restarted
// publisher that began at 1 would reuse version numbers that instances hold
// with other content, and an instance that resumes after a pause would take its
// old state for newer. Generations grow by a few per second and so stay below
// the time in milliseconds.
func (m *Membership) nextGeneration(now time.Time) uint64 {
	newest := max(m.state.Version.Generation, m.NewestVersion(now).Generation)
	if newest == 0 {
		newest = uint64(max(0, now.UnixMilli()))
	}
	return newest + 1
}

// InForceVersion returns the newest configuration version that all members of
// the view hold. It is meaningful on the publisher only, which sends it to all
// members.
func (m *Membership) InForceVersion(now time.Time) uint64 {
	version := m.localStatus.ConfigVersion
	for _, status := range m.MemberStatuses(now) {
		version = min(version, status.ConfigVersion)
	}
	return version
}
