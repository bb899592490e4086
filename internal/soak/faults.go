package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/server"
	"cuminshift/internal/standin/platform/store"
)

const (
	drainBound       = 3 * time.Second
	evacuateBound    = 5 * time.Second
	maxFaultDuration = 3 * time.Second
)

// event is one disruption or piece of planned work.
type event struct {
	at    time.Duration
	name  string
	apply func(*faultInjector)
}

// run is one soak under way.
type faultInjector struct {
	fleet         *fleet
	obs           *observer
	rng           *rand.Rand
	configVersion int
}

// kinds are the disruptions; unplanned ones excuse what follows within settle.
var eventKinds = []struct {
	name  string
	apply func(*faultInjector, time.Duration)
}{
	{"kill an instance", (*faultInjector).killInstance},
	{"kill half of the instances", (*faultInjector).killHalfOfInstances},
	{"pause an instance", (*faultInjector).pauseInstance},
	{"stop an instance as planned", (*faultInjector).stopInstance},
	{"hang up on an instance", (*faultInjector).hangUpInstance},
	{"store out", (*faultInjector).failStore},
	{"store slow", (*faultInjector).slowStore},
	{"path to the store troubled", (*faultInjector).impairStorePath},
	{"history dropped", (*faultInjector).compactStore},
	{"packets to an instance lost", (*faultInjector).blackholeInstance},
	{"server killed", (*faultInjector).killServer},
	{"server drained", (*faultInjector).drainServer},
	{"configuration changed", (*faultInjector).changeConfiguration},
	{"zone evacuated", (*faultInjector).evacuateZone},
}

// schedule draws the events of a soak. They come in series and overlap.
func drawSchedule(rng *rand.Rand, count int, period time.Duration) []event {
	var events []event
	for range count {
		kind := eventKinds[rng.IntN(len(eventKinds))]
		duration := time.Duration(float64(maxFaultDuration) * (0.2 + 0.8*rng.Float64()))
		at := time.Duration(rng.Float64() * float64(period))
		events = append(events, event{at: at, name: kind.name, apply: func(r *faultInjector) { kind.apply(r, duration) }})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func (r *faultInjector) runSchedule(ctx context.Context, events []event) {
	start := time.Now()
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.at - time.Since(start)):
		}
		r.obs.logEvent(e.name)
		e.apply(r)
	}
}

func (r *faultInjector) randomInstance() *instanceProcess {
	return r.fleet.instances[r.rng.IntN(len(r.fleet.instances))]
}

func (r *faultInjector) killInstance(time.Duration) {
	r.obs.noteFault(time.Now().Add(restartDelay))
	r.randomInstance().signal(syscall.SIGKILL)
}

func (r *faultInjector) killHalfOfInstances(time.Duration) {
	r.obs.noteFault(time.Now().Add(restartDelay))
	for i, p := range r.fleet.instances {
		if i%2 == 0 {
			p.signal(syscall.SIGKILL)
		}
	}
}

func (r *faultInjector) pauseInstance(duration time.Duration) {
	p := r.randomInstance()
	r.obs.noteFault(time.Now().Add(duration))
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { p.signal(syscall.SIGCONT) })
}

func (r *faultInjector) stopInstance(time.Duration) { r.randomInstance().signal(syscall.SIGTERM) }

func (r *faultInjector) hangUpInstance(time.Duration) { r.randomInstance().signal(syscall.SIGHUP) }

func (r *faultInjector) failStore(duration time.Duration) {
	r.obs.noteFault(time.Now().Add(duration))
	r.fleet.store.SetMode(store.Mode(1+r.rng.IntN(3)), 0)
	time.AfterFunc(duration, func() { r.fleet.store.SetMode(store.Up, 0) })
}

func (r *faultInjector) slowStore(duration time.Duration) {
	r.obs.noteFault(time.Now().Add(duration))
	r.fleet.store.SetMode(store.Up, 300*time.Millisecond)
	time.AfterFunc(duration, func() { r.fleet.store.SetMode(store.Up, 0) })
}

