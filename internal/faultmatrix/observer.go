package faultmatrix

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

const (
	leaveLimit  = 3 * time.Second
	configLimit = 6 * time.Second
	// suddenGrace is the time after a server went cold without warning in
	// which its load may exceed what it bears: nobody can know before its
	// first cold answer and the next heartbeats.
	suddenGrace = 500 * time.Millisecond
	// openingWindow is a second less what the delay between instance and
	// server varies (0.3 ms), so that evenly spaced openings at the limit are
	// not reported.
	openingWindow = time.Second - time.Millisecond
	// quiet is the fault-free time at the end of a run in which every flow
	// must get an echo.
	quiet = 3 * time.Second
	// progress marks findings that breach no invariant and show that the run
	// carried too little traffic to check any.
	progress = "progress"
	minFlows = 20
	// minAnswered is the least number of 10 requests that are answered in the
	// quiet time at the end.
	minAnswered = 5
)

// Violation is a breach of an invariant.
type Violation struct {
	Invariant string
	At        time.Duration
	Text      string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Text)
}

// observer checks the invariants from what callers and servers see.
type observer struct {
	s          *sim
	violations []Violation
	// lenient counts broken flows instead of reporting them; I1 speaks of
	// planned changes only.
	lenient bool
	broken  int
	// lastBroken describes the last flow counted in broken.
	lastBroken string

	promises map[reqKey]string
	runs     map[reqKey]int
	versions map[model.InstanceID]heldVersion
	edits    []*edit
	out      map[model.DataCentre]time.Time
	wasOut   map[model.DataCentre]bool
	draining map[string]time.Time
	// moved lists servers that left a service; lastService is the service of
	// the last packet that such a server received.
	moved       map[string]bool
	lastService map[string]string
	// barred lists the services taken from a plan, by caller prefix.
	barred   map[string]time.Time
	isolated map[model.DataCentre]time.Time
}

type heldVersion struct {
	incarnation, version uint64
}

func newObserver(s *sim) *observer {
	return &observer{s: s, promises: map[reqKey]string{}, runs: map[reqKey]int{}, versions: map[model.InstanceID]heldVersion{},
		out: map[model.DataCentre]time.Time{}, wasOut: map[model.DataCentre]bool{}, draining: map[string]time.Time{},
		moved: map[string]bool{}, lastService: map[string]string{}, barred: map[string]time.Time{}, isolated: map[model.DataCentre]time.Time{}}
}

func (o *observer) report(invariant, format string, args ...any) {
	v := Violation{invariant, o.s.now.Sub(o.s.start), fmt.Sprintf(format, args...)}
	o.violations = append(o.violations, v)
	o.s.log("VIOLATION %s", v)
}

// past reports whether t is set and longer ago than limit.
func (o *observer) past(t time.Time, limit time.Duration) bool {
	return !t.IsZero() && o.s.now.Sub(t) > limit
}

// unreachable reports whether the data centre is, or was within limit, cut
// off from everything, so that it cannot know of an edit.
func (o *observer) unreachable(dc model.DataCentre, limit time.Duration) bool {
	until, ok := o.isolated[dc]
	return ok && o.s.now.Before(until.Add(limit))
}

func (o *observer) serverReceived(n *node, f *fakeServer, p *pb.Packet) {
	flow := o.s.flows[wire.FlowOf(p)]
	if flow == nil {
		o.report("I2", "server %s got a packet of an unknown flow", f.name)
		return
	}
	if !o.moved[f.name] && flow.service != f.service {
		o.report("I2", "server %s of %s got a %v for %s from %s", f.name, f.service, p.GetKind(), flow.service, n.spec.ID)
	}
	if last := o.lastService[f.name]; last != flow.service {
		if o.moved[f.name] && flow.service == f.service && last != "" {
			o.report("I2", "server %s got a packet for %s after packets for %s", f.name, flow.service, last)
		}
		o.lastService[f.name] = flow.service
	}
	if since := o.barred[flow.barKey()]; o.past(since, configLimit) && !o.unreachable(n.spec.DataCentre, configLimit) {
		o.report("I2", "server %s got a %v of a caller whose plan lost %s", f.name, p.GetKind(), flow.service)
	}
	if o.past(o.out[f.dc], leaveLimit) && !o.unreachable(n.spec.DataCentre, leaveLimit) {
		o.report("I4", "server %s got a %v from %s although its data centre is out", f.name, p.GetKind(), n.spec.ID)
	}
}

func (f *fakeFlow) barKey() string {
	return fmt.Sprintf("%s %s", f.prefix(), f.service)
}

