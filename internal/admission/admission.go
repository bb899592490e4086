// Package admission implements admission control for backend servers. A slot is
// the right to run one request on a server. The admitter of a server grants its
// slots to the coordinators of the instances, which request a grant before each
// attempt (see package requests). One instance is the admitter, chosen from the
// view, which is the published list of the live instances
// (dcstate.State.Admitter). It keeps the outstanding grants, a priority queue of
// waiting grant requests and a history of the non-idempotent requests that it has
// granted. It also keeps the slow-start ramp, which is the number of slots that may
// be busy: at a cold server it starts at BackendServer.ColdSlots and grows up to
// BackendServer.Slots while the server answers normally.
//
// When a server gets another admitter, the former one hands over its grants, its
// history and its ramp. Until the handover arrives, grant requests wait at the new
// admitter. If the former admitter has left the view or restarted, or if its
// handover has not arrived within HandoverTimeout, the new admitter takes over
// without a handover: it waits up to ReportTimeout for the reports of all members
// about the grants that they hold, and then grants slots.
package admission

import (
	"sort"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/rendezvous"
)

// handoverSequenceBase is added to the sequence numbers of AdmitterHandover
// messages. It leaves lower numbers to other acknowledged messages, so that their
// Acks are not taken for those of handovers.
const handoverSequenceBase = 1 << 40

// maxRefusalLead is the longest time before the deadline of a waiting grant
// request at which it is refused, so that the refusal reaches the coordinator in
// time.
const maxRefusalLead = 100 * time.Millisecond

// Config holds the parameters of an Admitter. A zero field takes its default.
type Config struct {
	// Self is the ID of this instance.
	Self model.InstanceID
	// Fenced reports whether the instance is fenced: it must not take any
	// decision, because it does not hold the lease (see package membership). nil
	// means never. It is called for each decision, because an instance that was
	// suspended must not act on the state that it had before.
	Fenced func(now time.Time) bool
	// QueueLength is the maximum number of grant requests that wait per server;
	// default 64.
	QueueLength int
	// MaxGrantDuration is the longest time from the request of a grant to the
	// deadline of the attempt that uses it; default 10 s. The grant expires
	// DatagramLifetime after this deadline. MaxGrantDuration must equal
	// requests.Config.MaxGrantDuration.
	MaxGrantDuration time.Duration
	// DatagramLifetime is the longest time that a datagram can be under way
	// within a data centre; default 300 ms.
	DatagramLifetime time.Duration
	// DeadAfter is the time without a heartbeat after which an instance is
	// removed from the view; default 1 s.
	DeadAfter time.Duration
	// RequestRetention is how long a non-idempotent request is kept in the
	// history after its last grant; default 30 s. It must exceed
	// MaxGrantDuration + DatagramLifetime.
	RequestRetention time.Duration
	// MaxRememberedRequests is the maximum number of requests in the history of
	// each server. While the history is full, new non-idempotent requests are
	// refused. Default 32768.
	MaxRememberedRequests int
	// RampInterval is the shortest time between two steps of the ramp, which
	// each double the number of slots; default 1 s.
	RampInterval time.Duration
	// SlowFactor is the factor by which recent latencies must exceed the usual
	// one to reset the ramp (see serverhealth.SlownessDetector); default 3.
	SlowFactor float64
	// ReportTimeout is the longest wait for the GrantReports of the members
	// after a takeover without a handover; default 200 ms.
	ReportTimeout time.Duration
	// HandoverTimeout is the longest wait for the handover of the former
	// admitter; default 1.5 s. It must exceed DeadAfter: a former admitter that
	// has failed is no longer in the view by then, or is fenced.
	HandoverTimeout time.Duration
	// HandoverRetryInterval is the time after which an unacknowledged handover
	// is sent again; default 200 ms.
	HandoverRetryInterval time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.QueueLength, 64)
	setDefault(&c.MaxGrantDuration, 10*time.Second)
	setDefault(&c.DatagramLifetime, 300*time.Millisecond)
	setDefault(&c.DeadAfter, time.Second)
	setDefault(&c.RequestRetention, 30*time.Second)
	setDefault(&c.MaxRememberedRequests, 32768)
	setDefault(&c.RampInterval, time.Second)
	setDefault(&c.SlowFactor, 3)
	setDefault(&c.ReportTimeout, 200*time.Millisecond)
	setDefault(&c.HandoverTimeout, 1500*time.Millisecond)
	setDefault(&c.HandoverRetryInterval, 200*time.Millisecond)
	if c.Fenced == nil {
		c.Fenced = func(time.Time) bool { return false }
	}
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// HeldGrants returns the grants of a server that the coordinator of this
// instance holds; see requests.Coordinator.HeldGrants.
type HeldGrants func(server model.ServerID) []*pb.OutstandingGrant

