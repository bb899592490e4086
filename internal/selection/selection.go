// Package selection chooses the server for a new flow.
//
// A flow stays at its server, so the choice balances open flows; requests in
// flight break ties between servers with equally many flows. Servers of the
// instance's own data centre are preferred, because a flow to another data
// centre breaks when the two data centres lose their connection, and every byte
// between them costs money.
package selection

import (
	"iter"

	"cuminshift/internal/reach"
)

// Candidate is a server that may receive the new flow.
type Candidate struct {
	// Local is set if the server is in the instance's own data centre.
	Local bool
	// Reach is the instance's view of whether it reaches the server.
	Reach reach.State
	// Cold is set if the server has just started and has little capacity;
	// ColdQuotaLeft is set if this instance has not used up its quota of
	// openings at the server.
	Cold, ColdQuotaLeft bool
	// Flows is the number of open flows and InFlight the number of requests in
	// flight, both as seen by this instance. Slots is the number of requests
	// that the server processes concurrently.
	Flows, InFlight, Slots int
	// TieBreak orders candidates of equal score, lowest first. It depends on
	// the flow and the server only, so that transmissions of an opening that
	// pass through two instances tend to reach the same server.
	TieBreak uint64
}

// Terms of the score, in open flows per slot.
const (
	// inFlightWeight is the weight of a request in flight relative to an open
	// flow: a caller with long flows sends on about one flow in 4 at a time.
	inFlightWeight = 2
	// remotePenalty is how many more flows per slot a local server may have
	// before a server of another data centre is chosen: the number of flows at
	// which a local server is always in use.
	remotePenalty = 12
	// coldPenalty keeps flows away from a cold server while there is a warm
	// one, even if that is in another data centre.
	coldPenalty = 30
	// suspectPenalty keeps flows away from a server that may not answer.
	suspectPenalty = 1000
	// unreachablePenalty makes unreachable servers the last resort. They are
	// not excluded, because a false detection on all servers must not leave a
	// service without any.
	unreachablePenalty = 1000 * 1000
)

// None means that no candidate may be used.
const None = -1

// Choose returns the index of the candidate with the lowest score, or None.
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

// Unpenalized reports whether only load contributes to the candidate's score.
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
	// sampleThreshold is the number of servers above which only a sample of
	// sampleSize is compared: comparing 5,000 takes 0.4 ms, and the least
	// loaded of 16 is nearly as good.
	sampleThreshold = 64
	sampleSize      = 16
)

// Sampled reports whether Sample leaves out some of n servers.
func Sampled(n int) bool { return n > sampleThreshold }

// Sample returns the indexes, among n servers, of those to compare for a flow
// with the given hash.
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

// TieBreak returns the sort key of a server, identified by its seed, for a
// flow. Each flow orders the servers differently, and all instances agree on
// the order.
func TieBreak(flowHash, serverHash uint64) uint64 {
	x := flowHash ^ serverHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
