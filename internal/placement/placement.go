// Package placement takes the publisher's decisions: it assigns the buckets of
// each service to servers, moves them in two steps, rebases moved buckets and
// publishes the view. See docs/design.md, sections 5 and 6. Types of this
// package are not safe for concurrent use.
package placement

import (
	"cmp"
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// Defaults of Config.
const (
	DefaultFlowIdleTimeout = membership.DefaultFlowIdleTimeout
	DefaultEpsilon         = 0.05
	// DefaultMovesPerSecond keeps the deltas at 2 KB/s: a move publishes four
	// bucket changes of about 25 bytes.
	DefaultMovesPerSecond = 20
	DefaultRampInterval   = time.Second
	DefaultRampAnswers    = 8
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
	// away from draining, silent, removed and newly cold servers are not
	// limited.
	MovesPerSecond int
	// RampInterval is the shortest time between two doublings of the share of
	// a server in cold start.
	RampInterval time.Duration
	// RampAnswers is the number of good answers that a doubling needs.
	RampAnswers uint64
}

func (c *Config) setDefaults() {
	c.FlowIdleTimeout = cmp.Or(c.FlowIdleTimeout, DefaultFlowIdleTimeout)
	c.Epsilon = cmp.Or(c.Epsilon, DefaultEpsilon)
	c.MovesPerSecond = cmp.Or(c.MovesPerSecond, DefaultMovesPerSecond)
	c.RampInterval = cmp.Or(c.RampInterval, DefaultRampInterval)
	c.RampAnswers = cmp.Or(c.RampAnswers, DefaultRampAnswers)
}

// Input is what the publisher knows when it decides.
type Input struct {
	// Catalog is nil when no configuration is known; no service is then added,
	// changed or removed.
	Catalog *model.Catalog
	// View, Confirmations, UnplannedDeaths and Newest come from membership.
	View            []dcstate.Member
	Confirmations   []membership.Confirmation
	UnplannedDeaths []membership.Death
	// Newest is the newest state that any instance has reported.
	Newest dcstate.Version
	// Reports are the merged server reports; nil means none.
	Reports *Reports
	// Empty lists the buckets that their owners reported as empty.
	Empty []EmptyBuckets
	// Stray lists STABLE buckets of which the owner holds records.
	Stray []EmptyBuckets
}

// EmptyBuckets lists the buckets of a service that Owner owns and for which it
// held no record when it had confirmed state Confirmed.
type EmptyBuckets struct {
	Owner     model.InstanceID
	Confirmed dcstate.Version
	Service   model.ServiceID
	Buckets   []uint32
}

// EmptyFrom returns the empty buckets that a heartbeat reports.
func EmptyFrom(owner model.InstanceID, h *pb.Heartbeat) []EmptyBuckets {
	out := make([]EmptyBuckets, 0, len(h.GetOwned()))
	for _, o := range h.GetOwned() {
		out = append(out, EmptyBuckets{
			Owner:     owner,
			Confirmed: dcstate.Version{Generation: h.GetGeneration(), Publisher: model.InstanceID(h.GetPublisher())},
			Service:   model.ServiceID(o.GetService()),
			Buckets:   o.GetEmpty(),
		})
	}
	return out
}

// Names of events.
const (
	EventTakeover       = "takeover"
	EventViewChanged    = "view changed"
	EventServiceAdded   = "service added"
	EventServiceRemoved = "service removed"
	EventMoved          = "buckets moved"
	EventNoServer       = "no usable server"
	EventRampStarted    = "ramp started"
	EventRampRaised     = "ramp raised"
	EventRampSetBack    = "ramp set back"
	EventRampDone       = "ramp done"
	EventDistrusted     = "silence distrusted"
	EventHeld           = "server held back"
	EventRecordsLost    = "records lost"
	EventDiverged       = "states diverged"
)

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
	cfg      Config
	services map[model.ServiceID]*service
	// version is the state that the last Step led to.
	version dcstate.Version
	catalog *model.Catalog
	// ownersSince is the generation of the last change of owners.
	ownersSince uint64
	confirmed   map[model.InstanceID]uint64
	book        addressBook

	lastStep   time.Time
	moveTokens float64
	refilled   time.Time

	// The rest is valid during one Step.
	state   *dcstate.State
	gen     uint64
	in      Input
	events  []Event
	allGen  uint64
	allConf uint64
}

