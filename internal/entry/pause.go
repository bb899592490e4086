package entry

import (
	"sync/atomic"
	"time"
)

// pauseDetector detects that the process was paused. Datagrams that waited in
// its sockets must then not be handled under outdated state: meanwhile a data
// centre may have been marked out, or a plan may have changed.
type pauseDetector struct {
	// lastTick is the time of the last Tick, in Unix nanoseconds.
	lastTick atomic.Int64
	// catchingUp is set from the first Tick after a pause until the instance
	// has caught up.
	catchingUp atomic.Bool
	// resumedAt is the time of the first Tick after the last pause.
	resumedAt time.Time
}

func (c *Core) lastTick() time.Time {
	return time.Unix(0, c.pause.lastTick.Load())
}

// stale reports whether the state of this instance may be outdated because the
// process was paused for longer than the lease and the instance has not caught up
// yet.
// Packet workers call it without the mutex.
func (c *Core) stale(now time.Time) bool {
	return c.pause.catchingUp.Load() || now.UnixNano()-c.pause.lastTick.Load() > int64(c.cfg.Lease)
}

// detectPause records a tick and detects a pause. The instance has caught up
// once its lease is renewed and no newer configuration remains to be fetched. It
// stops waiting after DeadAfter, because a data centre that is cut off gets no
// answer from other instances.
func (c *Core) detectPause(now time.Time) {
	if now.Sub(c.lastTick()) > c.cfg.Lease {
		c.pause.catchingUp.Store(true)
		c.pause.resumedAt = now
		c.journal.Add(now, "entry", "process paused", "no tick for longer than the lease")
	}
	c.pause.lastTick.Store(now.UnixNano())
	if !c.pause.catchingUp.Load() {
		return
	}
	caughtUp := !c.members.Fenced(now) && !c.replica.Behind()
	if caughtUp || now.Sub(c.pause.resumedAt) >= c.cfg.DeadAfter {
		c.pause.catchingUp.Store(false)
	}
}
