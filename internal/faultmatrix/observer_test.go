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
func TestIdealInstancesViolateNothing(t *testing.T) {
	// Every ninth cell meets each fault and each step; the whole matrix takes
	// minutes under the race detector.
	for i, c := range Cells(1, 20) {
		if i%9 != 0 {
			continue
		}
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r := Run(c, 1, newIdeal())
			for _, v := range r.Violations {
				t.Error(v)
			}
			if r.Flows < 50 || r.Answered < 200 {
				t.Errorf("%d flows opened, %d of %d requests answered: the run carried too little traffic", r.Flows, r.Answered, r.Requests)
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
type faulty struct {
	Node
	spec  NodeSpec
	after func(now time.Time, n Node, in, out any) []any
}

func (f *faulty) Handle(now time.Time, in any) []any {
	var out []any
	for _, o := range f.Node.Handle(now, in) {
		out = append(out, f.after(now, f.Node, in, o)...)
	}
	return out
}

// faultyFactory applies after to the instances' outputs once the warm-up ends.
func faultyFactory(inner Factory, after func(spec NodeSpec, now time.Time, n Node, in, out any) []any) Factory {
	return func(spec NodeSpec) Node {
		return &faulty{inner(spec), spec, func(now time.Time, n Node, in, out any) []any {
			if now.Before(time.Unix(1_700_000_000, 0).Add(warmUp)) {
				return []any{out}
			}
			return after(spec, now, n, in, out)
		}}
	}
}

// toServer returns an output's packet for a server of data centre a.
func toServer(out any, kind pb.Kind) (ToServer, bool) {
	o, ok := out.(ToServer)
	return o, ok && o.P.GetKind() == kind && o.To.Addr().As4()[2] == 'a'
}

// redirect sends packets of a kind to one server.
func redirect(kind pb.Kind, to netip.AddrPort) func(NodeSpec, time.Time, Node, any, any) []any {
	return func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
		if o, ok := toServer(out, kind); ok && o.To.Addr().As4()[1] == to.Addr().As4()[1] {
			return []any{ToServer{to, o.Path, o.P}}
		}
		return []any{out}
	}
}

var variants = []struct {
	invariant, name string
	cell            Cell
	after           func(spec NodeSpec, now time.Time, n Node, in, out any) []any
}{
	{"I1", "data to a server other than the flow's", Cell{"established-flow", []string{"answers-duplicated"}},
		redirect(pb.Kind_KIND_DATA, serverAddr("campo", "a", 1))},
	{"I2", "packets to a server of another service", Cell{"established-flow", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
			if o, ok := toServer(out, pb.Kind_KIND_OPEN); ok {
				return []any{ToServer{serverAddr("ordenes", "a", 1), o.Path, o.P}}
			}
			return []any{out}
		}},
	{"I2", "a plan edit is ignored", Cell{"edit-being-made", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, n Node, in, out any) []any {
			// A refused packet is passed on as before the edit.
			if p, ok := in.(CallerPacket); ok && p.P.GetCallerIp()[1] == 2 && p.P.GetServicePort() == 81 && p.P.GetServiceIp()[3] == 'a' {
				return []any{ToServer{serverAddr("ordenes", "a", 1), 0, p.P}}
			}
			return []any{out}
		}},
	{"I3", "every opening to the server in cold start", Cell{"ramp", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
			o, ok := toServer(out, pb.Kind_KIND_OPEN)
			if !ok {
				return []any{out}
			}
			var many []any
			for i := range 12 {
				p := clonePacket(o.P)
				p.CallerPort = uint32(50000 + i)
				many = append(many, ToServer{serverAddr("campo", "a", 4), o.Path, p})
			}
			return append(many, out)
		}},
	{"I4", "instances that ignore the mark", Cell{"established-flow", []string{"centre-out-and-back"}},
		func(_ NodeSpec, _ time.Time, n Node, in, out any) []any {
			if p, ok := in.(CallerPacket); ok && p.P.GetServiceIp()[3] == 'a' && p.P.GetServicePort() == 80 {
				return []any{ToServer{serverAddr("campo", "a", 1), 0, p.P}}
			}
			return []any{out}
		}},
	{"I5", "a part of the answer is lost", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER && o.P.GetPart() == 1 {
				return nil
			}
			return []any{out}
		}},
	{"I5", "an answer reaches another request", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER {
				o.P.RequestId++
			}
			return []any{out}
		}},
	{"I6", "answers are replaced by refusals that promise DID_NOT_RUN", Cell{"answer-under-way", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
			if o, ok := out.(ToCaller); ok && o.P.GetKind() == pb.Kind_KIND_ANSWER {
				o.P.Kind, o.P.Outcome, o.P.Reason = pb.Kind_KIND_REFUSAL, pb.Outcome_OUTCOME_DID_NOT_RUN, pb.Reason_REASON_OVERLOAD
			}
			return []any{out}
		}},
	{"I7", "requests are sent twice", Cell{"request-sent", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, _, out any) []any {
			if o, ok := toServer(out, pb.Kind_KIND_REQUEST); ok {
				return []any{o, o}
			}
			return []any{out}
		}},
	{"I8", "openings to the draining server", Cell{"view-change", []string{"answers-duplicated"}},
		redirect(pb.Kind_KIND_OPEN, serverAddr("campo", "a", 1))},
	{"I9", "an instance that stops with requests under way", Cell{"planned-stop", []string{"answers-duplicated"}},
		func(_ NodeSpec, _ time.Time, _ Node, in, out any) []any {
			if _, ok := toServer(out, pb.Kind_KIND_REQUEST); ok {
				return []any{out, Stopped{}}
			}
			return []any{out}
		}},
}

