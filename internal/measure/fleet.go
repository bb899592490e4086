// Package measure runs traces of flows through a fleet of entry instances, or
// of baselines in their place, with a fake clock, and reports figures. It is a
// flow-level model for measurements on one machine: one process, no sockets.
package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

// One-way delays of the model: within a data centre and from callers.
const (
	peerDelay   = 500 * time.Microsecond
	serverDelay = 500 * time.Microsecond
	callerDelay = 3 * time.Millisecond
	centreDelay = time.Millisecond
	// delaySpread is the largest random addition to a delay.
	delaySpread = 500 * time.Microsecond

	tickInterval = 20 * time.Millisecond
	// openRepeat and openTries are how callers repeat an opening.
	openRepeat = 300 * time.Millisecond
	openTries  = 10
	// dataTries is how often a caller sends a data packet that gets no answer
	// before it counts the flow as broken.
	dataRepeat = 500 * time.Millisecond
	dataTries  = 8
)

// balancer is an entry instance under measurement.
type balancer interface {
	fromCaller(now time.Time, p *packet.Packet)
	fromServer(now time.Time, from *server, p *packet.Packet)
	fromPeer(now time.Time, from *instance, message any)
	tick(now time.Time)
	// changed tells baselines the new servers and instances of their data
	// centre; the product learns them by itself.
	changed(now time.Time)
	// leave starts a planned stop; it returns false when the scheme has none.
	leave(now time.Time) bool
}

// scheme makes an instance's balancer.
type scheme struct {
	name string
	make func(f *fleet, i *instance) balancer
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

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

// instance is a place for a balancer; a restart makes a new one in it.
type instance struct {
	id      model.InstanceID
	dc      *centre
	alive   bool
	listed  bool
	started time.Time
	run     uint64
	b       balancer

	controlBytes uint64
	// byKind splits the control bytes by message.
	byKind map[string]uint64
}

// centre is a data centre.
type centre struct {
	name      model.DataCentre
	address   netip.AddrPort
	instances []*instance
	servers   []*server
}

// size describes a fleet.
type size struct {
	centres   int
	instances int
	servers   int
	slots     int
	// flows are open at a time per data centre, openings happen per second.
	flows    int
	openings int
	// data is the mean time between two data packets of a flow.
	data time.Duration
	// requests per second and data centre, and their mean service time.
	requests int
	service  time.Duration
	// alerts is the share of requests with the highest priority.
	alerts float64
	// idle is the flow idle timeout of the instances.
	idle time.Duration
}

// fleet is one run.
type fleet struct {
	size     size
	start    time.Time
	now      time.Time
	seq      uint64
	q        eventQueue
	rng      *rand.Rand
	scheme   scheme
	centres  []*centre
	byID     map[model.InstanceID]*instance
	byAddr   map[netip.AddrPort]*server
	flows    map[netip.AddrPort]*flow
	nextPort uint32
	control  *operatorModel
	tally    tally
	// stopped ends the callers' new openings.
	stopped bool
	// arrivals of requests, for the single-queue model.
	arrivals []arrival
}

// tally counts what callers and servers saw.
type tally struct {
	opened, established, broken, refused, gaveUp int
	// moved counts flows that a refusal sent to another data centre.
	moved int
	// shed counts requests that met a server without a free slot.
	shed                               int
	packets, forwarded                 uint64
	requests, answered, requestRefused int
	alertWaits                         []time.Duration
	lastPacket                         map[model.DataCentre]time.Time
}

func newFleet(s size, sch scheme, seed uint64) *fleet {
	f := &fleet{
		size: s, start: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 3)), scheme: sch,
		byID: map[model.InstanceID]*instance{}, byAddr: map[netip.AddrPort]*server{}, flows: map[netip.AddrPort]*flow{},
		tally: tally{lastPacket: map[model.DataCentre]time.Time{}},
	}
	f.now = f.start
	for d := range s.centres {
		f.addCentre(d)
	}
	f.control = newOperatorModel(f)
	for _, c := range f.centres {
		for n := range s.instances {
			i := &instance{id: model.InstanceID(fmt.Sprintf("%s-%d", c.name, n+1)), dc: c, listed: true}
			c.instances = append(c.instances, i)
			f.byID[i.id] = i
			f.launch(i)
		}
	}
	f.notifyChanged(0)
	return f
}

