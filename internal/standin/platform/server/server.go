// Package server is a stand-in for a backend server of the users' platform. It
// keeps flows, runs requests in slots, answers callers directly and registers
// itself in the store.
package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/wire"
)

const (
	// The retransmission interval of a packet doubles from retransmitInitial up
	// to retransmitMax. A flow is dropped when one of its packets is
	// unacknowledged after maxRetransmits retransmissions.
	retransmitInitial = 200 * time.Millisecond
	retransmitMax     = 1600 * time.Millisecond
	maxRetransmits    = 8
	// sendWindow is the largest number of unacknowledged packets of a flow.
	sendWindow = 16
	// retransmitTick is the interval at which due retransmissions are sent.
	retransmitTick = 20 * time.Millisecond
	// maxQueueTime is the time after which a server with a bounded queue refuses a
	// request that waits for a slot.
	maxQueueTime = 100 * time.Millisecond
	// refusalSize is the size of a refusal, at most half of that of the shortest
	// answer with a result.
	refusalSize = 128
)

// Config describes a server.
type Config struct {
	// ID is "i-" followed by hexadecimal digits.
	ID, Service, Zone string
	Address           netip.AddrPort
	// CallerPort is the port on which all callers receive packets.
	CallerPort uint16
	// Slots is the number of requests that run concurrently.
	Slots int
	// QueueLimit is the number of requests that wait for a slot; further ones and
	// those that wait longer than maxQueueTime are refused. 0 means that all
	// requests wait without limit.
	QueueLimit int
	// StoreURL is the base URL of the store, HeartbeatInterval the interval at
	// which the server writes its entry.
	StoreURL          string
	HeartbeatInterval time.Duration
	Observer          Observer
}

// Observer is notified of the events of a server.
type Observer interface {
	// Opened is called when an opening or a copy of one arrives. to is the service
	// address of the flow.
	Opened(server, service string, caller netip.AddrPort, to netip.AddrPort, at time.Time)
	// Ran is called when a request starts to run.
	Ran(server, service, request string, at time.Time)
	// Forged is called when a packet arrives that no caller sent in this form:
	// it is malformed, its checksum is invalid or its request cannot be parsed.
	Forged(server string, at time.Time)
}

// Server is a running stand-in.
type Server struct {
	cfg Config
	// fence is the number in front of every packet to this server, taken from its
	// ID. Packets with another number, such as those for an earlier server at the
	// same address, are ignored.
	fence          uint64
	packetConn     *net.UDPConn
	healthListener net.Listener
	slots          chan struct{}
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup

	mu         sync.Mutex
	flows      map[netip.AddrPort]*flow
	draining   bool
	heartbeats int
	// queued is the number of requests that wait for a slot.
	queued    int
	startedMS int64
}

type flow struct {
	caller, service netip.AddrPort
	echo            uint32 // latest value received; every packet returns it
	seq, nextSeq    uint32 // sequence numbers of the next byte to send and to receive
	synAck          []byte // encoded acceptance, which answers each copy of the opening
	// inFlight holds the unacknowledged packets, queue those that wait because
	// the window is full.
	inFlight, queue []*outgoingPacket
}

// outgoingPacket is a data packet until it is acknowledged.
type outgoingPacket struct {
	packet      wire.Packet
	sentAt      time.Time
	interval    time.Duration
	retransmits int
}

// Start runs a server until Kill.
func Start(cfg Config) (*Server, error) {
	fence, err := strconv.ParseUint(strings.TrimPrefix(cfg.ID, "i-"), 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "server: invalid id")
	}
	s := &Server{cfg: cfg, fence: fence, slots: make(chan struct{}, cfg.Slots), flows: map[netip.AddrPort]*flow{}, startedMS: time.Now().UnixMilli()}
	if s.packetConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address)); err != nil {
		return nil, errors.Wrap(err, "server: listen for packets")
	}
	if s.healthListener, err = net.Listen("tcp4", cfg.Address.String()); err != nil {
		s.packetConn.Close()
		return nil, errors.Wrap(err, "server: listen for health checks")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, job := range []func(context.Context){s.receiveLoop, s.retransmitLoop, s.heartbeatLoop, s.serveHealth} {
		s.goroutines.Add(1)
		go func() { defer s.goroutines.Done(); job(ctx) }()
	}
	return s, nil
}

// Kill stops the server at once. Its entry stays in the store.
func (s *Server) Kill() {
	s.cancel()
	s.packetConn.Close()
	s.healthListener.Close()
	s.goroutines.Wait()
}

// Drain marks the server as draining, in its store entry and in its health
// check.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.writeEntry(context.Background())
}

