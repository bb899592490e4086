// Package entry composes the decision packages into the one surface of an
// entry instance: events in, actions out. It has no sockets, timers or
// goroutines; the time comes with each event.
//
// Concurrency: Handle and the reports take the core's mutex. FastPathFromCaller
// and FastPathFromServer run in packet workers without it: they read an immutable
// snapshot.
package entry

import (
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
	// PathsPerServer is the number of local sockets towards each server.
	PathsPerServer = 4
	// maxHeldPackets bounds the packets that wait for a decision of another instance.
	maxHeldPackets = 16384
	// heldPacketTimeout drops a packet that waited for longer; the sender repeats it.
	heldPacketTimeout = time.Second
	journalCapacity   = 1024
)

// Config holds what an instance knows of itself at the start.
type Config struct {
	Self              model.InstanceID
	DataCentre        model.DataCentre
	Incarnation       uint64
	PeerAddress       string
	PacketAddress     netip.AddrPort
	Started           time.Time
	HeartbeatInterval time.Duration
	Lease             time.Duration
	DeadAfter         time.Duration
	// FlowIdleTimeout is the time without packets after which a flow that counts
	// against a limit no longer does.
	FlowIdleTimeout time.Duration
	Seed            uint64
}

// forwardingTable is what the packet workers read.
type forwardingTable struct {
	catalog          *model.Catalog
	dataCentreOut    bool
	serversByAddress map[netip.AddrPort]*model.BackendServer
}

// Core is the decision logic of one entry instance.
type Core struct {
	cfg        Config
	forwarding atomic.Pointer[forwardingTable]
	counts     counters
	pause      pauseDetector

	mu                sync.Mutex
	catalog           *model.Catalog
	state             *dcstate.State
	members           *membership.Membership
	steering          *steering.Steering
	health            *serverhealth.Health
	admitter          *admission.Admitter
	coordinator       *requests.Coordinator
	limits            *limits.Limits
	holder            *config.Holder
	journal           *journal.Journal
	burn              *burn.Book
	directory         directory
	summaries         map[model.DataCentre]*receivedSummary
	metrics           metrics.Registry
	latencyHistograms map[model.ServiceID]metrics.Histogram

	// heldPackets are packets that wait for the limits of another instance.
	heldPackets    map[uint64]*pendingPacket
	recentOpenings openingTable
	// runningRequests are the requests that the coordinator holds.
	runningRequests map[requests.Key]*runningRequest
	// countedFlows are the flows that this instance counts against a limit.
	countedFlows map[model.FlowID]*countedFlow
	// removedServers are servers that a newer configuration no longer has.
	removedServers map[model.ServerID]time.Time

	// lastHeard is when each instance last sent a batch.
	lastHeard map[model.InstanceID]time.Time
	// mergedReports are what heartbeats said of the servers, for the publisher.
	mergedReports *serverhealth.Merged
	// verdicts are what follows from them, for all instances.
	verdicts []*pb.ServerVerdict
	// inForceVersion is the configuration version that all members of the view hold.
	inForceVersion uint64
	// knownInstances are the instances that limits are shared with.
	knownInstances []model.InstanceID
	// coldSharers are the instances among which cold shares are split, since
	// sharingAt; see knownInstances.
	coldSharers      []model.InstanceID
	coldSharersSince time.Time

	// lastConfigProblem is the last problem of the holder that was recorded.
	lastConfigProblem error

	// relayCount counts relayed packets.
	relayCount                                                                                uint64
	nextSlowTick, nextSummary, nextHeldPacketScan, nextReports, nextIdleFlowScan, nextPublish time.Time
	// ownReports are the reports for the next heartbeat.
	ownReports []*pb.ServerReport

	fenced, leaving, stopping, stopped bool
	// handedOver is set once a planned leave has handed everything over.
	handedOver  bool
	lingerStart time.Time

	// actions collects the actions of the event being handled.
	actions []Action
	outbox  map[model.InstanceID][]*pb.PeerMessage
	// inbox holds messages to the instance itself.
	inbox []*pb.PeerMessage
}

// New returns the core of an instance that knows no configuration and no peer.
func New(cfg Config) *Core {
	c := &Core{
		cfg:               cfg,
		state:             dcstate.New(dcstate.Version{}, nil),
		steering:          steering.New(),
		health:            serverhealth.New(serverhealth.Config{}),
		limits:            limits.New(limits.Config{Self: cfg.Self}, cfg.Incarnation),
		holder:            config.NewHolder(config.HolderConfig{Self: cfg.Self, DataCentre: cfg.DataCentre, Rand: rand.New(rand.NewPCG(cfg.Seed, 1))}),
		journal:           journal.New(journalCapacity),
		burn:              burn.NewBook(),
		mergedReports:     serverhealth.NewMerged(),
		directory:         directory{},
		summaries:         map[model.DataCentre]*receivedSummary{},
		heldPackets:       map[uint64]*pendingPacket{},
		recentOpenings:    newOpeningTable(),
		countedFlows:      map[model.FlowID]*countedFlow{},
		removedServers:    map[model.ServerID]time.Time{},
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

// initComponents makes the parts that ask the core about its lease or its catalog.
func (c *Core) initComponents() {
	cfg := c.cfg
	c.members = membership.New(membership.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Started: cfg.Started,
		HeartbeatInterval: cfg.HeartbeatInterval, Lease: cfg.Lease, DeadAfter: cfg.DeadAfter,
	})
	c.coordinator = requests.New(requests.Config{Self: cfg.Self, Rand: rand.New(rand.NewPCG(cfg.Seed, 2))})
	c.admitter = admission.New(admission.Config{Self: cfg.Self, Fenced: c.members.Fenced, DeadAfter: cfg.DeadAfter}, cfg.Incarnation)
}

// Handle takes one event and returns the actions that follow from it.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(now, ev)
	c.sendServerNews()
	c.drainInbox(now)
	return c.takeActions()
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
		changed, messages := c.holder.StoreRoot(now, e.Value)
		c.applyConfig(now, changed, messages, "read from the store")
	case StoreShardsRead:
		changed, messages := c.holder.AddShards(now, e.Shards)
		c.applyConfig(now, changed, messages, "read from the store")
	case HealthStatusRead:
		c.health.Endpoint(now, e.Server, e.Status)
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
	// In order, so that equal events give equal actions.
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

// NextHop says where a packet of a known flow goes.
type NextHop struct {
	Server  model.ServerID
	Address netip.AddrPort
	Path    int
}

// FastPathFromCaller decides about a data packet of an open flow. It decodes into
// p and reports false for any other packet, which then goes to Handle.
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
	return NextHop{server.ID, server.Address, pathOf(p.Flow())}, true
}

// FastPathFromServer decides about a data packet from a server to the caller of an
// open flow, like FastPathFromCaller.
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

// permits reports whether the packet's address is one of the service in this
// data centre and its caller may use the service. Flows that count against a
// limit go through Handle, which notes that they are in use.
func (t *forwardingTable) permits(p *packet.Packet, service model.ServiceID) bool {
	site := t.catalog.Sites[p.Service]
	if site == nil || site.Service.ID != service {
		return false
	}
	use, ok := t.catalog.Allows(t.catalog.CallerOf(p.Caller.Addr()), service)
	return ok && use.ConcurrentFlows == 0
}

// pathOf spreads flows over the paths.
func pathOf(flow model.FlowHash) int {
	return int(uint64(flow) % PathsPerServer)
}
