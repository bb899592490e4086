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
	drainBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	longest       = 3 * time.Second
)

// event is one disruption or piece of planned work.
type event struct {
	at    time.Duration
	name  string
	apply func(*run)
}

// run is one soak under way.
type run struct {
	fleet   *fleet
	watch   *observer
	rng     *rand.Rand
	version int
}

// kinds are the disruptions; unplanned ones excuse what follows within settle.
var kinds = []struct {
	name  string
	apply func(*run, time.Duration)
}{
	{"kill an instance", (*run).kill},
	{"kill half of the instances", (*run).killHalf},
	{"pause an instance", (*run).pause},
	{"stop an instance as planned", (*run).term},
	{"hang up on an instance", (*run).hup},
	{"store out", (*run).storeOut},
	{"store slow", (*run).storeSlow},
	{"path to the store troubled", (*run).path},
	{"history dropped", (*run).compact},
	{"packets to an instance lost", (*run).cutPackets},
	{"server killed", (*run).serverKill},
	{"server drained", (*run).serverDrain},
	{"configuration changed", (*run).change},
	{"zone evacuated", (*run).evacuate},
}

// schedule draws the events of a soak. They come in series and overlap.
func schedule(rng *rand.Rand, n int, within time.Duration) []event {
	var events []event
	for range n {
		k := kinds[rng.IntN(len(kinds))]
		length := time.Duration(float64(longest) * (0.2 + 0.8*rng.Float64()))
		at := time.Duration(rng.Float64() * float64(within))
		events = append(events, event{at: at, name: k.name, apply: func(r *run) { k.apply(r, length) }})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func (r *run) play(ctx context.Context, events []event) {
	begin := time.Now()
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.at - time.Since(begin)):
		}
		r.watch.note(e.name)
		e.apply(r)
	}
}

func (r *run) gate() *process { return r.fleet.gates[r.rng.IntN(len(r.fleet.gates))] }

func (r *run) kill(time.Duration) {
	r.watch.disturb(time.Now().Add(restartDelay))
	r.gate().signal(syscall.SIGKILL)
}

func (r *run) killHalf(time.Duration) {
	r.watch.disturb(time.Now().Add(restartDelay))
	for i, g := range r.fleet.gates {
		if i%2 == 0 {
			g.signal(syscall.SIGKILL)
		}
	}
}

func (r *run) pause(length time.Duration) {
	g := r.gate()
	r.watch.disturb(time.Now().Add(length))
	g.signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() { g.signal(syscall.SIGCONT) })
}

func (r *run) term(time.Duration) { r.gate().signal(syscall.SIGTERM) }

func (r *run) hup(time.Duration) { r.gate().signal(syscall.SIGHUP) }

func (r *run) storeOut(length time.Duration) {
	r.watch.disturb(time.Now().Add(length))
	r.fleet.store.SetMode(store.Mode(1+r.rng.IntN(3)), 0)
	time.AfterFunc(length, func() { r.fleet.store.SetMode(store.Up, 0) })
}

func (r *run) storeSlow(length time.Duration) {
	r.watch.disturb(time.Now().Add(length))
	r.fleet.store.SetMode(store.Up, 300*time.Millisecond)
	time.AfterFunc(length, func() { r.fleet.store.SetMode(store.Up, 0) })
}

func (r *run) path(length time.Duration) {
	p := r.fleet.paths[r.rng.IntN(len(r.fleet.paths))]
	r.watch.disturb(time.Now().Add(length))
	p.set(pathMode(1 + r.rng.IntN(int(pathModes)-1)))
	time.AfterFunc(length, func() { p.set(pathOpen) })
}

// cutPackets loses all packets from the routers to an instance that goes on to
// report ready.
func (r *run) cutPackets(length time.Duration) {
	packets := r.fleet.packets[r.rng.IntN(len(r.fleet.packets))]
	r.watch.disturb(time.Now().Add(length))
	for _, router := range r.fleet.routers {
		router.SetBlackholed(packets, true)
	}
	time.AfterFunc(length, func() {
		for _, router := range r.fleet.routers {
			router.SetBlackholed(packets, false)
		}
	})
}

func (r *run) compact(time.Duration) { r.fleet.store.Compact() }

// pick takes a server of campo of which others remain in its zone.
func (r *run) pick() *server.Server {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	var ids []string
	for id, s := range r.fleet.servers {
		if s.Service() == "campo" && r.watch.serving(id) {
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
func (r *run) serverKill(length time.Duration) {
	s := r.pick()
	if s == nil {
		return
	}
	r.watch.disturb(time.Now().Add(length))
	r.watch.ended(s.ID())
	s.Kill()
	r.replace(s, length, "ordenes")
}

// replace starts what comes after a server.
func (r *run) replace(s *server.Server, after time.Duration, service string) {
	zone := slices.Index(zones, s.Zone())
	time.AfterFunc(after, func() {
		r.fleet.store.Delete("servers", s.ID())
		if _, err := r.fleet.addServer(zone, service, int(s.Address().Addr().As4()[3])); err != nil {
			r.watch.note("server not replaced: " + err.Error())
		}
		if _, err := r.fleet.addServer(zone, "campo", 0); err != nil {
			r.watch.note("server not added: " + err.Error())
		}
	})
}

// serverDrain lets a server leave as planned.
func (r *run) serverDrain(time.Duration) {
	s := r.pick()
	if s == nil {
		return
	}
	s.Drain()
	r.watch.leaving(s.ID(), time.Now().Add(drainBound))
	zone := slices.Index(zones, s.Zone())
	if _, err := r.fleet.addServer(zone, "campo", 0); err != nil {
		r.watch.note("server not added: " + err.Error())
	}
	time.AfterFunc(drainBound+time.Second, func() {
		r.watch.ended(s.ID())
		s.Kill()
		r.fleet.store.Delete("servers", s.ID())
	})
}

// change writes a version that adds or drops routes nobody uses.
func (r *run) change(time.Duration) {
	r.version += 1 + r.rng.IntN(5)
	r.fleet.configure(r.version, len(routes)+r.rng.IntN(300))
}

func (r *run) evacuate(length time.Duration) {
	zone := zones[r.rng.IntN(len(zones))]
	operator.Evacuate(r.fleet.store, zone)
	time.AfterFunc(evacuateBound+length, func() { operator.EndEvacuation(r.fleet.store, zone) })
}
