package upstream

import (
	"testing"
	"time"
)

// Guards against requests for complete data by all starting instances to the few
// seeds while the store answers, and against waiting for a store that does not.
func TestNeedsSeeds(t *testing.T) {
	for _, c := range []struct {
		sinceStart       time.Duration
		answered, failed bool
		want             bool
	}{
		{0, false, false, false},
		{100 * time.Millisecond, false, false, false},
		{200 * time.Millisecond, false, false, true},
		{200 * time.Millisecond, true, false, false},
		{time.Second, true, false, false},
		{2 * time.Second, true, false, true},
		{10 * time.Millisecond, false, true, true},
		{10 * time.Millisecond, true, true, true},
	} {
		if got := NeedsSeeds(c.sinceStart, c.answered, c.failed); got != c.want {
			t.Errorf("%s after the start, store answered %t, failed %t: %t", c.sinceStart, c.answered, c.failed, got)
		}
	}
}
