package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/standin/wire"
)

// pendingMessage is a sent message that has not been answered.
type pendingMessage struct {
	packet       *pb.Packet
	firstSentAt  time.Time
	retransmitAt time.Time
	deadline     time.Time
	// parts holds the received parts of the answer by attempt and part number;
	// it is nil unless the message is a request.
	parts map[uint32]map[uint32]wire.Reply
}

// flow is one flow with its own socket. It needs no lock because a single
// goroutine runs it.
type flow struct {
	cfg             *Config
	fabric, service netip.AddrPort
	result          *Result
	rng             *rand.Rand
	start, end      time.Time

	conn  *net.UDPConn
	local netip.AddrPort
	// server is the name of the server that accepted the flow, or empty while
	// the flow is not open.
	server string
	// token is the latest token received; it identifies the server.
	token        uint64
	broken       bool
	openAttempts int

	pendingOpening, pendingData, pendingRequest *pendingMessage
	nextOpenAt, nextDataAt, nextRequestAt       time.Time
	dataSequence                                uint64
	issuedRequests                              map[uint64]bool
	buf                                         []byte
}

func (f *flow) run(ctx context.Context, address string) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(time.Until(f.start)):
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return fmt.Errorf("caller: invalid address: %w", err)
	}
	// An unconnected socket accepts replies from any entry instance.
	f.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return fmt.Errorf("caller: listen: %w", err)
	}
	defer func() { _ = f.conn.Close() }()
	f.local = wire.LocalAddr(f.conn)
	f.issuedRequests, f.buf = map[uint64]bool{}, make([]byte, wire.MaxDatagramSize)
	for ctx.Err() == nil {
		now := time.Now()
		if f.step(now) {
			break
		}
		f.receive(now)
	}
	if f.server != "" && !f.broken {
		f.sendPacket(f.newPacket(pb.Kind_KIND_CLOSE, nil))
	}
	f.countLost()
	return nil
}

// step sends the messages and retransmissions that are due, drops the pending
// messages whose deadline has passed and reports whether the flow is finished.
func (f *flow) step(now time.Time) bool {
	f.stepOpening(now)
	if f.server != "" && !f.broken {
		f.stepData(now)
		f.stepRequest(now)
	}
	if f.broken || (f.server == "" && f.pendingOpening == nil && f.openAttempts >= f.cfg.MaxOpenAttempts) {
		return true
	}
	return !now.Before(f.end) && f.pendingOpening == nil && f.pendingData == nil && f.pendingRequest == nil
}

func (f *flow) stepOpening(now time.Time) {
	switch {
	case f.server != "":
	case f.pendingOpening == nil && f.openAttempts < f.cfg.MaxOpenAttempts && !now.Before(f.nextOpenAt) && now.Before(f.end):
		f.openAttempts++
		f.result.Openings.Sent++
		f.pendingOpening = f.sendMessage(now, f.newPacket(pb.Kind_KIND_OPEN, nil), f.cfg.BrokenAfter)
	case f.pendingOpening != nil && !now.Before(f.pendingOpening.deadline):
		f.result.Openings.Lost++
		f.pendingOpening = nil
	default:
		f.retransmit(now, f.pendingOpening)
	}
}

func (f *flow) stepData(now time.Time) {
	switch {
	case f.pendingData == nil && f.cfg.DataInterval > 0 && !now.Before(f.nextDataAt) && now.Before(f.end):
		f.dataSequence++
		f.nextDataAt = now.Add(f.cfg.DataInterval)
		f.result.Data.Sent++
		f.pendingData = f.sendMessage(now, f.newPacket(pb.Kind_KIND_DATA, fmt.Appendf(nil, "%s#%d", f.local, f.dataSequence)), f.cfg.BrokenAfter)
	case f.pendingData != nil && !now.Before(f.pendingData.deadline):
		f.result.Data.Lost++
		f.pendingData = nil
		f.markBroken("no echo")
	default:
		f.retransmit(now, f.pendingData)
	}
}

