package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"cuminshift/internal/standin/platform/wire"
)

const (
	// acceptTimeout is the time after which an opening without an answer ends.
	acceptTimeout = 1400 * time.Millisecond
	// The interval of retransmissions doubles from firstInterval to lastInterval.
	firstInterval = 200 * time.Millisecond
	lastInterval  = 1600 * time.Millisecond
)

// rawClient is a client that chooses its ports itself and sees who sent a packet. It
// has one flow at a time.
type rawClient struct {
	rec     *record
	ip      netip.Addr
	via     netip.AddrPort
	socket  *net.UDPConn
	packets chan received
}

// received is a packet and the machine that sent it.
type received struct {
	wire.Packet
	from      netip.AddrPort
	sumValid  bool
	arrivedAt time.Time
}

// newRawClient returns a client at an address that sends its packets to via.
func (s *site) newRawClient(address, via netip.AddrPort) (*rawClient, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &rawClient{rec: s.rec, ip: address.Addr(), via: via, socket: socket, packets: make(chan received, 256)}
	s.closers = append(s.closers, func() { socket.Close() })
	go c.receive()
	return c, nil
}

func (c *rawClient) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, sumValid, err := wire.Parse(bytes.Clone(b[:n]))
		if err != nil {
			c.rec.breaks("MIXED: a client got bytes that are no packet, from %s", from)
			continue
		}
		select {
		case c.packets <- received{p, from, sumValid, time.Now()}:
		default: // the packet is lost, as in a full buffer
		}
	}
}

// rawFlow is a flow of a rawClient.
type rawFlow struct {
	c              *rawClient
	local, service netip.AddrPort
	echo           uint32
	seq, nextSeq   uint32
}

// newFlow returns a flow that has not been opened.
func (c *rawClient) newFlow(port uint16, service netip.AddrPort) *rawFlow {
	return &rawFlow{c: c, local: netip.AddrPortFrom(c.ip, port), service: service, seq: rand.Uint32()}
}

func (f *rawFlow) send(flags byte, seq, ack uint32, payload []byte) {
	p := wire.Packet{Echo: f.echo, Flags: flags, Seq: seq, Ack: ack, Src: f.local, Dst: f.service, Payload: payload}
	_, _ = f.c.socket.WriteToUDPAddrPort(p.Append(nil), f.c.via)
}

// next returns the flow's next packet; ok is false if none arrives in time.
func (f *rawFlow) next(until time.Time) (r received, ok bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return r, false
		case r = <-f.c.packets:
			if r.Dst == f.local && r.Src == f.service {
				return r, true
			}
		}
	}
}

// sendOpening sends the first copy of the opening and returns the answer to it.
func (f *rawFlow) sendOpening() (received, error) {
	f.send(wire.SYN, f.seq, 0, nil)
	r, ok := f.next(time.Now().Add(firstInterval))
	if !ok {
		return r, fmt.Errorf("no answer to the opening of %s", f.local)
	}
	if r.Flags&wire.RST != 0 {
		return r, fmt.Errorf("the opening of %s is reset", f.local)
	}
	return r, nil
}

// open opens the flow. The opening is sent up to three times.
func (f *rawFlow) open() error {
	begin := time.Now()
	for number, end := range []time.Duration{firstInterval, 3 * firstInterval, acceptTimeout} {
		f.send(wire.SYN, f.seq, uint32(number), nil)
		for {
			r, ok := f.next(begin.Add(end))
			if !ok {
				break
			}
			if r.Flags&wire.RST != 0 {
				return fmt.Errorf("the opening of %s is reset by %s", f.local, r.from)
			}
			if r.Flags&wire.SYN != 0 && r.Ack == f.seq+1 {
				f.echo, f.nextSeq = r.Echo, r.Seq+1
				f.seq++
				f.send(wire.ACK, f.seq, f.nextSeq, nil)
				return nil
			}
		}
	}
	return fmt.Errorf("no server accepts %s", f.local)
}

// outcome is what a client gets for a request.
type outcome struct {
	// server answered; it is empty if there was no answer.
	server string
	// resetBy is the machine that reset the flow, if one did.
	resetBy  netip.AddrPort
	sumValid bool
}

// request sends a request of the form that the stand-in of a backend server runs, and
// waits for its answer, the reset of the flow or the deadline.
func (f *rawFlow) request(id string, deadline time.Duration) outcome {
	payload := fmt.Appendf(nil, "%s 5 200", id)
	until := time.Now().Add(deadline)
	end := f.seq + uint32(len(payload))
	var body []byte
	for interval := firstInterval; time.Now().Before(until); interval = min(2*interval, lastInterval) {
		f.send(wire.ACK, f.seq, f.nextSeq, payload)
		again := time.Now().Add(interval)
		if again.After(until) {
			again = until
		}
		for {
			r, ok := f.next(again)
			if !ok {
				break
			}
			if r.Flags&wire.RST != 0 {
				return outcome{resetBy: r.from, sumValid: r.sumValid}
			}
			f.echo = r.Echo
			if len(r.Payload) == 0 || r.Seq != f.nextSeq {
				continue
			}
			f.nextSeq += uint32(len(r.Payload))
			body = append(body, r.Payload...)
			var gotID, server, service string
			var size int
			if _, err := fmt.Sscanf(string(body), "%s %s %s %d", &gotID, &server, &service, &size); err == nil && gotID == id {
				f.seq = end
				f.send(wire.ACK, f.seq, f.nextSeq, nil)
				return outcome{server: server}
			}
		}
	}
	return outcome{}
}

// close ends the client's half of the flow.
func (f *rawFlow) close() { f.send(wire.FIN|wire.ACK, f.seq, f.nextSeq, nil) }
