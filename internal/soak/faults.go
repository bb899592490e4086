package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/server"
	"cuminshift/internal/standin/platform/store"
)

const (
	// drainBound and evacuateBound are the platform's bounds for draining a
	// server and evacuating a zone.
	drainBound       = 3 * time.Second
	evacuateBound    = 5 * time.Second
	maxFaultDuration = 3 * time.Second
)

// event is an injected fault or a planned operation.
type event struct {
	at    time.Duration
	name  string
	apply func(*faultInjector)
}

// faultInjector applies events to a fleet.
type faultInjector struct {
	fleet         *fleet
	callers       *callers
	obs           *observer
	rng           *rand.Rand
	configVersion int
	// evacuatedForGood is the zone that is evacuated until the end of the run.
	evacuatedForGood string
	// oddEntries counts the entries of writeOddEntry.
	oddEntries int
}

// eventKinds lists the faults and planned operations. An unplanned fault excuses
// flow resets and late openings on draining servers until stabilityWindow after
// its end.
var eventKinds = []struct {
	name  string
	apply func(*faultInjector, time.Duration)
}{
	{"kill an instance", (*faultInjector).killInstance},
	{"kill half of the instances", (*faultInjector).killHalfOfInstances},
	{"pause an instance", (*faultInjector).pauseInstance},
	{"planned stop of an instance", (*faultInjector).stopInstance},
	{"settings of an instance reloaded", (*faultInjector).reloadSettings},
	{"store unavailable", (*faultInjector).failStore},
	{"store slow", (*faultInjector).slowStore},
	{"path to the store impaired", (*faultInjector).impairStorePath},
	{"history of the store compacted", (*faultInjector).compactStore},
	{"store restored from a copy", (*faultInjector).restoreStore},
	{"packets to an instance lost", (*faultInjector).blackholeInstance},
	{"server killed", (*faultInjector).killServer},
	{"server drained", (*faultInjector).drainServer},
	{"configuration changed", (*faultInjector).changeConfiguration},
	{"zone evacuated", (*faultInjector).evacuateZone},
	{"zone evacuated until the end", (*faultInjector).evacuateZoneForGood},
	{"unusable entry among the servers", (*faultInjector).writeOddEntry},
	{"overload", (*faultInjector).overload},
}

// drawSchedule draws random events, ordered by time. Events can follow each other
// closely and overlap.
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

// reloadSettings makes an instance reload its settings, which it does on SIGHUP.
func (r *faultInjector) reloadSettings(time.Duration) { r.randomInstance().signal(syscall.SIGHUP) }

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

// blackholeInstance drops all packets from the routers to an instance that
// continues to report that it is ready.
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

const (
	// restoreOutage is how long the store is away before it returns from a copy.
	restoreOutage = 500 * time.Millisecond
	// rewriteDelay is the time from its return until operators have written their
	// changes again and the entries of servers that have left are removed.
	rewriteDelay = time.Second
)

// restoreStore lets the store return from a copy that is as old as the duration. What
// instances had written there since is lost; operators write their changes again.
func (r *faultInjector) restoreStore(duration time.Duration) {
	s := r.fleet.store
	backup := s.Copy()
	r.obs.noteFault(time.Now().Add(duration + restoreOutage + rewriteDelay))
	time.AfterFunc(duration, func() {
		lost := s.Copy()
		s.SetMode(store.Reset, 0)
		s.Restore(backup)
		time.AfterFunc(restoreOutage, func() { s.SetMode(store.Up, 0) })
		time.AfterFunc(restoreOutage+rewriteDelay, func() {
			for _, kind := range []string{"config", "evacuations", "servers"} {
				s.Rewrite(kind, lost)
			}
		})
	})
}

// pickServer returns a random serving server of service campo. It returns nil if
// no more servers are serving than there are zones, because others must remain
// in the server's zone.
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

// killServer kills a server. Its address is reused by a server of another
// service, and a new server of its own service is started.
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

// replaceServer deletes a server's entry after a delay. It then starts a server of
// service at the same address and a server of campo at an unused one.
func (r *faultInjector) replaceServer(s *server.Server, delay time.Duration, service string) {
	zone := slices.Index(zones, s.Zone())
	time.AfterFunc(delay, func() {
		r.fleet.store.Delete("servers", s.ID())
		if _, err := r.fleet.addServer(zone, service, int(s.Address().Addr().As4()[3])); err != nil {
			r.obs.logEvent("server address not reused: " + err.Error())
		}
		if _, err := r.fleet.addServer(zone, "campo", 0); err != nil {
			r.obs.logEvent("server not added: " + err.Error())
		}
	})
}

// drainServer drains a server, starts a new one and kills the drained one after
// the drain bound.
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

// changeConfiguration writes a configuration version that adds or removes routes
// that no caller uses.
func (r *faultInjector) changeConfiguration(time.Duration) {
	r.configVersion += 1 + r.rng.IntN(5)
	r.fleet.configure(r.configVersion, len(routes)+r.rng.IntN(300))
}

func (r *faultInjector) evacuateZone(duration time.Duration) {
	zone := zones[r.rng.IntN(len(zones))]
	if zone == r.evacuatedForGood {
		return
	}
	r.obs.noteEvacuation(zone, time.Now().Add(evacuateBound))
	operator.Evacuate(r.fleet.store, zone)
	time.AfterFunc(evacuateBound+duration, func() {
		r.obs.noteEvacuationEnd(zone)
		operator.EndEvacuation(r.fleet.store, zone)
	})
}

// evacuateZoneForGood evacuates a zone that has no evacuation which ends. The final check
// then shows whether all instances still obey it.
func (r *faultInjector) evacuateZoneForGood(time.Duration) {
	zone := zones[r.rng.IntN(len(zones))]
	if r.evacuatedForGood != "" || r.obs.isEvacuated(zone) {
		return
	}
	r.evacuatedForGood = zone
	r.obs.noteEvacuation(zone, time.Now().Add(evacuateBound))
	operator.Evacuate(r.fleet.store, zone)
}

// overload lets callers send more than the servers can process. It excuses no flow
// reset: a full server is alive.
func (r *faultInjector) overload(duration time.Duration) { r.callers.overload(duration) }

// writeOddEntry stores an entry that names no server, as another writer might.
func (r *faultInjector) writeOddEntry(time.Duration) {
	texts := server.UnusableEntries
	r.oddEntries++
	r.fleet.store.PutText("servers", fmt.Sprintf("i-f%x", r.oddEntries), texts[r.rng.IntN(len(texts))])
}