func (f *flow) stepRequest(now time.Time) {
	switch {
	case f.pendingRequest == nil && f.cfg.RequestInterval > 0 && !now.Before(f.nextRequestAt) && now.Before(f.end):
		f.startRequest(now)
	case f.pendingRequest != nil && !now.Before(f.pendingRequest.deadline):
		f.countRequest(f.pendingRequest, func(c *MessageCounts) { c.Lost++ })
		f.result.Causes["request not answered"]++
		f.pendingRequest = nil
	default:
		f.retransmit(now, f.pendingRequest)
	}
}

func (f *flow) startRequest(now time.Time) {
	f.nextRequestAt = now.Add(f.cfg.RequestInterval)
	id := f.rng.Uint64() | 1
	p := f.newPacket(pb.Kind_KIND_REQUEST, fmt.Appendf(nil, "%s?%d", f.local, id))
	p.RequestId, p.Priority, p.CallerAttempt = id, f.cfg.Priority, 1
	p.Idempotent = f.rng.Float64() >= f.cfg.NonIdempotentShare
	f.issuedRequests[id] = true
	f.pendingRequest = f.sendMessage(now, p, f.cfg.Deadline)
	f.pendingRequest.parts = map[uint32]map[uint32]wire.Reply{}
	f.countRequest(f.pendingRequest, func(c *MessageCounts) { c.Sent++ })
}

func (f *flow) countRequest(m *pendingMessage, count func(*MessageCounts)) {
	count(&f.result.Requests)
	if !m.packet.GetIdempotent() {
		count(&f.result.NonIdempotent)
	}
}

func (f *flow) newPacket(kind pb.Kind, payload []byte) *pb.Packet {
	p := &pb.Packet{Kind: kind, Payload: payload, Token: f.token}
	wire.SetCaller(p, f.local)
	wire.SetService(p, f.service)
	return p
}

func (f *flow) sendMessage(now time.Time, p *pb.Packet, timeout time.Duration) *pendingMessage {
	m := &pendingMessage{packet: p, firstSentAt: now, retransmitAt: now.Add(f.cfg.RetransmitInterval), deadline: now.Add(timeout)}
	f.setDeadline(now, m)
	f.sendPacket(p)
	return m
}

func (f *flow) setDeadline(now time.Time, m *pendingMessage) {
	if m.packet.GetKind() == pb.Kind_KIND_REQUEST {
		m.packet.DeadlineMs = uint32(max(1, m.deadline.Sub(now).Milliseconds()))
	}
}

func (f *flow) retransmit(now time.Time, m *pendingMessage) {
	if m == nil || now.Before(m.retransmitAt) {
		return
	}
	m.retransmitAt = now.Add(f.cfg.RetransmitInterval)
	if m.packet.GetKind() == pb.Kind_KIND_REQUEST {
		m.packet.CallerAttempt++
	}
	f.setDeadline(now, m)
	f.result.Retransmitted++
	f.sendPacket(m.packet)
}

// sendPacket ignores errors, because a lost datagram is retransmitted.
func (f *flow) sendPacket(p *pb.Packet) {
	b, err := proto.Marshal(p)
	if err != nil {
		return
	}
	_, _ = f.conn.WriteToUDPAddrPort(b, f.fabric)
}

// receive handles one datagram, or returns when the next timer is due.
func (f *flow) receive(now time.Time) {
	_ = f.conn.SetReadDeadline(f.nextWakeup(now))
	n, _, err := f.conn.ReadFromUDPAddrPort(f.buf)
	if err != nil {
		return
	}
	p, err := wire.Decode(f.buf[:n])
	if err != nil || wire.FlowOf(p) != (wire.Flow{Caller: f.local, Service: f.service}) {
		f.result.Unmatched++
		return
	}
	f.handlePacket(time.Now(), p)
}

// nextWakeup returns the time of the next timer, at most 100 ms from now so that
// the flow notices the end of its context.
func (f *flow) nextWakeup(now time.Time) time.Time {
	at := now.Add(100 * time.Millisecond)
	consider := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	for _, m := range []*pendingMessage{f.pendingOpening, f.pendingData, f.pendingRequest} {
		if m != nil {
			consider(m.retransmitAt)
			consider(m.deadline)
		}
	}
	consider(f.nextOpenAt)
	consider(f.nextDataAt)
	consider(f.nextRequestAt)
	consider(f.end)
	return at
}

func (f *flow) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(d)))
}
