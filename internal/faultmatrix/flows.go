package faultmatrix

import (
	"fmt"
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

const (
	callerTickInterval = 50 * time.Millisecond
	dataInterval       = 300 * time.Millisecond
	requestInterval    = 500 * time.Millisecond
	retransmitInterval = 200 * time.Millisecond
	requestDeadline    = 2 * time.Second
)

// fakeFlow is a caller with one flow, on which it sends data and requests.
type fakeFlow struct {
	s       *sim
	key     wire.Flow
	dc      model.DataCentre
	service string
	// site is the data centre of the service address.
	site model.DataCentre
	// closeTime is the time at which the caller closes the flow; zero means never.
	closeTime time.Time

	// server is the server that accepted the flow; it is nil before that.
	server *fakeServer
	// token is the last token received; it identifies the server.
	token uint64
	// broken is set when the flow ended although the caller did not close it.
	broken, closed bool
	// vanished is set when the caller stops without closing the flow.
	vanished bool
	// ackedAt is the time at which the first acknowledgement of the opening arrived.
	ackedAt time.Time
	// lastEchoAt is the time of the last answer to a data packet.
	lastEchoAt time.Time
	// sequence is the number of the last data packet.
	sequence uint64
	// pending holds the messages that are retransmitted until they are answered.
	pending     []*pendingMessage
	nextData    time.Time
	nextRequest time.Time
	nextOpen    time.Time
	// issued holds all requests of the flow by request ID.
	issued map[uint64]*pendingMessage
}

// pendingMessage is a message that waits for its answer.
type pendingMessage struct {
	p                                *pb.Packet
	sentAt, nextRetransmit, deadline time.Time
	// parts holds the parts of the answer received, by attempt and part number.
	parts map[uint32]map[uint32]bool
	// outcome is "answered", "no answer" or the reason of a refusal; it is empty
	// until the outcome is known.
	outcome string
}

// addFlow adds a caller in data centre dc. Its flow to the service's address in
// the data centre site opens after a delay and closes after lifetime; a
// lifetime of 0 keeps it open. Every fifth caller has an address of the caller "other".
func (s *sim) addFlow(delay, lifetime time.Duration, dc, site model.DataCentre, service string) {
	n := len(s.flowKeys)
	network := byte(1)
	if n%5 == 4 {
		network = 2
	}
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, network, byte(n >> 8), byte(n)}), uint16(20000+n))
	s.addFlowFrom(caller, delay, lifetime, dc, site, service)
}

// addFlowFrom adds a flow as addFlow does, from a given caller address.
func (s *sim) addFlowFrom(caller netip.AddrPort, delay, lifetime time.Duration, dc, site model.DataCentre, service string) {
	f := &fakeFlow{s: s, key: wire.Flow{Caller: caller, Service: siteAddr(service, site)}, dc: dc, service: service, site: site, issued: map[uint64]*pendingMessage{}}
	s.flows[f.key] = f
	s.flowKeys = append(s.flowKeys, f.key)
	s.after(delay, func() {
		if lifetime > 0 {
			f.closeTime = s.now.Add(lifetime)
		}
		s.every(callerTickInterval, f.tick)
	})
}

func (f *fakeFlow) newPacket(kind pb.Kind, payload string) *pb.Packet {
	p := &pb.Packet{Kind: kind, Payload: []byte(payload), Token: f.token}
	wire.SetCaller(p, f.key.Caller)
	wire.SetService(p, f.key.Service)
	return p
}

// findPending returns the oldest pending message of a kind, or nil.
func (f *fakeFlow) findPending(kind pb.Kind) *pendingMessage {
	for _, m := range f.pending {
		if m.p.GetKind() == kind {
			return m
		}
	}
	return nil
}

func (f *fakeFlow) removePending(m *pendingMessage) {
	for i, o := range f.pending {
		if o == m {
			f.pending = append(f.pending[:i], f.pending[i+1:]...)
			return
		}
	}
}

