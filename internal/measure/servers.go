package measure

import (
	"fmt"
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

type server struct {
	fleet      *fleet
	dataCentre *dataCentre
	entry      *pb.ServerEntry
	id         model.ServerID
	address    netip.AddrPort
	alive      bool
	draining   bool
	flows      map[netip.AddrPort]bool
	busySlots  int
	// cold is true until warmAt.
	cold   bool
	warmAt time.Time
	// slowdown is the factor by which the service time is multiplied.
	slowdown float64

	// openingsInSecond counts the openings in the second from secondStartedAt.
	secondStartedAt  time.Time
	openingsInSecond int
	// coldPeakRatio is the highest ratio of load to capacity while cold, for
	// openings per second and for busy slots.
	coldPeakRatio           float64
	lastOpening, lastPacket time.Time
}

func (f *fleet) newServer(dc *dataCentre, n int) *server {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, dc.address.Addr().As4()[3], byte(n + 1)}), 9000)
	name := fmt.Sprintf("%s-%d", dc.name, n+1)
	s := &server{
		fleet: f, dataCentre: dc, address: addr, alive: true, flows: map[netip.AddrPort]bool{}, slowdown: 1, id: model.NewServerID(serviceName, name),
		entry: &pb.ServerEntry{Name: name, Address: addr.String(), Slots: uint32(f.size.slotsPerServer), Connections: 2000, ColdSlots: coldSlots, ColdOpeningsPerSecond: coldOpenings},
	}
	f.serversByAddress[addr] = s
	return s
}

// makeCold lowers the capacity of the server for the duration d.
func (s *server) makeCold(d time.Duration) {
	s.cold, s.warmAt = true, s.fleet.now.Add(d)
}

func (s *server) handlePacket(from *instance, incarnation uint64, p packet.Packet) {
	if !s.alive {
		return
	}
	s.lastPacket = s.fleet.now
	s.fleet.tally.lastPacket[s.dataCentre.name] = s.fleet.now
	if s.cold && s.fleet.now.After(s.warmAt) {
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
		s.handleRequest(from, incarnation, p)
		return
	}
	s.sendAnswer(from, incarnation, answer)
}

// countOpening counts an opening. For a cold server it keeps the highest ratio of
// openings within a second to the rate that a cold server can handle.
func (s *server) countOpening(p packet.Packet) {
	if s.flows[p.Caller] {
		return
	}
	s.lastOpening = s.fleet.now
	if s.fleet.now.Sub(s.secondStartedAt) >= time.Second {
		s.secondStartedAt, s.openingsInSecond = s.fleet.now, 0
	}
	s.openingsInSecond++
	if s.cold {
		s.coldPeakRatio = max(s.coldPeakRatio, float64(s.openingsInSecond)/coldOpenings)
	}
}

func (s *server) handleRequest(from *instance, incarnation uint64, p packet.Packet) {
	answer := p
	answer.Cold = s.cold
	slots := s.fleet.size.slotsPerServer
	if s.cold {
		slots = coldSlots
		s.coldPeakRatio = max(s.coldPeakRatio, float64(s.busySlots+1)/coldSlots)
	}
	answer.Outcome = pb.Outcome_OUTCOME_DID_NOT_RUN
	if !s.flows[p.Caller] {
		answer.Kind, answer.Reason = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_UNKNOWN_FLOW
		s.sendAnswer(from, incarnation, answer)
		return
	}
	if s.busySlots >= slots {
		answer.Kind, answer.Reason = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_SHED
		s.fleet.tally.shed++
		s.sendAnswer(from, incarnation, answer)
		return
	}
	answer.Outcome = pb.Outcome_OUTCOME_UNSPECIFIED
	if fl := s.fleet.flows[p.Caller]; fl != nil {
		fl.noteServiceStart(p.RequestID)
	}
	s.busySlots++
	s.fleet.after(time.Duration(float64(s.fleet.serviceTime(p.RequestID))*s.slowdown), func() {
		s.busySlots--
		answer.Kind, answer.Parts = pb.Kind_KIND_ANSWER, 1
		s.sendAnswer(from, incarnation, answer)
	})
}

func (s *server) sendAnswer(to *instance, incarnation uint64, p packet.Packet) {
	s.fleet.after(s.fleet.delay(serverDelay), func() {
		if to.alive && to.incarnation == incarnation {
			to.balancer.handleServerPacket(s.fleet.now, s, &p)
		}
	})
}
