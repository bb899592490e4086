// Package entry combines the decision packages into the core of an entry
// instance, which turns events into actions. The core has no sockets, timers or
// goroutines; the current time is passed with each event. It serves the protocol
// of package packet; package gateway is its counterpart for the users' platform.
//
// Callers send packets to the address of a service. The fabric, the network in
// front of the instances, delivers each packet to any instance of a data centre;
// a retransmission, called a copy, may arrive at another instance. The first packet
// of a flow is the opening, which goes to a server that package steering chooses.
// The later packets carry a token that names this server. A request is a packet of
// a flow with a request ID; the coordinator (package requests) runs it with a grant
// of the server's admitter (package admission) and assembles the answer. Openings
// and requests are checked before against the limits of the caller's plan (package
// limits).
//
// The instances of a data centre agree on a view, the list of live instances
// (package membership); the platform that runs them provides the instance list,
// which may lag. The catalog is the configuration version in use, which the replica
// (package config) obtains from the store or from other instances.
//
// Handle and the reports take the core's mutex. FastPathFromCaller and
// FastPathFromServer run in the packet workers without the mutex and read an
// immutable forwarding table.
package entry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"cuminshift/internal/admission"
	"cuminshift/internal/burn"
	"cuminshift/internal/config"
	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/journal"
	"cuminshift/internal/limits"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
	"cuminshift/internal/requests"
	"cuminshift/internal/serverhealth"
	"cuminshift/internal/steering"
)

const (
	// MaxDatagramSize is the largest datagram of a packet, in bytes.
	MaxDatagramSize = 16 << 10
	// PathsPerServer is the number of local sockets that send to each server.
	PathsPerServer = 4
	// maxHeldPackets bounds the packets that wait for the reply of another
	// instance to a limit request.
	maxHeldPackets = 16384
	// heldPacketTimeout is the wait after which a held packet is dropped; the
	// caller retransmits it.
	heldPacketTimeout = time.Second
	// journalCapacity is the number of entries that the decision journal keeps.
	journalCapacity = 1024
)

// Config holds the identity, addresses and timeouts of an instance.
type Config struct {
	Self       model.InstanceID
	DataCentre model.DataCentre
	// Incarnation identifies this run of the instance.
	Incarnation   uint64
	PeerAddress   string
	PacketAddress netip.AddrPort
	// Started is the time at which this run started.
	Started           time.Time
	HeartbeatInterval time.Duration
	// Lease is how long the instance may take decisions after an acknowledged
	// heartbeat.
	Lease time.Duration
	// DeadAfter is the time without heartbeats after which an instance counts
	// as dead.
	DeadAfter time.Duration
	// FlowIdleTimeout is the time without packets after which a flow no longer
	// counts against a concurrency limit.
	FlowIdleTimeout time.Duration
	// Seed is the seed of the random generators.
	Seed uint64
}

// forwardingTable is the immutable state that the packet workers read.
type forwardingTable struct {
	catalog *model.Catalog
	// dataCentreOut is set while this data centre is out of service.
	dataCentreOut bool
	// serversByAddress holds the servers of this data centre.
	serversByAddress map[netip.AddrPort]*model.BackendServer
}

