package coldstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The limits of all instances sum to what the server can take, whatever the
// number of instances.
func TestLimitsSumToServerCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 500).Draw(t, "perSecond")
		slack := rapid.Float64Range(0, 20).Draw(t, "slack")
		n := rapid.IntRange(1, 800).Draw(t, "instances")
		sum := 0
		for rank := range n {
			sum += Limit(perSecond, slack, n, rank)
		}
		if sum != int(perSecond+slack) {
			t.Fatalf("the limits sum to %d, the server can take %d", sum, int(perSecond+slack))
		}
	})
}

// No interval of one second contains more openings than the limit.
func TestCounterEnforcesLimitInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 9).Draw(t, "limit")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 200).Draw(t, "gaps")
		var c Counter
		var taken []time.Time
		now := time.Unix(1000, 0)
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if !c.Allows(now, limit) {
				continue
			}
			c.Record(now)
			taken = append(taken, now)
			inWindow := 0
			for _, u := range taken {
				if now.Sub(u) <= time.Second {
					inWindow++
				}
			}
			if inWindow > limit {
				t.Fatalf("%d openings within a second, limit %d", inWindow, limit)
			}
		}
	})
}
