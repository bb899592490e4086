package placement

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

const (
	// massSilence is the time after which the silence of more than half of a
	// service's servers is believed, provided that another server answers.
	massSilence = 10 * time.Second
	// rampStart is the number of buckets of a server in cold start. One bucket
	// is the smallest share there is (1/1024 of the openings or less); what
	// exceeds a server's cold limit is held back by each instance.
	rampStart = 1
	// quietFactor times RampInterval is the time after which a share is raised
	// without answers: a bucket without traffic gives no evidence.
	quietFactor = 10
	// refusalShare is the share of refusals among answers that sets a ramp
	// back.
	refusalShare = 0.1
)

// rampState is the cold start of a server, as a limit on its buckets.
type rampState struct {
	on       bool
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
			p.setRamp(now, svc, t, max(rampStart, len(t.buckets)), EventRampStarted, "server added or back")
		case t.cold() && !mostlyCold:
			if !t.ramp.on || t.ramp.allowed > rampStart {
				p.setRamp(now, svc, t, rampStart, EventRampSetBack, t.condition.String())
			}
		case t.ramp.on:
			p.raise(now, svc, t, fair)
		}
	}
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