// NewPublisher returns a publisher that has published nothing.
func NewPublisher(cfg Config) *Publisher {
	cfg.setDefaults()
	return &Publisher{cfg: cfg, services: make(map[model.ServiceID]*service), book: newAddressBook()}
}

// Step returns the update that follows from the input, or nil when the state
// stays as it is. s is the newest state that the instance has applied; the
// caller applies the update to s and passes the result to the next call. A
// state that differs from that result is adopted, with half-finished moves:
// the publisher publishes it as its own and waits for that version to be
// confirmed before it goes on.
func (p *Publisher) Step(now time.Time, in Input, s *dcstate.State) (*pb.StateUpdate, []Event) {
	if !slices.ContainsFunc(in.View, func(m dcstate.Member) bool { return m.Instance == p.cfg.Self }) {
		return nil, nil
	}
	p.state, p.in, p.events = s, in, nil
	p.gen = nextGeneration(now, in, s)
	takeover := s.Version != p.version || s.Version.Publisher != p.cfg.Self
	if takeover {
		p.adopt(now)
	}
	for id, svc := range p.services {
		svc.buckets = s.Services[id]
	}
	p.lastStep = now
	p.refill(now)
	membersChanged := !slices.Equal(s.Members, in.View)
	if membersChanged {
		p.viewChanged(now)
	}
	p.readConfirmations()
	p.setCatalog(now, membersChanged)
	p.admitServers(takeover)
	services := p.sortedServices()
	for _, svc := range services {
		p.stepService(now, svc)
	}
	return p.update(takeover, membersChanged, services), p.events
}

// nextGeneration counts on from the newest state known. A start from nothing
// takes the time in milliseconds: a restarted publisher that began at 1 would
// use version numbers again that instances hold with other content, and a
// frozen instance that wakes would put its old state above the new one.
// Generations grow by a few per second, so that they stay below the time.
func nextGeneration(now time.Time, in Input, s *dcstate.State) uint64 {
	newest := max(s.Version.Generation, in.Newest.Generation)
	if newest == 0 {
		newest = uint64(max(0, now.UnixMilli()))
	}
	return newest + 1
}

func (p *Publisher) event(e Event) { p.events = append(p.events, e) }

// adopt rebuilds the index from a state that this publisher did not make. All
// moves under way wait for the confirmation of the next generation, the first
// of this publisher: a confirmation of another publisher's state proves
// nothing about this one. After an unplanned death the former publisher may
// have known of lost records; all MIXED buckets are then collected again.
func (p *Publisher) adopt(now time.Time) {
	old := p.services
	p.services = make(map[model.ServiceID]*service, len(p.state.Services))
	for id, buckets := range p.state.Services {
		svc := newService(id, buckets, p.gen, now)
		if was := old[id]; was != nil {
			svc.keepRamps(was)
		}
		if was := old[id]; was != nil && now.Sub(p.lastStep) < divergedWithin {
			p.announceDiverged(now, svc, was)
		}
		for _, m := range svc.mixed {
			m.lost = len(p.in.UnplannedDeaths) > 0
		}
		p.services[id] = svc
	}
	p.catalog = nil
	p.book.adopted(p.gen)
	p.ownersSince = p.gen
	p.event(Event{Name: EventTakeover, Cause: "state of " + string(p.state.Version.Publisher) + " adopted"})
}

// divergedWithin is the time after a publisher's own last decision in which it
// takes an adopted state for one that was made independently of its own.
const divergedWithin = 5 * time.Second

// announceDiverged makes buckets ambiguous whose openings went to one server
// by this publisher's state and go to another by the adopted one (after a
// partition, or when an instance with a newer state wakes). Their flows are
// then looked for before a packet goes to the base server.
func (p *Publisher) announceDiverged(now time.Time, svc, was *service) {
	n := 0
	for i := range min(svc.n, was.n) {
		b := svc.at(uint32(i))
		if b.Phase == dcstate.Stable && destination(was.at(uint32(i))) != b.Base {
			svc.set(uint32(i), dcstate.Bucket{Base: b.Base, Next: b.Base, Phase: dcstate.Announced}, p.gen, now)
			n++
		}
	}
	if n > 0 {
		p.event(Event{Service: svc.id, Name: EventDiverged, Cause: "two publishers", Buckets: n})
	}
}

