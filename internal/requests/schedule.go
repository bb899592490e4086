package requests

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/serverhealth"
)

// scheduleGrantRelease holds the grant of an attempt until the attempt can no
// longer run at the server.
func (c *Coordinator) scheduleGrantRelease(now time.Time, a *attempt) {
	g := c.heldGrants[a.grant]
	if g == nil || !g.releaseAt.IsZero() {
		return
	}
	g.releaseAt = a.deadline.Add(c.cfg.DatagramLifetime)
	c.addTimer(timer{at: g.releaseAt, grant: a.grant})
}

// releaseOverdueGrant releases the grant that the timer names, because the server has
// not answered its attempt.
func (c *Coordinator) releaseOverdueGrant(now time.Time, t timer) []Action {
	g := c.heldGrants[t.grant]
	if g == nil {
		return nil
	}
	c.dropHeldGrant(t.grant)
	return []Action{ReleaseGrant{g.server, &pb.GrantRelease{
		Grant: t.grant, Server: uint64(g.server), Condition: serverhealth.Silent,
	}}}
}

// schedule sets the timer of the request for its next action.
func (c *Coordinator) schedule(r *request) {
	at := r.Deadline
	switch r.phase {
	case awaitingGrant:
		at = earlier(at, earlier(r.grantDeadline, r.resendAt))
	case running:
		at = r.currentAttempt().deadline
	case backingOff:
		at = earlier(at, r.retryAt)
	case cancelling:
		at = earlier(at, r.cancelUntil)
	}
	if !r.wakeAt.Equal(at) {
		r.wakeAt = at
		c.addTimer(timer{at: at, key: r.Key})
	}
}

// addTimer adds a timer. If most timers in the heap are obsolete, it first
// rebuilds the heap, so that the size of the heap stays proportional to the
// number of requests and held grants.
func (c *Coordinator) addTimer(t timer) {
	if len(c.timers) > 4*(len(c.requests)+len(c.heldGrants))+64 {
		c.timers = c.timers[:0]
		for k, r := range c.requests {
			c.timers.add(timer{at: r.wakeAt, key: k})
		}
		for id, g := range c.heldGrants {
			if !g.releaseAt.IsZero() {
				c.timers.add(timer{at: g.releaseAt, grant: id})
			}
		}
	}
	c.timers.add(t)
}

func (c *Coordinator) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.cfg.Rand.Int64N(int64(limit) + 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// milliseconds returns d in milliseconds, rounded up so that an interval never
// becomes shorter.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
