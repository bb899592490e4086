// Package selection chooses the server of a new flow.
//
// A flow stays at its server, so the choice balances open flows; requests
// under way break ties between servers with as many flows. Servers of the own
// data centre come first, since a flow to another one breaks when the data
// centres lose each other and each byte between them costs.
package selection

import (
	"iter"

	"cuminshift/internal/reach"
)

// Candidate is a server to which a new flow may be opened.
type Candidate struct {
	// Local: the server is in the instance's own data centre.
	Local bool
	// Reach is what the instance believes of its way to the server.
	Reach reach.State
	// Cold: the server has just started and bears little; ColdRoom says that
	// its share of openings is not used up.
	Cold, ColdQuotaLeft bool
	// Flows are open flows, Busy requests under way, as seen from here, and
	// Slots the requests that the server works on at a time.
	Flows, InFlight, Slots int
	// Tie breaks ties; it depends on the flow and the server only, so that
	// copies of an opening at two instances tend to meet one server.
	TieBreak uint64
}

// Weights of the score, in units of open flows per slot.
const (
	// busyWeight counts a request under way against open flows: a caller with
	// long flows sends on one flow in about 4 at a time.
	inFlightWeight = 2
	// remoteFlows is how many flows per slot more a local server may have
	// before a server of another data centre is chosen: the number of flows
	// at which a local server is in use all the time.
	remotePenalty = 12
	// coldFlows keeps flows from a cold server while there is any warm one,
	// also in another data centre.
	coldPenalty = 30
	// suspectFlows keeps flows from a server that may not answer.
	suspectPenalty = 1000
	// unreachableFlows is the last resort: a wrong belief that none is
	// reachable must not leave a service without servers.
	unreachablePenalty = 1000 * 1000
)

// None means that no candidate may be used.
const None = -1

// Choose returns the index of the best candidate, or None.
func Choose(candidates []Candidate) int {
	best, bestScore := None, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Reach == reach.Replaced || (c.Cold && !c.ColdQuotaLeft) {
			continue
		}
		score := c.score()
		if best == None || score < bestScore || (score == bestScore && c.TieBreak < candidates[best].TieBreak) {
			best, bestScore = i, score
		}
	}
	return best
}

// Good reports whether nothing but load speaks against the candidate.
func (c *Candidate) Unpenalized() bool { return c.Local && !c.Cold && c.Reach == reach.Reachable }

func (c *Candidate) score() float64 {
	score := float64(c.Flows+inFlightWeight*c.InFlight) / float64(max(c.Slots, 1))
	if !c.Local {
		score += remotePenalty
	}
	if c.Cold {
		score += coldPenalty
	}
	switch c.Reach {
	case reach.Suspect:
		score += suspectPenalty
	case reach.Unreachable:
		score += unreachablePenalty
	}
	return score
}

const (
	// sampleAbove is the number of servers above which a sample of sampleSize
	// is looked at: choosing among 5,000 takes 0.4 ms, and the least loaded of
	// 16 is nearly as good.
	sampleThreshold = 64
	sampleSize      = 16
)

// Sampled reports whether Sample leaves out some of n servers.
func Sampled(n int) bool { return n > sampleThreshold }

// Sample returns the indexes of the servers among n that are looked at for a
// flow with the given hash.
func Sample(hash uint64, n int) iter.Seq[int] {
	at, step, count := 0, 1, n
	if Sampled(n) {
		at, step, count = int(hash%uint64(n)), n/sampleSize, sampleSize
	}
	return func(yield func(int) bool) {
		for range count {
			if !yield(at) {
				return
			}
			at = (at + step) % n
		}
	}
}

// Tie returns the order of a server for a flow: servers are in an order of
// their own for each flow, the same at all instances.
func TieBreak(hash, seed uint64) uint64 {
	x := hash ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
