package steering

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// wait holds the packets of an unknown flow until the flow is resolved.
type wait struct {
	key key
	// target is the instance that was asked; only its reply counts, because a
	// former owner's delayed reply may disagree with the present owner's.
	target  model.InstanceID
	asked   time.Time
	until   time.Time
	packets []heldPacket
	done    bool
}

type heldPacket struct {
	token       uint64
	planVersion uint64
	opening     bool
}

func (w *wait) opening() bool {
	for _, p := range w.packets {
		if p.opening {
			return true
		}
	}
	return false
}

// maxHeldPerFlow limits what one flow takes of Config.MaxHeld.
const maxHeldPerFlow = 32

// hold adds a packet to a wait, or rejects it when too many are held.
func (s *Steering) hold(now time.Time, w *wait, p Packet) {
	h := heldPacket{p.Token, p.PlanVersion, p.Opening}
	if s.held >= s.cfg.MaxHeld || len(w.packets) >= maxHeldPerFlow {
		s.reject(h, pb.Reason_REASON_OVERLOAD)
		return
	}
	if len(w.packets) == 0 {
		w.until = now.Add(s.cfg.HoldTimeout)
		s.waits[w.key] = w
		s.waitOrder = append(s.waitOrder, w)
	}
	learn := h.opening && !w.opening() && w.target != ""
	w.packets = append(w.packets, h)
	s.held++
	if learn {
		// The owner must learn that an opening waits too.
		s.dispatch(now, w)
	}
}

// reject refuses an opening and drops another packet.
func (s *Steering) reject(h heldPacket, reason pb.Reason) {
	if h.opening {
		s.do(Refuse{h.token, reason})
	} else {
		s.do(Drop{h.token})
	}
}

// dispatch decides about a wait directly where the phase allows it, or else
// asks the bucket's owner. A flow that was asked about once is always left to
// an owner, which may already have decided.
func (s *Steering) dispatch(now time.Time, w *wait) {
	if s.state == nil || s.fenced(now) {
		return // Tick tries again
	}
	id, b, ok := s.bucketOf(w.key)
	if !ok {
		s.fail(w, pb.Reason_REASON_NO_SERVER)
		return
	}
	if w.target == "" {
		if server, found := s.copies[id].lookup(w.key); found && s.belongs(w.key.Service, server) {
			s.finish(now, w, server, true)
			return
		}
		if !b.Questionable() || w.opening() && b.OpensDirectly() && !s.newlyMoved(now, id) || !w.opening() && s.atBase(id, w.key.Flow) {
			if w.opening() && s.belongs(w.key.Service, b.Base) && !s.mayOpen(now, b.Base) {
				s.fail(w, pb.Reason_REASON_OVERLOAD)
				return
			}
			s.finish(now, w, b.Base, false)
			return
		}
	}
	w.asked = now
	w.target = s.owner(id)
	item := &pb.ResolveQuery_Item{Service: uint64(w.key.Service), Flow: uint64(w.key.Flow), Opening: w.opening()}
	switch w.target {
	case "":
	case s.cfg.Self:
		s.resolve(now, s.cfg.Self, item)
	default:
		q := s.out.queries[w.target]
		if q == nil {
			if s.out.queries == nil {
				s.out.queries = map[model.InstanceID]*pb.ResolveQuery{}
			}
			q = &pb.ResolveQuery{}
			s.out.queries[w.target] = q
		}
		q.Items = append(q.Items, item)
	}
}

// newlyMoved reports whether the bucket's opening server changed so recently,
// or this instance joined so recently, that an opening may repeat one that was
// sent to another server. In a MIXED bucket the owner decides about it then.
func (s *Steering) newlyMoved(now time.Time, id bucketID) bool {
	at, ok := s.openingChanged[id]
	return ok && now.Sub(at) < s.cfg.OpeningRepeat || now.Sub(s.joined) < s.cfg.OpeningRepeat
}

// finish pins the flow and forwards its packets.
func (s *Steering) finish(now time.Time, w *wait, server model.ServerID, recorded bool) {
	switch {
	case server == 0:
		s.fail(w, pb.Reason_REASON_OVERLOAD)
		return
	case !s.belongs(w.key.Service, server):
		s.fail(w, pb.Reason_REASON_NO_SERVER)
		return
	case now.After(w.until):
		s.fail(w, pb.Reason_REASON_DEADLINE)
		return
	}
	stored := s.pin(now, w.key, server, w.packets[0].planVersion, recorded)
	for _, h := range w.packets {
		if h.opening && !stored {
			// Without a pin a repeated opening could reach another server.
			s.reject(h, pb.Reason_REASON_OVERLOAD)
			continue
		}
		s.do(Forward{h.token, server})
	}
	s.remove(w)
}

func (s *Steering) fail(w *wait, reason pb.Reason) {
	for _, h := range w.packets {
		s.reject(h, reason)
	}
	s.remove(w)
}

func (s *Steering) remove(w *wait) {
	w.done = true
	s.held -= len(w.packets)
	delete(s.waits, w.key)
}

// handleReply takes the decisions of the owner that was asked.
func (s *Steering) handleReply(now time.Time, from model.InstanceID, r *pb.ResolveReply) {
	if s.fenced(now) {
		return
	}
	s.takeFilters(r)
	for _, item := range r.GetItems() {
		w := s.waits[key{Service: model.ServiceID(item.GetService()), Flow: model.FlowHash(item.GetFlow())}]
		if w != nil && w.target == from {
			s.finish(now, w, model.ServerID(item.GetServer()), item.GetRecorded())
		}
	}
}

// tickWaits repeats unanswered queries and fails waits that took too long.
func (s *Steering) tickWaits(now time.Time) {
	for _, w := range s.waitOrder {
		switch {
		case w.done:
		case !now.Before(w.until):
			reason := pb.Reason_REASON_PEER_UNREACHABLE
			if s.state == nil || s.fenced(now) {
				reason = pb.Reason_REASON_INSTANCE_NOT_READY
			}
			s.fail(w, reason)
		case now.Sub(w.asked) >= s.cfg.RetryInterval:
			s.dispatch(now, w)
		}
	}
	kept := s.waitOrder[:0]
	for _, w := range s.waitOrder {
		if !w.done {
			kept = append(kept, w)
		}
	}
	clear(s.waitOrder[len(kept):])
	s.waitOrder = kept
}
