package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
)

// HandlePacket decides on one packet of a caller. It also returns the actions
// that follow from what the packet shows about servers.
func (c *Core) HandlePacket(now time.Time, s *flow.Segment) (Verdict, []Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link.countReceived(now, s)
	if !c.loaded() {
		return Verdict{Reason: NotLoaded}, nil
	}
	var v Verdict
	var actions []Action
	if s.Opening {
		v, actions = c.handleOpening(now, s)
	} else {
		v, actions = c.handleFollowing(now, s)
	}
	c.link.countSent(now, s, v.Kind)
	return v, actions
}

// handleOpening decides on an opening, the first transmission or a later one.
func (c *Core) handleOpening(now time.Time, s *flow.Segment) (Verdict, []Action) {
	route := c.routes.Current().Route(s.Key.Service())
	if route == nil {
		return c.refuse(now, s, NoRoute, source.Configuration), nil
	}
	// A late duplicate of the first transmission looks like the opening of a new flow, and
	// a reset would end the flow that is open.
	known := c.flows[s.Key]
	duplicate := known != nil && !known.callerClosed && now.Sub(known.openedAround()) <= openingWindow
	f := c.flowOfOpening(now, s)
	var a admission
	if f.serverState == nil && !duplicate {
		var reason Reason
		if a, reason = c.admitOpening(now, s, route); reason != ReasonNone {
			return c.refuseForLoad(now, s, route, reason), nil
		}
	}
	observation := f.Observe(now, s)
	v := Verdict{NewOpening: true}
	if observation.Retransmit {
		if f.serverState == nil || f.serverState.reach.LastProgress().After(observation.FirstSeenAt) {
			c.link.countRetransmit(now)
		}
		v = Verdict{RetransmitAfter: now.Sub(observation.FirstSeenAt)}
	}
	previous := f.serverState
	c.suspects = c.suspects[:0]
	var actions []Action
	if previous != nil {
		if !f.Established {
			// Recorded after the choice: whether this flow avoids the server depends
			// on the server's answers to other callers.
			defer previous.load.RecordUnanswered(now)
		}
		if f.Established || c.keepsServer(now, f, route) {
			c.link.observeOpening(now, f)
			return c.forward(f, v), c.applyObservation(now, previous, observation)
		}
		// The flow is detached so that it is not reset together with the
		// server's other flows.
		c.detach(f)
		actions = c.applyObservation(now, previous, observation)
	} else {
		actions = c.suspectUnanswered(now, s.Key)
	}
	srv := c.chooseServer(now, s, route, previous, a)
	if srv == nil {
		c.untrack(f)
		if a.overflow {
			return c.refuseForLoad(now, s, route, Overloaded), actions
		}
		v = c.refuse(now, s, NoServer, source.Registry)
		v.Service = route.Pick(s.Key.Hash())
		return v, actions
	}
	c.flows[s.Key] = f
	c.attach(f, srv)
	c.recentFlows.add(f)
	delete(c.refusedOpenings, s.Key)
	c.link.observeOpening(now, f)
	v.Spilled = a.dataCentre != "" && srv.record.DataCentre == a.dataCentre
	if c.isCold(now, srv.record) {
		srv.coldOpenings.Record(now)
	}
	if previous != nil && previous != srv {
		v.Reason = OpeningRerouted
	}
	return c.forward(f, v), actions
}

// refuseForLoad returns the verdict on an opening that is refused because of the load.
func (c *Core) refuseForLoad(now time.Time, s *flow.Segment, route *routing.Route, reason Reason) Verdict {
	c.refusedOpenings.add(now, s.Key, reason)
	return Verdict{Kind: Reset, Ack: s.Ack, Reason: reason, Service: route.Pick(s.Key.Hash())}
}

// flowOfOpening returns the flow that a transmission of an opening belongs to. The first
// transmission belongs to a new flow, also if its caller has used the port before: that
// caller may have given up the earlier flow without a packet that shows it. So does a
// retransmission after the time in which callers repeat openings.
func (c *Core) flowOfOpening(now time.Time, s *flow.Segment) *trackedFlow {
	f := c.flows[s.Key]
	if f != nil && s.RetransmitCount > 0 && now.Sub(f.openedAround()) <= openingWindow {
		return f
	}
	if f != nil {
		c.untrack(f)
	}
	return &trackedFlow{key: s.Key}
}

// openedAround returns the time of the opening, or that of the last packet if another
// instance forwarded the opening.
func (f *trackedFlow) openedAround() time.Time {
	if f.OpeningAt.IsZero() {
		return f.LastSeen
	}
	return f.OpeningAt
}

// refuse returns a reset if the information behind the refusal is current, and
// drops the packet silently if it may be outdated.
func (c *Core) refuse(now time.Time, s *flow.Segment, reason Reason, kind source.Kind) Verdict {
	v := Verdict{Kind: Reset, Ack: s.Ack, Reason: reason, Version: c.routes.Current().Version, Age: c.age(now, kind)}
	if !c.fresh(now, kind) {
		v.Kind, v.Reason = Drop, NotFresh
	}
	return v
}

