package requests

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// Action is a decision for the caller of this package to carry out.
type Action interface{ action() }

// RequestGrant sends the request to the admitter of the server.
type RequestGrant struct {
	Server  model.ServerID
	Request *pb.GrantRequest
}

// ReleaseGrant sends the release to the admitter of the server.
type ReleaseGrant struct {
	Server  model.ServerID
	Release *pb.GrantRelease
}

// SendToServer sends one attempt. The deadline told to the server is the time
// left to Deadline.
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

// SendCancel withdraws an attempt from the server.
type SendCancel struct {
	Key
	Server  model.ServerID
	Attempt uint32
}

// ReplyToCaller sends one part of an answer (Kind ANSWER) or a refusal.
type ReplyToCaller struct {
	Key
	Kind          pb.Kind
	Part, Parts   uint32
	Payload       []byte
	Reason        pb.Reason
	Outcome       pb.Outcome
	CallerAttempt uint32
}

// Observe passes an observation to serverhealth.
type Observe struct {
	Key
	Server      model.ServerID
	Observation serverhealth.Observation
}

// RequestEnded says that a request that Start accepted is over.
type RequestEnded struct{ Key }

func (RequestGrant) action() {}

func (ReleaseGrant) action() {}

func (SendToServer) action() {}

func (SendCancel) action() {}

func (ReplyToCaller) action() {}

func (Observe) action() {}

func (RequestEnded) action() {}
