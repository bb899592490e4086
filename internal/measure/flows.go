package measure

import (
	"math/rand/v2"
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

type flowState int

const (
	flowOpening flowState = iota
	flowOpen
	flowEnded
)

// flow is a flow on the caller's side.
type flow struct {
	fleet             *fleet
	caller            netip.AddrPort
	dcIndex           int
	state             flowState
	openTransmissions int
	// dataTransmissions counts the transmissions of the unanswered data packet.
	dataTransmissions int
	sequence          uint64
	// token names the server. It is the last token received.
	token    model.ServerID
	requests map[uint64]request
}

type request struct {
	sentAt         time.Time
	alert          bool
	serviceStarted bool
}

// arrival is a request as sent by a caller.
type arrival struct {
	at    time.Time
	id    uint64
	alert bool
}

// newFlow opens a flow with a new caller address.
func (f *fleet) newFlow(dcIndex int, lifetime time.Duration) *flow {
	f.lastCaller++
	n := f.lastCaller
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 22), byte(n >> 14)}), uint16(1024+n&0x3fff))
	fl := &flow{fleet: f, caller: caller, dcIndex: dcIndex, requests: map[uint64]request{}}
	f.flows[caller] = fl
	f.tally.opened++
	fl.sendOpen()
	f.after(lifetime, fl.close)
	return fl
}

// startFlows opens the initial flows of all data centres over a duration. After it,
// new flows are opened at the rate at which flows end.
func (f *fleet) startFlows(duration time.Duration) {
	for dcIndex := range f.dataCentres {
		for range f.size.flows {
			f.after(time.Duration(f.rng.Int64N(int64(duration))), func() { f.newFlow(dcIndex, f.lifetime()) })
		}
		f.after(duration, func() { f.keepOpening(dcIndex) })
	}
}

// lifetime returns the random lifetime of an initial flow. One flow in four is a
// long session. The mean lifetime of the others keeps the number of flows
// constant.
func (f *fleet) lifetime() time.Duration {
	if f.size.openingsPerSecond == 0 || f.rng.IntN(4) == 0 {
		return time.Hour
	}
	mean := time.Duration(float64(f.size.flows) * 0.75 / float64(f.size.openingsPerSecond) * float64(time.Second))
	return f.exponential(mean)
}

// keepOpening opens flows at random intervals with a mean rate of
// openingsPerSecond.
func (f *fleet) keepOpening(dcIndex int) {
	if f.size.openingsPerSecond == 0 {
		return
	}
	mean := time.Second / time.Duration(f.size.openingsPerSecond)
	var next func()
	next = func() {
		if f.callersStopped {
			return
		}
		lifetime := f.exponential(time.Duration(float64(f.size.flows) * 0.75 / float64(f.size.openingsPerSecond) * float64(time.Second)))
		f.newFlow(dcIndex, lifetime)
		f.after(f.exponential(mean), next)
	}
	next()
}

func (fl *flow) send(p packet.Packet) {
	p.Caller, p.Service, p.Token = fl.caller, fl.fleet.dataCentres[fl.dcIndex].address, fl.token
	fl.fleet.spray(fl.fleet.dataCentres[fl.dcIndex], p)
}

// sendOpen sends the opening and retransmits it until the flow is open.
func (fl *flow) sendOpen() {
	if fl.state != flowOpening {
		return
	}
	fl.openTransmissions++
	if fl.openTransmissions > maxOpenTransmissions {
		fl.fleet.tally.openingsGivenUp++
		fl.remove()
		return
	}
	fl.send(packet.Packet{Kind: pb.Kind_KIND_OPEN})
	fl.fleet.after(openRetransmitInterval, fl.sendOpen)
}

func (fl *flow) close() {
	if fl.state == flowOpen {
		fl.send(packet.Packet{Kind: pb.Kind_KIND_CLOSE})
	}
	fl.remove()
}

func (fl *flow) remove() {
	fl.state = flowEnded
	delete(fl.fleet.flows, fl.caller)
}

func (fl *flow) handlePacket(p packet.Packet) {
	if fl.state == flowOpen && p.Kind == pb.Kind_KIND_OPEN_ACK && p.Token != fl.token {
		// Another server accepted a copy of the opening.
		fl.fleet.spray(fl.fleet.dataCentres[fl.dcIndex], packet.Packet{Kind: pb.Kind_KIND_CLOSE, Caller: fl.caller, Service: fl.fleet.dataCentres[fl.dcIndex].address, Token: p.Token})
		return
	}
	if p.Token != 0 {
		fl.token = p.Token
	}
	switch p.Kind {
	case pb.Kind_KIND_OPEN_ACK:
		if fl.state == flowOpening {
			fl.state = flowOpen
			fl.fleet.tally.established++
			fl.scheduleData()
		}
	case pb.Kind_KIND_DATA:
		if fl.state == flowOpen && fl.dataTransmissions > 0 {
			fl.dataTransmissions = 0
			fl.scheduleData()
		}
	case pb.Kind_KIND_ANSWER:
		fl.handleAnswer(p)
	case pb.Kind_KIND_REFUSAL:
		fl.handleRefusal(p)
	}
}

