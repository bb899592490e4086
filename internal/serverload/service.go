package serverload

import (
	"math"
	"time"
)

const (
	// refusalDecay is the time constant of the refused fraction, which packages spill and
	// overload know: they derive from it what came since their last step.
	refusalDecay = time.Second
	// A service is saturated if its servers refuse more than saturatedFraction of
	// its requests; with fewer than saturatedSamples responses this is chance.
	saturatedFraction = 0.05
	saturatedSamples  = 20
	// medianStep is the relative change of the median answer time by one response.
	// It gives a standard deviation of about a tenth and follows a change to the
	// eightfold within some 70 responses.
	medianStep = 0.03
)

// Service holds what is known about the load of the servers of one service in one
// data centre.
type Service struct {
	// answers and refusals are decayed counts as of updatedAt.
	answers, refusals float64
	updatedAt         time.Time
	// median is the median answer time in seconds, after a number of responses that
	// is counted up to 1/medianStep.
	median    float64
	responses uint8
}

// RecordAnswer records a response with a result.
func (s *Service) RecordAnswer(now time.Time, took time.Duration) {
	s.decay(now)
	s.answers++
	x := max(took, time.Microsecond).Seconds()
	if s.responses == 0 {
		s.median = x
	}
	if float64(s.responses)*medianStep < 1 {
		s.responses++
	}
	// The first steps are larger: the first response may be an unusual one.
	step := max(1/float64(s.responses), medianStep)
	switch {
	case x > s.median:
		s.median = min(s.median*(1+step), x)
	case x < s.median:
		s.median = max(s.median/(1+step), x)
	}
}

// RecordRefusal records a response that refuses the request.
func (s *Service) RecordRefusal(now time.Time) {
	s.decay(now)
	s.refusals++
}

// RefusedFraction returns the fraction of the recent requests that servers refused,
// and the number of responses that it is based on, both with exponential decay. The
// fraction is 0 if there is less than one response left.
func (s *Service) RefusedFraction(now time.Time) (fraction float64, samples float64) {
	samples = (s.answers + s.refusals) * s.decayFactor(now)
	if samples < 1 {
		return 0, samples
	}
	return s.refusals / (s.answers + s.refusals), samples
}

// Saturated reports whether the servers refuse more than chance and uneven load
// explain.
func (s *Service) Saturated(now time.Time) bool {
	fraction, samples := s.RefusedFraction(now)
	return fraction > saturatedFraction && samples >= saturatedSamples
}

// MedianAnswer returns the running median of the time to a response with a result; 0
// if there was none.
func (s *Service) MedianAnswer() time.Duration {
	return time.Duration(s.median * float64(time.Second))
}

func (s *Service) decay(now time.Time) {
	factor := s.decayFactor(now)
	s.answers *= factor
	s.refusals *= factor
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
}

func (s *Service) decayFactor(now time.Time) float64 {
	return math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds() / refusalDecay.Seconds())
}