// Guards against an observer that overlooks a broken invariant: each variant
// breaks one on purpose.
func TestObserverReportsEachInvariant(t *testing.T) {
	for _, v := range variants {
		for name, factory := range map[string]Factory{"ideal": newIdeal(), "product": NewProduct} {
			t.Run(v.invariant+" "+v.name+" "+name, func(t *testing.T) {
				t.Parallel()
				r := Run(v.cell, 1, faultyFactory(factory, v.after))
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
type reverting struct {
	Node
	started time.Time
	back    bool
	now     time.Time
}

func (r *reverting) Handle(now time.Time, in any) []any {
	r.now = now
	return r.Node.Handle(now, in)
}

func (r *reverting) Version() uint64 {
	v := r.Node.Version()
	if since := r.now.Sub(r.started); v > 1 && (!r.back || since > warmUp+5*time.Second) {
		return 1
	}
	return v
}

// Guards against an observer that overlooks a configuration that goes back or
// is not in force in time.
func TestObserverReportsConfiguration(t *testing.T) {
	for _, back := range []bool{false, true} {
		inner := newIdeal()
		r := Run(Cell{"edit-being-made", []string{"answers-duplicated"}}, 1, func(spec NodeSpec) Node {
			if spec.ID != "b1" {
				return inner(spec)
			}
			return &reverting{Node: inner(spec), started: spec.Started, back: back}
		})
		want := map[bool]string{false: "has version 1 and not 2", true: "from version 2 back to 1"}[back]
		found := slices.ContainsFunc(r.Violations, func(v Violation) bool {
			return v.Invariant == "I10" && strings.Contains(v.Text, want)
		})
		if !found {
			t.Errorf("no report of I10 with %q in %d reports", want, len(r.Violations))
		}
	}
}

// Guards against a run that cannot be repeated from its seed.
func TestSameSeedSameTrace(t *testing.T) {
	cell := Cell{"view-change", []string{"instance-killed", "answers-late-and-crossed"}}
	first, second := Run(cell, 7, newIdeal()), Run(cell, 7, newIdeal())
	if !slices.Equal(first.Trace, second.Trace) || first.Answered != second.Answered {
		t.Errorf("%d and %d trace lines, %d and %d answers differ", len(first.Trace), len(second.Trace), first.Answered, second.Answered)
	}
}
