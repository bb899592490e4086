package entry

import (
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/limits"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// post queues a control message. The messages to one peer that an event causes
// are sent in one batch. A heartbeat acknowledgement also gets the configuration
// versions and the verdicts that the publisher distributes.
func (c *Core) post(m peer.Message) {
	if ack := m.Body.GetHeartbeatAck(); ack != nil && c.catalog != nil {
		ack.ConfigVersion = c.catalog.Version
		ack.InForceVersion, ack.Servers = c.inForceVersion, c.verdicts
	}
	if m.To == c.cfg.Self {
		c.inbox = append(c.inbox, m.Body)
		return
	}
	c.outbox[m.To] = append(c.outbox[m.To], m.Body)
}

func (c *Core) postAll(messages []peer.Message) {
	for _, m := range messages {
		c.post(m)
	}
}

// maxInboxRounds bounds the rounds of messages that an instance sends to itself
// during one event. Two components that answer each other endlessly would
// otherwise block the core.
const maxInboxRounds = 16

func (c *Core) drainInbox(now time.Time) {
	for i := 0; i < maxInboxRounds && len(c.inbox) > 0; i++ {
		messages := c.inbox
		c.inbox = nil
		for _, m := range messages {
			c.handlePeerMessage(now, c.cfg.Self, c.cfg.Incarnation, m)
		}
	}
}

func (c *Core) handlePeerBatch(now time.Time, batch *pb.PeerBatch) {
	from := model.InstanceID(batch.GetFrom())
	if from == c.cfg.Self {
		return
	}
	c.lastHeard[from] = now
	if batch.GetAddress() != "" {
		c.directory.recordPeerAddress(now, from, model.DataCentre(batch.GetDataCentre()), batch.GetAddress())
	}
	for _, m := range batch.GetMessages() {
		c.handlePeerMessage(now, from, batch.GetIncarnation(), m)
	}
}

func (c *Core) handlePeerMessage(now time.Time, from model.InstanceID, incarnation uint64, m *pb.PeerMessage) {
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		c.handleHeartbeat(now, from, incarnation, body.Heartbeat)
	case *pb.PeerMessage_HeartbeatAck:
		c.postAll(c.members.HeartbeatAck(now, from, body.HeartbeatAck))
		c.applyPublisherAck(now, from, body.HeartbeatAck)
		c.observePeerVersion(now, from, body.HeartbeatAck.GetConfigVersion())
	case *pb.PeerMessage_StateUpdate:
		c.applyStateUpdate(now, body.StateUpdate)
	case *pb.PeerMessage_StateRequest:
		c.handleStateRequest(from, body.StateRequest)
	case *pb.PeerMessage_GrantReply:
		c.applyRequestActions(now, c.coordinator.HandleGrantReply(now, body.GrantReply))
	case *pb.PeerMessage_GrantRequest, *pb.PeerMessage_GrantRelease, *pb.PeerMessage_AdmitterHandover, *pb.PeerMessage_GrantReport, *pb.PeerMessage_Ack:
		c.postAll(c.admitter.HandlePeer(now, from, m))
	case *pb.PeerMessage_ConfigRequest:
		c.postAll(c.replica.HandleRequest(now, from, body.ConfigRequest))
	case *pb.PeerMessage_ConfigReply:
		changed, messages := c.replica.HandleReply(now, from, body.ConfigReply)
		c.applyConfig(now, changed, messages, "from instance "+string(from))
	case *pb.PeerMessage_Summary:
		c.handleSummary(now, from, body.Summary)
	case *pb.PeerMessage_LimitRequest, *pb.PeerMessage_LimitReply:
		c.handleLimitMessage(now, from, m)
	case *pb.PeerMessage_ServerNews:
		c.handleServerNews(now, from, incarnation, body.ServerNews)
	case *pb.PeerMessage_FlowsEnded:
		c.handleFlowsEnded(now, body.FlowsEnded)
	}
}

func (c *Core) handleHeartbeat(now time.Time, from model.InstanceID, incarnation uint64, h *pb.Heartbeat) {
	c.postAll(c.members.Heartbeat(now, from, incarnation, h))
	c.mergedReports.Add(now, from, incarnation, h.GetServers())
	c.observePeerVersion(now, from, h.GetConfigVersion())
}

