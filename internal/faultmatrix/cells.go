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
	inject    func(s *sim, f focus)
}

// step is a situation in which a fault strikes. arm starts the situation and
// calls fire once, when it is reached.
type step struct {
	name string
	arm  func(s *sim, fire func(focus))
}

// silentConnection is the time after which a sender gives up a silent
// connection and dials again: the peer call's timeout of 300 ms and the dial's
// of 200 ms.
const silentConnection = 500 * time.Millisecond

func (s *sim) cutFor(d time.Duration, blocked func(from, to string) bool) {
	on := true
	s.cuts = append(s.cuts, func(from, to string) bool { return on && blocked(from, to) })
	s.after(d, func() {
		on = false
		s.log("contact restored")
	})
}

func isCentre(place string, dc byte) bool { return place != "platform" && place[0] == dc }

func (s *sim) restart(n *node, after time.Duration) {
	s.after(after, func() { s.startNode(n.spec.ID, n.spec.DataCentre) })
}

func lasting(set func(s *sim, f focus), reset func(s *sim, f focus)) func(*sim, focus) {
	return func(s *sim, f focus) {
		set(s, f)
		s.after(faultTime, func() { reset(s, f) })
	}
}

var faults = []fault{
	{"instance-killed", true, func(s *sim, f focus) { s.kill(s.nodes[f.node]) }},
	{"publisher-killed", true, func(s *sim, _ focus) { s.kill(s.publisher("a")) }},
	{"instance-restarted", true, func(s *sim, f focus) {
		s.kill(s.nodes[f.node])
		s.restart(s.nodes[f.node], 200*time.Millisecond)
	}},
	{"instance-frozen", true, func(s *sim, f focus) { s.freeze(s.nodes[f.node], faultTime) }},
	{"lease-expires-while-paused", true, func(s *sim, _ focus) { s.freeze(s.publisher("a"), 800*time.Millisecond) }},
	{"instance-leaves", false, func(s *sim, f focus) { s.leave(s.nodes[f.node]) }},
	{"instance-joins", false, func(s *sim, _ focus) { s.startNode("a9", "a") }},
	{"server-killed", false, func(s *sim, f focus) { s.servers[f.server].kill() }},
	{"server-drains", false, func(s *sim, f focus) { s.op.submit(s.drainEdit(s.servers[f.server])) }},
	{"server-goes-cold", false, func(s *sim, f focus) {
		s.servers[f.server].goCold(true)
		// More openings than a cold server bears, over the three servers.
		for i := range 120 {
			s.addFlow(time.Duration(i)*25*time.Millisecond, 2*time.Second, "a", "a", "campo")
		}
	}},
	{"server-sheds", false, lasting(func(s *sim, f focus) { s.servers[f.server].shed = true }, func(s *sim, f focus) { s.servers[f.server].shed = false })},
	{"servers-report-down", false, lasting(func(s *sim, _ focus) { s.lie(pb.BackendStatusResponse_STATE_DOWN) }, func(s *sim, _ focus) { s.lie(0) })},
	{"dead-server-reports-ready", false, func(s *sim, f focus) {
		s.servers[f.server].kill()
		s.servers[f.server].lie = pb.BackendStatusResponse_STATE_READY
	}},
	{"store-down", false, lasting(func(s *sim, _ focus) { s.store.down = true }, func(s *sim, _ focus) { s.store.down = false })},
	{"store-slow", false, lasting(func(s *sim, _ focus) { s.store.slow = 700 * time.Millisecond }, func(s *sim, _ focus) { s.store.slow = 0 })},
	{"store-stale", false, lasting(func(s *sim, _ focus) { s.store.setStale(true) }, func(s *sim, _ focus) { s.store.setStale(false) })},
	{"store-answer-lost", false, func(s *sim, _ focus) {
		s.store.loseNext = 1
		s.op.submit(s.drainEdit(s.servers[serverAddr("ordenes", "a", 2)]))
	}},
	{"two-operators", false, func(s *sim, _ focus) {
		s.op.submit(s.drainEdit(s.servers[serverAddr("campo", "a", 2)]))
		s.op.submit(s.drainEdit(s.servers[serverAddr("campo", "b", 2)]))
	}},
	{"centre-cut-from-centres", false, func(s *sim, _ focus) {
		s.cutFor(faultTime, func(from, to string) bool {
			return isCentre(from, 'a') && !isCentre(to, 'a') && to != "platform"
		})
	}},
	{"centre-cut-from-platform", false, func(s *sim, _ focus) {
		s.cutFor(faultTime, func(from, to string) bool { return isCentre(from, 'a') && to == "platform" })
	}},
	{"centre-cut-off", false, func(s *sim, _ focus) {
		s.obs.isolated["a"] = s.now.Add(faultTime)
		s.cutFor(faultTime, func(from, to string) bool { return isCentre(from, 'a') && !isCentre(to, 'a') })
	}},
	{"partition-in-centre", true, func(s *sim, _ focus) {
		s.cutFor(faultTime, func(from, to string) bool { return (from == "a1" || from == "a2") && (to == "a3" || to == "a4") })
	}},
	{"peer-connection-silent", false, func(s *sim, f focus) {
		s.cutFor(silentConnection, func(from, to string) bool {
			return from == string(f.node) && isCentre(to, 'a') && to != string(f.node)
		})
	}},
	{"instance-isolated-in-centre", true, func(s *sim, f focus) {
		s.cutFor(faultTime, func(from, to string) bool {
			return from == string(f.node) && isCentre(to, 'a') && to != string(f.node)
		})
	}},
	{"server-path-silent", false, func(s *sim, f focus) { s.silentPaths[pathKey(f.node, f.server, f.path)] = true }},
	{"answers-late-and-crossed", false, lasting(func(s *sim, _ focus) { s.answerDelay = 900 * time.Millisecond }, func(s *sim, _ focus) { s.answerDelay = 0 })},
	{"answers-duplicated", false, lasting(func(s *sim, _ focus) { s.answerDuplicate = 0.5 }, func(s *sim, _ focus) { s.answerDuplicate = 0 })},
	{"centre-out-and-back", false, func(s *sim, _ focus) {
		out := s.outEdit(true)
		s.op.submit(out)
		s.after(6*time.Second, func() {
			out.superseded = true
			delete(s.obs.out, "a")
			s.op.submit(s.outEdit(false))
		})
	}},
}

