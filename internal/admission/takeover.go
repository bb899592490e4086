package admission

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// maxDeferredReports is the maximum number of reports that are kept until the
// state that they refer to arrives.
const maxDeferredReports = 4096

// maxAppliedHandovers is the maximum number of applied handovers that are
// remembered.
const maxAppliedHandovers = 1024

type deferredReport struct {
	from   model.InstanceID
	report *pb.GrantReport
}

// handover is an unacknowledged handover of a server to another instance.
type handover struct {
	to         model.InstanceID
	generation uint64
	server     *pb.AdmitterHandover_Server
	sentAt     time.Time
}

// handoverID identifies a handover at its receiver.
type handoverID struct {
	from     model.InstanceID
	sequence uint64
}

// StateChanged applies a new published state: it hands over the servers whose
// admitter is now another instance and takes over those whose admitter is now this
// instance. For each server that has a new admitter, it reports to this admitter the
// grants that the coordinator of this instance holds. held returns these grants.
func (a *Admitter) StateChanged(now time.Time, old, new *dcstate.State, held HeldGrants) []peer.Message {
	if a.state == nil {
		a.firstGeneration = new.Version.Generation
	}
	a.state = new
	a.checkPartition(now)
	var out []peer.Message
	if old != nil && slices.Equal(old.Members, new.Members) {
		return append(a.replayDeferredReports(now), a.dispatchAll(now)...)
	}
	reports := newReportSet(new.Version.Generation)
	for _, id := range sortedServerIDs(a.backends) {
		former, changed := formerAdmitter(old, new, id)
		admitter := new.Admitter(id)
		if changed {
			reports.add(admitter, former, id, a.conditions[id], held(id))
		}
		s := a.servers[id]
		switch {
		case admitter == a.cfg.Self && s == nil:
			a.beginTakeover(now, old, new, id, former)
		case s != nil && s.phase == awaitingHandover && s.formerKnown && a.formerAdmitterGone(s):
			a.takeOverWithoutHandover(now, s)
		}
		if s := a.servers[id]; s != nil {
			s.dropDepartedMembers(new)
		}
		if s != nil && admitter != a.cfg.Self && admitter != "" {
			out = append(out, a.handOver(now, s, admitter)...)
		}
	}
	out = append(out, a.redirectHandovers(now)...)
	out = append(out, a.replayDeferredReports(now)...)
	out = append(out, a.dispatchAll(now)...)
	return append(out, reports.messages()...)
}

// formerAdmitter returns the admitter of the server in the old state, and whether
// the new state has a different one. A restarted admitter counts as different.
func formerAdmitter(old, new *dcstate.State, id model.ServerID) (model.InstanceID, bool) {
	if old == nil {
		return "", true
	}
	oldAdmitter, newAdmitter := old.Admitter(id), new.Admitter(id)
	oldMember, _ := old.Member(oldAdmitter)
	newMember, _ := new.Member(newAdmitter)
	return oldAdmitter, oldAdmitter != newAdmitter || oldMember.Incarnation != newMember.Incarnation
}

// beginTakeover starts the takeover of a server. former is its admitter in the
// old state, or empty if that is not known.
func (a *Admitter) beginTakeover(now time.Time, old, new *dcstate.State, id model.ServerID, former model.InstanceID) {
	s := a.newServer(now, id)
	a.servers[id] = s
	s.phase, s.handoverDeadline = awaitingHandover, now.Add(a.cfg.HandoverTimeout)
	s.formerAdmitter, s.formerKnown = former, former != ""
	s.expectReports(new)
	if s.formerKnown {
		m, _ := old.Member(former)
		s.formerIncarnation = m.Incarnation
		if a.formerAdmitterGone(s) {
			a.takeOverWithoutHandover(now, s)
		}
		return
	}
	if len(s.missingReports) == 0 || (len(s.missingReports) == 1 && s.missingReports[a.cfg.Self]) {
		a.takeOverUnowned(now, s)
	}
}

