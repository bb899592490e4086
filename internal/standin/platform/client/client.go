// Package client is a stand-in for callers on the users' platform: it opens
// flows, sends requests on them and repeats what is not acknowledged.
package client

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/wire"
)

const (
	openTimeout       = 1400 * time.Millisecond
	retransmitInitial = 200 * time.Millisecond
	retransmitMax     = 1600 * time.Millisecond
)

// openSchedule are the times of an opening and its copies.
var openSchedule = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Errors of flows and requests.
var (
	// ErrReset: the flow was reset.
	ErrReset = errors.New("client: flow reset")
	// ErrNotOpened: no server accepted the flow in time.
	ErrNotOpened = errors.New("client: flow not opened")
	// ErrDeadline: no whole answer came in time.
	ErrDeadline = errors.New("client: deadline")
	// ErrWrongAnswer: bytes came that are no answer to the request.
	ErrWrongAnswer = errors.New("client: wrong answer")
)

// Host is one caller's address with its socket.
type Host struct {
	addr   netip.Addr
	router netip.AddrPort
	socket *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*Flow
	lastPort uint16
	// forged counts packets that neither a server nor a reset of the product
	// explains.
	forged int
}

// NewHost binds the address; packets go to the router.
func NewHost(address, router netip.AddrPort) (*Host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	h := &Host{addr: address.Addr(), router: router, socket: socket, flows: map[uint16]*Flow{}, lastPort: 1024}
	go h.receiveLoop()
	return h, nil
}

// Close ends the host.
func (h *Host) Close() { h.socket.Close() }

// Forged returns the number of packets that nobody wrote so.
func (h *Host) Forged() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forged
}

func (h *Host) receiveLoop() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, checksumValid, err := wire.Parse(bytes.Clone(b[:n]))
		h.mu.Lock()
		f := h.flows[p.Dst.Port()]
		if err != nil || (!checksumValid && (p.Flags != wire.RST || len(p.Payload) > 0)) {
			h.forged++
			f = nil
		}
		h.mu.Unlock()
		if f != nil && f.service == p.Src {
			f.deliver(p, checksumValid)
		}
	}
}

// Flow is one open flow; requests on it follow each other.
type Flow struct {
	host          *Host
	service       netip.AddrPort
	local         netip.AddrPort
	arrivals      chan arrival
	echo          uint32
	seq           uint32
	nextSeq       uint32
	receivedParts int
	// OpenedAt is the time at which the server accepted.
	OpenedAt time.Time
}

type arrival struct {
	packet        wire.Packet
	checksumValid bool
}

func (f *Flow) deliver(p wire.Packet, checksumValid bool) {
	select {
	case f.arrivals <- arrival{p, checksumValid}:
	default: // the reader is behind: the packet is lost and repeated
	}
}

// Open opens a flow to a service.
func (h *Host) Open(ctx context.Context, service netip.AddrPort) (*Flow, error) {
	h.mu.Lock()
	h.lastPort++
	f := &Flow{host: h, service: service, local: netip.AddrPortFrom(h.addr, h.lastPort), arrivals: make(chan arrival, 256), seq: rand.Uint32()}
	h.flows[f.local.Port()] = f
	h.mu.Unlock()
	start := time.Now()
	for copyNumber := range openSchedule {
		next := openTimeout
		if copyNumber+1 < len(openSchedule) {
			next = openSchedule[copyNumber+1]
		}
		f.send(wire.SYN, f.seq, uint32(copyNumber), nil)
		ok, err := f.waitAccepted(ctx, start.Add(next))
		if err != nil {
			f.Drop()
			return nil, err
		}
		if ok {
			return f, nil
		}
	}
	f.Drop()
	return nil, ErrNotOpened
}

