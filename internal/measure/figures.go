package measure

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cuminshift/internal/model"
)

// Figure is a measured value with the value of a baseline and a goal. Baseline is
// the name of the baseline; it and Goal are empty if there is none.
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

// currentFleet has the current sizes of a data centre: 4 instances with 1,000
// openings per second each, and 14 servers with 3 slots and 2,000 flows each.
var currentFleet = fleetSize{
	dataCentres: 1, instances: 4, servers: 14, slotsPerServer: 3, flows: 28_000, openingsPerSecond: 4_000,
	dataInterval: 3 * time.Second, flowIdleTimeout: 12 * time.Second,
}

const (
	// rampUp is the time over which the initial flows are opened, settleTime the
	// time after it until the fleet is steady.
	rampUp     = 10 * time.Second
	settleTime = 14 * time.Second
	// changeDuration is the time over which the effects of a change are measured.
	changeDuration = 12 * time.Second
)

// scenario is a change to a steady fleet.
type scenario struct {
	name string
	// brokenGoal is the goal for the broken flows per 10,000, as printed.
	brokenGoal string
	apply      func(f *fleet)
	duration   time.Duration
}

var scenarios = []scenario{
	{"drain", "0", func(f *fleet) { f.operator.drainServer(f.dataCentres[0].servers[3]) }, changeDuration},
	{"add", "0", func(f *fleet) { f.operator.addServer(f.dataCentres[0]) }, changeDuration},
	{"leave", "0", func(f *fleet) { f.stopInstance(f.dataCentres[0].instances[1]) }, changeDuration},
	{"kill", "<1", func(f *fleet) { f.killInstance(f.dataCentres[0].instances[1]) }, changeDuration},
	{"drain+kill", "<1", func(f *fleet) {
		f.operator.drainServer(f.dataCentres[0].servers[3])
		f.killInstance(f.dataCentres[0].instances[1])
	}, changeDuration},
	{"roll", "0", replaceAllInstances, 36 * time.Second},
}

// replaceAllInstances restarts all instances one after the other, as in a rolling
// update.
func replaceAllInstances(f *fleet) {
	for n, i := range f.dataCentres[0].instances {
		at := time.Duration(n) * 8 * time.Second
		f.after(at, func() { f.stopInstance(i) })
		f.after(at+5*time.Second, func() { f.restartInstance(i) })
	}
}

// outcome holds the measured effects of a scenario on a scheme. The control rates
// are in bytes per second and instance.
type outcome struct {
	brokenPer10000    float64
	hopsPer1000       float64
	controlRate       float64
	steadyControlRate float64
	openingsGivenUp   int
}

func runScenario(sc scenario, sch scheme, seed uint64) outcome {
	f := newFleet(currentFleet, sch, seed)
	f.startFlows(rampUp)
	f.runFor(rampUp + settleTime)
	before, bytesBefore := f.tally, f.controlBytes()
	const window = 2 * time.Second
	f.runFor(window)
	var o outcome
	o.steadyControlRate = float64(f.controlBytes()-bytesBefore) / window.Seconds() / float64(f.size.instances)
	bytesBefore = f.controlBytes()
	sc.apply(f)
	f.runFor(sc.duration)
	o.controlRate = float64(f.controlBytes()-bytesBefore) / sc.duration.Seconds() / float64(f.size.instances)
	// Data packets in flight are answered, or their flows are counted as broken.
	f.callersStopped = true
	f.runFor(dataRetransmitInterval * (maxDataTransmissions + 1))
	established := f.tally.established
	o.brokenPer10000 = float64(f.tally.broken-before.broken) / float64(established) * 10_000
	o.openingsGivenUp = f.tally.openingsGivenUp - before.openingsGivenUp
	o.hopsPer1000 = float64(f.tally.forwarded-before.forwarded) / float64(f.tally.packets-before.packets) * 1000
	return o
}

// Control measures control traffic with timing closer to that of real sessions: a
// packet every 10 s and an idle timeout of 60 s.
func Control(seed uint64, report func(Figure)) {
	size := currentFleet
	size.flowIdleTimeout, size.dataInterval = 60*time.Second, 10*time.Second
	f := newFleet(size, entryScheme, seed)
	f.startFlows(rampUp)
	f.runFor(rampUp + size.flowIdleTimeout + 10*time.Second)
	reportRate := func(name string, d time.Duration) {
		before := f.controlBytes()
		f.runFor(d)
		report(Figure{Name: name, Value: float64(f.controlBytes()-before) / d.Seconds() / float64(size.instances), Unit: "B/s/instance", Goal: "7000"})
	}
	reportRate("control-long-sessions-steady", 10*time.Second)
	f.operator.drainServer(f.dataCentres[0].servers[3])
	reportRate("control-long-sessions-drain-first-5s", 5*time.Second)
	reportRate("control-long-sessions-drain-next-25s", 25*time.Second)
	report(Figure{Name: "broken-flows-long-sessions", Value: float64(f.tally.broken), Unit: "flows", Goal: "0"})
}

func (f *fleet) controlBytes() uint64 {
	var n uint64
	for _, dc := range f.dataCentres {
		for _, i := range dc.instances {
			n += i.controlBytes
		}
	}
	return n
}

