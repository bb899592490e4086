package main

import "time"

// replayedRestart lets a server crash and start again twice, while the instance that calls
// the store for the others is partitioned from it. The others read the store themselves
// meanwhile. Other servers are replaced one after the other all the while.
func replayedRestart(w *world, trouble bool) (bool, error) {
	const (
		warmup = 2 * time.Second
		// releaseGap is the pause between two replacements, drainAfter the time from the
		// start of the new server to the drain of the old one.
		releaseGap = time.Second
		drainAfter = 150 * time.Millisecond
		// replaced is the number of servers that are replaced, out of 14.
		replaced = 6
	)
	service := serviceAddress(0)
	w.configure(1, 20, warmup.Seconds(), "chisel-desk")
	var old []*target
	for z, count := range []int{5, 5, 4} {
		for n := range count {
			t, err := w.addTarget(z, n+1, "chisel-desk", 2, 0)
			if err != nil {
				return false, err
			}
			if n > 0 {
				old = append(old, t)
			}
		}
	}
	restarted := w.servers[0]
	if err := w.addInstances(small[:machines]); err != nil {
		return false, err
	}
	if err := startFleet(w.instances); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	root, err := w.root()
	if err != nil {
		return false, err
	}
	w.note("%s calls the store for the others", root.name)
	if err := w.openLongFlows(1, service, []int{100, 60, 60}, time.Second, 400*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	cut := time.Now()
	if trouble {
		w.note("%s is cut off from the store for %s", root.name, coreCut)
		root.storeLink.cut.Store(true)
		time.AfterFunc(coreCut, func() {
			w.note("%s reaches the store again", root.name)
			root.storeLink.cut.Store(false)
		})
	}
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		restarted.kill()
		w.note("server %s has crashed", restarted.id)
		time.Sleep(200 * time.Millisecond)
		if err := restarted.boot(warmup); err != nil {
			return false, err
		}
		w.note("server %s has started again", restarted.id)
	}
	time.Sleep(time.Until(cut.Add(3250 * time.Millisecond)))
	w.note("more callers arrive")
	if err := w.openLongFlows(2, service, []int{40, 0, 40}, 400*time.Millisecond, 400*time.Millisecond); err != nil {
		return false, err
	}
	for n := range replaced {
		time.Sleep(time.Until(cut.Add(3750*time.Millisecond + time.Duration(n)*releaseGap)))
		if _, err := w.addTarget(n%len(zones), 6+n, "chisel-desk", 2, warmup); err != nil {
			return false, err
		}
		time.Sleep(drainAfter)
		old[n].running.Drain()
		w.note("a server is started, and %s drains", old[n].id)
	}
	time.Sleep(2 * time.Second)
	broken := w.judgeResets(restarted, root, trouble)
	w.summary()
	return broken, nil
}

// judgeResets checks rule FLOW for a server: no open flow at it is reset later than the
// stability window after it has started last. The server holds a flow on which it has
// answered since then, so that it sends no reset itself. Flows from the zone of the instance
// that was cut off do not count.
func (w *world) judgeResets(t *target, cut *instance, trouble bool) bool {
	count := 0
	var first time.Time
	for _, h := range w.hosts {
		if trouble && h.zone == cut.zone {
			continue
		}
		h.mu.Lock()
		for _, r := range h.resets {
			if r.server != t.id || !r.answeredAt.After(t.bootedAt) || !r.at.After(t.bootedAt.Add(stabilityWindow)) {
				continue
			}
			if count++; first.IsZero() || r.at.Before(first) {
				first = r.at
			}
		}
		h.mu.Unlock()
	}
	if count == 0 {
		w.note("server %s: no open flow was reset", t.id)
		return false
	}
	w.note("server %s: %d open flows were reset, the first %.3f s after it had started last", t.id, count, first.Sub(t.bootedAt).Seconds())
	return true
}