// Core is the decision logic of one entry instance.
type Core struct {
	// cfg, forwarding, counts and the atomic fields of pause are used without the
	// mutex.
	cfg        Config
	forwarding atomic.Pointer[forwardingTable]
	counts     counters
	pause      pauseDetector

	mu                sync.Mutex
	catalog           *model.Catalog
	state             *dcstate.State
	members           *membership.Membership
	steering          *steering.Steering
	health            *serverhealth.Tracker
	admitter          *admission.Admitter
	coordinator       *requests.Coordinator
	limits            *limits.Limits
	replica           *config.Replica
	journal           *journal.Journal
	burn              *burn.Recorder
	directory         directory
	summaries         map[model.DataCentre]*receivedSummary
	metrics           metrics.Registry
	latencyHistograms map[model.ServiceID]metrics.Histogram

	// heldPackets holds the openings and requests that wait for the reply of
	// another instance to a limit request, by the ID of the limit request.
	heldPackets    map[uint64]*pendingPacket
	recentOpenings openingTable
	// runningRequests holds the requests that the coordinator runs.
	runningRequests map[requests.Key]*runningRequest
	// countedFlows holds the flows that this instance counts against a limit.
	countedFlows map[model.FlowID]*countedFlow
	// removedServers holds the servers that a newer configuration no longer
	// contains, with the time of their removal.
	removedServers map[model.ServerID]time.Time
	unknownTokens  unknownTokenTable

	// lastHeard is when the last batch of each instance arrived.
	lastHeard map[model.InstanceID]time.Time
	// mergedReports merges the server reports in the heartbeats of all
	// instances, from which the publisher derives the verdicts.
	mergedReports *serverhealth.MergedReports
	// verdicts are the server conditions that the publisher derives from the
	// merged reports and sends to all instances.
	verdicts []*pb.ServerVerdict
	// inForceVersion is the newest configuration version that all members of
	// the view hold, as the publisher knows it; 0 at all other instances.
	inForceVersion uint64
	// knownInstances are the instances among which the limits are divided.
	knownInstances []model.InstanceID
	// coldSharers are the instances among which the openings at a cold server
	// are divided, and coldSharersSince is when this list was last updated; see
	// coldStartShare.
	coldSharers      []model.InstanceID
	coldSharersSince time.Time

	// lastConfigProblem is the latest configuration problem in the journal.
	lastConfigProblem error

	// relayCount numbers the packets to relay, so that successive packets go
	// to different instances.
	relayCount uint64

	nextSlowTick, nextSummary, nextHeldPacketScan, nextReports, nextIdleFlowScan, nextPublish time.Time
	// ownReports are this instance's server reports for the next heartbeat.
	ownReports []*pb.ServerReport

	// fenced is whether the instance was fenced, that is without the right to
	// take decisions, when the journal last recorded it. leaving is set once the
	// instance has announced its leave, stopping once a planned stop was
	// requested, and stopped once the stop is complete.
	fenced, leaving, stopping, stopped bool
	// handedOver is set once a planned stop has completed all handovers, and
	// lingerStart is the time at which that happened.
	handedOver  bool
	lingerStart time.Time

	// actions collects the actions of the event being handled.
	actions []Action
	// outbox collects the control messages to other instances during an event.
	outbox map[model.InstanceID][]*pb.PeerMessage
	// inbox holds control messages from this instance to itself.
	inbox []*pb.PeerMessage
}

// New returns the core of an instance that has no configuration and knows no
// peer.
func New(cfg Config) *Core {
	c := &Core{
		cfg:               cfg,
		state:             dcstate.New(dcstate.Version{}, nil),
		steering:          steering.New(),
		health:            serverhealth.New(serverhealth.Config{}),
		limits:            limits.New(limits.Config{Self: cfg.Self}, cfg.Incarnation),
		replica:           config.NewReplica(config.ReplicaConfig{Self: cfg.Self, DataCentre: cfg.DataCentre, Rand: rand.New(rand.NewPCG(cfg.Seed, 1))}),
		journal:           journal.New(journalCapacity),
		burn:              burn.NewRecorder(),
		mergedReports:     serverhealth.NewMergedReports(),
		directory:         directory{},
		summaries:         map[model.DataCentre]*receivedSummary{},
		heldPackets:       map[uint64]*pendingPacket{},
		recentOpenings:    newOpeningTable(),
		countedFlows:      map[model.FlowID]*countedFlow{},
		removedServers:    map[model.ServerID]time.Time{},
		unknownTokens:     unknownTokenTable{},
		runningRequests:   map[requests.Key]*runningRequest{},
		outbox:            map[model.InstanceID][]*pb.PeerMessage{},
		lastHeard:         map[model.InstanceID]time.Time{},
		metrics:           metrics.NewRegistry(),
		latencyHistograms: map[model.ServiceID]metrics.Histogram{},
	}
	c.pause.lastTick.Store(cfg.Started.UnixNano())
	c.initComponents()
	c.forwarding.Store(&forwardingTable{})
	return c
}

// initComponents creates the membership, the request coordinator and the admitter.
// The admitter checks through the membership whether the instance is fenced.
func (c *Core) initComponents() {
	cfg := c.cfg
	c.members = membership.New(membership.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Started: cfg.Started,
		HeartbeatInterval: cfg.HeartbeatInterval, Lease: cfg.Lease, DeadAfter: cfg.DeadAfter,
	})
	c.coordinator = requests.New(requests.Config{Self: cfg.Self, Rand: rand.New(rand.NewPCG(cfg.Seed, 2))})
	c.admitter = admission.New(admission.Config{Self: cfg.Self, Fenced: c.members.Fenced, DeadAfter: cfg.DeadAfter}, cfg.Incarnation)
}

// Handle processes one event and returns the resulting actions.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(now, ev)
	c.notifyWorsenedServers()
	c.drainInbox(now)
	return c.takeActions()
}

// InUse returns the number of flows and requests that count as open: those under a
// concurrency limit, and the requests that this instance runs.
func (c *Core) InUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.InUse() + len(c.runningRequests)
}

