// Package measure simulates flows through a fleet of entry instances, or of
// baselines in their place, and reports figures. It is a flow-level
// discrete-event simulation with a simulated clock, in one process and without
// sockets, so that one machine is enough for the measurements.
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

// One-way network delays of the model and the retransmission settings of its
// callers.
const (
	peerDelay   = 500 * time.Microsecond
	serverDelay = 500 * time.Microsecond
	callerDelay = 3 * time.Millisecond
	// interCentreDelay is the delay between two data centres. A control message
	// also takes peerDelay.
	interCentreDelay = time.Millisecond
	// delaySpread is the largest random addition to a delay.
	delaySpread = 500 * time.Microsecond

	tickInterval = 20 * time.Millisecond
	// A caller sends an opening up to maxOpenTransmissions times, once per
	// openRetransmitInterval.
	openRetransmitInterval = 300 * time.Millisecond
	maxOpenTransmissions   = 10
	// A caller sends a data packet that is not answered maxDataTransmissions
	// times before it counts the flow as broken.
	dataRetransmitInterval = 500 * time.Millisecond
	maxDataTransmissions   = 8
)

// balancer is the load balancer of an instance under measurement.
type balancer interface {
	handleCallerPacket(now time.Time, p *packet.Packet)
	handleServerPacket(now time.Time, from *server, p *packet.Packet)
	handlePeerMessage(now time.Time, from *instance, message any)
	tick(now time.Time)
	// membershipChanged makes a baseline read the servers and instances of its
	// data centre again. The product learns of changes by its own means.
	membershipChanged(now time.Time)
	// startPlannedStop starts a planned stop. It returns false if the scheme has
	// none.
	startPlannedStop(now time.Time) bool
}

// scheme is a load-balancing scheme.
type scheme struct {
	name        string
	newBalancer func(f *fleet, i *instance) balancer
}

type event struct {
	at time.Time
	// sequence orders events of the same time.
	sequence uint64
	run      func()
}

// eventQueue is a heap with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
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

// instance is an instance of the fleet. Each start gives it a new balancer.
type instance struct {
	id         model.InstanceID
	dataCentre *dataCentre
	alive      bool
	// listed reports whether the instance is in the platform's instance list.
	listed  bool
	started time.Time
	// incarnation is the number of starts.
	incarnation uint64
	balancer    balancer

	controlBytes uint64
	// controlBytesByKind holds the control bytes by kind of message.
	controlBytesByKind map[string]uint64
}

type dataCentre struct {
	name      model.DataCentre
	address   netip.AddrPort
	instances []*instance
	servers   []*server
}

// fleetSize describes the size and the load of a fleet. instances, servers, flows,
// openingsPerSecond and requestsPerSecond apply to each data centre.
type fleetSize struct {
	dataCentres int
	instances   int
	servers     int
	// slotsPerServer is the number of requests that a server runs concurrently.
	slotsPerServer int
	// flows is the number of flows that are open at a time.
	flows             int
	openingsPerSecond int
	// dataInterval is the mean time between two data packets of a flow.
	dataInterval      time.Duration
	requestsPerSecond int
	// serviceTime is the mean service time of a request.
	serviceTime time.Duration
	// alertShare is the share of requests with the highest priority.
	alertShare float64
	// flowIdleTimeout is the time without packets after which instances remove a
	// flow.
	flowIdleTimeout time.Duration
}

// fleet is the state of one simulation.
type fleet struct {
	size             fleetSize
	start            time.Time
	now              time.Time
	lastSequence     uint64
	events           eventQueue
	rng              *rand.Rand
	scheme           scheme
	dataCentres      []*dataCentre
	instancesByID    map[model.InstanceID]*instance
	serversByAddress map[netip.AddrPort]*server
	flows            map[netip.AddrPort]*flow
	// lastCaller is the number from which the newest caller address was made.
	lastCaller uint32
	operator   *operatorModel
	tally      tally
	// callersStopped ends new openings and requests of callers.
	callersStopped bool
	// arrivals holds the requests for the single-queue model.
	arrivals []arrival
}

// tally counts events of callers and servers.
type tally struct {
	opened, established, broken, refused, openingsGivenUp int
	// moved counts openings that callers repeated in another data centre after a
	// refusal.
	moved int
	// shed counts requests that a server refused because no slot was free.
	shed                                int
	packets, forwarded                  uint64
	requests, answered, requestsRefused int
	alertWaits                          []time.Duration
	lastPacket                          map[model.DataCentre]time.Time
}