// applyPublisherAck applies the server verdicts and the configuration version in
// force that the publisher sends with its heartbeat acknowledgements.
func (c *Core) applyPublisherAck(now time.Time, from model.InstanceID, ack *pb.HeartbeatAck) {
	if ack.GetSentMs() == 0 || from != c.state.Version.Publisher {
		return
	}
	c.steering.SetInForceVersion(ack.GetInForceVersion())
	c.health.SetVerdicts(now, ack.GetServers())
}

// handleStateRequest answers with the whole state if it is newer than that of
// the requesting instance.
func (c *Core) handleStateRequest(from model.InstanceID, r *pb.StateRequest) {
	have := dcstate.Version{Generation: r.GetGeneration(), Publisher: model.InstanceID(r.GetPublisher())}
	if have.Less(c.state.Version) {
		c.post(peer.Message{To: from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: c.state.AsUpdate()}}})
	}
}

func (c *Core) handleLimitMessage(now time.Time, from model.InstanceID, m *pb.PeerMessage) {
	messages, resolved := c.limits.HandlePeer(now, from, m, c.planUse)
	c.continueResolved(now, messages, resolved)
}

// planUse returns the limits that the plan of a caller sets for a service, and
// whether the plan allows the service. caller is the caller's name.
func (c *Core) planUse(caller string, service model.ServiceID) (model.PlanUse, bool) {
	if c.catalog == nil {
		return model.PlanUse{}, false
	}
	return c.catalog.AllowedUse(c.catalog.Callers[caller], service)
}

// continueResolved continues with the held packets whose limit requests have
// been answered.
func (c *Core) continueResolved(now time.Time, messages []peer.Message, resolved []limits.Resolved) {
	c.postAll(messages)
	for _, r := range resolved {
		pending := c.takeHeldPacket(r.ID)
		if pending == nil {
			continue
		}
		if !r.Allowed {
			c.refuse(now, pending, r.Reason)
			continue
		}
		pending.counted = pending.hasConcurrencyLimit()
		c.continueAllowed(now, pending)
	}
}

// maxFlowEndNotifyMembers is the number of members up to which all instances are
// notified of the end of a flow that counts against a limit. In larger data centres
// such a flow counts until it expires as idle.
const maxFlowEndNotifyMembers = 16

// notifyFlowEnded notifies the other instances of the end of a flow that one of
// them may count against a limit.
func (c *Core) notifyFlowEnded(flow model.FlowID) {
	if len(c.state.Members) > maxFlowEndNotifyMembers {
		return
	}
	for _, m := range c.state.Members {
		if m.Instance != c.cfg.Self {
			c.post(peer.Message{To: m.Instance, Body: &pb.PeerMessage{Body: &pb.PeerMessage_FlowsEnded{FlowsEnded: &pb.FlowsEnded{
				Flows: []*pb.FlowGroup{{Service: uint64(flow.Service), Flows: []uint64{uint64(flow.Flow)}}},
			}}}})
		}
	}
}

func (c *Core) handleFlowsEnded(now time.Time, e *pb.FlowsEnded) {
	for _, group := range e.GetFlows() {
		for _, flow := range group.GetFlows() {
			c.releaseFlow(now, model.FlowID{Service: model.ServiceID(group.GetService()), Flow: model.FlowHash(flow)})
		}
	}
}

// maxWorsenedNotifyMembers is the number of members up to which an instance
// notifies all others of a server's condition between heartbeats. In larger data
// centres they receive it with the publisher's verdicts.
const maxWorsenedNotifyMembers = 16

// notifyWorsenedServers notifies the other instances of servers whose condition has
// become worse.
func (c *Core) notifyWorsenedServers() {
	reports := c.health.TakeWorsenedReports()
	if len(reports) == 0 || len(c.state.Members) > maxWorsenedNotifyMembers {
		return
	}
	for _, m := range c.state.Members {
		if m.Instance != c.cfg.Self {
			c.post(peer.Message{To: m.Instance, Body: &pb.PeerMessage{Body: &pb.PeerMessage_ServerNews{ServerNews: &pb.ServerNews{Servers: reports}}}})
		}
	}
}

func (c *Core) handleServerNews(now time.Time, from model.InstanceID, incarnation uint64, news *pb.ServerNews) {
	c.mergedReports.Add(now, from, incarnation, news.GetServers())
	c.health.AddPeerReports(now, news.GetServers())
	c.mergeReports(now)
}
