// Package membership decides which instances of a data centre are alive, which
// of them publishes the state, and whether this instance may take decisions.
// It exchanges heartbeats and acknowledgements; see docs/design.md, sections 5
// and 9. It is not safe for concurrent use.
package membership

import (
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// Config holds the fixed parameters of an instance's membership. Zero
// durations and counts mean the defaults below.
type Config struct {
	Self model.InstanceID
	// Incarnation differs between two runs of an instance; the later run has
	// the higher number unless the machine's clock was set back.
	Incarnation uint64
	// Started is the time at which this run started.
	Started time.Time

	HeartbeatInterval time.Duration
	Lease             time.Duration
	DeadAfter         time.Duration
	FlowIdleTimeout   time.Duration
	// FullMesh is the largest number of instances that all exchange
	// heartbeats with each other.
	FullMesh int
	// Successors is the number of instances, next to the publisher, that
	// receive heartbeats in larger data centres.
	Successors int
	// MaxReports is the largest number of server reports in one heartbeat.
	MaxReports int
}

// Local is what the instance says about itself in its heartbeats.
type Local struct {
	// Ready is set once the instance holds a configuration and serves.
	Ready bool
	// Confirmed is the newest state whose collected records are acknowledged
	// by their owners.
	Confirmed     dcstate.Version
	ConfigVersion uint64
	// Reports holds all servers known; the heartbeat carries the changed ones
	// first, up to MaxReports.
	Reports []*pb.ServerReport
	// Owned lists the buckets that this instance owns and has no records of.
	Owned []*pb.OwnedBuckets
	// InstancesOut lists the instances that operators marked out.
	InstancesOut map[model.InstanceID]bool
}

// Listed is an entry of the platform's instance list for this data centre.
type Listed struct {
	Instance model.InstanceID
	Leaving  bool
}

// Confirmation is what a member of the view last reported.
type Confirmation struct {
	Instance    model.InstanceID
	Incarnation uint64
	// Confirmed is the newest state that the member has applied and for which
	// its collected pins are acknowledged.
	Confirmed     dcstate.Version
	ConfigVersion uint64
	Uptime        time.Duration
	LastHeard     time.Time
}

// Death is the end of an instance that had not announced that it leaves.
type Death struct {
	Instance    model.InstanceID
	Incarnation uint64
	At          time.Time
}

// Membership is the membership state of one instance.
type Membership struct {
	cfg Config
}

// New returns the membership of an instance that has just started.
func New(cfg Config) *Membership { return &Membership{cfg: cfg} }

// Heartbeat handles a heartbeat. The publisher returns an acknowledgement.
func (m *Membership) Heartbeat(now time.Time, from model.InstanceID, incarnation uint64, h *pb.Heartbeat) []peer.Message {
	return nil
}

// HeartbeatAck handles an acknowledgement, which extends the lease. It may
// return a request for the state that the acknowledgement names.
func (m *Membership) HeartbeatAck(now time.Time, from model.InstanceID, a *pb.HeartbeatAck) []peer.Message {
	return nil
}

// Applied records that the instance has applied a state, its own or another
// publisher's.
func (m *Membership) Applied(now time.Time, s *dcstate.State) {}

// SetInstanceList replaces the platform's list of the instances of this data
// centre. The list seeds addresses and removes no live instance.
func (m *Membership) SetInstanceList(now time.Time, list []Listed) {}

// Tick returns the heartbeats that are due. It must be called at least once
// per HeartbeatInterval; a gap longer than the lease is taken for a freeze.
func (m *Membership) Tick(now time.Time, l Local) []peer.Message { return nil }

// Leave announces that the instance leaves.
func (m *Membership) Leave(now time.Time) []peer.Message { return nil }

// LeaveKnown reports whether the applied view shows this instance as leaving,
// so that no other instance chooses it any more.
func (m *Membership) LeaveKnown() bool { return false }

// Fenced reports whether the instance must not decide on unknown flows,
// openings, ownership or admission.
func (m *Membership) Fenced(now time.Time) bool { return true }

// Publishing reports whether this instance is to publish the state now.
func (m *Membership) Publishing(now time.Time) bool { return false }

// View returns the members to publish, sorted by instance. It is meaningful
// on the publisher.
func (m *Membership) View(now time.Time) []dcstate.Member { return nil }

// Confirmations returns what the members of View reported, in the same order.
func (m *Membership) Confirmations(now time.Time) []Confirmation { return nil }

// UnplannedDeaths returns the unplanned deaths of the last FlowIdleTimeout,
// oldest first.
func (m *Membership) UnplannedDeaths(now time.Time) []Death { return nil }

// KnownInstances returns the instances of the view, of the instance list and
// those heard from within DeadAfter, sorted.
func (m *Membership) KnownInstances(now time.Time) []model.InstanceID { return nil }

// Recipients returns the other instances to which the publisher sends state
// updates: the view and those that are joining.
func (m *Membership) Recipients(now time.Time) []model.InstanceID { return nil }

// Newest returns the newest state that a live instance has reported.
func (m *Membership) Newest(now time.Time) dcstate.Version { return dcstate.Version{} }
