package serverhealth

import (
	"time"

	"cuminshift/internal/model"
)

const (
	// openingWindow is the time over which openings at a cold server are
	// summed; it exceeds a second by the spread of delays on the way.
	openingWindow = 1050 * time.Millisecond
	// maxWindowQuota is the quota up to which each opening of the window is
	// remembered; above it, a token bucket is precise enough.
	maxWindowQuota = 10
)

// openings meters the openings of one instance to a cold server.
type openingLimiter struct {
	// recent are the times of the openings in the window, oldest first.
	recent []time.Time
	// tokens and at belong to the token bucket of larger quotas.
	tokens     float64
	refilledAt time.Time
	// slot is the last time slot that was used.
	turn int64
	// pausedUntil is set when a warm server goes cold.
	pausedUntil time.Time
}

// OpeningAllowed reports whether this instance may open a flow at the server
// now, and counts it. Only a server in cold start or without evidence is
// metered: the instance's share is ColdOpeningsPerSecond divided by
// instances, the larger of view size and instance list; the remainder goes to
// the first ranks (0 to instances-1), so that the shares add up exactly. If the
// server bears less than one opening per instance and second, the instances
// take turns.
func (t *Tracker) OpeningAllowed(now time.Time, id model.ServerID, instances, rank int) bool {
	s := t.servers[id]
	if s == nil {
		return false
	}
	switch s.combined {
	case Draining, Silent:
		return false
	case Cold, Unknown:
		return s.openingLimiter.allow(now, s.backend.ColdOpeningsPerSecond, max(1, instances), rank)
	}
	return true
}

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

// takeWindow allows at most quota openings in any window.
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

// takeToken allows at most quota openings in any second: a burst of a tenth,
// and nine tenths per second.
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

// takeTurn divides time into slots of one opening each, which belong to the
// ranks in turn. Only the first half of a slot is used, so that openings of
// neighbouring slots do not meet at the server.
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