func (o *observer) opened(n *node, f *fakeServer, flow wire.Flow) {
	if o.past(o.draining[f.name], leaveLimit) && !o.unreachable(n.spec.DataCentre, leaveLimit) {
		o.report("I8", "server %s got a new flow from %s while it leaves", f.name, n.spec.ID)
	}
	if !f.cold {
		return
	}
	f.arrivals = append(f.arrivals, o.s.now)
	for o.s.now.Sub(f.arrivals[0]) >= openingWindow {
		f.arrivals = f.arrivals[1:]
	}
	if len(f.arrivals) > coldOpenings && !f.inGrace() {
		o.report("I3", "cold server %s got %d openings in one second and bears %d", f.name, len(f.arrivals), coldOpenings)
	}
}

func (f *fakeServer) inGrace() bool {
	return f.suddenly && f.s.now.Sub(f.coldSince) <= suddenGrace
}

func (o *observer) ran(f *fakeServer, p *pb.Packet) {
	key := reqKey{wire.FlowOf(p), p.GetRequestId()}
	o.runs[key]++
	if !p.GetIdempotent() && o.runs[key] > 1 {
		o.report("I7", "non-idempotent request %x ran %d times, last at %s", key.id, o.runs[key], f.name)
	}
	if reason, ok := o.promises[key]; ok {
		o.report("I6", "request %x ran at %s after a refusal (%s) that said it did not", key.id, f.name, reason)
	}
	if f.cold && f.busy > coldSlots && !f.inGrace() {
		o.report("I3", "cold server %s runs %d requests and bears %d", f.name, f.busy, coldSlots)
	}
}

func (o *observer) promised(n *node, flow wire.Flow, p *pb.Packet) {
	key := reqKey{flow, p.GetRequestId()}
	o.promises[key] = fmt.Sprintf("%v of copy %d by %s", p.GetReason(), p.GetCallerAttempt(), n.spec.ID)
	if o.runs[key] > 0 {
		o.report("I6", "request %x ran and was refused (%s) as not run", key.id, o.promises[key])
	}
}

// exempt reports whether the flow may end: its server died or changed service,
// its data centre was taken out, or its plan lost the service.
func (o *observer) exempt(f *fakeFlow) bool {
	return f.server == nil || !f.server.diedAt.IsZero() || o.moved[f.server.name] || o.wasOut[f.site] || !o.barred[f.barKey()].IsZero()
}

func (o *observer) brokenFlow(f *fakeFlow, cause string) {
	o.s.log("flow %v broken: %s", f.key, cause)
	switch {
	case o.exempt(f):
	case o.lenient:
		o.broken++
		o.lastBroken = fmt.Sprintf("%v at %.3f s: %s", f.key, o.s.now.Sub(o.s.start).Seconds(), cause)
	default:
		o.report("I1", "flow %v: %s", f.key, cause)
	}
}

func (o *observer) version(n *node) {
	v, held := n.core.Version(), o.versions[n.spec.ID]
	if held.incarnation == n.spec.Incarnation && v < held.version {
		o.report("I10", "%s went from version %d back to %d", n.spec.ID, held.version, v)
	}
	if held.incarnation != n.spec.Incarnation || held.version != v {
		o.versions[n.spec.ID] = heldVersion{n.spec.Incarnation, v}
	}
}

func (o *observer) plannedStop(n *node) {
	for key, at := range n.coordinated {
		if f := o.s.flows[key.flow]; o.s.now.Sub(at) < requestDeadline && f != nil && !f.closed && !f.broken && f.issued[key.id].outcome == "" {
			o.report("I9", "%s stopped with request %x under way", n.spec.ID, key.id)
		}
	}
}

// accepted notes an edit and checks it after configLimit.
func (o *observer) accepted(e *edit) {
	o.edits = append(o.edits, e)
	o.s.after(configLimit, func() { o.inForce(e) })
}

func (o *observer) inForce(e *edit) {
	for _, id := range o.s.order {
		n := o.s.nodes[id]
		if !n.alive || n.frozen || o.s.now.Sub(n.spec.Started) < configLimit || o.unreachable(n.spec.DataCentre, configLimit) {
			continue
		}
		if n.core.Version() < e.version {
			o.report("I10", "%s has version %d and not %d, %v after %s was accepted", id, n.core.Version(), e.version, o.s.now.Sub(e.acceptedAt), e.id)
			continue
		}
		plans, marks := n.core.Lists()
		if !e.superseded && !e.check(plans, marks) {
			o.report("I10", "%s has version %d without the accepted edit %s", id, n.core.Version(), e.id)
		}
	}
}

// ready reports a run that would check nothing, because too few flows opened
// before the fault.
func (o *observer) ready() {
	open := 0
	for _, f := range o.s.flows {
		if f.server != nil && !f.broken {
			open++
		}
	}
	if open < minFlows {
		o.report(progress, "%d flows are open before the fault, expected %d", open, minFlows)
	}
}

