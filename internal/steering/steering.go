// Package steering decides which backend server gets a packet: it keeps pins,
// the records of exceptional flows at bucket owners and backups, resolve
// queries and the handover of ownership (docs/design.md, sections 3 and 5).
//
// The package is pure: the time is an argument, and what must be sent is
// returned as actions. It is not safe for concurrent use. Packet workers look
// up known flows in the flow table directly and call Packet for unknown ones.
package steering

import (
	"cmp"
	"maps"
	"slices"
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
	// MayOpen reports whether a flow may be opened at the server now, and counts
	// it: a server in cold start bears few. The instance that decides about an
	// opening asks before it pins or records anything, so that a refused
	// opening leaves nothing behind. Nil means always.
	MayOpen func(now time.Time, server model.ServerID) bool
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

// Defaults of Config.
const (
	defaultIdle = 5 * time.Minute
	// defaultHold exceeds dead_after (1 s) plus the publication of a view, so
	// that the death of an owner delays an opening instead of refusing it.
	defaultHold = 1500 * time.Millisecond
	// defaultResolve leaves time for the refusal to reach the asking instance
	// before its hold timeout.
	defaultResolve = 1300 * time.Millisecond
	defaultRetry   = 100 * time.Millisecond
	defaultRepeat  = 3 * time.Second
	defaultSettle  = 2 * time.Second
	defaultMaxHeld = 8192
)

func (c Config) withDefaults() Config {
	c.FlowIdleTimeout = cmp.Or(c.FlowIdleTimeout, defaultIdle)
	c.HoldTimeout = cmp.Or(c.HoldTimeout, defaultHold)
	c.ResolveTimeout = cmp.Or(c.ResolveTimeout, defaultResolve)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRetry)
	c.OpeningRepeat = cmp.Or(c.OpeningRepeat, defaultRepeat)
	c.SettleAfter = cmp.Or(c.SettleAfter, defaultSettle)
	c.MaxHeld = cmp.Or(c.MaxHeld, defaultMaxHeld)
	return c
}

// keepAlive is the period in which an instance reports each recorded flow
// that it has seen packets of.
func (c Config) keepAlive() time.Duration { return c.FlowIdleTimeout / 2 }

// recordLife is the time after which a record without a report expires. A
// packet is reported up to one keepAlive period late, so a flow that is idle
// for FlowIdleTimeout may go unreported for that time plus two periods.
func (c Config) recordLife() time.Duration { return c.FlowIdleTimeout + 2*c.keepAlive() }

type key = flowtable.Key

// bucketID names a bucket.
type bucketID struct {
	service model.ServiceID
	number  int
}

func compareBuckets(a, b bucketID) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.number, b.number))
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Flow, b.Flow))
}

// sortedKeys returns the keys of a map in a fixed order, so that equal inputs
// give equal outputs.
func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(m), compare)
}

// Steering is the steering state of one instance.
type Steering struct {
	cfg   Config
	table *flowtable.Table
	state *dcstate.State

	waits     map[key]*wait
	waitOrder []*wait
	held      int

	resolutions map[key]*resolution
	asks        map[uint64]*ask
	newAsk      *ask
	claims      map[key]claim

	copies  map[bucketID]*bucketCopy
	filters map[bucketID]filter
	// additions are exceptions to add to the filters that others may have.
	additions  map[bucketID][]uint32
	lastShared time.Time
	// hints are flows to tell the other instances of, see hint.
	hints    groups
	hintedAt time.Time
	links    map[linkID]*link
	received map[linkID]*receipt
	// sequence numbers RecordBatch, OwnershipHandover and PinQuery messages.
	sequence uint64

	// changed and openingChanged hold the time at which a bucket last changed
	// and at which its opening server last changed, while that matters.
	changed        map[bucketID]time.Time
	openingChanged map[bucketID]time.Time
	joined         time.Time // time of the first state
	vouched        bool      // no instance died shortly before joined
	lastDeath      time.Time
	lastJoin       time.Time
	lastUnfenced   time.Time
	lastTick       time.Time
	pausedUntil    time.Time

	// resizedAt is the state at which a service's number of buckets changed.
	resizedAt map[model.ServiceID]dcstate.Version

	versions   []dcstate.Version
	collecting []*receipt

	leaving bool
	closed  recentKeys
	// askedElsewhere holds the flows that other instances asked about.
	askedElsewhere recentKeys
	scan           scanState
	lastSweep      time.Time

	out outbox
}

