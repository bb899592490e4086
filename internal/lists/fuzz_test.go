package lists

import (
	"testing"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Guards against input that causes a panic, against findings without a position,
// and against lists that pass Validate but fail in BuildCatalog, Flatten or Unflatten.
func FuzzLists(f *testing.F) {
	f.Add([]byte("callers:\n- {name: a, plan: p, prefixes: [10.0.0.0/8]}\n"), []byte("plans: [{name: p}]\n"))
	f.Add([]byte("callers: &x [*x]\r\n"), []byte("services: [{name: s, sites: [{data_centre: d, address: '1.2.3.4:5', servers: [{name: s, address: '1.2.3.4:6', slots: 1, connections: 1, cold_slots: 1, cold_openings_per_second: 1}]}]}]\n"))
	f.Fuzz(func(t *testing.T, callerData, planData []byte) {
		callers, found := ParseCallers("c", callerData)
		plans, more := ParsePlans("p", planData)
		found = append(append(found, more...), Validate(callers, plans, &pb.Marks{})...)
		for _, x := range found {
			if x.Line < 1 || x.Column < 1 {
				t.Errorf("finding without a position: %v", x)
			}
		}
		if len(found) > 0 {
			return
		}
		if _, found := BuildCatalog(1, callers.List, plans.List, nil); len(found) > 0 {
			t.Errorf("BuildCatalog rejects lists that Validate accepts: %v", found)
		}
		c := Content{Callers: callers.List, Plans: plans.List}
		if changes := Diff(c, Unflatten(Flatten(c))); len(changes) > 0 {
			t.Errorf("Flatten and Unflatten change the content: %q", changes)
		}
	})
}