// BrokenFlows measures each scenario for the product and for the baselines, which
// run concurrently.
func BrokenFlows(seed uint64, report func(Figure)) {
	schemes := []scheme{entryScheme, statelessScheme, tableScheme, replicatedScheme, forwardScheme, ownerOpensScheme}
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
		entryOutcome := outcomes[0]
		for n, baselineOutcome := range outcomes[1:] {
			name := schemes[n+1].name
			report(Figure{"broken-flows-" + sc.name, entryOutcome.brokenPer10000, "per-10000", name, baselineOutcome.brokenPer10000, sc.brokenGoal})
			report(Figure{"hops-" + sc.name, entryOutcome.hopsPer1000, "per-1000-packets", name, baselineOutcome.hopsPer1000, ""})
			report(Figure{"control-" + sc.name, entryOutcome.controlRate, "B/s/instance", name, baselineOutcome.controlRate, "7000"})
		}
		report(Figure{Name: "control-steady-before-" + sc.name, Value: entryOutcome.steadyControlRate, Unit: "B/s/instance", Goal: "7000"})
		report(Figure{Name: "openings-given-up-" + sc.name, Value: float64(entryOutcome.openingsGivenUp), Unit: "flows"})
	}
}

// imbalance returns the highest number of open flows of a server divided by the
// mean.
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

// Imbalance measures the imbalance of open flows in a steady fleet and with one
// slow server.
func Imbalance(seed uint64, report func(Figure)) {
	run := func(sch scheme, prepare func(*fleet), wait time.Duration) float64 {
		f := newFleet(currentFleet, sch, seed)
		f.startFlows(rampUp)
		f.runFor(rampUp + settleTime)
		prepare(f)
		f.runFor(wait)
		return f.imbalance(f.dataCentres[0].servers)
	}
	cases := []struct {
		name    string
		prepare func(*fleet)
		wait    time.Duration
	}{
		{"steady", func(*fleet) {}, 20 * time.Second},
		{"one-slow", func(f *fleet) { f.dataCentres[0].servers[2].slowdown = 5 }, 20 * time.Second},
	}
	for _, c := range cases {
		entryImbalance := run(entryScheme, c.prepare, c.wait)
		report(Figure{"imbalance-flows-" + c.name, entryImbalance, "highest/mean", statelessScheme.name, run(statelessScheme, c.prepare, c.wait), "1.05"})
		report(Figure{"imbalance-flows-" + c.name, entryImbalance, "highest/mean", tableScheme.name, run(tableScheme, c.prepare, c.wait), "1.05"})
	}
}

// alertFleet has the sizes of kalugala (chisel-desk): 14 servers with 2 slots.
var alertFleet = fleetSize{
	dataCentres: 1, instances: 4, servers: 14, slotsPerServer: 2, flows: 2_800, openingsPerSecond: 50,
	dataInterval: 5 * time.Second, flowIdleTimeout: 12 * time.Second,
	serviceTime: 20 * time.Millisecond, alertShare: 0.3,
}

// AlertWaits measures the waiting time of alerts at three loads and compares it
// with that of a single queue for all slots.
func AlertWaits(seed uint64, report func(Figure)) {
	for _, load := range []float64{0.3, 0.6, 0.9} {
		size := alertFleet
		size.requestsPerSecond = int(load * float64(size.servers*size.slotsPerServer) / size.serviceTime.Seconds())
		f := newFleet(size, entryScheme, seed)
		f.startFlows(rampUp)
		f.runFor(rampUp + settleTime)
		f.startRequests()
		f.runFor(20 * time.Second)
		f.callersStopped = true
		f.runFor(requestDeadline)
		name := fmt.Sprintf("alert-wait-p99-load-%.0f%%", load*100)
		entryWait := percentile(f.tally.alertWaits, 99)
		optimalWait := percentile(f.singleQueueWaits(size.servers*size.slotsPerServer), 99)
		report(Figure{name, entryWait.Seconds() * 1000, "ms", "single-queue", optimalWait.Seconds() * 1000, ""})
		report(Figure{Name: fmt.Sprintf("answered-share-load-%.0f%%", load*100), Value: float64(f.tally.answered) / float64(f.tally.requests), Unit: "share", Goal: "0.99"})
		report(Figure{Name: fmt.Sprintf("control-requests-load-%.0f%%", load*100), Value: float64(f.controlBytes()) / f.now.Sub(f.start).Seconds() / 4, Unit: "B/s/instance", Goal: "7000"})
	}
}

// threeDataCentres is a small fleet in which any two data centres have the
// capacity for the flows of the third.
var threeDataCentres = fleetSize{
	dataCentres: 3, instances: 4, servers: 4, slotsPerServer: 3, flows: 1_500, openingsPerSecond: 150,
	dataInterval: 2 * time.Second, flowIdleTimeout: 12 * time.Second,
}

