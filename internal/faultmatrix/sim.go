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
	// listLag is the age of the instance list that the fabric and the
	// instances see.
	listLag = 1500 * time.Millisecond
	// socketBuffer is the number of datagrams that wait for a frozen instance.
	socketBuffer = 200
	// rpcTimeout ends peer and store calls that get no answer.
	rpcTimeout = time.Second
)

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is an instance with its lifecycle.
type node struct {
	spec    NodeSpec
	core    Node
	alive   bool
	frozen  bool
	leaving bool
	waiting []any
	// diedAt is when the instance list will notice.
	changed time.Time
	listed  bool
	// coordinated holds the requests that the instance has passed to a server
	// and not answered.
	coordinated map[reqKey]time.Time
}

type reqKey struct {
	flow wire.Flow
	id   uint64
}

// sim is one run.
type sim struct {
	start, now time.Time
	seq        uint64
	q          queue
	rng        *rand.Rand
	factory    Factory

	nodes   map[model.InstanceID]*node
	order   []model.InstanceID
	servers map[netip.AddrPort]*fakeServer
	flows   map[wire.Flow]*fakeFlow
	flowIDs []wire.Flow
	store   *fakeStore
	op      *operator
	obs     *observer
	trace   []string

	// cut reports whether traffic between two places is blocked. Places are
	// instance IDs, "platform" and data centre names.
	cuts []func(from, to string) bool
	// Faults of the path from servers to instances.
	answerDelay     time.Duration
	answerDuplicate float64
	silentPaths     map[string]bool
	incarnation     uint64
	// hooks are called with what the instances do; steps use them as triggers.
	hooks []func(n *node, out any)
	// watched is the caller whose packets are traced.
	watched string
	// onAnswer is called when a server's packet reaches an instance.
	onAnswer func(n *node, f *fakeServer, p *pb.Packet)
}

// focus names what a step is about; faults hit it.
type focus struct {
	node   model.InstanceID
	server netip.AddrPort
	path   int
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

func newSim(seed uint64, factory Factory) *sim {
	s := &sim{
		start: time.Unix(1_700_000_000, 0), rng: newRand(seed), factory: factory,
		nodes: map[model.InstanceID]*node{}, servers: map[netip.AddrPort]*fakeServer{},
		flows: map[wire.Flow]*fakeFlow{}, silentPaths: map[string]bool{},
	}
	s.now = s.start
	s.store = newFakeStore(s)
	s.obs = newObserver(s)
	s.op = newOperator(s)
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.q, event{s.now.Add(d), s.seq, run})
}

// every runs f at an interval until it returns false.
func (s *sim) every(d time.Duration, f func() bool) {
	s.after(d, func() {
		if f() {
			s.every(d, f)
		}
	})
}

