package measure

import (
	"fmt"
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

// server is a backend server of the model.
type server struct {
	f     *fleet
	dc    *centre
	entry *pb.ServerEntry
	id    model.ServerID
	addr  netip.AddrPort
	alive bool
	drain bool
	flows map[netip.AddrPort]bool
	busy  int
	// cold is set until warmAt.
	cold   bool
	warmAt time.Time
	// slow multiplies the service time.
	slow float64

	secondStart             time.Time
	inSecond                int
	coldPeak                float64
	lastOpening, lastPacket time.Time
}

func (f *fleet) newServer(c *centre, n int) *server {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, c.address.Addr().As4()[3], byte(n + 1)}), 9000)
	name := fmt.Sprintf("%s-%d", c.name, n+1)
	s := &server{
		f: f, dc: c, addr: addr, alive: true, flows: map[netip.AddrPort]bool{}, slow: 1, id: model.NewServerID(serviceName, name),
		entry: &pb.ServerEntry{Name: name, Address: addr.String(), Slots: uint32(f.size.slots), Connections: 2000, ColdSlots: coldSlots, ColdOpeningsPerSecond: coldOpenings},
	}
	f.byAddr[addr] = s
	return s
}

// goCold makes the server bear little until it has been warm for some time.
func (s *server) goCold(d time.Duration) {
	s.cold, s.warmAt = true, s.f.now.Add(d)
}

func (s *server) receive(from *instance, run uint64, p packet.Packet) {
	if !s.alive {
		return
	}
	s.lastPacket = s.f.now
	s.f.tally.lastPacket[s.dc.name] = s.f.now
	if s.cold && s.f.now.After(s.warmAt) {
		s.cold = false
	}
	answer := p
	answer.Cold = s.cold
	switch p.Kind {
	case pb.Kind_KIND_OPEN:
		s.countOpening(p)
		s.flows[p.Caller] = true
		answer.Kind = pb.Kind_KIND_OPEN_ACK
	case pb.Kind_KIND_DATA:
		if !s.flows[p.Caller] {
			answer.Kind, answer.Reason, answer.Outcome = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_UNKNOWN_FLOW, pb.Outcome_OUTCOME_DID_NOT_RUN
		}
	case pb.Kind_KIND_CLOSE:
		delete(s.flows, p.Caller)
		return
	case pb.Kind_KIND_REQUEST:
		s.request(from, run, p)
		return
	}
	s.answer(from, run, answer)
}

// countOpening keeps the highest number of openings within a second that a
// cold server got, over what it bears.
func (s *server) countOpening(p packet.Packet) {
	if s.flows[p.Caller] {
		return
	}
	s.lastOpening = s.f.now
	if s.f.now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.inSecond = s.f.now, 0
	}
	s.inSecond++
	if s.cold {
		s.coldPeak = max(s.coldPeak, float64(s.inSecond)/coldOpenings)
	}
}

func (s *server) request(from *instance, run uint64, p packet.Packet) {
	answer := p
	answer.Cold = s.cold
	slots := s.f.size.slots
	if s.cold {
		slots = coldSlots
		s.coldPeak = max(s.coldPeak, float64(s.busy+1)/coldSlots)
	}
	answer.Outcome = pb.Outcome_OUTCOME_DID_NOT_RUN
	if !s.flows[p.Caller] {
		answer.Kind, answer.Reason = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_UNKNOWN_FLOW
		s.answer(from, run, answer)
		return
	}
	if s.busy >= slots {
		answer.Kind, answer.Reason = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_SHED
		s.f.tally.shed++
		s.answer(from, run, answer)
		return
	}
	answer.Outcome = pb.Outcome_OUTCOME_UNSPECIFIED
	if fl := s.f.flows[p.Caller]; fl != nil {
		fl.serviceBegins(p.RequestID)
	}
	s.busy++
	s.f.after(time.Duration(float64(s.f.serviceTime(p.RequestID))*s.slow), func() {
		s.busy--
		answer.Kind, answer.Parts = pb.Kind_KIND_ANSWER, 1
		s.answer(from, run, answer)
	})
}

func (s *server) answer(to *instance, run uint64, p packet.Packet) {
	s.f.after(s.f.delay(serverDelay), func() {
		if to.alive && to.run == run {
			to.b.fromServer(s.f.now, s, &p)
		}
	})
}
