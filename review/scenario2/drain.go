package main

import (
	"errors"
	"time"

	"cuminshift/internal/standin/platform/store"
)

const (
	storeUp   = store.Up
	storeBusy = store.Busy

	// coreCut is the time for which a machine is partitioned from the store.
	coreCut = 5500 * time.Millisecond
)

// root returns the instance that calls the store on behalf of the others: the only one that
// has sent something to it in the last seconds.
func (w *world) root() (*instance, error) {
	var found *instance
	for _, in := range w.instances {
		if time.Since(time.Unix(0, in.storeLink.lastRequest.Load())) < 2*time.Second {
			if found != nil {
				return nil, errors.New("more than one instance calls the store")
			}
			found = in
		}
	}
	if found == nil {
		return nil, errors.New("no instance calls the store")
	}
	return found, nil
}

// forgottenDrain lets the idle connections of all other instances to the store go silent,
// and later partitions the instance that calls the store from it, while servers are emptied.
func forgottenDrain(w *world, trouble bool) (bool, error) {
	service := serviceAddress(0)
	w.configure(1, 20, 2, "photo-vault")
	var leaving []*target
	for z := range zones {
		for n := range 4 {
			t, err := w.addTarget(z, n+1, "photo-vault", 2, 0)
			if err != nil {
				return false, err
			}
			if n == 0 {
				leaving = append(leaving, t)
			}
		}
	}
	if err := w.addInstances(small[:machines]); err != nil {
		return false, err
	}
	if err := startFleet(w.instances); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	root, err := w.root()
	if err != nil {
		return false, err
	}
	w.note("%s calls the store for the others", root.name)
	if err := w.openShortFlows(service, []int{40, 40, 40}, time.Now().Add(22*time.Second)); err != nil {
		return false, err
	}
	if trouble {
		for _, in := range w.instances {
			if in != root {
				w.note("%d open connections of %s to the store go silent", in.storeLink.silence(), in.name)
			}
		}
	}
	time.Sleep(stabilityWindow + 2*time.Second)
	w.note("server %s is emptied", leaving[0].id)
	leaving[0].running.Drain()
	time.Sleep(100 * time.Millisecond)
	if trouble {
		w.note("%s is cut off from the store for %s", root.name, coreCut)
		root.storeLink.cut.Store(true)
		time.AfterFunc(coreCut, func() {
			w.note("%s reaches the store again", root.name)
			root.storeLink.cut.Store(false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	for _, t := range leaving[1:] {
		w.note("server %s is emptied", t.id)
		t.running.Drain()
	}
	time.Sleep(8 * time.Second)
	broken := false
	for _, t := range leaving {
		broken = w.judgeDrain(t, root, trouble) || broken
	}
	w.summary()
	return broken, nil
}

// judgeDrain checks rule DRAIN for a server: no opening reaches it later than the bound after
// the store accepted that it drains. Openings from the zone of the instance that was cut
// off do not count, as they may have passed through that instance.
func (w *world) judgeDrain(t *target, cut *instance, trouble bool) bool {
	w.registrar.mu.Lock()
	acked := t.drainAcked
	w.registrar.mu.Unlock()
	late, worst := 0, time.Duration(0)
	for caller, o := range t.openings() {
		sent, ok := w.sent(caller)
		if !ok || !sent.After(acked.Add(drainBound)) {
			continue
		}
		if trouble && caller.Addr() == w.address(150+cut.zone, 3, packetPort).Addr() {
			continue
		}
		late++
		worst = max(worst, o.arrived.Sub(acked))
	}
	w.note("server %s: %d openings through machines in touch later than %s after the acknowledgement, the last one %.3f s after it", t.id, late, drainBound, worst.Seconds())
	return late > 0
}