// transmit sends a packet, which is retransmitted until it is answered or the
// timeout has passed.
func (f *fakeFlow) transmit(p *pb.Packet, timeout time.Duration) *pendingMessage {
	m := &pendingMessage{p: p, sentAt: f.s.now, nextRetransmit: f.s.now.Add(retransmitInterval), deadline: f.s.now.Add(timeout), parts: map[uint32]map[uint32]bool{}}
	f.pending = append(f.pending, m)
	f.s.sendThroughFabric(f.dc, p)
	return m
}

// tick carries out the caller's next actions. It returns false when the flow is
// closed or broken.
func (f *fakeFlow) tick() bool {
	now := f.s.now
	switch {
	case f.broken || f.closed || f.vanished:
		return false
	case !f.closeTime.IsZero() && now.After(f.closeTime) && f.findPending(pb.Kind_KIND_REQUEST) == nil:
		f.closed = true
		f.s.sendThroughFabric(f.dc, f.newPacket(pb.Kind_KIND_CLOSE, ""))
		return false
	case f.server == nil:
		if f.findPending(pb.Kind_KIND_OPEN) == nil && !now.Before(f.nextOpen) {
			f.transmit(f.newPacket(pb.Kind_KIND_OPEN, ""), time.Hour)
		}
	default:
		f.tickEstablished(now)
	}
	for _, m := range append([]*pendingMessage(nil), f.pending...) {
		f.tickPending(now, m)
	}
	return true
}

// tickEstablished sends data and requests that are due. At most one packet of each
// kind is pending at a time.
func (f *fakeFlow) tickEstablished(now time.Time) {
	if f.findPending(pb.Kind_KIND_DATA) == nil && !now.Before(f.nextData) {
		f.sequence++
		f.nextData = now.Add(dataInterval)
		f.transmit(f.newPacket(pb.Kind_KIND_DATA, fmt.Sprint(f.sequence)), time.Hour)
	}
	if f.findPending(pb.Kind_KIND_REQUEST) == nil && !now.Before(f.nextRequest) && (f.closeTime.IsZero() || now.Before(f.closeTime)) {
		f.nextRequest = now.Add(requestInterval)
		id := f.s.rng.Uint64() | 1
		p := f.newPacket(pb.Kind_KIND_REQUEST, fmt.Sprintf("r%x", id))
		p.RequestId, p.CallerAttempt, p.Idempotent, p.DeadlineMs = id, 1, f.s.rng.IntN(10) >= 4, uint32(requestDeadline.Milliseconds())
		f.issued[id] = f.transmit(p, requestDeadline)
	}
}

// tickPending gives up a message whose deadline has passed, or retransmits it if
// that is due.
func (f *fakeFlow) tickPending(now time.Time, m *pendingMessage) {
	if !now.Before(m.deadline) {
		m.outcome = "no answer"
		f.removePending(m)
		return
	}
	if now.Before(m.nextRetransmit) {
		return
	}
	m.nextRetransmit = now.Add(retransmitInterval)
	if m.p.GetKind() == pb.Kind_KIND_REQUEST {
		m.p.CallerAttempt++
		m.p.DeadlineMs = uint32(max(1, m.deadline.Sub(now).Milliseconds()))
	}
	f.s.sendThroughFabric(f.dc, m.p)
}

func (f *fakeFlow) receive(inst *simInstance, p *pb.Packet) {
	now := f.s.now
	// A caller that has closed its flow still reads answers in flight.
	if f.broken || (f.closed && p.GetKind() != pb.Kind_KIND_ANSWER) {
		return
	}
	if p.GetKind() == pb.Kind_KIND_REFUSAL {
		f.receiveRefusal(inst, now, p)
		return
	}
	r, err := wire.ParseReply(p.GetPayload())
	if err != nil || r.Service != f.service {
		f.s.observer.report("I2", "flow %v of service %s received a %v from service %q", f.key, f.service, p.GetKind(), r.Service)
		return
	}
	if f.server != nil && f.server.name != r.Server {
		if p.GetKind() == pb.Kind_KIND_OPEN_ACK {
			f.closeAtServer(p.GetToken())
			return
		}
		f.markBroken("expected a packet from server %s, received one from %s", f.server.name, r.Server)
		return
	}
	if p.GetToken() != 0 {
		f.token = p.GetToken()
	}
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN_ACK:
		f.receiveOpenAck(now, r.Server)
	case pb.Kind_KIND_DATA:
		if m := f.findPending(pb.Kind_KIND_DATA); m != nil && r.Body == string(m.p.GetPayload()) {
			f.lastEchoAt = now
			f.removePending(m)
		}
	case pb.Kind_KIND_ANSWER:
		f.receiveAnswer(p, r)
	}
}

