package admission

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// maxEarly bounds the reports kept for a state that has not arrived.
const maxEarly = 4096

// maxApplied bounds the memory of handovers that were applied.
const maxApplied = 1024

type earlyReport struct {
	from   model.InstanceID
	report *pb.GrantReport
}

// handover is the state of a server on its way to another instance.
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

// StateChanged applies a new published state: it hands over the servers that
// have another admitter now, takes over those that have this one, and reports
// the grants that the instance's own coordinator holds to each new admitter.
func (a *Admitter) StateChanged(now time.Time, old, new *dcstate.State, held HeldGrants) []peer.Message {
	if a.state == nil {
		a.firstGeneration = new.Version.Generation
	}
	a.state = new
	a.judgeView(now)
	var out []peer.Message
	if old != nil && slices.Equal(old.Members, new.Members) {
		return append(a.replayEarly(now), a.pumpAll(now)...)
	}
	reports := newReportSet(new.Version.Generation)
	for _, id := range sortedServers(a.infos) {
		was, changed := formerAdmitter(old, new, id)
		admitter := new.Admitter(id)
		if changed {
			reports.add(admitter, was, id, a.conditions[id], held(id))
		}
		s := a.servers[id]
		switch {
		case admitter == a.cfg.Self && s == nil:
			a.gain(now, old, new, id, was)
		case s != nil && s.phase == awaiting && s.formerSure && a.formerGone(s):
			a.takeOver(now, s)
		}
		if s := a.servers[id]; s != nil {
			s.forgetGone(new)
		}
		if s != nil && admitter != a.cfg.Self && admitter != "" {
			out = append(out, a.lose(now, s, admitter)...)
		}
	}
	out = append(out, a.retarget(now)...)
	out = append(out, a.replayEarly(now)...)
	out = append(out, a.pumpAll(now)...)
	return append(out, reports.messages()...)
}

// formerAdmitter returns who admitted the server in the old state, and
// whether that ended. A restarted admitter counts as another one.
func formerAdmitter(old, new *dcstate.State, id model.ServerID) (model.InstanceID, bool) {
	if old == nil {
		return "", true
	}
	was, is := old.Admitter(id), new.Admitter(id)
	before, _ := old.Member(was)
	after, _ := new.Member(is)
	return was, was != is || before.Incarnation != after.Incarnation
}

// gain prepares to admit for a server.
func (a *Admitter) gain(now time.Time, old, new *dcstate.State, id model.ServerID, was model.InstanceID) {
	s := a.newServer(now, id)
	a.servers[id] = s
	s.phase, s.awaitUntil = awaiting, now.Add(a.cfg.HandoverWait)
	s.former, s.formerSure = was, was != ""
	s.expectReports(new)
	if s.formerSure {
		m, _ := old.Member(was)
		s.formerIncarnation = m.Incarnation
		if a.formerGone(s) {
			a.takeOver(now, s)
		}
		return
	}
	if len(s.unheard) == 0 || (len(s.unheard) == 1 && s.unheard[a.cfg.Self]) {
		a.takeFresh(now, s)
	}
}

// formerGone reports whether the awaited former admitter has left the view or
// restarted: its grants and its memory are lost.
func (a *Admitter) formerGone(s *server) bool {
	m, ok := a.state.Member(s.former)
	return !ok || (s.formerIncarnation != 0 && m.Incarnation != s.formerIncarnation)
}

// takeOver starts to admit without a handover. What the dead admitter granted
// is known only from reports.
func (a *Admitter) takeOver(now time.Time, s *server) {
	s.phase = owned
	s.ramp.probe(s.info)
	s.memory.lossyUntil = now.Add(a.cfg.RequestMemory)
	s.unreported = max(0, coldSlots(s.info)-len(s.grants))
	// The dead admitter may have granted until its lease ended, which is
	// within DeadAfter of the change that replaced it.
	s.unreportedUntil = now.Add(a.cfg.MaxGrant + a.cfg.Margin + a.cfg.DeadAfter)
	s.openAt = now.Add(a.cfg.ReportWait)
	if _, ok := a.state.Member(s.former); ok || !s.formerSure {
		s.blindUntil = now.Add(a.cfg.Margin)
	}
}

// takeFresh starts to admit for a server that no instance of the view
// admitted before.
func (a *Admitter) takeFresh(now time.Time, s *server) {
	s.phase = owned
	s.memory.lossyUntil = now.Add(a.cfg.RequestMemory)
}

