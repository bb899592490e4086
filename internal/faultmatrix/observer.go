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
	withdrawalLimit  = 3 * time.Second
	configApplyLimit = 6 * time.Second
	// suddenGrace is the time after a server went cold without warning in
	// which its load may exceed what it bears: nobody can know before its
	// first cold answer and the next heartbeats.
	unannouncedColdGrace = 500 * time.Millisecond
	// openingWindow is a second less what the delay between instance and
	// server varies (0.3 ms), so that evenly spaced openings at the limit are
	// not reported.
	openingWindow = time.Second - time.Millisecond
	// quiet is the fault-free time at the end of a run in which every flow
	// must get an echo.
	finalQuietPeriod = 3 * time.Second
	// progress marks findings that breach no invariant and show that the run
	// carried too little traffic to check any.
	trafficCheck = "progress"
	minFlows     = 20
	// minAnswered is the least number of 10 requests that are answered in the
	// quiet time at the end.
	minAnsweredOfTen = 5
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
	unplannedFault bool
	brokenFlows    int
	// lastBroken describes the last flow counted in broken.
	lastBrokenFlow string

	refusedAsNotRun map[requestKey]string
	runs            map[requestKey]int
	lastVersions    map[model.InstanceID]observedVersion
	edits           []*edit
	outSince        map[model.DataCentre]time.Time
	everOut         map[model.DataCentre]bool
	drainingSince   map[string]time.Time
	// moved lists servers that left a service; lastService is the service of
	// the last packet that such a server received.
	movedServers map[string]bool
	lastService  map[string]string
	// barred lists the services taken from a plan, by caller prefix.
	revokedSince  map[string]time.Time
	isolatedUntil map[model.DataCentre]time.Time
}

type observedVersion struct {
	incarnation, version uint64
}

func newObserver(s *sim) *observer {
	return &observer{s: s, refusedAsNotRun: map[requestKey]string{}, runs: map[requestKey]int{}, lastVersions: map[model.InstanceID]observedVersion{},
		outSince: map[model.DataCentre]time.Time{}, everOut: map[model.DataCentre]bool{}, drainingSince: map[string]time.Time{},
		movedServers: map[string]bool{}, lastService: map[string]string{}, revokedSince: map[string]time.Time{}, isolatedUntil: map[model.DataCentre]time.Time{}}
}

func (o *observer) report(invariant, format string, args ...any) {
	v := Violation{invariant, o.s.now.Sub(o.s.start), fmt.Sprintf(format, args...)}
	o.violations = append(o.violations, v)
	o.s.tracef("VIOLATION %s", v)
}

// past reports whether t is set and longer ago than limit.
func (o *observer) olderThan(t time.Time, limit time.Duration) bool {
	return !t.IsZero() && o.s.now.Sub(t) > limit
}

// unreachable reports whether the data centre is, or was within limit, cut
// off from everything, so that it cannot know of an edit.
func (o *observer) unreachable(dc model.DataCentre, limit time.Duration) bool {
	until, ok := o.isolatedUntil[dc]
	return ok && o.s.now.Before(until.Add(limit))
}

func (o *observer) packetReceived(inst *simInstance, srv *fakeServer, p *pb.Packet) {
	flow := o.s.flows[wire.FlowOf(p)]
	if flow == nil {
		o.report("I2", "server %s got a packet of an unknown flow", srv.name)
		return
	}
	if !o.movedServers[srv.name] && flow.service != srv.service {
		o.report("I2", "server %s of %s got a %v for %s from %s", srv.name, srv.service, p.GetKind(), flow.service, inst.spec.ID)
	}
	if last := o.lastService[srv.name]; last != flow.service {
		if o.movedServers[srv.name] && flow.service == srv.service && last != "" {
			o.report("I2", "server %s got a packet for %s after packets for %s", srv.name, flow.service, last)
		}
		o.lastService[srv.name] = flow.service
	}
	if since := o.revokedSince[flow.callerServiceKey()]; o.olderThan(since, configApplyLimit) && !o.unreachable(inst.spec.DataCentre, configApplyLimit) {
		o.report("I2", "server %s got a %v of a caller whose plan lost %s", srv.name, p.GetKind(), flow.service)
	}
	if o.olderThan(o.outSince[srv.dc], withdrawalLimit) && !o.unreachable(inst.spec.DataCentre, withdrawalLimit) {
		o.report("I4", "server %s got a %v from %s although its data centre is out", srv.name, p.GetKind(), inst.spec.ID)
	}
}

func (f *fakeFlow) callerServiceKey() string {
	return fmt.Sprintf("%s %s", f.callerName(), f.service)
}

