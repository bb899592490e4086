// Package readiness decides whether an instance reports ready to the fabric, the
// network of the users' platform, which spreads the callers' packets over the
// instances that are ready.
//
// An instance that reaches no server for most of its callers reports not ready.
// When all instances of a data centre do so, the fabric sends their callers to
// the nearest other data centre, which may reach servers. This covers a data
// centre whose own servers are down or withdrawn while it is cut off from the
// other data centres.
package readiness

import "time"

const (
	// recoveryDelay is how long servers must be reachable again before the
	// instance reports ready, so that it does not flap: one interval of the
	// readiness check.
	recoveryDelay = 500 * time.Millisecond
	// minReachableFraction is the fraction of the requests for which a server
	// must be reachable.
	minReachableFraction = 0.5
)

// Demand is the recent demand for one service.
type Demand struct {
	// Requests is the number of recent requests. Counting openings instead
	// would give a service with one flow per request more weight than one with
	// long flows.
	Requests float64
	// Reachable is set if a server of the service is reachable.
	Reachable bool
}

// Monitor tracks whether an instance can serve most of its callers.
type Monitor struct {
	unableToServe bool
	// changePendingSince is the time since which the demand has been calling for
	// the opposite state; zero if it calls for the current one.
	changePendingSince time.Time
}

// CanServe reports whether the instance can serve most of its callers.
func (m *Monitor) CanServe() bool { return !m.unableToServe }

// Update takes the current demand and reports whether the result of CanServe
// changed.
func (m *Monitor) Update(now time.Time, demands []Demand) (changed bool) {
	unableToServe := !mostReachable(demands)
	if unableToServe == m.unableToServe {
		m.changePendingSince = time.Time{}
		return false
	}
	if m.changePendingSince.IsZero() {
		m.changePendingSince = now
	}
	if m.unableToServe && now.Sub(m.changePendingSince) < recoveryDelay {
		return false
	}
	m.unableToServe, m.changePendingSince = unableToServe, time.Time{}
	return true
}

func mostReachable(demands []Demand) bool {
	total, reachable := 0.0, 0.0
	for _, d := range demands {
		total += d.Requests
		if d.Reachable {
			reachable += d.Requests
		}
	}
	return total == 0 || reachable >= minReachableFraction*total
}
