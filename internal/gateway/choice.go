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

// keeps reports whether a copy of an opening goes to the server of the first
// copy: the server still takes new flows and has answered a caller since.
func (c *Core) keeps(now time.Time, t *tracked, route *routing.Route) bool {
	r := t.backend.record
	return r.AcceptsFlows(now) && !c.withdrawn[r.DataCentre] && route.Includes(r.Service) && t.backend.reach.LastProgress().After(t.OpeningAt)
}

// choose returns the server for a new flow, or nil. The service that the
// weights name comes first; the others of the route stand in for it. avoid is
// the server of an earlier copy.
func (c *Core) choose(now time.Time, s *flow.Segment, route *routing.Route, avoid *backend) *backend {
	first := route.Pick(s.Key.Hash())
	if !c.reaches(now, first) {
		// No request will show the demand.
		c.demand[first]++
	}
	if b := c.chooseOf(now, s, first, avoid); b != nil {
		return b
	}
	for _, share := range route.Shares {
		if share.Service != first && share.Weight > 0 {
			if b := c.chooseOf(now, s, share.Service, avoid); b != nil {
				return b
			}
		}
	}
	return nil
}

// chooseOf returns the server of one service for a new flow, or nil. In a large
// data centre a sample of its servers is looked at first.
func (c *Core) chooseOf(now time.Time, s *flow.Segment, service string, avoid *backend) *backend {
	all := c.services[service]
	if all == nil {
		return nil
	}
	o := newFlow{now: now, hash: s.Key.Hash(), avoid: avoid,
		coldLimit: coldstart.Limit(c.routes.Current().Services[service].ColdOpenings, c.cfg.ColdSlack, c.cfg.Instances, c.cfg.Rank)}
	if n := len(all.local); selection.Sampled(n) {
		c.resetCandidates()
		for at := range selection.Sample(uint64(o.hash), n) {
			c.candidate(&o, all.local[at])
		}
		if i := selection.Choose(c.candidates); i != selection.None && c.candidates[i].Unpenalized() {
			return c.choices[i]
		}
	}
	c.resetCandidates()
	for _, b := range all.local {
		c.candidate(&o, b)
	}
	for _, b := range all.remote {
		c.candidate(&o, b)
	}
	if i := selection.Choose(c.candidates); i != selection.None {
		return c.choices[i]
	}
	return nil
}

func (c *Core) resetCandidates() {
	c.candidates, c.choices = c.candidates[:0], c.choices[:0]
}

// candidate adds a server to the candidates if it takes new flows.
func (c *Core) candidate(o *newFlow, b *backend) {
	r := b.record
	if !r.AcceptsFlows(o.now) || c.withdrawn[r.DataCentre] {
		return
	}
	state := b.reach.State()
	if (b == o.avoid || slices.Contains(c.doubted, b)) && state == reach.Reachable {
		state = reach.Suspect
	}
	cold := c.cold(o.now, r)
	c.candidates = append(c.candidates, selection.Candidate{
		Local:         r.DataCentre == c.cfg.DataCentre,
		Reach:         state,
		Cold:          cold,
		ColdQuotaLeft: !cold || b.cold.Allows(o.now, o.coldLimit),
		Flows:         len(b.open),
		InFlight:      b.busy,
		Slots:         r.Slots,
		TieBreak:      selection.TieBreak(uint64(o.hash), b.seed),
	})
	c.choices = append(c.choices, b)
}

// newFlow is what the choice for one new flow depends on.
type newFlow struct {
	now       time.Time
	hash      model.FlowHash
	avoid     *backend
	coldLimit int
}
