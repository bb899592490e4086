package faultmatrix

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	// instanceListLag is the delay after which a change of an instance appears
	// in the instance list that the fabric and the instances read.
	instanceListLag = 1500 * time.Millisecond
	// socketBufferInputs is the number of inputs that are queued for a frozen
	// instance; further inputs are dropped.
	socketBufferInputs = 200
	// storeTimeout is the time after which a store call without an answer fails.
	storeTimeout = time.Second
)

type event struct {
	at time.Time
	// seq orders events of the same time.
	seq uint64
	run func()
}

// eventQueue is a heap with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simInstance is an instance with the state of its lifecycle.
type simInstance struct {
	spec   InstanceSpec
	impl   Instance
	alive  bool
	frozen bool
	// leaving reports whether the instance list shows the instance as leaving.
	leaving bool
	// queued holds the inputs that arrived while the instance was frozen.
	queued    []any
	startedAt time.Time
	// listed reports whether the instance list contains the instance.
	listed bool
	// inFlight holds the requests that the instance has sent to a server and not
	// answered, with the time at which it sent them.
	inFlight map[requestKey]time.Time
}

type requestKey struct {
	flow wire.Flow
	id   uint64
}

// sim is the simulation of one cell.
type sim struct {
	start, now time.Time
	seq        uint64
	events     eventQueue
	rng        *rand.Rand
	factory    Factory

	instances   map[model.InstanceID]*simInstance
	instanceIDs []model.InstanceID
	servers     map[netip.AddrPort]*fakeServer
	flows       map[wire.Flow]*fakeFlow
	flowKeys    []wire.Flow
	store       *fakeStore
	operator    *operator
	observer    *observer
	trace       []string

	// partitions report whether traffic between two endpoints is blocked. An
	// endpoint is the ID of an instance or "platform".
	partitions []func(from, to string) bool
	// replyDelay and replyDuplicateProbability apply to the packets from servers
	// to instances.
	replyDelay                time.Duration
	replyDuplicateProbability float64
	// silentPaths holds the paths that drop all packets, by pathKey.
	silentPaths     map[string]bool
	lastIncarnation uint64
	// outputHooks are called with each output of an instance; steps use them as
	// triggers.
	outputHooks []func(inst *simInstance, out any)
	// tracedCaller is the address (ip:port) of the caller whose packets are
	// traced; it is empty if none is.
	tracedCaller string
	// onServerPacket is called when a server's packet reaches an instance. It
	// may be nil.
	onServerPacket func(inst *simInstance, srv *fakeServer, p *pb.Packet)
}

// faultTarget names the instance, the server and the path that faults apply to.
// A step fills in those that are part of its situation.
type faultTarget struct {
	instance model.InstanceID
	server   netip.AddrPort
	path     int
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

func newSim(seed uint64, factory Factory) *sim {
	s := &sim{
		start: time.Unix(1_700_000_000, 0), rng: newRand(seed), factory: factory,
		instances: map[model.InstanceID]*simInstance{}, servers: map[netip.AddrPort]*fakeServer{},
		flows: map[wire.Flow]*fakeFlow{}, silentPaths: map[string]bool{},
	}
	s.now = s.start
	s.store = newFakeStore(s)
	s.observer = newObserver(s)
	s.operator = newOperator(s)
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, run})
}

// every runs f at intervals of d, first after d, until f returns false.
func (s *sim) every(d time.Duration, f func() bool) {
	s.after(d, func() {
		if f() {
			s.every(d, f)
		}
	})
}

