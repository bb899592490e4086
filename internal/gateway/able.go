package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/reach"
	"cuminshift/internal/readiness"
)

func (c *Core) decayDemand() {
	if !c.able.CanServe() {
		// While the instance is withdrawn no callers come.
		return
	}
	for service := range c.demand {
		c.demand[service] *= demandDecay
	}
}

// demandDecay is the factor by which the memory of requests shrinks each tick:
// half of it is lost in 3.4 s.
const demandDecay = 0.98

// judge decides whether the instance can serve most of its callers.
func (c *Core) judge(now time.Time) []Action {
	demands := make([]readiness.Demand, 0, len(c.demand))
	for service, requests := range c.demand {
		demands = append(demands, readiness.Demand{Requests: requests, Reachable: c.reaches(now, service)})
	}
	if !c.able.Update(now, demands) {
		return nil
	}
	what := "instance reaches servers again"
	if !c.able.CanServe() {
		what = "instance reaches no servers for most callers"
	}
	return []Action{StateChange{Subject: string(c.cfg.DataCentre), Description: what, Cause: "flows and probes"}}
}

// reaches reports whether a server of the service may take new flows and is
// not known to be out of reach.
func (c *Core) reaches(now time.Time, service string) bool {
	all := c.services[service]
	return all != nil && (slices.ContainsFunc(all.local, func(b *backend) bool { return c.usable(now, b) }) ||
		slices.ContainsFunc(all.remote, func(b *backend) bool { return c.usable(now, b) }))
}

func (c *Core) usable(now time.Time, b *backend) bool {
	state := b.reach.State()
	return b.record.AcceptsFlows(now) && !c.withdrawn[b.record.DataCentre] && state != reach.Unreachable && state != reach.Replaced
}
