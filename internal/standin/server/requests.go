package server

import (
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/standin/wire"
)

// requestKey identifies a request of a flow.
type requestKey struct {
	flow wire.Flow
	id   uint64
}

// attemptKey identifies an attempt of an entry instance to run a request. Copies of
// its datagram have the same key.
type attemptKey struct {
	requestKey
	attempt uint32
}

// fate is what became of the first copy of an attempt.
type fate uint8

const (
	ran fate = iota + 1
	shed
)

// runningRequest is a request that occupies a slot.
type runningRequest struct {
	// timer ends the request when it has run or its deadline has passed.
	timer  *time.Timer
	packet *pb.Packet
	from   netip.AddrPort
}

func (s *Server) handleRequest(flow wire.Flow, p *pb.Packet, from netip.AddrPort) {
	s.stats.Requests++
	if _, ok := s.flows[flow]; !ok {
		s.stats.UnknownFlow++
		s.refuse(p, from, pb.Reason_REASON_UNKNOWN_FLOW, pb.Outcome_OUTCOME_DID_NOT_RUN)
		return
	}
	attempt := attemptKey{requestKey{flow, p.GetRequestId()}, p.GetAttempt()}
	if s.switches.Shed || len(s.inFlight) >= s.cfg.Slots || s.fates[attempt] == shed {
		s.shedRequest(attempt, p, from)
		return
	}
	s.fates[attempt] = ran
	s.countRun(flow, p)
	serviceTime := s.cfg.ServiceTime
	if s.cold && s.countColdRequest() {
		serviceTime *= overloadFactor
	}
	r := &runningRequest{packet: p, from: from}
	s.inFlight[r] = struct{}{}
	if d := time.Duration(p.GetDeadlineMs()) * time.Millisecond; d > 0 && d < serviceTime {
		r.timer = time.AfterFunc(d, func() { s.expire(r) })
		return
	}
	r.timer = time.AfterFunc(serviceTime, func() { s.finish(r) })
}

// shedRequest refuses a request. If an earlier copy of the attempt has run, the
// refusal does not say otherwise; if not, later copies are refused too, so that the
// refusal stays true.
func (s *Server) shedRequest(attempt attemptKey, p *pb.Packet, from netip.AddrPort) {
	s.stats.Shed++
	if s.fates[attempt] == ran {
		s.refuse(p, from, pb.Reason_REASON_SHED, pb.Outcome_OUTCOME_UNKNOWN)
		return
	}
	s.fates[attempt] = shed
	s.refuse(p, from, pb.Reason_REASON_SHED, pb.Outcome_OUTCOME_DID_NOT_RUN)
}

// countRun counts a run of a request, and a duplicate run when it is not the
// first.
func (s *Server) countRun(flow wire.Flow, p *pb.Packet) {
	key := requestKey{flow, p.GetRequestId()}
	if s.runCounts[key]++; s.runCounts[key] < 2 {
		return
	}
	if p.GetIdempotent() {
		s.stats.DuplicateIdempotentRuns++
	} else {
		s.stats.DuplicateRuns++
	}
}

// countColdRequest counts a request that is about to start in the cold phase and
// reports whether it exceeds the number of concurrent requests that the cold
// server can handle.
func (s *Server) countColdRequest() bool {
	if s.cfg.ColdSlots <= 0 {
		return false
	}
	load := len(s.inFlight) + 1
	s.stats.PeakColdLoad = max(s.stats.PeakColdLoad, float64(load)/float64(s.cfg.ColdSlots))
	if load > s.cfg.ColdSlots {
		s.stats.ColdRequestsOverCapacity++
		return true
	}
	return false
}

func (s *Server) finish(r *runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.release(r) {
		return
	}
	s.stats.Answered++
	s.countWarmUp()
	for part := range s.cfg.Parts {
		answer := s.newReply(r.packet, pb.Kind_KIND_ANSWER, s.replyPayload(part, string(r.packet.GetPayload())))
		answer.Part, answer.Parts = uint32(part), uint32(s.cfg.Parts)
		s.send(answer, r.from)
	}
}

// expire stops a request whose deadline has passed. Its outcome is unknown, because
// a part of it has run.
func (s *Server) expire(r *runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release(r) {
		s.stats.Expired++
		s.refuse(r.packet, r.from, pb.Reason_REASON_DEADLINE, pb.Outcome_OUTCOME_UNKNOWN)
	}
}

func (s *Server) handleCancel(flow wire.Flow, p *pb.Packet) {
	for r := range s.inFlight {
		if r.packet.GetRequestId() == p.GetRequestId() && r.packet.GetAttempt() == p.GetAttempt() && wire.FlowOf(r.packet) == flow {
			r.timer.Stop()
			s.release(r)
			s.stats.Cancelled++
			s.refuse(r.packet, r.from, pb.Reason_REASON_CANCELLED, pb.Outcome_OUTCOME_UNKNOWN)
		}
	}
}

// release frees the slot of a request and reports whether the request still
// occupied it.
func (s *Server) release(r *runningRequest) bool {
	_, ok := s.inFlight[r]
	delete(s.inFlight, r)
	return ok
}
