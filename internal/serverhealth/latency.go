package serverhealth

import "time"

const (
	// minSlowdown keeps the noise of fast answers from counting as slowness.
	minSlowdown = 20 * time.Millisecond
	// minLatencySamples must be seen before latency is judged.
	minLatencySamples = 8
	// slowAnswers in a row make a server slow. With fewer, the slowest few
	// percent of ordinary answers would do so by chance every few minutes.
	slowAnswers = 8
)

// LatencyWatch tells a server that has become slow from one whose answers
// differ. The zero value is ready for use.
type LatencyWatch struct {
	usual   float64
	samples int
	slow    int
}

// Observe adds the latency of an answer and reports whether the server is
// slow: the last answers all took more than factor times the usual latency.
// The usual latency follows slowly, so that lasting slowness becomes usual.
func (w *LatencyWatch) Observe(d time.Duration, factor float64) bool {
	x := float64(d)
	w.samples++
	if w.samples == 1 {
		w.usual = x
	}
	if w.samples > minLatencySamples && x > factor*w.usual && x > w.usual+float64(minSlowdown) {
		w.slow++
	} else {
		w.slow = 0
	}
	w.usual += (x - w.usual) / 64
	return w.slow >= slowAnswers
}

// Usual returns the usual latency.
func (w *LatencyWatch) Usual() time.Duration { return time.Duration(w.usual) }
