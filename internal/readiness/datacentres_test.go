package readiness

import (
	"testing"
	"time"

	"cuminshift/internal/model"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// evidence returns n servers of a data centre that were last reached at reached, the
// first unreachable of them found unreachable at since.
func evidence(dc model.DataCentre, n, unreachable int, reached, since time.Time) []ServerEvidence {
	var out []ServerEvidence
	for i := range n {
		s := ServerEvidence{DataCentre: dc, LastReached: reached}
		if i < unreachable {
			s.UnreachableSince = since
		}
		out = append(out, s)
	}
	return out
}

func TestLostDataCentres(t *testing.T) {
	const sur = model.DataCentre("sur")
	for name, c := range map[string]struct {
		servers []ServerEvidence
		lost    bool
	}{
		"cut off, 8 of 120 probed":       {evidence(sur, 120, 8, at(0), at(300)), true},
		"too few known":                  {evidence(sur, 120, 7, at(0), at(300)), false},
		"others answer after it":         {evidence(sur, 120, 20, at(400), at(300)), false},
		"others answer during the probe": {evidence(sur, 120, 20, at(200), at(300)), false},
		"small data centre":              {evidence(sur, 4, 4, at(0), at(300)), false},
		"never reached":                  {evidence(sur, 120, 8, time.Time{}, at(300)), true},
	} {
		servers := append(evidence("norte", 120, 0, at(0), time.Time{}), c.servers...)
		if lost := LostDataCentres(servers); lost[sur] != c.lost || lost["norte"] {
			t.Errorf("%s: %v", name, lost)
		}
	}
}