// runUntil runs the events up to t, the time since the start of the simulation.
func (s *sim) runUntil(t time.Duration) {
	end := s.start.Add(t)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Sub(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// traceMessage traces a packet of the traced caller, and control messages that
// name one of its flows by its hash. where names the sender and the receiver in
// free text.
func (s *sim) traceMessage(where string, message any) {
	if s.tracedCaller == "" {
		return
	}
	switch m := message.(type) {
	case *pb.Packet:
		if wire.FlowOf(m).Caller.String() == s.tracedCaller {
			s.tracef("%s: %v request %x, caller attempt %d, %v %v %s", where, m.GetKind(), m.GetRequestId(), m.GetCallerAttempt(), m.GetReason(), m.GetOutcome(), m.GetPayload())
		}
	case *pb.PeerBatch:
		for _, f := range s.flows {
			if f.key.Caller.String() != s.tracedCaller {
				continue
			}
			hash := fmt.Sprint(uint64(model.FlowKey(f.key).Hash()))
			for _, msg := range m.GetMessages() {
				if text := msg.String(); strings.Contains(text, hash) && len(text) < 2000 {
					s.tracef("%s: %s", where, text)
				}
			}
		}
	}
}

// jitter returns a random duration from base to base plus spread.
func (s *sim) jitter(base, spread time.Duration) time.Duration {
	return base + time.Duration(s.rng.Int64N(int64(spread)+1))
}

// blocked reports whether a partition blocks traffic between two endpoints, in
// either direction.
func (s *sim) blocked(from, to string) bool {
	for _, separates := range s.partitions {
		if separates(from, to) || separates(to, from) {
			return true
		}
	}
	return false
}

// deliver passes an input to an instance and carries out its outputs. Inputs of a
// frozen instance are queued, those of a dead one dropped.
func (s *sim) deliver(inst *simInstance, in any) {
	if !inst.alive {
		return
	}
	if inst.frozen {
		if len(inst.queued) < socketBufferInputs {
			inst.queued = append(inst.queued, in)
		}
		return
	}
	for _, out := range inst.impl.Handle(s.now, in) {
		s.handleOutput(inst, out)
		for _, h := range s.outputHooks {
			h(inst, out)
		}
	}
	s.observer.checkVersion(inst)
}

// send delivers an input to an instance after a delay, unless the instance
// restarts in the meantime. It returns false if the input is not delivered.
func (s *sim) send(from string, to model.InstanceID, delay time.Duration, in any) bool {
	inst := s.instances[to]
	if inst == nil || s.blocked(from, string(to)) {
		return false
	}
	incarnation := inst.spec.Incarnation
	s.after(delay, func() {
		if inst.spec.Incarnation == incarnation {
			s.deliver(inst, in)
		}
	})
	return true
}

func (s *sim) handleOutput(inst *simInstance, out any) {
	id := string(inst.spec.ID)
	switch o := out.(type) {
	case ToCaller:
		p := clonePacket(o.P)
		delete(inst.inFlight, requestKey{wire.FlowOf(p), p.GetRequestId()})
		s.after(s.jitter(time.Millisecond, time.Millisecond), func() { s.deliverToCaller(inst, p) })
	case ToServer:
		p := clonePacket(o.P)
		s.traceMessage(fmt.Sprintf("%s to %s", id, o.To), p)
		if p.GetKind() == pb.Kind_KIND_REQUEST {
			inst.inFlight[requestKey{wire.FlowOf(p), p.GetRequestId()}] = s.now
		}
		if s.silentPaths[pathKey(inst.spec.ID, o.To, o.Path)] {
			return
		}
		s.after(s.jitter(200*time.Microsecond, 300*time.Microsecond), func() {
			if srv := s.servers[o.To]; srv != nil {
				srv.receive(inst, o.Path, p)
			}
		})
	case ToInstance:
		for _, to := range s.instanceIDs {
			if instanceAddr(to) == o.To {
				s.send(id, to, s.jitter(time.Millisecond, time.Millisecond), CallerPacket{clonePacket(o.P)})
			}
		}
	case ReplacePath:
		for _, srv := range s.servers {
			if model.NewServerID(srv.service, srv.name) == o.Server {
				s.tracef("%s replaces the socket of path %d to server %s", inst.spec.ID, o.Path, srv.name)
				delete(s.silentPaths, pathKey(inst.spec.ID, srv.addr, o.Path))
			}
		}
	case ToPeer:
		s.traceMessage(fmt.Sprintf("%s to %s", id, o.To), o.B)
		delay := s.jitter(200*time.Microsecond, 300*time.Microsecond)
		if peer := s.instances[o.To]; peer != nil && peer.spec.DataCentre != inst.spec.DataCentre {
			delay += time.Millisecond
		}
		s.send(id, o.To, delay, PeerBatch{o.B})
	case StoreCall:
		s.store.handleCall(inst, o)
	case HealthCall:
		s.callHealth(inst, o)
	case EditReply:
		s.operator.handleReply(o)
	case Stopped:
		s.tracef("%s stopped", inst.spec.ID)
		s.observer.checkPlannedStop(inst)
		s.stop(inst)
	default:
		panic(fmt.Sprintf("unknown output %T", out))
	}
}

func pathKey(id model.InstanceID, server netip.AddrPort, path int) string {
	return fmt.Sprintf("%s>%s#%d", id, server, path)
}

func (s *sim) deliverToCaller(inst *simInstance, p *pb.Packet) {
	s.traceMessage(string(inst.spec.ID)+" to caller", p)
	if f := s.flows[wire.FlowOf(p)]; f != nil {
		f.receive(inst, p)
	}
}

// sendThroughFabric sends a caller's datagram to a random instance of the data
// centre that is listed and not leaving.
func (s *sim) sendThroughFabric(dc model.DataCentre, p *pb.Packet) {
	var ready []*simInstance
	for _, id := range s.instanceIDs {
		if inst := s.instances[id]; inst.listed && !inst.leaving && inst.spec.DataCentre == dc {
			ready = append(ready, inst)
		}
	}
	if len(ready) == 0 {
		return
	}
	inst := ready[s.rng.IntN(len(ready))]
	p = clonePacket(p)
	s.traceMessage("caller to "+string(inst.spec.ID), p)
	s.after(s.jitter(3*time.Millisecond, time.Millisecond), func() { s.deliver(inst, CallerPacket{p}) })
}

// callHealth answers an instance's read of a server's health endpoint with the
// status at the time of the call.
func (s *sim) callHealth(inst *simInstance, c HealthCall) {
	incarnation := inst.spec.Incarnation
	for _, srv := range s.servers {
		if srv.addr.String() != c.Address {
			continue
		}
		status := srv.status()
		s.after(time.Millisecond, func() {
			if inst.spec.Incarnation == incarnation {
				s.deliver(inst, HealthReply{c.Server, status})
			}
		})
	}
}

var errUnavailable = errors.New("object store is unavailable")

var errVersionMismatch = errors.New("object version mismatch")