// formerAdmitterGone reports whether the former admitter has left the view or
// restarted, so that its grants and its request history are lost.
func (a *Admitter) formerAdmitterGone(s *server) bool {
	m, ok := a.state.Member(s.formerAdmitter)
	return !ok || (s.formerIncarnation != 0 && m.Incarnation != s.formerIncarnation)
}

// takeOverWithoutHandover takes over a server whose former admitter is not going
// to hand it over. The grants of the former admitter are known only from reports.
func (a *Admitter) takeOverWithoutHandover(now time.Time, s *server) {
	s.phase = owned
	s.ramp.probe(s.backend)
	s.history.incompleteUntil = now.Add(a.cfg.RequestRetention)
	s.unreportedSlots = max(0, coldSlots(s.backend)-len(s.grants))
	// The former admitter may have granted slots until its lease expired, at
	// most DeadAfter after the change that replaced it.
	s.unreportedSlotsUntil = now.Add(a.cfg.MaxGrantDuration + a.cfg.DatagramLifetime + a.cfg.DeadAfter)
	s.reportDeadline = now.Add(a.cfg.ReportTimeout)
	if _, ok := a.state.Member(s.formerAdmitter); ok || !s.formerKnown {
		s.networkDuplicatesUntil = now.Add(a.cfg.DatagramLifetime)
	}
}

// takeOverUnowned takes over a server for which no member knows a former admitter.
// The history counts as incomplete, since what was granted before the members
// started is not known.
func (a *Admitter) takeOverUnowned(now time.Time, s *server) {
	s.phase = owned
	s.history.incompleteUntil = now.Add(a.cfg.RequestRetention)
}

// handOver hands a server over to its new admitter. The waiters are rejected, and
// their coordinators request grants from the new admitter. If this instance still
// waits for the handover of the server, it hands the server over when that arrives.
func (a *Admitter) handOver(now time.Time, s *server, to model.InstanceID) []peer.Message {
	out := s.rejectQueued()
	if s.phase == awaitingHandover {
		return out
	}
	s.expireGrants(now)
	h := &handover{to: to, generation: a.state.Version.Generation, server: &pb.AdmitterHandover_Server{
		Server: uint64(s.id), Outstanding: s.outstanding(now), Remembered: s.history.toProto(now),
		RampSlots: uint32(s.ramp.slots), MemoryLostMs: milliseconds(s.history.incompleteUntil.Sub(now)),
	}}
	delete(a.servers, s.id)
	a.sequence++
	a.handovers[a.sequence] = h
	return append(out, a.sendHandover(now, a.sequence, h))
}

func (a *Admitter) sendHandover(now time.Time, sequence uint64, h *handover) peer.Message {
	h.sentAt = now
	m := &pb.AdmitterHandover{
		Generation: h.generation, Servers: []*pb.AdmitterHandover_Server{h.server}, Sequence: sequence,
	}
	return peer.Message{To: h.to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_AdmitterHandover{AdmitterHandover: m}}}
}

func (a *Admitter) resendHandovers(now time.Time) []peer.Message {
	var out []peer.Message
	for _, sequence := range sortedSequences(a.handovers) {
		if h := a.handovers[sequence]; now.Sub(h.sentAt) >= a.cfg.HandoverRetryInterval {
			out = append(out, a.sendHandover(now, sequence, h))
		}
	}
	return out
}

// redirectHandovers sends each handover whose receiver has left the view to the
// present admitter, which merges it into what it took over without a handover.
func (a *Admitter) redirectHandovers(now time.Time) []peer.Message {
	var out []peer.Message
	for _, sequence := range sortedSequences(a.handovers) {
		h := a.handovers[sequence]
		if _, ok := a.state.Member(h.to); ok {
			continue
		}
		id := model.ServerID(h.server.GetServer())
		admitter := a.state.Admitter(id)
		if s := a.servers[id]; s != nil && admitter == a.cfg.Self {
			a.mergeHandover(now, s, h.server)
			delete(a.handovers, sequence)
		} else if admitter != "" && admitter != a.cfg.Self {
			h.to, h.generation = admitter, a.state.Version.Generation
			out = append(out, a.sendHandover(now, sequence, h))
		}
	}
	return out
}