// closeAtServer closes the flow at the server that token identifies. That server
// accepted a copy of the opening, but the flow already has another server.
func (f *fakeFlow) closeAtServer(token uint64) {
	p := f.newPacket(pb.Kind_KIND_CLOSE, "")
	p.Token = token
	f.s.sendThroughFabric(f.dc, p)
}

// receiveOpenAck assigns the flow to the server of that name, unless it already
// has a server.
func (f *fakeFlow) receiveOpenAck(now time.Time, server string) {
	if f.server != nil {
		return
	}
	for _, srv := range f.s.servers {
		if srv.name == server {
			f.server = srv
		}
	}
	f.ackedAt, f.lastEchoAt, f.nextData, f.nextRequest = now, now, now, now
	if m := f.findPending(pb.Kind_KIND_OPEN); m != nil {
		f.removePending(m)
	}
}

// receiveAnswer checks that a part of an answer belongs to a request of this flow
// and repeats that request's payload. It records the parts by attempt;
// checkFlowEnd reports attempts of which parts are missing.
func (f *fakeFlow) receiveAnswer(p *pb.Packet, r wire.Reply) {
	m := f.issued[p.GetRequestId()]
	if m == nil {
		f.s.observer.report("I5", "flow %v received an answer to request %x, which it did not send", f.key, p.GetRequestId())
		return
	}
	if r.Body != string(m.p.GetPayload()) || r.Part != int(p.GetPart()) || p.GetPart() >= p.GetParts() {
		f.s.observer.report("I5", "request %x received part %d with the content of another answer", p.GetRequestId(), p.GetPart())
		return
	}
	if m.parts[p.GetAttempt()] == nil {
		m.parts[p.GetAttempt()] = map[uint32]bool{}
	}
	m.parts[p.GetAttempt()][p.GetPart()] = true
	if uint32(len(m.parts[p.GetAttempt()])) == p.GetParts() && m.outcome == "" {
		m.outcome = "answered"
		f.removePending(m)
	}
}

// receiveRefusal handles the refusal of a request, of an opening or of an
// established flow that the server does not know.
func (f *fakeFlow) receiveRefusal(inst *simInstance, now time.Time, p *pb.Packet) {
	if id := p.GetRequestId(); id != 0 {
		m := f.issued[id]
		if m == nil {
			f.s.observer.report("I5", "flow %v received a refusal of request %x, which it did not send", f.key, id)
			return
		}
		if m.outcome == "" {
			m.outcome = p.GetReason().String()
			f.removePending(m)
		}
		if p.GetOutcome() == pb.Outcome_OUTCOME_DID_NOT_RUN {
			f.s.observer.requestRefusedAsNotRun(inst, f.key, p)
		}
	}
	switch {
	case f.server != nil && p.GetReason() == pb.Reason_REASON_UNKNOWN_FLOW:
		f.markBroken("flow of server %s refused as unknown by a server", f.server.name)
	case f.server == nil && p.GetRequestId() == 0:
		if m := f.findPending(pb.Kind_KIND_OPEN); m != nil {
			f.removePending(m)
			f.nextOpen = now.Add(retransmitInterval)
		}
	}
}

func (f *fakeFlow) markBroken(format string, args ...any) {
	if f.broken {
		return
	}
	f.broken = true
	f.s.observer.flowBroken(f, fmt.Sprintf(format, args...))
}
