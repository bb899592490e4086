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

const (
	coldSlots    = 1
	coldOpenings = 40
	serviceName  = "svc"
)