// Status describes the slots of a server at this instance.
type Status struct {
	// IsAdmitter is set if this instance grants the slots of the server. If it is
	// not set, the other fields are zero.
	IsAdmitter bool
	// Allowed is the number of slots that may be busy at present.
	Allowed int
	// Outstanding is the number of outstanding grants. For a cold server it
	// includes the slots that unreported grants of a former admitter may still
	// use.
	Outstanding int
	// Queued is the number of grant requests that wait.
	Queued int
	// Remembered is the number of non-idempotent requests in the history.
	Remembered int
	// Cold is set while the server is treated as cold, until the first step of
	// its ramp.
	Cold bool
}

// Admitter grants the slots of the servers whose admitter is this instance. It
// is not safe for concurrent use.
type Admitter struct {
	cfg Config
	// backends holds the servers of the data centre.
	backends map[model.ServerID]*model.BackendServer
	// conditions holds the last condition of each server that was passed to
	// Observe.
	conditions map[model.ServerID]pb.ServerCondition
	// healthyAt is the time at which each server last became healthy.
	healthyAt map[model.ServerID]time.Time
	// knownInstances holds the instances passed to SetKnownInstances.
	// checkPartition compares the view with them and sets viewComplete and
	// inMajority.
	knownInstances           []model.InstanceID
	viewComplete, inMajority bool
	// state is the latest published state, nil before the first one.
	state *dcstate.State
	// firstGeneration is the generation of the first state that this
	// incarnation (this run of the instance) received.
	firstGeneration uint64
	servers         map[model.ServerID]*server
	// handovers holds the unacknowledged handovers by sequence number.
	handovers map[uint64]*handover
	sequence  uint64
	// deferredReports holds the reports that arrived before the state that they
	// refer to.
	deferredReports []deferredReport
	// appliedHandovers holds the most recently applied handovers. A repeated
	// handover is acknowledged again but not applied.
	appliedHandovers     map[handoverID]bool
	appliedHandoverOrder []handoverID
}

// New returns an Admitter that does not grant the slots of any server yet.
// firstSequence is an offset for the sequence numbers of handovers. It should differ
// between incarnations (runs) of the instance.
func New(cfg Config, firstSequence uint64) *Admitter {
	cfg.setDefaults()
	return &Admitter{
		cfg: cfg, backends: map[model.ServerID]*model.BackendServer{}, conditions: map[model.ServerID]pb.ServerCondition{}, healthyAt: map[model.ServerID]time.Time{},
		servers: map[model.ServerID]*server{}, handovers: map[uint64]*handover{}, sequence: handoverSequenceBase + firstSequence,
		appliedHandovers: map[handoverID]bool{}, viewComplete: true, inMajority: true,
	}
}

// SetServers replaces the servers of the data centre. Grant requests that wait for
// a removed server are refused. A new server starts in the condition that was last
// passed to Observe, which may have been called before SetServers, or as cold if
// there is none.
func (a *Admitter) SetServers(now time.Time, servers map[model.ServerID]*model.BackendServer) []peer.Message {
	var out []peer.Message
	for _, id := range sortedServerIDs(a.servers) {
		s := a.servers[id]
		if backend := servers[id]; backend != nil {
			s.backend = backend
			s.ramp.resize(backend)
			continue
		}
		for s.queue.Len() > 0 {
			out = append(out, a.refuse(now, s, s.queue.removeLast(), pb.Reason_REASON_NO_SERVER))
		}
		delete(a.servers, id)
	}
	for id := range a.conditions {
		if servers[id] == nil {
			delete(a.conditions, id)
			delete(a.healthyAt, id)
		}
	}
	added := addedServers(a.backends, servers)
	a.backends = servers
	if a.state == nil {
		return out
	}
	for _, id := range added {
		if a.state.Admitter(id) == a.cfg.Self && a.servers[id] == nil {
			a.servers[id] = a.newServer(now, id)
		}
	}
	return append(out, a.dispatchAll(now)...)
}

// SetKnownInstances sets the instances of the data centre that this instance knows,
// whether they are in the view or not (see membership.Membership.KnownInstances).
// While some of them are missing from the view, the data centre may be partitioned,
// with an admitter of the same server on each side. Then an instance on the minority
// side grants no slots of cold servers, since both sides together must not exceed
// the ColdSlots of a server. On both sides, a request that may be a retransmission
// of a non-idempotent one is refused as a duplicate, since the other side may have
// granted it.
func (a *Admitter) SetKnownInstances(now time.Time, ids []model.InstanceID) []peer.Message {
	a.knownInstances = append(a.knownInstances[:0], ids...)
	a.checkPartition(now)
	return a.dispatchAll(now)
}

