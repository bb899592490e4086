package faultmatrix

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

func mustAddr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// Guards against an observer that reports false violations.
func TestReferenceInstancesViolateNothing(t *testing.T) {
	// Every ninth cell covers each fault and each step; the whole matrix takes
	// minutes under the race detector.
	for i, c := range Cells(1, 20) {
		if i%9 != 0 {
			continue
		}
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r := Run(c, 1, newReferenceFactory())
			for _, v := range r.Violations {
				t.Error(v)
			}
			if r.OpenedFlows < 50 || r.AnsweredRequests < 200 {
				t.Errorf("%d flows opened, %d of %d requests answered: the run carried too little traffic", r.OpenedFlows, r.AnsweredRequests, r.Requests)
			}
			if t.Failed() {
				for _, l := range r.Trace {
					t.Log(l)
				}
			}
		})
	}
}

// faultyInstance replaces each output of an instance by those that replaceOutput
// returns.
type faultyInstance struct {
	Instance
	spec          InstanceSpec
	replaceOutput func(now time.Time, inst Instance, in, out any) []any
}

func (f *faultyInstance) Handle(now time.Time, in any) []any {
	var out []any
	for _, o := range f.Instance.Handle(now, in) {
		out = append(out, f.replaceOutput(now, f.Instance, in, o)...)
	}
	return out
}

// newFaultyFactory returns a factory of instances whose outputs are replaced by
// replaceOutput once the warm-up ends.
func newFaultyFactory(inner Factory, replaceOutput func(spec InstanceSpec, now time.Time, impl Instance, in, out any) []any) Factory {
	return func(spec InstanceSpec) Instance {
		return &faultyInstance{inner(spec), spec, func(now time.Time, impl Instance, in, out any) []any {
			if now.Before(time.Unix(1_700_000_000, 0).Add(warmUpDuration)) {
				return []any{out}
			}
			return replaceOutput(spec, now, impl, in, out)
		}}
	}
}

// toServer returns an output that sends a packet of a kind to a server of data
// centre a.
func toServer(out any, kind pb.Kind) (ToServer, bool) {
	o, ok := out.(ToServer)
	return o, ok && o.P.GetKind() == kind && o.To.Addr().As4()[2] == 'a'
}

// redirect returns a replaceOutput function that sends the packets of a kind for a
// service in data centre a to one server of that service.
func redirect(kind pb.Kind, to netip.AddrPort) func(InstanceSpec, time.Time, Instance, any, any) []any {
	return func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
		if o, ok := toServer(out, kind); ok && o.To.Addr().As4()[1] == to.Addr().As4()[1] {
			return []any{ToServer{to, o.Path, o.P}}
		}
		return []any{out}
	}
}

// faultyVariants are faulty instances that each violate an invariant.
var faultyVariants = []struct {
	invariant, name string
	cell            Cell
	replaceOutput   func(spec InstanceSpec, now time.Time, inst Instance, in, out any) []any
}{
	{"I1", "data to a server other than the flow's", Cell{"established-flow", []string{"answers-duplicated"}},
		redirect(pb.Kind_KIND_DATA, serverAddr("campo", "a", 1))},
	{"I2", "packets to a server of another service", Cell{"established-flow", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := toServer(out, pb.Kind_KIND_OPEN); ok {
				return []any{ToServer{serverAddr("ordenes", "a", 1), o.Path, o.P}}
			}
			return []any{out}
		}},
	{"I2", "instances that ignore a plan edit", Cell{"edit-being-made", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, inst Instance, in, out any) []any {
			// A packet that is now refused is forwarded as it was before the edit.
			if p, ok := in.(CallerPacket); ok && p.P.GetCallerIp()[1] == 2 && p.P.GetServicePort() == 81 && p.P.GetServiceIp()[3] == 'a' {
				return []any{ToServer{serverAddr("ordenes", "a", 1), 0, p.P}}
			}
			return []any{out}
		}},
	{"I3", "12 additional openings at the cold server for each opening", Cell{"ramp", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			o, ok := toServer(out, pb.Kind_KIND_OPEN)
			if !ok {
				return []any{out}
			}
			var openings []any
			for i := range 12 {
				p := clonePacket(o.P)
				p.CallerPort = uint32(50000 + i)
				openings = append(openings, ToServer{serverAddr("campo", "a", 4), o.Path, p})
			}
			return append(openings, out)
		}},
	{"I4", "instances that ignore the mark of a data centre out of service", Cell{"established-flow", []string{"centre-out-and-back"}},
		func(_ InstanceSpec, _ time.Time, inst Instance, in, out any) []any {
			if p, ok := in.(CallerPacket); ok && p.P.GetServiceIp()[3] == 'a' && p.P.GetServicePort() == 80 {
				return []any{ToServer{serverAddr("campo", "a", 1), 0, p.P}}
			}
			return []any{out}
		}},
	{"I5", "part of an answer lost", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER && o.P.GetPart() == 1 {
				return nil
			}
			return []any{out}
		}},
	{"I5", "answer delivered to another request", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER {
				o.P.RequestId++
			}
			return []any{out}
		}},
	{"I6", "answers replaced by refusals with DID_NOT_RUN", Cell{"answer-under-way", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER {
				o.P.Kind, o.P.Outcome, o.P.Reason = pb.Kind_KIND_REFUSAL, pb.Outcome_OUTCOME_DID_NOT_RUN, pb.Reason_REASON_OVERLOAD
			}
			return []any{out}
		}},
	{"I7", "requests sent twice", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := toServer(out, pb.Kind_KIND_REQUEST); ok {
				return []any{o, o}
			}
			return []any{out}
		}},
	{"I8", "openings to the draining server", Cell{"view-change", []string{"answers-duplicated"}},
		redirect(pb.Kind_KIND_OPEN, serverAddr("campo", "a", 1))},
	{"I9", "instance that stops with requests in flight", Cell{"planned-stop", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, in, out any) []any {
			if _, ok := toServer(out, pb.Kind_KIND_REQUEST); ok {
				return []any{out, Stopped{}}
			}
			return []any{out}
		}},
}

