package serverload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// work lets a server with four slots answer requests back to back. The usual answer
// takes 100 ms divided by the speed, varies by a quarter in both directions, and 3% of
// the answers take seven times as long.
func work(rng *rand.Rand, s *Server, from, to, speed float64) {
	ends, took := [4]float64{from, from, from, from}, [4]float64{}
	for i := 0; ends[i] <= to; i = slices.Index(ends[:], slices.Min(ends[:])) {
		if took[i] > 0 {
			s.RecordAnswer(at(ends[i]), time.Duration(took[i]*float64(time.Second)))
		}
		took[i] = 0.1 / speed * (0.75 + rng.Float64()/2)
		if rng.IntN(100) < 3 {
			took[i] *= 7
		}
		ends[i] += took[i]
	}
}

// Guards against a speed that is far from the true one, that single slow requests
// change, or that follows a change too late.
func TestSpeed(t *testing.T) {
	type phase struct{ seconds, speed float64 }
	for name, c := range map[string]struct {
		phases   []phase
		min, max float64
	}{
		"slower than the others":   {[]phase{{10, 0.7}}, 0.5, 0.95},
		"faster than the others":   {[]phase{{10, 1.7}}, 1.25, 2.3},
		"2 s after it turned slow": {[]phase{{10, 1}, {2, 0.125}}, 0.25, 0.3},
		"2 s after it recovered":   {[]phase{{10, 1}, {5, 0.125}, {2, 1}}, 0.75, 1.4},
		"too few answers":          {[]phase{{0.29, 0.5}}, 1, 1},
		"quiet for 5 s":            {[]phase{{10, 0.3}, {5, 0.01}}, 1, 1},
	} {
		for seed := range uint64(200) {
			rng, s, now := rand.New(rand.NewPCG(seed, 0)), Server{}, 0.0
			for _, p := range c.phases {
				work(rng, &s, now, now+p.seconds, p.speed)
				now += p.seconds
			}
			if got := s.Speed(at(now), 100*time.Millisecond); got < c.min || got > c.max {
				t.Errorf("%s, seed %d: speed %.2f", name, seed, got)
			}
		}
	}
}

// Guards against a service that counts as saturated by chance or by old refusals.
func TestSaturated(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond                int
		refused, quiet, fraction float64
		saturated                bool
	}{"overload": {900, 0.67, 0, 0.67, true}, "few refusals": {1000, 0.03, 0, 0.03, false},
		"few responses": {15, 0.67, 0, 0.67, false}, "quiet": {900, 0.67, 4, 0.67, false},
		"long quiet": {900, 0.67, 8, 0, false}} {
		var s Service
		for i, due := 0, 0.0; i < c.perSecond; i++ {
			if due += c.refused; due >= 1 {
				s.RecordRefusal(at(float64(i) / float64(c.perSecond)))
				due--
			} else {
				s.RecordAnswer(at(float64(i)/float64(c.perSecond)), 80*time.Millisecond)
			}
		}
		now := at(1 + c.quiet)
		if f, _ := s.RefusedFraction(now); s.Saturated(now) != c.saturated || f < c.fraction-0.05 || f > c.fraction+0.05 {
			t.Errorf("%s: refused %.2f, saturated %t", name, f, s.Saturated(now))
		}
	}
}

// Guards against refusals that are learned as the usual size, and against short results
// that are taken for refusals. In each phase, a fraction of the responses has 130 bytes
// and the others from 440 to 12,000.
func TestIsRefusal(t *testing.T) {
	type phase struct{ responses, short float64 }
	for name, c := range map[string]struct {
		phases []phase
		want   bool
	}{
		"long overload":                     {[]phase{{1000, 0}, {5000, 0.67}}, true},
		"nearly all refused":                {[]phase{{1000, 0}, {2000, 0.95}}, true},
		"first responses under overload":    {[]phase{{150, 0.67}}, true},
		"first results after refusals only": {[]phase{{1000, 1}, {150, 0.67}}, true},
		"usual responses short":             {[]phase{{5000, 0.95}}, false},
		"usual responses become short":      {[]phase{{2000, 0}, {10000, 0.99}}, false},
	} {
		for seed := range uint64(50) {
			rng, a := rand.New(rand.NewPCG(seed, 0)), AnswerSizes{}
			for _, p := range c.phases {
				for range int(p.responses) {
					size := uint32(440 + rng.IntN(11561))
					if rng.Float64() < p.short {
						size = 130
					}
					a.IsRefusal(size)
				}
			}
			if got := a.IsRefusal(130); got != c.want {
				t.Errorf("%s, seed %d: refusal %t", name, seed, got)
			}
		}
	}
}
