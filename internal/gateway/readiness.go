package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/reach"
	"cuminshift/internal/readiness"
)

func (c *Core) decayDemand() {
	if !c.serving.CanServe() {
		// While the instance is withdrawn no callers come.
		return
	}
	for service := range c.demand {
		c.demand[service] *= demandDecayPerTick
	}
}

// demandDecay is the factor by which the memory of requests shrinks each tick:
// half of it is lost in 3.4 s.
const demandDecayPerTick = 0.98

// judge decides whether the instance can serve most of its callers.
func (c *Core) updateServing(now time.Time) []Action {
	demands := make([]readiness.Demand, 0, len(c.demand))
	for service, requests := range c.demand {
		demands = append(demands, readiness.Demand{Requests: requests, Reachable: c.canReachService(now, service)})
	}
	if !c.serving.Update(now, demands) {
		return nil
	}
	description := "instance reaches servers again"
	if !c.serving.CanServe() {
		description = "instance reaches no servers for most callers"
	}
	return []Action{StateChange{Subject: string(c.cfg.DataCentre), Description: description, Cause: "flows and probes"}}
}

// reaches reports whether a server of the service may take new flows and is
// not known to be out of reach.
func (c *Core) canReachService(now time.Time, service string) bool {
	servers := c.services[service]
	return servers != nil && (slices.ContainsFunc(servers.local, func(srv *serverState) bool { return c.isUsable(now, srv) }) ||
		slices.ContainsFunc(servers.remote, func(srv *serverState) bool { return c.isUsable(now, srv) }))
}

func (c *Core) isUsable(now time.Time, srv *serverState) bool {
	state := srv.reach.State()
	return srv.record.AcceptsFlows(now) && !c.withdrawn[srv.record.DataCentre] && state != reach.Unreachable && state != reach.Replaced
}
