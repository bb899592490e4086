package measure

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cuminshift/internal/model"
)

// Figure is one measured value beside a baseline and a goal.
type Figure struct {
	Name          string
	Value         float64
	Unit          string
	Baseline      string
	ValueBaseline float64
	Goal          string
}

// String returns the line that `make measure` prints.
func (f Figure) String() string {
	line := fmt.Sprintf("measure name=%s value=%.4g unit=%s", f.Name, f.Value, f.Unit)
	if f.Baseline != "" {
		line += fmt.Sprintf(" baseline=%s value_baseline=%.4g", f.Baseline, f.ValueBaseline)
	}
	if f.Goal != "" {
		line += " goal=" + f.Goal
	}
	return line
}

// Today's sizes: 4 instances and 14 servers with 3 slots and 2,000 flows each
// in a data centre, 1,000 openings a second at each instance.
var today = size{
	centres: 1, instances: 4, servers: 14, slots: 3, flows: 28_000, openings: 4_000,
	data: 3 * time.Second, idle: 12 * time.Second,
}

const (
	rise   = 10 * time.Second
	settle = 14 * time.Second
	change = 12 * time.Second
)

// scenario is a change that is made once the fleet is steady.
type scenario struct {
	name string
	// goal is for the broken flows per 10,000.
	goal   string
	during func(f *fleet)
	length time.Duration
}

var scenarios = []scenario{
	{"drain", "0", func(f *fleet) { f.control.drain(f.centres[0].servers[3]) }, change},
	{"add", "0", func(f *fleet) { f.control.add(f.centres[0]) }, change},
	{"leave", "0", func(f *fleet) { f.stop(f.centres[0].instances[1]) }, change},
	{"kill", "<1", func(f *fleet) { f.kill(f.centres[0].instances[1]) }, change},
	{"drain+kill", "<1", func(f *fleet) {
		f.control.drain(f.centres[0].servers[3])
		f.kill(f.centres[0].instances[1])
	}, change},
	{"roll", "0", rollAll, 36 * time.Second},
}

// rollAll replaces all instances one after the other.
func rollAll(f *fleet) {
	for n, i := range f.centres[0].instances {
		at := time.Duration(n) * 8 * time.Second
		f.after(at, func() { f.stop(i) })
		f.after(at+5*time.Second, func() { f.restart(i) })
	}
}

// outcome is what a scenario did to a scheme.
type outcome struct {
	broken        float64
	hops          float64
	control       float64
	steadyControl float64
	gaveUp        int
}

func runScenario(sc scenario, sch scheme, seed uint64) outcome {
	f := newFleet(today, sch, seed)
	f.startFlows(rise)
	f.runFor(rise + settle)
	before, bytesBefore := f.tally, f.controlBytes()
	const window = 2 * time.Second
	f.runFor(window)
	var o outcome
	o.steadyControl = float64(f.controlBytes()-bytesBefore) / window.Seconds() / float64(f.size.instances)
	bytesBefore = f.controlBytes()
	sc.during(f)
	f.runFor(sc.length)
	o.control = float64(f.controlBytes()-bytesBefore) / sc.length.Seconds() / float64(f.size.instances)
	// Data packets that are under way are given up or answered.
	f.stopped = true
	f.runFor(dataRepeat * (dataTries + 1))
	established := f.tally.established
	o.broken = float64(f.tally.broken-before.broken) / float64(established) * 10_000
	o.gaveUp = f.tally.gaveUp - before.gaveUp
	o.hops = float64(f.tally.forwarded-before.forwarded) / float64(f.tally.packets-before.packets) * 1000
	return o
}

// Control measures control bytes with timing nearer to real sessions: a packet
// each 10 s and an idle timeout of 60 s.
func Control(seed uint64, report func(Figure)) {
	s := today
	s.idle, s.data = 60*time.Second, 10*time.Second
	f := newFleet(s, productScheme, seed)
	f.startFlows(rise)
	f.runFor(rise + s.idle + 10*time.Second)
	rate := func(name string, d time.Duration) {
		before := f.controlBytes()
		f.runFor(d)
		report(Figure{Name: name, Value: float64(f.controlBytes()-before) / d.Seconds() / float64(s.instances), Unit: "B/s/instance", Goal: "7000"})
	}
	rate("control-long-sessions-steady", 10*time.Second)
	f.control.drain(f.centres[0].servers[3])
	rate("control-long-sessions-drain-first-5s", 5*time.Second)
	rate("control-long-sessions-drain-next-25s", 25*time.Second)
	report(Figure{Name: "broken-flows-long-sessions", Value: float64(f.tally.broken), Unit: "flows", Goal: "0"})
}

