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

// latencySamples is the size of each latency histogram's sample.
const latencySamples = 1024

// runningRequest is what the core keeps of a request that the coordinator
// holds.
type runningRequest struct {
	started time.Time
	caller  netip.AddrPort
	service netip.AddrPort
	name    string
	counted bool
	// afterPause is set when the request may have waited in the socket.
	afterPause bool
	idempotent bool
}

// requestToServer passes a request or a cancellation of a flow at a known
// server to the coordinator.
func (c *Core) requestToServer(now time.Time, h *heldPacket, server *model.BackendServer) {
	h.server = server.ID
	key := requestKey(h)
	if c.coordinator.IsInFlight(key) || h.counted {
		c.startRequest(now, h)
		return
	}
	c.counts.add(countRequests)
	d := c.limits.StartRequest(now, h.caller.Name, h.flow.Service, h.use)
	c.applyDecision(now, h, d)
}

func requestKey(h *heldPacket) requests.Key {
	return requests.Key{Service: h.flow.Service, Flow: h.flow.Flow, ID: h.packet.RequestID}
}

// startRequest hands a request that the limits allow to the coordinator.
func (c *Core) startRequest(now time.Time, h *heldPacket) {
	key := requestKey(h)
	if c.running[key] == nil {
		c.running[key] = &runningRequest{
			started: h.at, caller: h.packet.Caller, service: h.packet.Service, name: h.caller.Name,
			counted: h.counted, afterPause: c.paused(h.at), idempotent: h.packet.Idempotent,
		}
	}
	var deadline time.Time
	if h.packet.DeadlineMS > 0 {
		deadline = h.at.Add(time.Duration(h.packet.DeadlineMS) * time.Millisecond)
	}
	c.requestActions(now, c.coordinator.Start(now, requests.Request{
		Key:           key,
		Server:        h.server,
		Idempotent:    h.packet.Idempotent,
		Priority:      max(h.packet.Priority, h.use.Priority),
		Deadline:      deadline,
		CallerAttempt: h.packet.CallerAttempt,
		Payload:       h.packet.Payload,
	}))
}

// cancel withdraws a request. The instance that got the cancellation may not
// be the one that coordinates the request, so the server is told as well.
func (c *Core) cancel(now time.Time, h *heldPacket, server *model.BackendServer) {
	c.requestActions(now, c.coordinator.Cancel(now, requestKey(h)))
	c.toServer(h, server)
}