func (s *sim) runUntil(t time.Duration) {
	end := s.start.Add(t)
	for len(s.q) > 0 && !s.q[0].at.After(end) {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) log(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Sub(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// watch traces a packet of the watched caller, and control messages that name
// its flow.
func (s *sim) watch(where string, v any) {
	if s.watched == "" {
		return
	}
	switch m := v.(type) {
	case *pb.Packet:
		if wire.FlowOf(m).Caller.String() == s.watched {
			s.log("%s: %v request %x copy %d %v %v %s", where, m.GetKind(), m.GetRequestId(), m.GetCallerAttempt(), m.GetReason(), m.GetOutcome(), m.GetPayload())
		}
	case *pb.PeerBatch:
		for _, f := range s.flows {
			if f.key.Caller.String() != s.watched {
				continue
			}
			hash := fmt.Sprint(uint64(model.FlowKey(f.key).Hash()))
			for _, msg := range m.GetMessages() {
				if text := msg.String(); strings.Contains(text, hash) && len(text) < 2000 {
					s.log("%s: %s", where, text)
				}
			}
		}
	}
}

func (s *sim) jitter(base, spread time.Duration) time.Duration {
	return base + time.Duration(s.rng.Int64N(int64(spread)+1))
}

func (s *sim) blocked(from, to string) bool {
	for _, c := range s.cuts {
		if c(from, to) || c(to, from) {
			return true
		}
	}
	return false
}

func (s *sim) deliver(n *node, in any) {
	if !n.alive {
		return
	}
	if n.frozen {
		if len(n.waiting) < socketBuffer {
			n.waiting = append(n.waiting, in)
		}
		return
	}
	for _, out := range n.core.Handle(s.now, in) {
		s.act(n, out)
		for _, h := range s.hooks {
			h(n, out)
		}
	}
	s.obs.version(n)
}

// send delivers to an instance after a delay, unless it restarted meanwhile.
func (s *sim) send(from string, to model.InstanceID, delay time.Duration, in any) bool {
	n := s.nodes[to]
	if n == nil || s.blocked(from, string(to)) {
		return false
	}
	inc := n.spec.Incarnation
	s.after(delay, func() {
		if n.spec.Incarnation == inc {
			s.deliver(n, in)
		}
	})
	return true
}

func (s *sim) act(n *node, out any) {
	id := string(n.spec.ID)
	switch o := out.(type) {
	case ToCaller:
		p := clonePacket(o.P)
		delete(n.coordinated, reqKey{wire.FlowOf(p), p.GetRequestId()})
		s.after(s.jitter(time.Millisecond, time.Millisecond), func() { s.toCaller(n, p) })
	case ToServer:
		p := clonePacket(o.P)
		s.watch(fmt.Sprintf("%s to %s", id, o.To), p)
		if p.GetKind() == pb.Kind_KIND_REQUEST {
			n.coordinated[reqKey{wire.FlowOf(p), p.GetRequestId()}] = s.now
		}
		if s.silentPaths[pathKey(n.spec.ID, o.To, o.Path)] {
			return
		}
		s.after(s.jitter(200*time.Microsecond, 300*time.Microsecond), func() {
			if srv := s.servers[o.To]; srv != nil {
				srv.receive(n, o.Path, p)
			}
		})
	case ToInstance:
		for _, to := range s.order {
			if instanceAddr(to) == o.To {
				s.send(id, to, s.jitter(time.Millisecond, time.Millisecond), CallerPacket{clonePacket(o.P)})
			}
		}
	case ReplacePath:
		for _, srv := range s.servers {
			if model.NewServerID(srv.service, srv.name) == o.Server {
				s.log("%s replaces path %d of %s", n.spec.ID, o.Path, srv.name)
				delete(s.silentPaths, pathKey(n.spec.ID, srv.addr, o.Path))
			}
		}
	case ToPeer:
		s.watch(fmt.Sprintf("%s to %s", id, o.To), o.B)
		delay := s.jitter(200*time.Microsecond, 300*time.Microsecond)
		if peer := s.nodes[o.To]; peer != nil && peer.spec.DataCentre != n.spec.DataCentre {
			delay += time.Millisecond
		}
		s.send(id, o.To, delay, PeerBatch{o.B})
	case StoreCall:
		s.store.call(n, o)
	case HealthCall:
		s.health(n, o)
	case EditReply:
		s.op.reply(o)
	case Stopped:
		s.log("%s stopped", n.spec.ID)
		s.obs.plannedStop(n)
		s.stop(n)
	default:
		panic(fmt.Sprintf("unknown output %T", out))
	}
}

func pathKey(id model.InstanceID, server netip.AddrPort, path int) string {
	return fmt.Sprintf("%s>%s#%d", id, server, path)
}

func (s *sim) toCaller(n *node, p *pb.Packet) {
	s.watch(string(n.spec.ID)+" to caller", p)
	if f := s.flows[wire.FlowOf(p)]; f != nil {
		f.receive(n, p)
	}
}

// fabric delivers a caller's datagram to a random listed instance.
func (s *sim) fabric(dc model.DataCentre, p *pb.Packet) {
	var ready []*node
	for _, id := range s.order {
		if n := s.nodes[id]; n.listed && !n.leaving && n.spec.DataCentre == dc {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return
	}
	n := ready[s.rng.IntN(len(ready))]
	p = clonePacket(p)
	s.watch("caller to "+string(n.spec.ID), p)
	s.after(s.jitter(3*time.Millisecond, time.Millisecond), func() { s.deliver(n, CallerPacket{p}) })
}

func (s *sim) health(n *node, c HealthCall) {
	inc := n.spec.Incarnation
	for _, srv := range s.servers {
		if srv.addr.String() != c.Address {
			continue
		}
		status := srv.status()
		s.after(time.Millisecond, func() {
			if n.spec.Incarnation == inc {
				s.deliver(n, HealthReply{c.Server, status})
			}
		})
	}
}

var errUnavailable = errors.New("object store is unavailable")

var errConflict = errors.New("object has another version")
