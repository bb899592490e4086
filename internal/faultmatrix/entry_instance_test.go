package faultmatrix

import (
	"slices"
	"testing"
)

// Guards against decision packages that depend on map order or on the clock:
// a failing cell must repeat from its seed.
func TestEntryInstanceRunsAreReproducible(t *testing.T) {
	for _, cell := range []Cell{{"view-change", []string{"instance-killed"}}, {"ramp", []string{"peer-connection-silent"}}} {
		first, second := Run(cell, 3, NewEntryInstance), Run(cell, 3, NewEntryInstance)
		if !slices.Equal(first.Trace, second.Trace) || first.AnsweredRequests != second.AnsweredRequests {
			t.Errorf("%v: %d and %d trace lines, %d and %d answers differ", cell, len(first.Trace), len(second.Trace), first.AnsweredRequests, second.AnsweredRequests)
		}
	}
}

// found are cells in which the matrix once found a fault of the product.
var regressions = []struct {
	fault string
	seed  uint64
	cell  Cell
}{
	{"DID_NOT_RUN for a later copy under another plan", 1, Cell{"edit-being-made", []string{"instance-leaves"}}},
	{"DID_NOT_RUN for a copy that waited in a frozen instance", 1, Cell{"flow-opening", []string{"instance-frozen"}}},
	{"DID_NOT_RUN for a copy that waited in a frozen leaving instance", 1, Cell{"planned-stop", []string{"instance-frozen"}}},
	{"DID_NOT_RUN for a copy whose admitter was paused", 1, Cell{"planned-stop", []string{"lease-expires-while-paused"}}},
	{"record of a refused opening kept at its owner", 1, Cell{"ramp", []string{"server-drains"}}},
	{"pins of openings refused for a draining server kept", 1, Cell{"admitter-handover", []string{"store-answer-lost"}}},
	{"bursts of openings on a cold server", 3, Cell{"ramp", []string{"store-slow"}}},
	{"cancellations to a data centre that is out", 2, Cell{"answer-under-way", []string{"instance-frozen", "centre-out-and-back"}}},
	{"pins of openings refused during an announced move", 21, Cell{"start-up", []string{"store-answer-lost"}}},
	{"a map of its own by an instance that knew no peers", 41, Cell{"edit-spreading", []string{"centre-cut-from-platform", "instance-joins"}}},
	{"a cold server's share used before and after a restart", 1, Cell{"ramp", []string{"instance-restarted"}}},
	{"two requests at a server that went cold while it was quiet", 44, Cell{"start-up", []string{"lease-expires-while-paused", "server-goes-cold"}}},
	{"a cold server taken for warm since it drains", 71, Cell{"ramp", []string{"partition-in-centre", "server-drains"}}},
	{"news of a cold server that waited for heartbeats", 72, Cell{"start-up", []string{"answers-late-and-crossed", "server-goes-cold"}}},
	{"a request that a copy overtook ended without a word", 78, Cell{"admitter-handover", []string{"server-sheds"}}},
	{"relays to an instance that died", 3, Cell{"flow-opening", []string{"instance-killed"}}},
}

// Guards against the return of faults that the matrix found. One instance
// death may break no flow here: a run has about 150 flows, and the goal is one
// broken flow in 10,000.
func TestFixedFaultsDoNotReturn(t *testing.T) {
	for _, f := range regressions {
		t.Run(f.fault, func(t *testing.T) {
			t.Parallel()
			r := Run(f.cell, f.seed, NewEntryInstance)
			for _, v := range r.Violations {
				t.Error(v)
			}
			if r.BrokenFlows > 0 {
				t.Errorf("%d flows broken: %s", r.BrokenFlows, r.LastBrokenFlow)
			}
		})
	}
}

// Guards against a product that breaks an invariant under a fault. Every 27th
// cell meets each step; make matrix runs all of them.
func TestEntryInstancesKeepInvariants(t *testing.T) {
	for i, c := range Cells(1, 0) {
		if i%27 != 0 {
			continue
		}
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r := Run(c, 1, NewEntryInstance)
			for _, v := range r.Violations {
				t.Error(v)
			}
		})
	}
}