func (fl *flow) scheduleData() {
	// The intervals vary by up to half of their mean, so that none comes near
	// the idle timeout.
	interval := fl.fleet.size.dataInterval/2 + time.Duration(fl.fleet.rng.Int64N(int64(fl.fleet.size.dataInterval)))
	fl.fleet.after(interval, func() {
		fl.sequence++
		fl.sendData(fl.sequence)
	})
}

// sendData sends a data packet and retransmits it until an answer arrives.
func (fl *flow) sendData(sequence uint64) {
	if fl.state != flowOpen || sequence != fl.sequence {
		return
	}
	fl.dataTransmissions++
	if fl.dataTransmissions > maxDataTransmissions {
		fl.markBroken()
		return
	}
	transmission := fl.dataTransmissions
	fl.send(packet.Packet{Kind: pb.Kind_KIND_DATA})
	fl.fleet.after(dataRetransmitInterval, func() {
		if fl.dataTransmissions == transmission {
			fl.sendData(sequence)
		}
	})
}

// markBroken removes the flow and counts it as broken if it was open.
func (fl *flow) markBroken() {
	if fl.state == flowOpen {
		fl.fleet.tally.broken++
	}
	fl.remove()
}

func (fl *flow) handleRefusal(p packet.Packet) {
	switch {
	case p.RequestID != 0:
		if _, ok := fl.requests[p.RequestID]; ok {
			delete(fl.requests, p.RequestID)
			fl.fleet.tally.requestsRefused++
		}
	case p.Reason == pb.Reason_REASON_DATA_CENTRE_OUT:
		fl.reopenElsewhere()
	case fl.state == flowOpening:
		fl.fleet.tally.refused++
	case p.Reason == pb.Reason_REASON_UNKNOWN_FLOW:
		fl.markBroken()
	}
}

// reopenElsewhere replaces the flow by a new one in the next data centre.
func (fl *flow) reopenElsewhere() {
	f, dcIndex := fl.fleet, (fl.dcIndex+1)%len(fl.fleet.dataCentres)
	if _, known := f.flows[fl.caller]; !known {
		return
	}
	if fl.state == flowOpening {
		f.tally.moved++
	}
	fl.remove()
	f.after(f.delay(callerDelay), func() { f.newFlow(dcIndex, time.Hour) })
}

// serviceTime returns the service time of a request. It depends only on the
// request, so that all schemes and the single-queue model serve the same work.
func (f *fleet) serviceTime(id uint64) time.Duration {
	r := rand.New(rand.NewPCG(id, 11))
	return time.Duration(r.ExpFloat64() * float64(f.size.serviceTime))
}

// startRequests starts sending requests on random open flows.
func (f *fleet) startRequests() {
	if f.size.requestsPerSecond == 0 {
		return
	}
	var id uint64
	var next func()
	next = func() {
		if f.callersStopped {
			return
		}
		if fl := f.randomOpenFlow(); fl != nil {
			id++
			fl.sendRequest(id, f.rng.Float64() < f.size.alertShare)
		}
		f.after(f.exponential(time.Second/time.Duration(f.size.requestsPerSecond)), next)
	}
	next()
}

// randomOpenFlow returns a random open flow, or nil if 64 draws find none.
func (f *fleet) randomOpenFlow() *flow {
	for range 64 {
		n := 1 + uint32(f.rng.Int64N(int64(f.lastCaller)))
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 22), byte(n >> 14)}), uint16(1024+n&0x3fff))
		if fl := f.flows[caller]; fl != nil && fl.state == flowOpen {
			return fl
		}
	}
	return nil
}

const requestDeadline = 5 * time.Second

func (fl *flow) sendRequest(id uint64, alert bool) {
	fl.fleet.tally.requests++
	fl.requests[id] = request{sentAt: fl.fleet.now, alert: alert}
	fl.fleet.arrivals = append(fl.fleet.arrivals, arrival{fl.fleet.now, id, alert})
	priority := uint32(1)
	if alert {
		priority = 0
	}
	fl.send(packet.Packet{Kind: pb.Kind_KIND_REQUEST, RequestID: id, Idempotent: true, Priority: priority, CallerAttempt: 1, DeadlineMS: uint32(requestDeadline.Milliseconds())})
}

// noteServiceStart records the waiting time of an alert: the time from sending
// to the start of service, minus the network delay.
func (fl *flow) noteServiceStart(id uint64) {
	r, ok := fl.requests[id]
	if !ok || r.serviceStarted {
		return
	}
	r.serviceStarted = true
	fl.requests[id] = r
	if r.alert {
		networkDelay := callerDelay + serverDelay + delaySpread
		fl.fleet.tally.alertWaits = append(fl.fleet.tally.alertWaits, max(0, fl.fleet.now.Sub(r.sentAt)-networkDelay))
	}
}

func (fl *flow) handleAnswer(p packet.Packet) {
	if _, ok := fl.requests[p.RequestID]; ok {
		delete(fl.requests, p.RequestID)
		fl.fleet.tally.answered++
	}
}
