package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/token"
)

const (
	uploadPackets = 34
	packetHeader  = 32
)

var smallService = netip.MustParseAddrPort("198.18.0.2:443")

// sendUpload opens a flow, sends one request of uploadPackets packets and ends the flow
// after the answer.
func (inst *testInstance) sendUpload(port uint16, packetBytes int) Verdict {
	v := inst.open(port)
	s := flow.Segment{Key: key(port), Seq: 1, Ack: 100, Token: v.Token, Length: packetBytes, Size: packetHeader + packetBytes}
	for range uploadPackets {
		inst.handlePacket(&s)
		s.Seq += uint32(packetBytes)
	}
	inst.handlePacket(&flow.Segment{Key: key(port), Seq: s.Seq, Ack: 540, Token: v.Token, Final: true})
	return v
}

// linkCaller is one caller in linkPlay.
type linkCaller struct {
	key                         flow.Key
	token                       token.Token
	packets, sent, acknowledged int
	// attempt counts the openings of one upload, which is refused at refusedAt.
	attempt                         int
	openedAt, refusedAt, finishedAt time.Duration
	admitted, refused               bool
}

// linkPacket is a packet that waits for the link or is on the way.
type linkPacket struct {
	caller   *linkCaller
	segment  flow.Segment
	queuedAt time.Duration
}

// linkPlay plays callers at an instance behind a link of 10 Mbit/s. Callers have 16
// packets in flight and repeat a packet that waits for more than 200 ms.
type linkPlay struct {
	*testInstance
	at              time.Duration
	queue           []linkPacket
	callers         []*linkCaller
	retransmissions int
}

func (p *linkPlay) queuePacket(c *linkCaller, s flow.Segment) {
	s.Key, s.Token, s.Size = c.key, c.token, packetHeader+s.Length
	p.queue = append(p.queue, linkPacket{c, s, p.at})
}

func (p *linkPlay) open(to netip.AddrPort, packets int) *linkCaller {
	n := len(p.callers)
	c := &linkCaller{packets: packets, openedAt: p.at, key: flow.NewKey(
		netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 4001), to)}
	p.callers = append(p.callers, c)
	p.queuePacket(c, flow.Segment{Opening: true})
	return c
}

// send queues the caller's packets up to 16 in flight.
func (p *linkPlay) send(c *linkCaller) {
	for ; c.sent < c.packets && c.sent-c.acknowledged < 16; c.sent++ {
		p.queuePacket(c, flow.Segment{Seq: uint32(1 + c.sent*1200), Ack: 100, Length: 1200})
	}
}

// step carries the packets of one millisecond over the link.
func (p *linkPlay) step(credit int) (left int) {
	for credit += 1250; len(p.queue) > 0 && credit >= p.queue[0].segment.Size+packetOverhead; {
		packet := p.queue[0]
		p.queue = p.queue[1:]
		c, s := packet.caller, &packet.segment
		credit -= s.Size + packetOverhead
		if p.at-packet.queuedAt > 200*time.Millisecond && !s.Opening {
			p.retransmissions++
			p.queuePacket(c, *s)
		}
		v := p.handlePacket(s)
		switch {
		case s.Opening && v.Kind == Reset && v.Reason == LinkFull:
			c.refused, c.refusedAt = true, p.at
		case s.Opening && v.Kind == Forward:
			c.admitted, c.token = true, v.Token
			p.send(c)
		case v.Kind != Forward:
			p.t.Fatalf("%+v: %+v", s, v)
		case s.Length > 0 && c.acknowledged < c.packets:
			if c.acknowledged++; c.acknowledged == c.packets {
				c.finishedAt = p.at
				p.queuePacket(c, flow.Segment{Seq: s.Seq + 1200, Ack: 540, Final: true})
			}
			p.send(c)
		}
	}
	p.advance(time.Millisecond)
	p.at += time.Millisecond
	if p.at%TickInterval == 0 {
		p.handleEvent(Tick{})
		p.confirmSources()
	}
	return min(credit, 1250)
}

// playUploads plays 2 uploads a second, in a burst of 5 s 80 a second, together with 50
// small requests a second of another service. A refused caller tries twice more.
func playUploads(t *testing.T, bitsPerSecond float64) *linkPlay {
	p := &linkPlay{testInstance: newTestInstanceBehindLink(t, bitsPerSecond, server("i-1", norte), server("i-2", norte))}
	p.setConfiguration(2, service, smallService)
	credit := 0
	var opening []*linkCaller
	upload := func(attempt int) {
		c := p.open(service, uploadPackets)
		c.attempt = attempt
		opening = append(opening, c)
	}
	for p.at < 22*time.Second {
		every := 500 * time.Millisecond
		if p.at >= 10*time.Second && p.at < 15*time.Second {
			every = 12500 * time.Microsecond
		}
		if p.at.Truncate(every) != (p.at - time.Millisecond).Truncate(every) {
			upload(1)
		}
		if p.at%(20*time.Millisecond) == 0 {
			p.open(smallService, 1)
		}
		credit = p.step(credit)
		waiting := opening
		opening = nil
		for _, c := range waiting {
			switch {
			case c.refused && c.attempt < 3:
				upload(c.attempt + 1)
			case !c.refused && !c.admitted:
				opening = append(opening, c)
			}
		}
	}
	return p
}

