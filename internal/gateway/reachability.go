package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
)

// resetFlow drops a flow and returns the action that resets its caller.
func (c *Core) resetFlow(f *trackedFlow, reason Reason) Action {
	action := ResetFlow{Flow: f.key, Ack: f.Ack, Server: f.serverState.record.Name, Service: f.serverState.record.Service, Reason: reason}
	c.untrack(f)
	return action
}

// handleDeparted probes a server whose entry was removed while it has open
// flows. The server may still be running, because an entry also disappears when
// the server cannot write to the registry.
func (c *Core) handleDeparted(now time.Time, r *registry.Record) []Action {
	srv := c.serverStates[r]
	if len(srv.openFlows) == 0 || !srv.reach.MarkSuspect(now) {
		return nil
	}
	return []Action{c.probeAction(srv)}
}

// probeAction returns the action that probes a server. While the server is
// unreachable but not confirmed down, as after a first unanswered probe, a
// control server is probed at the same time.
func (c *Core) probeAction(srv *serverState) Action {
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

// controlServer returns the reachable server, other than excluded, that last
// answered a caller; nil if there is none.
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

// handleProbeDone applies the outcome of a probe.
func (c *Core) handleProbeDone(now time.Time, e ProbeDone) []Action {
	srv := c.serverStates[c.servers.Record(e.Server)]
	if srv == nil {
		// The server was forgotten during the probe.
		return nil
	}
	previousState, wasConfirmedDown := srv.reach.State(), srv.reach.ConfirmedDown()
	result, controlAnswered := e.Result, e.ControlAnswered
	if result == reach.ConnectionRefused && srv.record.Listed && srv.record.Draining {
		// A leaving server stops to accept connections before it has ended. The
		// removal of its entry leads to the next probe.
		result, controlAnswered = reach.NoAnswer, false
	}
	probe := srv.reach.ProbeDone(now, result, controlAnswered)
	actions := c.reportTransition(now, srv, previousState, probe, "probe: "+e.Result.String())
	// A server that was reachable is itself the target of a precautionary probe
	// and starts no further ones.
	if previousState == reach.Suspect && srv.reach.State() == reach.Unreachable && isExpected(srv) {
		actions = append(actions, c.probeDataCentre(now, srv)...)
	}
	if !wasConfirmedDown && srv.reach.ConfirmedDown() {
		actions = append(actions, c.resetAllFlows(srv)...)
	}
	return append(actions, c.updateServing(now)...)
}

// isExpected reports whether the server should be running: it is present in the
// registry and not draining.
func isExpected(srv *serverState) bool {
	return (srv.record.Listed || srv.record.InGrace()) && !srv.record.Draining
}

// probeDataCentre probes the other servers in the data centre of an unreachable
// server that have shown no progress recently: several servers may have crashed
// at once, or the data centre may be cut off or without power.
func (c *Core) probeDataCentre(now time.Time, unreachable *serverState) []Action {
	var actions []Action
	for r, srv := range c.serverStates {
		if len(actions) >= maxDataCentreProbes {
			break
		}
		if srv == unreachable || r.DataCentre != unreachable.record.DataCentre || !r.Listed {
			continue
		}
		if now.Sub(srv.reach.LastProgress()) > recentProgress && srv.reach.StartPrecautionaryProbe() {
			actions = append(actions, c.probeAction(srv))
		}
	}
	return actions
}

// resetAllFlows resets the flows of a server that is confirmed down, including
// idle ones, so that the callers' next requests open new flows at once.
func (c *Core) resetAllFlows(srv *serverState) []Action {
	actions := make([]Action, 0, len(srv.openFlows))
	for _, f := range srv.openFlows {
		actions = append(actions, c.resetFlow(f, ServerLost))
	}
	return actions
}

// reportTransition returns the log entry of a change of the server's state, if
// it changed, and a probe of the server, if needsProbe is set. cause is free
// text for the log.
func (c *Core) reportTransition(now time.Time, srv *serverState, previousState reach.State, needsProbe bool, cause string) []Action {
	var actions []Action
	if state := srv.reach.State(); state != previousState {
		actions = append(actions, StateChange{Subject: srv.record.Name, Description: "server " + state.String(), Cause: cause, Age: timeSinceProgress(now, srv)})
	}
	if needsProbe {
		actions = append(actions, c.probeAction(srv))
	}
	return actions
}

// timeSinceProgress returns the time since the server last answered a caller; 0
// if it never did.
func timeSinceProgress(now time.Time, srv *serverState) time.Duration {
	if srv.reach.LastProgress().IsZero() {
		return 0
	}
	return now.Sub(srv.reach.LastProgress())
}

// reportReachable returns the log entry of a server that has become reachable.
// cause is free text for the log.
func (c *Core) reportReachable(now time.Time, srv *serverState, cause string) Action {
	return StateChange{Subject: srv.record.Name, Description: "server " + srv.reach.State().String(), Cause: cause}
}

const (
	// maxDataCentreProbes bounds the probes that one unreachable server
	// triggers.
	maxDataCentreProbes = 64
	// recentProgress is how recently a server must have answered a caller not
	// to be probed when another server of its data centre becomes unreachable.
	recentProgress = 100 * time.Millisecond
)

// applyObservation passes what a packet reveals about its server to the
// server's failure detector.
func (c *Core) applyObservation(now time.Time, srv *serverState, observation flow.Observation) []Action {
	if observation.Progress {
		previousState := srv.reach.State()
		srv.reach.RecordProgress(now)
		if previousState != reach.Reachable {
			return []Action{c.reportReachable(now, srv, "server answered a caller")}
		}
		return nil
	}
	if !observation.Retransmit {
		return nil
	}
	previousState := srv.reach.State()
	probe := srv.reach.RecordRetransmit(now, observation.FirstSeenAt)
	return c.reportTransition(now, srv, previousState, probe, "callers retransmit packets")
}
