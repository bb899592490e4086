package entry

import (
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"cuminshift/internal/burn"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
	"cuminshift/internal/peer"
	"cuminshift/internal/requests"
	"cuminshift/internal/serverhealth"
)

// latencySamples is the number of samples that each latency histogram keeps.
const latencySamples = 1024

// runningRequest is the core's record of a request that the coordinator runs.
type runningRequest struct {
	started        time.Time
	callerAddress  netip.AddrPort
	serviceAddress netip.AddrPort
	callerName     string
	// counted is set when the request counts against a concurrency limit.
	counted bool
	// afterPause is set when the request may have waited in the socket while
	// the process was paused.
	afterPause bool
	idempotent bool
}

// forwardRequest starts a request at the server of its flow. A copy of a request
// that is running or was answered is not checked against the limits again.
func (c *Core) forwardRequest(now time.Time, pending *pendingPacket, server *model.BackendServer) {
	pending.server = server.ID
	key := requestKey(pending)
	answered := !pending.packet.Idempotent && c.coordinator.IsAnswered(now, key)
	if c.coordinator.IsInFlight(key) || answered || pending.counted {
		c.startRequest(now, pending)
		return
	}
	c.counts.add(countRequests)
	d := c.limits.StartRequest(now, pending.caller.Name, pending.flow.Service, pending.use)
	c.applyLimitDecision(now, pending, d)
}

func requestKey(pending *pendingPacket) requests.Key {
	return requests.Key{Service: pending.flow.Service, Flow: pending.flow.Flow, ID: pending.packet.RequestID}
}

// startRequest passes a request that the limits have allowed to the coordinator.
func (c *Core) startRequest(now time.Time, pending *pendingPacket) {
	key := requestKey(pending)
	if c.runningRequests[key] != nil {
		// Two copies may have waited for the limits; one of them counts.
		c.releaseLimits(now, pending)
	} else {
		c.runningRequests[key] = &runningRequest{
			started: pending.receivedAt, callerAddress: pending.packet.Caller, serviceAddress: pending.packet.Service, callerName: pending.caller.Name,
			counted: pending.counted, afterPause: c.pausedBefore(pending.receivedAt), idempotent: pending.packet.Idempotent,
		}
	}
	var deadline time.Time
	if pending.packet.DeadlineMS > 0 {
		deadline = pending.receivedAt.Add(time.Duration(pending.packet.DeadlineMS) * time.Millisecond)
	}
	c.applyRequestActions(now, c.coordinator.Start(now, requests.Request{
		Key:           key,
		Server:        pending.server,
		Idempotent:    pending.packet.Idempotent,
		Priority:      max(pending.packet.Priority, pending.use.Priority),
		Deadline:      deadline,
		CallerAttempt: pending.packet.CallerAttempt,
		Payload:       pending.packet.Payload,
	}))
}

// cancelRequest cancels a request. The cancellation is also sent to the server,
// because the request may be coordinated by another instance.
func (c *Core) cancelRequest(now time.Time, pending *pendingPacket, server *model.BackendServer) {
	c.applyRequestActions(now, c.coordinator.Cancel(now, requestKey(pending)))
	c.sendToServer(pending, server)
}

// handleServerAnswer passes a part of an answer or the refusal of a request to
// the coordinator.
func (c *Core) handleServerAnswer(now time.Time, server *model.BackendServer, p *packet.Packet) {
	if p.Cold {
		// The server is marked cold at once, because the other parts of the
		// answer may arrive late.
		c.health.MarkCold(now, server.ID)
	}
	c.applyRequestActions(now, c.coordinator.HandleServerPacket(now, requests.ServerPacket{
		Key:     requests.Key{Service: server.Service, Flow: p.FlowHash(), ID: p.RequestID},
		Server:  server.ID,
		Kind:    p.Kind,
		Attempt: p.Attempt,
		Part:    p.Part,
		Parts:   p.Parts,
		Payload: p.Payload,
		Reason:  p.Reason,
		Outcome: p.Outcome,
		Cold:    p.Cold,
	}))
}

func (c *Core) applyRequestActions(now time.Time, actions []requests.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case requests.RequestGrant:
			c.postToAdmitter(a.Server, &pb.PeerMessage{Body: &pb.PeerMessage_GrantRequest{GrantRequest: a.GrantRequest}})
		case requests.ReleaseGrant:
			c.postToAdmitter(a.Server, &pb.PeerMessage{Body: &pb.PeerMessage_GrantRelease{GrantRelease: a.GrantRelease}})
		case requests.SendToServer:
			c.sendRequest(now, a)
		case requests.SendCancel:
			c.sendCancel(now, a)
		case requests.ReplyToCaller:
			c.replyToCaller(now, a)
		case requests.Observe:
			c.health.Observe(now, a.Server, pathOf(a.Flow), a.Observation)
		case requests.RequestEnded:
			c.endRequest(now, a.Key)
		}
	}
}

// postToAdmitter sends a message to the admitter of a server, if it has one.
func (c *Core) postToAdmitter(server model.ServerID, body *pb.PeerMessage) {
	if to := c.state.Admitter(server); to != "" {
		c.post(peer.Message{To: to, Body: body})
	}
}

