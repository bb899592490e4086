package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// mostInOneSecond returns the largest number of openings that were sent and arrived at the
// server inside one second between two times. A flow of which the sender does not know that
// it was opened does not count.
func (w *world) mostInOneSecond(t *target, from, to time.Time) (most int, at time.Time) {
	type span struct{ sent, arrived time.Time }
	var all []span
	for caller, o := range t.openings() {
		sent, ok := w.sent(caller)
		if ok && !sent.Before(from) && !o.arrived.After(to) {
			all = append(all, span{sent, o.arrived})
		}
	}
	slices.SortFunc(all, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i := range all {
		end, n := all[i].sent.Add(time.Second), 0
		for _, s := range all[i:] {
			if s.arrived.Before(end) {
				n++
			}
		}
		if n > most {
			most, at = n, all[i].sent
		}
	}
	return most, at
}

// judgeCold checks rule FAILBACK for one server.
func (w *world) judgeCold(t *target, warmupPerS float64, from, to time.Time) bool {
	bound := warmupPerS*warmupOvershoot + warmupSlack
	most, at := w.mostInOneSecond(t, from, to)
	w.note("cold server %s: at most %d openings in one second, from %.3f s on; the bound is %.0f", t.id, most, at.Sub(w.start).Seconds(), bound)
	return float64(most) > bound
}

// startFleet starts the given instances within 0.3 s and waits until they are ready.
func startFleet(instances []*instance) error {
	for i, in := range instances {
		if i > 0 {
			time.Sleep(60 * time.Millisecond)
		}
		if err := in.launch(); err != nil {
			return err
		}
	}
	return awaitReady(instances, 10*time.Second)
}

// small is the small deployment of the pages: 4 machines in 3 zones, then one spare machine
// for each zone.
var small = []instanceSpec{{0, 1500}, {0, 1500}, {1, 2000}, {2, 2000}, {0, 1500}, {1, 2000}, {2, 2000}}

// machines is the number of machines in small that are there from the start.
const machines = 4

// openLongFlows opens flows from the nth host of each zone over a time and keeps them in
// use.
func (w *world) openLongFlows(n int, service netip.AddrPort, perZone []int, over, interval time.Duration) error {
	var wg sync.WaitGroup
	for z, count := range perZone {
		if count == 0 {
			continue
		}
		h, err := w.addHost(z, n)
		if err != nil {
			return err
		}
		wg.Go(func() {
			for range count {
				go h.keepFlow(service, interval)
				time.Sleep(over / time.Duration(count))
			}
		})
	}
	wg.Wait()
	return nil
}

// openShortFlows opens flows in all zones at a rate for each, until a time.
func (w *world) openShortFlows(service netip.AddrPort, perSecond []int, until time.Time) error {
	for z, rate := range perSecond {
		if rate == 0 {
			continue
		}
		h, err := w.addHost(z, 3)
		if err != nil {
			return err
		}
		go h.rate(service, rate, until)
	}
	return nil
}

// fleetGrowth adds machines and, some seconds later, a server. The server is cold and the
// others hold many long flows, so that new flows go to the cold one up to its limit.
func fleetGrowth(w *world, trouble bool) (bool, error) {
	const (
		warmupPerS = 20
		warmup     = 2 * time.Second
	)
	service := serviceAddress(0)
	w.configure(1, warmupPerS, warmup.Seconds(), "photo-vault")
	for z := range zones {
		if _, err := w.addTarget(z, 1, "photo-vault", 2, 0); err != nil {
			return false, err
		}
	}
	if err := w.addInstances(small); err != nil {
		return false, err
	}
	if err := startFleet(w.instances[:machines]); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := w.openLongFlows(1, service, []int{800, 700, 700}, 4*time.Second, 2500*time.Millisecond); err != nil {
		return false, err
	}
	w.note("long flows are open")
	if trouble {
		w.note("3 machines are added")
		if err := startFleet(w.instances[machines:]); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	if err := w.openShortFlows(service, []int{60, 60, 60}, time.Now().Add(6*time.Second)); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	before := time.Now()
	added, err := w.addTarget(1, 2, "photo-vault", 2, warmup)
	if err != nil {
		return false, err
	}
	w.note("server %s is added, cold for %s", added.id, warmup)
	time.Sleep(warmup)
	broken := w.judgeCold(added, warmupPerS, before, added.coldUntil)
	w.summary()
	return broken, nil
}

// coldRestart lets a server crash and start again under its name while the store is down.
func coldRestart(w *world, trouble bool) (bool, error) {
	const (
		warmupPerS = 10
		warmup     = 2 * time.Second
	)
	service := serviceAddress(0)
	w.configure(1, warmupPerS, warmup.Seconds(), "photo-vault")
	var restarted *target
	for z, count := range []int{2, 1, 1} {
		for n := range count {
			t, err := w.addTarget(z, n+1, "photo-vault", 2, 0)
			if err != nil {
				return false, err
			}
			if z == 1 {
				restarted = t
			}
		}
	}
	if err := w.addInstances(small[:machines]); err != nil {
		return false, err
	}
	if err := startFleet(w.instances); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := w.openLongFlows(1, service, []int{20, 20, 20}, time.Second, 300*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.openShortFlows(service, []int{20, 60, 20}, time.Now().Add(12*time.Second)); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.note("the store is down")
		w.registrar.setDown(true)
		w.store.SetMode(storeBusy, 0)
		time.AfterFunc(4500*time.Millisecond, func() {
			w.note("the store is back")
			w.registrar.setDown(false)
			w.store.SetMode(storeUp, 0)
		})
	}
	time.Sleep(500 * time.Millisecond)
	restarted.kill()
	w.note("server %s has crashed", restarted.id)
	time.Sleep(500 * time.Millisecond)
	restarted.mu.Lock()
	clear(restarted.taken)
	restarted.mu.Unlock()
	before := time.Now()
	if err := restarted.boot(warmup); err != nil {
		return false, err
	}
	w.note("server %s has started again, cold for %s", restarted.id, warmup)
	time.Sleep(time.Until(restarted.coldUntil))
	broken := w.judgeCold(restarted, warmupPerS, before, restarted.coldUntil)
	time.Sleep(2 * time.Second)
	w.summary()
	return broken, nil
}

// summary notes what the callers got.
func (w *world) summary() {
	for _, h := range w.hosts {
		w.note("callers in %s: %d requests answered, %d attempts failed", zones[h.zone], h.answered.Load(), h.failed.Load())
	}
	for _, t := range w.servers {
		w.note("server %s: %s", t.id, fmt.Sprintf("%d openings", len(t.openings())))
	}
}
