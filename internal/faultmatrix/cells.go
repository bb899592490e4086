package faultmatrix

import (
	"fmt"
	"maps"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// fault is a fault of the matrix. inject starts it; a temporary fault ends after
// faultDuration.
type fault struct {
	name string
	// unplanned is set for faults in which instances die or are cut off from each
	// other. I1 does not apply to them; broken flows are counted instead.
	unplanned bool
	inject    func(s *sim, target faultTarget)
}

// step is a situation in which faults are injected. start brings the situation
// about and calls inject when it is reached; further calls have no effect.
type step struct {
	name  string
	start func(s *sim, inject func(faultTarget))
}

// silentConnectionDuration is the time after which a sender replaces a connection
// that carries no answers: the timeout of the peer call, 300 ms, and the timeout
// of the dial, 200 ms.
const silentConnectionDuration = 500 * time.Millisecond

// partitionFor blocks traffic between the endpoints that blocked accepts, for the
// duration d.
func (s *sim) partitionFor(d time.Duration, blocked func(from, to string) bool) {
	active := true
	s.partitions = append(s.partitions, func(from, to string) bool { return active && blocked(from, to) })
	s.after(d, func() {
		active = false
		s.tracef("partition healed")
	})
}

// inDataCentre reports whether an endpoint is an instance of the data centre.
func inDataCentre(endpoint string, dc byte) bool { return endpoint != "platform" && endpoint[0] == dc }

func (s *sim) restart(inst *simInstance, after time.Duration) {
	s.after(after, func() { s.startInstance(inst.spec.ID, inst.spec.DataCentre) })
}

// temporary returns the inject function of a fault that ends after faultDuration.
func temporary(start func(s *sim, target faultTarget), end func(s *sim, target faultTarget)) func(*sim, faultTarget) {
	return func(s *sim, target faultTarget) {
		start(s, target)
		s.after(faultDuration, func() { end(s, target) })
	}
}

var faults = []fault{
	{"instance-killed", true, func(s *sim, target faultTarget) { s.kill(s.instances[target.instance]) }},
	{"publisher-killed", true, func(s *sim, _ faultTarget) { s.kill(s.publisher("a")) }},
	{"instance-restarted", true, func(s *sim, target faultTarget) {
		s.kill(s.instances[target.instance])
		s.restart(s.instances[target.instance], 200*time.Millisecond)
	}},
	{"instance-frozen", true, func(s *sim, target faultTarget) { s.freeze(s.instances[target.instance], faultDuration) }},
	{"lease-expires-while-paused", true, func(s *sim, _ faultTarget) { s.freeze(s.publisher("a"), 800*time.Millisecond) }},
	{"instance-leaves", false, func(s *sim, target faultTarget) { s.leave(s.instances[target.instance]) }},
	{"instance-joins", false, func(s *sim, _ faultTarget) { s.startInstance("a9", "a") }},
	{"server-killed", false, func(s *sim, target faultTarget) { s.servers[target.server].kill() }},
	{"server-drains", false, func(s *sim, target faultTarget) { s.operator.submit(s.drainEdit(s.servers[target.server])) }},
	{"server-goes-cold", false, func(s *sim, target faultTarget) {
		s.servers[target.server].goCold(true)
		// The flows are spread over three servers and open at a higher rate than a
		// cold server can take.
		for i := range 120 {
			s.addFlow(time.Duration(i)*25*time.Millisecond, 2*time.Second, "a", "a", "campo")
		}
	}},
	{"server-sheds", false, temporary(func(s *sim, target faultTarget) { s.servers[target.server].shedding = true }, func(s *sim, target faultTarget) { s.servers[target.server].shedding = false })},
	{"servers-report-down", false, temporary(func(s *sim, _ faultTarget) { s.overrideReportedState(pb.BackendStatusResponse_STATE_DOWN) }, func(s *sim, _ faultTarget) { s.overrideReportedState(0) })},
	{"dead-server-reports-ready", false, func(s *sim, target faultTarget) {
		s.servers[target.server].kill()
		s.servers[target.server].reportedState = pb.BackendStatusResponse_STATE_READY
	}},
	{"store-down", false, temporary(func(s *sim, _ faultTarget) { s.store.down = true }, func(s *sim, _ faultTarget) { s.store.down = false })},
	{"store-slow", false, temporary(func(s *sim, _ faultTarget) { s.store.extraDelay = 700 * time.Millisecond }, func(s *sim, _ faultTarget) { s.store.extraDelay = 0 })},
	{"store-stale", false, temporary(func(s *sim, _ faultTarget) { s.store.setStale(true) }, func(s *sim, _ faultTarget) { s.store.setStale(false) })},
	{"store-answer-lost", false, func(s *sim, _ faultTarget) {
		s.store.answersToLose = 1
		s.operator.submit(s.drainEdit(s.servers[serverAddr("ordenes", "a", 2)]))
	}},
	{"store-restored", false, func(s *sim, _ faultTarget) {
		backup := maps.Clone(s.store.objects)
		s.operator.submit(s.drainEdit(s.servers[serverAddr("ordenes", "a", 2)]))
		s.after(3*time.Second, func() {
			s.store.restore(backup)
			s.operator.submit(s.drainEdit(s.servers[serverAddr("campo", "b", 2)]))
		})
	}},
	{"two-operators", false, func(s *sim, _ faultTarget) {
		s.operator.submit(s.drainEdit(s.servers[serverAddr("campo", "a", 2)]))
		s.operator.submit(s.drainEdit(s.servers[serverAddr("campo", "b", 2)]))
	}},
	{"centre-cut-from-centres", false, func(s *sim, _ faultTarget) {
		s.partitionFor(faultDuration, func(from, to string) bool {
			return inDataCentre(from, 'a') && !inDataCentre(to, 'a') && to != "platform"
		})
	}},
	{"centre-cut-from-platform", false, func(s *sim, _ faultTarget) {
		s.partitionFor(faultDuration, func(from, to string) bool { return inDataCentre(from, 'a') && to == "platform" })
	}},
	{"centre-cut-off", false, func(s *sim, _ faultTarget) {
		s.observer.isolatedUntil["a"] = s.now.Add(faultDuration)
		s.partitionFor(faultDuration, func(from, to string) bool { return inDataCentre(from, 'a') && !inDataCentre(to, 'a') })
	}},
	{"partition-in-centre", true, func(s *sim, _ faultTarget) {
		s.partitionFor(faultDuration, func(from, to string) bool { return (from == "a1" || from == "a2") && (to == "a3" || to == "a4") })
	}},
	{"peer-connection-silent", false, func(s *sim, target faultTarget) {
		s.partitionFor(silentConnectionDuration, func(from, to string) bool {
			return from == string(target.instance) && inDataCentre(to, 'a') && to != string(target.instance)
		})
	}},
	{"instance-isolated-in-centre", true, func(s *sim, target faultTarget) {
		s.partitionFor(faultDuration, func(from, to string) bool {
			return from == string(target.instance) && inDataCentre(to, 'a') && to != string(target.instance)
		})
	}},
	{"server-path-silent", false, func(s *sim, target faultTarget) {
		s.silentPaths[pathKey(target.instance, target.server, target.path)] = true
	}},
	{"answers-late-and-crossed", false, temporary(func(s *sim, _ faultTarget) { s.replyDelay = 900 * time.Millisecond }, func(s *sim, _ faultTarget) { s.replyDelay = 0 })},
	{"answers-duplicated", false, temporary(func(s *sim, _ faultTarget) { s.replyDuplicateProbability = 0.5 }, func(s *sim, _ faultTarget) { s.replyDuplicateProbability = 0 })},
	{"centre-out-and-back", false, func(s *sim, _ faultTarget) {
		out := s.dataCentreOutEdit(true)
		s.operator.submit(out)
		s.after(6*time.Second, func() {
			out.superseded = true
			delete(s.observer.outSince, "a")
			s.operator.submit(s.dataCentreOutEdit(false))
		})
	}},
}

// overrideReportedState sets the state that the health endpoints of campo's
// servers in data centre a report; 0 makes them report the real state.
func (s *sim) overrideReportedState(state pb.BackendStatusResponse_State) {
	for _, srv := range s.servers {
		if srv.dc == "a" && srv.service == "campo" {
			srv.reportedState = state
		}
	}
}

// onOutput injects the faults when an instance of data centre a returns an output
// that match accepts.
func onOutput(s *sim, inject func(faultTarget), match func(inst *simInstance, out any) (faultTarget, bool)) {
	s.outputHooks = append(s.outputHooks, func(inst *simInstance, out any) {
		if inst.spec.DataCentre == "a" {
			if target, ok := match(inst, out); ok {
				inject(target)
			}
		}
	})
}

// onPacketToServer injects the faults when an instance of data centre a sends a
// packet of a kind to a server.
func onPacketToServer(s *sim, inject func(faultTarget), kind pb.Kind) {
	onOutput(s, inject, func(inst *simInstance, out any) (faultTarget, bool) {
		o, ok := out.(ToServer)
		if !ok || o.P.GetKind() != kind {
			return faultTarget{}, false
		}
		return faultTarget{inst.spec.ID, o.To, o.Path}, true
	})
}

// onPeerMessage injects the faults when an instance of data centre a sends a
// control message that match accepts.
func onPeerMessage(s *sim, inject func(faultTarget), match func(*pb.PeerMessage) bool) {
	onOutput(s, inject, func(inst *simInstance, out any) (faultTarget, bool) {
		if o, ok := out.(ToPeer); ok {
			for _, m := range o.B.GetMessages() {
				if match(m) {
					return faultTarget{instance: inst.spec.ID}, true
				}
			}
		}
		return faultTarget{}, false
	})
}

// openRampFlows opens 40 flows per second at the four servers of campo in data
// centre a. One of them has just been added and can take 10 openings per second.
func (s *sim) openRampFlows() {
	for i := range 120 {
		s.addFlow(time.Duration(i)*25*time.Millisecond, 4*time.Second, "a", "a", "campo")
	}
}

// leaveRandomInstance starts the planned stop of a random instance of data
// centre a.
func leaveRandomInstance(s *sim) model.InstanceID {
	inst := s.randomInstance("a")
	s.leave(inst)
	return inst.spec.ID
}

var steps = []step{
	{"flow-opening", func(s *sim, inject func(faultTarget)) { onPacketToServer(s, inject, pb.Kind_KIND_OPEN) }},
	{"established-flow", func(s *sim, inject func(faultTarget)) { onPacketToServer(s, inject, pb.Kind_KIND_DATA) }},
	{"request-sent", func(s *sim, inject func(faultTarget)) { onPacketToServer(s, inject, pb.Kind_KIND_REQUEST) }},
	{"answer-under-way", func(s *sim, inject func(faultTarget)) {
		s.onServerPacket = func(inst *simInstance, srv *fakeServer, p *pb.Packet) {
			if p.GetKind() == pb.Kind_KIND_ANSWER && inst.spec.DataCentre == "a" {
				inject(faultTarget{instance: inst.spec.ID, server: srv.addr})
			}
		}
	}},
	{"admitter-handover", func(s *sim, inject func(faultTarget)) {
		s.operator.submit(s.drainEdit(s.servers[serverAddr("campo", "a", 1)]))
		reached := false
		onPeerMessage(s, func(target faultTarget) { reached = true; inject(target) }, func(m *pb.PeerMessage) bool { return len(m.GetAdmitterHandover().GetServers()) > 0 })
		// An instance that leaves hands over the servers of which it is the admitter
		// (package admission). If it is the admitter of none, another one leaves.
		for _, d := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			s.after(d, func() {
				if !reached {
					leaveRandomInstance(s)
				}
			})
		}
	}},
	{"view-change", func(s *sim, inject func(faultTarget)) {
		s.operator.submit(s.drainEdit(s.servers[serverAddr("campo", "a", 1)]))
		s.after(500*time.Millisecond, func() { s.startInstance("a8", "a") })
		onPeerMessage(s, inject, func(m *pb.PeerMessage) bool { return m.GetStateUpdate() != nil })
	}},
	{"ramp", func(s *sim, inject func(faultTarget)) {
		add := s.addServerEdit("campo", 4)
		add.onAccepted = s.openRampFlows
		s.operator.submit(add)
		added := serverAddr("campo", "a", 4)
		onOutput(s, inject, func(inst *simInstance, out any) (faultTarget, bool) {
			o, ok := out.(ToServer)
			return faultTarget{inst.spec.ID, added, o.Path}, ok && o.To == added
		})
	}},
	{"edit-being-made", func(s *sim, inject func(faultTarget)) {
		s.operator.submit(s.revokeServiceEdit())
		s.outputHooks = append(s.outputHooks, func(inst *simInstance, out any) {
			if o, ok := out.(StoreCall); ok && o.Put {
				inject(faultTarget{instance: inst.spec.ID})
			}
		})
	}},
	{"edit-spreading", func(s *sim, inject func(faultTarget)) {
		e := s.moveServerEdit()
		e.onAccepted = func() { inject(faultTarget{}) }
		s.operator.submit(e)
	}},
	{"planned-stop", func(s *sim, inject func(faultTarget)) {
		id := leaveRandomInstance(s)
		s.after(s.jitter(10*time.Millisecond, 500*time.Millisecond), func() { inject(faultTarget{instance: id}) })
	}},
	{"start-up", func(s *sim, inject func(faultTarget)) {
		s.startInstance("a8", "a")
		s.after(s.jitter(10*time.Millisecond, 500*time.Millisecond), func() { inject(faultTarget{instance: "a8"}) })
	}},
}

