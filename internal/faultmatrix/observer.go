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
	// withdrawalLimit is the time after which a draining server may get no new
	// flows (I8) and the servers of a data centre that is out of service no packets
	// (I4).
	withdrawalLimit = 3 * time.Second
	// configApplyLimit is the time after which an accepted edit has to be in force
	// (I10).
	configApplyLimit = 6 * time.Second
	// unannouncedColdGrace is the time after a server became cold without notice
	// during which its load may exceed the cold limits: the instances learn it only
	// from its first cold answer and the next heartbeats.
	unannouncedColdGrace = 500 * time.Millisecond
	// openingWindow is shorter than a second by more than the variation of the
	// delay between instance and server (0.3 ms), so that evenly spaced openings at
	// the limit are not reported.
	openingWindow = time.Second - time.Millisecond
	// releaseLimit is the time after the end of all traffic at which nothing may
	// count as open: an idle flow counts for flowIdleTimeout, a request for
	// requestDeadline.
	releaseLimit = flowIdleTimeout + requestDeadline + 2*time.Second
	// limitsCheck is the Invariant of a violation that says that an instance counts
	// flows or requests that have ended.
	limitsCheck = "limits"
	// finalQuietPeriod is the fault-free time at the end of a run in which every
	// flow must receive an echo.
	finalQuietPeriod = 3 * time.Second
	// trafficCheck is the Invariant of a violation that says that the run carried
	// too little traffic to check the invariants.
	trafficCheck = "progress"
	// minFlows is the least number of open flows before the fault, and of requests
	// sent in the final quiet period.
	minFlows = 20
	// minAnsweredOfTen is the least number out of 10 requests that must be answered
	// in the final quiet period.
	minAnsweredOfTen = 5
)

// Violation is a violation of an invariant.
type Violation struct {
	// Invariant is "I1" to "I10", trafficCheck or limitsCheck.
	Invariant string
	// At is the time since the start of the run.
	At time.Duration
	// Text describes the violation in free text.
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Text)
}

// observer checks the invariants by what callers and servers observe.
type observer struct {
	s          *sim
	violations []Violation
	// unplannedFault is set if the cell has an unplanned fault. Broken flows are
	// then counted instead of reported, as I1 covers only planned changes.
	unplannedFault bool
	brokenFlows    int
	// lastBrokenFlow describes the last flow counted in brokenFlows in free text.
	lastBrokenFlow string

	// refusedAsNotRun holds the requests that were refused with the outcome
	// DID_NOT_RUN, with a text that describes the refusal.
	refusedAsNotRun map[requestKey]string
	// runs counts how often each request ran on a server.
	runs map[requestKey]int
	// lastVersions holds the configuration version last observed at each instance.
	lastVersions map[model.InstanceID]observedVersion
	// edits holds the accepted edits.
	edits []*edit
	// outSince holds the data centres that are out of service, everOut those that
	// were taken out of service at any time of the run.
	outSince map[model.DataCentre]time.Time
	everOut  map[model.DataCentre]bool
	// drainingSince holds the draining servers by name.
	drainingSince map[string]time.Time
	// movedServers holds the names of servers that were moved to another service.
	// lastService is the service of the last packet that each server received.
	movedServers map[string]bool
	lastService  map[string]string
	// revokedSince holds the services that were removed from a caller's plan, by
	// callerServiceKey.
	revokedSince map[string]time.Time
	// isolatedUntil holds the end of the time in which a data centre is cut off
	// from everything else.
	isolatedUntil map[model.DataCentre]time.Time
}

// observedVersion is a configuration version of one incarnation of an instance.
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

// olderThan reports whether t is set and longer ago than limit.
func (o *observer) olderThan(t time.Time, limit time.Duration) bool {
	return !t.IsZero() && o.s.now.Sub(t) > limit
}

