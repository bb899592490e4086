package placement

import (
	"testing"

	"cuminshift/internal/model"
)

// Guards against a first share of one bucket in 1,024 where a cold server
// bears more than the whole service gets: it then had no flow for minutes
// (fault matrix, seed 1, ramp).
func TestFirstShareFollowsTheRate(t *testing.T) {
	s := &service{n: 1024, rateKnown: true}
	target := &target{server: serverWithColdOpenings(10)}
	for _, c := range []struct {
		rate float64
		want int
	}{{2, 256}, {50, 102}, {500, 10}, {100_000, 1}} {
		s.rate = c.rate
		if got := s.startShare(target, 256); got != c.want {
			t.Errorf("%g openings per second: got %d buckets, want %d", c.rate, got, c.want)
		}
	}
	s.rateKnown = false
	if got := s.startShare(target, 256); got != rampStart {
		t.Errorf("unknown rate: got %d buckets, want %d", got, rampStart)
	}
}

func serverWithColdOpenings(n int) *model.BackendServer {
	return &model.BackendServer{ColdOpeningsPerSecond: n}
}
