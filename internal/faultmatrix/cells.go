package faultmatrix

import (
	"fmt"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// fault is one fault. inject starts it; faults that last end after faultTime.
type fault struct {
	name string
	// unplanned is set when instances die or lose contact, in which case I1
	// promises nothing and broken flows are counted instead.
	unplanned bool
	inject    func(s *sim, target faultTarget)
}

// step is a situation in which a fault strikes. arm starts the situation and
// calls fire once, when it is reached.
type step struct {
	name  string
	start func(s *sim, inject func(faultTarget))
}

// silentConnection is the time after which a sender gives up a silent
// connection and dials again: the peer call's timeout of 300 ms and the dial's
// of 200 ms.
const silentConnectionDuration = 500 * time.Millisecond

func (s *sim) partitionFor(d time.Duration, blocked func(from, to string) bool) {
	active := true
	s.partitions = append(s.partitions, func(from, to string) bool { return active && blocked(from, to) })
	s.after(d, func() {
		active = false
		s.tracef("contact restored")
	})
}

func inDataCentre(endpoint string, dc byte) bool { return endpoint != "platform" && endpoint[0] == dc }

func (s *sim) restart(inst *simInstance, after time.Duration) {
	s.after(after, func() { s.startInstance(inst.spec.ID, inst.spec.DataCentre) })
}

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
		// More openings than a cold server bears, over the three servers.
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

func (s *sim) overrideReportedState(state pb.BackendStatusResponse_State) {
	for _, srv := range s.servers {
		if srv.dc == "a" && srv.service == "campo" {
			srv.reportedState = state
		}
	}
}

// onOutput fires when an instance of data centre a does what match accepts.
func onOutput(s *sim, inject func(faultTarget), match func(inst *simInstance, out any) (faultTarget, bool)) {
	s.outputHooks = append(s.outputHooks, func(inst *simInstance, out any) {
		if inst.spec.DataCentre == "a" {
			if target, ok := match(inst, out); ok {
				inject(target)
			}
		}
	})
}

func onPacketToServer(s *sim, inject func(faultTarget), kind pb.Kind) {
	onOutput(s, inject, func(inst *simInstance, out any) (faultTarget, bool) {
		o, ok := out.(ToServer)
		if !ok || o.P.GetKind() != kind {
			return faultTarget{}, false
		}
		return faultTarget{inst.spec.ID, o.To, o.Path}, true
	})
}

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

// rampOpenings opens 40 flows per second at the four servers of campo, one of
// which was just added and bears 10.
func (s *sim) openRampFlows() {
	for i := range 120 {
		s.addFlow(time.Duration(i)*25*time.Millisecond, 4*time.Second, "a", "a", "campo")
	}
}

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
		// An instance may admit to no server.
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

// hookServerAnswer is called when a server's packet reaches an instance.
func (s *sim) notifyServerPacket(inst *simInstance, srv *fakeServer, p *pb.Packet) {
	if s.onServerPacket != nil {
		s.onServerPacket(inst, srv, p)
	}
}

// Cell is a step with the faults that strike at it.
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
	// Reached is false when the step's situation did not occur within 3 s and
	// the faults struck then.
	StepReached bool
	// Broken counts broken flows of cells in which I1 promises nothing.
	BrokenFlows int
	// BrokenFlow describes the last of them.
	LastBrokenFlow string
	OpenedFlows    int
	// Requests and Answered count the requests of the whole run.
	Requests, AnsweredRequests int
}

// Run runs one cell.
func Run(cell Cell, seed uint64, factory Factory) Result {
	return RunTracingCaller(cell, seed, factory, "")
}

// RunWatching runs one cell and adds the packets of one caller (ip:port) to
// the trace.
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
		// The faults strike after the event that triggered them is handled.
		for i, cellFault := range cellFaults {
			delay := time.Duration(0)
			if i > 0 {
				delay = s.jitter(0, time.Second)
			}
			s.after(delay, func() {
				completed := s.completeTarget(target)
				s.tracef("fault %s at %s, %s", cellFault.name, completed.instance, completed.server)
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

func findFault(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

func findStep(name string) step {
	for _, s := range steps {
		if s.name == name {
			return s
		}
	}
	panic("no step " + name)
}

// Cells returns each fault at each step alone, and pairs generated from the
// seed.
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