func (f *Flow) waitAccepted(ctx context.Context, until time.Time) (bool, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false, ErrDeadline
		case <-timer.C:
			return false, nil
		case a := <-f.arrivals:
			switch {
			case a.packet.Flags&wire.RST != 0:
				return false, ErrReset
			case a.packet.Flags&wire.SYN != 0 && a.packet.Ack == f.seq+1:
				f.echo, f.nextSeq = a.packet.Echo, a.packet.Seq+1
				f.seq++
				f.OpenedAt = time.Now()
				f.send(wire.ACK, f.seq, f.nextSeq, nil)
				return true, nil
			}
		}
	}
}

// Answer is a whole answer.
type Answer struct {
	Server, Service string
	Size            int
}

// Request sends a request and waits for the whole answer.
func (f *Flow) Request(ctx context.Context, id string, workMS, size int) (Answer, error) {
	payload := fmt.Appendf(nil, "%s %d %d", id, workMS, size)
	endSeq := f.seq + uint32(len(payload))
	interval, acked := retransmitInitial, false
	f.send(wire.ACK, f.seq, f.nextSeq, payload)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	var body []byte
	for {
		select {
		case <-ctx.Done():
			return Answer{}, ErrDeadline
		case <-timer.C:
			if !acked {
				f.send(wire.ACK, f.seq, f.nextSeq, payload)
				interval = min(2*interval, retransmitMax)
				timer.Reset(interval)
			}
		case a := <-f.arrivals:
			p := a.packet
			if p.Flags&wire.RST != 0 {
				return Answer{}, ErrReset
			}
			f.echo = p.Echo
			acked = acked || p.Ack == endSeq
			body = f.appendPart(body, &p, endSeq)
			if answer, complete, err := parseAnswer(body, id); err != nil || complete {
				f.seq = endSeq
				f.send(wire.ACK, f.seq, f.nextSeq, nil)
				return answer, err
			}
		}
	}
}

// appendPart takes the next part of the answer and acknowledges every second one.
func (f *Flow) appendPart(body []byte, p *wire.Packet, endSeq uint32) []byte {
	if len(p.Payload) == 0 {
		return body
	}
	if p.Seq != f.nextSeq {
		f.send(wire.ACK, endSeq, f.nextSeq, nil)
		return body
	}
	f.nextSeq += uint32(len(p.Payload))
	if f.receivedParts++; f.receivedParts%2 == 0 {
		f.send(wire.ACK, endSeq, f.nextSeq, nil)
	}
	return append(body, p.Payload...)
}

func parseAnswer(body []byte, id string) (Answer, bool, error) {
	header, rest, ok := bytes.Cut(body, []byte("\n"))
	if !ok {
		return Answer{}, false, nil
	}
	var a Answer
	var gotID string
	if _, err := fmt.Sscanf(string(header), "%s %s %s %d", &gotID, &a.Server, &a.Service, &a.Size); err != nil || gotID != id || len(rest) > a.Size {
		return Answer{}, false, errors.Wrapf(ErrWrongAnswer, "%q for request %s", header, id)
	}
	return a, len(rest) == a.Size, nil
}

// WasReset reports whether a reset has come while the flow was idle.
func (f *Flow) WasReset() bool {
	for {
		select {
		case a := <-f.arrivals:
			if a.packet.Flags&wire.RST != 0 {
				return true
			}
			f.echo = a.packet.Echo
		default:
			return false
		}
	}
}

// Close ends the flow towards its server.
func (f *Flow) Close() {
	f.send(wire.FIN|wire.ACK, f.seq, f.nextSeq, nil)
	f.Drop()
}

// Drop forgets the flow.
func (f *Flow) Drop() {
	f.host.mu.Lock()
	delete(f.host.flows, f.local.Port())
	f.host.mu.Unlock()
}

// Local returns the caller's end of the flow.
func (f *Flow) Local() netip.AddrPort { return f.local }

func (f *Flow) send(flags byte, seq, ack uint32, payload []byte) {
	p := wire.Packet{Echo: f.echo, Flags: flags, Seq: seq, Ack: ack, Src: f.local, Dst: f.service, Payload: payload}
	// What is lost is repeated.
	_, _ = f.host.socket.WriteToUDPAddrPort(p.Append(nil), f.host.router)
}