// answerFromServer passes an answer part or the refusal of a request to the
// coordinator.
func (c *Core) answerFromServer(now time.Time, server *model.BackendServer, p *packet.Packet) {
	if p.Cold {
		// The other parts may come late.
		c.health.MarkCold(now, server.ID)
	}
	c.requestActions(now, c.coordinator.HandleServerPacket(now, requests.ServerPacket{
		Key:     requests.Key{Service: server.Service, Flow: p.Flow(), ID: p.RequestID},
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

func (c *Core) requestActions(now time.Time, actions []requests.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case requests.RequestGrant:
			c.postToAdmitter(a.Server, &pb.PeerMessage{Body: &pb.PeerMessage_GrantRequest{GrantRequest: a.Request}})
		case requests.ReleaseGrant:
			c.postToAdmitter(a.Server, &pb.PeerMessage{Body: &pb.PeerMessage_GrantRelease{GrantRelease: a.Release}})
		case requests.SendToServer:
			c.sendRequest(now, a)
		case requests.SendCancel:
			c.sendCancel(now, a)
		case requests.ReplyToCaller:
			c.replyToCaller(now, a)
		case requests.Observe:
			c.health.Observe(now, a.Server, pathOf(a.Flow), a.Observation)
		case requests.RequestEnded:
			c.requestEnded(now, a.Key)
		}
	}
}

func (c *Core) postToAdmitter(server model.ServerID, body *pb.PeerMessage) {
	if to := c.state.Admitter(server); to != "" {
		c.post(peer.Message{To: to, Body: body})
	}
}

func (c *Core) sendRequest(now time.Time, a requests.SendToServer) {
	server, running := c.catalog.Servers[a.Server], c.running[a.Key]
	if server == nil || running == nil || server.Service != a.Service || c.outOfService() || c.stale(now) {
		return
	}
	c.health.Observe(now, a.Server, pathOf(a.Flow), serverhealth.Observation{Kind: serverhealth.OpeningSent})
	p := packet.Packet{
		Kind:          pb.Kind_KIND_REQUEST,
		Caller:        running.caller,
		Service:       running.service,
		RequestID:     a.ID,
		Idempotent:    a.Idempotent,
		Priority:      a.Priority,
		DeadlineMS:    uint32(max(1, a.Deadline.Sub(now).Milliseconds())),
		CallerAttempt: a.CallerAttempt,
		Attempt:       a.Attempt,
		Payload:       a.Payload,
		Token:         a.Server,
	}
	c.act(SendToServer{Server: a.Server, Address: server.Address, Path: pathOf(a.Flow), Data: p.Append(nil)})
}

func (c *Core) sendCancel(now time.Time, a requests.SendCancel) {
	server, running := c.catalog.Servers[a.Server], c.running[a.Key]
	if server == nil || running == nil || c.outOfService() || c.stale(now) {
		return
	}
	p := packet.Packet{Kind: pb.Kind_KIND_CANCEL, Caller: running.caller, Service: running.service, RequestID: a.ID, Attempt: a.Attempt, Token: a.Server}
	c.act(SendToServer{Server: a.Server, Address: server.Address, Path: pathOf(a.Flow), Data: p.Append(nil)})
}

func (c *Core) replyToCaller(now time.Time, a requests.ReplyToCaller) {
	running := c.running[a.Key]
	if running == nil {
		return
	}
	a.Outcome = c.replyOutcome(now, a, running)
	if a.Part == 0 {
		c.countReply(now, a, running)
	}
	c.reply(running.caller, packet.Packet{
		Kind:          a.Kind,
		Caller:        running.caller,
		Service:       running.service,
		RequestID:     a.ID,
		CallerAttempt: a.CallerAttempt,
		Part:          a.Part,
		Parts:         a.Parts,
		Payload:       a.Payload,
		Reason:        a.Reason,
		Outcome:       a.Outcome,
	})
}

// replyOutcome takes back DID_NOT_RUN where a copy of the request may have run
// through another coordinator. The admitter keeps apart the copies of a
// non-idempotent request, so what it or the server said of one stands; a
// deadline that passed here says nothing of the copies.
func (c *Core) replyOutcome(now time.Time, a requests.ReplyToCaller, running *runningRequest) pb.Outcome {
	if a.Outcome != pb.Outcome_OUTCOME_DID_NOT_RUN {
		return a.Outcome
	}
	copies := a.CallerAttempt > 1 || now.Sub(running.started) >= minRepeat || running.afterPause
	byAdmitter := !running.idempotent && a.Reason != pb.Reason_REASON_DEADLINE && a.Reason != pb.Reason_REASON_INSTANCE_NOT_READY
	if copies && !byAdmitter {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return a.Outcome
}

// countReply counts a request's end against the service-level objectives.
func (c *Core) countReply(now time.Time, a requests.ReplyToCaller, running *runningRequest) {
	if a.Kind != pb.Kind_KIND_ANSWER {
		c.counts.add(countRefusals)
		c.burn.Bad(now, a.Service, burn.Refused, a.Reason.String())
		c.journal.Add(now, "refuse", "refused KIND_REQUEST with "+a.Outcome.String(), a.Reason.String())
		return
	}
	c.burn.Good(now, a.Service, burn.Refused, 1)
	latency := now.Sub(running.started)
	c.latencyOf(a.Service).Update(latency.Microseconds())
	service := c.catalog.Services[a.Service]
	if service == nil || service.Objective.LateAfter == 0 {
		return
	}
	if latency > service.Objective.LateAfter {
		c.burn.Bad(now, a.Service, burn.Late, "answered late")
	} else {
		c.burn.Good(now, a.Service, burn.Late, 1)
	}
}

func (c *Core) latencyOf(id model.ServiceID) metrics.Histogram {
	h := c.latency[id]
	if h == nil {
		h = metrics.NewHistogram(metrics.NewUniformSample(latencySamples))
		c.latency[id] = h
		if service := c.catalog.Services[id]; service != nil {
			_ = c.metrics.Register("request_latency_us_"+service.Name, h)
		}
	}
	return h
}

// requestEnded forgets a request. A reply that follows in the same event has
// been made already: the coordinator replies before it ends a request.
func (c *Core) requestEnded(now time.Time, key requests.Key) {
	running := c.running[key]
	if running == nil {
		return
	}
	delete(c.running, key)
	if running.counted {
		c.postAll(c.limits.EndRequest(now, running.name, key.Service))
	}
}