func (r *faultInjector) impairStorePath(duration time.Duration) {
	p := r.fleet.storeProxies[r.rng.IntN(len(r.fleet.storeProxies))]
	r.obs.noteFault(time.Now().Add(duration))
	p.setMode(proxyMode(1 + r.rng.IntN(int(modeCount)-1)))
	time.AfterFunc(duration, func() { p.setMode(modeForward) })
}

// cutPackets loses all packets from the routers to an instance that goes on to
// report ready.
func (r *faultInjector) blackholeInstance(duration time.Duration) {
	address := r.fleet.packetAddresses[r.rng.IntN(len(r.fleet.packetAddresses))]
	r.obs.noteFault(time.Now().Add(duration))
	for _, router := range r.fleet.routers {
		router.SetBlackholed(address, true)
	}
	time.AfterFunc(duration, func() {
		for _, router := range r.fleet.routers {
			router.SetBlackholed(address, false)
		}
	})
}

func (r *faultInjector) compactStore(time.Duration) { r.fleet.store.Compact() }

// pick takes a server of campo of which others remain in its zone.
func (r *faultInjector) pickServer() *server.Server {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	var ids []string
	for id, s := range r.fleet.servers {
		if s.Service() == "campo" && r.obs.isServing(id) {
			ids = append(ids, id)
		}
	}
	if len(ids) <= len(zones) {
		return nil
	}
	slices.Sort(ids)
	return r.fleet.servers[ids[r.rng.IntN(len(ids))]]
}

// serverKill kills a server; its address goes to another service, and a new
// server of its own service comes.
func (r *faultInjector) killServer(duration time.Duration) {
	s := r.pickServer()
	if s == nil {
		return
	}
	r.obs.noteFault(time.Now().Add(duration))
	r.obs.noteServerGone(s.ID())
	s.Kill()
	r.replaceServer(s, duration, "ordenes")
}

// replace starts what comes after a server.
func (r *faultInjector) replaceServer(s *server.Server, delay time.Duration, service string) {
	zone := slices.Index(zones, s.Zone())
	time.AfterFunc(delay, func() {
		r.fleet.store.Delete("servers", s.ID())
		if _, err := r.fleet.addServer(zone, service, int(s.Address().Addr().As4()[3])); err != nil {
			r.obs.logEvent("server not replaced: " + err.Error())
		}
		if _, err := r.fleet.addServer(zone, "campo", 0); err != nil {
			r.obs.logEvent("server not added: " + err.Error())
		}
	})
}

// serverDrain lets a server leave as planned.
func (r *faultInjector) drainServer(time.Duration) {
	s := r.pickServer()
	if s == nil {
		return
	}
	s.Drain()
	r.obs.noteDrain(s.ID(), time.Now().Add(drainBound))
	zone := slices.Index(zones, s.Zone())
	if _, err := r.fleet.addServer(zone, "campo", 0); err != nil {
		r.obs.logEvent("server not added: " + err.Error())
	}
	time.AfterFunc(drainBound+time.Second, func() {
		r.obs.noteServerGone(s.ID())
		s.Kill()
		r.fleet.store.Delete("servers", s.ID())
	})
}

// change writes a version that adds or drops routes nobody uses.
func (r *faultInjector) changeConfiguration(time.Duration) {
	r.configVersion += 1 + r.rng.IntN(5)
	r.fleet.configure(r.configVersion, len(routes)+r.rng.IntN(300))
}

func (r *faultInjector) evacuateZone(duration time.Duration) {
	zone := zones[r.rng.IntN(len(zones))]
	operator.Evacuate(r.fleet.store, zone)
	time.AfterFunc(evacuateBound+duration, func() { operator.EndEvacuation(r.fleet.store, zone) })
}
