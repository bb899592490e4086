// Package entry composes the decision packages into the one surface of an
// entry instance: events in, actions out. It has no sockets, timers or
// goroutines; the time comes with each event.
//
// Concurrency: Handle and the reports take the core's mutex. FastFromCaller
// and FastFromServer run in packet workers without it: they read an immutable
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
	// MaxDatagram is the largest datagram of a packet, in bytes.
	MaxDatagram = 16 << 10
	// PathsPerServer is the number of local sockets towards each server.
	PathsPerServer = 4
	// maxHeld bounds the packets that wait for a decision of another instance.
	maxHeld = 16384
	// heldTimeout drops a packet that waited for longer; the sender repeats it.
	heldTimeout    = time.Second
	journalEntries = 1024
)

// Config holds what an instance knows of itself at the start.
type Config struct {
	Self          model.InstanceID
	DataCentre    model.DataCentre
	Incarnation   uint64
	PeerAddress   string
	PacketAddress netip.AddrPort
	Started       time.Time
	Heartbeat     time.Duration
	Lease         time.Duration
	DeadAfter     time.Duration
	// FlowIdle is the time without packets after which a flow that counts
	// against a limit no longer does.
	FlowIdle time.Duration
	Seed     uint64
}

// snapshot is what the packet workers read.
type snapshot struct {
	catalog *model.Catalog
	out     bool
	servers map[netip.AddrPort]*model.BackendServer
}

// Core is the decision logic of one entry instance.
type Core struct {
	cfg    Config
	fast   atomic.Pointer[snapshot]
	counts counters
	pause  pauseGuard

	mu          sync.Mutex
	catalog     *model.Catalog
	state       *dcstate.State
	members     *membership.Membership
	steering    *steering.Steering
	health      *serverhealth.Health
	admitter    *admission.Admitter
	coordinator *requests.Coordinator
	limits      *limits.Limits
	holder      *config.Replica
	journal     *journal.Journal
	burn        *burn.Book
	directory   directory
	summaries   map[model.DataCentre]*summary
	metrics     metrics.Registry
	latency     map[model.ServiceID]metrics.Histogram

	// held are packets that wait for the limits of another instance.
	held     map[uint64]*heldPacket
	openings openings
	// running are the requests that the coordinator holds.
	running map[requests.Key]*runningRequest
	// counted are the flows that this instance counts against a limit.
	counted map[model.FlowID]*countedFlow
	// former are servers that a newer configuration no longer has.
	former map[model.ServerID]time.Time

	// lastHeard is when each instance last sent a batch.
	lastHeard map[model.InstanceID]time.Time
	// reports are what heartbeats said of the servers, for the publisher.
	reports *serverhealth.Merged
	// verdicts are what follows from them, for all instances.
	verdicts []*pb.ServerVerdict
	// inForce is the configuration version that all members of the view hold.
	inForce uint64
	// known are the instances that limits are shared with.
	known []model.InstanceID
	// sharing are the instances among which cold shares are split, since
	// sharingAt; see knownInstances.
	sharing   []model.InstanceID
	sharingAt time.Time

	// configProblem is the last problem of the holder that was recorded.
	configProblem error

	// relays counts relayed packets.
	relays                                                                      uint64
	nextSlow, nextSummary, nextHeldScan, nextReports, nextFlowScan, nextPublish time.Time
	// serverReports are the reports for the next heartbeat.
	serverReports []*pb.ServerReport

	fenced, leaving, stopping, stopped bool
	// handedOver is set once a planned leave has handed everything over.
	handedOver bool
	lingerFrom time.Time

	// out collects the actions of the event being handled.
	out  []Action
	mail map[model.InstanceID][]*pb.PeerMessage
	// inbox holds messages to the instance itself.
	inbox []*pb.PeerMessage
}

// New returns the core of an instance that knows no configuration and no peer.
func New(cfg Config) *Core {
	c := &Core{
		cfg:       cfg,
		state:     dcstate.New(dcstate.Version{}, nil),
		steering:  steering.New(),
		health:    serverhealth.New(serverhealth.Config{}),
		limits:    limits.New(limits.Config{Self: cfg.Self}, cfg.Incarnation),
		holder:    config.NewReplica(config.ReplicaConfig{Self: cfg.Self, DataCentre: cfg.DataCentre, Rand: rand.New(rand.NewPCG(cfg.Seed, 1))}),
		journal:   journal.New(journalEntries),
		burn:      burn.NewBook(),
		reports:   serverhealth.NewMerged(),
		directory: directory{},
		summaries: map[model.DataCentre]*summary{},
		held:      map[uint64]*heldPacket{},
		openings:  newOpenings(),
		counted:   map[model.FlowID]*countedFlow{},
		former:    map[model.ServerID]time.Time{},
		running:   map[requests.Key]*runningRequest{},
		mail:      map[model.InstanceID][]*pb.PeerMessage{},
		lastHeard: map[model.InstanceID]time.Time{},
		metrics:   metrics.NewRegistry(),
		latency:   map[model.ServiceID]metrics.Histogram{},
	}
	c.pause.lastTick.Store(cfg.Started.UnixNano())
	c.newParts()
	c.fast.Store(&snapshot{})
	return c
}