// handleFollowing decides on a packet after the opening of a flow. The first
// such packet shows which server the caller has accepted. Later packets may
// carry the token of another server that received a retransmission of the
// opening.
func (c *Core) handleFollowing(now time.Time, s *flow.Segment) (Verdict, []Action) {
	f := c.flows[s.Key]
	takenOver := false
	if f == nil || f.serverState == nil || (!f.Established && s.Token != token.None && !c.mayName(s.Token, f.serverState)) {
		owner, reason := c.resolveToken(s)
		if owner == nil {
			if reason == UnknownToken {
				return Verdict{Reason: reason}, c.recordUnknownToken(now, s)
			}
			return Verdict{Reason: reason}, nil
		}
		if f == nil {
			f = &trackedFlow{key: s.Key}
			c.flows[s.Key] = f
			c.link.addTakenOver(f)
			takenOver = true
		}
		c.attach(f, owner)
	}
	srv := f.serverState
	wasWaiting := f.Waiting
	var v Verdict
	if !f.Established && !f.OpeningAt.IsZero() {
		v.OpenTime = now.Sub(f.OpeningAt)
	}
	waitingSince, previousAck := f.WaitingSince, f.Ack
	seenBefore := f.Established || !f.OpeningAt.IsZero()
	observation := f.Observe(now, s)
	route := c.routes.Current().Route(s.Key.Service())
	if observation.Answered {
		v.AnswerTime = now.Sub(waitingSince)
		v.Late = route != nil && route.AnswerWithin > 0 && v.AnswerTime > route.AnswerWithin
	}
	if observation.Retransmit {
		v.RetransmitAfter = now.Sub(observation.FirstSeenAt)
		if srv.reach.LastProgress().After(observation.FirstSeenAt) {
			// Retransmissions to a server that answers nobody show no full link.
			c.link.countRetransmit(now)
		}
	}
	if observation.Answered {
		v.RefusedByServer = c.recordResponse(now, f, f.Ack-previousAck, v.AnswerTime)
	}
	switch {
	case observation.RequestStarted:
		f.requestSeen, f.unanswered = seenBefore, false
	case f.Waiting && (observation.Retransmit || s.Reset):
		f.recordUnanswered(now)
	}
	c.updateInFlight(f, wasWaiting)
	c.link.observe(now, f, s, &observation)
	actions := c.applyObservation(now, srv, observation)
	if takenOver && s.Length > 0 {
		actions = append(actions, c.suspectTakenOver(now, srv)...)
	}
	if s.Reset {
		v = c.forward(f, v)
		c.untrack(f)
		return v, actions
	}
	if route == nil && c.fresh(now, source.Configuration) {
		c.untrack(f)
		return c.refuse(now, s, RouteRemoved, source.Configuration), actions
	}
	if srv.reach.ConfirmedDown() && !f.callerClosed {
		c.untrack(f)
		return Verdict{Kind: Reset, Ack: s.Ack, Reason: ServerLost, Service: srv.record.Service}, actions
	}
	if s.Final {
		v.Closed = !f.callerClosed
		c.markCallerClosed(f)
	}
	return c.forward(f, v), actions
}

// resolveToken returns the server that a packet's token names, or nil and the
// reason.
func (c *Core) resolveToken(s *flow.Segment) (*serverState, Reason) {
	if s.Token == token.None {
		return nil, NoToken
	}
	if owner, ok := c.tokens.Owner(s.Token); ok {
		return owner, ReasonNone
	}
	shared := c.tokens.Shared(s.Token)
	if len(shared) == 0 {
		return nil, UnknownToken
	}
	return c.onlyServerOfRoute(s, shared)
}

// onlyServerOfRoute returns the one server that belongs to a service of the flow's route,
// among servers that share the flow's token and whose order of start is not known. A
// server that does not hold the flow would reset it, so none of several is chosen.
func (c *Core) onlyServerOfRoute(s *flow.Segment, shared []*serverState) (*serverState, Reason) {
	var only *serverState
	if route := c.routes.Current().Route(s.Key.Service()); route != nil {
		for _, srv := range shared {
			switch {
			case !route.Includes(srv.record.Service):
			case only != nil:
				return nil, AmbiguousToken
			default:
				only = srv
			}
		}
	}
	if only == nil {
		return nil, AmbiguousToken
	}
	return only, ReasonNone
}

// mayName reports whether a token names the server, or may do so because it is not known
// which of the servers that share it started first.
func (c *Core) mayName(t token.Token, srv *serverState) bool {
	if owner, ok := c.tokens.Owner(t); ok {
		return owner == srv
	}
	return slices.Contains(c.tokens.Shared(t), srv)
}

// forward completes a verdict that forwards the packet to the flow's server.
func (c *Core) forward(f *trackedFlow, v Verdict) Verdict {
	v.Kind = Forward
	v.Server = f.serverState.record.Entry
	v.Service = v.Server.Service
	v.Token = c.tokens.TokenFor(f.serverState.record.Name, f.serverState)
	return v
}

// updateInFlight updates the server's number of requests in flight after a
// packet of the flow; wasWaiting is whether the flow waited before it.
func (c *Core) updateInFlight(f *trackedFlow, wasWaiting bool) {
	if f.callerClosed || f.Waiting == wasWaiting {
		return
	}
	if f.Waiting {
		f.serverState.inFlight++
		c.demand[f.serverState.record.Service]++
	} else {
		f.serverState.inFlight--
	}
}

// markCallerClosed records that the caller has ended its half of the flow.
func (c *Core) markCallerClosed(f *trackedFlow) {
	if f.callerClosed {
		return
	}
	srv := f.serverState
	c.link.endTransfer(f)
	c.detach(f)
	f.callerClosed, f.serverState = true, srv
}
