package steering

import (
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	// hintPace is the time over which hints are gathered into one message.
	hintPace = 100 * time.Millisecond
	// maxHintMembers bounds the members that get hints; with more of them, an
	// instance that asks costs less than telling all.
	maxHintMembers = 16
)

// hint notes a flow that was opened at the next server of an ACTIVE bucket.
// The owner tells the other instances in batches, 8 bytes per flow and
// instance, because each of them would otherwise ask for the flow's first
// packet: about 100 bytes with the frames of query and reply.
func (s *Steering) hint(k key, server model.ServerID) {
	if len(s.state.Members) <= maxHintMembers {
		s.hints.add(k, server)
	}
}

// sendHints sends the gathered hints as an unasked PinReply.
func (s *Steering) sendHints(now time.Time) {
	if len(s.hints.list) == 0 || now.Sub(s.hintedAt) < hintPace {
		return
	}
	s.hintedAt = now
	m := &pb.PeerMessage{Body: &pb.PeerMessage_PinReply{PinReply: &pb.PinReply{Pins: s.hints.list}}}
	s.hints = groups{}
	for _, member := range s.state.Members {
		if member.Instance != s.cfg.Self {
			s.send(member.Instance, m)
		}
	}
}

// takeHints pins the flows of an unasked PinReply that are not known here. The
// owner has their records.
func (s *Steering) takeHints(now time.Time, reply *pb.PinReply) {
	if s.state == nil || s.fenced(now) {
		return
	}
	for _, g := range reply.GetPins() {
		for _, f := range g.GetFlows() {
			k := key{Service: model.ServiceID(g.GetService()), Flow: model.FlowHash(f)}
			server := model.ServerID(g.GetServer())
			_, b, ok := s.bucketOf(k)
			if !ok || b.Phase == dcstate.Stable || !s.belongs(k.Service, server) || s.closed.has(k) {
				continue
			}
			if _, known := s.table.Peek(k.Service, k.Flow); known || s.waits[k] != nil || s.resolutions[k] != nil {
				continue
			}
			s.table.Pin(k.Service, k.Flow, flowtable.Pin{Server: server, Recorded: true}, now)
		}
	}
}
