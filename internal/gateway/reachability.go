package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
)

func (c *Core) giveUp(t *tracked, reason Reason) Action {
	a := ResetFlow{Flow: t.key, Ack: t.Ack, Server: t.backend.record.Name, Service: t.backend.record.Service, Reason: reason}
	c.drop(t)
	return a
}

// departed asks whether a server whose entry went still lives: the entry of a
// live server goes as well when it cannot write.
func (c *Core) departed(now time.Time, r *registry.Record) []Action {
	b := c.backends[r]
	if len(b.open) == 0 || !b.reach.MarkSuspect(now) {
		return nil
	}
	return []Action{c.probe(b)}
}

// probe asks for a probe; from the second one without an answer on with a
// control.
func (c *Core) probe(b *backend) Action {
	p := Probe{Server: b.record.Name, Address: b.record.Address, Path: c.healthPath(b)}
	if b.reach.State() == reach.Unreachable && !b.reach.ConfirmedDown() {
		if control := c.control(b); control != nil {
			p.Control, p.ControlPath = control.record.Address, c.healthPath(control)
		}
	}
	return p
}

func (c *Core) healthPath(b *backend) string {
	if s, ok := c.routes.Current().Services[b.record.Service]; ok {
		return s.HealthPath
	}
	return "/"
}

// control returns the reachable server that answered last.
func (c *Core) control(not *backend) *backend {
	var last *backend
	for r, b := range c.backends {
		if b == not || !r.Listed || b.reach.State() != reach.Reachable {
			continue
		}
		if last == nil || b.reach.LastProgress().After(last.reach.LastProgress()) {
			last = b
		}
	}
	return last
}

func (c *Core) probed(now time.Time, e ProbeDone) []Action {
	b := c.backends[c.servers.Record(e.Server)]
	if b == nil {
		// Forgotten while it was probed.
		return nil
	}
	before, failed := b.reach.State(), b.reach.ConfirmedDown()
	again := b.reach.ProbeDone(now, e.Result, e.ControlAnswered)
	actions := c.afterEvidence(now, b, before, again, "probe: "+e.Result.String())
	// A server that was reachable is itself one of those that are checked.
	if before == reach.Suspect && b.reach.State() == reach.Unreachable && expected(b) {
		actions = append(actions, c.checkDataCentre(now, b)...)
	}
	if !failed && b.reach.ConfirmedDown() {
		actions = append(actions, c.giveUpAll(b)...)
	}
	return append(actions, c.judge(now)...)
}

// expected reports whether the registry has the server as one that stays.
func expected(b *backend) bool {
	return (b.record.Listed || b.record.InGrace()) && !b.record.Draining
}

// checkDataCentre probes the other servers of a lost server's data centre that
// have shown no life lately: several may have crashed at once, or the data centre
// may be cut off or without power.
func (c *Core) checkDataCentre(now time.Time, lost *backend) []Action {
	var actions []Action
	for r, b := range c.backends {
		if len(actions) >= maxChecks {
			break
		}
		if b == lost || r.DataCentre != lost.record.DataCentre || !r.Listed {
			continue
		}
		if now.Sub(b.reach.LastProgress()) > aliveWithin && b.reach.StartCheck() {
			actions = append(actions, c.probe(b))
		}
	}
	return actions
}

// giveUpAll resets the flows of a server that is not reached, idle ones
// included, so that the callers' next requests open new flows at once.
func (c *Core) giveUpAll(b *backend) []Action {
	actions := make([]Action, 0, len(b.open))
	for _, t := range b.open {
		actions = append(actions, c.giveUp(t, ServerLost))
	}
	return actions
}

func (c *Core) afterEvidence(now time.Time, b *backend, before reach.State, probe bool, cause string) []Action {
	var actions []Action
	if state := b.reach.State(); state != before {
		actions = append(actions, StateChange{Subject: b.record.Name, Description: "server " + state.String(), Cause: cause, Age: aliveAge(now, b)})
	}
	if probe {
		actions = append(actions, c.probe(b))
	}
	return actions
}

// aliveAge returns the time since the server answered a caller; 0 when it never
// did.
func aliveAge(now time.Time, b *backend) time.Duration {
	if b.reach.LastProgress().IsZero() {
		return 0
	}
	return now.Sub(b.reach.LastProgress())
}

func (c *Core) reached(now time.Time, b *backend, cause string) Action {
	return StateChange{Subject: b.record.Name, Description: "server " + b.reach.State().String(), Cause: cause}
}

const (
	// maxChecks bounds the probes that one lost server sets off.
	maxChecks = 64
	// aliveWithin is how recently a server must have answered a caller not to
	// be checked when another one of its data centre is lost.
	aliveWithin = 100 * time.Millisecond
)

// evidence passes on what a packet says about the server.
func (c *Core) evidence(now time.Time, b *backend, o flow.Observation) []Action {
	if o.Progress {
		before := b.reach.State()
		b.reach.Progress(now)
		if before != reach.Reachable {
			return []Action{c.reached(now, b, "a caller was answered")}
		}
		return nil
	}
	if !o.Retransmit {
		return nil
	}
	before := b.reach.State()
	probe := b.reach.RecordRetransmit(now, o.FirstSentAt)
	return c.afterEvidence(now, b, before, probe, "callers repeat packets")
}