func (s *sim) notifyServerPacket(inst *simInstance, srv *fakeServer, p *pb.Packet) {
	if s.onServerPacket != nil {
		s.onServerPacket(inst, srv, p)
	}
}

// Cell is a cell of the matrix: a step and the faults that are injected at it, both
// by name.
type Cell struct {
	Step   string
	Faults []string
}

func (c Cell) String() string { return fmt.Sprintf("%s x %v", c.Step, c.Faults) }

// Result is the outcome of a cell.
type Result struct {
	Cell       Cell
	Seed       uint64
	Violations []Violation
	Trace      []string
	// StepReached is false if the step's situation did not occur within 3 s, after
	// which the faults were injected regardless.
	StepReached bool
	// BrokenFlows is the number of broken flows in a cell to which I1 does not
	// apply.
	BrokenFlows int
	// LastBrokenFlow describes the last of them in free text.
	LastBrokenFlow string
	// OpenedFlows is the number of flows that a server accepted.
	OpenedFlows int
	// Requests and AnsweredRequests count the requests of the whole run.
	Requests, AnsweredRequests int
}

// Run runs one cell.
func Run(cell Cell, seed uint64, factory Factory) Result {
	return RunTracingCaller(cell, seed, factory, "")
}

// RunTracingCaller runs one cell and adds the packets of one caller (ip:port) to
// the trace. If caller is empty, no packets are added.
func RunTracingCaller(cell Cell, seed uint64, factory Factory, caller string) Result {
	s := newSim(seed, factory)
	s.tracedCaller = caller
	s.setUp()
	s.runUntil(warmUpDuration)
	s.observer.checkWarmUp()
	var cellFaults []fault
	for _, name := range cell.Faults {
		f := findFault(name)
		s.observer.unplannedFault = s.observer.unplannedFault || f.unplanned
		cellFaults = append(cellFaults, f)
	}
	reached, injected := true, false
	injectAll := func(target faultTarget) {
		if injected {
			return
		}
		injected = true
		// The faults are injected after the event that triggered them is handled.
		for i, cellFault := range cellFaults {
			delay := time.Duration(0)
			if i > 0 {
				delay = s.jitter(0, time.Second)
			}
			s.after(delay, func() {
				completed := s.completeTarget(target)
				s.tracef("injecting fault %s at instance %s, server %s", cellFault.name, completed.instance, completed.server)
				cellFault.inject(s, completed)
			})
		}
	}
	s.tracef("step %s", cell.Step)
	findStep(cell.Step).start(s, injectAll)
	s.after(3*time.Second, func() {
		if !injected {
			reached = false
			injectAll(faultTarget{})
		}
	})
	s.runUntil(runDuration)
	s.observer.checkEnd()
	s.endTraffic()
	s.runUntil(runDuration + releaseLimit)
	s.observer.checkNothingInUse()
	r := Result{Cell: cell, Seed: seed, Violations: s.observer.violations, Trace: s.trace, StepReached: reached, BrokenFlows: s.observer.brokenFlows, LastBrokenFlow: s.observer.lastBrokenFlow}
	for _, f := range s.flows {
		if f.server != nil {
			r.OpenedFlows++
		}
		for _, m := range f.issued {
			r.Requests++
			if m.outcome == "answered" {
				r.AnsweredRequests++
			}
		}
	}
	return r
}

// endTraffic stops all callers. Half of them close their flows, the others vanish.
func (s *sim) endTraffic() {
	for i, key := range s.flowKeys {
		f := s.flows[key]
		if i%2 == 0 {
			f.closeTime = s.now
		} else {
			f.vanished = true
		}
	}
}

func findFault(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("unknown fault " + name)
}

func findStep(name string) step {
	for _, s := range steps {
		if s.name == name {
			return s
		}
	}
	panic("unknown step " + name)
}

// Cells returns a cell for each fault at each step, followed by cells with random
// pairs of faults at random steps, generated from the seed.
func Cells(seed uint64, pairs int) []Cell {
	var out []Cell
	for _, st := range steps {
		for _, f := range faults {
			out = append(out, Cell{st.name, []string{f.name}})
		}
	}
	rng := newRand(seed)
	for range pairs {
		a, b := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
		out = append(out, Cell{steps[rng.IntN(len(steps))].name, []string{a.name, b.name}})
	}
	return out
}
