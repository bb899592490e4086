// Package faultmatrix drives entry instances in process, with a fake clock and
// seeded random choices, through every fault at every step, and checks the
// invariants I1 to I10 from outside; see docs/design.md, section 1.
package faultmatrix

import (
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Node is an entry instance under test.
type Instance interface {
	Handle(now time.Time, in any) []any
	// Version returns the configuration version in force; Lists returns its
	// content.
	Version() uint64
	Lists() (*pb.PlanList, *pb.Marks)
	// Publishing reports whether the instance publishes the state.
	Publishing(now time.Time) bool
}

// NodeSpec says which instance to start.
type InstanceSpec struct {
	ID          model.InstanceID
	DataCentre  model.DataCentre
	Address     netip.AddrPort
	Incarnation uint64
	Started     time.Time
	Seed        uint64
}

// Factory starts an instance.
type Factory func(InstanceSpec) Instance

// Inputs of a Node.
type (
	// Tick is given every tickInterval.
	Tick struct{}
	// CallerPacket comes from the fabric, or relayed from another instance.
	CallerPacket struct{ P *pb.Packet }
	// ServerPacket comes from a server on one of the instance's paths.
	ServerPacket struct {
		From netip.AddrPort
		Path int
		P    *pb.Packet
	}
	// PeerBatch comes from another instance.
	PeerBatch struct{ B *pb.PeerBatch }
	// StoreReply answers a StoreCall.
	StoreReply struct {
		Token   uint64
		Version uint64
		Value   []byte
		Err     error
	}
	// ListReply is the content of the instance list.
	ListReply struct{ Instances []*pb.ListedInstance }
	// HealthReply answers a HealthCall; Status is nil on failure.
	HealthReply struct {
		Server model.ServerID
		Status *pb.BackendStatusResponse
	}
	// Edit comes from an operator.
	Edit struct {
		Token   uint64
		Request *pb.EditRequest
	}
	// Leave starts a planned stop.
	Leave struct{}
)

// Outputs of a Node.
type (
	// ToCaller sends a packet to the caller that it names.
	ToCaller struct{ P *pb.Packet }
	// ToServer sends a packet to a server.
	ToServer struct {
		To   netip.AddrPort
		Path int
		P    *pb.Packet
	}
	// ToInstance relays a packet to an instance of another data centre.
	ToInstance struct {
		To netip.AddrPort
		P  *pb.Packet
	}
	// ReplacePath opens a new socket for a path of a server.
	ReplacePath struct {
		Server model.ServerID
		Path   int
	}
	// ToPeer sends control messages.
	ToPeer struct {
		To model.InstanceID
		B  *pb.PeerBatch
	}
	// StoreCall calls the object store; Wait is above 0 for a watch, and Put
	// is set for a write.
	StoreCall struct {
		Token     uint64
		Key       string
		Put       bool
		Value     []byte
		IfVersion *uint64
		After     uint64
		Wait      time.Duration
	}
	// HealthCall reads a server's health endpoint.
	HealthCall struct {
		Server  model.ServerID
		Address string
	}
	// EditReply answers an Edit.
	EditReply struct {
		Token   uint64
		Version uint64
		Err     error
	}
	// Stopped ends a planned stop.
	Stopped struct{}
)
