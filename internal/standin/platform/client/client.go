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
	openFor     = 1400 * time.Millisecond
	repeatFirst = 200 * time.Millisecond
	repeatMax   = 1600 * time.Millisecond
)

// copies are the times of an opening and its copies.
var copies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Errors of flows and requests.
var (
	// ErrReset: the flow was reset.
	ErrReset = errors.New("client: flow reset")
	// ErrNotOpened: no server accepted the flow in time.
	ErrNotOpened = errors.New("client: flow not opened")
	// ErrDeadline: no whole answer came in time.
	ErrDeadline = errors.New("client: deadline")
	// ErrMixed: bytes came that are no answer to the request.
	ErrMixed = errors.New("client: wrong answer")
)

// Host is one caller's address with its socket.
type Host struct {
	addr   netip.Addr
	router netip.AddrPort
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*Flow
	port  uint16
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
	h := &Host{addr: address.Addr(), router: router, socket: socket, flows: map[uint16]*Flow{}, port: 1024}
	go h.read()
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

func (h *Host) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, sealed, err := wire.Parse(bytes.Clone(b[:n]))
		h.mu.Lock()
		f := h.flows[p.Dst.Port()]
		if err != nil || (!sealed && (p.Flags != wire.RST || len(p.Payload) > 0)) {
			h.forged++
			f = nil
		}
		h.mu.Unlock()
		if f != nil && f.service == p.Src {
			f.deliver(p, sealed)
		}
	}
}

// Flow is one open flow; requests on it follow each other.
type Flow struct {
	host    *Host
	service netip.AddrPort
	local   netip.AddrPort
	in      chan arrival
	echo    uint32
	seq     uint32
	next    uint32
	unacked int
	// OpenedAt is the time at which the server accepted.
	OpenedAt time.Time
}

type arrival struct {
	packet wire.Packet
	sealed bool
}

func (f *Flow) deliver(p wire.Packet, sealed bool) {
	select {
	case f.in <- arrival{p, sealed}:
	default: // the reader is behind: the packet is lost and repeated
	}
}

// Open opens a flow to a service.
func (h *Host) Open(ctx context.Context, service netip.AddrPort) (*Flow, error) {
	h.mu.Lock()
	h.port++
	f := &Flow{host: h, service: service, local: netip.AddrPortFrom(h.addr, h.port), in: make(chan arrival, 256), seq: rand.Uint32()}
	h.flows[f.local.Port()] = f
	h.mu.Unlock()
	begin := time.Now()
	for n := range copies {
		next := openFor
		if n+1 < len(copies) {
			next = copies[n+1]
		}
		f.send(wire.SYN, f.seq, uint32(n), nil)
		ok, err := f.accepted(ctx, begin.Add(next))
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

func (f *Flow) accepted(ctx context.Context, until time.Time) (bool, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false, ErrDeadline
		case <-timer.C:
			return false, nil
		case a := <-f.in:
			switch {
			case a.packet.Flags&wire.RST != 0:
				return false, ErrReset
			case a.packet.Flags&wire.SYN != 0 && a.packet.Ack == f.seq+1:
				f.echo, f.next = a.packet.Echo, a.packet.Seq+1
				f.seq++
				f.OpenedAt = time.Now()
				f.send(wire.ACK, f.seq, f.next, nil)
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
	end := f.seq + uint32(len(payload))
	interval, acked := repeatFirst, false
	f.send(wire.ACK, f.seq, f.next, payload)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	var body []byte
	for {
		select {
		case <-ctx.Done():
			return Answer{}, ErrDeadline
		case <-timer.C:
			if !acked {
				f.send(wire.ACK, f.seq, f.next, payload)
				interval = min(2*interval, repeatMax)
				timer.Reset(interval)
			}
		case a := <-f.in:
			p := a.packet
			if p.Flags&wire.RST != 0 {
				return Answer{}, ErrReset
			}
			f.echo = p.Echo
			acked = acked || p.Ack == end
			body = f.collect(body, &p, end)
			if answer, whole, err := parseAnswer(body, id); err != nil || whole {
				f.seq = end
				f.send(wire.ACK, f.seq, f.next, nil)
				return answer, err
			}
		}
	}
}

// collect takes the next part of the answer and acknowledges every second one.
func (f *Flow) collect(body []byte, p *wire.Packet, end uint32) []byte {
	if len(p.Payload) == 0 {
		return body
	}
	if p.Seq != f.next {
		f.send(wire.ACK, end, f.next, nil)
		return body
	}
	f.next += uint32(len(p.Payload))
	if f.unacked++; f.unacked%2 == 0 {
		f.send(wire.ACK, end, f.next, nil)
	}
	return append(body, p.Payload...)
}

func parseAnswer(body []byte, id string) (Answer, bool, error) {
	head, rest, ok := bytes.Cut(body, []byte("\n"))
	if !ok {
		return Answer{}, false, nil
	}
	var a Answer
	var got string
	if _, err := fmt.Sscanf(string(head), "%s %s %s %d", &got, &a.Server, &a.Service, &a.Size); err != nil || got != id || len(rest) > a.Size {
		return Answer{}, false, errors.Wrapf(ErrMixed, "%q for request %s", head, id)
	}
	return a, len(rest) == a.Size, nil
}

// Reset reports whether a reset has come while the flow was idle.
func (f *Flow) Reset() bool {
	for {
		select {
		case a := <-f.in:
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
	f.send(wire.FIN|wire.ACK, f.seq, f.next, nil)
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
