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
