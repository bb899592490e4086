package serverhealth

import (
	"time"

	"cuminshift/internal/model"
)

const (
	// openingWindow is the time over which openings at a cold server are
	// counted. It exceeds a second by the variation of the network delay, so
	// that the server receives no more than its limit in any second.
	openingWindow = 1050 * time.Millisecond
	// maxWindowQuota is the largest quota, in openings per second, that is
	// enforced by remembering the time of each opening in the window. Above it,
	// a token bucket is precise enough.
	maxWindowQuota = 10
)

// openingLimiter limits the rate of this instance's openings at a cold server.
type openingLimiter struct {
	// recent holds the times of the openings in the window, oldest first.
	recent []time.Time
	// tokens and refilledAt belong to the token bucket for larger quotas.
	tokens     float64
	refilledAt time.Time
	// turn is the number of the turn that was used last (see allowInTurn).
	turn int64
	// pausedUntil is the time before which no opening is allowed. It is set
	// when a server becomes cold.
	pausedUntil time.Time
}

// OpeningAllowed reports whether this instance may open a flow at the server
// now, and counts the opening if so. At a draining or silent server no openings
// are allowed. At a server that is cold or for which there is no evidence, all
// instances together may open as many flows per second as the server's
// ColdOpeningsPerSecond. This rate is divided equally among the given number of
// instances, in which this instance has the given rank, from 0 to instances-1; all
// instances must use the same numbering. The remainder of the division goes to the
// lowest ranks, so that the shares add up exactly. If the server accepts less than
// one opening per instance and second, the instances take turns.
func (t *Tracker) OpeningAllowed(now time.Time, id model.ServerID, instances, rank int) bool {
	s := t.servers[id]
	if s == nil {
		return false
	}
	switch s.combinedCondition {
	case Draining, Silent:
		return false
	case Cold, Unknown:
		return s.openingLimiter.allow(now, s.backend.ColdOpeningsPerSecond, max(1, instances), rank)
	}
	return true
}

// allow reports whether the instance may open a flow now, and counts it.
// perSecond is the limit of the server for all instances together.
func (l *openingLimiter) allow(now time.Time, perSecond, instances, rank int) bool {
	if now.Before(l.pausedUntil) {
		return false
	}
	rank %= instances
	quota := perSecond / instances
	if rank < perSecond%instances {
		quota++
	}
	switch {
	case perSecond < instances:
		return l.allowInTurn(now, perSecond, instances, rank)
	case quota <= maxWindowQuota:
		return l.allowInWindow(now, quota)
	}
	return l.allowByToken(now, quota)
}

// allowInWindow allows at most quota openings in any openingWindow.
func (l *openingLimiter) allowInWindow(now time.Time, quota int) bool {
	n := 0
	for n < len(l.recent) && now.Sub(l.recent[n]) >= openingWindow {
		n++
	}
	l.recent = append(l.recent[:0], l.recent[n:]...)
	if len(l.recent) >= quota {
		return false
	}
	l.recent = append(l.recent, now)
	return true
}

// allowByToken allows at most quota openings in any second, by a token bucket
// with a burst of a tenth of the quota and a rate of nine tenths per second.
func (l *openingLimiter) allowByToken(now time.Time, quota int) bool {
	burst := float64(quota) / 10
	if l.refilledAt.IsZero() {
		l.refilledAt, l.tokens = now, burst
	}
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(burst, l.tokens+0.9*float64(quota)*elapsed.Seconds())
		l.refilledAt = now
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// allowInTurn divides time into turns of one opening each, which are assigned to
// the ranks in round-robin order. An opening is allowed only in the first half
// of a turn, so that openings of consecutive turns do not reach the server
// together.
func (l *openingLimiter) allowInTurn(now time.Time, perSecond, instances, rank int) bool {
	if perSecond == 0 {
		return false
	}
	const period = 1100 * time.Millisecond
	turnLength := int64(period) / int64(perSecond)
	turn := now.UnixNano() / turnLength
	if int(turn%int64(instances)) != rank || turn == l.turn || now.UnixNano()%turnLength > turnLength/2 {
		return false
	}
	l.turn = turn
	return true
}
