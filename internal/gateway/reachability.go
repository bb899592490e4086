package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
)

func (c *Core) resetFlow(f *trackedFlow, reason Reason) Action {
	action := ResetFlow{Flow: f.key, Ack: f.Ack, Server: f.serverState.record.Name, Service: f.serverState.record.Service, Reason: reason}
	c.drop(f)
	return action
}

// departed asks whether a server whose entry went still lives: the entry of a
// live server goes as well when it cannot write.
func (c *Core) handleDeparted(now time.Time, r *registry.Record) []Action {
	srv := c.serverStates[r]
	if len(srv.openFlows) == 0 || !srv.reach.MarkSuspect(now) {
		return nil
	}
	return []Action{c.probe(srv)}
}

// probe asks for a probe; from the second one without an answer on with a
// control.
func (c *Core) probe(srv *serverState) Action {
	p := Probe{Server: srv.record.Name, Address: srv.record.Address, Path: c.healthPath(srv)}
	if srv.reach.State() == reach.Unreachable && !srv.reach.ConfirmedDown() {
		if controlServer := c.controlServer(srv); controlServer != nil {
			p.Control, p.ControlPath = controlServer.record.Address, c.healthPath(controlServer)
		}
	}
	return p
}

func (c *Core) healthPath(srv *serverState) string {
	if s, ok := c.routes.Current().Services[srv.record.Service]; ok {
		return s.HealthPath
	}
	return "/"
}

// control returns the reachable server that answered last.
func (c *Core) controlServer(excluded *serverState) *serverState {
	var latest *serverState
	for r, srv := range c.serverStates {
		if srv == excluded || !r.Listed || srv.reach.State() != reach.Reachable {
			continue
		}
		if latest == nil || srv.reach.LastProgress().After(latest.reach.LastProgress()) {
			latest = srv
		}
	}
	return latest
}

func (c *Core) handleProbeDone(now time.Time, e ProbeDone) []Action {
	srv := c.serverStates[c.servers.Record(e.Server)]
	if srv == nil {
		// Forgotten while it was probed.
		return nil
	}
	previousState, wasConfirmedDown := srv.reach.State(), srv.reach.ConfirmedDown()
	probe := srv.reach.ProbeDone(now, e.Result, e.ControlAnswered)
	actions := c.reportTransition(now, srv, previousState, probe, "probe: "+e.Result.String())
	// A server that was reachable is itself one of those that are checked.
	if previousState == reach.Suspect && srv.reach.State() == reach.Unreachable && isExpected(srv) {
		actions = append(actions, c.probeDataCentre(now, srv)...)
	}
	if !wasConfirmedDown && srv.reach.ConfirmedDown() {
		actions = append(actions, c.resetAllFlows(srv)...)
	}
	return append(actions, c.updateServing(now)...)
}

// expected reports whether the registry has the server as one that stays.
func isExpected(srv *serverState) bool {
	return (srv.record.Listed || srv.record.InGrace()) && !srv.record.Draining
}

// checkDataCentre probes the other servers of a lost server's data centre that
// have shown no life lately: several may have crashed at once, or the data centre
// may be cut off or without power.
func (c *Core) probeDataCentre(now time.Time, lost *serverState) []Action {
	var actions []Action
	for r, srv := range c.serverStates {
		if len(actions) >= maxDataCentreProbes {
			break
		}
		if srv == lost || r.DataCentre != lost.record.DataCentre || !r.Listed {
			continue
		}
		if now.Sub(srv.reach.LastProgress()) > recentProgress && srv.reach.StartCheck() {
			actions = append(actions, c.probe(srv))
		}
	}
	return actions
}

// giveUpAll resets the flows of a server that is not reached, idle ones
// included, so that the callers' next requests open new flows at once.
func (c *Core) resetAllFlows(srv *serverState) []Action {
	actions := make([]Action, 0, len(srv.openFlows))
	for _, f := range srv.openFlows {
		actions = append(actions, c.resetFlow(f, ServerLost))
	}
	return actions
}

func (c *Core) reportTransition(now time.Time, srv *serverState, previousState reach.State, probe bool, cause string) []Action {
	var actions []Action
	if state := srv.reach.State(); state != previousState {
		actions = append(actions, StateChange{Subject: srv.record.Name, Description: "server " + state.String(), Cause: cause, Age: timeSinceProgress(now, srv)})
	}
	if probe {
		actions = append(actions, c.probe(srv))
	}
	return actions
}

// aliveAge returns the time since the server answered a caller; 0 when it never
// did.
func timeSinceProgress(now time.Time, srv *serverState) time.Duration {
	if srv.reach.LastProgress().IsZero() {
		return 0
	}
	return now.Sub(srv.reach.LastProgress())
}

func (c *Core) reportReachable(now time.Time, srv *serverState, cause string) Action {
	return StateChange{Subject: srv.record.Name, Description: "server " + srv.reach.State().String(), Cause: cause}
}

const (
	// maxChecks bounds the probes that one lost server sets off.
	maxDataCentreProbes = 64
	// aliveWithin is how recently a server must have answered a caller not to
	// be checked when another one of its data centre is lost.
	recentProgress = 100 * time.Millisecond
)

// evidence passes on what a packet says about the server.
func (c *Core) applyObservation(now time.Time, srv *serverState, observation flow.Observation) []Action {
	if observation.Progress {
		previousState := srv.reach.State()
		srv.reach.Progress(now)
		if previousState != reach.Reachable {
			return []Action{c.reportReachable(now, srv, "a caller was answered")}
		}
		return nil
	}
	if !observation.Retransmit {
		return nil
	}
	previousState := srv.reach.State()
	probe := srv.reach.RecordRetransmit(now, observation.FirstSentAt)
	return c.reportTransition(now, srv, previousState, probe, "callers repeat packets")
}