// ID returns the server's identifier.
func (s *Server) ID() string { return s.cfg.ID }

// Service returns the server's service.
func (s *Server) Service() string { return s.cfg.Service }

// Zone returns the server's zone.
func (s *Server) Zone() string { return s.cfg.Zone }

// Address returns the server's address.
func (s *Server) Address() netip.AddrPort { return s.cfg.Address }

func (s *Server) serveHealth(ctx context.Context) {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", s.cfg.ID)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { <-ctx.Done(); server.Close() }()
	// Serve returns an error only because the server is closed.
	_ = server.Serve(s.healthListener)
}

func (s *Server) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.writeEntry(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(s.cfg.HeartbeatInterval):
		}
	}
}

// writeEntry writes the server's entry to the store. It ignores a failed write,
// because the next heartbeat writes the entry again.
func (s *Server) writeEntry(ctx context.Context) {
	s.mu.Lock()
	s.heartbeats++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	spec := map[string]any{"service": s.cfg.Service, "address": s.cfg.Address.String(), "zone": s.cfg.Zone, "version": "v1",
		"max_concurrency": s.cfg.Slots, "state": state, "warmup_left_ms": 0, "seq_no": s.heartbeats, "born": s.startedMS}
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"name": s.cfg.ID}, "spec": spec})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.HeartbeatInterval)
	defer cancel()
	url := s.cfg.StoreURL + "/cuminshift/objects/servers"
	if status := s.callStore(ctx, http.MethodPut, url+"/"+s.cfg.ID, body); status == http.StatusNotFound {
		s.callStore(ctx, http.MethodPost, url, body)
	}
}

// callStore calls the store and returns the HTTP status, or 0 when the call
// fails.
func (s *Server) callStore(ctx context.Context, method, url string, body []byte) int {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (s *Server) receiveLoop(ctx context.Context) {
	b := make([]byte, 2048)
	for ctx.Err() == nil {
		n, _, err := s.packetConn.ReadFromUDPAddrPort(b)
		if err != nil || n < wire.FenceSize {
			continue
		}
		if binary.BigEndian.Uint64(b) != s.fence {
			continue
		}
		p, checksumValid, err := wire.Parse(bytes.Clone(b[wire.FenceSize:n]))
		if err != nil || !checksumValid {
			s.cfg.Observer.Forged(s.cfg.ID, time.Now())
			continue
		}
		s.mu.Lock()
		s.handlePacket(ctx, &p)
		s.mu.Unlock()
	}
}

func (s *Server) handlePacket(ctx context.Context, p *wire.Packet) {
	f := s.flows[p.Src]
	if p.Flags&wire.SYN != 0 {
		s.handleOpen(f, p)
		return
	}
	if f == nil {
		if p.Flags&(wire.RST|wire.FIN) == 0 && len(p.Payload) > 0 {
			s.send(&wire.Packet{Echo: p.Echo, Flags: wire.RST, Seq: p.Ack, Src: p.Dst, Dst: p.Src})
		}
		return
	}
	f.echo = p.Echo
	if p.Flags&wire.RST != 0 {
		delete(s.flows, p.Src)
		return
	}
	s.handleAck(f, p.Ack)
	if len(p.Payload) > 0 && p.Seq == f.nextSeq {
		f.nextSeq += uint32(len(p.Payload))
		request := string(p.Payload)
		go s.runRequest(ctx, f, request)
	}
	if p.Flags&wire.FIN != 0 && p.Seq == f.nextSeq {
		f.nextSeq++
		delete(s.flows, p.Src)
	}
	if len(p.Payload) > 0 || p.Flags&wire.FIN != 0 {
		s.sendOnFlow(f, wire.ACK, nil)
	}
}

func (s *Server) handleOpen(f *flow, p *wire.Packet) {
	s.cfg.Observer.Opened(s.cfg.ID, s.cfg.Service, p.Src, p.Dst, time.Now())
	if f == nil {
		f = &flow{caller: p.Src, service: p.Dst, seq: rand.Uint32(), nextSeq: p.Seq + 1}
		s.flows[p.Src] = f
		f.synAck = (&wire.Packet{Echo: p.Echo, Flags: wire.SYN | wire.ACK, Seq: f.seq, Ack: f.nextSeq, Src: f.service, Dst: f.caller}).Append(nil)
		f.seq++
	}
	f.echo = p.Echo
	binary.LittleEndian.PutUint32(f.synAck, p.Echo)
	s.transmit(f.synAck, f.caller)
}

// runRequest runs a request of the form "ID WORK_MS BYTES" and answers it, or
// refuses it if the server is full.
func (s *Server) runRequest(ctx context.Context, f *flow, request string) {
	var id string
	var workMS, size int
	if _, err := fmt.Sscanf(request, "%s %d %d", &id, &workMS, &size); err != nil {
		s.cfg.Observer.Forged(s.cfg.ID, time.Now())
		return
	}
	if !s.acquireSlot(ctx) {
		if ctx.Err() == nil {
			refusal := fmt.Sprintf("%s %s %s refused", id, s.cfg.ID, s.cfg.Service)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sendAnswer(f, fmt.Appendf(nil, "%-*s\n", refusalSize-1, refusal))
		}
		return
	}
	defer func() { <-s.slots }()
	s.cfg.Observer.Ran(s.cfg.ID, s.cfg.Service, id, time.Now())
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(workMS) * time.Millisecond):
	}
	header := fmt.Sprintf("%s %s %s %d\n", id, s.cfg.ID, s.cfg.Service, size)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendAnswer(f, append([]byte(header), bytes.Repeat([]byte("x"), size)...))
}

