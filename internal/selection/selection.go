// Package selection chooses the server for a new flow of the gateway, that is, on
// the users' platform. Package steering does so for the product's own interface.
//
// The server with the lowest score is chosen. Of decreasing influence on the
// score are: whether the instance reaches the server, whether the server is
// cold, that is, has just started and takes only few openings, its data centre,
// and its load together with whether it has just refused a request.
//
// A flow stays at its server, so the load counts open flows, and requests in
// flight with a higher weight, relative to the server's slots and speed. A server
// that has just refused a request is full, so others of its data centre with a
// similar load are preferred. Servers of the instance's own data centre are preferred, because a flow to another data
// centre breaks when the two data centres lose their connection, and every byte
// between them costs money.
package selection

import (
	"iter"
	"math"

	"cuminshift/internal/reach"
)

// Candidate is a server that may receive the new flow.
type Candidate struct {
	// Local is set if the server is in the instance's own data centre.
	Local bool
	// Reach says whether the instance reaches the server.
	Reach reach.State
	// Cold is set if the server has just started and has little capacity.
	// ColdQuotaLeft is set if this instance may open one more flow at the cold
	// server now; it is not used for other servers.
	Cold, ColdQuotaLeft bool
	// Flows is the number of open flows and InFlight the number of requests in
	// flight, both as seen by this instance. Slots is the number of requests
	// that the server processes concurrently.
	Flows, InFlight, Slots int
	// Speed is the server's speed relative to its service; 0 counts as 1.
	Speed float64
	// Refusing is set if the server has just refused a request.
	Refusing bool
	// TieBreak orders candidates of equal score and speed, lowest first; see the
	// function TieBreak.
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
	// refusingPenalty keeps flows away from a server that has just refused a
	// request, as long as another one has at most this much more load. That is more
	// than the usual difference between the least loaded servers. With 6, at full
	// demand, the servers that did not refuse were overloaded in turn while the
	// others idled, and nearly four times as many requests were
	// refused.
	refusingPenalty = 1
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

// None is the index returned if no candidate may be used.
const None = -1

// Choose returns the index of the candidate with the lowest score. It returns None
// if all candidates are replaced servers or cold servers without a quota left.
func Choose(candidates []Candidate) int {
	best, bestScore := None, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Reach == reach.Replaced || (c.Cold && !c.ColdQuotaLeft) {
			continue
		}
		score := c.score()
		if best == None || score < bestScore || (score == bestScore && c.precedes(&candidates[best])) {
			best, bestScore = i, score
		}
	}
	return best
}

// precedes reports whether the candidate comes before another one of equal score.
// Servers without load have the score 0 whatever their speed. An exponentially
// distributed key, divided by the speed, lets them receive flows in proportion to it.
func (c *Candidate) precedes(other *Candidate) bool {
	if c.Speed == other.Speed {
		return c.TieBreak < other.TieBreak
	}
	return c.weightedKey() < other.weightedKey()
}

func (c *Candidate) weightedKey() float64 {
	return -math.Log1p(-float64(c.TieBreak)/(1<<64)) / c.speed()
}

func (c *Candidate) speed() float64 {
	if c.Speed > 0 {
		return c.Speed
	}
	return 1
}

// Unpenalized reports whether the candidate is local, reachable and not cold, so
// that its score is its load and whether it refuses. A server that was chosen from a
// sample is used only in this case; otherwise all servers are compared. If the chosen
// server refuses, so do nearly all of the sample, and comparing all servers for every
// opening of an overload would take too long.
func (c *Candidate) Unpenalized() bool { return c.Local && !c.Cold && c.Reach == reach.Reachable }

func (c *Candidate) score() float64 {
	score := float64(c.Flows+inFlightWeight*c.InFlight) / (float64(max(c.Slots, 1)) * c.speed())
	if c.Refusing {
		score += refusingPenalty
	}
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

// Sample returns the indexes of the servers, out of n, to compare for the flow
// with the given hash. These are all n, or, if Sampled(n), a fixed number of them
// at equal distances, starting from an index that depends on the hash.
func Sample(hash uint64, n int) iter.Seq[int] {
	index, step, count := 0, 1, n
	if Sampled(n) {
		index, step, count = int(hash%uint64(n)), n/sampleSize, sampleSize
	}
	return func(yield func(int) bool) {
		for range count {
			if !yield(index) {
				return
			}
			index = (index + step) % n
		}
	}
}

// TieBreak returns the sort key of the server with the given hash for the flow
// with the given hash. Each flow orders the servers differently. All instances get
// the same order of servers to which they ascribe the same speed, so that transmissions of an opening that pass through two
// instances tend to reach the same server.
func TieBreak(flowHash, serverHash uint64) uint64 {
	x := flowHash ^ serverHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
