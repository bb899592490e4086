package server

import (
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/standin/wire"
)

// requestKey names a request of a flow.
type requestKey struct {
	flow wire.Flow
	id   uint64
}

// running is a request in a slot.
type running struct {
	timer *time.Timer
	p     *pb.Packet
	from  netip.AddrPort
}

func (s *Server) request(flow wire.Flow, p *pb.Packet, from netip.AddrPort) {
	s.stats.Requests++
	if _, ok := s.flows[flow]; !ok {
		s.stats.UnknownFlow++
		s.refuse(p, from, pb.Reason_REASON_UNKNOWN_FLOW, pb.Outcome_OUTCOME_DID_NOT_RUN)
		return
	}
	if s.sw.Shed || len(s.work) >= s.cfg.Slots {
		s.stats.Shed++
		s.refuse(p, from, pb.Reason_REASON_SHED, pb.Outcome_OUTCOME_DID_NOT_RUN)
		return
	}
	s.countRun(flow, p)
	took := s.cfg.ServiceTime
	if s.cold && s.coldRequest() {
		took *= overloadFactor
	}
	r := &running{p: p, from: from}
	s.work[r] = struct{}{}
	if d := time.Duration(p.GetDeadlineMs()) * time.Millisecond; d > 0 && d < took {
		r.timer = time.AfterFunc(d, func() { s.expire(r) })
		return
	}
	r.timer = time.AfterFunc(took, func() { s.finish(r) })
}

func (s *Server) countRun(flow wire.Flow, p *pb.Packet) {
	key := requestKey{flow, p.GetRequestId()}
	if s.runs[key]++; s.runs[key] < 2 {
		return
	}
	if p.GetIdempotent() {
		s.stats.DoubleIdempotent++
	} else {
		s.stats.DoubleRuns++
	}
}

// coldRequest reports whether a request that is about to start is above what
// the cold server bears.
func (s *Server) coldRequest() bool {
	if s.cfg.ColdSlots <= 0 {
		return false
	}
	load := len(s.work) + 1
	s.stats.ColdPeak = max(s.stats.ColdPeak, float64(load)/float64(s.cfg.ColdSlots))
	if load > s.cfg.ColdSlots {
		s.stats.ColdRequestsOver++
		return true
	}
	return false
}

func (s *Server) finish(r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.release(r) {
		return
	}
	s.stats.Answered++
	s.warm()
	for k := range s.cfg.Parts {
		a := s.reply(r.p, pb.Kind_KIND_ANSWER, s.payload(k, string(r.p.GetPayload())))
		a.Part, a.Parts = uint32(k), uint32(s.cfg.Parts)
		s.send(a, r.from)
	}
}

// expire stops a request whose deadline passed. It ran in part, so its outcome
// is unknown.
func (s *Server) expire(r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release(r) {
		s.stats.Expired++
		s.refuse(r.p, r.from, pb.Reason_REASON_DEADLINE, pb.Outcome_OUTCOME_UNKNOWN)
	}
}

func (s *Server) cancel(flow wire.Flow, p *pb.Packet) {
	for r := range s.work {
		if r.p.GetRequestId() == p.GetRequestId() && r.p.GetAttempt() == p.GetAttempt() && wire.FlowOf(r.p) == flow {
			r.timer.Stop()
			s.release(r)
			s.stats.Cancelled++
			s.refuse(r.p, r.from, pb.Reason_REASON_CANCELLED, pb.Outcome_OUTCOME_UNKNOWN)
		}
	}
}

// release frees the slot of a request and reports whether it was still held.
func (s *Server) release(r *running) bool {
	_, ok := s.work[r]
	delete(s.work, r)
	return ok
}