func (f *fleet) controlBytes() uint64 {
	var n uint64
	for _, c := range f.centres {
		for _, i := range c.instances {
			n += i.controlBytes
		}
	}
	return n
}

// BrokenFlows measures each scenario for the product and the baselines, side
// by side.
func BrokenFlows(seed uint64, report func(Figure)) {
	schemes := []scheme{productScheme, statelessScheme, tableScheme, replicatedScheme, forwardScheme, ownerOpensScheme}
	for _, sc := range scenarios {
		outcomes := make([]outcome, len(schemes))
		var wg sync.WaitGroup
		for n, sch := range schemes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outcomes[n] = runScenario(sc, sch, seed)
			}()
		}
		wg.Wait()
		own := outcomes[0]
		for n, base := range outcomes[1:] {
			name := schemes[n+1].name
			report(Figure{"broken-flows-" + sc.name, own.broken, "per-10000", name, base.broken, sc.goal})
			report(Figure{"hops-" + sc.name, own.hops, "per-1000-packets", name, base.hops, ""})
			report(Figure{"control-" + sc.name, own.control, "B/s/instance", name, base.control, "7000"})
		}
		report(Figure{Name: "control-steady-before-" + sc.name, Value: own.steadyControl, Unit: "B/s/instance", Goal: "7000"})
		report(Figure{Name: "openings-given-up-" + sc.name, Value: float64(own.gaveUp), Unit: "flows"})
	}
}

// imbalance returns the highest over the mean number of open flows.
func (f *fleet) imbalance(servers []*server) float64 {
	highest, total := 0, 0
	for _, s := range servers {
		highest = max(highest, len(s.flows))
		total += len(s.flows)
	}
	if total == 0 {
		return 0
	}
	return float64(highest) * float64(len(servers)) / float64(total)
}

// Imbalance measures open flows when steady, after a server was added and
// with one slow server.
func Imbalance(seed uint64, report func(Figure)) {
	run := func(sch scheme, prepare func(*fleet), wait time.Duration) float64 {
		f := newFleet(today, sch, seed)
		f.startFlows(rise)
		f.runFor(rise + settle)
		prepare(f)
		f.runFor(wait)
		return f.imbalance(f.centres[0].servers)
	}
	cases := []struct {
		name    string
		prepare func(*fleet)
		wait    time.Duration
	}{
		{"steady", func(*fleet) {}, 20 * time.Second},
		{"one-slow", func(f *fleet) { f.centres[0].servers[2].slow = 5 }, 20 * time.Second},
	}
	for _, c := range cases {
		own := run(productScheme, c.prepare, c.wait)
		report(Figure{"imbalance-flows-" + c.name, own, "highest/mean", statelessScheme.name, run(statelessScheme, c.prepare, c.wait), "1.05"})
		report(Figure{"imbalance-flows-" + c.name, own, "highest/mean", tableScheme.name, run(tableScheme, c.prepare, c.wait), "1.05"})
	}
}

// kalugala is chisel-desk: 14 servers with 2 slots.
var kalugala = size{
	centres: 1, instances: 4, servers: 14, slots: 2, flows: 2_800, openings: 50,
	data: 5 * time.Second, idle: 12 * time.Second,
	service: 20 * time.Millisecond, alerts: 0.3,
}

// AlertWaits measures the waiting time of alerts at three loads beside one
// queue over all slots.
func AlertWaits(seed uint64, report func(Figure)) {
	for _, load := range []float64{0.3, 0.6, 0.9} {
		s := kalugala
		s.requests = int(load * float64(s.servers*s.slots) / s.service.Seconds())
		f := newFleet(s, productScheme, seed)
		f.startFlows(rise)
		f.runFor(rise + settle)
		f.startRequests()
		f.runFor(20 * time.Second)
		f.stopped = true
		f.runFor(requestDeadline)
		name := fmt.Sprintf("alert-wait-p99-load-%.0f%%", load*100)
		own := percentile(f.tally.alertWaits, 99)
		limit := percentile(f.singleQueue(s.servers*s.slots), 99)
		report(Figure{name, own.Seconds() * 1000, "ms", "single-queue", limit.Seconds() * 1000, ""})
		report(Figure{Name: fmt.Sprintf("answered-share-load-%.0f%%", load*100), Value: float64(f.tally.answered) / float64(f.tally.requests), Unit: "share", Goal: "0.99"})
		report(Figure{Name: fmt.Sprintf("control-requests-load-%.0f%%", load*100), Value: float64(f.controlBytes()) / f.now.Sub(f.start).Seconds() / 4, Unit: "B/s/instance", Goal: "7000"})
	}
}

