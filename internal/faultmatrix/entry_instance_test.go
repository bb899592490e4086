package faultmatrix

import (
	"slices"
	"testing"
)

// Guards against decision packages that depend on map order or on the clock: a
// failing cell must be reproducible from its seed.
func TestEntryInstanceRunsAreReproducible(t *testing.T) {
	for _, cell := range []Cell{{"view-change", []string{"instance-killed"}}, {"ramp", []string{"peer-connection-silent"}}} {
		first, second := Run(cell, 3, NewEntryInstance), Run(cell, 3, NewEntryInstance)
		if !slices.Equal(first.Trace, second.Trace) || first.AnsweredRequests != second.AnsweredRequests {
			t.Errorf("%v: two runs differ: %d and %d trace lines, %d and %d requests answered", cell, len(first.Trace), len(second.Trace), first.AnsweredRequests, second.AnsweredRequests)
		}
	}
}

// regressions are cells in which the matrix found a fault of the entry core, with
// the seed at which it occurred.
var regressions = []struct {
	fault string
	seed  uint64
	cell  Cell
}{
	{"DID_NOT_RUN for a later copy of a request under another plan", 1, Cell{"edit-being-made", []string{"instance-leaves"}}},
	{"DID_NOT_RUN for a copy of a request queued in a frozen instance", 1, Cell{"flow-opening", []string{"instance-frozen"}}},
	{"DID_NOT_RUN for a copy of a request queued in a frozen instance that leaves", 1, Cell{"planned-stop", []string{"instance-frozen"}}},
	{"DID_NOT_RUN for a copy of a request whose admitter was paused", 1, Cell{"planned-stop", []string{"lease-expires-while-paused"}}},
	{"record of a refused opening kept by its owner", 1, Cell{"ramp", []string{"server-drains"}}},
	{"flow assignments kept after openings were refused for a draining server", 1, Cell{"admitter-handover", []string{"store-answer-lost"}}},
	{"bursts of openings on a cold server", 3, Cell{"ramp", []string{"store-slow"}}},
	{"cancellations sent to a data centre out of service", 2, Cell{"answer-under-way", []string{"instance-frozen", "centre-out-and-back"}}},
	{"flow assignments kept after openings were refused during an announced move", 21, Cell{"start-up", []string{"store-answer-lost"}}},
	{"separate map of an instance that knew no peers", 41, Cell{"edit-spreading", []string{"centre-cut-from-platform", "instance-joins"}}},
	{"share of a cold server used both before and after a restart", 1, Cell{"ramp", []string{"instance-restarted"}}},
	{"two concurrent requests at a server that became cold while idle", 44, Cell{"start-up", []string{"lease-expires-while-paused", "server-goes-cold"}}},
	{"cold server treated as warm because it drains", 71, Cell{"ramp", []string{"partition-in-centre", "server-drains"}}},
	{"notice of a cold server delayed until the heartbeats", 72, Cell{"start-up", []string{"answers-late-and-crossed", "server-goes-cold"}}},
	{"request overtaken by another copy of it ended without a reply", 78, Cell{"admitter-handover", []string{"server-sheds"}}},
	{"packets relayed to a dead instance", 3, Cell{"flow-opening", []string{"instance-killed"}}},
}

// Guards against the return of faults that the matrix found. The death of one
// instance may break no flow: a run has about 150 flows, and the goal is at most one
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

// Guards against an entry core that violates an invariant under a fault. Every 27th
// cell covers each step; make matrix runs all cells.
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
