package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/coldstart"
	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/routing"
	"cuminshift/internal/selection"
)

// keepsServer reports whether a retransmitted opening goes to the same server
// as the one before: the server still takes new flows and has answered a caller
// since the opening.
func (c *Core) keepsServer(now time.Time, f *trackedFlow, route *routing.Route) bool {
	r := f.serverState.record
	return r.AcceptsFlows(now) && !c.withdrawn.Withdrawn(r.DataCentre) && route.Includes(r.Service) && f.serverState.reach.LastProgress().After(f.OpeningAt)
}

// chooseServer returns the server for a new flow, or nil. The service selected
// by the route's weights comes first; the other services of the route are the
// fallback. previous is the server of an earlier transmission of the opening, or
// nil. A server in the data centre of the admission goes first.
func (c *Core) chooseServer(now time.Time, s *flow.Segment, route *routing.Route, previous *serverState, a admission) *serverState {
	preferred := route.Pick(s.Key.Hash())
	if a.dataCentre != "" {
		if srv := c.chooseFromDataCentre(now, s, preferred, a.dataCentre); srv != nil || a.overflow {
			return srv
		}
	}
	if !c.canReachService(now, preferred) {
		// No flow is opened that could show the demand by its requests.
		c.demand[preferred]++
	}
	if srv := c.chooseFromService(now, s, preferred, previous); srv != nil {
		return srv
	}
	for _, share := range route.Shares {
		if share.Service != preferred && share.Weight > 0 {
			if srv := c.chooseFromService(now, s, share.Service, previous); srv != nil {
				return srv
			}
		}
	}
	return nil
}

// chooseFromService returns a server of one service for a new flow, or nil. In
// a large data centre, a sample of its servers is tried first.
func (c *Core) chooseFromService(now time.Time, s *flow.Segment, service string, avoid *serverState) *serverState {
	servers := c.services[service]
	if servers == nil {
		return nil
	}
	params := openingParams{now: now, hash: s.Key.Hash(), avoid: avoid,
		coldLimit: coldstart.Limit(c.routes.Current().Services[service].ColdOpenings, c.cfg.ColdSlack, c.cfg.Instances, c.cfg.Rank)}
	if n := len(servers.local); selection.Sampled(n) {
		c.resetCandidates()
		for i := range selection.Sample(uint64(params.hash), n) {
			c.addCandidate(&params, servers.local[i])
		}
		if i := selection.Choose(c.candidates); i != selection.None && c.candidates[i].Unpenalized() {
			return c.candidateServers[i]
		}
	}
	c.resetCandidates()
	for _, srv := range servers.local {
		c.addCandidate(&params, srv)
	}
	for _, srv := range servers.remote {
		c.addCandidate(&params, srv)
	}
	if i := selection.Choose(c.candidates); i != selection.None {
		return c.candidateServers[i]
	}
	return nil
}

// chooseFromDataCentre returns a reachable server of a service in another data centre, or
// nil if that has none that is reachable and not cold.
func (c *Core) chooseFromDataCentre(now time.Time, s *flow.Segment, service string, dc model.DataCentre) *serverState {
	servers := c.services[service]
	if servers == nil || c.lost[dc] {
		return nil
	}
	params := openingParams{now: now, hash: s.Key.Hash()}
	inDC := servers.byDataCentre[dc]
	c.resetCandidates()
	for i := range selection.Sample(uint64(params.hash), len(inDC)) {
		c.addCandidate(&params, inDC[i])
	}
	if i := selection.Choose(c.candidates); i != selection.None && c.candidates[i].Reach == reach.Reachable {
		return c.candidateServers[i]
	}
	return nil
}

func (c *Core) resetCandidates() {
	c.candidates, c.candidateServers = c.candidates[:0], c.candidateServers[:0]
}

// addCandidate adds a server to the candidates if it takes new flows.
func (c *Core) addCandidate(params *openingParams, srv *serverState) {
	r := srv.record
	if !r.AcceptsFlows(params.now) || c.withdrawn.Withdrawn(r.DataCentre) {
		return
	}
	state := srv.reach.State()
	if state == reach.Reachable && (srv == params.avoid || slices.Contains(c.suspects, srv) || c.isFailing(params.now, srv)) {
		state = reach.Suspect
	}
	coldStart := c.isCold(params.now, r)
	c.candidates = append(c.candidates, selection.Candidate{
		Local:         r.DataCentre == c.cfg.DataCentre,
		Reach:         state,
		Cold:          coldStart,
		ColdQuotaLeft: !coldStart || srv.coldOpenings.Allows(params.now, params.coldLimit),
		Flows:         len(srv.openFlows),
		InFlight:      srv.inFlight,
		Slots:         r.Slots,
		Speed:         srv.load.Speed(params.now, srv.serviceLoad.MedianAnswer()),
		Refusing:      srv.load.RefusedWithin(params.now, refusalWindow),
		TieBreak:      selection.TieBreak(uint64(params.hash), srv.nameHash),
	})
	c.candidateServers = append(c.candidateServers, srv)
}

// isFailing reports whether the server refuses or fails far more requests than the others
// of its service.
func (c *Core) isFailing(now time.Time, srv *serverState) bool {
	if !srv.load.Refuses() {
		return false
	}
	refused, _ := srv.serviceLoad.RefusedFraction(now)
	return srv.load.Failing(now, refused)
}

// openingParams holds what the choice of the server for one new flow depends
// on.
type openingParams struct {
	now       time.Time
	hash      model.FlowHash
	avoid     *serverState
	coldLimit int
}
