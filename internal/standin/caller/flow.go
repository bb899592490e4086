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

// message is a sent message that waits for its answer.
type message struct {
	packet   *pb.Packet
	first    time.Time
	repeat   time.Time
	deadline time.Time
	// parts holds the parts received so far, by attempt.
	parts map[uint32]map[uint32]wire.Reply
}

// flow is one flow with its own socket. One goroutine runs it, so it needs no
// lock.
type flow struct {
	cfg             *Config
	fabric, service netip.AddrPort
	res             *Result
	random          *rand.Rand
	start, end      time.Time

	conn   *net.UDPConn
	local  netip.AddrPort
	server string
	// token names the server; it is the last one received.
	token  uint64
	broken bool
	tries  int

	opening, data, request          *message
	nextOpen, nextData, nextRequest time.Time
	sequence                        uint64
	issued                          map[uint64]bool
	buf                             []byte
}

func (f *flow) run(ctx context.Context, address string) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(time.Until(f.start)):
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return fmt.Errorf("caller: address: %w", err)
	}
	// An unconnected socket accepts answers from any entry instance.
	f.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	defer func() { _ = f.conn.Close() }()
	f.local = wire.LocalAddr(f.conn)
	f.issued, f.buf = map[uint64]bool{}, make([]byte, wire.MaxDatagram)
	for ctx.Err() == nil {
		now := time.Now()
		if f.step(now) {
			break
		}
		f.receive(now)
	}
	if f.server != "" && !f.broken {
		f.send(f.packet(pb.Kind_KIND_CLOSE, nil))
	}
	f.abandon()
	return nil
}

// step sends what is due and reports whether the flow is finished.
func (f *flow) step(now time.Time) bool {
	f.stepOpening(now)
	if f.server != "" && !f.broken {
		f.stepData(now)
		f.stepRequest(now)
	}
	if f.broken || (f.server == "" && f.opening == nil && f.tries >= f.cfg.OpenTries) {
		return true
	}
	return !now.Before(f.end) && f.opening == nil && f.data == nil && f.request == nil
}

func (f *flow) stepOpening(now time.Time) {
	switch {
	case f.server != "":
	case f.opening == nil && f.tries < f.cfg.OpenTries && !now.Before(f.nextOpen) && now.Before(f.end):
		f.tries++
		f.res.Openings.Sent++
		f.opening = f.transmit(now, f.packet(pb.Kind_KIND_OPEN, nil), f.cfg.BrokenAfter)
	case f.opening != nil && !now.Before(f.opening.deadline):
		f.res.Openings.Lost++
		f.opening = nil
	default:
		f.repeat(now, f.opening)
	}
}

func (f *flow) stepData(now time.Time) {
	switch {
	case f.data == nil && f.cfg.DataInterval > 0 && !now.Before(f.nextData) && now.Before(f.end):
		f.sequence++
		f.nextData = now.Add(f.cfg.DataInterval)
		f.res.Data.Sent++
		f.data = f.transmit(now, f.packet(pb.Kind_KIND_DATA, fmt.Appendf(nil, "%s#%d", f.local, f.sequence)), f.cfg.BrokenAfter)
	case f.data != nil && !now.Before(f.data.deadline):
		f.res.Data.Lost++
		f.data = nil
		f.breakFlow("no echo")
	default:
		f.repeat(now, f.data)
	}
}

func (f *flow) stepRequest(now time.Time) {
	switch {
	case f.request == nil && f.cfg.RequestInterval > 0 && !now.Before(f.nextRequest) && now.Before(f.end):
		f.startRequest(now)
	case f.request != nil && !now.Before(f.request.deadline):
		f.countRequest(f.request, func(c *Count) { c.Lost++ })
		f.res.Causes["request not answered"]++
		f.request = nil
	default:
		f.repeat(now, f.request)
	}
}

func (f *flow) startRequest(now time.Time) {
	f.nextRequest = now.Add(f.cfg.RequestInterval)
	id := f.random.Uint64() | 1
	p := f.packet(pb.Kind_KIND_REQUEST, fmt.Appendf(nil, "%s?%d", f.local, id))
	p.RequestId, p.Priority, p.CallerAttempt = id, f.cfg.Priority, 1
	p.Idempotent = f.random.Float64() >= f.cfg.NonIdempotent
	f.issued[id] = true
	f.request = f.transmit(now, p, f.cfg.Deadline)
	f.request.parts = map[uint32]map[uint32]wire.Reply{}
	f.countRequest(f.request, func(c *Count) { c.Sent++ })
}

func (f *flow) countRequest(m *message, count func(*Count)) {
	count(&f.res.Requests)
	if !m.packet.GetIdempotent() {
		count(&f.res.NonIdempotent)
	}
}

func (f *flow) packet(kind pb.Kind, payload []byte) *pb.Packet {
	p := &pb.Packet{Kind: kind, Payload: payload, Token: f.token}
	wire.SetCaller(p, f.local)
	wire.SetService(p, f.service)
	return p
}

func (f *flow) transmit(now time.Time, p *pb.Packet, limit time.Duration) *message {
	m := &message{packet: p, first: now, repeat: now.Add(f.cfg.Retransmit), deadline: now.Add(limit)}
	f.setDeadline(now, m)
	f.send(p)
	return m
}

func (f *flow) setDeadline(now time.Time, m *message) {
	if m.packet.GetKind() == pb.Kind_KIND_REQUEST {
		m.packet.DeadlineMs = uint32(max(1, m.deadline.Sub(now).Milliseconds()))
	}
}

func (f *flow) repeat(now time.Time, m *message) {
	if m == nil || now.Before(m.repeat) {
		return
	}
	m.repeat = now.Add(f.cfg.Retransmit)
	if m.packet.GetKind() == pb.Kind_KIND_REQUEST {
		m.packet.CallerAttempt++
	}
	f.setDeadline(now, m)
	f.res.Retransmitted++
	f.send(m.packet)
}

// send ignores errors: a lost datagram is repeated.
func (f *flow) send(p *pb.Packet) {
	b, err := proto.Marshal(p)
	if err != nil {
		return
	}
	_, _ = f.conn.WriteToUDPAddrPort(b, f.fabric)
}

// receive handles one datagram or returns when something is due.
func (f *flow) receive(now time.Time) {
	_ = f.conn.SetReadDeadline(f.wake(now))
	n, _, err := f.conn.ReadFromUDPAddrPort(f.buf)
	if err != nil {
		return
	}
	p, err := wire.Decode(f.buf[:n])
	if err != nil || wire.FlowOf(p) != (wire.Flow{Caller: f.local, Service: f.service}) {
		f.res.Foreign++
		return
	}
	f.handle(time.Now(), p)
}

// wake returns the time of the next timer. The poll bound lets the flow notice
// the end of its context.
func (f *flow) wake(now time.Time) time.Time {
	at := now.Add(100 * time.Millisecond)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	for _, m := range []*message{f.opening, f.data, f.request} {
		if m != nil {
			earlier(m.repeat)
			earlier(m.deadline)
		}
	}
	earlier(f.nextOpen)
	earlier(f.nextData)
	earlier(f.nextRequest)
	earlier(f.end)
	return at
}

func (f *flow) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(d)))
}
