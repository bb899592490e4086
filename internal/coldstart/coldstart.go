// Package coldstart limits the openings at a server that has just started. The
// limit holds over all instances together without messages: each takes an
// equal share.
package coldstart

import "time"

// window is the span over which a cold server's openings are counted.
const window = time.Second

// Limit returns the openings a second of one instance at a cold server that
// bears perSecond, with slack more, among the given number of instances. An
// instance whose share is below one gets one as long as rank, its place among
// the instances, is below the total.
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

// Share counts one instance's openings at one cold server.
type Counter struct {
	openings []time.Time
}

// Room reports whether one more opening stays within the limit.
func (c *Counter) Allows(now time.Time, limit int) bool {
	c.expire(now)
	return len(c.openings) < limit
}

// Use counts an opening.
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