func (c *Core) sendRequest(now time.Time, a requests.SendToServer) {
	server, running := c.catalog.Servers[a.Server], c.runningRequests[a.Key]
	if server == nil || running == nil || server.Service != a.Service || c.outOfService() || c.stale(now) {
		return
	}
	c.health.Observe(now, a.Server, pathOf(a.Flow), serverhealth.Observation{Kind: serverhealth.OpeningSent})
	p := packet.Packet{
		Kind:          pb.Kind_KIND_REQUEST,
		Caller:        running.callerAddress,
		Service:       running.serviceAddress,
		RequestID:     a.ID,
		Idempotent:    a.Idempotent,
		Priority:      a.Priority,
		DeadlineMS:    uint32(max(1, a.Deadline.Sub(now).Milliseconds())),
		CallerAttempt: a.CallerAttempt,
		Attempt:       a.Attempt,
		Payload:       a.Payload,
		Token:         a.Server,
	}
	c.emit(SendToServer{Server: a.Server, Address: server.Address, Path: pathOf(a.Flow), Data: p.Append(nil)})
}

func (c *Core) sendCancel(now time.Time, a requests.SendCancel) {
	server, running := c.catalog.Servers[a.Server], c.runningRequests[a.Key]
	if server == nil || running == nil || c.outOfService() || c.stale(now) {
		return
	}
	p := packet.Packet{Kind: pb.Kind_KIND_CANCEL, Caller: running.callerAddress, Service: running.serviceAddress, RequestID: a.ID, Attempt: a.Attempt, Token: a.Server}
	c.emit(SendToServer{Server: a.Server, Address: server.Address, Path: pathOf(a.Flow), Data: p.Append(nil)})
}

func (c *Core) replyToCaller(now time.Time, a requests.ReplyToCaller) {
	running := c.runningRequests[a.Key]
	if running == nil {
		return
	}
	a.Outcome = c.replyOutcome(now, a, running)
	if a.Part == 0 {
		c.recordReply(now, a, running)
	}
	c.reply(running.callerAddress, packet.Packet{
		Kind:          a.Kind,
		Caller:        running.callerAddress,
		Service:       running.serviceAddress,
		RequestID:     a.ID,
		CallerAttempt: a.CallerAttempt,
		Part:          a.Part,
		Parts:         a.Parts,
		Payload:       a.Payload,
		Reason:        a.Reason,
		Outcome:       a.Outcome,
	})
}

// replyOutcome replaces DID_NOT_RUN by UNKNOWN where a copy of the request may
// have run through another coordinator. The admitter tracks the copies of a
// non-idempotent request, so the outcome that it or the server reported for such
// a request is kept. A deadline that has passed at this instance says nothing
// about other copies.
func (c *Core) replyOutcome(now time.Time, a requests.ReplyToCaller, running *runningRequest) pb.Outcome {
	if a.Outcome != pb.Outcome_OUTCOME_DID_NOT_RUN {
		return a.Outcome
	}
	mayHaveCopies := a.CallerAttempt > 1 || now.Sub(running.started) >= minRetransmitInterval || running.afterPause
	decidedByAdmitter := !running.idempotent && a.Reason != pb.Reason_REASON_DEADLINE && a.Reason != pb.Reason_REASON_INSTANCE_NOT_READY
	if mayHaveCopies && !decidedByAdmitter {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return a.Outcome
}

// recordReply counts the end of a request towards the service-level objectives.
func (c *Core) recordReply(now time.Time, a requests.ReplyToCaller, running *runningRequest) {
	if a.Kind != pb.Kind_KIND_ANSWER {
		c.counts.add(countRefusals)
		c.burn.AddBad(now, a.Service, burn.Refused, a.Reason.String())
		c.journal.Add(now, "refuse", "refused KIND_REQUEST with "+a.Outcome.String(), a.Reason.String())
		return
	}
	c.burn.AddGood(now, a.Service, burn.Refused, 1)
	latency := now.Sub(running.started)
	c.latencyHistogram(a.Service).Update(latency.Microseconds())
	service := c.catalog.Services[a.Service]
	if service == nil || service.Objective.LateAfter == 0 {
		return
	}
	if latency > service.Objective.LateAfter {
		c.burn.AddBad(now, a.Service, burn.Late, "answered late")
	} else {
		c.burn.AddGood(now, a.Service, burn.Late, 1)
	}
}

// latencyHistogram returns the latency histogram of a service and registers it
// on the first call.
func (c *Core) latencyHistogram(id model.ServiceID) metrics.Histogram {
	h := c.latencyHistograms[id]
	if h == nil {
		h = metrics.NewHistogram(metrics.NewUniformSample(latencySamples))
		c.latencyHistograms[id] = h
		if service := c.catalog.Services[id]; service != nil {
			_ = c.metrics.Register("request_latency_us_"+service.Name, h)
		}
	}
	return h
}

// endRequest removes the record of a request. The coordinator replies to the caller
// before it ends a request, so no reply needs the record afterwards.
func (c *Core) endRequest(now time.Time, key requests.Key) {
	running := c.runningRequests[key]
	if running == nil {
		return
	}
	delete(c.runningRequests, key)
	if running.counted {
		c.postAll(c.limits.EndRequest(now, running.callerName, key.Service))
	}
}