// acquireSlot waits for a slot. It reports false if the request is to be refused or
// the server is stopped.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	var timeout <-chan time.Time
	if s.cfg.QueueLimit > 0 {
		if !s.enqueue() {
			return false
		}
		defer s.dequeue()
		timeout = time.After(maxQueueTime)
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

func (s *Server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued >= s.cfg.QueueLimit {
		return false
	}
	s.queued++
	return true
}

func (s *Server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
}

func (s *Server) sendAnswer(f *flow, body []byte) {
	for len(body) > 0 {
		n := min(len(body), wire.MaxPayload)
		p := wire.Packet{Flags: wire.ACK, Seq: f.seq, Src: f.service, Dst: f.caller, Payload: body[:n]}
		f.seq += uint32(n)
		body = body[n:]
		f.queue = append(f.queue, &outgoingPacket{packet: p, interval: retransmitInitial})
	}
	s.fillWindow(f)
}

// fillWindow sends queued packets until the window is full.
func (s *Server) fillWindow(f *flow) {
	for len(f.inFlight) < sendWindow && len(f.queue) > 0 {
		outgoing := f.queue[0]
		f.queue = f.queue[1:]
		f.inFlight = append(f.inFlight, outgoing)
		s.sendOutgoing(f, outgoing)
	}
}

func (s *Server) sendOutgoing(f *flow, outgoing *outgoingPacket) {
	outgoing.sentAt = time.Now()
	outgoing.packet.Echo, outgoing.packet.Ack = f.echo, f.nextSeq
	s.send(&outgoing.packet)
}

func (s *Server) handleAck(f *flow, ack uint32) {
	for len(f.inFlight) > 0 {
		outgoing := f.inFlight[0]
		if int32(ack-(outgoing.packet.Seq+uint32(len(outgoing.packet.Payload)))) < 0 {
			break
		}
		f.inFlight = f.inFlight[1:]
	}
	s.fillWindow(f)
}

func (s *Server) retransmitLoop(ctx context.Context) {
	ticker := time.NewTicker(retransmitTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		s.mu.Lock()
		for key, f := range s.flows {
			if !s.retransmitFlow(f) {
				delete(s.flows, key)
			}
		}
		s.mu.Unlock()
	}
}

// retransmitFlow sends the due retransmissions of a flow. It reports false when
// a packet has already been retransmitted maxRetransmits times.
func (s *Server) retransmitFlow(f *flow) bool {
	for _, outgoing := range f.inFlight {
		if time.Since(outgoing.sentAt) < outgoing.interval {
			continue
		}
		if outgoing.retransmits++; outgoing.retransmits > maxRetransmits {
			return false
		}
		outgoing.interval = min(2*outgoing.interval, retransmitMax)
		s.sendOutgoing(f, outgoing)
	}
	return true
}

func (s *Server) sendOnFlow(f *flow, flags byte, payload []byte) {
	s.send(&wire.Packet{Echo: f.echo, Flags: flags, Seq: f.seq, Ack: f.nextSeq, Src: f.service, Dst: f.caller, Payload: payload})
}

func (s *Server) send(p *wire.Packet) { s.transmit(p.Append(nil), p.Dst) }

// transmit sends a datagram to a caller. It ignores errors, because a lost
// packet is retransmitted.
func (s *Server) transmit(b []byte, caller netip.AddrPort) {
	_, _ = s.packetConn.WriteToUDPAddrPort(b, netip.AddrPortFrom(caller.Addr(), s.cfg.CallerPort))
}