func (f *fleet) addCentre(d int) {
	c := &centre{
		name:    model.DataCentre(fmt.Sprintf("dc%d", d+1)),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, byte(d + 1)}), 80),
	}
	for n := range f.size.servers {
		c.servers = append(c.servers, f.newServer(c, n))
	}
	f.centres = append(f.centres, c)
}

// launch starts or restarts an instance.
func (f *fleet) launch(i *instance) {
	i.run++
	i.alive, i.started = true, f.now
	i.b = f.scheme.make(f, i)
	run := i.run
	f.every(tickInterval, func() bool {
		if i.run != run || !i.alive {
			return false
		}
		i.b.tick(f.now)
		return true
	})
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.q, event{f.now.Add(d), f.seq, run})
}

func (f *fleet) every(d time.Duration, run func() bool) {
	f.after(d, func() {
		if run() {
			f.every(d, run)
		}
	})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.q) > 0 && !f.q[0].at.After(end) {
		e := heap.Pop(&f.q).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) delay(base time.Duration) time.Duration {
	return base + time.Duration(f.rng.Int64N(int64(delaySpread)))
}

func (f *fleet) exp(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

// spray hands a caller's packet to a random instance that the fabric knows.
func (f *fleet) spray(c *centre, p packet.Packet) {
	var ready []*instance
	for _, i := range c.instances {
		if i.listed {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[f.rng.IntN(len(ready))]
	f.tally.packets++
	f.after(f.delay(callerDelay), func() {
		if i.alive {
			i.b.fromCaller(f.now, &p)
		}
	})
}

// toServer carries a packet from an instance to a server.
func (f *fleet) toServer(i *instance, to *server, p packet.Packet) {
	f.after(f.delay(serverDelay), func() { to.receive(i, i.run, p) })
}

// toCaller carries a packet to the caller of its flow.
func (f *fleet) toCaller(p packet.Packet) {
	f.after(f.delay(callerDelay), func() {
		if fl := f.flows[p.Caller]; fl != nil {
			fl.receive(p)
		}
	})
}

// toPeer carries a control message of n bytes, or a forwarded packet.
func (f *fleet) toPeer(from *instance, to model.InstanceID, message any, n int, forwarded bool) {
	i := f.byID[to]
	if forwarded {
		f.tally.forwarded++
	} else {
		from.controlBytes += uint64(n)
	}
	d := f.delay(peerDelay)
	if i != nil && i.dc != from.dc {
		d += centreDelay
	}
	f.after(d, func() {
		if i != nil && i.alive {
			i.b.fromPeer(f.now, from, message)
		}
	})
}

// listLag is the lag of the instance list that the fabric follows.
const listLag = time.Second

func (f *fleet) kill(i *instance) {
	i.alive = false
	f.after(listLag, func() { i.listed = i.alive })
	f.notifyChanged(listLag)
}

// stop makes a planned stop, or a kill where the scheme knows none.
func (f *fleet) stop(i *instance) {
	f.after(listLag, func() { i.listed = false })
	if !i.b.leave(f.now) {
		f.after(listLag+500*time.Millisecond, func() { i.alive = false })
	}
	f.notifyChanged(listLag)
}

func (f *fleet) restart(i *instance) {
	f.launch(i)
	f.after(listLag, func() { i.listed = true })
	f.notifyChanged(listLag)
}

// notifyChanged tells the baselines of a change; updates reach instances
// unevenly, up to half a second apart.
func (f *fleet) notifyChanged(after time.Duration) {
	for _, c := range f.centres {
		for _, i := range c.instances {
			d := after
			if after > 0 {
				d += time.Duration(f.rng.Int64N(int64(500 * time.Millisecond)))
			}
			f.after(d, func() {
				if i.alive {
					i.b.changed(f.now)
				}
			})
		}
	}
}

// server is a backend server of the model.
type server struct {
	f     *fleet
	dc    *centre
	entry *pb.ServerEntry
	id    model.ServerID
	addr  netip.AddrPort
	alive bool
	drain bool
	flows map[netip.AddrPort]bool
	busy  int
	// cold is set until warmAt.
	cold   bool
	warmAt time.Time
	// slow multiplies the service time.
	slow float64

	secondStart             time.Time
	inSecond                int
	coldPeak                float64
	lastOpening, lastPacket time.Time
}

const (
	coldSlots    = 1
	coldOpenings = 40
	serviceName  = "svc"
)

func (f *fleet) newServer(c *centre, n int) *server {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, c.address.Addr().As4()[3], byte(n + 1)}), 9000)
	name := fmt.Sprintf("%s-%d", c.name, n+1)
	s := &server{
		f: f, dc: c, addr: addr, alive: true, flows: map[netip.AddrPort]bool{}, slow: 1, id: model.NewServerID(serviceName, name),
		entry: &pb.ServerEntry{Name: name, Address: addr.String(), Slots: uint32(f.size.slots), Connections: 2000, ColdSlots: coldSlots, ColdOpeningsPerSecond: coldOpenings},
	}
	f.byAddr[addr] = s
	return s
}

