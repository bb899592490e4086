package selection

import (
	"testing"

	"cuminshift/internal/reach"
)

func TestChoose(t *testing.T) {
	local := Candidate{Local: true, Slots: 3}
	with := func(c Candidate, change func(*Candidate)) Candidate { change(&c); return c }
	cases := []struct {
		name string
		all  []Candidate
		want int
	}{
		{"no candidates", nil, None},
		{"fewest flows", []Candidate{with(local, func(c *Candidate) { c.Flows = 5 }), local}, 1},
		{"own data centre preferred", []Candidate{{Slots: 3}, with(local, func(c *Candidate) { c.Flows = 20 })}, 1},
		{"other data centre when the own is saturated", []Candidate{{Slots: 3}, with(local, func(c *Candidate) { c.Flows = 40 })}, 0},
		{"more requests in flight last", []Candidate{with(local, func(c *Candidate) { c.Flows, c.InFlight = 4, 3 }), with(local, func(c *Candidate) { c.Flows = 5 })}, 1},
		{"flows per slot", []Candidate{with(local, func(c *Candidate) { c.Flows, c.Slots = 2, 1 }), with(local, func(c *Candidate) { c.Flows, c.Slots = 4, 4 })}, 1},
		{"flows relative to speed", []Candidate{with(local, func(c *Candidate) { c.Flows, c.Speed = 4, 0.5 }), with(local, func(c *Candidate) { c.Flows, c.Speed = 6, 2 })}, 1},
		{"refusing after a more loaded one", []Candidate{with(local, func(c *Candidate) { c.Refusing = true }), with(local, func(c *Candidate) { c.Flows = 2 })}, 1},
		{"refusing before another data centre", []Candidate{with(local, func(c *Candidate) { c.Refusing, c.Flows = true, 15 }), {Slots: 3}}, 0},
		{"cold, quota used up", []Candidate{with(local, func(c *Candidate) { c.Cold = true })}, None},
		{"cold, quota left", []Candidate{with(local, func(c *Candidate) { c.Cold, c.ColdQuotaLeft = true, true })}, 0},
		{"warm before cold", []Candidate{with(local, func(c *Candidate) { c.Cold, c.ColdQuotaLeft = true, true }), with(local, func(c *Candidate) { c.Flows = 10 })}, 1},
		{"warm in another data centre before cold", []Candidate{with(local, func(c *Candidate) { c.Cold, c.ColdQuotaLeft = true, true }), {Slots: 3}}, 1},
		{"suspect last", []Candidate{with(local, func(c *Candidate) { c.Reach = reach.Suspect }), {Slots: 3, Flows: 90}}, 1},
		{"unreachable when nothing else is left", []Candidate{with(local, func(c *Candidate) { c.Reach = reach.Unreachable })}, 0},
		{"never one that was replaced", []Candidate{with(local, func(c *Candidate) { c.Reach = reach.Replaced })}, None},
		{"tie", []Candidate{with(local, func(c *Candidate) { c.TieBreak = 2 }), with(local, func(c *Candidate) { c.TieBreak = 1 })}, 1},
	}
	for _, c := range cases {
		if got := Choose(c.all); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an instance with few flows of its own that ignores the speed.
func TestIdleServersReceiveFlowsBySpeed(t *testing.T) {
	fast, all := 0, []Candidate{{Local: true, Speed: 0.5}, {Local: true, Speed: 1.5}}
	for flow := range uint64(4000) {
		all[0].TieBreak, all[1].TieBreak = TieBreak(flow*0x9e3779b97f4a7c15, 1<<60), TieBreak(flow*0x9e3779b97f4a7c15, 7<<40)
		fast += Choose(all)
	}
	if fast < 2900 || fast > 3100 {
		t.Errorf("%d of 4000 flows at a server with three quarters of the speed", fast)
	}
}

func BenchmarkChoose(b *testing.B) {
	all := make([]Candidate, 500)
	for i := range all {
		all[i] = Candidate{Local: true, Flows: i % 7, Slots: 2, TieBreak: uint64(i)}
	}
	b.ReportAllocs()
	for range b.N {
		Choose(all)
	}
}
