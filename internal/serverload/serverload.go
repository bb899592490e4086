// Package serverload learns from callers' packets what servers can sustain: how fast
// each server is relative to its service, which fraction of a service's requests its
// servers refuse, and which responses of a route are refusals.
//
// It handles demand above the servers' capacity and servers of uneven speed. Servers
// answer the callers directly, so all that is known of a response is the time until
// its first acknowledgement and the number of bytes that this acknowledges.
//
// The types have no clock and no lock; the zero value of each means that nothing is
// known. Recording does not allocate.
package serverload

import (
	"math"
	"time"
)

const (
	// sampleCount is the number of answer times kept for each server. 16 fit in 128
	// bytes; an instance may know 82,000 servers.
	sampleCount = 16
	// minSamples is the number of answers below which the speed is 1.
	minSamples = 8
	// sampleDecay is the time constant with which an answer loses weight.
	sampleDecay = time.Second
	// refusedWeight is the weight of one response in the refused fraction of a server, and
	// refusedDecay the time constant with which it falls without responses.
	refusedWeight = 0.25
	refusedDecay  = 2 * time.Second
	// minRefused is the refused fraction below which a server counts as refusing nothing.
	minRefused = 0.01
	// minFailing is the refused fraction from which on a server may be failing: that of two
	// refusals in a row, since a single one may be a lost packet. failingFactor is how much
	// more than its service it has to refuse.
	minFailing    = 0.3
	failingFactor = 3
	// forgetAfter is the time without answers after which the speed is 1 again.
	forgetAfter = 4 * time.Second
	// minSpeed and maxSpeed limit the speed, so that every server keeps receiving
	// some requests that show a recovery.
	minSpeed, maxSpeed = 0.25, 4
)

// rankWeights holds the smallest weight of an answer by the number of later answers.
// A slow server gives few answers, and by age alone the last one would decide. With
// these weights at least three answers are needed to change the median.
var rankWeights = func() (weights [sampleCount]float64) {
	for i := range weights {
		weights[i] = math.Pow(0.8, float64(i))
	}
	return weights
}()

// Server holds what is known about the load of one server.
type Server struct {
	// samples is a ring of the last count answers. next is the index of the
	// following one.
	samples     [sampleCount]sample
	next, count uint8
	// median is the weighted median of the samples in microseconds; 0 if it has to
	// be computed.
	median uint32
	// refused is the moving average of the refused fraction as of the last response.
	refused float32
	// lastAnswer and lastRefusal are in Unix nanoseconds; 0 if there was none.
	lastAnswer, lastRefusal int64
}

// sample is the time to one answer with a result.
type sample struct {
	// at is the time of the answer in Unix milliseconds, modulo 2^32.
	at uint32
	// took is in microseconds.
	took uint32
}

// RecordAnswer records a response with a result.
func (s *Server) RecordAnswer(now time.Time, took time.Duration) {
	if !within(now, s.lastAnswer, forgetAfter) {
		s.count = 0
	}
	s.samples[s.next] = sample{at: uint32(now.UnixMilli()), took: uint32(min(max(took.Microseconds(), 1), math.MaxUint32))}
	s.next = (s.next + 1) % sampleCount
	s.count = min(s.count+1, sampleCount)
	if s.refused = float32(s.RefusedFraction(now) * (1 - refusedWeight)); s.refused < minRefused {
		s.refused = 0
	}
	s.median, s.lastAnswer = 0, now.UnixNano()
}

// RecordRefusal records a response that refuses the request.
func (s *Server) RecordRefusal(now time.Time) {
	s.refused = float32(s.RefusedFraction(now)*(1-refusedWeight) + refusedWeight)
	s.lastRefusal = now.UnixNano()
}

// RefusedFraction returns the fraction of the last few responses that were refusals. It
// decays while there are no responses, so that a server that gets no flows is tried again.
func (s *Server) RefusedFraction(now time.Time) float64 {
	age := max(now.Sub(time.Unix(0, max(s.lastAnswer, s.lastRefusal))), 0)
	return float64(s.refused) * math.Exp(-age.Seconds()/refusedDecay.Seconds())
}

// Refuses reports whether any of the last responses was a refusal.
func (s *Server) Refuses() bool { return s.refused > 0 }

// Failing reports whether the server refuses far more than the others of its service,
// whose refused fraction is given: it fails requests fast, and would attract new flows by
// being idle.
func (s *Server) Failing(now time.Time, serviceRefused float64) bool {
	return s.RefusedFraction(now) > max(minFailing, failingFactor*serviceRefused)
}

// RecordUnanswered records an opening or a request that the caller repeated without an
// answer. It counts as a refusal of the server. A Service does not count it, because
// the packet may have been lost on the way to the server.
func (s *Server) RecordUnanswered(now time.Time) { s.RecordRefusal(now) }

// RefusedWithin reports whether the server refused a request within the last d.
func (s *Server) RefusedWithin(now time.Time, d time.Duration) bool {
	return within(now, s.lastRefusal, d)
}

// Speed returns the speed of the server relative to its service, whose median answer
// time is given: 2 if the server answers in half of that time. It is 1 if too little is
// known.
func (s *Server) Speed(now time.Time, serviceMedian time.Duration) float64 {
	if s.count < minSamples || serviceMedian <= 0 || !within(now, s.lastAnswer, forgetAfter) {
		return 1
	}
	if s.median == 0 {
		s.median = s.weightedMedian()
	}
	return min(max(float64(serviceMedian.Microseconds())/float64(s.median), minSpeed), maxSpeed)
}

// weightedMedian returns the median of the samples, the recent ones having more
// weight. A median is used because the 3% of requests that take seven times as long
// raise a mean of 16 samples by a fifth or more. It depends on the distances between
// the samples only, so it stays valid until the next sample.
func (s *Server) weightedMedian() uint32 {
	var tooks [sampleCount]uint32
	var weights [sampleCount]float64
	newest := s.samples[(s.next+sampleCount-1)%sampleCount].at
	total := 0.0
	for rank := range int(s.count) {
		x := s.samples[(int(s.next)+sampleCount-1-rank)%sampleCount]
		age := time.Duration(int32(newest-x.at)) * time.Millisecond
		weight := max(math.Exp(-max(age, 0).Seconds()/sampleDecay.Seconds()), rankWeights[rank])
		total += weight
		i := rank
		for ; i > 0 && tooks[i-1] > x.took; i-- {
			tooks[i], weights[i] = tooks[i-1], weights[i-1]
		}
		tooks[i], weights[i] = x.took, weight
	}
	below := 0.0
	for i := range int(s.count) {
		if below += weights[i]; below >= total/2 {
			return tooks[i]
		}
	}
	return tooks[s.count-1]
}

// within reports whether a time in Unix nanoseconds is at most d before now. A time
// slightly after now also counts: the clock may have been read out of order.
func within(now time.Time, then int64, d time.Duration) bool {
	age := time.Duration(now.UnixNano() - then)
	return then != 0 && age <= d && age >= -d
}
