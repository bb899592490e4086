package serverhealth

import "time"

const (
	// minExcessLatency is the least excess over the baseline that counts as
	// slow, so that the noise in the latency of a fast server does not.
	minExcessLatency = 20 * time.Millisecond
	// minLatencySamples is the number of answers that only set the baseline.
	minLatencySamples = 8
	// minSlowAnswers is the number of consecutive slow answers that make a
	// server slow. With fewer, the slowest few percent of ordinary answers would
	// do so by chance every few minutes.
	minSlowAnswers = 8
)

// SlownessDetector detects that a server has become slow, as opposed to one
// whose latency merely varies. The zero value is ready for use.
type SlownessDetector struct {
	baseline        float64
	samples         int
	consecutiveSlow int
}

// Observe adds the latency of an answer and reports whether the server is slow:
// the last 8 answers (minSlowAnswers) all took more than factor times the
// baseline. The baseline is a moving average that changes slowly. A server that
// stays slow is after a time no longer reported, because its latency has become
// the new baseline: only a change is of interest.
func (d *SlownessDetector) Observe(latency time.Duration, factor float64) bool {
	sample := float64(latency)
	d.samples++
	if d.samples == 1 {
		d.baseline = sample
	}
	if d.samples > minLatencySamples && sample > factor*d.baseline && sample > d.baseline+float64(minExcessLatency) {
		d.consecutiveSlow++
	} else {
		d.consecutiveSlow = 0
	}
	d.baseline += (sample - d.baseline) / 64
	return d.consecutiveSlow >= minSlowAnswers
}

// Baseline returns the usual latency of the server, or 0 before the first answer.
func (d *SlownessDetector) Baseline() time.Duration { return time.Duration(d.baseline) }
