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
	times []time.Time
}

// Room reports whether one more opening stays within the limit.
func (s *Counter) Allows(now time.Time, limit int) bool {
	s.expire(now)
	return len(s.times) < limit
}

// Use counts an opening.
func (s *Counter) Record(now time.Time) {
	s.expire(now)
	s.times = append(s.times, now)
}

func (s *Counter) expire(now time.Time) {
	n := 0
	for n < len(s.times) && now.Sub(s.times[n]) > window {
		n++
	}
	s.times = append(s.times[:0], s.times[n:]...)
}