func (s *sim) lie(state pb.BackendStatusResponse_State) {
	for _, f := range s.servers {
		if f.dc == "a" && f.service == "campo" {
			f.lie = state
		}
	}
}

// onOutput fires when an instance of data centre a does what match accepts.
func onOutput(s *sim, fire func(focus), match func(n *node, out any) (focus, bool)) {
	s.hooks = append(s.hooks, func(n *node, out any) {
		if n.spec.DataCentre == "a" {
			if f, ok := match(n, out); ok {
				fire(f)
			}
		}
	})
}

func onPacket(s *sim, fire func(focus), kind pb.Kind) {
	onOutput(s, fire, func(n *node, out any) (focus, bool) {
		o, ok := out.(ToServer)
		if !ok || o.P.GetKind() != kind {
			return focus{}, false
		}
		return focus{n.spec.ID, o.To, o.Path}, true
	})
}

func onPeer(s *sim, fire func(focus), match func(*pb.PeerMessage) bool) {
	onOutput(s, fire, func(n *node, out any) (focus, bool) {
		if o, ok := out.(ToPeer); ok {
			for _, m := range o.B.GetMessages() {
				if match(m) {
					return focus{node: n.spec.ID}, true
				}
			}
		}
		return focus{}, false
	})
}

// rampOpenings opens 40 flows per second at the four servers of campo, one of
// which was just added and bears 10.
func (s *sim) rampOpenings() {
	for i := range 120 {
		s.addFlow(time.Duration(i)*25*time.Millisecond, 4*time.Second, "a", "a", "campo")
	}
}

func leaveOne(s *sim) model.InstanceID {
	n := s.pick("a")
	s.leave(n)
	return n.spec.ID
}

