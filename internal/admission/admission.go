// Package admission grants the slots of backend servers. The admitter of a
// server (see dcstate.State.Admitter) owns its slots: outstanding grants, a
// priority queue, the cold-start ramp and the memory of non-idempotent
// requests.
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

// SequenceBase is added to the sequence numbers of AdmitterHandover messages,
// so that their Acks differ from those of other packages.
const SequenceBase = 1 << 40

// maxRefusalLead is the time that a refusal is given to reach the coordinator.
const maxRefusalLead = 100 * time.Millisecond

// Config holds the parameters; zero fields take the defaults.
type Config struct {
	Self model.InstanceID
	// Fenced reports whether the instance may take no decision; nil means
	// never. It is asked at each decision, because an instance that was
	// frozen must not act on what it believed before.
	Fenced func(now time.Time) bool
	// QueueLength bounds the queue of each server; default 64.
	QueueLength int
	// MaxGrantDuration bounds the time from the request of a grant to its expiry,
	// without Margin; it must equal requests.Config.MaxGrant. Default 10 s.
	MaxGrantDuration time.Duration
	// DatagramLifetime is the longest datagram lifetime within a data centre; default
	// 300 ms.
	DatagramLifetime time.Duration
	// DeadAfter is the time after which an instance is declared out; default
	// 1 s.
	DeadAfter time.Duration
	// RequestRetention is how long a non-idempotent request is remembered after
	// its last grant; default 30 s. It must exceed MaxGrant + Margin.
	RequestRetention time.Duration
	// MaxRememberedRequests bounds the memory of each server; above it non-idempotent
	// requests are refused. Default 32768.
	MaxRememberedRequests int
	// RampInterval is the shortest time between two steps of the ramp;
	// default 1 s.
	RampInterval time.Duration
	// SlowFactor is the ratio of recent to usual latency that sets the ramp
	// back; default 3.
	SlowFactor float64
	// ReportTimeout bounds the wait for the GrantReports of the members after an
	// unplanned change of admitter; default 200 ms.
	ReportTimeout time.Duration
	// HandoverTimeout bounds the wait for the former admitter's handover. It
	// must exceed DeadAfter, so that a former admitter that is gone has left
	// the view by then or is fenced; default 1.5 s.
	HandoverTimeout time.Duration
	// HandoverRetryInterval is the time after which an unacknowledged handover is
	// repeated; default 200 ms.
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

// HeldGrants returns the grants that the instance's own coordinator holds of a
// server; see requests.Coordinator.HeldGrants.
type HeldGrants func(server model.ServerID) []*pb.OutstandingGrant

// Status describes the slots of a server at its admitter.
type Status struct {
	// Admitter is false when this instance does not grant the server's slots
	// at present; the other fields are then zero.
	Admitter    bool
	Allowed     int
	Outstanding int
	Queued      int
	Remembered  int
	Cold        bool
}

// Admitter holds the servers of which this instance is the admitter. It is
// not safe for concurrent use.
type Admitter struct {
	cfg        Config
	catalog    map[model.ServerID]*model.BackendServer
	conditions map[model.ServerID]pb.ServerCondition
	// healthyAt is the time at which a server was last found healthy.
	healthyAt map[model.ServerID]time.Time
	// knownInstances are the instances of the instance list; see judgeView.
	knownInstances           []model.InstanceID
	viewComplete, inMajority bool
	state                    *dcstate.State
	// firstGeneration is that of the first state that this incarnation saw.
	firstGeneration uint64
	servers         map[model.ServerID]*server
	handovers       map[uint64]*handover
	sequence        uint64
	// deferredReports holds reports that came before the state that they belong to.
	deferredReports []deferredReport
	// appliedHandovers are the latest handovers that were applied; a repeated one is
	// only acknowledged again.
	appliedHandovers     map[handoverID]bool
	appliedHandoverOrder []handoverID
}

// New returns an Admitter that owns no server. firstSequence should differ
// between incarnations of the instance.
func New(cfg Config, firstSequence uint64) *Admitter {
	cfg.setDefaults()
	return &Admitter{
		cfg: cfg, catalog: map[model.ServerID]*model.BackendServer{}, conditions: map[model.ServerID]pb.ServerCondition{}, healthyAt: map[model.ServerID]time.Time{},
		servers: map[model.ServerID]*server{}, handovers: map[uint64]*handover{}, sequence: SequenceBase + firstSequence,
		appliedHandovers: map[handoverID]bool{}, viewComplete: true, inMajority: true,
	}
}

// SetServers replaces the servers of the data centre. A server that is new to
// the catalog starts cold at its admitter.
func (a *Admitter) SetServers(now time.Time, servers map[model.ServerID]*model.BackendServer) []peer.Message {
	var out []peer.Message
	for _, id := range sortedServers(a.servers) {
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
	added := addedServers(a.catalog, servers)
	a.catalog = servers
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

// SetKnownInstances tells the instances of the instance list. While the view
// lacks some of them, the data centre may be partitioned: only the side with
// the larger part grants slots of cold servers, and a repeated copy of a
// non-idempotent request counts as granted on another side.
func (a *Admitter) SetKnownInstances(now time.Time, ids []model.InstanceID) []peer.Message {
	a.knownInstances = append(a.knownInstances[:0], ids...)
	a.checkPartition(now)
	return a.dispatchAll(now)
}

// Observe tells the condition of a server as this instance's serverhealth
// sees it. It sets the ramp back when the server goes cold, sheds or falls
// silent.
func (a *Admitter) Observe(now time.Time, id model.ServerID, c pb.ServerCondition) []peer.Message {
	previous := a.conditions[id]
	a.conditions[id] = c
	if c == pb.ServerCondition_SERVER_CONDITION_HEALTHY && previous != c {
		// An answer shows it.
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

// Status returns the state of a server's slots.
func (a *Admitter) Status(now time.Time, id model.ServerID) Status {
	s := a.servers[id]
	if s == nil || s.phase != owned {
		return Status{}
	}
	return Status{
		Admitter: true, Allowed: a.allowed(s), Outstanding: s.busySlots(now), Queued: s.queue.Len(),
		Remembered: s.history.len(), Cold: s.ramp.cold,
	}
}

// HandlePeer handles GrantRequest, GrantRelease, GrantReport,
// AdmitterHandover and the Acks of handovers.
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

// Tick expires grants and queue entries, ends waits and repeats handovers.
func (a *Admitter) Tick(now time.Time) []peer.Message {
	var out []peer.Message
	for _, id := range sortedServers(a.servers) {
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

// HandoversPending returns the number of handovers that are not yet
// acknowledged; a leaving instance waits for zero.
func (a *Admitter) HandoversPending() int { return len(a.handovers) }

// checkPartition compares the view with the known instances: complete is set when
// it holds all of them, larger when it holds more than half. Of two halves,
// the one with the first in rank is the larger.
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
		first := rendezvous.Ranked(rendezvous.NewKey("larger part", 0), a.knownInstances, 1)[0]
		_, a.inMajority = a.state.Member(first)
	}
	if !a.viewComplete || wasComplete {
		return
	}
	// The admitters of the other side will hand over what they granted.
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

func sortedServers[T any](m map[model.ServerID]T) []model.ServerID {
	ids := make([]model.ServerID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func addedServers(old, new map[model.ServerID]*model.BackendServer) []model.ServerID {
	var added []model.ServerID
	for _, id := range sortedServers(new) {
		if old[id] == nil {
			added = append(added, id)
		}
	}
	return added
}
