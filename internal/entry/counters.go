package entry

import "sync/atomic"

// counter identifies a counter of the instance.
type counter int

const (
	countFastCaller counter = iota
	countFastServer
	countSlowCaller
	countSlowServer
	countMalformed
	countUnknownAddress
	countUnknownServer
	countWrongService
	countRelayed
	countRelayRefused
	countOpenings
	countOpenAcks
	countRequests
	countRefusals
	countHeldFull
	countHeldTimeout
	countNoPeerAddress
	countTokenOfOtherService
	countAnswersNotInPlan
	countAfterPause
	countUnknownToken
	numCounters
)

var counterNames = [numCounters]string{
	"packets_fast_caller",
	"packets_fast_server",
	"packets_slow_caller",
	"packets_slow_server",
	"packets_malformed",
	"packets_unknown_address",
	"packets_unknown_server",
	"packets_wrong_service",
	"packets_relayed",
	"packets_relay_refused",
	"openings",
	"open_acks",
	"requests",
	"refusals",
	"held_full",
	"held_timeout",
	"peer_no_address",
	"tokens_of_other_service",
	"answers_not_in_plan",
	"packets_after_pause",
	"packets_unknown_token",
}

// counterStride is the distance between two counters, in words of 8 bytes. It
// keeps each counter on a cache line of its own, because different packet
// workers increment them.
const counterStride = 8

// counters holds the values of all counters. Counters are incremented without
// the core's mutex.
type counters [int(numCounters) * counterStride]atomic.Uint64

func (c *counters) add(n counter) {
	c[int(n)*counterStride].Add(1)
}

func (c *counters) values() map[string]uint64 {
	out := make(map[string]uint64, numCounters)
	for n, name := range counterNames {
		out[name] = c[n*counterStride].Load()
	}
	return out
}