func (c *Core) dispatch(now time.Time, ev Event) {
	switch e := ev.(type) {
	case CallerPacket:
		c.handleCallerPacket(now, e.Data)
	case ServerPacket:
		c.handleServerPacket(now, e)
	case PeerBatch:
		c.handlePeerBatch(now, e.Batch)
	case Tick:
		c.tick(now)
	case InstanceListRead:
		c.handleInstanceList(now, e.Instances)
	case StoreRootRead:
		changed, messages := c.replica.HandleStoreRoot(now, e.Value)
		c.applyConfig(now, changed, messages, "read from the store")
		if rewrite := c.replica.RewriteFor(e.Value); rewrite != nil {
			c.journal.Add(now, "config", "store has lost the configuration, writing it again", fmt.Sprintf("version %d", rewrite.Version))
			c.emit(RewriteStore{Rewrite: *rewrite, IfVersion: e.ObjectVersion})
		}
	case StoreShardsRead:
		changed, messages := c.replica.AddShards(now, e.Shards)
		c.applyConfig(now, changed, messages, "read from the store")
	case HealthStatusRead:
		c.health.ObserveEndpoint(now, e.Server, e.Status)
	case LeaveRequested:
		c.stopping = true
		c.startLeave(now, "planned stop")
	}
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

// takeActions returns the collected actions, with one batch for each peer.
func (c *Core) takeActions() []Action {
	// Sorted, so that equal sequences of events give equal sequences of actions.
	for _, to := range slices.Sorted(maps.Keys(c.outbox)) {
		messages := c.outbox[to]
		delete(c.outbox, to)
		address, ok := c.directory.peerAddress(to)
		if !ok {
			c.counts.add(countNoPeerAddress)
			continue
		}
		batch := &pb.PeerBatch{From: string(c.cfg.Self), Incarnation: c.cfg.Incarnation, Messages: messages}
		if hasHeartbeat(messages) {
			batch.Address, batch.DataCentre = c.cfg.PeerAddress, string(c.cfg.DataCentre)
		}
		c.emit(SendToPeer{To: to, Address: address, Batch: batch})
	}
	actions := c.actions
	c.actions = nil
	return actions
}

func hasHeartbeat(messages []*pb.PeerMessage) bool {
	for _, m := range messages {
		if m.GetHeartbeat() != nil {
			return true
		}
	}
	return false
}

// NextHop is the server, address and path to which a packet is forwarded.
type NextHop struct {
	Server  model.ServerID
	Address netip.AddrPort
	Path    int
}

// FastPathFromCaller returns the next hop of a data packet of an open flow. It
// decodes data into p. It reports false for a packet that it cannot forward,
// which must then go to Handle.
func (c *Core) FastPathFromCaller(now time.Time, p *packet.Packet, data []byte) (NextHop, bool) {
	if err := p.Decode(data); err != nil || p.Kind != pb.Kind_KIND_DATA {
		return NextHop{}, false
	}
	table := c.forwarding.Load()
	if table.catalog == nil || table.dataCentreOut || c.stale(now) {
		return NextHop{}, false
	}
	server := table.catalog.Servers[p.Token]
	if server == nil || server.DataCentre != c.cfg.DataCentre || !table.permits(p, server.Service) {
		return NextHop{}, false
	}
	c.counts.add(countFastCaller)
	return NextHop{server.ID, server.Address, pathOf(p.FlowHash())}, true
}

// FastPathFromServer returns the address of the caller to which a data packet
// from a server is forwarded. It decodes data into p. It reports false for a
// packet that it cannot forward, which must then go to Handle.
func (c *Core) FastPathFromServer(p *packet.Packet, from netip.AddrPort, data []byte) (netip.AddrPort, bool) {
	if err := p.Decode(data); err != nil || p.Kind != pb.Kind_KIND_DATA {
		return netip.AddrPort{}, false
	}
	table := c.forwarding.Load()
	server := table.serversByAddress[from]
	if server == nil || table.dataCentreOut || !table.permits(p, server.Service) {
		return netip.AddrPort{}, false
	}
	c.counts.add(countFastServer)
	return p.Caller, true
}

// permits reports whether the packet may take the fast path: its service
// address belongs to the service, and its caller may use the service without a
// limit on concurrent flows. Flows that count against such a limit go through
// Handle, which records when they were last used.
func (t *forwardingTable) permits(p *packet.Packet, service model.ServiceID) bool {
	site := t.catalog.Sites[p.Service]
	if site == nil || site.Service.ID != service {
		return false
	}
	use, ok := t.catalog.AllowedUse(t.catalog.CallerOf(p.Caller.Addr()), service)
	return ok && use.ConcurrentFlows == 0
}

// pathOf returns the path of a flow, an index below PathsPerServer. Flows are
// spread evenly over the paths by their hash.
func pathOf(flow model.FlowHash) int {
	return int(uint64(flow) % PathsPerServer)
}
