package entry

import (
	"net/netip"
	"time"

	"cuminshift/internal/burn"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/limits"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
	"cuminshift/internal/serverhealth"
	"cuminshift/internal/steering"
)

// heldPacket is a caller's packet between its arrival and the decision.
type heldPacket struct {
	at     time.Time
	data   []byte
	packet packet.Packet
	key    flowtable.Key
	caller *model.Caller
	use    model.Use
	// server is the flow's server, once steering has named it.
	server model.ServerID
	// known is set for an opening whose flow this instance knows already.
	known bool
	// counted is set when the limits count the opening or request.
	counted bool
}

// limited reports whether the limits count the running flows or requests that
// the packet starts; only then must they be told of the end.
func (h *heldPacket) limited() bool {
	if h.packet.Kind == pb.Kind_KIND_OPEN {
		return h.use.ConcurrentFlows > 0
	}
	return h.use.ConcurrentRequests > 0
}

// fromCaller takes a datagram of the fabric or of another data centre.
func (c *Core) fromCaller(now time.Time, data []byte) {
	c.counts.add(countSlowCaller)
	h := &heldPacket{at: now, data: data}
	if err := h.packet.Decode(data); err != nil || !fromCallerKind(h.packet.Kind) {
		c.counts.add(countMalformed)
		return
	}
	if c.catalog == nil {
		c.refuse(now, h, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	if c.stale(now) {
		c.counts.add(countStale)
		c.refuse(now, h, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	site := c.catalog.Sites[h.packet.Service]
	if site == nil {
		c.counts.add(countUnknownAddress)
		c.refuse(now, h, pb.Reason_REASON_NO_SERVER)
		return
	}
	h.key = flowtable.Key{Service: site.Service.ID, Flow: h.packet.Flow()}
	if site.DataCentre != c.cfg.DataCentre {
		c.relay(now, h, site.DataCentre)
		return
	}
	if c.outOfService() {
		c.refuse(now, h, pb.Reason_REASON_DATA_CENTRE_OUT)
		return
	}
	allowed := false
	h.caller = c.catalog.CallerOf(h.packet.Caller.Addr())
	if h.use, allowed = c.catalog.Allows(h.caller, h.key.Service); !allowed {
		c.endFlow(now, h.key, "not in plan")
		c.refuse(now, h, pb.Reason_REASON_NOT_IN_PLAN)
		return
	}
	c.admit(now, h)
}

func fromCallerKind(k pb.Kind) bool {
	switch k {
	case pb.Kind_KIND_OPEN, pb.Kind_KIND_DATA, pb.Kind_KIND_CLOSE, pb.Kind_KIND_REQUEST, pb.Kind_KIND_CANCEL:
		return true
	}
	return false
}

func (c *Core) outOfService() bool {
	return c.catalog.DataCentres[c.cfg.DataCentre].Out
}

// relay passes a packet to the data centre that its address belongs to. A
// relayed packet is never relayed again, so that two instances with different
// configurations cannot send it back and forth.
func (c *Core) relay(now time.Time, h *heldPacket, dc model.DataCentre) {
	c.relays++
	to, ok := c.directory.relayTo(dc, c.relays)
	if h.packet.Relayed || !ok {
		c.counts.add(countRelayRefused)
		c.refuse(now, h, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.counts.add(countRelayed)
	c.act(Relay{Address: to, Data: packet.AppendBool(h.data, packet.FieldRelayed, true)})
}

// admit checks the limits of an opening and goes on to steering. Requests are
// counted when they start, not when a copy arrives.
func (c *Core) admit(now time.Time, h *heldPacket) {
	if h.packet.Kind != pb.Kind_KIND_OPEN {
		c.steer(now, h)
		return
	}
	if _, known := c.flows.Peek(h.key.Service, h.key.Flow); known {
		h.known = true
		c.steer(now, h)
		return
	}
	c.counts.add(countOpenings)
	c.applyDecision(now, h, c.limits.Open(now, h.caller.Name, h.key.Service, h.use))
}

// applyDecision continues a packet after the limits have answered.
func (c *Core) applyDecision(now time.Time, h *heldPacket, d limits.Decision) {
	switch d.Verdict {
	case limits.Allowed:
		h.counted = h.limited()
		c.continueAllowed(now, h)
	case limits.Refused:
		c.refuse(now, h, d.Reason)
	case limits.Asked:
		if !c.hold(now, d.ID|limitToken, h) {
			return
		}
		c.post(d.Message)
	}
}

// continueAllowed goes on with a packet that the limits have allowed.
func (c *Core) continueAllowed(now time.Time, h *heldPacket) {
	if h.packet.Kind == pb.Kind_KIND_REQUEST {
		c.startRequest(now, h)
		return
	}
	c.steer(now, h)
}

// limitToken marks the tokens of packets that wait for the limits.
const limitToken = 1 << 63

func (c *Core) hold(now time.Time, token uint64, h *heldPacket) bool {
	if len(c.held) >= maxHeld {
		c.counts.add(countHeldFull)
		c.refuse(now, h, pb.Reason_REASON_OVERLOAD)
		return false
	}
	c.held[token] = h
	return true
}

// steer asks steering for the server of the packet's flow.
func (c *Core) steer(now time.Time, h *heldPacket) {
	c.nextToken++
	token := c.nextToken
	if !c.hold(now, token, h) {
		return
	}
	c.steerActions(now, c.steering.Packet(now, steering.Packet{
		Service:     h.key.Service,
		Flow:        h.key.Flow,
		Opening:     h.packet.Kind == pb.Kind_KIND_OPEN,
		PlanVersion: c.catalog.Version,
		Token:       token,
	}))
}

func (c *Core) steerActions(now time.Time, actions []steering.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case steering.Send:
			c.post(a.Message)
		case steering.Forward:
			if h := c.release(a.Token); h != nil {
				c.forward(now, h, a.Server)
			}
		case steering.Refuse:
			if h := c.release(a.Token); h != nil {
				c.refuse(now, h, a.Reason)
			}
		case steering.Drop:
			if h := c.release(a.Token); h != nil {
				c.uncount(now, h)
			}
		case steering.Ended:
			c.flowEnded(now, flowtable.Key{Service: a.Service, Flow: a.Flow})
		}
	}
}

func (c *Core) release(token uint64) *heldPacket {
	h := c.held[token]
	delete(c.held, token)
	return h
}

// forward sends a packet to the server that steering named.
func (c *Core) forward(now time.Time, h *heldPacket, id model.ServerID) {
	server := c.catalog.Servers[id]
	if server == nil || server.Service != h.key.Service || server.DataCentre != c.cfg.DataCentre {
		c.counts.add(countCrossService)
		c.endFlow(now, h.key, "server left the service")
		c.refuse(now, h, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.flows.SetPlanVersion(h.key.Service, h.key.Flow, c.catalog.Version)
	switch h.packet.Kind {
	case pb.Kind_KIND_OPEN:
		c.forwardOpening(now, h, server)
	case pb.Kind_KIND_REQUEST:
		c.requestToServer(now, h, server)
	case pb.Kind_KIND_CANCEL:
		c.cancel(now, h, server)
	case pb.Kind_KIND_CLOSE:
		c.toServer(h, server)
		c.burn.Good(now, h.key.Service, burn.BrokenFlows, 1)
		c.observeEnd(now, h.key, server.ID)
		c.closeFlow(now, h.key, h.use)
	default:
		c.toServer(h, server)
	}
}

func (c *Core) toServer(h *heldPacket, server *model.BackendServer) {
	c.act(SendToServer{Server: server.ID, Address: server.Address, Path: pathOf(h.key.Flow), Data: h.data})
}

// forwardOpening sends an opening. Steering has asked mayOpen about a new
// flow; a copy of an opening that is under way counts as well, and is dropped
// where the server does not bear it: refusing it would be untrue.
func (c *Core) forwardOpening(now time.Time, h *heldPacket, server *model.BackendServer) {
	c.openings.start(now, h, server.ID)
	if h.known && !c.mayOpen(now, server.ID) {
		c.uncount(now, h)
		return
	}
	c.health.Observe(now, server.ID, pathOf(h.key.Flow), serverhealth.Observation{Kind: serverhealth.Sent})
	c.toServer(h, server)
}

// mayOpen reports whether this instance's share of what a server in cold start
// bears allows another opening.
func (c *Core) mayOpen(now time.Time, id model.ServerID) bool {
	instances, rank := c.knownInstances(now)
	return c.health.OpeningAllowed(now, id, instances, rank)
}

// refuse answers an opening or a request that was not passed to a server.
// Data and close packets of refused flows are answered too, so that the
// caller opens again instead of waiting.
func (c *Core) refuse(now time.Time, h *heldPacket, reason pb.Reason) {
	c.uncount(now, h)
	c.counts.add(countRefusals)
	if h.packet.Kind == pb.Kind_KIND_OPEN || h.packet.Kind == pb.Kind_KIND_REQUEST {
		c.burn.Bad(now, h.key.Service, burn.Refused, reason.String())
		c.journal.Add(now, "refuse", "refused "+h.packet.Kind.String(), reason.String())
	}
	if h.packet.Kind == pb.Kind_KIND_CANCEL || !h.packet.Caller.IsValid() {
		return
	}
	if reason == pb.Reason_REASON_INSTANCE_NOT_READY && (h.packet.Kind == pb.Kind_KIND_DATA || h.packet.Kind == pb.Kind_KIND_CLOSE) {
		// The flow is fine; the caller's next copy reaches another instance.
		return
	}
	c.reply(h.packet.Caller, refusalOf(&h.packet, reason, c.refusedOutcome(now, h)))
}

// minRepeat is the shortest time after which a caller repeats a request. A
// refusal that is sent later may meet a copy that ran at another instance.
const minRepeat = 200 * time.Millisecond

// refusedOutcome returns what this instance can say of a packet that it does
// not pass on. An earlier or later copy of a request may have run at another
// instance; only the server's admitter knows. A packet may also have waited in
// the socket while the process was paused.
func (c *Core) refusedOutcome(now time.Time, h *heldPacket) pb.Outcome {
	late := now.Sub(h.at) >= minRepeat || c.paused(h.at)
	if h.packet.Kind == pb.Kind_KIND_REQUEST && (h.packet.CallerAttempt > 1 || late) {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_DID_NOT_RUN
}

// paused reports whether the process had not run for so long before the time
// that datagrams may have waited in its sockets.
func (c *Core) paused(at time.Time) bool {
	return at.Sub(c.ticked()) >= minRepeat
}

func refusalOf(p *packet.Packet, reason pb.Reason, outcome pb.Outcome) packet.Packet {
	return packet.Packet{
		Kind:          pb.Kind_KIND_REFUSAL,
		Caller:        p.Caller,
		Service:       p.Service,
		RequestID:     p.RequestID,
		CallerAttempt: p.CallerAttempt,
		Reason:        reason,
		Outcome:       outcome,
	}
}

func (c *Core) reply(to netip.AddrPort, p packet.Packet) {
	c.act(SendToCaller{Address: to, Data: p.Append(nil)})
}

// uncount gives back what the limits counted for a packet that goes no further.
func (c *Core) uncount(now time.Time, h *heldPacket) {
	if !h.counted {
		return
	}
	h.counted = false
	if h.packet.Kind == pb.Kind_KIND_OPEN {
		c.postAll(c.limits.CloseFlow(now, h.caller.Name, h.key.Service))
	} else {
		c.postAll(c.limits.EndRequest(now, h.caller.Name, h.key.Service))
	}
}

// fromServer takes a datagram from a server.
func (c *Core) fromServer(now time.Time, ev ServerPacket) {
	c.counts.add(countSlowServer)
	var p packet.Packet
	if err := p.Decode(ev.Data); err != nil {
		c.counts.add(countMalformed)
		return
	}
	s := c.fast.Load()
	server := s.servers[ev.From]
	if server == nil || s.out {
		c.counts.add(countUnknownServer)
		return
	}
	site := c.catalog.Sites[p.Service]
	if site == nil || site.Service.ID != server.Service {
		c.counts.add(countWrongService)
		return
	}
	use, allowed := c.catalog.Allows(c.catalog.CallerOf(p.Caller.Addr()), server.Service)
	if !allowed {
		c.counts.add(countNotInPlan)
		return
	}
	key := flowtable.Key{Service: server.Service, Flow: p.Flow()}
	switch p.Kind {
	case pb.Kind_KIND_ANSWER:
		c.answerFromServer(now, server, &p)
	case pb.Kind_KIND_REFUSAL:
		c.refusalFromServer(now, server, ev, key, &p)
	case pb.Kind_KIND_OPEN_ACK:
		c.openAck(now, server, ev.Path, key, &p)
		c.act(SendToCaller{Address: p.Caller, Data: ev.Data})
	case pb.Kind_KIND_DATA:
		c.learn(now, key, server.ID)
		c.act(SendToCaller{Address: p.Caller, Data: ev.Data})
	case pb.Kind_KIND_CLOSE:
		c.burn.Good(now, key.Service, burn.BrokenFlows, 1)
		c.observeEnd(now, key, server.ID)
		c.closeFlow(now, key, use)
		c.act(SendToCaller{Address: p.Caller, Data: ev.Data})
	default:
		c.counts.add(countMalformed)
	}
}

// learn pins a flow to the server that was seen answering it.
func (c *Core) learn(now time.Time, key flowtable.Key, server model.ServerID) {
	c.steerActions(now, c.steering.Answer(now, key.Service, key.Flow, server, c.catalog.Version))
}

func (c *Core) openAck(now time.Time, server *model.BackendServer, path int, key flowtable.Key, p *packet.Packet) {
	c.learn(now, key, server.ID)
	o := serverhealth.Observation{Kind: serverhealth.Answered, Cold: p.Cold}
	sent, first := c.openings.end(key)
	if first {
		c.counts.add(countOpenAcks)
		c.burn.Good(now, key.Service, burn.Refused, 1)
		c.health.Observe(now, server.ID, path, serverhealth.Observation{Kind: serverhealth.FlowOpened})
		c.trackFlow(key, sent.caller, sent.counted)
	}
	c.health.Observe(now, server.ID, path, o)
}

// refusalFromServer tells a refused request from a refused opening and from
// a flow that the server does not know.
func (c *Core) refusalFromServer(now time.Time, server *model.BackendServer, ev ServerPacket, key flowtable.Key, p *packet.Packet) {
	if p.RequestID != 0 {
		c.answerFromServer(now, server, p)
		return
	}
	c.health.Observe(now, server.ID, ev.Path, serverhealth.Observation{Kind: serverhealth.Refused, Reason: p.Reason, Cold: p.Cold})
	if sent, ok := c.openings.end(key); ok {
		if sent.counted {
			c.postAll(c.limits.CloseFlow(now, sent.caller, key.Service))
		}
		c.burn.Bad(now, key.Service, burn.Refused, p.Reason.String())
	} else if p.Reason == pb.Reason_REASON_UNKNOWN_FLOW {
		c.observeEnd(now, key, server.ID)
		c.burn.Bad(now, key.Service, burn.BrokenFlows, "server does not know the flow")
		c.journal.Add(now, "flow", "flow unknown at "+server.Name, "server lost it or it was steered elsewhere")
	}
	c.endFlow(now, key, "refused by server")
	c.act(SendToCaller{Address: p.Caller, Data: ev.Data})
}
