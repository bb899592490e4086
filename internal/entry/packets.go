package entry

import (
	"net/netip"
	"time"

	"cuminshift/internal/burn"
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
	flow   model.FlowID
	caller *model.Caller
	use    model.Use
	// server is the flow's server, for a request that waits for the limits.
	server model.ServerID
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
	h.flow = model.FlowID{Service: site.Service.ID, Flow: h.packet.Flow()}
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
	if h.use, allowed = c.catalog.Allows(h.caller, h.flow.Service); !allowed {
		if h.packet.Token != 0 {
			c.endFlow(now, h.flow, "not in plan")
		}
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

// admit checks the limits of an opening, or passes a packet of an open flow on.
// Requests are counted when they start, not when a copy arrives.
func (c *Core) admit(now time.Time, h *heldPacket) {
	if h.packet.Kind != pb.Kind_KIND_OPEN {
		c.toFlow(now, h)
		return
	}
	if c.openings.known(h.flow) {
		// A copy; the first one was counted.
		c.open(now, h)
		return
	}
	c.counts.add(countOpenings)
	c.applyDecision(now, h, c.limits.Open(now, h.caller.Name, h.flow.Service, h.use))
}

// applyDecision continues a packet after the limits have answered.
func (c *Core) applyDecision(now time.Time, h *heldPacket, d limits.Decision) {
	switch d.Verdict {
	case limits.Allowed:
		h.counted = h.limited()
		c.continueAllowed(now, h)
	case limits.Refused:
		c.refuse(now, h, d.Reason)
	case limits.Pending:
		if !c.hold(now, d.ID, h) {
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
	c.open(now, h)
}

func (c *Core) hold(now time.Time, id uint64, h *heldPacket) bool {
	if len(c.held) >= maxHeld {
		c.counts.add(countHeldFull)
		c.refuse(now, h, pb.Reason_REASON_OVERLOAD)
		return false
	}
	c.held[id] = h
	return true
}

func (c *Core) release(id uint64) *heldPacket {
	h := c.held[id]
	delete(c.held, id)
	return h
}

// open sends an opening to the server that steering chooses. A copy goes to the
// server of the first one, unless that does not answer.
func (c *Core) open(now time.Time, h *heldPacket) {
	if c.members.Fenced(now) {
		c.refuse(now, h, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	if sent, ok := c.openings.get(h.flow); ok && c.health.Condition(sent.server) != serverhealth.Silent {
		if !c.mayOpen(now, sent.server) {
			// The server bears no copy; refusing one would be untrue.
			c.uncount(now, h)
			return
		}
		c.forwardOpening(now, h, sent.server)
		return
	}
	server, outcome := c.steering.Choose(now, h.flow.Service, h.flow.Flow, c.health, func(id model.ServerID) bool { return c.mayOpen(now, id) })
	switch outcome {
	case steering.NoServer:
		c.refuse(now, h, pb.Reason_REASON_NO_SERVER)
	case steering.Overload:
		c.refuse(now, h, pb.Reason_REASON_OVERLOAD)
	default:
		c.forwardOpening(now, h, server)
	}
}

func (c *Core) forwardOpening(now time.Time, h *heldPacket, id model.ServerID) {
	server := c.catalog.Servers[id]
	if server == nil {
		c.refuse(now, h, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.openings.start(now, h, id)
	c.health.Observe(now, id, pathOf(h.flow.Flow), serverhealth.Observation{Kind: serverhealth.OpeningSent})
	h.data = packet.AppendToken(h.data, id)
	c.toServer(h, server)
}

// toFlow passes a packet of an open flow to the server that its token names.
func (c *Core) toFlow(now time.Time, h *heldPacket) {
	server := c.catalog.Servers[h.packet.Token]
	switch {
	case h.packet.Token == 0:
		c.refuse(now, h, pb.Reason_REASON_UNKNOWN_FLOW)
		return
	case server == nil && c.former[h.packet.Token].IsZero():
		// The server of a newer configuration than this instance has.
		c.counts.add(countUnknownToken)
		c.refuse(now, h, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	case server == nil || server.Service != h.flow.Service || server.DataCentre != c.cfg.DataCentre:
		c.counts.add(countCrossService)
		c.endFlow(now, h.flow, "server left the service")
		c.refuse(now, h, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.flowUsed(now, h.flow)
	switch h.packet.Kind {
	case pb.Kind_KIND_REQUEST:
		c.requestToServer(now, h, server)
	case pb.Kind_KIND_CANCEL:
		c.cancel(now, h, server)
	case pb.Kind_KIND_CLOSE:
		c.toServer(h, server)
		c.burn.Good(now, h.flow.Service, burn.BrokenFlows, 1)
		c.observeEnd(now, h.flow, server.ID)
		c.closeFlow(now, h.flow, h.use)
	default:
		c.toServer(h, server)
	}
}

func (c *Core) toServer(h *heldPacket, server *model.BackendServer) {
	c.act(SendToServer{Server: server.ID, Address: server.Address, Path: pathOf(h.flow.Flow), Data: h.data})
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
		c.burn.Bad(now, h.flow.Service, burn.Refused, reason.String())
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
		c.postAll(c.limits.CloseFlow(now, h.caller.Name, h.flow.Service))
	} else {
		c.postAll(c.limits.EndRequest(now, h.caller.Name, h.flow.Service))
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
	key := model.FlowID{Service: server.Service, Flow: p.Flow()}
	switch p.Kind {
	case pb.Kind_KIND_ANSWER:
		c.answerFromServer(now, server, &p)
	case pb.Kind_KIND_REFUSAL:
		c.refusalFromServer(now, server, ev, key, &p)
	case pb.Kind_KIND_OPEN_ACK:
		c.openAck(now, server, ev.Path, key, &p)
		c.act(SendToCaller{Address: p.Caller, Data: ev.Data})
	case pb.Kind_KIND_DATA:
		c.flowUsed(now, key)
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

func (c *Core) openAck(now time.Time, server *model.BackendServer, path int, key model.FlowID, p *packet.Packet) {
	o := serverhealth.Observation{Kind: serverhealth.Answered, Cold: p.Cold}
	if sent, first := c.openings.answered(key, server.ID); first {
		c.counts.add(countOpenAcks)
		c.burn.Good(now, key.Service, burn.Refused, 1)
		c.health.Observe(now, server.ID, path, serverhealth.Observation{Kind: serverhealth.FlowOpened})
		c.trackFlow(now, key, sent.caller, sent.counted)
	}
	c.health.Observe(now, server.ID, path, o)
}

// refusalFromServer tells a refused request from a refused opening and from
// a flow that the server does not know.
func (c *Core) refusalFromServer(now time.Time, server *model.BackendServer, ev ServerPacket, key model.FlowID, p *packet.Packet) {
	if p.RequestID != 0 {
		c.answerFromServer(now, server, p)
		return
	}
	c.health.Observe(now, server.ID, ev.Path, serverhealth.Observation{Kind: serverhealth.Refused, Reason: p.Reason, Cold: p.Cold})
	if sent, ok := c.openings.refused(key, server.ID); ok {
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
