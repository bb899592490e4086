package caller

import (
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/standin/wire"
)

func (f *flow) handle(now time.Time, p *pb.Packet) {
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN_ACK:
		f.accepted(now, p)
	case pb.Kind_KIND_DATA:
		f.echo(p)
	case pb.Kind_KIND_ANSWER:
		f.answer(now, p)
	case pb.Kind_KIND_REFUSAL:
		f.refused(now, p)
	default:
		f.res.Foreign++
	}
}

// reply parses a payload and checks the service and server it comes from.
func (f *flow) reply(p *pb.Packet) (wire.Reply, bool) {
	r, err := wire.ParseReply(p.GetPayload())
	if err != nil {
		f.res.Foreign++
		return r, false
	}
	if f.cfg.ServiceName != "" && r.Service != f.cfg.ServiceName {
		f.res.WrongService++
		return r, false
	}
	if f.server != "" && r.Server != f.server {
		if p.GetKind() == pb.Kind_KIND_OPEN_ACK {
			f.closeAt(p.GetToken())
		} else {
			f.breakFlow("answer from another server")
		}
		return r, false
	}
	if p.GetToken() != 0 {
		f.token = p.GetToken()
	}
	return r, true
}

// closeAt ends the flow at a server that accepted a copy of the opening after
// another one.
func (f *flow) closeAt(token uint64) {
	p := f.packet(pb.Kind_KIND_CLOSE, nil)
	p.Token = token
	f.send(p)
}

func (f *flow) accepted(now time.Time, p *pb.Packet) {
	r, ok := f.reply(p)
	if !ok || f.server != "" {
		return
	}
	// An acknowledgement may arrive after its opening was given up.
	if f.opening != nil {
		f.res.Openings.Answered++
	} else if f.res.Openings.Lost > 0 {
		f.res.Openings.Lost--
		f.res.Openings.Answered++
	}
	f.opening, f.server = nil, r.Server
	f.res.Opened++
	f.res.Servers[r.Server]++
	// The first messages of many flows are spread over an interval.
	f.nextData = now.Add(f.jitter(f.cfg.DataInterval))
	f.nextRequest = now.Add(f.jitter(f.cfg.RequestInterval))
}

func (f *flow) echo(p *pb.Packet) {
	r, ok := f.reply(p)
	if !ok {
		return
	}
	if f.data != nil && r.Body == string(f.data.packet.GetPayload()) {
		f.res.Data.Answered++
		f.data = nil
		return
	}
	if strings.HasPrefix(r.Body, f.local.String()+"#") {
		f.res.Late++
		return
	}
	f.res.Foreign++
}

// answer collects the parts of an attempt; a request is answered when one
// attempt is whole.
func (f *flow) answer(now time.Time, p *pb.Packet) {
	r, ok := f.reply(p)
	switch {
	case !ok:
		return
	case f.request == nil || p.GetRequestId() != f.request.packet.GetRequestId():
		if f.issued[p.GetRequestId()] {
			f.res.Late++
		} else {
			f.res.Foreign++
		}
		return
	case r.Body != string(f.request.packet.GetPayload()):
		f.res.Foreign++
		return
	case r.Part != int(p.GetPart()) || p.GetPart() >= p.GetParts():
		f.res.Mixed++
		return
	}
	parts := f.request.parts[p.GetAttempt()]
	if parts == nil {
		parts = map[uint32]wire.Reply{}
		f.request.parts[p.GetAttempt()] = parts
	}
	parts[p.GetPart()] = r
	if uint32(len(parts)) < p.GetParts() {
		return
	}
	f.res.latencies = append(f.res.latencies, now.Sub(f.request.first))
	f.countRequest(f.request, func(c *Count) { c.Answered++ })
	f.request = nil
}

func (f *flow) refused(now time.Time, p *pb.Packet) {
	reason := p.GetReason().String()
	switch {
	case p.GetRequestId() != 0:
		f.requestRefused(p, reason)
	case f.opening != nil:
		f.res.Openings.Refused++
		f.res.Causes[reason]++
		f.opening = nil
		f.nextOpen = now.Add(f.cfg.Retransmit + f.jitter(f.cfg.Retransmit))
	case f.server != "" && p.GetReason() == pb.Reason_REASON_UNKNOWN_FLOW:
		f.breakFlow(reason)
	case f.data != nil:
		// The data is repeated until the flow counts as broken.
		f.res.Causes["data: "+reason]++
	default:
		f.res.Late++
	}
}

func (f *flow) requestRefused(p *pb.Packet, reason string) {
	if f.request == nil || p.GetRequestId() != f.request.packet.GetRequestId() {
		if f.issued[p.GetRequestId()] {
			f.res.Late++
		} else {
			f.res.Foreign++
		}
		return
	}
	f.res.Causes[reason+" "+p.GetOutcome().String()]++
	if p.GetOutcome() == pb.Outcome_OUTCOME_DID_NOT_RUN {
		f.res.NotRun = append(f.res.NotRun, NotRun{f.local, f.service, p.GetRequestId()})
	}
	f.countRequest(f.request, func(c *Count) { c.Refused++ })
	f.request = nil
	if p.GetReason() == pb.Reason_REASON_UNKNOWN_FLOW {
		f.breakFlow(reason)
	}
}

func (f *flow) breakFlow(cause string) {
	if !f.broken {
		f.broken = true
		f.res.Broken++
		f.res.Causes["broken: "+cause]++
	}
}

// abandon counts messages that were still waiting when the flow ended.
func (f *flow) abandon() {
	if f.opening != nil {
		f.res.Openings.Lost++
	}
	if f.data != nil {
		f.res.Data.Lost++
	}
	if f.request != nil {
		f.countRequest(f.request, func(c *Count) { c.Lost++ })
	}
}
