package membership

import (
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// peerRetention is the time for which a silent instance outside the view is
// remembered. It is many times DeadAfter, so that a delayed heartbeat of an
// earlier incarnation is still recognised.
const peerRetention = 60 * time.Second

// Heartbeat handles a received heartbeat and returns the messages to send in
// response. The publisher returns an acknowledgement. If this instance publishes
// or may have to, or has had no publisher for longer than DeadAfter, it requests
// the sender's state when that is newer than its own.
func (m *Membership) Heartbeat(now time.Time, from model.InstanceID, incarnation uint64, h *pb.Heartbeat) []peer.Message {
	m.observeTime(now)
	if from == m.cfg.Self {
		return nil
	}
	p := m.senderInfo(now, from, incarnation)
	if p == nil {
		return nil
	}
	m.updatePeer(now, p, h)
	m.updateRole(now)
	var out []peer.Message
	if m.isPreferredPublisher(now) || m.publishing || m.yieldedTo != "" || now.Sub(m.noPublisherSince()) > m.cfg.DeadAfter {
		out = m.requestState(now, from, p.appliedVersion, true)
	}
	ack := &pb.HeartbeatAck{
		Generation:  m.state.Version.Generation,
		Publisher:   string(m.state.Version.Publisher),
		Incarnation: incarnation,
		Yields:      m.yieldedTo == from || m.offersTakeover(now, from),
	}
	switch {
	case m.acknowledges(now, from):
		ack.SentMs = h.GetSentMs()
	case !ack.Yields:
		return out
	}
	return append(out, peer.Message{To: from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_HeartbeatAck{HeartbeatAck: ack}}})
}

// senderInfo returns the entry of the sender of a heartbeat, or nil when the
// heartbeat is from an earlier run. A lower incarnation is accepted as a new
// run, of an instance whose machine's clock was set back, only after the known
// run has been silent for DeadAfter.
func (m *Membership) senderInfo(now time.Time, from model.InstanceID, incarnation uint64) *peerInfo {
	p := m.peers[from]
	if p != nil && p.incarnation == incarnation {
		return p
	}
	if p != nil && incarnation < p.incarnation && m.isAlive(now, p) {
		return nil
	}
	if p == nil {
		m.ranked = nil
	}
	p = &peerInfo{incarnation: incarnation}
	m.peers[from] = p
	return p
}

func (m *Membership) updatePeer(now time.Time, p *peerInfo, h *pb.Heartbeat) {
	if p.heardSince.IsZero() || now.Sub(p.lastHeartbeat) > m.cfg.Lease {
		p.heardSince = now
	}
	p.lastHeartbeat, p.lastHeard = now, now
	if !p.left {
		// Leaving is final: a delayed heartbeat does not revoke it.
		p.state = h.GetState()
		p.left = p.state == pb.InstanceState_INSTANCE_STATE_LEAVING
	}
	p.configVersion = max(p.configVersion, h.GetConfigVersion())
	p.started = now.Add(-time.Duration(h.GetUptimeS()) * time.Second)
	appliedVersion := dcstate.Version{Generation: h.GetAppliedGeneration(), Publisher: model.InstanceID(h.GetAppliedPublisher())}
	if p.appliedVersion.Less(appliedVersion) {
		p.appliedVersion = appliedVersion
	}
	if m.newestReported.Less(p.appliedVersion) {
		m.newestReported = p.appliedVersion
	}
}

// HeartbeatAck handles an acknowledgement. It extends the lease, counted from
// the time at which the acknowledged heartbeat was sent, and may return a
// request for the state that the acknowledgement names. An acknowledgement
// without a send time does not extend the lease; its sender only offers the
// publisher role to this instance.
func (m *Membership) HeartbeatAck(now time.Time, from model.InstanceID, a *pb.HeartbeatAck) []peer.Message {
	m.observeTime(now)
	sent := m.cfg.Started.Add(time.Duration(a.GetSentMs()) * time.Millisecond)
	if a.GetIncarnation() != m.cfg.Incarnation || sent.After(now) {
		return nil
	}
	if p := m.peers[from]; p != nil {
		p.lastHeard = now
	}
	v := dcstate.Version{Generation: a.GetGeneration(), Publisher: model.InstanceID(a.GetPublisher())}
	if v.Less(m.state.Version) && from != m.state.Version.Publisher {
		// The sender has not yet received the state of the newer publisher.
		return nil
	}
	if m.newestReported.Less(v) {
		m.newestReported = v
	}
	if a.GetSentMs() != 0 {
		m.extendLease(now, sent, v)
	}
	if a.GetYields() {
		m.offer = yieldOffer{from, v, now}
	}
	m.updateRole(now)
	return m.requestState(now, from, v, m.Fenced(now))
}

