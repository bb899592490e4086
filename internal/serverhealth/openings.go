package serverhealth

import (
	"time"

	"cuminshift/internal/model"
)

// openings meters the openings of one instance to a cold server.
type openings struct {
	tokens float64
	// at is the time up to which tokens are counted; zero before first use.
	at time.Time
}

// OpeningAllowed reports whether this instance may open a flow at the server
// now, and counts it. Only a server in cold start or without evidence is
// metered: the instance's share is ColdOpeningsPerSecond divided by
// instances, the larger of view size and instance list. A fraction of an
// opening accumulates to one. rank (0 to instances-1) is the place of this
// instance in the list; it staggers the first openings, so that instances
// that hear of the cold start together do not all open at once. Without
// evidence the first opening is not delayed if the server bears one from each
// instance: an instance that starts learns by it that the server is healthy.
func (h *Health) OpeningAllowed(now time.Time, id model.ServerID, instances, rank int) bool {
	s := h.servers[id]
	if s == nil {
		return false
	}
	switch s.condition {
	case Draining, Silent:
		return false
	case Cold, Unknown:
		perSecond := s.info.ColdOpeningsPerSecond
		instances = max(1, instances)
		if s.condition == Unknown && instances <= perSecond {
			rank = 0
		}
		return s.openings.take(now, perSecond, instances, rank)
	}
	return true
}

func (o *openings) take(now time.Time, perSecond, instances, rank int) bool {
	share := float64(perSecond) / float64(instances)
	if o.at.IsZero() {
		o.at = now
		o.tokens = 1 - float64(rank%instances)/float64(instances)
	}
	if elapsed := now.Sub(o.at); elapsed > 0 {
		o.tokens = min(1, o.tokens+share*elapsed.Seconds())
		o.at = now
	}
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}
