package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"cuminshift/internal/standin/platform/wire"
)

// halfOpenTime is the time after which a server forgets a flow whose handshake was not
// completed: that of 8 retransmissions after 200 ms, 400 ms, 800 ms and then 1.6 s each.
const halfOpenTime = 9400 * time.Millisecond

// expiringServer is a backend server that forgets half-open flows. (The project's
// stand-in keeps them.)
type expiringServer struct {
	id, service, zone string
	address           netip.AddrPort
	fence             uint64
	site              *site
	conn              *net.UDPConn
	health            net.Listener
	born              int64
	stopped           chan struct{}

	mu       sync.Mutex
	draining bool
	// written is the value of draining in the entry.
	written bool
	seqNo   int
	flows   map[netip.AddrPort]*halfFlow
}

// halfFlow is a flow at an expiringServer.
type halfFlow struct {
	clientSeq   uint32
	seq         uint32
	nextSeq     uint32
	openedAt    time.Time
	established bool
}

// startExpiringServers starts three servers of a service in each zone. It returns them by
// id.
func (s *site) startExpiringServers(zones []string) (map[string]*expiringServer, error) {
	out := map[string]*expiringServer{}
	for z, zone := range zones {
		for i := range 3 {
			b, err := s.startExpiringServer(fmt.Sprintf("i-7f3a91%02x", 16*z+i), "campo-app", zone, z, i+1)
			if err != nil {
				return nil, err
			}
			out[b.id] = b
		}
	}
	return out, nil
}

// startExpiringServer starts a server and registers it.
func (s *site) startExpiringServer(id, service, zone string, zoneNumber, fourth int) (*expiringServer, error) {
	fence, err := strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64)
	if err != nil {
		return nil, err
	}
	b := &expiringServer{id: id, service: service, zone: zone, address: s.address(100+zoneNumber, fourth, serverPort), fence: fence, site: s,
		born: time.Now().UnixMilli(), stopped: make(chan struct{}), flows: map[netip.AddrPort]*halfFlow{}}
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address)); err != nil {
		return nil, err
	}
	if b.health, err = net.Listen("tcp4", b.address.String()); err != nil {
		b.conn.Close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", b.id)
		if b.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(b.health) }()
	s.closers = append(s.closers, func() { close(b.stopped); server.Close(); b.conn.Close() })
	go b.receive()
	go b.beat()
	return b, nil
}

func (b *expiringServer) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// drain reports that the server leaves; it goes on serving.
func (b *expiringServer) drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.writeEntry()
}

func (b *expiringServer) beat() {
	for {
		b.writeEntry()
		select {
		case <-b.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// writeEntry writes the server's entry. The entry changes when more than seq_no
// changes.
func (b *expiringServer) writeEntry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seqNo++
	if b.written == b.draining && b.seqNo > 1 && b.site.store.Contains("servers", b.id) {
		return
	}
	b.written = b.draining
	state := "ready"
	if b.draining {
		state = "draining"
	}
	b.site.store.Put("servers", b.id, map[string]any{"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1",
		"max_concurrency": 2, "state": state, "warmup_left_ms": 0, "seq_no": b.seqNo, "born": b.born})
}

func (b *expiringServer) receive() {
	data := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(data)
		if err != nil {
			return
		}
		if n < wire.FenceSize || binary.BigEndian.Uint64(data) != b.fence {
			continue
		}
		p, sumValid, err := wire.Parse(append([]byte(nil), data[wire.FenceSize:n]...))
		if err != nil || !sumValid {
			b.site.rec.Forged(b.id, time.Now())
			continue
		}
		b.handle(&p)
	}
}

func (b *expiringServer) handle(p *wire.Packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[p.Src]
	if f != nil && !f.established && time.Since(f.openedAt) > halfOpenTime {
		f = nil
		delete(b.flows, p.Src)
	}
	switch {
	case p.Flags&wire.SYN != 0:
		if f == nil {
			b.site.rec.Opened(b.id, b.service, p.Src, p.Dst, time.Now())
			f = &halfFlow{clientSeq: p.Seq, seq: rand.Uint32(), nextSeq: p.Seq + 1, openedAt: time.Now()}
			b.flows[p.Src] = f
		}
		if f.clientSeq == p.Seq {
			b.send(p, wire.SYN|wire.ACK, f.seq, f.nextSeq, nil)
		}
	case f == nil:
		if p.Flags&(wire.RST|wire.FIN) == 0 {
			b.send(p, wire.RST, p.Ack, 0, nil)
		}
	case p.Flags&(wire.RST|wire.FIN) != 0:
		delete(b.flows, p.Src)
		b.send(p, wire.ACK, f.seq+1, p.Seq+1, nil)
	case p.Ack == f.seq+1 && !f.established:
		f.established = true
		fallthrough
	default:
		b.run(f, p)
	}
}

// run runs a request of the form "ID WORK_MS BYTES" and answers it.
func (b *expiringServer) run(f *halfFlow, p *wire.Packet) {
	if len(p.Payload) == 0 || p.Seq != f.nextSeq {
		return
	}
	f.nextSeq += uint32(len(p.Payload))
	var id string
	var workMS, size int
	if _, err := fmt.Sscanf(string(p.Payload), "%s %d %d", &id, &workMS, &size); err != nil {
		b.site.rec.Forged(b.id, time.Now())
		return
	}
	b.site.rec.Ran(b.id, b.service, id, time.Now())
	answer := fmt.Appendf(nil, "%s %s %s %d\n%s", id, b.id, b.service, size, strings.Repeat("x", size))
	b.send(p, wire.ACK, f.seq+1, f.nextSeq, answer)
}

// send answers a packet.
func (b *expiringServer) send(p *wire.Packet, flags byte, seq, ack uint32, payload []byte) {
	out := wire.Packet{Echo: p.Echo, Flags: flags, Seq: seq, Ack: ack, Src: p.Dst, Dst: p.Src, Payload: payload}
	_, _ = b.conn.WriteToUDPAddrPort(out.Append(nil), netip.AddrPortFrom(p.Src.Addr(), packetPort))
}
