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

// Guards against an observer that reports violations where there are none.
func TestReferenceInstancesViolateNothing(t *testing.T) {
	// Every ninth cell meets each fault and each step; the whole matrix takes
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

// faulty puts a fault into instances: after is applied to each output and
// returns what the instance does instead.
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

// faultyFactory applies after to the instances' outputs once the warm-up ends.
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

// toServer returns an output's packet for a server of data centre a.
func toServer(out any, kind pb.Kind) (ToServer, bool) {
	o, ok := out.(ToServer)
	return o, ok && o.P.GetKind() == kind && o.To.Addr().As4()[2] == 'a'
}

// redirect sends packets of a kind to one server.
func redirect(kind pb.Kind, to netip.AddrPort) func(InstanceSpec, time.Time, Instance, any, any) []any {
	return func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
		if o, ok := toServer(out, kind); ok && o.To.Addr().As4()[1] == to.Addr().As4()[1] {
			return []any{ToServer{to, o.Path, o.P}}
		}
		return []any{out}
	}
}

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
	{"I2", "a plan edit is ignored", Cell{"edit-being-made", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, inst Instance, in, out any) []any {
			// A refused packet is passed on as before the edit.
			if p, ok := in.(CallerPacket); ok && p.P.GetCallerIp()[1] == 2 && p.P.GetServicePort() == 81 && p.P.GetServiceIp()[3] == 'a' {
				return []any{ToServer{serverAddr("ordenes", "a", 1), 0, p.P}}
			}
			return []any{out}
		}},
	{"I3", "every opening to the server in cold start", Cell{"ramp", []string{"answers-duplicated"}},
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
	{"I4", "instances that ignore the mark", Cell{"established-flow", []string{"centre-out-and-back"}},
		func(_ InstanceSpec, _ time.Time, inst Instance, in, out any) []any {
			if p, ok := in.(CallerPacket); ok && p.P.GetServiceIp()[3] == 'a' && p.P.GetServicePort() == 80 {
				return []any{ToServer{serverAddr("campo", "a", 1), 0, p.P}}
			}
			return []any{out}
		}},
	{"I5", "a part of the answer is lost", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER && o.P.GetPart() == 1 {
				return nil
			}
			return []any{out}
		}},
	{"I5", "an answer reaches another request", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER {
				o.P.RequestId++
			}
			return []any{out}
		}},
	{"I6", "answers are replaced by refusals that promise DID_NOT_RUN", Cell{"answer-under-way", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER {
				o.P.Kind, o.P.Outcome, o.P.Reason = pb.Kind_KIND_REFUSAL, pb.Outcome_OUTCOME_DID_NOT_RUN, pb.Reason_REASON_OVERLOAD
			}
			return []any{out}
		}},
	{"I7", "requests are sent twice", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, _, out any) []any {
			if o, ok := toServer(out, pb.Kind_KIND_REQUEST); ok {
				return []any{o, o}
			}
			return []any{out}
		}},
	{"I8", "openings to the draining server", Cell{"view-change", []string{"answers-duplicated"}},
		redirect(pb.Kind_KIND_OPEN, serverAddr("campo", "a", 1))},
	{"I9", "an instance that stops with requests under way", Cell{"planned-stop", []string{"answers-duplicated"}},
		func(_ InstanceSpec, _ time.Time, _ Instance, in, out any) []any {
			if _, ok := toServer(out, pb.Kind_KIND_REQUEST); ok {
				return []any{out, Stopped{}}
			}
			return []any{out}
		}},
}

// Guards against an observer that overlooks a broken invariant: each variant
// breaks one on purpose.
func TestObserverReportsEachInvariant(t *testing.T) {
	for _, v := range faultyVariants {
		for name, factory := range map[string]Factory{"ideal": newReferenceFactory(), "product": NewEntryInstance} {
			t.Run(v.invariant+" "+v.name+" "+name, func(t *testing.T) {
				t.Parallel()
				r := Run(v.cell, 1, newFaultyFactory(factory, v.replaceOutput))
				found := map[string]int{}
				for _, x := range r.Violations {
					found[x.Invariant]++
				}
				if found[v.invariant] == 0 {
					t.Errorf("reported %v", found)
				}
				t.Log(found)
			})
		}
	}
}

// reverting is an instance whose configuration goes back, or stays as it was.
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

// Guards against an observer that overlooks a configuration that goes back or
// is not in force in time.
func TestObserverReportsStaleConfiguration(t *testing.T) {
	for _, revert := range []bool{false, true} {
		inner := newReferenceFactory()
		r := Run(Cell{"edit-being-made", []string{"answers-duplicated"}}, 1, func(spec InstanceSpec) Instance {
			if spec.ID != "b1" {
				return inner(spec)
			}
			return &staleConfigInstance{Instance: inner(spec), started: spec.Started, revert: revert}
		})
		want := map[bool]string{false: "has version 1 and not 2", true: "from version 2 back to 1"}[revert]
		found := slices.ContainsFunc(r.Violations, func(v Violation) bool {
			return v.Invariant == "I10" && strings.Contains(v.Text, want)
		})
		if !found {
			t.Errorf("no report of I10 with %q in %d reports", want, len(r.Violations))
		}
	}
}

// Guards against a run that cannot be repeated from its seed.
func TestRunsAreReproducible(t *testing.T) {
	cell := Cell{"view-change", []string{"instance-killed", "answers-late-and-crossed"}}
	first, second := Run(cell, 7, newReferenceFactory()), Run(cell, 7, newReferenceFactory())
	if !slices.Equal(first.Trace, second.Trace) || first.AnsweredRequests != second.AnsweredRequests {
		t.Errorf("%d and %d trace lines, %d and %d answers differ", len(first.Trace), len(second.Trace), first.AnsweredRequests, second.AnsweredRequests)
	}
}
