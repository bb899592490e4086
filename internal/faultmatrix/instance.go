// Package faultmatrix simulates entry instances in one process, with a fake
// clock and a seeded random generator. It injects every fault at every step and
// checks the invariants I1 to I10 of docs/design.md, section 1, by what callers and
// servers observe; the methods of observer say what each invariant requires. Other
// terms are those of package entry.
package faultmatrix

import (
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Instance is an entry instance under test.
type Instance interface {
	// Handle processes an input and returns the outputs that follow from it.
	Handle(now time.Time, in any) []any
	// Version returns the configuration version that the instance holds; Lists
	// returns its content.
	Version() uint64
	Lists() (*pb.PlanList, *pb.Marks)
	// StoredVersion returns the configuration version that a store with the given
	// objects holds.
	StoredVersion(object func(key string) []byte) (uint64, error)
	// Publishing reports whether the instance publishes the state of its data
	// centre.
	Publishing(now time.Time) bool
	// InUse returns the number of flows and requests that count as open: against
	// a limit, or as running.
	InUse() int
}

// InstanceSpec describes one start of an instance; a restart has another
// incarnation.
type InstanceSpec struct {
	ID          model.InstanceID
	DataCentre  model.DataCentre
	Address     netip.AddrPort
	Incarnation uint64
	Started     time.Time
	Seed        uint64
}

// Factory creates an instance.
type Factory func(InstanceSpec) Instance

// Inputs of an Instance.
type (
	// Tick is delivered every tickInterval.
	Tick struct{}
	// CallerPacket is a caller's packet from the fabric, or one that another
	// instance relayed.
	CallerPacket struct{ P *pb.Packet }
	// ServerPacket is a packet from a server on one of the instance's paths.
	ServerPacket struct {
		From netip.AddrPort
		Path int
		P    *pb.Packet
	}
	// PeerBatch holds control messages from another instance.
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
	// Edit is an operator's edit of the lists. Token identifies its EditReply.
	Edit struct {
		Token   uint64
		Request *pb.EditRequest
	}
	// Leave requests a planned stop.
	Leave struct{}
)

// Outputs of an Instance.
type (
	// ToCaller sends a packet to the caller whose address is in the packet.
	ToCaller struct{ P *pb.Packet }
	// ToServer sends a packet to a server on one of the instance's paths.
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
	// ReplacePath opens a new socket for a path to a server.
	ReplacePath struct {
		Server model.ServerID
		Path   int
	}
	// ToPeer sends control messages to another instance.
	ToPeer struct {
		To model.InstanceID
		B  *pb.PeerBatch
	}
	// StoreCall calls the object store. Put is set for a write, which fails if
	// IfVersion is set and the object has another version. A read with Wait above
	// 0 is a watch: it is answered when the version exceeds After or when Wait
	// ends. Token identifies the StoreReply.
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
	// Stopped reports the end of a planned stop.
	Stopped struct{}
)
