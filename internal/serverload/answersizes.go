package serverload

import "math"

const (
	// maxRefusalBytes is the size up to which a response may be a refusal. Refusals and
	// errors have 125 to 165 bytes on the users' platform; the headers of a response with a
	// result, which the server signs, alone take 180.
	maxRefusalBytes = 176
	// recentResponses and usualResponses are the numbers of responses over which
	// the two fractions of long responses are averaged.
	recentResponses = 64
	usualResponses  = 1024
	// Refusals are recognised once recognizeFraction of the recent responses are
	// long, and until less than forgetFraction of the usual ones are: that is when
	// the 90th percentile of all sizes becomes a short one. The gap keeps a route
	// with one long response in 20 from being taken for one with long responses.
	// The long average keeps the refusals of a long overload from being learned as
	// the usual size.
	recognizeFraction = 0.15
	forgetFraction    = 0.1
	// usualStep is the relative change of the usual size by one response.
	usualStep = 0.05
	// usualPercentile is the percentile of the sizes that counts as the usual size.
	usualPercentile = 0.9
)

// AnswerSizes tells refusals from results by the sizes of one route's responses. A
// response is long if it has more than maxRefusalBytes bytes.
type AnswerSizes struct {
	// recentLong and usualLong are the fractions of long responses.
	recentLong, usualLong float32
	// usual is the running percentile of the sizes of long responses; 0 if there
	// was none.
	usual float32
	// responses counts the responses up to usualResponses.
	responses  uint16
	recognizes bool
}

// IsRefusal reports whether a response of the given size is a refusal, and learns the
// size. If the instance learns of the size by an acknowledgement, that of the first part
// of a response is sufficient.
func (a *AnswerSizes) IsRefusal(bytes uint32) bool {
	if bytes == 0 {
		return false
	}
	a.learn(bytes)
	return a.recognizes && bytes <= maxRefusalBytes && float32(bytes) <= a.usual/2
}

func (a *AnswerSizes) learn(bytes uint32) {
	long := float32(0)
	if bytes > maxRefusalBytes {
		long = 1
		a.learnUsual(float32(bytes))
	}
	if a.responses < usualResponses {
		a.responses++
	}
	n := float32(a.responses)
	a.recentLong += (long - a.recentLong) / min(n, recentResponses)
	a.usualLong += (long - a.usualLong) / n
	switch {
	case a.recognizes && a.usualLong < forgetFraction && a.recentLong < recognizeFraction:
		a.recognizes = false
	case !a.recognizes && a.recentLong >= recognizeFraction && a.responses >= minSamples:
		a.recognizes = true
		// The usual responses before were short or refusals, which is not known.
		a.usualLong = max(a.usualLong, a.recentLong)
	}
}

func (a *AnswerSizes) learnUsual(bytes float32) {
	switch {
	case a.usual == 0:
		a.usual = bytes
	case bytes > a.usual:
		a.usual = min(a.usual*float32(math.Exp(usualStep*usualPercentile)), bytes)
	case bytes < a.usual:
		a.usual = max(a.usual*float32(math.Exp(-usualStep*(1-usualPercentile))), bytes)
	}
}