func newFleet(size fleetSize, sch scheme, seed uint64) *fleet {
	f := &fleet{
		size: size, start: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 3)), scheme: sch,
		instancesByID: map[model.InstanceID]*instance{}, serversByAddress: map[netip.AddrPort]*server{}, flows: map[netip.AddrPort]*flow{},
		tally: tally{lastPacket: map[model.DataCentre]time.Time{}},
	}
	f.now = f.start
	for index := range size.dataCentres {
		f.addDataCentre(index)
	}
	f.operator = newOperatorModel(f)
	for _, dc := range f.dataCentres {
		for n := range size.instances {
			i := &instance{id: model.InstanceID(fmt.Sprintf("%s-%d", dc.name, n+1)), dataCentre: dc, listed: true}
			dc.instances = append(dc.instances, i)
			f.instancesByID[i.id] = i
			f.startInstance(i)
		}
	}
	f.notifyMembershipChanged(0)
	return f
}

func (f *fleet) addDataCentre(index int) {
	dc := &dataCentre{
		name:    model.DataCentre(fmt.Sprintf("dc%d", index+1)),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, byte(index + 1)}), 80),
	}
	for n := range f.size.servers {
		dc.servers = append(dc.servers, f.newServer(dc, n))
	}
	f.dataCentres = append(f.dataCentres, dc)
}

// startInstance starts or restarts an instance.
func (f *fleet) startInstance(i *instance) {
	i.incarnation++
	i.alive, i.started = true, f.now
	i.balancer = f.scheme.newBalancer(f, i)
	incarnation := i.incarnation
	f.every(tickInterval, func() bool {
		if i.incarnation != incarnation || !i.alive {
			return false
		}
		i.balancer.tick(f.now)
		return true
	})
}

func (f *fleet) after(d time.Duration, run func()) {
	f.lastSequence++
	heap.Push(&f.events, event{f.now.Add(d), f.lastSequence, run})
}

// every calls run at intervals of d, first after d, until run returns false.
func (f *fleet) every(d time.Duration, run func() bool) {
	f.after(d, func() {
		if run() {
			f.every(d, run)
		}
	})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// delay returns base plus a random addition.
func (f *fleet) delay(base time.Duration) time.Duration {
	return base + time.Duration(f.rng.Int64N(int64(delaySpread)))
}

func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

// spray sends a caller's packet to a random instance in the instance list, as the
// fabric does.
func (f *fleet) spray(dc *dataCentre, p packet.Packet) {
	var ready []*instance
	for _, i := range dc.instances {
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
			i.balancer.handleCallerPacket(f.now, &p)
		}
	})
}

func (f *fleet) sendToServer(i *instance, to *server, p packet.Packet) {
	f.after(f.delay(serverDelay), func() { to.handlePacket(i, i.incarnation, p) })
}

func (f *fleet) sendToCaller(p packet.Packet) {
	f.after(f.delay(callerDelay), func() {
		if fl := f.flows[p.Caller]; fl != nil {
			fl.handlePacket(p)
		}
	})
}

// sendToPeer sends a message to another instance: a packet if forwarded is set, and
// otherwise a control message of that many bytes.
func (f *fleet) sendToPeer(from *instance, to model.InstanceID, message any, bytes int, forwarded bool) {
	receiver := f.instancesByID[to]
	if forwarded {
		f.tally.forwarded++
	} else {
		from.controlBytes += uint64(bytes)
	}
	delay := f.delay(peerDelay)
	if receiver != nil && receiver.dataCentre != from.dataCentre {
		delay += interCentreDelay
	}
	f.after(delay, func() {
		if receiver != nil && receiver.alive {
			receiver.balancer.handlePeerMessage(f.now, from, message)
		}
	})
}

// instanceListLag is the delay of the instance list, from which the fabric learns
// the instances.
const instanceListLag = time.Second

func (f *fleet) killInstance(i *instance) {
	i.alive = false
	f.after(instanceListLag, func() { i.listed = i.alive })
	f.notifyMembershipChanged(instanceListLag)
}

// stopInstance starts a planned stop, or kills the instance if the scheme has
// none.
func (f *fleet) stopInstance(i *instance) {
	f.after(instanceListLag, func() { i.listed = false })
	if !i.balancer.startPlannedStop(f.now) {
		f.after(instanceListLag+500*time.Millisecond, func() { i.alive = false })
	}
	f.notifyMembershipChanged(instanceListLag)
}

func (f *fleet) restartInstance(i *instance) {
	f.startInstance(i)
	f.after(instanceListLag, func() { i.listed = true })
	f.notifyMembershipChanged(instanceListLag)
}

// notifyMembershipChanged notifies the balancers of a change after a delay. The
// notifications reach the instances up to half a second apart.
func (f *fleet) notifyMembershipChanged(delay time.Duration) {
	for _, dc := range f.dataCentres {
		for _, i := range dc.instances {
			instanceDelay := delay
			if delay > 0 {
				instanceDelay += time.Duration(f.rng.Int64N(int64(500 * time.Millisecond)))
			}
			f.after(instanceDelay, func() {
				if i.alive {
					i.balancer.membershipChanged(f.now)
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