// recovered reports a run in which requests stay unanswered after the fault:
// instances that refuse everything violate no invariant.
func (o *observer) recovered() {
	sent, answered := 0, 0
	to := o.s.now.Add(-requestDeadline)
	for _, f := range o.s.flows {
		for _, m := range f.issued {
			if m.first.After(to.Add(-quiet)) && m.first.Before(to) && !o.exempt(f) {
				sent++
				if m.outcome == "answered" {
					answered++
				}
			}
		}
	}
	if answered*10 < sent*minAnswered || sent < minFlows {
		o.report(progress, "%d of %d requests answered after the fault", answered, sent)
	}
}

// finish runs the checks of the end of a run.
func (o *observer) finish() {
	o.recovered()
	for _, e := range o.edits {
		if o.past(e.acceptedAt, configLimit) {
			o.inForce(e)
		}
	}
	for _, key := range o.s.flowIDs {
		o.finishFlow(o.s.flows[key])
	}
}

func (o *observer) finishFlow(f *fakeFlow) {
	for id, m := range f.issued {
		for attempt, parts := range m.parts {
			if len(parts) > 0 && len(parts) < 3 && o.past(m.first, requestDeadline) {
				o.report("I5", "request %x got %d of 3 parts of attempt %d", id, len(parts), attempt)
			}
		}
	}
	if f.broken || f.closed || o.exempt(f) || o.s.now.Sub(f.acked) < quiet {
		return
	}
	if o.s.now.Sub(f.lastEcho) < quiet {
		return
	}
	if o.lenient {
		o.broken++
		o.lastBroken = fmt.Sprintf("%v at %s got no echo for %v", f.key, f.server.name, o.s.now.Sub(f.lastEcho))
		return
	}
	o.report("I1", "flow %v at %s got no echo for %v", f.key, f.server.name, o.s.now.Sub(f.lastEcho))
}

// operator submits edits and repeats them until they are accepted.
type operator struct {
	s       *sim
	tokens  uint64
	waiting map[uint64]*edit
}

// edit is one edit of the lists. check tells whether its effect is in force.
type edit struct {
	id         string
	apply      func(*pb.PlanList, *pb.Marks)
	check      func(*pb.PlanList, *pb.Marks) bool
	then       func()
	tries      int
	version    uint64
	acceptedAt time.Time
	// superseded is set when a later edit takes the effect back.
	superseded bool
}

func newOperator(s *sim) *operator {
	return &operator{s: s, waiting: map[uint64]*edit{}}
}

// submit sends the edit to a random live instance; it is repeated under the
// same edit id when it fails or gets no reply.
func (op *operator) submit(e *edit) {
	if e.tries++; e.tries > 12 || !e.acceptedAt.IsZero() {
		return
	}
	var candidates []*node
	for _, id := range op.s.order {
		if n := op.s.nodes[id]; n.alive && !n.frozen && n.listed && !n.leaving {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return
	}
	n := candidates[op.s.rng.IntN(len(candidates))]
	plans, marks := n.core.Lists()
	req := &pb.EditRequest{EditId: e.id, Operator: "op", Summary: e.id, BaseVersion: n.core.Version()}
	if n.core.Version() == 0 {
		plans, req.Callers = initialPlans(), initialCallers()
	}
	if marks == nil {
		marks = &pb.Marks{}
	}
	newPlans, newMarks := proto.Clone(plans).(*pb.PlanList), proto.Clone(marks).(*pb.Marks)
	e.apply(newPlans, newMarks)
	if !e.check(newPlans, newMarks) {
		// The server is just moving and is in no service of this version.
		op.s.after(500*time.Millisecond, func() { op.submit(e) })
		return
	}
	if req.Callers != nil || !proto.Equal(plans, newPlans) {
		req.Plans = newPlans
	}
	if !proto.Equal(marks, newMarks) {
		req.Marks = newMarks
	}
	op.tokens++
	token := op.tokens
	op.waiting[token] = e
	op.s.log("operator: %s to %s on version %d, try %d", e.id, n.spec.ID, req.BaseVersion, e.tries)
	op.s.after(3*time.Second, func() {
		if op.waiting[token] == e {
			delete(op.waiting, token)
			op.submit(e)
		}
	})
	op.s.deliver(n, Edit{token, req})
}

func (op *operator) reply(r EditReply) {
	e := op.waiting[r.Token]
	if e == nil {
		return
	}
	delete(op.waiting, r.Token)
	if r.Err != nil {
		op.s.log("operator: %s failed: %v", e.id, r.Err)
		op.s.after(500*time.Millisecond, func() { op.submit(e) })
		return
	}
	op.s.log("operator: %s accepted as version %d", e.id, r.Version)
	if !e.acceptedAt.IsZero() {
		return
	}
	e.acceptedAt, e.version = op.s.now, r.Version
	op.s.obs.accepted(e)
	if e.then != nil {
		e.then()
	}
}
