package membership

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Publish returns the update with which the publisher replaces the applied
// state, or nil when this instance is not the publisher or nothing changed. The
// caller applies the update and sends it to Recipients. A state of another
// publisher is published anew, so that all instances follow this one.
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

// nextGeneration counts on from the newest state known. A start from nothing
// takes the time in milliseconds: a restarted publisher that began at 1 would
// use version numbers again that instances hold with other content, and a
// frozen instance that wakes would put its old state above the new one.
// Generations grow by a few per second, so that they stay below the time.
func (m *Membership) nextGeneration(now time.Time) uint64 {
	newest := max(m.state.Version.Generation, m.NewestVersion(now).Generation)
	if newest == 0 {
		newest = uint64(max(0, now.UnixMilli()))
	}
	return newest + 1
}

// InForce returns the newest configuration version that all members of the
// view hold, as the publisher knows it.
func (m *Membership) InForce(now time.Time) uint64 {
	version := m.localStatus.ConfigVersion
	for _, c := range m.MemberStatuses(now) {
		version = min(version, c.ConfigVersion)
	}
	return version
}
