package placement

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

const (
	// massSilence is the time after which the silence of more than half of a
	// service's servers is believed, provided that another server answers.
	massSilence = 10 * time.Second
	// rampStart is the least number of buckets of a server in cold start. One
	// bucket is the smallest share there is (1/1024 of the openings or less);
	// what exceeds a server's cold limit is held back by each instance.
	rampStart = 1
	// coldShare is the part of the openings that a cold server bears which its
	// first share may bring; the rest is for the spread of the rate.
	coldShare = 0.5
	// rateInterval is the time over which the answers of a service are counted.
	rateInterval = time.Second
	// quietFactor times RampInterval is the time after which a share is raised
	// without answers: a bucket without traffic gives no evidence.
	quietFactor = 10
	// refusalShare is the share of refusals among answers that sets a ramp
	// back.
	refusalShare = 0.1
)

// rampState is the cold start of a server, as a limit on its buckets.
type rampState struct {
	on bool
	// warm is set for a server that shed load while it was not in cold start.
	warm     bool
	allowed  int
	at       time.Time
	answers  uint64
	refusals uint64
}

// judgeServers decides which servers of a service may take openings.
func (p *Publisher) judgeServers(now time.Time, svc *service) {
	p.readConditions(now, svc)
	distrust := p.distrustSilence(now, svc)
	usable := false
	for _, t := range svc.sorted() {
		t.cause = t.unusableBecause(p.book.admitted[t.id], distrust)
		usable = usable || t.cause == ""
	}
	if !usable && !svc.noServer {
		p.event(Event{Service: svc.id, Name: EventNoServer, Cause: "all servers drain, are silent or are held back"})
	}
	svc.noServer = !usable
}

func (t *target) unusableBecause(admitted, distrustSilence bool) string {
	switch {
	case t.server == nil:
		return "removed"
	case t.server.Drain:
		return "drained"
	case !admitted:
		return "address may be in use elsewhere"
	case t.condition == pb.ServerCondition_SERVER_CONDITION_DRAINING:
		return "leaving"
	case t.condition == pb.ServerCondition_SERVER_CONDITION_SILENT && !distrustSilence:
		return "silent"
	}
	return ""
}

// readConditions reads the merged conditions. While the data centre is out no
// packets are sent, and conditions say nothing.
func (p *Publisher) readConditions(now time.Time, svc *service) {
	out := p.catalog.DataCentres[p.cfg.DataCentre].Out
	for _, t := range svc.sorted() {
		t.condition = pb.ServerCondition_SERVER_CONDITION_UNSPECIFIED
		if p.in.Reports != nil && !out {
			t.condition = p.in.Reports.Condition(now, t.id)
		}
	}
}

// distrustSilence reports whether the silence of servers is more likely an
// error of the reports: more than half are silent, and that either recently or
// without another server that answers.
func (p *Publisher) distrustSilence(now time.Time, svc *service) bool {
	total, silent := 0, 0
	for _, t := range svc.sorted() {
		if t.server == nil || t.server.Drain {
			continue
		}
		total++
		if t.condition == pb.ServerCondition_SERVER_CONDITION_SILENT {
			silent++
		}
	}
	if silent*2 <= total {
		svc.distrustSince = time.Time{}
		return false
	}
	if svc.distrustSince.IsZero() {
		svc.distrustSince = now
		p.event(Event{Service: svc.id, Name: EventDistrusted, Cause: "more than half of the servers look dead"})
	}
	if now.Sub(svc.distrustSince) < massSilence {
		return true
	}
	for _, t := range svc.sorted() {
		if t.server != nil && t.condition != pb.ServerCondition_SERVER_CONDITION_SILENT && p.in.Reports.lastAnswer(t.id).After(svc.distrustSince) {
			return false
		}
	}
	return true
}

// ramp starts, raises and sets back the shares of servers in cold start.
func (p *Publisher) ramp(now time.Time, svc *service) {
	mostlyCold := p.mostlyCold(svc)
	p.measureRate(now, svc)
	capacity, _ := svc.capacity()
	for _, t := range svc.sorted() {
		wasUsable := t.judged && t.usable
		t.usable = t.cause == ""
		if !t.usable {
			t.judged = true
			continue
		}
		fair := float64(svc.n) * t.capacity() / capacity
		switch {
		case !t.judged:
			t.judged = true
			p.resumeRamp(now, svc, t, fair)
		case !wasUsable:
			p.setRamp(now, svc, t, max(p.startShare(now, svc, t, fair), len(t.buckets)), EventRampStarted, "server added or back")
		case t.cold() && !mostlyCold:
			p.setBack(now, svc, t, fair)
		case t.ramp.on:
			p.raise(now, svc, t, fair)
		}
		p.sample(now, t)
	}
}

// setBack lowers the share of a server. A warm one that sheds some of its load
// keeps half, and again half in each interval: the start of a ramp would put
// its load on the others, which then shed in turn. One in cold start, or that
// refuses much of its load, begins again.
func (p *Publisher) setBack(now time.Time, svc *service, t *target, fair float64) {
	if t.condition == pb.ServerCondition_SERVER_CONDITION_SHEDDING && (!t.ramp.on || t.ramp.warm) && !p.overwhelmed(t) {
		if t.ramp.on && now.Sub(t.ramp.at) < p.cfg.RampInterval {
			return
		}
		if half := len(t.buckets) / 2; half >= rampStart {
			p.setRamp(now, svc, t, half, EventRampSetBack, t.condition.String())
			t.ramp.warm = true
		}
		return
	}
	start := p.startShare(now, svc, t, fair)
	switch {
	case !t.ramp.on || t.ramp.allowed > 2*start:
		p.setRamp(now, svc, t, start, EventRampSetBack, t.condition.String())
	case t.ramp.allowed < start/2:
		p.setRamp(now, svc, t, start, EventRampRaised, "bears more than its share brings")
	case p.quiet(now, t) && 2*t.ramp.allowed < int(fair):
		p.setRamp(now, svc, t, 2*t.ramp.allowed, EventRampRaised, "no traffic")
	}
}