// New returns a Steering that stores its pins in table. Zero durations and
// bounds in cfg get their defaults.
func New(cfg Config, table *flowtable.Table) *Steering {
	return &Steering{
		cfg: cfg.withDefaults(), table: table, sequence: cfg.Incarnation,
		waits: map[key]*wait{}, resolutions: map[key]*resolution{}, asks: map[uint64]*ask{}, claims: map[key]claim{},
		copies: map[bucketID]*bucketCopy{}, filters: map[bucketID]filter{}, additions: map[bucketID][]uint32{},
		links: map[linkID]*link{}, received: map[linkID]*receipt{}, resizedAt: map[model.ServiceID]dcstate.Version{},
		changed: map[bucketID]time.Time{}, openingChanged: map[bucketID]time.Time{},
	}
}

// outbox collects the actions of one call; queries and replies are merged
// into one message per peer.
type outbox struct {
	actions []Action
	queries map[model.InstanceID]*pb.ResolveQuery
	replies map[model.InstanceID]*pb.ResolveReply
}

func (s *Steering) do(a Action) { s.out.actions = append(s.out.actions, a) }

func (s *Steering) send(to model.InstanceID, m *pb.PeerMessage) {
	s.do(Send{peer.Message{To: to, Body: m}})
}

// flush returns the actions of the call.
func (s *Steering) flush(now time.Time) []Action {
	s.sendAsk(now)
	for _, to := range sortedKeys(s.out.queries, cmp.Compare[model.InstanceID]) {
		s.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_ResolveQuery{ResolveQuery: s.out.queries[to]}})
	}
	for _, to := range sortedKeys(s.out.replies, cmp.Compare[model.InstanceID]) {
		s.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_ResolveReply{ResolveReply: s.out.replies[to]}})
	}
	actions := s.out.actions
	s.out = outbox{}
	return actions
}

func (s *Steering) fenced(now time.Time) bool {
	return s.cfg.Fenced != nil && s.cfg.Fenced(now)
}

func (s *Steering) mayOpen(now time.Time, server model.ServerID) bool {
	return s.cfg.MayOpen == nil || s.cfg.MayOpen(now, server)
}

// belongs reports whether the server exists and is one of the service's.
func (s *Steering) belongs(service model.ServiceID, server model.ServerID) bool {
	return server != 0 && s.cfg.Belongs(service, server)
}

// bucketOf returns the bucket of a flow under the current state.
func (s *Steering) bucketOf(k key) (bucketID, dcstate.Bucket, bool) {
	if s.state == nil {
		return bucketID{}, dcstate.Bucket{}, false
	}
	b, n, ok := s.state.Bucket(k.Service, k.Flow)
	return bucketID{k.Service, n}, b, ok
}

func (s *Steering) owner(id bucketID) model.InstanceID {
	owner, _ := s.state.Owner(id.service, id.number)
	return owner
}

// exceptional reports whether a flow at the server needs a record, because
// unknown packets of its bucket may be sent elsewhere, now or after a rebase.
func exceptional(b dcstate.Bucket, server model.ServerID) bool {
	return b.Phase == dcstate.Collecting || server != b.Base
}

// redundant reports whether a record of a flow at the server is no exception.
func redundant(b dcstate.Bucket, server model.ServerID) bool {
	return b.OpensDirectly() && server == b.Base
}

// pinned returns the server of a known flow. A pin whose server no longer
// belongs to the service is removed.
func (s *Steering) pinned(now time.Time, k key) (flowtable.Pin, bool) {
	p, ok := s.table.Lookup(k.Service, k.Flow, now)
	if ok && !s.belongs(k.Service, p.Server) {
		s.forget(now, k)
		return flowtable.Pin{}, false
	}
	return p, ok
}

// pin stores the server of a flow and reports the flow to the owner when it
// is an exception that the owner does not know. It returns false when the
// table is full.
func (s *Steering) pin(now time.Time, k key, server model.ServerID, planVersion uint64, recorded bool) bool {
	p := flowtable.Pin{Server: server, PlanVersion: planVersion, Recorded: recorded}
	if !s.table.Pin(k.Service, k.Flow, p, now) {
		return false
	}
	if recorded {
		return true
	}
	_, b, ok := s.bucketOf(k)
	if ok && (exceptional(b, server) || s.departing()) {
		s.report(now, op{kind: opReport, key: k, server: server})
		s.table.SetRecorded(k.Service, k.Flow, true)
	}
	return true
}

// forget removes the pin of a flow and ends its record.
func (s *Steering) forget(now time.Time, k key) {
	p, _ := s.table.Remove(k.Service, k.Flow)
	id, _, _ := s.bucketOf(k)
	server, own := s.copies[id].lookup(k)
	if own = own && (p.Server == 0 || p.Server == server); own || p.Recorded {
		s.report(now, op{kind: opReport, key: k, server: cmp.Or(p.Server, server), end: true})
	}
}

