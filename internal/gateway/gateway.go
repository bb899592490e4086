// Package gateway makes the decisions of an instance that forwards the packets of
// callers' flows to backend servers on the users' platform: which server a new
// flow goes to, where its later packets go, and when a flow is refused or reset.
// Package entry does so for the product's own interface.
//
// A flow is a connection of a caller; its first packet is the opening, which
// the caller retransmits until a server accepts it. The instance writes a token
// into each packet that it forwards. The token names the server, the server
// returns it to the caller, and the caller's later packets carry it, so that
// any instance forwards them to the same server. The servers answer the callers
// directly, so the instance sees the callers' packets only.
//
// What an instance knows comes from three sources in the platform's store, read
// directly or through another instance that it follows: the operators'
// configuration, the registry of servers and the data centres withdrawn from
// service.
//
// The inputs of the package are packets and events, each with the time; its
// outputs are verdicts and actions. It has no sockets, clocks or goroutines.
package gateway

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cuminshift/internal/feed"
	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/readiness"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/selection"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
	"cuminshift/internal/withdrawal"
)

// Config holds the settings with which an instance starts.
type Config struct {
	DataCentre model.DataCentre
	// MaxStaleness is the age up to which the configuration and the registry
	// count as current. A flow is refused with a Reset only on the basis of
	// current information; with older information the packet is dropped, with
	// the reason NotFresh.
	MaxStaleness time.Duration
	// FlowLifetime is the age at which the platform may discard a flow.
	FlowLifetime time.Duration
	// ColdSlack is the number of openings per second, over all instances, by
	// which the rate that the configuration states for a cold server of a
	// service may be exceeded. A server is cold for a time after its start.
	ColdSlack float64
	// Instances is the number of instances that share the openings at cold
	// servers, and Rank is this instance's position among them, from 0.
	Instances, Rank int
	// LinkBandwidth is the bandwidth of the instance's link in bits per second; 0 if
	// unknown. Then no opening is refused because of the link.
	LinkBandwidth float64
}

// Verdict is the decision on one packet.
type Verdict struct {
	Kind VerdictKind
	// Server and Token are set for Forward.
	Server *registry.Entry
	Token  token.Token
	// Ack is the caller's acknowledgement number, set for Reset. The caller
	// accepts a reset only with this sequence number.
	Ack    uint32
	Reason Reason
	// Version is the configuration version and Age the age of the information
	// behind the decision; both are set for the reasons NotFresh, NoRoute,
	// RouteRemoved and NoServer.
	Version int64
	Age     time.Duration
	// NewOpening is set for the first transmission of an opening.
	NewOpening bool
	// OpenTime is the time from the opening to its acceptance; it is 0 unless
	// this is the first packet after the acceptance. AnswerTime is the time from
	// a request to the first acknowledgement of its answer; it is 0 unless this
	// packet has that acknowledgement.
	OpenTime, AnswerTime time.Duration
	// Late is set if the answer took longer than the route's objective.
	Late bool
	// Closed is set if the caller ended its half of the flow with this packet.
	Closed bool
	// Service is the flow's service; empty if unknown.
	Service string
	// RefusedByServer is set if this packet acknowledges an answer by which the server
	// refused a request.
	RefusedByServer bool
	// Spilled is set if the flow goes to another data centre because the servers of the
	// own one refuse requests.
	Spilled bool
	// RetransmitAfter is the time since the first transmission of the packet
	// arrived; 0 unless this packet is a retransmission.
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
	// ReasonNone: the packet is forwarded to the flow's server.
	ReasonNone Reason = iota
	// NotLoaded: the packet is dropped, because the configuration or the
	// registry has not been loaded yet.
	NotLoaded
	// NotFresh: the packet is dropped, because no route or server is known but
	// the information may be outdated.
	NotFresh
	// NoRoute: the opening is reset, because the configuration in force has no
	// route for the address.
	NoRoute
	// RouteRemoved: the flow is reset, because a newer configuration has no
	// route for its address.
	RouteRemoved
	// NoServer: the opening is reset, because no service of the route has a
	// server that takes new flows.
	NoServer
	// NoToken: the packet of an unknown flow is dropped, because it carries no
	// token.
	NoToken
	// UnknownToken: no known server has the token. The packet is dropped; the
	// flow is reset once a read of the registry shows that the server is gone.
	UnknownToken
	// AmbiguousToken: the packet is dropped, because its token is shared by several
	// servers and it is not known whose it is.
	AmbiguousToken
	// ServerLost: the flow is reset, because its server has restarted, was
	// replaced or is confirmed down.
	ServerLost
	// OpeningRerouted: a retransmitted opening is forwarded to another server
	// than the previous transmission.
	OpeningRerouted
	// LinkFull: the opening of a bulk flow is reset, because the instance's link has
	// no room for another transfer.
	LinkFull
	// Overloaded: the opening is reset, because the servers of its service refuse too
	// many requests and more urgent openings go first.
	Overloaded
	// TooSlow: the opening is reset, because its caller would give up before the servers
	// of its service answer.
	TooSlow
	// Reasons is the number of reasons.
	Reasons = iota
)

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "not loaded", "not fresh", "no route", "route dropped", "no server", "no token",
		"unknown token", "ambiguous token", "server lost", "repeated", "link full", "overloaded", "cannot answer in time"}[r]
}

