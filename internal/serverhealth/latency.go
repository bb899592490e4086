package serverhealth

import "time"

const (
	// minSlowdown keeps the noise of fast answers from counting as slowness.
	minExcessLatency = 20 * time.Millisecond
	// minLatencySamples must be seen before latency is judged.
	minLatencySamples = 8
	// slowAnswers in a row make a server slow. With fewer, the slowest few
	// percent of ordinary answers would do so by chance every few minutes.
	minSlowAnswers = 8
)

// LatencyWatch tells a server that has become slow from one whose answers
// differ. The zero value is ready for use.
type SlownessDetector struct {
	baseline        float64
	samples         int
	consecutiveSlow int
}

// Observe adds the latency of an answer and reports whether the server is
// slow: the last answers all took more than factor times the usual latency.
// The usual latency follows slowly, so that lasting slowness becomes usual.
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

// Usual returns the usual latency.
func (d *SlownessDetector) Baseline() time.Duration { return time.Duration(d.baseline) }
