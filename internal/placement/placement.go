// Package placement takes the publisher's decisions: it assigns the buckets of
// each service to servers, moves them in two steps, rebases moved buckets and
// publishes the view. See docs/design.md, sections 5 and 6. Types of this
// package are not safe for concurrent use.
package placement

import (
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// Config holds the fixed parameters of a publisher. Zero values mean the
// defaults.
type Config struct {
	Self            model.InstanceID
	DataCentre      model.DataCentre
	FlowIdleTimeout time.Duration
	// Epsilon is the tolerated excess over a server's fair share of open flows.
	Epsilon float64
	// MovesPerSecond limits the moves made to balance load and to ramp. Moves
	// away from draining, silent and removed servers are not limited.
	MovesPerSecond int
	// RampInterval is the shortest time between two doublings of the share of
	// a server in cold start.
	RampInterval time.Duration
	// RampAnswers is the number of good answers that a doubling needs.
	RampAnswers uint64
}

// Input is what the publisher knows when it decides.
type Input struct {
	// Catalog is nil when no configuration is known; only the view is then
	// published.
	Catalog *model.Catalog
	// View, Confirmations and UnplannedDeaths come from membership.
	View            []dcstate.Member
	Confirmations   []membership.Confirmation
	UnplannedDeaths []membership.Death
	// Newest is the newest state that a live instance has reported.
	Newest dcstate.Version
	// Reports are the merged server reports; nil means none.
	Reports *Reports
	// Empty lists the buckets that their owners reported as empty.
	Empty []EmptyBuckets
}

// EmptyBuckets lists the buckets of a service that Owner owns and for which it
// held no record when it had confirmed state Confirmed.
type EmptyBuckets struct {
	Owner     model.InstanceID
	Confirmed dcstate.Version
	Service   model.ServiceID
	Buckets   []uint32
}

// Event is a decision for the journal.
type Event struct {
	Service model.ServiceID
	Server  model.ServerID
	// Name is one of the Event constants; Cause says why.
	Name    string
	Cause   string
	Buckets int
}

// Publisher takes the publisher's decisions.
type Publisher struct {
	cfg Config
}

// NewPublisher returns a publisher that has published nothing.
func NewPublisher(cfg Config) *Publisher { return &Publisher{cfg: cfg} }

// Step returns the update that follows from the input, or nil when the state
// stays as it is. s is the newest state that the instance has applied; the
// caller applies the update to s and passes the result to the next call. A
// state that differs from that result is adopted.
func (p *Publisher) Step(now time.Time, in Input, s *dcstate.State) (*pb.StateUpdate, []Event) {
	return nil, nil
}

// Reports merges the server reports of the instances. Memory is 4 bytes per
// instance and server.
type Reports struct{}

// NewReports returns an empty merger.
func NewReports() *Reports { return &Reports{} }

// Add merges the reports of one heartbeat.
func (r *Reports) Add(now time.Time, from model.InstanceID, incarnation uint64, reports []*pb.ServerReport) {
}

// Retain drops the reports of instances that are not in the view and of
// servers that are not in the catalog.
func (r *Reports) Retain(view []dcstate.Member, servers map[model.ServerID]*model.BackendServer) {}

// OpenFlows returns the open flows of a server over all instances.
func (r *Reports) OpenFlows(server model.ServerID) int64 { return 0 }

// Condition returns the condition of a server on which enough instances agree.
func (r *Reports) Condition(now time.Time, server model.ServerID) pb.ServerCondition {
	return pb.ServerCondition_SERVER_CONDITION_UNSPECIFIED
}