func (o *observer) flowOpened(inst *simInstance, srv *fakeServer, flow wire.Flow) {
	if o.olderThan(o.drainingSince[srv.name], withdrawalLimit) && !o.unreachable(inst.spec.DataCentre, withdrawalLimit) {
		o.report("I8", "server %s got a new flow from %s while it leaves", srv.name, inst.spec.ID)
	}
	if !srv.cold {
		return
	}
	srv.coldOpeningTimes = append(srv.coldOpeningTimes, o.s.now)
	for o.s.now.Sub(srv.coldOpeningTimes[0]) >= openingWindow {
		srv.coldOpeningTimes = srv.coldOpeningTimes[1:]
	}
	if len(srv.coldOpeningTimes) > coldOpeningsPerSecond && !srv.inColdGrace() {
		o.report("I3", "cold server %s got %d openings in one second and bears %d", srv.name, len(srv.coldOpeningTimes), coldOpeningsPerSecond)
	}
}

func (srv *fakeServer) inColdGrace() bool {
	return srv.unannounced && srv.s.now.Sub(srv.coldSince) <= unannouncedColdGrace
}

func (o *observer) requestRan(srv *fakeServer, p *pb.Packet) {
	key := requestKey{wire.FlowOf(p), p.GetRequestId()}
	o.runs[key]++
	if !p.GetIdempotent() && o.runs[key] > 1 {
		o.report("I7", "non-idempotent request %x ran %d times, last at %s", key.id, o.runs[key], srv.name)
	}
	if reason, ok := o.refusedAsNotRun[key]; ok {
		o.report("I6", "request %x ran at %s after a refusal (%s) that said it did not", key.id, srv.name, reason)
	}
	if srv.cold && srv.busySlots > coldSlots && !srv.inColdGrace() {
		o.report("I3", "cold server %s runs %d requests and bears %d", srv.name, srv.busySlots, coldSlots)
	}
}

func (o *observer) requestRefusedAsNotRun(inst *simInstance, flow wire.Flow, p *pb.Packet) {
	key := requestKey{flow, p.GetRequestId()}
	o.refusedAsNotRun[key] = fmt.Sprintf("%v of copy %d by %s", p.GetReason(), p.GetCallerAttempt(), inst.spec.ID)
	if o.runs[key] > 0 {
		o.report("I6", "request %x ran and was refused (%s) as not run", key.id, o.refusedAsNotRun[key])
	}
}

// exempt reports whether the flow may end: its server died or changed service,
// its data centre was taken out, or its plan lost the service.
func (o *observer) mayBreak(f *fakeFlow) bool {
	return f.server == nil || !f.server.diedAt.IsZero() || o.movedServers[f.server.name] || o.everOut[f.site] || !o.revokedSince[f.callerServiceKey()].IsZero()
}

func (o *observer) flowBroken(f *fakeFlow, cause string) {
	o.s.tracef("flow %v broken: %s", f.key, cause)
	switch {
	case o.mayBreak(f):
	case o.unplannedFault:
		o.brokenFlows++
		o.lastBrokenFlow = fmt.Sprintf("%v at %.3f s: %s", f.key, o.s.now.Sub(o.s.start).Seconds(), cause)
	default:
		o.report("I1", "flow %v: %s", f.key, cause)
	}
}

func (o *observer) checkVersion(inst *simInstance) {
	v, last := inst.impl.Version(), o.lastVersions[inst.spec.ID]
	if last.incarnation == inst.spec.Incarnation && v < last.version {
		o.report("I10", "%s went from version %d back to %d", inst.spec.ID, last.version, v)
	}
	if last.incarnation != inst.spec.Incarnation || last.version != v {
		o.lastVersions[inst.spec.ID] = observedVersion{inst.spec.Incarnation, v}
	}
}

func (o *observer) checkPlannedStop(inst *simInstance) {
	for key, at := range inst.inFlight {
		if f := o.s.flows[key.flow]; o.s.now.Sub(at) < requestDeadline && f != nil && !f.closed && !f.broken && f.issued[key.id].outcome == "" {
			o.report("I9", "%s stopped with request %x under way", inst.spec.ID, key.id)
		}
	}
}

// accepted notes an edit and checks it after configLimit.
func (o *observer) editAccepted(e *edit) {
	o.edits = append(o.edits, e)
	o.s.after(configApplyLimit, func() { o.checkInForce(e) })
}

func (o *observer) checkInForce(e *edit) {
	for _, id := range o.s.instanceIDs {
		inst := o.s.instances[id]
		if !inst.alive || inst.frozen || o.s.now.Sub(inst.spec.Started) < configApplyLimit || o.unreachable(inst.spec.DataCentre, configApplyLimit) {
			continue
		}
		if inst.impl.Version() < e.version {
			o.report("I10", "%s has version %d and not %d, %v after %s was accepted", id, inst.impl.Version(), e.version, o.s.now.Sub(e.acceptedAt), e.id)
			continue
		}
		plans, marks := inst.impl.Lists()
		if !e.superseded && !e.inEffect(plans, marks) {
			o.report("I10", "%s has version %d without the accepted edit %s", id, inst.impl.Version(), e.id)
		}
	}
}

// ready reports a run that would check nothing, because too few flows opened
// before the fault.
func (o *observer) checkWarmUp() {
	open := 0
	for _, f := range o.s.flows {
		if f.server != nil && !f.broken {
			open++
		}
	}
	if open < minFlows {
		o.report(trafficCheck, "%d flows are open before the fault, expected %d", open, minFlows)
	}
}

