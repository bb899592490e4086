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
type openings struct {
	// recent are the times of the openings in the window, oldest first.
	recent []time.Time
	// tokens and at belong to the token bucket of larger quotas.
	tokens float64
	at     time.Time
	// slot is the last time slot that was used.
	slot int64
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
	switch s.joint {
	case Draining, Silent:
		return false
	case Cold, Unknown:
		return s.openings.take(now, s.info.ColdOpeningsPerSecond, max(1, instances), rank)
	}
	return true
}

func (o *openings) take(now time.Time, perSecond, instances, rank int) bool {
	if now.Before(o.pausedUntil) {
		return false
	}
	rank %= instances
	quota := perSecond / instances
	if rank < perSecond%instances {
		quota++
	}
	switch {
	case perSecond < instances:
		return o.takeTurn(now, perSecond, instances, rank)
	case quota <= maxWindowQuota:
		return o.takeWindow(now, quota)
	}
	return o.takeToken(now, quota)
}

// takeWindow allows at most quota openings in any window.
func (o *openings) takeWindow(now time.Time, quota int) bool {
	n := 0
	for n < len(o.recent) && now.Sub(o.recent[n]) >= openingWindow {
		n++
	}
	o.recent = append(o.recent[:0], o.recent[n:]...)
	if len(o.recent) >= quota {
		return false
	}
	o.recent = append(o.recent, now)
	return true
}

// takeToken allows at most quota openings in any second: a burst of a tenth,
// and nine tenths per second.
func (o *openings) takeToken(now time.Time, quota int) bool {
	burst := float64(quota) / 10
	if o.at.IsZero() {
		o.at, o.tokens = now, burst
	}
	if elapsed := now.Sub(o.at); elapsed > 0 {
		o.tokens = min(burst, o.tokens+0.9*float64(quota)*elapsed.Seconds())
		o.at = now
	}
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// takeTurn divides time into slots of one opening each, which belong to the
// ranks in turn. Only the first half of a slot is used, so that openings of
// neighbouring slots do not meet at the server.
func (o *openings) takeTurn(now time.Time, perSecond, instances, rank int) bool {
	if perSecond == 0 {
		return false
	}
	const spread = 1100 * time.Millisecond
	length := int64(spread) / int64(perSecond)
	slot := now.UnixNano() / length
	if int(slot%int64(instances)) != rank || slot == o.slot || now.UnixNano()%length > length/2 {
		return false
	}
	o.slot = slot
	return true
}