// handleHandover applies and acknowledges a handover. A handover of a generation
// that this instance has not received yet is not acknowledged, so that the
// sender sends it again.
func (a *Admitter) handleHandover(now time.Time, from model.InstanceID, m *pb.AdmitterHandover) []peer.Message {
	if a.state == nil || a.state.Version.Generation < m.GetGeneration() {
		return nil
	}
	ack := &pb.PeerMessage{Body: &pb.PeerMessage_Ack{Ack: &pb.Ack{Sequence: m.GetSequence()}}}
	out := []peer.Message{{To: from, Body: ack}}
	id := handoverID{from, m.GetSequence()}
	if a.appliedHandovers[id] {
		return out
	}
	a.markHandoverApplied(id)
	for _, h := range m.GetServers() {
		out = append(out, a.applyHandover(now, h, m.GetGeneration() < a.firstGeneration)...)
	}
	return out
}

// applyHandover applies the handover of one server. stale means that the handover
// was sent to a former incarnation of this instance, which may have granted slots
// after it.
func (a *Admitter) applyHandover(now time.Time, h *pb.AdmitterHandover_Server, stale bool) []peer.Message {
	id := model.ServerID(h.GetServer())
	if a.backends[id] == nil {
		return nil
	}
	s := a.servers[id]
	if s == nil {
		s = a.newServer(now, id)
		s.phase = awaitingHandover
		a.servers[id] = s
	}
	if s.phase == awaitingHandover && stale {
		a.takeOverWithoutHandover(now, s)
	}
	if s.phase == awaitingHandover {
		a.adoptHandover(now, s, h)
	} else {
		a.mergeHandover(now, s, h)
	}
	if to := a.state.Admitter(id); to != a.cfg.Self && to != "" {
		return a.handOver(now, s, to)
	}
	return a.dispatch(now, s)
}

// adoptHandover takes over a server with the state of the former admitter.
func (a *Admitter) adoptHandover(now time.Time, s *server, h *pb.AdmitterHandover_Server) {
	s.phase = owned
	s.history.merge(now, h.GetRemembered())
	s.history.incompleteUntil = now.Add(time.Duration(h.GetMemoryLostMs()) * time.Millisecond)
	s.ramp.resume(now, s.backend, int(h.GetRampSlots()), a.conditions[s.id])
	s.unreportedSlots = 0
	for _, o := range h.GetOutstanding() {
		if o.GetHolder() == "" {
			s.unreportedSlots++
			s.unreportedSlotsUntil = now.Add(time.Duration(o.GetExpiresMs()) * time.Millisecond)
			continue
		}
		s.inherit(now, o, &a.cfg)
	}
}

// mergeHandover adds the grants and the request history of a handover to a server
// that was taken over before the handover arrived.
func (a *Admitter) mergeHandover(now time.Time, s *server, h *pb.AdmitterHandover_Server) {
	s.history.merge(now, h.GetRemembered())
	for _, o := range h.GetOutstanding() {
		if o.GetHolder() != "" {
			s.inheritReported(now, o, &a.cfg)
		}
	}
}

// handleGrantReport records the grants that the coordinator of a member holds.
func (a *Admitter) handleGrantReport(now time.Time, from model.InstanceID, r *pb.GrantReport) []peer.Message {
	if a.state == nil || a.state.Version.Generation < r.GetGeneration() {
		if len(a.deferredReports) < maxDeferredReports {
			a.deferredReports = append(a.deferredReports, deferredReport{from, r})
		}
		return nil
	}
	var out []peer.Message
	for i, number := range r.GetServers() {
		s := a.servers[model.ServerID(number)]
		if s == nil {
			continue
		}
		if i < len(r.GetConditions()) && r.GetConditions()[i] != pb.ServerCondition_SERVER_CONDITION_HEALTHY {
			s.ramp.observe(now, s.backend, r.GetConditions()[i])
		}
		s.applyReport(now, from, r, &a.cfg)
		if s.phase == awaitingHandover && !s.formerKnown {
			a.updateFormerAdmitter(now, s, model.InstanceID(r.GetFormer()))
		}
		out = append(out, a.dispatch(now, s)...)
	}
	return out
}

