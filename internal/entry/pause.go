package entry

import (
	"sync/atomic"
	"time"
)

// pauseDetector notices that the process was paused. Datagrams that waited in its
// sockets must then not be handled under what the instance believed before:
// a data centre may have been marked out, a plan changed.
type pauseDetector struct {
	// lastTick is the time of the last Tick, in Unix nanoseconds.
	lastTick atomic.Int64
	// catchingUp is set from the first Tick after a pause until the instance
	// has caught up.
	catchingUp atomic.Bool
	resumedAt  time.Time
}

func (c *Core) lastTick() time.Time {
	return time.Unix(0, c.pause.lastTick.Load())
}

// stale reports whether the instance was paused for longer than its lease and
// has not caught up yet. Packet workers call it without the mutex.
func (c *Core) stale(now time.Time) bool {
	return c.pause.catchingUp.Load() || now.UnixNano()-c.pause.lastTick.Load() > int64(c.cfg.Lease)
}

// detectPause notices a pause and its end: a lease that was renewed since, with
// no newer configuration to fetch, or no answer from any instance for
// DeadAfter, as when the data centre is cut off.
func (c *Core) detectPause(now time.Time) {
	if now.Sub(c.lastTick()) > c.cfg.Lease {
		c.pause.catchingUp.Store(true)
		c.pause.resumedAt = now
		c.journal.Add(now, "entry", "paused", "no tick for longer than the lease")
	}
	c.pause.lastTick.Store(now.UnixNano())
	if !c.pause.catchingUp.Load() {
		return
	}
	caughtUp := !c.members.Fenced(now) && !c.holder.Behind()
	if caughtUp || now.Sub(c.pause.resumedAt) >= c.cfg.DeadAfter {
		c.pause.catchingUp.Store(false)
	}
}