// quiet reports whether a share has brought neither answers nor refusals for
// so long that it cannot show whether the server is still cold.
func (p *Publisher) quiet(now time.Time, t *target) bool {
	answers, refusals := p.evidence(t)
	return now.Sub(t.ramp.at) >= quietFactor*p.cfg.RampInterval && len(t.buckets) >= t.ramp.allowed &&
		answers == t.ramp.answers && refusals == t.ramp.refusals
}

// overwhelmed reports whether a server has refused more than refusalShare in
// the present interval.
func (p *Publisher) overwhelmed(t *target) bool {
	answers, refusals := p.evidence(t)
	return float64(refusals-t.refusals) > refusalShare*float64(answers-t.answers)+1
}

// sample begins a new interval for overwhelmed.
func (p *Publisher) sample(now time.Time, t *target) {
	if now.Sub(t.sampledAt) >= p.cfg.RampInterval {
		t.answers, t.refusals = p.evidence(t)
		t.sampledAt = now
	}
}

// measureRate counts the answers of a service per second. They include the
// answers to requests, so that the rate of openings is not underestimated.
func (p *Publisher) measureRate(now time.Time, svc *service) {
	if p.in.Reports == nil {
		svc.rateKnown = false
		return
	}
	elapsed := now.Sub(svc.rateAt)
	if !svc.rateAt.IsZero() && elapsed < rateInterval {
		return
	}
	var total uint64
	for _, t := range svc.sorted() {
		answers, _ := p.evidence(t)
		total += answers
	}
	if !svc.rateAt.IsZero() && total >= svc.rateAnswers {
		svc.rate, svc.rateKnown = float64(total-svc.rateAnswers)/elapsed.Seconds(), true
	}
	svc.rateAt, svc.rateAnswers = now, total
}

// aliveWithin is how recent an answer must be for a server to get more than
// the least share at the start of a ramp; one that was silent may be dead.
const aliveWithin = 3 * time.Second

// startShare returns the number of buckets with which a ramp starts: those
// that bring what a cold server bears, as far as the rate is known, and at
// most the fair share.
func (p *Publisher) startShare(now time.Time, svc *service, t *target, fair float64) int {
	if !svc.rateKnown || t.server == nil || now.Sub(p.in.Reports.lastAnswer(t.id)) >= aliveWithin {
		return rampStart
	}
	bears := coldShare * float64(t.server.ColdOpeningsPerSecond)
	share := bears / max(svc.rate, bears) * float64(svc.n)
	return max(rampStart, int(min(share, fair)))
}

func (t *target) cold() bool {
	return t.condition == pb.ServerCondition_SERVER_CONDITION_COLD || t.condition == pb.ServerCondition_SERVER_CONDITION_SHEDDING
}

// mostlyCold reports whether more than half of the usable servers are cold or
// shed load. That is overload, or a start of the whole service; shifting load
// between the servers does not help then.
func (p *Publisher) mostlyCold(svc *service) bool {
	usable, cold := 0, 0
	for _, t := range svc.sorted() {
		if t.cause == "" {
			usable++
			if t.cold() {
				cold++
			}
		}
	}
	return cold*2 > usable
}

// resumeRamp infers from an adopted map how far a server's ramp has come.
func (p *Publisher) resumeRamp(now time.Time, svc *service, t *target, fair float64) {
	held := float64(len(t.buckets))
	if held < fair*minBias {
		p.setRamp(now, svc, t, max(rampStart, len(t.buckets)), EventRampStarted, "share below half of the fair one")
		return
	}
	t.bias = min(maxBias, max(minBias, held/fair))
}

func (p *Publisher) setRamp(now time.Time, svc *service, t *target, allowed int, name, cause string) {
	t.bias = 1
	t.ramp = rampState{on: true, allowed: allowed, at: now}
	t.ramp.answers, t.ramp.refusals = p.evidence(t)
	p.event(Event{Service: svc.id, Server: t.id, Name: name, Cause: cause, Buckets: allowed})
}

func (p *Publisher) evidence(t *target) (answers, refusals uint64) {
	if p.in.Reports == nil {
		return 0, 0
	}
	return p.in.Reports.evidence(t.id)
}

// raise doubles the share after enough good answers, and sets it back after
// refusals.
func (p *Publisher) raise(now time.Time, svc *service, t *target, fair float64) {
	answers, refusals := p.evidence(t)
	good, bad := answers-t.ramp.answers, refusals-t.ramp.refusals
	if float64(bad) > refusalShare*float64(good)+1 {
		p.setRamp(now, svc, t, rampStart, EventRampSetBack, "refusals")
		return
	}
	elapsed := now.Sub(t.ramp.at)
	if elapsed < p.cfg.RampInterval || t.cold() || len(t.buckets) < t.ramp.allowed {
		return
	}
	if good < p.cfg.RampAnswers && elapsed < quietFactor*p.cfg.RampInterval {
		return
	}
	allowed := 2 * t.ramp.allowed
	if float64(allowed) >= fair {
		t.ramp = rampState{}
		p.event(Event{Service: svc.id, Server: t.id, Name: EventRampDone, Cause: "evidence"})
		return
	}
	p.setRamp(now, svc, t, allowed, EventRampRaised, "evidence")
}
