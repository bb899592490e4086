package routing

import (
	"testing"
	"time"
)

// Guards against a changed setting that instances do not pass on, because the route
// counts as unchanged.
func TestRoutesWithOtherSettingsDiffer(t *testing.T) {
	base := Route{Name: "a", Shares: []Share{{Service: "x", Weight: 1}}, AnswerWithin: time.Second, Priority: 1, GiveUpAfter: time.Second}
	same := base
	same.Shares = []Share{{Service: "x", Weight: 1}}
	if !base.Equal(&same) || base.Equal(nil) {
		t.Error("equal routes differ, or a route equals none")
	}
	for i, change := range []func(*Route){
		func(r *Route) { r.Name = "b" },
		func(r *Route) { r.Shares = nil },
		func(r *Route) { r.AnswerWithin++ },
		func(r *Route) { r.Priority++ },
		func(r *Route) { r.GiveUpAfter++ },
	} {
		other := base
		change(&other)
		if base.Equal(&other) {
			t.Errorf("change %d is not seen", i)
		}
	}
}
