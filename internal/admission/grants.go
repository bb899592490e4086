package admission

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

func (a *Admitter) handleGrantRequest(now time.Time, from model.InstanceID, r *pb.GrantRequest) []peer.Message {
	id := model.ServerID(r.GetServer())
	s := a.servers[id]
	if s == nil || a.cfg.Fenced(now) || a.state.Admitter(id) != a.cfg.Self {
		return []peer.Message{grantReply(from, r.GetGrant(), pb.GrantResult_GRANT_RESULT_NOT_ADMITTER, pb.Reason_REASON_INSTANCE_NOT_READY)}
	}
	key := grantKey{from, r.GetGrant()}
	if s.grants[key] != nil {
		return []peer.Message{grantReply(from, r.GetGrant(), pb.GrantResult_GRANT_RESULT_GRANTED, 0)}
	}
	if s.queue.has(key) {
		return nil
	}
	left := time.Duration(r.GetDeadlineMs()) * time.Millisecond
	if left <= 0 || left > a.cfg.MaxGrantDuration {
		left = a.cfg.MaxGrantDuration
	}
	w := &waiter{
		key: key, request: r, deadline: now.Add(left), refuseAt: now.Add(left - min(maxRefusalLead, left/4)),
		arrivedAt: now, arrival: s.nextArrival(),
	}
	if result, reason := a.checkAdmissible(now, s, w); result != pb.GrantResult_GRANT_RESULT_GRANTED && s.phase == owned {
		return []peer.Message{grantReply(from, r.GetGrant(), result, reason)}
	}
	s.queue.add(w)
	out := a.dispatch(now, s)
	for s.queue.Len() > a.cfg.QueueLength {
		last := s.queue.removeLast()
		out = append(out, a.refuse(now, s, last, pb.Reason_REASON_OVERLOAD))
	}
	return out
}

func (a *Admitter) handleGrantRelease(now time.Time, from model.InstanceID, r *pb.GrantRelease) []peer.Message {
	s := a.servers[model.ServerID(r.GetServer())]
	if s == nil {
		return nil
	}
	key := grantKey{from, r.GetGrant()}
	s.queue.remove(key)
	if g := s.grants[key]; g != nil {
		delete(s.grants, key)
		if g.idempotent && r.GetDidNotRun() {
			s.recentGrants.remove(g.request)
		} else if !g.idempotent {
			s.history.recordRelease(now, g.request, key, r.GetDidNotRun())
		}
		if r.GetAnswered() {
			s.lastAnswerAt = now
		}
		s.ramp.observeRelease(now, s.backend, &a.cfg, g.grantedAt, r)
	}
	return a.dispatch(now, s)
}

// dispatch grants free slots to the waiters at the head of the queue.
func (a *Admitter) dispatch(now time.Time, s *server) []peer.Message {
	if s.phase != owned || a.cfg.Fenced(now) || (now.Before(s.reportDeadline) && len(s.missingReports) > 0) {
		return nil
	}
	s.expireGrants(now)
	if len(s.grants) == 0 && now.Sub(s.lastAnswerAt) >= probeAfterIdle {
		s.ramp.probe(s.backend)
	}
	var out []peer.Message
	for s.queue.Len() > 0 && s.busySlots(now) < a.allowed(s) {
		w := s.queue.first()
		s.queue.remove(w.key)
		if !now.Before(w.refuseAt) {
			out = append(out, a.refuse(now, s, w, pb.Reason_REASON_DEADLINE))
			continue
		}
		result, reason := a.checkAdmissible(now, s, w)
		if result == pb.GrantResult_GRANT_RESULT_GRANTED {
			s.grant(now, w, &a.cfg)
		}
		out = append(out, grantReply(w.key.holder, w.key.id, result, reason))
	}
	return out
}

func (a *Admitter) dispatchAll(now time.Time) []peer.Message {
	var out []peer.Message
	for _, id := range sortedServerIDs(a.servers) {
		out = append(out, a.dispatch(now, a.servers[id])...)
	}
	return out
}

// allowed returns the number of slots that may be busy at present: the limit of the
// ramp, or none for a cold server on the minority side of a partition.
func (a *Admitter) allowed(s *server) int {
	if s.ramp.cold && !a.inMajority {
		return 0
	}
	return s.ramp.slots
}

func grantReply(to model.InstanceID, grant uint64, result pb.GrantResult, reason pb.Reason) peer.Message {
	r := &pb.GrantReply{Grant: grant, Result: result, Reason: reason}
	return peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_GrantReply{GrantReply: r}}}
}
