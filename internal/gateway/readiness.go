package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/reach"
	"cuminshift/internal/readiness"
)

// decayDemand ages the counts of recent requests.
func (c *Core) decayDemand() {
	if !c.serving.CanServe() {
		// The fabric sends no callers to an instance that is not ready. The
		// counts of their requests are kept, since recovery depends on them.
		return
	}
	for service := range c.demand {
		c.demand[service] *= demandDecayPerTick
	}
}

// demandDecayPerTick is the factor applied to the counts of recent requests at
// each tick; their half-life is 3.4 s.
const demandDecayPerTick = 0.98

// updateServing updates whether the instance can serve most of its callers.
func (c *Core) updateServing(now time.Time) []Action {
	demands := make([]readiness.Demand, 0, len(c.demand))
	for service, requests := range c.demand {
		demands = append(demands, readiness.Demand{Requests: requests, Reachable: c.canReachService(now, service)})
	}
	if !c.serving.Update(now, demands) {
		return nil
	}
	description := "instance reaches servers for most callers again"
	if !c.serving.CanServe() {
		description = "instance reaches no server for most callers"
	}
	return []Action{StateChange{Subject: string(c.cfg.DataCentre), Description: description, Cause: "retransmissions and probes"}}
}

// updateLostDataCentres updates which data centres the instance does not reach.
// unreachable is the number of unreachable servers.
func (c *Core) updateLostDataCentres(now time.Time, unreachable int) {
	if unreachable < readiness.MinLostServers {
		c.lost = nil
		return
	}
	evidence := c.evidence[:0]
	for r, srv := range c.serverStates {
		if r.AcceptsFlows(now) {
			evidence = append(evidence, readiness.ServerEvidence{DataCentre: r.DataCentre, LastReached: srv.reach.LastReached(), UnreachableSince: srv.reach.UnreachableSince()})
		}
	}
	c.evidence, c.lost = evidence, readiness.LostDataCentres(evidence)
}

// canReachService reports whether some server of the service may take new flows,
// is not known to be unreachable and is not in a lost data centre.
func (c *Core) canReachService(now time.Time, service string) bool {
	servers := c.services[service]
	return servers != nil && (slices.ContainsFunc(servers.local, func(srv *serverState) bool { return c.isUsable(now, srv) }) ||
		slices.ContainsFunc(servers.remote, func(srv *serverState) bool { return c.isUsable(now, srv) }))
}

// isUsable reports whether the server may take new flows, is not known to be
// unreachable and is not in a lost data centre.
func (c *Core) isUsable(now time.Time, srv *serverState) bool {
	state := srv.reach.State()
	return srv.record.AcceptsFlows(now) && !c.withdrawn.Withdrawn(srv.record.DataCentre) && !c.lost[srv.record.DataCentre] && state != reach.Unreachable && state != reach.Replaced
}
