package requests_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cuminshift/internal/admission"
	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/requests"
	"cuminshift/internal/serverhealth"
)

// instance connects the packages requests, admission and serverhealth in the way
// an entry instance does.
type instance struct {
	sim            *sim
	id             model.InstanceID
	incarnation    uint64
	dead           bool
	leaving        bool
	suspendedUntil time.Time
	// lastHeard is the time of the last heartbeat that the publisher received.
	lastHeard     time.Time
	state         *dcstate.State
	coordinator   *requests.Coordinator
	admitter      *admission.Admitter
	health        *serverhealth.Tracker
	lastCondition map[model.ServerID]serverhealth.Condition
}

func (in *instance) fenced(now time.Time) bool {
	return in.state == nil || now.Sub(in.lastHeard) > lease
}

func (in *instance) apply(state *dcstate.State) {
	if in.state != nil && !in.state.Version.Less(state.Version) {
		return
	}
	old, now := in.state, in.sim.now
	in.state = state
	if in.sim.published == state {
		in.lastHeard = now
	}
	in.send(in.admitter.StateChanged(now, old, state, func(id model.ServerID) []*pb.OutstandingGrant { return in.coordinator.HeldGrants(now, id) }))
	in.perform(in.coordinator.StateChanged(now, old, state))
}

func (in *instance) send(messages []peer.Message) {
	s := in.sim
	for _, m := range messages {
		to, body, delay := s.liveInstance(m.To), proto.Clone(m.Body).(*pb.PeerMessage), s.randomMillis(0, 20)
		if m.To == in.id {
			delay = 0
		} else if s.chance(s.loss) {
			continue
		}
		if to == nil {
			continue
		}
		s.deliver(to, delay, func() {
			if r := body.GetGrantReply(); r != nil {
				to.perform(to.coordinator.HandleGrantReply(s.now, r))
				return
			}
			to.send(to.admitter.HandlePeer(s.now, in.id, body))
		})
	}
}

func (in *instance) observeConditions() {
	for id := range in.sim.backends {
		if c := in.health.RecentCondition(in.sim.now, id); c != in.lastCondition[id] {
			in.lastCondition[id] = c
			in.send(in.admitter.Observe(in.sim.now, id, c))
		}
	}
}

func (in *instance) perform(actions []requests.Action) {
	s := in.sim
	for _, a := range actions {
		switch a := a.(type) {
		case requests.RequestGrant:
			in.sendToAdmitter(a.Server, &pb.PeerMessage{Body: &pb.PeerMessage_GrantRequest{GrantRequest: a.GrantRequest}})
		case requests.ReleaseGrant:
			in.sendToAdmitter(a.Server, &pb.PeerMessage{Body: &pb.PeerMessage_GrantRelease{GrantRelease: a.GrantRelease}})
		case requests.SendToServer:
			left := a.Deadline.Sub(s.now)
			if !s.chance(s.loss) {
				s.after(s.randomMillis(0, 20), func() { s.serveAttempt(in, a, left) })
			}
		case requests.SendCancel:
			if !s.chance(s.loss) {
				s.after(s.randomMillis(0, 20), func() { s.cancelAttempt(in, a) })
			}
		case requests.Observe:
			in.health.Observe(s.now, a.Server, 0, a.Observation)
		case requests.ReplyToCaller:
			s.checkReply(a)
		}
	}
}

func (in *instance) sendToAdmitter(id model.ServerID, body *pb.PeerMessage) {
	if in.state != nil {
		in.send([]peer.Message{{To: in.state.Admitter(id), Body: body}})
	}
}