// Packet decides about a packet, or holds it until its flow is resolved. Every
// token is named by exactly one Forward, Refuse or Drop, now or later.
func (s *Steering) Packet(now time.Time, p Packet) []Action {
	s.packet(now, p)
	return s.flush(now)
}

func (s *Steering) packet(now time.Time, p Packet) {
	k := key{Service: p.Service, Flow: p.Flow}
	if pin, ok := s.pinned(now, k); ok {
		s.do(Forward{p.Token, pin.Server})
		return
	}
	if s.paused(now) {
		s.reject(heldPacket{token: p.Token, opening: p.Opening}, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	s.closed.remove(k)
	w := s.waits[k]
	if w == nil {
		w = &wait{key: k}
	}
	s.hold(now, w, p)
	if w.target == "" && len(w.packets) == 1 {
		s.dispatch(now, w)
	}
}

// Answer learns from a packet of a server that the flow is at that server.
// Refusals of unknown flows must not be passed in.
func (s *Steering) Answer(now time.Time, service model.ServiceID, flow model.FlowHash, server model.ServerID, planVersion uint64) []Action {
	k := key{Service: service, Flow: flow}
	if _, ok := s.pinned(now, k); ok || !s.belongs(service, server) || s.closed.has(k) {
		return s.flush(now)
	}
	if w := s.waits[k]; w != nil {
		s.finish(now, w, server, false)
	} else {
		s.pin(now, k, server, planVersion, false)
	}
	return s.flush(now)
}

// Close forgets a flow that was closed, or whose opening the server refused.
// It is called after the closing packet was forwarded.
func (s *Steering) Close(now time.Time, service model.ServiceID, flow model.FlowHash) []Action {
	k := key{Service: service, Flow: flow}
	s.closed.add(k)
	s.forget(now, k)
	return s.flush(now)
}

// HandlePeer handles a RecordBatch, Ack, ResolveQuery, ResolveReply, PinQuery,
// PinReply or OwnershipHandover; it ignores other messages and acks of
// sequences that steering did not send.
func (s *Steering) HandlePeer(now time.Time, from model.InstanceID, m *pb.PeerMessage) []Action {
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_Records:
		s.handleRecords(now, from, body.Records)
	case *pb.PeerMessage_OwnershipHandover:
		s.handleHandover(now, from, body.OwnershipHandover)
	case *pb.PeerMessage_Ack:
		s.handleAck(now, from, body.Ack.GetSequence())
	case *pb.PeerMessage_ResolveQuery:
		s.handleQuery(now, from, body.ResolveQuery)
	case *pb.PeerMessage_ResolveReply:
		s.handleReply(now, from, body.ResolveReply)
	case *pb.PeerMessage_PinQuery:
		s.handlePinQuery(now, from, body.PinQuery)
	case *pb.PeerMessage_PinReply:
		s.handlePinReply(now, from, body.PinReply)
	}
	return s.flush(now)
}

// Confirmed returns the version of the newest state whose collected records
// all have been acknowledged by their owners.
func (s *Steering) Confirmed() dcstate.Version {
	s.collecting = slices.DeleteFunc(s.collecting, func(r *receipt) bool { return r.left == 0 })
	confirmed := 0
	for i, v := range s.versions {
		if len(s.collecting) == 0 || v.Less(s.collecting[0].version) {
			confirmed = i
		}
	}
	if len(s.versions) == 0 {
		return dcstate.Version{}
	}
	s.versions = s.versions[confirmed:]
	return s.versions[0]
}

// Leave starts a planned leave: once the view shows the instance as leaving,
// it hands over its records and reports all its pins. A rebase needs a pin of
// each live flow on a live instance, and the leaving one may have the only pin.
func (s *Steering) Leave(now time.Time) []Action {
	if !s.leaving {
		s.leaving = true
		if s.departing() {
			s.reportPins(now, nil)
			s.sendLinks(now)
		}
	}
	return s.flush(now)
}

// departing reports whether the instance leaves and owns no bucket any more.
func (s *Steering) departing() bool {
	if !s.leaving || s.state == nil {
		return false
	}
	m, ok := s.state.Member(s.cfg.Self)
	return ok && m.State == pb.InstanceState_INSTANCE_STATE_LEAVING
}

// Left reports whether a planned leave is complete: everything handed over is
// acknowledged and no packet is held.
func (s *Steering) Left() bool {
	if !s.leaving || len(s.waits) > 0 || len(s.resolutions) > 0 {
		return false
	}
	if s.inView(s.cfg.Self) && !s.departing() {
		return false
	}
	for _, l := range s.links {
		if len(l.queue) > 0 {
			return false
		}
	}
	for _, c := range s.copies {
		if c.authority {
			return false
		}
	}
	return true
}
