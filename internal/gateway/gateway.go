// Package gateway composes the decisions of an entry instance that steers by
// token: which server a new flow goes to, where its later packets go, and when
// a flow is refused or given up. Packets and events come in with the time;
// verdicts and actions go out. It has no sockets, clocks or goroutines.
package gateway

import (
	"sync"
	"time"

	"cuminshift/internal/feed"
	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/readiness"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/selection"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
)

// Config is what an instance knows at its start.
type Config struct {
	DataCentre model.DataCentre
	// FreshFor is the age up to which the configuration and the registry
	// count as current: a refusal needs current knowledge.
	FreshFor time.Duration
	// FlowLifetime is the age at which the platform may discard a flow.
	FlowLifetime time.Duration
	// ColdSlack is the number of openings a second that a cold server takes
	// from all instances together beyond what it says it bears.
	ColdSlack float64
	// Instances is the number of instances to share cold servers among, and
	// Rank this instance's place among them, from 0.
	Instances, Rank int
}

// Verdict is the decision about one packet.
type Verdict struct {
	Kind VerdictKind
	// Server and Token are set for Forward.
	Server *registry.Record
	Token  token.Token
	// Ack is the acknowledgement that a reset has to match, for Reset.
	Ack    uint32
	Reason Reason
	// Version and Age are the configuration's version and the age of the
	// knowledge that decided, for refusals.
	Version int64
	Age     time.Duration
	// Opening is set for the first copy of an opening.
	Opening bool
	// Opened is the time from the opening to its acceptance, Answered that
	// from a request to the first sign of its answer, where the packet shows
	// them.
	Opened, Answered time.Duration
	// Late: the answer took longer than its route's objective.
	Late bool
	// Closed: the caller ended the flow.
	Closed bool
	// Service of the flow, where it is known.
	Service string
	// RepeatAfter is the time since the first copy of a packet that the caller
	// repeats.
	RepeatAfter time.Duration
}

// VerdictKind says what is done with a packet.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Drop VerdictKind = iota
	Forward
	Reset
)

// String returns the name used in logs.
func (k VerdictKind) String() string { return [...]string{"drop", "forward", "reset"}[k] }

// Reason is the cause of a verdict or of a reset.
type Reason uint8

// Reasons.
const (
	// ReasonNone: the packet is forwarded as usual.
	ReasonNone Reason = iota
	// NotLoaded: the configuration or the registry is not known yet.
	NotLoaded
	// NotFresh: no route or server is known, but the knowledge may be old.
	NotFresh
	// NoRoute: no route to the address is in force.
	NoRoute
	// RouteDropped: a newer configuration has no route to the address.
	RouteDropped
	// NoServer: the service has no server that takes new flows.
	NoServer
	// NoToken: the packet names no server.
	NoToken
	// UnknownToken: no server known here has the token.
	UnknownToken
	// WrongService: the token names a server that the route never led to.
	WrongService
	// ServerLost: the flow's server ended or is not reached.
	ServerLost
	// Repeated: a copy of an opening went to another server.
	Repeated
	// Reasons is the number of reasons.
	Reasons = iota
)

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "not loaded", "not fresh", "no route", "route dropped", "no server", "no token",
		"unknown token", "wrong service", "server lost", "repeated"}[r]
}

// Core holds the state of one instance. Its methods may be called from several
// goroutines; mu guards all state and is the only lock.
type Core struct {
	mu  sync.Mutex
	cfg Config

	routes    routing.Table
	servers   *registry.Registry
	withdrawn map[model.DataCentre]bool
	// returnedAt is the time at which a data centre came back into service.
	returnedAt map[model.DataCentre]time.Time
	// confirmed holds the times up to which each source is known to be current.
	confirmed [source.NumKinds]time.Time
	// revisions are the store's revisions up to which each source was taken.
	revisions [source.NumKinds]source.Revision
	log       feed.Log
	// cleaned is the time of the last search for what has expired.
	cleaned  time.Time
	stopping bool
	able     readiness.Judge
	// demand counts the recent requests for each service.
	demand map[string]float64

	backends map[*registry.Record]*backend
	services map[string]*serviceBackends
	tokens   *token.Index[*backend]
	flows    map[flow.Key]*tracked
	unknown  unknownFlows
	recent   recentFlows

	// candidates and choices are scratch space of choose.
	candidates []selection.Candidate
	choices    []*backend
	// doubted are the servers that speak against themselves by the caller's
	// other flows; it is set for one opening.
	doubted []*backend
}

// New returns the core of an instance that knows nothing yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:        cfg,
		servers:    registry.New(),
		demand:     map[string]float64{},
		withdrawn:  map[model.DataCentre]bool{},
		returnedAt: map[model.DataCentre]time.Time{},
		backends:   map[*registry.Record]*backend{},
		services:   map[string]*serviceBackends{},
		tokens:     token.NewIndex[*backend](),
		flows:      map[flow.Key]*tracked{},
		recent:     recentFlows{},
		unknown:    unknownFlows{flows: map[flow.Key]unknownFlow{}},
	}
}

// Ready reports whether the instance takes traffic: it knows a configuration
// and the servers, reaches servers for most callers and is not about to stop.
func (c *Core) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded() && !c.stopping && c.able.Able()
}

// Loaded reports whether the instance knows a configuration and the servers.
func (c *Core) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded()
}

func (c *Core) loaded() bool { return c.routes.Current() != nil && c.servers.Loaded() }

func (c *Core) fresh(now time.Time, s source.Kind) bool {
	return !c.confirmed[s].IsZero() && now.Sub(c.confirmed[s]) <= c.cfg.FreshFor
}

// Flows returns the number of flows that the instance tracks.
func (c *Core) Flows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.flows)
}