// Guards against uploads that fill a narrow link with retransmissions, so that neither
// they nor the requests of other services are answered, also after the burst.
func TestUploadsOnNarrowLink(t *testing.T) {
	p := playUploads(t, 10e6)
	admitted, refused := 0, 0
	var slowest, slowestSmall, slowestRefusal time.Duration
	for _, c := range p.callers {
		upload := c.packets > 1
		took := c.finishedAt - c.openedAt
		switch {
		case c.openedAt > 21*time.Second:
		case c.admitted && c.finishedAt == 0:
			t.Fatalf("opened at %v, not finished: %+v", c.openedAt, c)
		case c.admitted && upload:
			admitted++
			slowest = max(slowest, took)
		case c.admitted:
			slowestSmall = max(slowestSmall, took)
		case !c.refused:
			t.Fatalf("opened at %v, neither admitted nor refused", c.openedAt)
		case !upload || c.openedAt < 10*time.Second || c.openedAt >= 17*time.Second:
			t.Fatalf("opened at %v and refused: upload %t", c.openedAt, upload)
		default:
			refused++
			slowestRefusal = max(slowestRefusal, c.refusedAt-c.openedAt)
		}
	}
	// A small request passes the queue twice, with its opening and its payload.
	const maxSmall = 300 * time.Millisecond
	const maxRefusal = maxSmall / 2
	report := fmt.Sprintf("%d retransmissions, %d uploads admitted, %d refused; slowest %v, refusals %v, small requests %v",
		p.retransmissions, admitted, refused, slowest, slowestRefusal, slowestSmall)
	t.Log(report)
	if p.retransmissions > 0 || refused == 0 || admitted < 140 || slowest > time.Second || slowestRefusal > maxRefusal || slowestSmall > maxSmall {
		t.Error(report)
	}
	if n := p.core.link.transfers.Count(); n > 1 {
		t.Errorf("%d transfers under way at the end", n)
	}
	if p := playUploads(t, 0); p.retransmissions < 1000 {
		t.Errorf("the load does not fill the link if all uploads are admitted: %d retransmissions", p.retransmissions)
	}
}

// Guards against a refusal that takes back an admission, and against one that attaches
// the flow to a server.
func TestAdmittedOpeningIsNotRefusedLater(t *testing.T) {
	inst := newTestInstanceBehindLink(t, 10e6, server("i-1", norte))
	port := uint16(1)
	for ; port <= 10; port++ {
		if v := inst.sendUpload(port, 1200); v.Kind != Forward {
			t.Fatalf("opening %d: %+v", port, v)
		}
	}
	inst.advance(time.Second)
	first := port
	for inst.open(port).Kind == Forward {
		port++
	}
	if inst.core.flows[key(port)] != nil {
		t.Error("a refused opening is tracked")
	}
	if n := port - first; n != 4 {
		t.Errorf("%d transfers admitted; want 4, whose packets in flight take 61 ms", n)
	}
	for _, copies := range []uint32{1, 2} {
		inst.advance(200 * time.Millisecond)
		if v := inst.sendOpening(first, copies); v.Kind != Forward {
			t.Errorf("transmission %d of an admitted opening: %+v", copies+1, v)
		}
		flows := inst.core.FlowCount()
		if v := inst.sendOpening(port, copies); v.Kind != Reset || v.Reason != LinkFull || inst.core.FlowCount() != flows {
			t.Errorf("transmission %d of a refused opening: %+v", copies+1, v)
		}
		// Another instance may have forwarded the first transmission of an opening that is
		// not known here, and the flow may be open.
		if v := inst.sendOpening(port+uint16(copies), copies); v.Kind != Forward {
			t.Errorf("transmission %d of an opening that is not known: %+v", copies+1, v)
		}
	}
	inst.advance(1700 * time.Millisecond)
	inst.handleEvent(Tick{})
	if v := inst.open(port); v.Kind != Forward {
		t.Errorf("after the transfers fell silent: %+v", v)
	}
}

// Guards against request sizes that count bytes twice or the rest of a request whose
// start another instance forwarded, and against sizes of removed routes that are kept.
func TestRequestSizesCountNewBytes(t *testing.T) {
	inst := newTestInstanceBehindLink(t, 10e6, server("i-1", norte))
	v := inst.openEstablished(1)
	for _, seq := range []uint32{1, 1, 601, 1} {
		inst.advance(200 * time.Millisecond)
		inst.handlePacket(&flow.Segment{Key: key(1), Seq: seq, Ack: 100, Token: v.Token, Length: 1200})
	}
	if got := inst.core.flows[key(1)].requestBytes; got != 1800 {
		t.Errorf("%d bytes of a request of 1800", got)
	}
	sizes := inst.core.link.requestSizes[service]
	for request := range uint32(2) {
		if sizes.Bulk() {
			t.Fatal("bulk because of requests whose start was not seen")
		}
		for port := uint16(2); port < 10; port++ {
			s := flow.Segment{Key: key(port), Seq: 1 + request*uploadPackets*1200, Ack: 100 + request*440, Token: v.Token, Length: 1200}
			for range uploadPackets {
				inst.handlePacket(&s)
				s.Seq += 1200
			}
			s.Length, s.Ack = 0, s.Ack+440
			inst.handlePacket(&s)
		}
	}
	if !sizes.Bulk() {
		t.Error("not bulk after requests whose start was seen")
	}
	inst.setConfiguration(2, smallService)
	if n := len(inst.core.link.requestSizes); n != 1 {
		t.Errorf("sizes of %d routes", n)
	}
}