// goCold makes the server bear little until it has been warm for some time.
func (s *server) goCold(d time.Duration) {
	s.cold, s.warmAt = true, s.f.now.Add(d)
}

func (s *server) receive(from *instance, run uint64, p packet.Packet) {
	if !s.alive {
		return
	}
	s.lastPacket = s.f.now
	s.f.tally.lastPacket[s.dc.name] = s.f.now
	if s.cold && s.f.now.After(s.warmAt) {
		s.cold = false
	}
	answer := p
	answer.Cold = s.cold
	switch p.Kind {
	case pb.Kind_KIND_OPEN:
		s.countOpening(p)
		s.flows[p.Caller] = true
		answer.Kind = pb.Kind_KIND_OPEN_ACK
	case pb.Kind_KIND_DATA:
		if !s.flows[p.Caller] {
			answer.Kind, answer.Reason, answer.Outcome = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_UNKNOWN_FLOW, pb.Outcome_OUTCOME_DID_NOT_RUN
		}
	case pb.Kind_KIND_CLOSE:
		delete(s.flows, p.Caller)
		return
	case pb.Kind_KIND_REQUEST:
		s.request(from, run, p)
		return
	}
	s.answer(from, run, answer)
}

// countOpening keeps the highest number of openings within a second that a
// cold server got, over what it bears.
func (s *server) countOpening(p packet.Packet) {
	if s.flows[p.Caller] {
		return
	}
	s.lastOpening = s.f.now
	if s.f.now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.inSecond = s.f.now, 0
	}
	s.inSecond++
	if s.cold {
		s.coldPeak = max(s.coldPeak, float64(s.inSecond)/coldOpenings)
	}
}

func (s *server) request(from *instance, run uint64, p packet.Packet) {
	answer := p
	answer.Cold = s.cold
	slots := s.f.size.slots
	if s.cold {
		slots = coldSlots
		s.coldPeak = max(s.coldPeak, float64(s.busy+1)/coldSlots)
	}
	answer.Outcome = pb.Outcome_OUTCOME_DID_NOT_RUN
	if !s.flows[p.Caller] {
		answer.Kind, answer.Reason = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_UNKNOWN_FLOW
		s.answer(from, run, answer)
		return
	}
	if s.busy >= slots {
		answer.Kind, answer.Reason = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_SHED
		s.f.tally.shed++
		s.answer(from, run, answer)
		return
	}
	answer.Outcome = pb.Outcome_OUTCOME_UNSPECIFIED
	if fl := s.f.flows[p.Caller]; fl != nil {
		fl.serviceBegins(p.RequestID)
	}
	s.busy++
	s.f.after(time.Duration(float64(s.f.serviceTime(p.RequestID))*s.slow), func() {
		s.busy--
		answer.Kind, answer.Parts = pb.Kind_KIND_ANSWER, 1
		s.answer(from, run, answer)
	})
}

func (s *server) answer(to *instance, run uint64, p packet.Packet) {
	s.f.after(s.f.delay(serverDelay), func() {
		if to.alive && to.run == run {
			to.b.fromServer(s.f.now, s, &p)
		}
	})
}
