package server

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// sampleInterval is the interval at which the status is recorded, and thereby
// the resolution of StatusLag.
const sampleInterval = 50 * time.Millisecond

// statusSample is the actual status at a point in time.
type statusSample struct {
	at     time.Time
	status *pb.BackendStatusResponse
}

// reportableStates maps the values of Switches.ReportedState.
var reportableStates = map[string]pb.BackendStatusResponse_State{
	"ready":    pb.BackendStatusResponse_STATE_READY,
	"cold":     pb.BackendStatusResponse_STATE_COLD,
	"draining": pb.BackendStatusResponse_STATE_DRAINING,
	"down":     pb.BackendStatusResponse_STATE_DOWN,
}

// sampleLoop records the status so that Status can report an old one. It does
// nothing without StatusLag.
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
			s.statusHistory = append(s.statusHistory, statusSample{now, s.currentStatus()})
			for len(s.statusHistory) > 1 && now.Sub(s.statusHistory[1].at) >= s.cfg.StatusLag {
				s.statusHistory = s.statusHistory[1:]
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) currentStatus() *pb.BackendStatusResponse {
	state := pb.BackendStatusResponse_STATE_READY
	switch {
	case s.switches.Drain:
		state = pb.BackendStatusResponse_STATE_DRAINING
	case s.cold:
		state = pb.BackendStatusResponse_STATE_COLD
	}
	return &pb.BackendStatusResponse{State: state, BusySlots: uint32(len(s.inFlight)), OpenFlows: uint32(len(s.flows))}
}

// Status implements the BackendStatus handler. The reported status may be old
// (StatusLag) or false (Switches.ReportedState).
func (s *Server) Status(context.Context, *connect.Request[pb.BackendStatusRequest]) (*connect.Response[pb.BackendStatusResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.StatusDown {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("status endpoint is down"))
	}
	status := s.currentStatus()
	if s.cfg.StatusLag > 0 && len(s.statusHistory) > 0 {
		old := s.statusHistory[0].status
		status = &pb.BackendStatusResponse{State: old.State, BusySlots: old.BusySlots, OpenFlows: old.OpenFlows}
	}
	if reported, ok := reportableStates[s.switches.ReportedState]; ok {
		status.State = reported
	}
	return connect.NewResponse(status), nil
}
