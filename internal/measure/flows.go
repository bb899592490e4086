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
	opening flowState = iota
	open
	ended
)

// flow is one flow of a caller.
type flow struct {
	f      *fleet
	caller netip.AddrPort
	dc     int
	state  flowState
	tries  int
	// waiting counts the transmissions of the data packet under way.
	waiting  int
	sequence uint64
	// token names the server; it is the last one received.
	token    model.ServerID
	requests map[uint64]request
}

type request struct {
	at      time.Time
	alert   bool
	started bool
}

// arrival is a request as it reached the fleet.
type arrival struct {
	at    time.Time
	id    uint64
	alert bool
}

// newFlow opens a flow with a new caller address.
func (f *fleet) newFlow(dc int, lifetime time.Duration) *flow {
	f.nextPort++
	n := f.nextPort
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 22), byte(n >> 14)}), uint16(1024+n&0x3fff))
	fl := &flow{f: f, caller: caller, dc: dc, requests: map[uint64]request{}}
	f.flows[caller] = fl
	f.tally.opened++
	fl.sendOpen()
	f.after(lifetime, fl.close)
	return fl
}

// startFlows brings up the flows of all data centres over a time, then keeps
// their number by opening as many as end.
func (f *fleet) startFlows(over time.Duration) {
	for dc := range f.centres {
		for range f.size.flows {
			f.after(time.Duration(f.rng.Int64N(int64(over))), func() { f.newFlow(dc, f.lifetime()) })
		}
		f.after(over, func() { f.keepOpening(dc) })
	}
}

// lifetime makes every fourth flow a long session; the others end so soon that
// the number of flows stays as it is.
func (f *fleet) lifetime() time.Duration {
	if f.size.openings == 0 || f.rng.IntN(4) == 0 {
		return time.Hour
	}
	mean := time.Duration(float64(f.size.flows) * 0.75 / float64(f.size.openings) * float64(time.Second))
	return f.exp(mean)
}

func (f *fleet) keepOpening(dc int) {
	if f.size.openings == 0 {
		return
	}
	mean := time.Second / time.Duration(f.size.openings)
	var next func()
	next = func() {
		if f.stopped {
			return
		}
		life := f.exp(time.Duration(float64(f.size.flows) * 0.75 / float64(f.size.openings) * float64(time.Second)))
		f.newFlow(dc, life)
		f.after(f.exp(mean), next)
	}
	next()
}

func (fl *flow) send(p packet.Packet) {
	p.Caller, p.Service, p.Token = fl.caller, fl.f.centres[fl.dc].address, fl.token
	fl.f.spray(fl.f.centres[fl.dc], p)
}

func (fl *flow) sendOpen() {
	if fl.state != opening {
		return
	}
	fl.tries++
	if fl.tries > openTries {
		fl.f.tally.gaveUp++
		fl.finish()
		return
	}
	fl.send(packet.Packet{Kind: pb.Kind_KIND_OPEN})
	fl.f.after(openRepeat, fl.sendOpen)
}

func (fl *flow) close() {
	if fl.state == open {
		fl.send(packet.Packet{Kind: pb.Kind_KIND_CLOSE})
	}
	fl.finish()
}

func (fl *flow) finish() {
	fl.state = ended
	delete(fl.f.flows, fl.caller)
}

func (fl *flow) receive(p packet.Packet) {
	if fl.state == open && p.Kind == pb.Kind_KIND_OPEN_ACK && p.Token != fl.token {
		// Another server accepted a copy of the opening.
		fl.f.spray(fl.f.centres[fl.dc], packet.Packet{Kind: pb.Kind_KIND_CLOSE, Caller: fl.caller, Service: fl.f.centres[fl.dc].address, Token: p.Token})
		return
	}
	if p.Token != 0 {
		fl.token = p.Token
	}
	switch p.Kind {
	case pb.Kind_KIND_OPEN_ACK:
		if fl.state == opening {
			fl.state = open
			fl.f.tally.established++
			fl.scheduleData()
		}
	case pb.Kind_KIND_DATA:
		if fl.state == open && fl.waiting > 0 {
			fl.waiting = 0
			fl.scheduleData()
		}
	case pb.Kind_KIND_ANSWER:
		fl.answered(p)
	case pb.Kind_KIND_REFUSAL:
		fl.refused(p)
	}
}

