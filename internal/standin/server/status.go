package server

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// sampleInterval is the resolution of StatusLag.
const sampleInterval = 50 * time.Millisecond

// snapshot is the true status at a time.
type snapshot struct {
	at     time.Time
	status *pb.BackendStatusResponse
}

var lies = map[string]pb.BackendStatusResponse_State{
	"ready":    pb.BackendStatusResponse_STATE_READY,
	"cold":     pb.BackendStatusResponse_STATE_COLD,
	"draining": pb.BackendStatusResponse_STATE_DRAINING,
	"down":     pb.BackendStatusResponse_STATE_DOWN,
}

// sampleLoop records the status for lagging reports.
func (s *Server) sampleLoop(ctx context.Context) {
	if s.cfg.StatusLag <= 0 {
		return
	}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.mu.Lock()
			s.history = append(s.history, snapshot{now, s.status()})
			for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.cfg.StatusLag {
				s.history = s.history[1:]
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) status() *pb.BackendStatusResponse {
	state := pb.BackendStatusResponse_STATE_READY
	switch {
	case s.sw.Drain:
		state = pb.BackendStatusResponse_STATE_DRAINING
	case s.cold:
		state = pb.BackendStatusResponse_STATE_COLD
	}
	return &pb.BackendStatusResponse{State: state, BusySlots: uint32(len(s.work)), OpenFlows: uint32(len(s.flows))}
}

// Status implements the BackendStatus handler.
func (s *Server) Status(context.Context, *connect.Request[pb.BackendStatusRequest]) (*connect.Response[pb.BackendStatusResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sw.StatusDown {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("status endpoint is down"))
	}
	st := s.status()
	if s.cfg.StatusLag > 0 && len(s.history) > 0 {
		old := s.history[0].status
		st = &pb.BackendStatusResponse{State: old.State, BusySlots: old.BusySlots, OpenFlows: old.OpenFlows}
	}
	if lie, ok := lies[s.sw.Lie]; ok {
		st.State = lie
	}
	return connect.NewResponse(st), nil
}
