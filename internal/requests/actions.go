package requests

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// Action is a decision of the Coordinator that its user carries out.
type Action interface{ action() }

// RequestGrant sends Request to the admitter of the server.
type RequestGrant struct {
	Server       model.ServerID
	GrantRequest *pb.GrantRequest
}

// ReleaseGrant sends Release to the admitter of the server.
type ReleaseGrant struct {
	Server       model.ServerID
	GrantRelease *pb.GrantRelease
}

// SendToServer sends one attempt to the server. The packet carries the time that
// is left until Deadline.
type SendToServer struct {
	Key
	Server        model.ServerID
	Attempt       uint32
	Deadline      time.Time
	Idempotent    bool
	Priority      uint32
	CallerAttempt uint32
	Payload       []byte
}

// SendCancel cancels an attempt at the server.
type SendCancel struct {
	Key
	Server  model.ServerID
	Attempt uint32
}

// ReplyToCaller sends one part of an answer (KIND_ANSWER) or a refusal
// (KIND_REFUSAL) to the caller.
type ReplyToCaller struct {
	Key
	Kind pb.Kind
	// Part is the number of the part, from 0, out of Parts.
	Part, Parts   uint32
	Payload       []byte
	Reason        pb.Reason
	Outcome       pb.Outcome
	CallerAttempt uint32
}

// Observe passes an observation of the server to the serverhealth package.
type Observe struct {
	Key
	Server      model.ServerID
	Observation serverhealth.Observation
}

// RequestEnded reports the end of a request that Start began or refused.
type RequestEnded struct{ Key }

func (RequestGrant) action() {}

func (ReleaseGrant) action() {}

func (SendToServer) action() {}

func (SendCancel) action() {}

func (ReplyToCaller) action() {}

func (Observe) action() {}

func (RequestEnded) action() {}