// Observe sets the condition of a server as determined by the serverhealth
// package of this instance. The ramp is reset when the server becomes cold, sheds
// load or stops answering.
func (a *Admitter) Observe(now time.Time, id model.ServerID, c pb.ServerCondition) []peer.Message {
	previous := a.conditions[id]
	a.conditions[id] = c
	if c == pb.ServerCondition_SERVER_CONDITION_HEALTHY && previous != c {
		// A server becomes healthy only by an answer.
		a.healthyAt[id] = now
	}
	s := a.servers[id]
	if s == nil || previous == c {
		return nil
	}
	if at := a.healthyAt[id]; at.After(s.lastAnswerAt) {
		s.lastAnswerAt = at
	}
	s.ramp.observe(now, s.backend, c)
	return a.dispatch(now, s)
}

// Status returns the status of the slots of a server.
func (a *Admitter) Status(now time.Time, id model.ServerID) Status {
	s := a.servers[id]
	if s == nil || s.phase != owned {
		return Status{}
	}
	return Status{
		IsAdmitter: true, Allowed: a.allowed(s), Outstanding: s.busySlots(now), Queued: s.queue.Len(),
		Remembered: s.history.len(), Cold: s.ramp.cold,
	}
}

// HandlePeer handles a GrantRequest, GrantRelease, GrantReport or
// AdmitterHandover message, or the Ack of a handover, and returns the messages
// to send.
func (a *Admitter) HandlePeer(now time.Time, from model.InstanceID, body *pb.PeerMessage) []peer.Message {
	switch m := body.GetBody().(type) {
	case *pb.PeerMessage_GrantRequest:
		return a.handleGrantRequest(now, from, m.GrantRequest)
	case *pb.PeerMessage_GrantRelease:
		return a.handleGrantRelease(now, from, m.GrantRelease)
	case *pb.PeerMessage_GrantReport:
		return a.handleGrantReport(now, from, m.GrantReport)
	case *pb.PeerMessage_AdmitterHandover:
		return a.handleHandover(now, from, m.AdmitterHandover)
	case *pb.PeerMessage_Ack:
		if h := a.handovers[m.Ack.GetSequence()]; h != nil && h.to == from {
			delete(a.handovers, m.Ack.GetSequence())
		}
	}
	return nil
}

// Tick expires grants, refuses waiting grant requests that are due, takes over
// servers whose handover has not arrived in time and resends unacknowledged
// handovers.
func (a *Admitter) Tick(now time.Time) []peer.Message {
	var out []peer.Message
	for _, id := range sortedServerIDs(a.servers) {
		s := a.servers[id]
		if s.phase == awaitingHandover && !now.Before(s.handoverDeadline) {
			a.takeOverWithoutHandover(now, s)
			if to := a.state.Admitter(id); to != a.cfg.Self && to != "" {
				out = append(out, a.handOver(now, s, to)...)
				continue
			}
		}
		s.expireGrants(now)
		s.history.expire(now)
		out = append(out, a.expireQueue(now, s)...)
		out = append(out, a.dispatch(now, s)...)
	}
	return append(out, a.resendHandovers(now)...)
}

// HandoversPending returns the number of unacknowledged handovers. A leaving
// instance waits until it is zero.
func (a *Admitter) HandoversPending() int { return len(a.handovers) }

// checkPartition compares the view with the known instances. It sets viewComplete
// if the view contains all of them, and inMajority if it contains more than half of
// them. If it contains exactly half, it is the majority if it includes the instance
// of the highest rendezvous rank.
func (a *Admitter) checkPartition(now time.Time) {
	wasComplete := a.viewComplete
	a.viewComplete, a.inMajority = true, true
	if len(a.knownInstances) == 0 || a.state == nil {
		return
	}
	present := 0
	for _, id := range a.knownInstances {
		if _, ok := a.state.Member(id); ok {
			present++
		}
	}
	a.viewComplete, a.inMajority = present == len(a.knownInstances), 2*present > len(a.knownInstances)
	if 2*present == len(a.knownInstances) {
		first := rendezvous.TopN(rendezvous.NewKey("larger part", 0), a.knownInstances, 1)[0]
		_, a.inMajority = a.state.Member(first)
	}
	if !a.viewComplete || wasComplete {
		return
	}
	// The partition has healed: the admitters of the other side will hand over
	// their grants.
	for _, s := range a.servers {
		until := now.Add(a.cfg.HandoverTimeout)
		if s.history.incompleteUntil.Before(until) {
			s.history.incompleteUntil = until
		}
		if s.unreportedSlotsUntil.Before(until) {
			s.unreportedSlots, s.unreportedSlotsUntil = max(0, coldSlots(s.backend)-len(s.grants)), until
		}
	}
}

func sortedServerIDs[T any](m map[model.ServerID]T) []model.ServerID {
	ids := make([]model.ServerID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func addedServers(old, new map[model.ServerID]*model.BackendServer) []model.ServerID {
	var added []model.ServerID
	for _, id := range sortedServerIDs(new) {
		if old[id] == nil {
			added = append(added, id)
		}
	}
	return added
}
