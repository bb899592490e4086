// Package steering decides which backend server gets a packet: it keeps pins,
// the records of exceptional flows at bucket owners and backups, resolve
// queries and the handover of ownership (docs/design.md, sections 3 and 5).
//
// The package is pure: the time is an argument, and what must be sent is
// returned as actions. It is not safe for concurrent use. Packet workers look
// up known flows in the flow table directly and call Packet for unknown ones.
package steering

import (
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// Config holds what does not change while the instance runs.
type Config struct {
	Self model.InstanceID
	// Incarnation is the instance's start time in nanoseconds; message
	// sequences start from it, so that they differ between incarnations.
	Incarnation uint64
	// Belongs reports whether the server is configured for the service. A
	// packet is never forwarded to a server for which it returns false.
	Belongs func(model.ServiceID, model.ServerID) bool
	// Fenced reports whether the instance's lease has expired. A fenced
	// instance forwards pinned flows and decides nothing else.
	Fenced func(now time.Time) bool
	// FlowIdleTimeout ends flows without packets.
	FlowIdleTimeout time.Duration
	// HoldTimeout limits how long a packet waits for a resolve reply.
	HoldTimeout time.Duration
	// ResolveTimeout limits how long an owner waits for its peers' pins.
	ResolveTimeout time.Duration
	// RetryInterval is the time after which an unanswered message is repeated.
	RetryInterval time.Duration
	// OpeningRepeat is the longest time over which a caller repeats an opening.
	OpeningRepeat time.Duration
	// SettleAfter is the time after a bucket or the view changed in which late
	// reports of pins may still arrive at the owner.
	SettleAfter time.Duration
	// MaxHeld is the number of packets held at one time.
	MaxHeld int
}

// Packet is a packet from a caller whose flow is not known to be pinned.
type Packet struct {
	Service model.ServiceID
	Flow    model.FlowHash
	// Opening is set when the packet opens the flow.
	Opening bool
	// PlanVersion is the catalog version under which the plan was checked.
	PlanVersion uint64
	// Token stands for the packet, which the caller of Packet keeps until an
	// action names the token.
	Token uint64
}

// Action is one of Forward, Refuse, Drop, Send and Ended.
type Action interface{ action() }

// Forward passes the packet behind Token to Server.
type Forward struct {
	Token  uint64
	Server model.ServerID
}

// Refuse answers the opening behind Token with the outcome DID_NOT_RUN.
type Refuse struct {
	Token  uint64
	Reason pb.Reason
}

// Drop discards the non-opening packet behind Token.
type Drop struct {
	Token uint64
}

// Send passes a message to a peer.
type Send struct {
	Message peer.Message
}

// Ended reports that the pin of a flow expired for lack of packets.
type Ended struct {
	Service model.ServiceID
	Flow    model.FlowHash
	Server  model.ServerID
}

func (Forward) action() {}
func (Refuse) action()  {}
func (Drop) action()    {}
func (Send) action()    {}
func (Ended) action()   {}

// Steering is the steering state of one instance.
type Steering struct {
	cfg   Config
	table *flowtable.Table
	state *dcstate.State
}

// New returns a Steering that stores its pins in table. Zero durations and
// bounds in cfg get their defaults.
func New(cfg Config, table *flowtable.Table) *Steering {
	return &Steering{cfg: cfg, table: table}
}

// Packet decides about a packet, or holds it until its flow is resolved. Every
// token is named by exactly one Forward, Refuse or Drop, now or later.
func (s *Steering) Packet(now time.Time, p Packet) []Action { return nil }

// Answer learns from a packet of a server that the flow is at that server.
func (s *Steering) Answer(now time.Time, service model.ServiceID, flow model.FlowHash, server model.ServerID, planVersion uint64) []Action {
	return nil
}

// Close forgets a flow that was closed, or whose opening the server refused.
// It is called after the closing packet was forwarded.
func (s *Steering) Close(now time.Time, service model.ServiceID, flow model.FlowHash) []Action {
	return nil
}

// HandlePeer handles a RecordBatch, Ack, ResolveQuery, ResolveReply, PinQuery,
// PinReply or OwnershipHandover; it ignores other messages and returns nil.
// Acks of sequences that steering did not send are ignored.
func (s *Steering) HandlePeer(now time.Time, from model.InstanceID, m *pb.PeerMessage) []Action {
	return nil
}

// StateChanged adopts a newer state. died lists the instances that left the
// view without a planned leave since the state before it.
func (s *Steering) StateChanged(now time.Time, state *dcstate.State, died []model.InstanceID) []Action {
	return nil
}

// Tick repeats unanswered messages, enforces timeouts, sends batched records
// and expires pins and records. It is called every 5 to 50 ms.
func (s *Steering) Tick(now time.Time) []Action { return nil }

// Confirmed returns the version of the newest state whose collected records
// all have been acknowledged by their owners.
func (s *Steering) Confirmed() dcstate.Version { return dcstate.Version{} }

// EmptyBuckets returns the MIXED buckets that the instance owns and of which
// it is certain to hold all records, and holds none.
func (s *Steering) EmptyBuckets(now time.Time) []*pb.OwnedBuckets { return nil }

// StrayBuckets returns the STABLE buckets that the instance owns and has
// records of, such as after a partition; the publisher must make them MIXED.
func (s *Steering) StrayBuckets() map[model.ServiceID][]uint32 { return nil }

// Leave starts a planned leave: the instance reports its pins of questionable
// buckets, and hands over its records once the view shows it as leaving.
func (s *Steering) Leave(now time.Time) []Action { return nil }

// Left reports whether a planned leave is complete: everything handed over is
// acknowledged and no packet is held.
func (s *Steering) Left() bool { return false }
