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

// pendingPacket is a caller's packet that is being processed, from its arrival
// until it is forwarded, refused or dropped.
type pendingPacket struct {
	receivedAt time.Time
	data       []byte
	packet     packet.Packet
	flow       model.FlowID
	caller     *model.Caller
	use        model.PlanUse
	// server is the flow's server; it is set for requests only.
	server model.ServerID
	// counted is set when the opening or request counts against a concurrency
	// limit.
	counted bool
}

// hasConcurrencyLimit reports whether the flow or request that the packet starts
// counts against a concurrency limit. Only then must its end be reported to the
// limits.
func (pending *pendingPacket) hasConcurrencyLimit() bool {
	if pending.packet.Kind == pb.Kind_KIND_OPEN {
		return pending.use.ConcurrentFlows > 0
	}
	return pending.use.ConcurrentRequests > 0
}

func (c *Core) handleCallerPacket(now time.Time, data []byte) {
	c.counts.add(countSlowCaller)
	pending := &pendingPacket{receivedAt: now, data: data}
	if err := pending.packet.Decode(data); err != nil || !isCallerKind(pending.packet.Kind) {
		c.counts.add(countMalformed)
		return
	}
	if c.catalog == nil {
		c.refuse(now, pending, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	if c.stale(now) {
		c.counts.add(countAfterPause)
		c.refuse(now, pending, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	site := c.catalog.Sites[pending.packet.Service]
	if site == nil {
		c.counts.add(countUnknownAddress)
		c.refuse(now, pending, pb.Reason_REASON_NO_SERVER)
		return
	}
	pending.flow = model.FlowID{Service: site.Service.ID, Flow: pending.packet.FlowHash()}
	if site.DataCentre != c.cfg.DataCentre {
		c.relay(now, pending, site.DataCentre)
		return
	}
	if c.outOfService() {
		c.refuse(now, pending, pb.Reason_REASON_DATA_CENTRE_OUT)
		return
	}
	allowed := false
	pending.caller = c.catalog.CallerOf(pending.packet.Caller.Addr())
	if pending.use, allowed = c.catalog.AllowedUse(pending.caller, pending.flow.Service); !allowed {
		if pending.packet.Token != 0 {
			c.abortFlow(now, pending.flow, "not in plan")
		}
		c.refuse(now, pending, pb.Reason_REASON_NOT_IN_PLAN)
		return
	}
	c.admitOrForward(now, pending)
}

// isCallerKind reports whether callers send packets of the kind.
func isCallerKind(k pb.Kind) bool {
	switch k {
	case pb.Kind_KIND_OPEN, pb.Kind_KIND_DATA, pb.Kind_KIND_CLOSE, pb.Kind_KIND_REQUEST, pb.Kind_KIND_CANCEL:
		return true
	}
	return false
}

// outOfService reports whether an operator has marked this data centre out of
// service.
func (c *Core) outOfService() bool {
	return c.catalog.DataCentres[c.cfg.DataCentre].Out
}

// relay sends a packet to an instance of the data centre to which its service
// address belongs. A relayed packet is never relayed again, so that two
// instances with different configurations cannot send it back and forth.
func (c *Core) relay(now time.Time, pending *pendingPacket, dc model.DataCentre) {
	c.relayCount++
	to, ok := c.directory.relayTarget(dc, c.relayCount)
	if pending.packet.Relayed || !ok {
		c.counts.add(countRelayRefused)
		c.refuse(now, pending, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.counts.add(countRelayed)
	c.emit(Relay{Address: to, Data: packet.AppendBool(pending.data, packet.FieldRelayed, true)})
}

// admitOrForward checks an opening against the limits, or forwards a packet of
// an open flow. Requests are counted when they start, not when a copy arrives.
func (c *Core) admitOrForward(now time.Time, pending *pendingPacket) {
	if pending.packet.Kind != pb.Kind_KIND_OPEN {
		c.forwardByToken(now, pending)
		return
	}
	if c.recentOpenings.contains(pending.flow) {
		// This is a copy of an opening that has been counted.
		c.openFlow(now, pending)
		return
	}
	c.counts.add(countOpenings)
	c.applyLimitDecision(now, pending, c.limits.Open(now, pending.caller.Name, pending.flow.Service, pending.use))
}

func (c *Core) applyLimitDecision(now time.Time, pending *pendingPacket, d limits.Decision) {
	switch d.Verdict {
	case limits.Allowed:
		pending.counted = pending.hasConcurrencyLimit()
		c.continueAllowed(now, pending)
	case limits.Refused:
		c.refuse(now, pending, d.Reason)
	case limits.Pending:
		if !c.holdPacket(now, d.ID, pending) {
			return
		}
		c.post(d.Message)
	}
}

func (c *Core) continueAllowed(now time.Time, pending *pendingPacket) {
	if pending.packet.Kind == pb.Kind_KIND_REQUEST {
		c.startRequest(now, pending)
		return
	}
	c.openFlow(now, pending)
}

// holdPacket stores a packet until the limit request with the ID is answered.
// It refuses the packet and returns false when too many packets wait.
func (c *Core) holdPacket(now time.Time, id uint64, pending *pendingPacket) bool {
	if len(c.heldPackets) >= maxHeldPackets {
		c.counts.add(countHeldFull)
		c.refuse(now, pending, pb.Reason_REASON_OVERLOAD)
		return false
	}
	c.heldPackets[id] = pending
	return true
}

// takeHeldPacket removes and returns the packet that waits for the limit
// request with the ID, or nil.
func (c *Core) takeHeldPacket(id uint64) *pendingPacket {
	pending := c.heldPackets[id]
	delete(c.heldPackets, id)
	return pending
}

// openFlow sends an opening to the server that steering chooses. A copy of a
// recent opening goes to the server of the first one, unless that server is
// silent.
func (c *Core) openFlow(now time.Time, pending *pendingPacket) {
	if c.members.Fenced(now) {
		c.refuse(now, pending, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	}
	if earlier, ok := c.recentOpenings.get(pending.flow); ok && c.health.Condition(earlier.server) != serverhealth.Silent {
		if !c.openingAllowed(now, earlier.server) {
			// The server can take no copy now. The copy is dropped and not
			// refused, because the server may still accept the first one.
			c.releaseLimits(now, pending)
			return
		}
		c.sendOpening(now, pending, earlier.server)
		return
	}
	server, outcome := c.steering.Choose(now, pending.flow.Service, pending.flow.Flow, c.health, func(id model.ServerID) bool { return c.openingAllowed(now, id) })
	switch outcome {
	case steering.NoServer:
		c.refuse(now, pending, pb.Reason_REASON_NO_SERVER)
	case steering.Overload:
		c.refuse(now, pending, pb.Reason_REASON_OVERLOAD)
	default:
		c.sendOpening(now, pending, server)
	}
}

// sendOpening records an opening and sends it to a server, with the token of
// the server.
func (c *Core) sendOpening(now time.Time, pending *pendingPacket, id model.ServerID) {
	server := c.catalog.Servers[id]
	if server == nil {
		c.refuse(now, pending, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.recentOpenings.add(now, pending, id)
	c.health.Observe(now, id, pathOf(pending.flow.Flow), serverhealth.Observation{Kind: serverhealth.OpeningSent})
	pending.data = packet.AppendToken(pending.data, id)
	c.sendToServer(pending, server)
}

// forwardByToken forwards a packet of an open flow, or starts its request, at the
// server that its token names.
func (c *Core) forwardByToken(now time.Time, pending *pendingPacket) {
	server := c.catalog.Servers[pending.packet.Token]
	switch {
	case pending.packet.Token == 0:
		c.refuse(now, pending, pb.Reason_REASON_UNKNOWN_FLOW)
		return
	case server == nil && c.removedServers[pending.packet.Token].IsZero() && !c.isRemovedBeforeStart(now, pending.packet.Token):
		// The token names a server of a newer configuration than this instance
		// holds, or one that was removed before this instance started.
		c.counts.add(countUnknownToken)
		c.refuse(now, pending, pb.Reason_REASON_INSTANCE_NOT_READY)
		return
	case server == nil || server.Service != pending.flow.Service || server.DataCentre != c.cfg.DataCentre:
		c.counts.add(countTokenOfOtherService)
		c.abortFlow(now, pending.flow, "server left the service")
		c.refuse(now, pending, pb.Reason_REASON_NO_SERVER)
		return
	}
	c.touchFlow(now, pending.flow)
	switch pending.packet.Kind {
	case pb.Kind_KIND_REQUEST:
		c.forwardRequest(now, pending, server)
	case pb.Kind_KIND_CANCEL:
		c.cancelRequest(now, pending, server)
	case pb.Kind_KIND_CLOSE:
		c.sendToServer(pending, server)
		c.burn.AddGood(now, pending.flow.Service, burn.BrokenFlows, 1)
		c.observeFlowEnd(now, pending.flow, server.ID)
		c.closeFlow(now, pending.flow, pending.use)
	default:
		c.sendToServer(pending, server)
	}
}

// isRemovedBeforeStart reports whether an unknown token names a server that was
// removed before this instance started. An instance that is cut off from the others
// cannot tell, since it may lack a newer configuration for long.
func (c *Core) isRemovedBeforeStart(now time.Time, id model.ServerID) bool {
	if c.members.Fenced(now) {
		delete(c.unknownTokens, id)
		return false
	}
	return c.unknownTokens.observe(now, id)
}

func (c *Core) sendToServer(pending *pendingPacket, server *model.BackendServer) {
	c.emit(SendToServer{Server: server.ID, Address: server.Address, Path: pathOf(pending.flow.Flow), Data: pending.data})
}

// openingAllowed reports whether a flow may be opened at a server now, and
// counts the opening. A cold server takes a bounded rate of openings, which is
// divided among the instances.
func (c *Core) openingAllowed(now time.Time, id model.ServerID) bool {
	instances, rank := c.coldStartShare(now)
	return c.health.OpeningAllowed(now, id, instances, rank)
}

// refuse answers a packet that is not forwarded with a refusal. Data and close
// packets are answered too, unless another instance may still forward them, so that
// the caller opens the flow again instead of waiting.
func (c *Core) refuse(now time.Time, pending *pendingPacket, reason pb.Reason) {
	c.releaseLimits(now, pending)
	c.counts.add(countRefusals)
	if pending.packet.Kind == pb.Kind_KIND_OPEN || pending.packet.Kind == pb.Kind_KIND_REQUEST {
		c.burn.AddBad(now, pending.flow.Service, burn.Refused, reason.String())
		c.journal.Add(now, "refuse", "refused "+pending.packet.Kind.String(), reason.String())
	}
	if pending.packet.Kind == pb.Kind_KIND_CANCEL || !pending.packet.Caller.IsValid() {
		return
	}
	if reason == pb.Reason_REASON_INSTANCE_NOT_READY && (pending.packet.Kind == pb.Kind_KIND_DATA || pending.packet.Kind == pb.Kind_KIND_CLOSE) {
		// The flow is intact; the next copy from the caller reaches another
		// instance.
		return
	}
	c.reply(pending.packet.Caller, newRefusal(&pending.packet, reason, c.refusalOutcome(now, pending)))
}

// minRetransmitInterval is the shortest time after which a caller retransmits a
// request. When a refusal is sent later than that, a copy of the request may
// already have run through another instance.
const minRetransmitInterval = 200 * time.Millisecond

// refusalOutcome returns the outcome to report for a packet that is refused. An
// earlier or later copy of a request may have run through another instance, of
// which only the server's admitter has a record. A packet may also have waited in
// the socket while the process was paused.
func (c *Core) refusalOutcome(now time.Time, pending *pendingPacket) pb.Outcome {
	late := now.Sub(pending.receivedAt) >= minRetransmitInterval || c.pausedBefore(pending.receivedAt)
	if pending.packet.Kind == pb.Kind_KIND_REQUEST && (pending.packet.CallerAttempt > 1 || late) {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_DID_NOT_RUN
}

// pausedBefore reports whether the last tick was so long before the time at that
// datagrams may have waited in the sockets of a paused process.
func (c *Core) pausedBefore(at time.Time) bool {
	return at.Sub(c.lastTick()) >= minRetransmitInterval
}

func newRefusal(p *packet.Packet, reason pb.Reason, outcome pb.Outcome) packet.Packet {
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
	c.emit(SendToCaller{Address: to, Data: p.Append(nil)})
}

// releaseLimits releases the place under a concurrency limit of an opening or
// request that is not forwarded.
func (c *Core) releaseLimits(now time.Time, pending *pendingPacket) {
	if !pending.counted {
		return
	}
	pending.counted = false
	if pending.packet.Kind == pb.Kind_KIND_OPEN {
		c.postAll(c.limits.CloseFlow(now, pending.caller.Name, pending.flow.Service))
	} else {
		c.postAll(c.limits.EndRequest(now, pending.caller.Name, pending.flow.Service))
	}
}

func (c *Core) handleServerPacket(now time.Time, ev ServerPacket) {
	c.counts.add(countSlowServer)
	var p packet.Packet
	if err := p.Decode(ev.Data); err != nil {
		c.counts.add(countMalformed)
		return
	}
	table := c.forwarding.Load()
	server := table.serversByAddress[ev.From]
	if server == nil || table.dataCentreOut {
		c.counts.add(countUnknownServer)
		return
	}
	site := c.catalog.Sites[p.Service]
	if site == nil || site.Service.ID != server.Service {
		c.counts.add(countWrongService)
		return
	}
	use, allowed := c.catalog.AllowedUse(c.catalog.CallerOf(p.Caller.Addr()), server.Service)
	if !allowed {
		c.counts.add(countAnswersNotInPlan)
		return
	}
	flow := model.FlowID{Service: server.Service, Flow: p.FlowHash()}
	switch p.Kind {
	case pb.Kind_KIND_ANSWER:
		c.handleServerAnswer(now, server, &p)
	case pb.Kind_KIND_REFUSAL:
		c.handleServerRefusal(now, server, ev, flow, &p)
	case pb.Kind_KIND_OPEN_ACK:
		c.handleOpenAck(now, server, ev.Path, flow, &p)
		c.emit(SendToCaller{Address: p.Caller, Data: ev.Data})
	case pb.Kind_KIND_DATA:
		c.touchFlow(now, flow)
		c.emit(SendToCaller{Address: p.Caller, Data: ev.Data})
	case pb.Kind_KIND_CLOSE:
		c.burn.AddGood(now, flow.Service, burn.BrokenFlows, 1)
		c.observeFlowEnd(now, flow, server.ID)
		c.closeFlow(now, flow, use)
		c.emit(SendToCaller{Address: p.Caller, Data: ev.Data})
	default:
		c.counts.add(countMalformed)
	}
}

// handleOpenAck records the acknowledgement of an opening. Only the first one
// counts as an opened flow.
func (c *Core) handleOpenAck(now time.Time, server *model.BackendServer, path int, flow model.FlowID, p *packet.Packet) {
	observation := serverhealth.Observation{Kind: serverhealth.Answered, Cold: p.Cold}
	if sent, first := c.recentOpenings.markAnswered(flow, server.ID); first {
		c.counts.add(countOpenAcks)
		c.burn.AddGood(now, flow.Service, burn.Refused, 1)
		c.health.Observe(now, server.ID, path, serverhealth.Observation{Kind: serverhealth.FlowOpened})
		c.countFlow(now, flow, sent.callerName, sent.counted)
	}
	c.health.Observe(now, server.ID, path, observation)
}

// handleServerRefusal processes a refusal from a server: of a request, of an
// opening, or of a packet whose flow the server does not know.
func (c *Core) handleServerRefusal(now time.Time, server *model.BackendServer, ev ServerPacket, flow model.FlowID, p *packet.Packet) {
	if p.RequestID != 0 {
		c.handleServerAnswer(now, server, p)
		return
	}
	c.health.Observe(now, server.ID, ev.Path, serverhealth.Observation{Kind: serverhealth.Refused, Reason: p.Reason, Cold: p.Cold})
	if sent, ok := c.recentOpenings.removeRefused(flow, server.ID); ok {
		if sent.counted {
			c.postAll(c.limits.CloseFlow(now, sent.callerName, flow.Service))
		}
		c.burn.AddBad(now, flow.Service, burn.Refused, p.Reason.String())
	} else if p.Reason == pb.Reason_REASON_UNKNOWN_FLOW {
		c.observeFlowEnd(now, flow, server.ID)
		c.burn.AddBad(now, flow.Service, burn.BrokenFlows, "server does not know the flow")
		c.journal.Add(now, "flow", "flow unknown at "+server.Name, "server lost the flow or another server has it")
	}
	c.abortFlow(now, flow, "refused by server")
	c.emit(SendToCaller{Address: p.Caller, Data: ev.Data})
}