// DataCentreOut measures the effects of a data centre that is taken out of service
// and returns with cold servers.
func DataCentreOut(seed uint64, report func(Figure)) {
	f := newFleet(threeDataCentres, entryScheme, seed)
	f.startFlows(rampUp)
	f.runFor(rampUp + settleTime)
	dc := f.dataCentres[0]
	before := f.tally
	markedAt := f.now
	f.operator.setDataCentreOut(dc.name, true)
	f.runFor(10 * time.Second)
	report(Figure{Name: "data-centre-out-last-packet", Value: max(0, f.tally.lastPacket[dc.name].Sub(markedAt).Seconds()), Unit: "s", Goal: "3"})
	// The data centre that is out refuses openings at once, and callers repeat
	// them in another data centre. The other data centres have the capacity for
	// all of these openings.
	elsewhere := f.tally.opened - before.opened - (f.tally.moved - before.moved)
	report(Figure{Name: "data-centre-out-openings-established", Value: float64(f.tally.established-before.established) / float64(elsewhere), Unit: "share", Goal: "0.99"})
	for _, s := range dc.servers {
		s.makeCold(8 * time.Second)
		s.coldPeakRatio = 0
		s.flows = map[netip.AddrPort]bool{}
	}
	f.operator.setDataCentreOut(dc.name, false)
	f.runFor(15 * time.Second)
	peak := 0.0
	for _, s := range dc.servers {
		peak = max(peak, s.coldPeakRatio)
	}
	report(Figure{Name: "data-centre-return-cold-peak", Value: peak, Unit: "over-what-it-bears", Goal: "<=1.0"})
}

// Edits measures the time until an edit is in force on all instances that can
// receive it, and counts instances whose configuration version decreased.
func Edits(seed uint64, report func(Figure)) {
	cases := []struct {
		name    string
		prepare func(f *fleet)
		// expectsEdit reports whether an instance can receive the edit.
		expectsEdit func(i *instance) bool
	}{
		{"healthy", func(*fleet) {}, everyInstance},
		{"store-down-for-one-reader", func(f *fleet) { f.storeWatchers()[0].storeUnreachable = true }, everyInstance},
		{"one-data-centre-without-store", func(f *fleet) {
			for _, i := range f.dataCentres[2].instances {
				i.balancer.(*entryBalancer).storeUnreachable = true
			}
		}, everyInstance},
		{"one-data-centre-cut-off", func(f *fleet) {
			f.isolate(f.dataCentres[2])
		}, func(i *instance) bool { return i.dataCentre.name != "dc3" }},
	}
	for _, c := range cases {
		f := newFleet(threeDataCentres, entryScheme, seed)
		f.runFor(8 * time.Second)
		c.prepare(f)
		f.runFor(2 * time.Second)
		slowest, regressions := 0.0, 0
		for range 5 {
			highestVersions := map[model.InstanceID]uint64{}
			begin := f.now
			f.operator.toggleDrain(f.dataCentres[0].servers[0])
			for !f.editInForce(c.expectsEdit) && f.now.Sub(begin) < 20*time.Second {
				f.runFor(tickInterval)
				regressions += f.countVersionRegressions(highestVersions)
			}
			slowest = max(slowest, f.now.Sub(begin).Seconds())
			f.runFor(time.Second)
		}
		report(Figure{Name: "edit-in-force-" + c.name, Value: slowest, Unit: "s", Goal: "6"})
		report(Figure{Name: "versions-gone-back-" + c.name, Value: float64(regressions), Unit: "versions", Goal: "0"})
	}
}

func everyInstance(*instance) bool { return true }

// storeWatchers returns the balancers of the first data centre that watch the store.
func (f *fleet) storeWatchers() []*entryBalancer {
	var out []*entryBalancer
	for _, i := range f.dataCentres[0].instances {
		if b := i.balancer.(*entryBalancer); b.core.ShouldWatchStore() {
			out = append(out, b)
		}
	}
	return out
}

// isolate cuts a data centre off from the store and from the other data centres.
func (f *fleet) isolate(isolated *dataCentre) {
	for _, dc := range f.dataCentres {
		for _, i := range dc.instances {
			b := i.balancer.(*entryBalancer)
			if dc == isolated {
				b.storeUnreachable = true
			}
			if b.unreachable == nil {
				b.unreachable = map[model.DataCentre]bool{}
			}
			for _, peer := range f.dataCentres {
				if (peer == isolated) != (dc == isolated) {
					b.unreachable[peer.name] = true
				}
			}
		}
	}
}

// editInForce reports whether the newest edit is in force on all instances for
// which expectsEdit reports true.
func (f *fleet) editInForce(expectsEdit func(*instance) bool) bool {
	for _, i := range f.instancesByID {
		if expectsEdit(i) && i.balancer.(*entryBalancer).core.Configuration().Version < f.operator.version {
			return false
		}
	}
	return true
}

// countVersionRegressions counts the instances whose configuration version is
// lower than in highestVersions, and updates highestVersions.
func (f *fleet) countVersionRegressions(highestVersions map[model.InstanceID]uint64) int {
	regressions := 0
	for id, i := range f.instancesByID {
		v := i.balancer.(*entryBalancer).core.Configuration().Version
		if v < highestVersions[id] {
			regressions++
		}
		highestVersions[id] = v
	}
	return regressions
}
