package faultmatrix

import (
	"slices"
	"testing"
)

// Guards against decision packages that depend on map order or on the clock:
// a failing cell must repeat from its seed.
func TestProductRunRepeats(t *testing.T) {
	for _, cell := range []Cell{{"map-change", []string{"instance-killed"}}, {"ramp", []string{"peer-connection-silent"}}} {
		first, second := Run(cell, 3, NewProduct), Run(cell, 3, NewProduct)
		if !slices.Equal(first.Trace, second.Trace) || first.Answered != second.Answered {
			t.Errorf("%v: %d and %d trace lines, %d and %d answers differ", cell, len(first.Trace), len(second.Trace), first.Answered, second.Answered)
		}
	}
}

// Guards against a product that breaks an invariant under a fault. Every 13th
// cell meets each step; make matrix runs all of them.
func TestProductKeepsInvariants(t *testing.T) {
	for i, c := range Cells(1, 0) {
		if i%13 != 0 {
			continue
		}
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r := Run(c, 1, NewProduct)
			for _, v := range r.Violations {
				t.Error(v)
			}
		})
	}
}