// readConfirmations finds the generation of this publisher's states, and the
// configuration version, that all members have confirmed.
func (p *Publisher) readConfirmations() {
	byID := make(map[model.InstanceID]membership.Confirmation, len(p.in.Confirmations))
	for _, c := range p.in.Confirmations {
		byID[c.Instance] = c
	}
	p.confirmed = make(map[model.InstanceID]uint64, len(p.in.View))
	for i, m := range p.in.View {
		c := byID[m.Instance]
		generation := uint64(0)
		if c.Incarnation == m.Incarnation && c.Confirmed.Publisher == p.cfg.Self {
			generation = c.Confirmed.Generation
		}
		p.confirmed[m.Instance] = generation
		if i == 0 {
			p.allGen, p.allConf = generation, c.ConfigVersion
			continue
		}
		p.allGen, p.allConf = min(p.allGen, generation), min(p.allConf, c.ConfigVersion)
	}
}

// confirmedByAll reports whether all members have confirmed the generation.
func (p *Publisher) confirmedByAll(generation uint64) bool { return p.allGen >= generation }

// rebaseAllowed reports whether each live flow has a pin on a live instance:
// all members are up for the idle timeout and none died in that time.
func (p *Publisher) rebaseAllowed() bool {
	if len(p.in.UnplannedDeaths) > 0 || len(p.in.Confirmations) < len(p.in.View) {
		return false
	}
	for _, c := range p.in.Confirmations {
		if c.Uptime < p.cfg.FlowIdleTimeout {
			return false
		}
	}
	return true
}

// viewChanged handles instances that came or went.
func (p *Publisher) viewChanged(now time.Time) {
	in := make(map[model.InstanceID]dcstate.Member, len(p.in.View))
	for _, m := range p.in.View {
		in[m.Instance] = m
	}
	gone := make(map[model.InstanceID]bool)
	for _, m := range p.state.Members {
		if is, ok := in[m.Instance]; !ok || is.Incarnation != m.Incarnation {
			gone[m.Instance] = true
		}
	}
	if !slices.Equal(p.state.Owners(), dcstate.New(dcstate.Version{}, p.in.View, nil).Owners()) || len(gone) > 0 {
		p.ownersSince = p.gen
	}
	for _, svc := range p.sortedServices() {
		p.revertCollections(now, svc, gone)
		p.findLostRecords(now, svc, gone)
	}
	p.event(Event{Name: EventViewChanged, Cause: "heartbeats"})
}

func (p *Publisher) refill(now time.Time) {
	rate := float64(p.cfg.MovesPerSecond)
	if p.refilled.IsZero() {
		p.moveTokens = rate
	} else if now.After(p.refilled) {
		p.moveTokens = min(rate, p.moveTokens+rate*now.Sub(p.refilled).Seconds())
	}
	p.refilled = now
}

func (p *Publisher) sortedServices() []*service {
	out := make([]*service, 0, len(p.services))
	for _, svc := range p.services {
		out = append(out, svc)
	}
	slices.SortFunc(out, func(a, b *service) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (p *Publisher) stepService(now time.Time, svc *service) {
	if svc.removed {
		return
	}
	p.advance(now, svc)
	if p.catalog == nil || svc.site == nil {
		return
	}
	p.judgeServers(now, svc)
	if svc.n == 0 {
		p.assignInitially(now, svc)
		return
	}
	p.ramp(now, svc)
	p.balance(now, svc)
	p.move(now, svc)
}

// update builds the update from the pending changes.
func (p *Publisher) update(takeover, membersChanged bool, services []*service) *pb.StateUpdate {
	u := &pb.StateUpdate{
		Generation:         p.gen,
		Publisher:          string(p.cfg.Self),
		PreviousGeneration: p.state.Version.Generation,
		PreviousPublisher:  string(p.state.Version.Publisher),
	}
	for _, svc := range services {
		if c := svc.takeChanges(); c != nil {
			u.Services = append(u.Services, c)
		}
		if svc.removed {
			delete(p.services, svc.id)
		}
	}
	if !takeover && !membersChanged && len(u.Services) == 0 {
		p.version = p.state.Version
		return nil
	}
	if membersChanged || len(p.state.Members) == 0 {
		u.Members = dcstate.MembersProto(p.in.View)
	}
	p.version = dcstate.Version{Generation: p.gen, Publisher: p.cfg.Self}
	return u
}