// threeCentres is small, with room in the other data centres for the flows of
// one that leaves.
var threeCentres = size{
	centres: 3, instances: 4, servers: 4, slots: 3, flows: 1_500, openings: 150,
	data: 2 * time.Second, idle: 12 * time.Second,
}

// DataCentreOut measures a data centre that leaves and returns.
func DataCentreOut(seed uint64, report func(Figure)) {
	f := newFleet(threeCentres, productScheme, seed)
	f.startFlows(rise)
	f.runFor(rise + settle)
	dc := f.centres[0]
	before := f.tally
	marked := f.now
	f.control.mark(dc.name, true)
	f.runFor(10 * time.Second)
	report(Figure{Name: "data-centre-out-last-packet", Value: max(0, f.tally.lastPacket[dc.name].Sub(marked).Seconds()), Unit: "s", Goal: "3"})
	// Openings of the data centre that is out are refused at once and made
	// again elsewhere; of those made elsewhere, the others could carry all.
	elsewhere := f.tally.opened - before.opened - (f.tally.moved - before.moved)
	report(Figure{Name: "data-centre-out-openings-established", Value: float64(f.tally.established-before.established) / float64(elsewhere), Unit: "share", Goal: "0.99"})
	for _, s := range dc.servers {
		s.goCold(8 * time.Second)
		s.coldPeak = 0
		s.flows = map[netip.AddrPort]bool{}
	}
	f.control.mark(dc.name, false)
	f.runFor(15 * time.Second)
	peak := 0.0
	for _, s := range dc.servers {
		peak = max(peak, s.coldPeak)
	}
	report(Figure{Name: "data-centre-return-cold-peak", Value: peak, Unit: "over-what-it-bears", Goal: "<=1.0"})
}

// Edits measures how long an edit takes until it is in force on all instances
// that can hear of it, and whether versions went back.
func Edits(seed uint64, report func(Figure)) {
	cases := []struct {
		name    string
		prepare func(f *fleet)
		hears   func(i *instance) bool
	}{
		{"healthy", func(*fleet) {}, all},
		{"store-down-for-one-reader", func(f *fleet) { f.readers()[0].storeDown = true }, all},
		{"one-data-centre-without-store", func(f *fleet) {
			for _, i := range f.centres[2].instances {
				i.b.(*product).storeDown = true
			}
		}, all},
		{"one-data-centre-cut-off", func(f *fleet) {
			f.cutOff(f.centres[2])
		}, func(i *instance) bool { return i.dc.name != "dc3" }},
	}
	for _, c := range cases {
		f := newFleet(threeCentres, productScheme, seed)
		f.runFor(8 * time.Second)
		c.prepare(f)
		f.runFor(2 * time.Second)
		worst, back := 0.0, 0
		for range 5 {
			highest := map[model.InstanceID]uint64{}
			begin := f.now
			f.control.toggleDrain(f.centres[0].servers[0])
			for !f.inForce(c.hears) && f.now.Sub(begin) < 20*time.Second {
				f.runFor(tickInterval)
				back += f.versionsBack(highest)
			}
			worst = max(worst, f.now.Sub(begin).Seconds())
			f.runFor(time.Second)
		}
		report(Figure{Name: "edit-in-force-" + c.name, Value: worst, Unit: "s", Goal: "6"})
		report(Figure{Name: "versions-gone-back-" + c.name, Value: float64(back), Unit: "versions", Goal: "0"})
	}
}

func all(*instance) bool { return true }

func (f *fleet) readers() []*product {
	var out []*product
	for _, i := range f.centres[0].instances {
		if p := i.b.(*product); p.core.ShouldWatchStore() {
			out = append(out, p)
		}
	}
	return out
}

// cutOff separates a data centre from the store and from the others.
func (f *fleet) cutOff(c *centre) {
	for _, other := range f.centres {
		for _, i := range other.instances {
			p := i.b.(*product)
			if other == c {
				p.storeDown = true
			}
			if p.cut == nil {
				p.cut = map[model.DataCentre]bool{}
			}
			for _, x := range f.centres {
				if (x == c) != (other == c) {
					p.cut[x.name] = true
				}
			}
		}
	}
}

func (f *fleet) inForce(hears func(*instance) bool) bool {
	for _, i := range f.byID {
		if hears(i) && i.b.(*product).core.Configuration().Version < f.control.version {
			return false
		}
	}
	return true
}

func (f *fleet) versionsBack(highest map[model.InstanceID]uint64) int {
	back := 0
	for id, i := range f.byID {
		v := i.b.(*product).core.Configuration().Version
		if v < highest[id] {
			back++
		}
		highest[id] = v
	}
	return back
}