// unreachable reports whether the data centre is cut off from everything else, or
// was within limit, so that an edit may not have reached it.
func (o *observer) unreachable(dc model.DataCentre, limit time.Duration) bool {
	until, ok := o.isolatedUntil[dc]
	return ok && o.s.now.Before(until.Add(limit))
}

// packetReceived checks I2 and I4 for a packet from an instance to a server.
func (o *observer) packetReceived(inst *simInstance, srv *fakeServer, p *pb.Packet) {
	flow := o.s.flows[wire.FlowOf(p)]
	if flow == nil {
		o.report("I2", "server %s received a packet of an unknown flow", srv.name)
		return
	}
	if !o.movedServers[srv.name] && flow.service != srv.service {
		o.report("I2", "server %s of service %s received a %v for service %s from %s", srv.name, srv.service, p.GetKind(), flow.service, inst.spec.ID)
	}
	if last := o.lastService[srv.name]; last != flow.service {
		if o.movedServers[srv.name] && flow.service == srv.service && last != "" {
			o.report("I2", "server %s received a packet for service %s after packets for service %s", srv.name, flow.service, last)
		}
		o.lastService[srv.name] = flow.service
	}
	if since := o.revokedSince[flow.callerServiceKey()]; o.olderThan(since, configApplyLimit) && !o.unreachable(inst.spec.DataCentre, configApplyLimit) {
		o.report("I2", "server %s received a %v of a caller whose plan no longer contains service %s", srv.name, p.GetKind(), flow.service)
	}
	if o.olderThan(o.outSince[srv.dc], withdrawalLimit) && !o.unreachable(inst.spec.DataCentre, withdrawalLimit) {
		o.report("I4", "server %s received a %v from %s although its data centre is out of service", srv.name, p.GetKind(), inst.spec.ID)
	}
}

// callerServiceKey returns the key of the flow's caller and service in
// revokedSince.
func (f *fakeFlow) callerServiceKey() string {
	return fmt.Sprintf("%s %s", f.callerName(), f.service)
}

// flowOpened checks I8 and I3 for a flow that opens at a server.
func (o *observer) flowOpened(inst *simInstance, srv *fakeServer, flow wire.Flow) {
	if o.olderThan(o.drainingSince[srv.name], withdrawalLimit) && !o.unreachable(inst.spec.DataCentre, withdrawalLimit) {
		o.report("I8", "server %s received a new flow from %s while draining", srv.name, inst.spec.ID)
	}
	if !srv.cold {
		return
	}
	srv.coldOpeningTimes = append(srv.coldOpeningTimes, o.s.now)
	for o.s.now.Sub(srv.coldOpeningTimes[0]) >= openingWindow {
		srv.coldOpeningTimes = srv.coldOpeningTimes[1:]
	}
	if len(srv.coldOpeningTimes) > coldOpeningsPerSecond && !srv.inColdGrace() {
		o.report("I3", "cold server %s received %d openings in one second, limit %d", srv.name, len(srv.coldOpeningTimes), coldOpeningsPerSecond)
	}
}

// inColdGrace reports whether the server became cold without notice within
// unannouncedColdGrace.
func (srv *fakeServer) inColdGrace() bool {
	return srv.unannounced && srv.s.now.Sub(srv.coldSince) <= unannouncedColdGrace
}

// requestRan checks I7, I6 and I3 for a request that starts to run on a server.
func (o *observer) requestRan(srv *fakeServer, p *pb.Packet) {
	key := requestKey{wire.FlowOf(p), p.GetRequestId()}
	o.runs[key]++
	if !p.GetIdempotent() && o.runs[key] > 1 {
		o.report("I7", "non-idempotent request %x ran %d times, last at %s", key.id, o.runs[key], srv.name)
	}
	if reason, ok := o.refusedAsNotRun[key]; ok {
		o.report("I6", "request %x ran at %s after a refusal as not run (%s)", key.id, srv.name, reason)
	}
	if srv.cold && srv.busySlots > coldSlots && !srv.inColdGrace() {
		o.report("I3", "cold server %s runs %d requests, limit %d", srv.name, srv.busySlots, coldSlots)
	}
}