// RefusesOpening reports whether the reason is one for which openings are reset although
// their service has a route.
func (r Reason) RefusesOpening() bool {
	return r == NoServer || r == LinkFull || r == Overloaded || r == TooSlow
}

// Core holds the state of one instance. Its methods may be called concurrently.
type Core struct {
	// mu guards all state and is the only lock.
	mu  sync.Mutex
	cfg Config

	routes routing.Table
	// servers is this instance's copy of the platform's registry.
	servers   *registry.Registry
	withdrawn *withdrawal.Set
	// confirmedAt holds, for each source, the time as of which the applied
	// state is known to be current.
	confirmedAt [source.NumKinds]time.Time
	// positions holds, for each source, the point in the store's history up to which
	// its changes have been applied.
	positions [source.NumKinds]source.Position
	changeLog feed.Log
	// lastExpiry is the time of the last removal of expired state.
	lastExpiry time.Time
	stopping   bool
	serving    readiness.Monitor
	// lost holds the data centres that the instance does not reach, as of the last
	// tick; evidence is scratch space for it.
	lost     map[model.DataCentre]bool
	evidence []readiness.ServerEvidence
	// demand counts the recent requests for each service, with exponential
	// decay.
	demand map[string]float64

	serverStates map[*registry.Record]*serverState
	services     map[string]*serviceServers
	// serviceLoads has an entry for each service and data centre with servers, and
	// answerSizes one for each service address with a route.
	serviceLoads map[serviceLoadKey]*serviceLoad
	answerSizes  map[serviceAddress]*routeAnswerSizes
	// serviceControls has an entry for each service with servers.
	serviceControls map[string]*serviceControl
	// mostUrgent is the most urgent priority of recent openings, and mostUrgentAt the
	// time of the last opening with it.
	mostUrgent   uint8
	mostUrgentAt time.Time
	tokens       *token.Index[*serverState]
	flows        map[flow.Key]*trackedFlow
	unknownFlows unknownFlowTable
	// refusedOpenings holds the openings that were refused because of the load.
	refusedOpenings refusedOpenings
	recentFlows     recentFlowIndex

	link linkUse

	// probeBudget limits the probes, and probesDeferred counts those that had to wait
	// for it.
	probeBudget    *rate.Limiter
	probesDeferred int64

	// candidates and candidateServers are scratch space for choosing a server;
	// they have the same indexes.
	candidates       []selection.Candidate
	candidateServers []*serverState
	// suspects holds the servers that have not answered other flows of a
	// caller. It is scratch space, emptied for each opening and filled for one
	// that has no server yet.
	suspects []*serverState
}

// New returns the core of an instance that has no information yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:             cfg,
		link:            newLinkUse(cfg.LinkBandwidth),
		probeBudget:     newProbeBudget(cfg.LinkBandwidth),
		servers:         registry.New(),
		demand:          map[string]float64{},
		withdrawn:       withdrawal.New(),
		serverStates:    map[*registry.Record]*serverState{},
		services:        map[string]*serviceServers{},
		serviceLoads:    map[serviceLoadKey]*serviceLoad{},
		serviceControls: map[string]*serviceControl{},
		answerSizes:     map[serviceAddress]*routeAnswerSizes{},
		tokens:          token.NewIndex[*serverState](),
		flows:           map[flow.Key]*trackedFlow{},
		recentFlows:     recentFlowIndex{},
		unknownFlows:    unknownFlowTable{flows: map[flow.Key]unknownFlow{}},
	}
}

// Ready reports whether the instance takes traffic: it is loaded, has not been
// requested to stop, and reaches servers of services that together received
// at least half of the recent requests.
func (c *Core) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded() && !c.stopping && c.serving.CanServe()
}

// Loaded reports whether the configuration and the registry have been read. The
// withdrawals are not needed to serve traffic.
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