// Guards against an observer that misses a violation: each variant violates one
// invariant on purpose.
func TestObserverReportsEachInvariant(t *testing.T) {
	for _, v := range faultyVariants {
		for name, factory := range map[string]Factory{"reference": newReferenceFactory(), "entry core": NewEntryInstance} {
			t.Run(v.invariant+" "+v.name+" "+name, func(t *testing.T) {
				t.Parallel()
				r := Run(v.cell, 1, newFaultyFactory(factory, v.replaceOutput))
				found := map[string]int{}
				for _, x := range r.Violations {
					found[x.Invariant]++
				}
				if found[v.invariant] == 0 {
					t.Errorf("violation not reported; violations by invariant: %v", found)
				}
				t.Log(found)
			})
		}
	}
}

// staleConfigInstance is an instance whose configuration stays at version 1, or goes
// back to it 5 s after the warm-up if revert is set.
type staleConfigInstance struct {
	Instance
	started time.Time
	revert  bool
	now     time.Time
}

func (r *staleConfigInstance) Handle(now time.Time, in any) []any {
	r.now = now
	return r.Instance.Handle(now, in)
}

func (r *staleConfigInstance) Version() uint64 {
	v := r.Instance.Version()
	if since := r.now.Sub(r.started); v > 1 && (!r.revert || since > warmUpDuration+5*time.Second) {
		return 1
	}
	return v
}

// Guards against an observer that misses a configuration version that goes back, or
// an edit that is not in force in time.
func TestObserverReportsStaleConfiguration(t *testing.T) {
	for _, revert := range []bool{false, true} {
		inner := newReferenceFactory()
		r := Run(Cell{"edit-being-made", []string{"answers-duplicated"}}, 1, func(spec InstanceSpec) Instance {
			if spec.ID != "b1" {
				return inner(spec)
			}
			return &staleConfigInstance{Instance: inner(spec), started: spec.Started, revert: revert}
		})
		want := map[bool]string{false: "has configuration version 1, expected 2", true: "went back from version 2 to 1"}[revert]
		found := slices.ContainsFunc(r.Violations, func(v Violation) bool {
			return v.Invariant == "I10" && strings.Contains(v.Text, want)
		})
		if !found {
			t.Errorf("no violation of I10 with %q among %d violations", want, len(r.Violations))
		}
	}
}

// Guards against a run that is not reproducible from its seed.
func TestRunsAreReproducible(t *testing.T) {
	cell := Cell{"view-change", []string{"instance-killed", "answers-late-and-crossed"}}
	first, second := Run(cell, 7, newReferenceFactory()), Run(cell, 7, newReferenceFactory())
	if !slices.Equal(first.Trace, second.Trace) || first.AnsweredRequests != second.AnsweredRequests {
		t.Errorf("two runs differ: %d and %d trace lines, %d and %d requests answered", len(first.Trace), len(second.Trace), first.AnsweredRequests, second.AnsweredRequests)
	}
}