// requestRefusedAsNotRun checks I6 for a refusal with the outcome DID_NOT_RUN.
func (o *observer) requestRefusedAsNotRun(inst *simInstance, flow wire.Flow, p *pb.Packet) {
	key := requestKey{flow, p.GetRequestId()}
	o.refusedAsNotRun[key] = fmt.Sprintf("%v of caller attempt %d by %s", p.GetReason(), p.GetCallerAttempt(), inst.spec.ID)
	if o.runs[key] > 0 {
		o.report("I6", "request %x ran and was refused as not run (%s)", key.id, o.refusedAsNotRun[key])
	}
}

// mayBreak reports whether the flow is allowed to end: it has no server, its server
// died or was moved to another service, its data centre was taken out of service,
// or the service was removed from its caller's plan.
func (o *observer) mayBreak(f *fakeFlow) bool {
	return f.server == nil || !f.server.diedAt.IsZero() || o.movedServers[f.server.name] || o.everOut[f.site] || !o.revokedSince[f.callerServiceKey()].IsZero()
}

// flowBroken checks I1 for a flow that ended.
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

// checkVersion reports a configuration version that goes back (I10).
func (o *observer) checkVersion(inst *simInstance) {
	v, last := inst.impl.Version(), o.lastVersions[inst.spec.ID]
	if last.incarnation == inst.spec.Incarnation && v < last.version {
		o.report("I10", "configuration of %s went back from version %d to %d", inst.spec.ID, last.version, v)
	}
	if last.incarnation != inst.spec.Incarnation || last.version != v {
		o.lastVersions[inst.spec.ID] = observedVersion{inst.spec.Incarnation, v}
	}
}

// checkPlannedStop reports requests in flight at an instance that has completed a
// planned stop (I9).
func (o *observer) checkPlannedStop(inst *simInstance) {
	for key, at := range inst.inFlight {
		if f := o.s.flows[key.flow]; o.s.now.Sub(at) < requestDeadline && f != nil && !f.closed && !f.broken && f.issued[key.id].outcome == "" {
			o.report("I9", "%s stopped with request %x in flight", inst.spec.ID, key.id)
		}
	}
}

// editAccepted records an accepted edit and checks it after configApplyLimit.
func (o *observer) editAccepted(e *edit) {
	o.edits = append(o.edits, e)
	o.s.after(configApplyLimit, func() { o.checkInForce(e) })
}

// checkInForce reports instances on which an accepted edit is not in force (I10).
// It skips instances that are frozen, cut off or started within configApplyLimit.
func (o *observer) checkInForce(e *edit) {
	for _, id := range o.s.instanceIDs {
		inst := o.s.instances[id]
		if !inst.alive || inst.frozen || o.s.now.Sub(inst.spec.Started) < configApplyLimit || o.unreachable(inst.spec.DataCentre, configApplyLimit) {
			continue
		}
		if inst.impl.Version() < e.version {
			o.report("I10", "%s has configuration version %d, expected %d, %v after edit %s was accepted", id, inst.impl.Version(), e.version, o.s.now.Sub(e.acceptedAt), e.id)
			continue
		}
		plans, marks := inst.impl.Lists()
		if !e.superseded && !e.inEffect(plans, marks) {
			o.report("I10", "%s has configuration version %d without the accepted edit %s", id, inst.impl.Version(), e.id)
		}
	}
}

// checkWarmUp reports a run in which too few flows are open before the fault, as it
// would check nothing.
func (o *observer) checkWarmUp() {
	open := 0
	for _, f := range o.s.flows {
		if f.server != nil && !f.broken {
			open++
		}
	}
	if open < minFlows {
		o.report(trafficCheck, "%d flows are open before the fault, expected at least %d", open, minFlows)
	}
}