// updateFormerAdmitter applies the former admitter that a member has reported, empty
// if the member knows none. It is this instance if this instance has restarted. If
// no member knows a former admitter, there was none.
func (a *Admitter) updateFormerAdmitter(now time.Time, s *server, formerAdmitter model.InstanceID) {
	switch {
	case formerAdmitter == a.cfg.Self:
		a.takeOverWithoutHandover(now, s)
	case formerAdmitter != "":
		s.formerAdmitter, s.formerKnown = formerAdmitter, true
		if a.formerAdmitterGone(s) {
			a.takeOverWithoutHandover(now, s)
		}
	case len(s.missingReports) == 0:
		a.takeOverUnowned(now, s)
	}
}

func (a *Admitter) replayDeferredReports(now time.Time) []peer.Message {
	deferredReports := a.deferredReports
	a.deferredReports = nil
	var out []peer.Message
	for _, d := range deferredReports {
		out = append(out, a.handleGrantReport(now, d.from, d.report)...)
	}
	return out
}

// expectReports marks the reports of all members as missing.
func (s *server) expectReports(state *dcstate.State) {
	for _, m := range state.Members {
		s.missingReports[m.Instance] = true
	}
}

// dropDepartedMembers stops waiting for the reports of members that have left the
// view.
func (s *server) dropDepartedMembers(state *dcstate.State) {
	for id := range s.missingReports {
		if _, ok := state.Member(id); !ok {
			delete(s.missingReports, id)
		}
	}
}

// applyReport applies the report of a member: it adds the reported grants and
// removes inherited grants that the member no longer holds.
func (s *server) applyReport(now time.Time, from model.InstanceID, r *pb.GrantReport, cfg *Config) {
	ids := map[uint64]bool{}
	delete(s.missingReports, from)
	for _, o := range r.GetOutstanding() {
		if model.ServerID(o.GetServer()) == s.id && model.InstanceID(o.GetHolder()) == from {
			ids[o.GetGrant()] = true
			s.inheritReported(now, o, cfg)
		}
	}
	// A member that reports no former admitter has just started. Grants of its
	// former incarnation may still be in use.
	if r.GetFormer() == "" {
		return
	}
	s.reportedGrants[from] = ids
	for k, g := range s.grants {
		if g.inherited && k.holder == from && !ids[k.id] {
			delete(s.grants, k)
		}
	}
}

// inheritReported adds a grant that counted as an unreported slot until now.
func (s *server) inheritReported(now time.Time, o *pb.OutstandingGrant, cfg *Config) {
	before := len(s.grants)
	s.inherit(now, o, cfg)
	s.unreportedSlots = max(0, s.unreportedSlots-(len(s.grants)-before))
}

// resume continues the ramp of the former admitter, which allowed the given
// number of slots.
func (r *ramp) resume(now time.Time, backend *model.BackendServer, slots int, c pb.ServerCondition) {
	r.reset(now, backend)
	r.slots = min(max(slots, coldSlots(backend)), backend.Slots)
	r.cold = r.slots < backend.Slots && c != pb.ServerCondition_SERVER_CONDITION_HEALTHY
	if c == pb.ServerCondition_SERVER_CONDITION_COLD {
		r.reset(now, backend)
		r.cold = true
	}
}

func (a *Admitter) markHandoverApplied(id handoverID) {
	if len(a.appliedHandoverOrder) >= maxAppliedHandovers {
		delete(a.appliedHandovers, a.appliedHandoverOrder[0])
		a.appliedHandoverOrder = a.appliedHandoverOrder[1:]
	}
	a.appliedHandovers[id] = true
	a.appliedHandoverOrder = append(a.appliedHandoverOrder, id)
}
