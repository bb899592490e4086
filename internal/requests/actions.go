package requests

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// Action is a decision of the Coordinator that the code that uses it carries out. It
// is one of the following types.
type Action interface{ action() }

// RequestGrant is the action to send GrantRequest to the admitter of Server.
type RequestGrant struct {
	Server       model.ServerID
	GrantRequest *pb.GrantRequest
}

// ReleaseGrant is the action to send GrantRelease to the admitter of Server.
type ReleaseGrant struct {
	Server       model.ServerID
	GrantRelease *pb.GrantRelease
}

// SendToServer is the action to send one attempt to Server. The packet carries the
// time that is left until Deadline.
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

// SendCancel is the action to cancel an attempt at Server.
type SendCancel struct {
	Key
	Server  model.ServerID
	Attempt uint32
}

// ReplyToCaller is the action to send one part of an answer (KIND_ANSWER) or a
// refusal (KIND_REFUSAL) to the caller.
type ReplyToCaller struct {
	Key
	Kind pb.Kind
	// Part is the number of the part, from 0, out of Parts.
	Part, Parts uint32
	Payload     []byte
	Reason      pb.Reason
	Outcome     pb.Outcome
	// CallerAttempt is set in a refusal: the CallerAttempt of the transmission
	// that began the request at this instance.
	CallerAttempt uint32
}

// Observe is the action to pass an observation of Server to the serverhealth package.
type Observe struct {
	Key
	Server      model.ServerID
	Observation serverhealth.Observation
}

// RequestEnded means that a request that Start began has ended, or that Start has
// refused it or repeated its stored answer. A retransmission that joined another
// request has no RequestEnded of its own.
type RequestEnded struct{ Key }

func (RequestGrant) action() {}

func (ReleaseGrant) action() {}

func (SendToServer) action() {}

func (SendCancel) action() {}

func (ReplyToCaller) action() {}

func (Observe) action() {}

func (RequestEnded) action() {}