// extendLease extends the lease to count from sent. If the lease had expired,
// the instance stays fenced until it has applied version v, the publisher's
// state at the time of the acknowledgement.
func (m *Membership) extendLease(now, sent time.Time, v dcstate.Version) {
	if m.leaseExpired(now) && m.requiredVersion.Less(v) {
		m.requiredVersion = v
	}
	if sent.After(m.leaseStart) {
		m.leaseStart = sent
	}
	m.lastAck = now
}

// requestState returns a request for the state with version v if that is newer
// than the applied one. A request that is not urgent is delayed by two
// heartbeat intervals, in which the publisher's own update normally arrives,
// because a full state is large (some MB with 5,000 servers). Requests are at
// least two heartbeat intervals apart.
func (m *Membership) requestState(now time.Time, from model.InstanceID, v dcstate.Version, urgent bool) []peer.Message {
	if !m.state.Version.Less(v) {
		return nil
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	if !urgent && now.Sub(m.behindSince) < 2*m.cfg.HeartbeatInterval {
		return nil
	}
	if !m.lastStateRequest.IsZero() && now.Sub(m.lastStateRequest) < 2*m.cfg.HeartbeatInterval {
		return nil
	}
	m.lastStateRequest = now
	return []peer.Message{{To: from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateRequest{StateRequest: &pb.StateRequest{
		Generation: m.state.Version.Generation,
		Publisher:  string(m.state.Version.Publisher),
	}}}}}
}

// Tick returns the heartbeats that are due. It must be called at least once
// per HeartbeatInterval; a gap longer than the lease counts as a process pause.
// The publisher also sends a heartbeat to itself, so that its own server reports
// are merged like those of the other instances.
func (m *Membership) Tick(now time.Time, status LocalStatus) []peer.Message {
	m.observeTime(now)
	m.localStatus = status
	m.markedOut = status.InstancesOut
	m.prunePeers(now)
	m.updateRole(now)
	// A heartbeat is due a tenth of the interval early, to allow for the jitter
	// of the timer that drives Tick.
	if !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < m.cfg.HeartbeatInterval-m.cfg.HeartbeatInterval/10 {
		return nil
	}
	m.lastHeartbeat = now
	return m.buildHeartbeats(now)
}

// Leave returns the heartbeats that announce that the instance is leaving.
func (m *Membership) Leave(now time.Time) []peer.Message {
	m.observeTime(now)
	if m.leaving {
		return nil
	}
	m.leaving = true
	m.updateRole(now)
	m.lastHeartbeat = now
	return m.buildHeartbeats(now)
}

func (m *Membership) ownState() pb.InstanceState {
	switch {
	case m.leaving:
		return pb.InstanceState_INSTANCE_STATE_LEAVING
	case m.localStatus.Ready:
		return pb.InstanceState_INSTANCE_STATE_READY
	}
	return pb.InstanceState_INSTANCE_STATE_JOINING
}

// buildHeartbeats returns the heartbeats of one interval. Only those to the
// publisher and to its first successor carry server reports.
func (m *Membership) buildHeartbeats(now time.Time) []peer.Message {
	targets := m.targets(now)
	publisher, successor := m.reportReceivers(now, targets)
	reports := m.reports.next(m.localStatus.Reports, m.cfg.MaxReports)
	plain := m.newHeartbeat(now)
	out := make([]peer.Message, 0, len(targets)+1)
	for _, to := range targets {
		h := plain
		if to == publisher || to == successor {
			h = m.newHeartbeat(now)
			h.Servers = reports
		}
		out = append(out, heartbeatTo(to, h))
	}
	if publisher == m.cfg.Self {
		h := m.newHeartbeat(now)
		h.Servers = reports
		out = append(out, heartbeatTo(m.cfg.Self, h))
	}
	return out
}

func heartbeatTo(to model.InstanceID, h *pb.Heartbeat) peer.Message {
	return peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_Heartbeat{Heartbeat: h}}}
}

func (m *Membership) newHeartbeat(now time.Time) *pb.Heartbeat {
	uptime := now.Sub(m.cfg.Started)
	return &pb.Heartbeat{
		State:             m.ownState(),
		SentMs:            uint64(uptime / time.Millisecond),
		ConfigVersion:     m.localStatus.ConfigVersion,
		UptimeS:           uint32(uptime / time.Second),
		AppliedGeneration: m.state.Version.Generation,
		AppliedPublisher:  string(m.state.Version.Publisher),
	}
}

// prunePeers removes instances outside the view that have been silent for
// longer than peerRetention.
func (m *Membership) prunePeers(now time.Time) {
	for id, p := range m.peers {
		if now.Sub(p.lastHeard) > peerRetention && !m.isMember(id) {
			delete(m.peers, id)
			m.ranked = nil
		}
	}
}
