package spill

import (
	"testing"
	"time"
)

// Guards against a data centre that is filled at once by what others refuse, and against
// flows to data centres that refuse, are not usable or do not answer.
func TestOverflow(t *testing.T) {
	now := time.Unix(1000, 0)
	taken := func(dcs ...DataCentre) (to string, n int, elsewhere bool) {
		var o Overflow
		o.Update(now, append(dcs, DataCentre{Name: "own", Local: true, Usable: true, Refused: 0.6, Samples: 100}))
		for {
			dc, ok := o.Take()
			if !ok {
				return to, n, o.RoomElsewhere()
			}
			to, n = string(dc), n+1
		}
	}
	for name, c := range map[string]struct {
		dcs       []DataCentre
		to        string
		n         int
		elsewhere bool
	}{
		"room":          {[]DataCentre{{Name: "a", Usable: true, Refused: 0.01, Samples: 50}, {Name: "b", Usable: true, Refused: 0.02, Samples: 50}}, "a", 20, true},
		"hardly room":   {[]DataCentre{{Name: "a", Usable: true, Refused: 0.05, Samples: 50}}, "", 0, true},
		"all full":      {[]DataCentre{{Name: "a", Usable: true, Refused: 0.4, Samples: 50}}, "", 0, false},
		"not usable":    {[]DataCentre{{Name: "a", Refused: 0, Samples: 50}}, "", 0, false},
		"without views": {[]DataCentre{{Name: "a", Usable: true}}, "a", maxTrials, false},
		"no other":      {nil, "", 0, false},
	} {
		if to, n, elsewhere := taken(c.dcs...); to != c.to || n != c.n || elsewhere != c.elsewhere {
			t.Errorf("%s: %d flows to %q, room elsewhere %t", name, n, to, elsewhere)
		}
	}
}
