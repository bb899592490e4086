package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
)

// Packet decides about one packet of a caller. Actions follow when the packet
// is evidence about its server.
func (c *Core) HandlePacket(now time.Time, s *flow.Segment) (Verdict, []Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded() {
		return Verdict{Reason: NotLoaded}, nil
	}
	if s.Opening {
		return c.opening(now, s)
	}
	return c.following(now, s)
}

// opening decides about a request to open a flow or a copy of it.
func (c *Core) opening(now time.Time, s *flow.Segment) (Verdict, []Action) {
	route := c.routes.Current().Route(s.Key.Service())
	if route == nil {
		return c.refuse(now, s, NoRoute, source.Configuration), nil
	}
	t := c.flows[s.Key]
	if t != nil && t.Opened && s.RetransmitCount == 0 {
		// The caller uses the port again.
		c.drop(t)
		t = nil
	}
	if t == nil {
		t = &tracked{key: s.Key}
	}
	o := t.Observe(now, s)
	v := Verdict{Opening: true}
	if o.Retransmit {
		v = Verdict{RetransmitAfter: now.Sub(o.FirstSentAt)}
	}
	old := t.backend
	var actions []Action
	if old != nil {
		if !o.Retransmit || c.keeps(now, t, route) {
			return c.forward(t, v), c.evidence(now, old, o)
		}
		// Detached, so that it is not given up with the server's other flows.
		c.detach(t)
		actions = c.evidence(now, old, o)
	} else {
		actions = c.doubtRecent(now, s.Key)
	}
	b := c.choose(now, s, route, old)
	if b == nil {
		c.drop(t)
		v = c.refuse(now, s, NoServer, source.Registry)
		v.Service = route.Pick(s.Key.Hash())
		return v, actions
	}
	c.flows[s.Key] = t
	c.attach(t, b)
	c.recent.add(t)
	if c.cold(now, b.record) {
		b.cold.Record(now)
	}
	if old != nil && old != b {
		v.Reason = Repeated
	}
	return c.forward(t, v), actions
}

// refuse answers with a reset when the knowledge behind it is current, and
// with silence when it may be old.
func (c *Core) refuse(now time.Time, s *flow.Segment, reason Reason, kind source.Kind) Verdict {
	v := Verdict{Kind: Reset, Ack: s.Ack, Reason: reason, Version: c.routes.Current().Version, Age: c.age(now, kind)}
	if !c.fresh(now, kind) {
		v.Kind, v.Reason = Drop, NotFresh
	}
	return v
}

// following decides about a packet of a flow that was opened before. The first
// such packet says which server the caller has accepted. Later ones may carry
// the token of another server that got a copy of the opening.
func (c *Core) following(now time.Time, s *flow.Segment) (Verdict, []Action) {
	t := c.flows[s.Key]
	takenOver := false
	if t == nil || t.backend == nil || (!t.Opened && s.Token != token.None && !c.names(s.Token, t.backend)) {
		found, reason := c.resolve(s)
		if found == nil {
			if reason == UnknownToken {
				return Verdict{Reason: reason}, c.doubtToken(now, s)
			}
			return Verdict{Reason: reason}, nil
		}
		if t == nil {
			t = &tracked{key: s.Key}
			c.flows[s.Key] = t
			takenOver = true
		}
		c.attach(t, found)
	}
	b := t.backend
	busy := t.Waiting
	var v Verdict
	if !t.Opened && !t.OpeningAt.IsZero() {
		v.Opened = now.Sub(t.OpeningAt)
	}
	since := t.WaitingSince
	o := t.Observe(now, s)
	route := c.routes.Current().Route(s.Key.Service())
	if o.Answered {
		v.Answered = now.Sub(since)
		v.Late = route != nil && route.AnswerWithin > 0 && v.Answered > route.AnswerWithin
	}
	if o.Retransmit {
		v.RetransmitAfter = now.Sub(o.FirstSentAt)
	}
	c.count(t, busy)
	actions := c.evidence(now, b, o)
	if takenOver && s.Length > 0 {
		actions = append(actions, c.doubtTakenOver(now, b)...)
	}
	if s.Reset {
		v = c.forward(t, v)
		c.drop(t)
		return v, actions
	}
	if route == nil && c.fresh(now, source.Configuration) {
		c.drop(t)
		return c.refuse(now, s, RouteDropped, source.Configuration), actions
	}
	if b.reach.ConfirmedDown() && !t.closing {
		c.drop(t)
		return Verdict{Kind: Reset, Ack: s.Ack, Reason: ServerLost, Service: b.record.Service}, actions
	}
	if s.Final {
		v.Closed = !t.closing
		c.close(t)
	}
	return c.forward(t, v), actions
}

// resolve finds the server that a packet's token names. Among servers that
// share the token, one that the flow's route leads to is meant.
func (c *Core) resolve(s *flow.Segment) (*backend, Reason) {
	if s.Token == token.None {
		return nil, NoToken
	}
	owners := c.tokens.Lookup(s.Token)
	if len(owners) == 0 {
		return nil, UnknownToken
	}
	if len(owners) == 1 {
		return owners[0], ReasonNone
	}
	route := c.routes.Current().Route(s.Key.Service())
	for _, b := range owners {
		if route == nil || route.Includes(b.record.Service) {
			return b, ReasonNone
		}
	}
	return nil, WrongService
}

// names reports whether the token is one of the server's.
func (c *Core) names(t token.Token, b *backend) bool {
	for _, owner := range c.tokens.Lookup(t) {
		if owner == b {
			return true
		}
	}
	return false
}

func (c *Core) forward(t *tracked, v Verdict) Verdict {
	v.Kind = Forward
	v.Server = t.backend.record
	v.Service = v.Server.Service
	v.Token = c.tokens.TokenFor(t.backend.record.Name)
	return v
}

// count keeps the server's number of waiting flows.
func (c *Core) count(t *tracked, before bool) {
	if t.closing || t.Waiting == before {
		return
	}
	if t.Waiting {
		t.backend.busy++
		c.demand[t.backend.record.Service]++
	} else {
		t.backend.busy--
	}
}

// close notes that the caller has ended its half.
func (c *Core) close(t *tracked) {
	if t.closing {
		return
	}
	b := t.backend
	c.detach(t)
	t.closing, t.backend = true, b
}
