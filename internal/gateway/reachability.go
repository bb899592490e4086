package gateway

import (
	"time"

	"golang.org/x/time/rate"

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
	return c.appendProbe(now, nil, srv)
}

// appendProbe appends the action that probes a server, or defers the probe if the
// budget is used up. The probe of a control server takes a token too.
func (c *Core) appendProbe(now time.Time, actions []Action, srv *serverState) []Action {
	needed, probes := 1, 1
	if needsControl(srv) {
		needed = 2
	}
	if srv.reach.ConfirmedDown() {
		needed += int(probeReserve * float64(c.probeBudget.Burst()))
	}
	if c.probeBudget.TokensAt(now) < float64(needed) {
		return c.deferProbe(actions, srv)
	}
	p := c.probeAction(srv)
	if p.Control.IsValid() {
		probes = 2
	}
	if !c.probeBudget.AllowN(now, probes) {
		return c.deferProbe(actions, srv)
	}
	c.link.countProbes(now, probes)
	return append(actions, p)
}

// newProbeBudget returns the budget of probes of an instance with a link of the given
// bandwidth; 0 means that it is unknown.
func newProbeBudget(bitsPerSecond float64) *rate.Limiter {
	perSecond := float64(maxProbeRate)
	if bitsPerSecond > 0 {
		perSecond = min(max(probeLinkShare*bitsPerSecond/8/probeBytes, minProbeRate), maxProbeRate)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*probeBurst.Seconds()))
}

func (c *Core) deferProbe(actions []Action, srv *serverState) []Action {
	if srv.reach.DeferProbe() {
		c.probesDeferred++
	}
	return actions
}

// ProbesDeferred returns the number of probes that were deferred because the budget was
// used up, each counted once.
func (c *Core) ProbesDeferred() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.probesDeferred
}

// needsControl reports whether a control server is probed together with the server: the
// server is unreachable but not confirmed down, as after a first unanswered probe.
func needsControl(srv *serverState) bool {
	return srv.reach.State() == reach.Unreachable && !srv.reach.ConfirmedDown()
}

// probeAction returns the action that probes a server and, if needed, a control server
// at the same time.
func (c *Core) probeAction(srv *serverState) Probe {
	p := Probe{Server: srv.record.Name, Address: srv.record.Address, Path: c.healthPath(srv)}
	if needsControl(srv) {
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
	if srv.serviceLoad.Saturated(now) || c.link.congested(now) {
		// Silence is what full servers and a full link show too; only a refused
		// connection then confirms that a server is down.
		controlAnswered = false
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
	started := 0
	for r, srv := range c.serverStates {
		if started >= maxDataCentreProbes {
			break
		}
		if srv == unreachable || r.DataCentre != unreachable.record.DataCentre || !r.Listed {
			continue
		}
		if now.Sub(srv.reach.LastProgress()) > recentProgress && srv.reach.StartPrecautionaryProbe() {
			started++
			actions = c.appendProbe(now, actions, srv)
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
		actions = c.appendProbe(now, actions, srv)
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
	// to be probed when another server of its data centre becomes unreachable, or
	// when a caller that waits for it opens another flow.
	recentProgress = 100 * time.Millisecond
	// probeLinkShare is the part of the link that probes may take. The rate that follows
	// is limited to the range from minProbeRate to maxProbeRate in probes a second; the
	// latter also holds if the bandwidth is unknown.
	probeLinkShare = 0.05
	minProbeRate   = 100
	maxProbeRate   = 1000
	// probeBurst is the time for which the budget is saved up, so that the servers of a
	// lost data centre are found at once.
	probeBurst = 5 * time.Second
	// probeReserve is the part of the burst that repeated probes of servers that are
	// confirmed down leave to the others. With many servers down, they alone would
	// use up the budget, and the next failure would be found late.
	probeReserve = 0.25
	// probeBytes is what a probe takes of the link in each direction: the packets of
	// a connection, a request and its response.
	probeBytes = 600
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
