package readiness

import (
	"time"

	"cuminshift/internal/model"
)

const (
	// MinLostServers is the number of servers of a data centre that must have been
	// found unreachable for the whole data centre to count as lost.
	MinLostServers = 8
	// evidenceSpan is the time that passes from the start of a probe until a missing
	// answer makes the server unreachable.
	evidenceSpan = 150 * time.Millisecond
)

// ServerEvidence is what an instance knows about reaching one server that takes new
// flows.
type ServerEvidence struct {
	DataCentre model.DataCentre
	// LastReached is the time of the last answer to a caller or a probe.
	LastReached time.Time
	// UnreachableSince is zero while the server is not known to be unreachable.
	UnreachableSince time.Time
}

// LostDataCentres returns the data centres that the instance does not reach any more:
// several of their servers were found unreachable after the last sign of life of any
// of their servers. Finding out for each server takes seconds with hundreds of them,
// and meanwhile the instance would report ready without a server to send callers to.
func LostDataCentres(servers []ServerEvidence) map[model.DataCentre]bool {
	lastReached := map[model.DataCentre]time.Time{}
	for _, s := range servers {
		if s.LastReached.After(lastReached[s.DataCentre]) {
			lastReached[s.DataCentre] = s.LastReached
		}
	}
	unreachable := map[model.DataCentre]int{}
	for _, s := range servers {
		if !s.UnreachableSince.IsZero() && s.UnreachableSince.Add(-evidenceSpan).After(lastReached[s.DataCentre]) {
			unreachable[s.DataCentre]++
		}
	}
	lost := map[model.DataCentre]bool{}
	for dc, n := range unreachable {
		if n >= MinLostServers {
			lost[dc] = true
		}
	}
	return lost
}
