// Package gateway makes the decisions of an entry instance that forwards
// packets by token: which server a new flow goes to, where its later packets
// go, and when a flow is refused or reset. Its inputs are packets and events,
// each with the time; its outputs are verdicts and actions. It has no sockets,
// clocks or goroutines.
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

// Config holds the settings with which an instance starts.
type Config struct {
	DataCentre model.DataCentre
	// MaxStaleness is the age up to which the configuration and the registry
	// count as current; a refusal needs current information.
	MaxStaleness time.Duration
	// FlowLifetime is the age at which the platform may discard a flow.
	FlowLifetime time.Duration
	// ColdSlack is the number of openings per second that all instances
	// together may send to a cold server beyond what it states that it can
	// take.
	ColdSlack float64
	// Instances is the number of instances that share the openings at cold
	// servers, and Rank is this instance's position among them, from 0.
	Instances, Rank int
}

// Verdict is the decision on one packet.
type Verdict struct {
	Kind VerdictKind
	// Server and Token are set for Forward.
	Server *registry.Record
	Token  token.Token
	// Ack is the acknowledgement number that a reset has to match; set for
	// Reset.
	Ack    uint32
	Reason Reason
	// Version is the configuration version and Age the age of the information
	// behind the decision; both are set for refusals.
	Version int64
	Age     time.Duration
	// NewOpening is set for the first transmission of an opening.
	NewOpening bool
	// OpenTime is the time from the opening to its acceptance, and AnswerTime the
	// time from a request to the first sign of its answer; each is set if the
	// packet shows it.
	OpenTime, AnswerTime time.Duration
	// Late is set if the answer took longer than the route's objective.
	Late bool
	// Closed is set if the caller ended its half of the flow with this packet.
	Closed bool
	// Service is the flow's service, if known.
	Service string
	// RetransmitAfter is the time since the packet was first seen, if the
	// caller retransmitted it.
	RetransmitAfter time.Duration
}

// VerdictKind says what to do with a packet.
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
	// ReasonNone: the packet is forwarded normally.
	ReasonNone Reason = iota
	// NotLoaded: the configuration or the registry has not been loaded yet.
	NotLoaded
	// NotFresh: no route or server is known, but the information may be
	// outdated.
	NotFresh
	// NoRoute: the configuration in force has no route for the address.
	NoRoute
	// RouteRemoved: a newer configuration has no route for the flow's address.
	RouteRemoved
	// NoServer: the service has no server that takes new flows.
	NoServer
	// NoToken: the packet carries no token.
	NoToken
	// UnknownToken: no known server has the token.
	UnknownToken
	// WrongService: several servers have the token, and the route includes the
	// service of none of them.
	WrongService
	// ServerLost: the flow's server has restarted, was replaced or is not
	// reached.
	ServerLost
	// OpeningRerouted: a retransmitted opening went to another server than before.
	OpeningRerouted
	// Reasons is the number of reasons.
	Reasons = iota
)

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "not loaded", "not fresh", "no route", "route dropped", "no server", "no token",
		"unknown token", "wrong service", "server lost", "repeated"}[r]
}

// Core holds the state of one instance. Its methods may be called concurrently;
// mu guards all state and is the only lock.
type Core struct {
	mu  sync.Mutex
	cfg Config

	routes routing.Table
	// servers is this instance's copy of the platform's registry.
	servers   *registry.Registry
	withdrawn map[model.DataCentre]bool
	// returnedAt holds the time at which each data centre last came back into
	// service.
	returnedAt map[model.DataCentre]time.Time
	// confirmedAt holds, for each source, the time as of which its state is
	// known to be current.
	confirmedAt [source.NumKinds]time.Time
	// revisions holds, for each source, the store revision up to which its
	// changes have been applied.
	revisions [source.NumKinds]source.Revision
	changeLog feed.Log
	// lastExpiry is the time of the last removal of expired state.
	lastExpiry time.Time
	stopping   bool
	serving    readiness.Monitor
	// demand counts the recent requests for each service, with exponential
	// decay.
	demand map[string]float64

	serverStates map[*registry.Record]*serverState
	services     map[string]*serviceServers
	tokens       *token.Index[*serverState]
	flows        map[flow.Key]*trackedFlow
	unknownFlows unknownFlowTable
	recentFlows  recentFlowIndex

	// candidates and candidateServers are scratch space for choosing a server;
	// they have the same indexes.
	candidates       []selection.Candidate
	candidateServers []*serverState
	// suspects holds the servers that have left a caller's other flows
	// unanswered. It is scratch space, set when an opening is handled that has
	// no server yet.
	suspects []*serverState
}

// New returns the core of an instance that has no information yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:          cfg,
		servers:      registry.New(),
		demand:       map[string]float64{},
		withdrawn:    map[model.DataCentre]bool{},
		returnedAt:   map[model.DataCentre]time.Time{},
		serverStates: map[*registry.Record]*serverState{},
		services:     map[string]*serviceServers{},
		tokens:       token.NewIndex[*serverState](),
		flows:        map[flow.Key]*trackedFlow{},
		recentFlows:  recentFlowIndex{},
		unknownFlows: unknownFlowTable{flows: map[flow.Key]unknownFlow{}},
	}
}

// Ready reports whether the instance takes traffic: it has a configuration and
// the servers, reaches servers for most callers and has not been asked to stop.
func (c *Core) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded() && !c.stopping && c.serving.CanServe()
}

// Loaded reports whether the instance has a configuration and the servers.
func (c *Core) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded()
}

func (c *Core) loaded() bool { return c.routes.Current() != nil && c.servers.Loaded() }

// fresh reports whether the state of the source is known to be current within
// MaxStaleness.
func (c *Core) fresh(now time.Time, kind source.Kind) bool {
	return !c.confirmedAt[kind].IsZero() && now.Sub(c.confirmedAt[kind]) <= c.cfg.MaxStaleness
}

// FlowCount returns the number of flows that the instance tracks.
func (c *Core) FlowCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.flows)
}