func (fl *flow) scheduleData() {
	// Keep-alive intervals vary by half; none comes near the idle timeout.
	interval := fl.f.size.data/2 + time.Duration(fl.f.rng.Int64N(int64(fl.f.size.data)))
	fl.f.after(interval, func() {
		fl.sequence++
		fl.sendData(fl.sequence)
	})
}

// sendData sends a data packet and repeats it until an answer comes.
func (fl *flow) sendData(sequence uint64) {
	if fl.state != open || sequence != fl.sequence {
		return
	}
	fl.waiting++
	if fl.waiting > dataTries {
		fl.breakFlow()
		return
	}
	n := fl.waiting
	fl.send(packet.Packet{Kind: pb.Kind_KIND_DATA})
	fl.f.after(dataRepeat, func() {
		if fl.waiting == n {
			fl.sendData(sequence)
		}
	})
}

func (fl *flow) breakFlow() {
	if fl.state == open {
		fl.f.tally.broken++
	}
	fl.finish()
}

func (fl *flow) refused(p packet.Packet) {
	switch {
	case p.RequestID != 0:
		if _, ok := fl.requests[p.RequestID]; ok {
			delete(fl.requests, p.RequestID)
			fl.f.tally.requestRefused++
		}
	case p.Reason == pb.Reason_REASON_DATA_CENTRE_OUT:
		fl.reopenElsewhere()
	case fl.state == opening:
		fl.f.tally.refused++
	case p.Reason == pb.Reason_REASON_UNKNOWN_FLOW:
		fl.breakFlow()
	}
}

// reopenElsewhere opens a flow again in the next data centre.
func (fl *flow) reopenElsewhere() {
	f, dc := fl.f, (fl.dc+1)%len(fl.f.centres)
	if _, known := f.flows[fl.caller]; !known {
		return
	}
	if fl.state == opening {
		f.tally.moved++
	}
	fl.finish()
	f.after(f.delay(callerDelay), func() { f.newFlow(dc, time.Hour) })
}

// serviceTime depends on the request only, so that schemes and the
// single-queue model serve the same work.
func (f *fleet) serviceTime(id uint64) time.Duration {
	r := rand.New(rand.NewPCG(id, 11))
	return time.Duration(r.ExpFloat64() * float64(f.size.service))
}

// startRequests makes open flows send requests.
func (f *fleet) startRequests() {
	if f.size.requests == 0 {
		return
	}
	var id uint64
	var next func()
	next = func() {
		if f.stopped {
			return
		}
		if fl := f.anyFlow(); fl != nil {
			id++
			fl.request(id, f.rng.Float64() < f.size.alerts)
		}
		f.after(f.exp(time.Second/time.Duration(f.size.requests)), next)
	}
	next()
}

// anyFlow returns a random open flow.
func (f *fleet) anyFlow() *flow {
	for range 64 {
		n := 1 + uint32(f.rng.Int64N(int64(f.nextPort)))
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 22), byte(n >> 14)}), uint16(1024+n&0x3fff))
		if fl := f.flows[caller]; fl != nil && fl.state == open {
			return fl
		}
	}
	return nil
}

const requestDeadline = 5 * time.Second

func (fl *flow) request(id uint64, alert bool) {
	fl.f.tally.requests++
	fl.requests[id] = request{at: fl.f.now, alert: alert}
	fl.f.arrivals = append(fl.f.arrivals, arrival{fl.f.now, id, alert})
	priority := uint32(1)
	if alert {
		priority = 0
	}
	fl.send(packet.Packet{Kind: pb.Kind_KIND_REQUEST, RequestID: id, Idempotent: true, Priority: priority, CallerAttempt: 1, DeadlineMS: uint32(requestDeadline.Milliseconds())})
}

// serviceBegins notes the waiting time of an alert: the time from the caller
// to the start of service, less the packet's way.
func (fl *flow) serviceBegins(id uint64) {
	r, ok := fl.requests[id]
	if !ok || r.started {
		return
	}
	r.started = true
	fl.requests[id] = r
	if r.alert {
		way := callerDelay + serverDelay + delaySpread
		fl.f.tally.alertWaits = append(fl.f.tally.alertWaits, max(0, fl.f.now.Sub(r.at)-way))
	}
}

func (fl *flow) answered(p packet.Packet) {
	if _, ok := fl.requests[p.RequestID]; ok {
		delete(fl.requests, p.RequestID)
		fl.f.tally.answered++
	}
}
