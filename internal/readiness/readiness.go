// Package readiness decides whether an instance offers itself to the fabric.
//
// An instance that reaches no server for most of its callers reports not
// ready. When all instances of a data centre do, the fabric sends their
// callers to the nearest other data centre, which may reach servers. The load
// it answers: a data centre whose own servers are out of service or dead and
// which is cut off from the others.
package readiness

import "time"

const (
	// ableAfter is how long servers must be reached again before the instance
	// returns, so that it does not come and go: one readiness check.
	recoveryDelay = 500 * time.Millisecond
	// enough is the part of the requests for which a server must be reached.
	minReachableFraction = 0.5
)

// Demand is the recent demand for one service and whether it can be met.
type Demand struct {
	// Requests is the number of recent requests. Openings would weigh a
	// service with a flow for each request above one with long flows.
	Requests float64
	// Served: a server of the service is reached.
	Reachable bool
}

// Judge holds an instance's judgement of itself.
type Monitor struct {
	unableToServe bool
	// pending is the time from which the opposite judgement holds.
	changePendingSince time.Time
}

// Able reports whether the instance can serve most of its callers.
func (m *Monitor) CanServe() bool { return !m.unableToServe }

// Update takes the present demand and reports whether the judgement changed.
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