// checkRecovery reports a run in which too few requests are sent or answered after
// the fault: instances that refuse everything violate no invariant.
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

func (o *observer) checkEnd() {
	o.checkRecovery()
	for _, e := range o.edits {
		if o.olderThan(e.acceptedAt, configApplyLimit) {
			o.checkInForce(e)
		}
	}
	o.checkStored()
	for _, key := range o.s.flowKeys {
		o.checkFlowEnd(o.s.flows[key])
	}
}

// checkStored reports an accepted edit that the store does not have (I10): it would
// revert once all instances have restarted.
func (o *observer) checkStored() {
	object := func(key string) []byte { return o.s.store.objects[key].value }
	stored, err := o.s.instances[o.s.instanceIDs[0]].impl.StoredVersion(object)
	if err != nil {
		o.report("I10", "root in the store: %v", err)
		return
	}
	for _, e := range o.edits {
		if o.olderThan(e.acceptedAt, configApplyLimit) && e.version > stored {
			o.report("I10", "the store has version %d, without the accepted edit %s of version %d", stored, e.id, e.version)
		}
	}
}

// checkNothingInUse reports instances that count flows or requests as open although
// all traffic has ended releaseLimit ago.
func (o *observer) checkNothingInUse() {
	for _, id := range o.s.instanceIDs {
		inst := o.s.instances[id]
		if n := inst.impl.InUse(); inst.alive && !inst.frozen && n != 0 {
			o.report(limitsCheck, "%s counts %d flows and requests as open after all traffic has ended", id, n)
		}
	}
}

// checkFlowEnd reports answers of which parts are missing (I5), and a flow that
// received no echo in the final quiet period (I1).
func (o *observer) checkFlowEnd(f *fakeFlow) {
	for id, m := range f.issued {
		for attempt, parts := range m.parts {
			if len(parts) > 0 && len(parts) < 3 && o.olderThan(m.sentAt, requestDeadline) {
				o.report("I5", "request %x received %d of 3 parts of attempt %d", id, len(parts), attempt)
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
		o.lastBrokenFlow = fmt.Sprintf("%v at %s received no echo for %v", f.key, f.server.name, o.s.now.Sub(f.lastEchoAt))
		return
	}
	o.report("I1", "flow %v at %s received no echo for %v", f.key, f.server.name, o.s.now.Sub(f.lastEchoAt))
}

// operator submits edits and repeats them until they are accepted.
type operator struct {
	s         *sim
	lastToken uint64
	// awaitingReply holds the submitted edits by token.
	awaitingReply map[uint64]*edit
}

// edit is a change of the plans or of the marks.
type edit struct {
	id string
	// apply makes the change; inEffect reports whether lists contain it.
	apply    func(*pb.PlanList, *pb.Marks)
	inEffect func(*pb.PlanList, *pb.Marks) bool
	// onAccepted is called when the edit is accepted. It may be nil.
	onAccepted func()
	attempts   int
	// version is the configuration version that first contains the edit. It and
	// acceptedAt are zero before the edit is accepted.
	version    uint64
	acceptedAt time.Time
	// superseded is set when a later edit reverts the change.
	superseded bool
}

func newOperator(s *sim) *operator {
	return &operator{s: s, awaitingReply: map[uint64]*edit{}}
}

// submit sends the edit to a random live instance. It repeats the edit under the
// same edit ID, up to 12 attempts in all, when it fails or gets no reply.
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
		// The server that the edit is about belongs to no service in this version,
		// because it is being moved.
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
	op.s.tracef("operator: %s to %s on version %d, attempt %d", e.id, inst.spec.ID, req.BaseVersion, e.attempts)
	op.s.after(3*time.Second, func() {
		if op.awaitingReply[token] == e {
			delete(op.awaitingReply, token)
			op.submit(e)
		}
	})
	op.s.deliver(inst, Edit{token, req})
}

func (op *operator) handleReply(r EditReply) {
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