// newParts makes the parts that ask the core about its lease or its catalog.
func (c *Core) newParts() {
	cfg := c.cfg
	c.members = membership.New(membership.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Started: cfg.Started,
		HeartbeatInterval: cfg.Heartbeat, Lease: cfg.Lease, DeadAfter: cfg.DeadAfter,
	})
	c.coordinator = requests.New(requests.Config{Self: cfg.Self, Rand: rand.New(rand.NewPCG(cfg.Seed, 2))})
	c.admitter = admission.New(admission.Config{Self: cfg.Self, Fenced: c.members.Fenced, DeadAfter: cfg.DeadAfter}, cfg.Incarnation)
}

// Handle takes one event and returns the actions that follow from it.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(now, ev)
	c.sendNews()
	c.drainInbox(now)
	return c.takeActions()
}

func (c *Core) dispatch(now time.Time, ev Event) {
	switch e := ev.(type) {
	case CallerPacket:
		c.fromCaller(now, e.Data)
	case ServerPacket:
		c.fromServer(now, e)
	case PeerBatch:
		c.fromPeer(now, e.Batch)
	case Tick:
		c.tick(now)
	case InstanceListRead:
		c.instanceList(now, e.Instances)
	case StoreRootRead:
		changed, messages := c.holder.HandleStoreRoot(now, e.Value)
		c.configTaken(now, changed, messages, "read from the store")
	case StoreShardsRead:
		changed, messages := c.holder.AddShards(now, e.Shards)
		c.configTaken(now, changed, messages, "read from the store")
	case EndpointRead:
		c.health.Endpoint(now, e.Server, e.Status)
	case LeaveRequested:
		c.stopping = true
		c.leave(now, "planned stop")
	}
}

func (c *Core) act(a Action) {
	c.out = append(c.out, a)
}

// takeActions returns the collected actions, with one batch for each peer.
func (c *Core) takeActions() []Action {
	// In order, so that equal events give equal actions.
	for _, to := range slices.Sorted(maps.Keys(c.mail)) {
		messages := c.mail[to]
		delete(c.mail, to)
		address, ok := c.directory.peerAddress(to)
		if !ok {
			c.counts.add(countNoAddress)
			continue
		}
		batch := &pb.PeerBatch{From: string(c.cfg.Self), Incarnation: c.cfg.Incarnation, Messages: messages}
		if hasHeartbeat(messages) {
			batch.Address, batch.DataCentre = c.cfg.PeerAddress, string(c.cfg.DataCentre)
		}
		c.act(SendToPeer{To: to, Address: address, Batch: batch})
	}
	out := c.out
	c.out = nil
	return out
}

func hasHeartbeat(messages []*pb.PeerMessage) bool {
	for _, m := range messages {
		if m.GetHeartbeat() != nil {
			return true
		}
	}
	return false
}

// Forward says where a packet of a known flow goes.
type Forward struct {
	Server  model.ServerID
	Address netip.AddrPort
	Path    int
}

// FastFromCaller decides about a data packet of an open flow. It decodes into
// p and reports false for any other packet, which then goes to Handle.
func (c *Core) FastFromCaller(now time.Time, p *packet.Packet, data []byte) (Forward, bool) {
	if err := p.Decode(data); err != nil || p.Kind != pb.Kind_KIND_DATA {
		return Forward{}, false
	}
	s := c.fast.Load()
	if s.catalog == nil || s.out || c.stale(now) {
		return Forward{}, false
	}
	server := s.catalog.Servers[p.Token]
	if server == nil || server.DataCentre != c.cfg.DataCentre || !s.passes(p, server.Service) {
		return Forward{}, false
	}
	c.counts.add(countFastCaller)
	return Forward{server.ID, server.Address, pathOf(p.Flow())}, true
}

// FastFromServer decides about a data packet from a server to the caller of an
// open flow, like FastFromCaller.
func (c *Core) FastFromServer(p *packet.Packet, from netip.AddrPort, data []byte) (netip.AddrPort, bool) {
	if err := p.Decode(data); err != nil || p.Kind != pb.Kind_KIND_DATA {
		return netip.AddrPort{}, false
	}
	s := c.fast.Load()
	server := s.servers[from]
	if server == nil || s.out || !s.passes(p, server.Service) {
		return netip.AddrPort{}, false
	}
	c.counts.add(countFastServer)
	return p.Caller, true
}

// passes reports whether the packet's address is one of the service in this
// data centre and its caller may use the service. Flows that count against a
// limit go through Handle, which notes that they are in use.
func (s *snapshot) passes(p *packet.Packet, service model.ServiceID) bool {
	site := s.catalog.Sites[p.Service]
	if site == nil || site.Service.ID != service {
		return false
	}
	use, ok := s.catalog.Allows(s.catalog.CallerOf(p.Caller.Addr()), service)
	return ok && use.ConcurrentFlows == 0
}

// pathOf spreads flows over the paths.
func pathOf(flow model.FlowHash) int {
	return int(uint64(flow) % PathsPerServer)
}
