package membership

import (
	"slices"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// targets returns the instances to which heartbeats are sent: all instances of
// a small data centre, otherwise the publisher and a window of the highest
// ranks. The window doubles with each DeadAfter without acknowledgement, so that
// an instance of lower rank receives the heartbeats of all others if the
// publisher and its successors fail together.
func (m *Membership) targets(now time.Time) []model.InstanceID {
	noPublisherFor := now.Sub(m.noPublisherSince())
	useInstanceList := !m.inView() || noPublisherFor > m.cfg.DeadAfter
	var all, ranked []model.InstanceID
	publisher := m.state.Version.Publisher
	for _, id := range m.ranking() {
		p := m.peers[id]
		if id == m.cfg.Self || (!m.isMember(id) && (p == nil || !m.isAlive(now, p)) && !(useInstanceList && m.listed[id])) {
			continue
		}
		all = append(all, id)
		if id == publisher || p == nil || m.mayPublish(id, p) {
			ranked = append(ranked, id)
		}
	}
	out := all
	if len(all)+1 > m.cfg.FullMeshLimit {
		window := m.cfg.Successors + 1
		for threshold := m.cfg.DeadAfter; threshold < noPublisherFor && window < len(ranked); threshold += m.cfg.DeadAfter {
			window *= 2
		}
		out = ranked[:min(window, len(ranked))]
		if m.isMember(publisher) && publisher != m.cfg.Self && !slices.Contains(out, publisher) {
			out = append(slices.Clone(out), publisher)
		}
	}
	return append(slices.Clone(out), m.probeTargets(now)...)
}

// mayPublish reports whether the instance is or may become a candidate for the
// publisher role: it is not leaving and not marked out.
func (m *Membership) mayPublish(id model.InstanceID, p *peerInfo) bool {
	return p.state != pb.InstanceState_INSTANCE_STATE_LEAVING && !m.markedOut[id]
}

// probeTargets returns a few listed instances from which the publisher receives
// nothing, in round-robin order. Without these probes the two sides of a healed
// partition would never contact each other.
func (m *Membership) probeTargets(now time.Time) []model.InstanceID {
	if !m.publishing {
		return nil
	}
	var silent []model.InstanceID
	for _, id := range m.ranking() {
		p := m.peers[id]
		if m.listed[id] && !m.isMember(id) && (p == nil || !m.isAlive(now, p)) {
			silent = append(silent, id)
		}
	}
	var out []model.InstanceID
	for i := 0; i < min(m.cfg.Successors+1, len(silent)); i++ {
		out = append(out, silent[m.nextProbe%len(silent)])
		m.nextProbe++
	}
	return out
}

// reportReceivers returns the instances that receive the server reports: the
// publisher and the highest-ranked other target. successor is "" if there is no
// such target.
func (m *Membership) reportReceivers(now time.Time, targets []model.InstanceID) (publisher, successor model.InstanceID) {
	publisher = m.state.Version.Publisher
	if m.Publishing(now) {
		publisher = m.cfg.Self
	}
	for _, id := range targets {
		if id != publisher {
			return publisher, id
		}
	}
	return publisher, ""
}