var steps = []step{
	{"flow-opening", func(s *sim, fire func(focus)) { onPacket(s, fire, pb.Kind_KIND_OPEN) }},
	{"established-flow", func(s *sim, fire func(focus)) { onPacket(s, fire, pb.Kind_KIND_DATA) }},
	{"request-sent", func(s *sim, fire func(focus)) { onPacket(s, fire, pb.Kind_KIND_REQUEST) }},
	{"answer-under-way", func(s *sim, fire func(focus)) {
		s.onAnswer = func(n *node, f *fakeServer, p *pb.Packet) {
			if p.GetKind() == pb.Kind_KIND_ANSWER && n.spec.DataCentre == "a" {
				fire(focus{node: n.spec.ID, server: f.addr})
			}
		}
	}},
	{"admitter-handover", func(s *sim, fire func(focus)) {
		s.op.submit(s.drainEdit(s.servers[serverAddr("campo", "a", 1)]))
		reached := false
		onPeer(s, func(f focus) { reached = true; fire(f) }, func(m *pb.PeerMessage) bool { return len(m.GetAdmitterHandover().GetServers()) > 0 })
		// An instance may admit to no server.
		for _, d := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			s.after(d, func() {
				if !reached {
					leaveOne(s)
				}
			})
		}
	}},
	{"view-change", func(s *sim, fire func(focus)) {
		s.op.submit(s.drainEdit(s.servers[serverAddr("campo", "a", 1)]))
		s.after(500*time.Millisecond, func() { s.startNode("a8", "a") })
		onPeer(s, fire, func(m *pb.PeerMessage) bool { return m.GetStateUpdate() != nil })
	}},
	{"ramp", func(s *sim, fire func(focus)) {
		add := s.addServerEdit("campo", 4)
		add.then = s.rampOpenings
		s.op.submit(add)
		added := serverAddr("campo", "a", 4)
		onOutput(s, fire, func(n *node, out any) (focus, bool) {
			o, ok := out.(ToServer)
			return focus{n.spec.ID, added, o.Path}, ok && o.To == added
		})
	}},
	{"edit-being-made", func(s *sim, fire func(focus)) {
		s.op.submit(s.planEdit())
		s.hooks = append(s.hooks, func(n *node, out any) {
			if o, ok := out.(StoreCall); ok && o.Put {
				fire(focus{node: n.spec.ID})
			}
		})
	}},
	{"edit-spreading", func(s *sim, fire func(focus)) {
		e := s.moveEdit()
		e.then = func() { fire(focus{}) }
		s.op.submit(e)
	}},
	{"planned-stop", func(s *sim, fire func(focus)) {
		id := leaveOne(s)
		s.after(s.jitter(10*time.Millisecond, 500*time.Millisecond), func() { fire(focus{node: id}) })
	}},
	{"start-up", func(s *sim, fire func(focus)) {
		s.startNode("a8", "a")
		s.after(s.jitter(10*time.Millisecond, 500*time.Millisecond), func() { fire(focus{node: "a8"}) })
	}},
}

// hookServerAnswer is called when a server's packet reaches an instance.
func (s *sim) hookServerAnswer(n *node, f *fakeServer, p *pb.Packet) {
	if s.onAnswer != nil {
		s.onAnswer(n, f, p)
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
	Reached bool
	// Broken counts broken flows of cells in which I1 promises nothing.
	Broken int
	// BrokenFlow describes the last of them.
	BrokenFlow string
	Flows      int
	// Requests and Answered count the requests of the whole run.
	Requests, Answered int
}

// Run runs one cell.
func Run(cell Cell, seed uint64, factory Factory) Result {
	return RunWatching(cell, seed, factory, "")
}

// RunWatching runs one cell and adds the packets of one caller (ip:port) to
// the trace.
func RunWatching(cell Cell, seed uint64, factory Factory, caller string) Result {
	s := newSim(seed, factory)
	s.watched = caller
	s.build()
	s.runUntil(warmUp)
	s.obs.ready()
	var struck []fault
	for _, name := range cell.Faults {
		f := faultNamed(name)
		s.obs.lenient = s.obs.lenient || f.unplanned
		struck = append(struck, f)
	}
	reached, fired := true, false
	fire := func(f focus) {
		if fired {
			return
		}
		fired = true
		// The faults strike after the event that triggered them is handled.
		for i, x := range struck {
			delay := time.Duration(0)
			if i > 0 {
				delay = s.jitter(0, time.Second)
			}
			s.after(delay, func() {
				at := s.randomFocus(f)
				s.log("fault %s at %s, %s", x.name, at.node, at.server)
				x.inject(s, at)
			})
		}
	}
	s.log("step %s", cell.Step)
	stepNamed(cell.Step).arm(s, fire)
	s.after(3*time.Second, func() {
		if !fired {
			reached = false
			fire(focus{})
		}
	})
	s.runUntil(runTime)
	s.obs.finish()
	r := Result{Cell: cell, Seed: seed, Violations: s.obs.violations, Trace: s.trace, Reached: reached, Broken: s.obs.broken, BrokenFlow: s.obs.lastBroken}
	for _, f := range s.flows {
		if f.server != nil {
			r.Flows++
		}
		for _, m := range f.issued {
			r.Requests++
			if m.outcome == "answered" {
				r.Answered++
			}
		}
	}
	return r
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

func stepNamed(name string) step {
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
