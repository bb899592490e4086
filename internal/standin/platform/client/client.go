// Package client is a stand-in for callers on the users' platform. It opens
// flows, sends requests on them and retransmits packets that are not
// acknowledged.
package client

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/wire"
)

const (
	// openTimeout is the time after which an opening without a reply fails.
	openTimeout = 1400 * time.Millisecond
	// The retransmission interval of a request doubles from retransmitInitial up
	// to retransmitMax.
	retransmitInitial = 200 * time.Millisecond
	retransmitMax     = 1600 * time.Millisecond
)

// openSchedule lists the times, after the start of an opening, at which the
// opening and its copies are sent.
var openSchedule = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Errors of flows and requests.
var (
	// ErrReset reports that the flow was reset.
	ErrReset = errors.New("client: flow reset")
	// ErrNotOpened reports that no server accepted the flow within openTimeout.
	ErrNotOpened = errors.New("client: no server accepted the flow in time")
	// ErrDeadline reports that the context ended before the flow was open or the
	// answer complete.
	ErrDeadline = errors.New("client: deadline exceeded")
	// ErrWrongAnswer reports that the received bytes are not an answer to the
	// request.
	ErrWrongAnswer = errors.New("client: answer does not match the request")
)

// Host is the address and the socket of one caller.
type Host struct {
	addr   netip.Addr
	router netip.AddrPort
	socket *net.UDPConn

	mu sync.Mutex
	// flows holds the open flows by the caller's port.
	flows    map[uint16]*Flow
	lastPort uint16
	// forged counts packets that no server sent in this form and that are not a
	// reset by the product: malformed ones, and those without a valid checksum
	// that are not an empty reset.
	forged int
}

// NewHost binds a socket to address and sends all packets to router.
func NewHost(address, router netip.AddrPort) (*Host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "client: listen")
	}
	h := &Host{addr: address.Addr(), router: router, socket: socket, flows: map[uint16]*Flow{}, lastPort: 1024}
	go h.receiveLoop()
	return h, nil
}

// Close closes the socket.
func (h *Host) Close() { h.socket.Close() }

// Forged returns the number of received packets that no server sent in this form
// and that are not a reset by the product.
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

// Flow is one open flow. It carries one request at a time.
type Flow struct {
	host          *Host
	service       netip.AddrPort
	local         netip.AddrPort
	arrivals      chan arrival
	echo          uint32 // latest value received; every packet returns it
	seq           uint32 // sequence number of the next byte to send
	nextSeq       uint32 // sequence number of the next byte to receive
	receivedParts int
	reset         bool // a reset arrived while the flow was idle
	// OpenedAt is the time at which the acceptance by the server arrived.
	OpenedAt time.Time
}

// arrival is a received packet.
type arrival struct {
	packet        wire.Packet
	checksumValid bool
}

func (f *Flow) deliver(p wire.Packet, checksumValid bool) {
	select {
	case f.arrivals <- arrival{p, checksumValid}:
	default: // the buffer is full: the packet is lost and its sender retransmits it
	}
}

// Open opens a flow to a service. It sends the opening and its copies until a
// server accepts the flow, the flow is reset or openTimeout has passed.
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

// waitAccepted waits for a reply to the opening and reports whether a server has
// accepted the flow before until.
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

// Answer describes a complete answer.
type Answer struct {
	Server, Service string
	// Size is the number of bytes after the header line.
	Size int
	// Refused is set if the server was full and has not run the request.
	Refused bool
}

// Request sends a request and waits for its complete answer. The server works on
// it for workMS milliseconds and answers with size bytes.
func (f *Flow) Request(ctx context.Context, id string, workMS, size int) (Answer, error) {
	if f.reset {
		return Answer{}, ErrReset
	}
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

// appendPart appends the next part of the answer to body and acknowledges every
// second part. It discards a part that is out of sequence and acknowledges it at
// once.
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

// parseAnswer parses the bytes received so far and reports whether the answer is
// complete. An answer is a header line "ID SERVER SERVICE SIZE" and SIZE bytes, or
// only a header line with "refused" instead of SIZE.
func parseAnswer(body []byte, id string) (Answer, bool, error) {
	header, rest, ok := bytes.Cut(body, []byte("\n"))
	if !ok {
		return Answer{}, false, nil
	}
	var a Answer
	var gotID, size string
	_, err := fmt.Sscanf(string(header), "%s %s %s %s", &gotID, &a.Server, &a.Service, &size)
	if a.Refused = size == "refused"; !a.Refused && err == nil {
		a.Size, err = strconv.Atoi(size)
	}
	if err != nil || gotID != id || len(rest) > a.Size {
		return Answer{}, false, errors.Wrapf(ErrWrongAnswer, "answer header %q for request %s", header, id)
	}
	return a, len(rest) == a.Size, nil
}

// WasReset consumes the packets that have arrived while the flow was idle and
// reports whether a reset was among these or earlier ones.
func (f *Flow) WasReset() bool {
	for {
		select {
		case a := <-f.arrivals:
			if a.packet.Flags&wire.RST != 0 {
				f.reset = true
				continue
			}
			f.echo = a.packet.Echo
		default:
			return f.reset
		}
	}
}

// Close closes the flow on its server and drops it.
func (f *Flow) Close() {
	f.send(wire.FIN|wire.ACK, f.seq, f.nextSeq, nil)
	f.Drop()
}

// Drop removes the flow from its host without notifying the server.
func (f *Flow) Drop() {
	f.host.mu.Lock()
	delete(f.host.flows, f.local.Port())
	f.host.mu.Unlock()
}

// Local returns the caller's address and port of the flow.
func (f *Flow) Local() netip.AddrPort { return f.local }

func (f *Flow) send(flags byte, seq, ack uint32, payload []byte) {
	p := wire.Packet{Echo: f.echo, Flags: flags, Seq: seq, Ack: ack, Src: f.local, Dst: f.service, Payload: payload}
	// A packet that is lost here is retransmitted.
	_, _ = f.host.socket.WriteToUDPAddrPort(p.Append(nil), f.host.router)
}
