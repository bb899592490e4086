package caller

import (
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/standin/wire"
)

func (f *flow) handlePacket(now time.Time, p *pb.Packet) {
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN_ACK:
		f.handleOpenAck(now, p)
	case pb.Kind_KIND_DATA:
		f.handleEcho(p)
	case pb.Kind_KIND_ANSWER:
		f.handleAnswer(now, p)
	case pb.Kind_KIND_REFUSAL:
		f.handleRefusal(now, p)
	default:
		f.result.Unmatched++
	}
}

// checkReply parses the payload of a packet and reports whether it comes from
// the expected service and server. It stores the token of such a packet.
func (f *flow) checkReply(p *pb.Packet) (wire.Reply, bool) {
	r, err := wire.ParseReply(p.GetPayload())
	if err != nil {
		f.result.Unmatched++
		return r, false
	}
	if f.cfg.ServiceName != "" && r.Service != f.cfg.ServiceName {
		f.result.WrongService++
		return r, false
	}
	if f.server != "" && r.Server != f.server {
		if p.GetKind() == pb.Kind_KIND_OPEN_ACK {
			f.closeOnServer(p.GetToken())
		} else {
			f.markBroken("answer from another server")
		}
		return r, false
	}
	if p.GetToken() != 0 {
		f.token = p.GetToken()
	}
	return r, true
}

// closeOnServer closes the flow on a server that accepted a copy of the opening
// after another server had accepted the flow.
func (f *flow) closeOnServer(token uint64) {
	p := f.newPacket(pb.Kind_KIND_CLOSE, nil)
	p.Token = token
	f.sendPacket(p)
}

func (f *flow) handleOpenAck(now time.Time, p *pb.Packet) {
	r, ok := f.checkReply(p)
	if !ok || f.server != "" {
		return
	}
	// An acknowledgement may arrive after its opening was counted as lost.
	if f.pendingOpening != nil {
		f.result.Openings.Answered++
	} else if f.result.Openings.Lost > 0 {
		f.result.Openings.Lost--
		f.result.Openings.Answered++
	}
	f.pendingOpening, f.server = nil, r.Server
	f.result.Opened++
	f.result.Servers[r.Server]++
	// Jitter spreads the first messages of many flows over one interval.
	f.nextDataAt = now.Add(f.jitter(f.cfg.DataInterval))
	f.nextRequestAt = now.Add(f.jitter(f.cfg.RequestInterval))
}

func (f *flow) handleEcho(p *pb.Packet) {
	r, ok := f.checkReply(p)
	if !ok {
		return
	}
	if f.pendingData != nil && r.Body == string(f.pendingData.packet.GetPayload()) {
		f.result.Data.Answered++
		f.pendingData = nil
		return
	}
	if strings.HasPrefix(r.Body, f.local.String()+"#") {
		f.result.Late++
		return
	}
	f.result.Unmatched++
}

// handleAnswer collects the parts of an answer by attempt. A request is answered
// when all parts of one attempt have arrived.
func (f *flow) handleAnswer(now time.Time, p *pb.Packet) {
	r, ok := f.checkReply(p)
	switch {
	case !ok:
		return
	case f.pendingRequest == nil || p.GetRequestId() != f.pendingRequest.packet.GetRequestId():
		if f.issuedRequests[p.GetRequestId()] {
			f.result.Late++
		} else {
			f.result.Unmatched++
		}
		return
	case r.Body != string(f.pendingRequest.packet.GetPayload()):
		f.result.Unmatched++
		return
	case r.Part != int(p.GetPart()) || p.GetPart() >= p.GetParts():
		f.result.MixedParts++
		return
	}
	parts := f.pendingRequest.parts[p.GetAttempt()]
	if parts == nil {
		parts = map[uint32]wire.Reply{}
		f.pendingRequest.parts[p.GetAttempt()] = parts
	}
	parts[p.GetPart()] = r
	if uint32(len(parts)) < p.GetParts() {
		return
	}
	f.result.latencies = append(f.result.latencies, now.Sub(f.pendingRequest.firstSentAt))
	f.countRequest(f.pendingRequest, func(c *MessageCounts) { c.Answered++ })
	f.pendingRequest = nil
}

func (f *flow) handleRefusal(now time.Time, p *pb.Packet) {
	reason := p.GetReason().String()
	switch {
	case p.GetRequestId() != 0:
		f.handleRequestRefusal(p, reason)
	case f.pendingOpening != nil:
		f.result.Openings.Refused++
		f.result.Causes[reason]++
		f.pendingOpening = nil
		f.nextOpenAt = now.Add(f.cfg.RetransmitInterval + f.jitter(f.cfg.RetransmitInterval))
	case f.server != "" && p.GetReason() == pb.Reason_REASON_UNKNOWN_FLOW:
		f.markBroken(reason)
	case f.pendingData != nil:
		// The data is retransmitted until the flow counts as broken.
		f.result.Causes["data: "+reason]++
	default:
		f.result.Late++
	}
}

func (f *flow) handleRequestRefusal(p *pb.Packet, reason string) {
	if f.pendingRequest == nil || p.GetRequestId() != f.pendingRequest.packet.GetRequestId() {
		if f.issuedRequests[p.GetRequestId()] {
			f.result.Late++
		} else {
			f.result.Unmatched++
		}
		return
	}
	f.result.Causes[reason+" "+p.GetOutcome().String()]++
	if p.GetOutcome() == pb.Outcome_OUTCOME_DID_NOT_RUN {
		f.result.NotRun = append(f.result.NotRun, RefusedRequest{f.local, f.service, p.GetRequestId()})
	}
	f.countRequest(f.pendingRequest, func(c *MessageCounts) { c.Refused++ })
	f.pendingRequest = nil
	if p.GetReason() == pb.Reason_REASON_UNKNOWN_FLOW {
		f.markBroken(reason)
	}
}

func (f *flow) markBroken(cause string) {
	if !f.broken {
		f.broken = true
		f.result.Broken++
		f.result.Causes["broken: "+cause]++
	}
}

// countLost counts the messages that were still pending when the flow ended as
// lost.
func (f *flow) countLost() {
	if f.pendingOpening != nil {
		f.result.Openings.Lost++
	}
	if f.pendingData != nil {
		f.result.Data.Lost++
	}
	if f.pendingRequest != nil {
		f.countRequest(f.pendingRequest, func(c *MessageCounts) { c.Lost++ })
	}
}
