// Package coldstart limits the openings, that is, the new flows, at a server that
// has just started. Each instance takes an equal share of the server's limit, so
// that the limit holds across all instances without messages between them.
package coldstart

import "time"

// window is the sliding window in which a cold server's openings are counted.
const window = time.Second

// Limit returns the number of openings per second that one instance may send to
// a cold server. All instances together may send perSecond, what the server can
// take, plus slack. rank is the instance's position among the given number of
// instances, from 0. The remainder of the division goes to the lowest ranks, so
// that an instance whose share is below one gets one opening if its rank is
// below the total.
func Limit(perSecond, slack float64, instances, rank int) int {
	total := int(perSecond + slack)
	if instances <= 1 {
		return total
	}
	share := total / instances
	if rank < total%instances {
		share++
	}
	return share
}

// Counter counts one instance's openings at one cold server.
type Counter struct {
	openings []time.Time
}

// Allows reports whether one more opening stays within the limit.
func (c *Counter) Allows(now time.Time, limit int) bool {
	c.expire(now)
	return len(c.openings) < limit
}

// Record counts an opening.
func (c *Counter) Record(now time.Time) {
	c.expire(now)
	c.openings = append(c.openings, now)
}

func (c *Counter) expire(now time.Time) {
	n := 0
	for n < len(c.openings) && now.Sub(c.openings[n]) > window {
		n++
	}
	c.openings = append(c.openings[:0], c.openings[n:]...)
}