// recovered reports a run in which requests stay unanswered after the fault:
// instances that refuse everything violate no invariant.
func (o *observer) checkRecovery() {
	sent, answered := 0, 0
	until := o.s.now.Add(-requestDeadline)
	for _, f := range o.s.flows {
		for _, m := range f.issued {
			if m.sentAt.After(until.Add(-finalQuietPeriod)) && m.sentAt.Before(until) && !o.mayBreak(f) {
				sent++
				if m.outcome == "answered" {
					answered++
				}
			}
		}
	}
	if answered*10 < sent*minAnsweredOfTen || sent < minFlows {
		o.report(trafficCheck, "%d of %d requests answered after the fault", answered, sent)
	}
}

// finish runs the checks of the end of a run.
func (o *observer) checkEnd() {
	o.checkRecovery()
	for _, e := range o.edits {
		if o.olderThan(e.acceptedAt, configApplyLimit) {
			o.checkInForce(e)
		}
	}
	for _, key := range o.s.flowKeys {
		o.checkFlowEnd(o.s.flows[key])
	}
}

func (o *observer) checkFlowEnd(f *fakeFlow) {
	for id, m := range f.issued {
		for attempt, parts := range m.parts {
			if len(parts) > 0 && len(parts) < 3 && o.olderThan(m.sentAt, requestDeadline) {
				o.report("I5", "request %x got %d of 3 parts of attempt %d", id, len(parts), attempt)
			}
		}
	}
	if f.broken || f.closed || o.mayBreak(f) || o.s.now.Sub(f.ackedAt) < finalQuietPeriod {
		return
	}
	if o.s.now.Sub(f.lastEchoAt) < finalQuietPeriod {
		return
	}
	if o.unplannedFault {
		o.brokenFlows++
		o.lastBrokenFlow = fmt.Sprintf("%v at %s got no echo for %v", f.key, f.server.name, o.s.now.Sub(f.lastEchoAt))
		return
	}
	o.report("I1", "flow %v at %s got no echo for %v", f.key, f.server.name, o.s.now.Sub(f.lastEchoAt))
}

// operator submits edits and repeats them until they are accepted.
type operator struct {
	s             *sim
	lastToken     uint64
	awaitingReply map[uint64]*edit
}

// edit is one edit of the lists. check tells whether its effect is in force.
type edit struct {
	id         string
	apply      func(*pb.PlanList, *pb.Marks)
	inEffect   func(*pb.PlanList, *pb.Marks) bool
	onAccepted func()
	attempts   int
	version    uint64
	acceptedAt time.Time
	// superseded is set when a later edit takes the effect back.
	superseded bool
}

func newOperator(s *sim) *operator {
	return &operator{s: s, awaitingReply: map[uint64]*edit{}}
}

// submit sends the edit to a random live instance; it is repeated under the
// same edit id when it fails or gets no reply.
func (op *operator) submit(e *edit) {
	if e.attempts++; e.attempts > 12 || !e.acceptedAt.IsZero() {
		return
	}
	var candidates []*simInstance
	for _, id := range op.s.instanceIDs {
		if inst := op.s.instances[id]; inst.alive && !inst.frozen && inst.listed && !inst.leaving {
			candidates = append(candidates, inst)
		}
	}
	if len(candidates) == 0 {
		return
	}
	inst := candidates[op.s.rng.IntN(len(candidates))]
	plans, marks := inst.impl.Lists()
	req := &pb.EditRequest{EditId: e.id, Operator: "op", Summary: e.id, BaseVersion: inst.impl.Version()}
	if inst.impl.Version() == 0 {
		plans, req.Callers = initialPlans(), initialCallers()
	}
	if marks == nil {
		marks = &pb.Marks{}
	}
	newPlans, newMarks := proto.Clone(plans).(*pb.PlanList), proto.Clone(marks).(*pb.Marks)
	e.apply(newPlans, newMarks)
	if !e.inEffect(newPlans, newMarks) {
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
	op.lastToken++
	token := op.lastToken
	op.awaitingReply[token] = e
	op.s.tracef("operator: %s to %s on version %d, try %d", e.id, inst.spec.ID, req.BaseVersion, e.attempts)
	op.s.after(3*time.Second, func() {
		if op.awaitingReply[token] == e {
			delete(op.awaitingReply, token)
			op.submit(e)
		}
	})
	op.s.deliver(inst, Edit{token, req})
}

func (op *operator) reply(r EditReply) {
	e := op.awaitingReply[r.Token]
	if e == nil {
		return
	}
	delete(op.awaitingReply, r.Token)
	if r.Err != nil {
		op.s.tracef("operator: %s failed: %v", e.id, r.Err)
		op.s.after(500*time.Millisecond, func() { op.submit(e) })
		return
	}
	op.s.tracef("operator: %s accepted as version %d", e.id, r.Version)
	if !e.acceptedAt.IsZero() {
		return
	}
	e.acceptedAt, e.version = op.s.now, r.Version
	op.s.observer.editAccepted(e)
	if e.onAccepted != nil {
		e.onAccepted()
	}
}