// lose hands a server to its new admitter. Queued requests are sent there by
// their coordinators. A server whose own handover is still awaited is passed
// on when that arrives.
func (a *Admitter) lose(now time.Time, s *server, to model.InstanceID) []peer.Message {
	out := s.rejectAll()
	if s.phase == awaiting {
		return out
	}
	s.expireGrants(now)
	h := &handover{to: to, generation: a.state.Version.Generation, server: &pb.AdmitterHandover_Server{
		Server: uint64(s.id), Outstanding: s.outstanding(now), Remembered: s.memory.proto(now),
		RampSlots: uint32(s.ramp.slots), MemoryLostMs: milliseconds(s.memory.lossyUntil.Sub(now)),
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

func (a *Admitter) repeatHandovers(now time.Time) []peer.Message {
	var out []peer.Message
	for _, sequence := range sortedSequences(a.handovers) {
		if h := a.handovers[sequence]; now.Sub(h.sentAt) >= a.cfg.HandoverRetry {
			out = append(out, a.sendHandover(now, sequence, h))
		}
	}
	return out
}

// retarget sends handovers whose receiver has left the view to the present
// admitter, which merges them with what it took over unplanned.
func (a *Admitter) retarget(now time.Time) []peer.Message {
	var out []peer.Message
	for _, sequence := range sortedSequences(a.handovers) {
		h := a.handovers[sequence]
		if _, ok := a.state.Member(h.to); ok {
			continue
		}
		id := model.ServerID(h.server.GetServer())
		admitter := a.state.Admitter(id)
		if s := a.servers[id]; s != nil && admitter == a.cfg.Self {
			a.merge(now, s, h.server)
			delete(a.handovers, sequence)
		} else if admitter != "" && admitter != a.cfg.Self {
			h.to, h.generation = admitter, a.state.Version.Generation
			out = append(out, a.sendHandover(now, sequence, h))
		}
	}
	return out
}

// takeHandover applies a handover. One that is ahead of this instance's state
// is left unacknowledged, so that the sender repeats it.
func (a *Admitter) takeHandover(now time.Time, from model.InstanceID, m *pb.AdmitterHandover) []peer.Message {
	if a.state == nil || a.state.Version.Generation < m.GetGeneration() {
		return nil
	}
	ack := &pb.PeerMessage{Body: &pb.PeerMessage_Ack{Ack: &pb.Ack{Sequence: m.GetSequence()}}}
	out := []peer.Message{{To: from, Body: ack}}
	id := handoverID{from, m.GetSequence()}
	if a.applied[id] {
		return out
	}
	a.markApplied(id)
	for _, h := range m.GetServers() {
		out = append(out, a.apply(now, h, m.GetGeneration() < a.firstGeneration)...)
	}
	return out
}

// apply applies the handover of one server. A stale one was meant for a
// former incarnation of this instance, which may have granted since.
func (a *Admitter) apply(now time.Time, h *pb.AdmitterHandover_Server, stale bool) []peer.Message {
	id := model.ServerID(h.GetServer())
	if a.infos[id] == nil {
		return nil
	}
	s := a.servers[id]
	if s == nil {
		s = a.newServer(now, id)
		s.phase = awaiting
		a.servers[id] = s
	}
	if s.phase == awaiting && stale {
		a.takeOver(now, s)
	}
	if s.phase == awaiting {
		a.adopt(now, s, h)
	} else {
		a.merge(now, s, h)
	}
	if to := a.state.Admitter(id); to != a.cfg.Self && to != "" {
		return a.lose(now, s, to)
	}
	return a.pump(now, s)
}

// adopt continues where the former admitter ended.
func (a *Admitter) adopt(now time.Time, s *server, h *pb.AdmitterHandover_Server) {
	s.phase = owned
	s.memory.adopt(now, h.GetRemembered())
	s.memory.lossyUntil = now.Add(time.Duration(h.GetMemoryLostMs()) * time.Millisecond)
	s.ramp.adopt(now, s.info, int(h.GetRampSlots()), a.conditions[s.id])
	s.unreported = 0
	for _, o := range h.GetOutstanding() {
		if o.GetHolder() == "" {
			s.unreported++
			s.unreportedUntil = now.Add(time.Duration(o.GetExpiresMs()) * time.Millisecond)
			continue
		}
		s.inherit(now, o, &a.cfg)
	}
}

// merge adds a handover to a server that was taken over without it.
func (a *Admitter) merge(now time.Time, s *server, h *pb.AdmitterHandover_Server) {
	s.memory.adopt(now, h.GetRemembered())
	for _, o := range h.GetOutstanding() {
		if o.GetHolder() != "" {
			s.inheritReported(now, o, &a.cfg)
		}
	}
}

// grantReport records what a member's coordinator holds.
func (a *Admitter) grantReport(now time.Time, from model.InstanceID, r *pb.GrantReport) []peer.Message {
	if a.state == nil || a.state.Version.Generation < r.GetGeneration() {
		if len(a.early) < maxEarly {
			a.early = append(a.early, earlyReport{from, r})
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
			s.ramp.observe(now, s.info, r.GetConditions()[i])
		}
		s.reported(now, from, r, &a.cfg)
		if s.phase == awaiting && !s.formerSure {
			a.learnFormer(now, s, model.InstanceID(r.GetFormer()))
		}
		out = append(out, a.pump(now, s)...)
	}
	return out
}

// learnFormer uses what a member knows of the former admitter. If all members
// know none, there was none.
func (a *Admitter) learnFormer(now time.Time, s *server, former model.InstanceID) {
	switch {
	case former == a.cfg.Self:
		a.takeOver(now, s)
	case former != "":
		s.former, s.formerSure = former, true
		if a.formerGone(s) {
			a.takeOver(now, s)
		}
	case len(s.unheard) == 0:
		a.takeFresh(now, s)
	}
}

func (a *Admitter) replayEarly(now time.Time) []peer.Message {
	early := a.early
	a.early = nil
	var out []peer.Message
	for _, e := range early {
		out = append(out, a.grantReport(now, e.from, e.report)...)
	}
	return out
}

// expectReports notes the members whose reports are to come.
func (s *server) expectReports(state *dcstate.State) {
	for _, m := range state.Members {
		s.unheard[m.Instance] = true
	}
}

// forgetGone stops waiting for members that have left the view.
func (s *server) forgetGone(state *dcstate.State) {
	for id := range s.unheard {
		if _, ok := state.Member(id); !ok {
			delete(s.unheard, id)
		}
	}
}

// reported applies a member's list of grants: inherited grants that it does
// not hold any more are free.
func (s *server) reported(now time.Time, from model.InstanceID, r *pb.GrantReport, cfg *Config) {
	ids := map[uint64]bool{}
	delete(s.unheard, from)
	for _, o := range r.GetOutstanding() {
		if model.ServerID(o.GetServer()) == s.id && model.InstanceID(o.GetHolder()) == from {
			ids[o.GetGrant()] = true
			s.inheritReported(now, o, cfg)
		}
	}
	// A member that knew no former admitter has just started: grants of its
	// former incarnation may still be in use.
	if r.GetFormer() == "" {
		return
	}
	s.reports[from] = ids
	for k, g := range s.grants {
		if g.inherited && k.holder == from && !ids[k.id] {
			delete(s.grants, k)
		}
	}
}

// inheritReported adds a grant; it was one of the unreported ones.
func (s *server) inheritReported(now time.Time, o *pb.OutstandingGrant, cfg *Config) {
	before := len(s.grants)
	s.inherit(now, o, cfg)
	s.unreported = max(0, s.unreported-(len(s.grants)-before))
}

// adopt continues the ramp of the former admitter.
func (r *ramp) adopt(now time.Time, info *model.BackendServer, slots int, c pb.ServerCondition) {
	r.reset(now, info)
	r.slots = min(max(slots, coldSlots(info)), info.Slots)
	r.cold = r.slots < info.Slots && c != pb.ServerCondition_SERVER_CONDITION_HEALTHY
	if c == pb.ServerCondition_SERVER_CONDITION_COLD {
		r.reset(now, info)
		r.cold = true
	}
}

func (a *Admitter) markApplied(id handoverID) {
	if len(a.appliedOrder) >= maxApplied {
		delete(a.applied, a.appliedOrder[0])
		a.appliedOrder = a.appliedOrder[1:]
	}
	a.applied[id] = true
	a.appliedOrder = append(a.appliedOrder, id)
}
