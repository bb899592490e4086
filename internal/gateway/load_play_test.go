package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

const (
	este = model.DataCentre("este")
	// Each data centre has playInstances instances and, for each service, playServers
	// servers that work on playSlots requests of 50 ms at a time.
	playInstances, playServers, playSlots = 2, 4, 4
	playCapacity                          = playServers * playSlots * 20.0 // requests a second
	// Times in milliseconds.
	playObjective, playTimeout, playGap = 500, 1000, 150
	burstFrom, burstTo                  = 3000, 13000
	longFlowRequests                    = 10
)

var (
	playDataCentres = []model.DataCentre{norte, sur, este}
	urgentAddress   = netip.MustParseAddrPort("198.18.0.1:443") // priority 1, service campo
	usualAddress    = netip.MustParseAddrPort("198.18.0.2:443") // priority 2, service campo
	ordersAddress   = netip.MustParseAddrPort("198.18.0.3:443") // priority 2, service ordenes
)

// demand is the requests that callers of one data centre make to one address. The rate is
// multiplied by burst between burstFrom and burstTo.
type demand struct {
	dataCentre            model.DataCentre
	address               netip.AddrPort
	perSecond, burst      float64
	untilShort, untilLong float64
}

type playServer struct {
	registry.Entry
	busy, connections int
	silent            bool
	queue             []*queuedRequest
}

type queuedRequest struct {
	caller   *playCaller
	progress int
	started  bool
}

// playCaller makes its requests one after the other, on one flow if they are several.
type playCaller struct {
	dataCentre model.DataCentre
	remaining  int
	// temporary callers leave when the burst ends.
	temporary bool
	key       flow.Key
	segment   flow.Segment // the next request on the open flow
	server    *playServer  // nil unless the flow is open
	// progress changes with everything that the caller receives or gives up. handled is
	// the progress of the last request that a server has received.
	progress, handled           int
	request, attempt, startedAt int
}

type playOutcome struct {
	dataCentre model.DataCentre
	address    netip.AddrPort
	startedAt  int
	endedAt    int
	served     bool // within the objective
}

type playOpening struct {
	instance *testInstance
	from, to model.DataCentre
	address  netip.AddrPort
	at       int
	verdict  Verdict
}

// loadPlay plays callers and servers of three data centres at their instances, in steps of
// 1 ms. A packet takes 1 ms. A refused or reset request is repeated at once from a new
// port, at most twice; a packet without an answer after 200 ms, 600 ms and so on.
type loadPlay struct {
	random    *rand.Rand
	at        int // milliseconds
	now       time.Time
	later     map[int][]func()
	instances map[model.DataCentre][]*testInstance
	servers   map[string]*playServer
	demands   []*demand
	callers   map[flow.Key]*playCaller
	ports     int

	// loss is the fraction of the packets that are lost after an instance, short the
	// fraction of the results that are as short as a refusal.
	loss, short    float64
	maxConnections int     // of a server; 0 is unlimited
	long           float64 // fraction of the requests that are made on long flows
	outcomes       []playOutcome
	openings       []playOpening
	// resets counts the open flows that instances reset, drops the packets that they drop,
	// refusals the requests that servers refuse.
	resets, drops         int
	retransmits, refusals int
	probes                map[reach.ProbeResult]int
}

func newLoadPlay(t *testing.T, seed uint64, demands ...*demand) *loadPlay {
	p := &loadPlay{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), later: map[int][]func(){}, demands: demands, long: 0.5,
		instances: map[model.DataCentre][]*testInstance{}, servers: map[string]*playServer{}, callers: map[flow.Key]*playCaller{}, probes: map[reach.ProbeResult]int{}}
	for i, dc := range playDataCentres {
		for j := range 2 * playServers {
			e := server(fmt.Sprintf("i-%s-%d", dc, j), dc)
			e.Slots, e.Address = playSlots, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(j)}), 80)
			if j >= playServers {
				e.Service = ordenes
			}
			p.servers[e.Name] = &playServer{Entry: e}
		}
	}
	for _, dc := range playDataCentres {
		for range playInstances {
			inst := &testInstance{t: t}
			p.start(inst, dc)
			p.instances[dc] = append(p.instances[dc], inst)
		}
	}
	return p
}

// start starts an instance without any state of flows and servers' load.
func (p *loadPlay) start(inst *testInstance, dc model.DataCentre) {
	inst.now, inst.core = p.now, New(Config{DataCentre: dc, MaxStaleness: 2700 * time.Millisecond, FlowLifetime: time.Minute, Instances: 1})
	c := &routing.Configuration{Version: 1, IdleTimeout: 15 * time.Second, Services: map[string]routing.Service{campo: {Name: campo}, ordenes: {Name: ordenes}}}
	route := func(service string, priority uint8) *routing.Route {
		return &routing.Route{Shares: []routing.Share{{Service: service, Weight: 1}}, Priority: priority,
			AnswerWithin: playObjective * time.Millisecond, GiveUpAfter: playTimeout * time.Millisecond}
	}
	c.Routes = map[netip.AddrPort]*routing.Route{urgentAddress: route(campo, 1), usualAddress: route(campo, 2), ordersAddress: route(ordenes, 2)}
	inst.revision++
	inst.handleEvent(SourceUpdated{Kind: source.Configuration, AsOf: p.now, Update: source.Update{Full: true, Position: inst.position(), Configuration: c}})
	var entries []registry.Entry
	for _, srv := range p.servers {
		entries = append(entries, srv.Entry)
	}
	inst.setServers(entries...)
}

func (p *loadPlay) after(ms int, f func()) { p.later[p.at+ms] = append(p.later[p.at+ms], f) }

func (p *loadPlay) eachInstance(f func(dc model.DataCentre, inst *testInstance)) {
	for _, dc := range playDataCentres {
		for _, inst := range p.instances[dc] {
			f(dc, inst)
		}
	}
}

func (p *loadPlay) runUntil(end int) {
	for ; p.at < end; p.at++ {
		p.now = time.Unix(1000, 0).Add(time.Duration(p.at) * time.Millisecond)
		p.eachInstance(func(_ model.DataCentre, inst *testInstance) { inst.now, inst.actions = p.now, inst.actions[:0] })
		for _, f := range p.later[p.at] {
			f()
		}
		delete(p.later, p.at)
		for _, d := range p.demands {
			factor := 1.0
			if p.at >= burstFrom && p.at < burstTo {
				factor = d.burst
			}
			perStep := d.perSecond * factor / 1000
			for d.untilShort -= perStep * (1 - p.long); d.untilShort < 0; d.untilShort += p.random.ExpFloat64() {
				p.arrive(d, 1, factor)
			}
			for d.untilLong -= perStep * p.long / longFlowRequests; d.untilLong < 0; d.untilLong += p.random.ExpFloat64() {
				p.arrive(d, longFlowRequests, factor)
			}
		}
		if p.at%100 == 0 {
			p.eachInstance(func(_ model.DataCentre, inst *testInstance) {
				inst.confirmSources()
				p.perform(inst, inst.handleEvent(Tick{}))
			})
		}
	}
}

// full reports whether the server resets the connections of probes.
func (p *loadPlay) full(srv *playServer) bool {
	return srv.busy >= srv.Slots || p.atLimit(srv)
}

func (p *loadPlay) atLimit(srv *playServer) bool {
	return p.maxConnections > 0 && srv.connections >= p.maxConnections
}

// perform carries out what an instance asks for.
func (p *loadPlay) perform(inst *testInstance, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ResetFlow:
			p.resets++
			if c := p.callers[a.Flow]; c != nil {
				progress := c.progress
				p.after(1, func() { p.fail(c, progress) })
			}
		case Probe:
			e, took := ProbeDone{Server: a.Server, Result: reach.Answered, ControlAnswered: a.Control.IsValid()}, 3
			switch srv := p.servers[a.Server]; {
			case srv.silent:
				e.Result, took = reach.NoAnswer, 120
			case p.full(srv):
				e.Result = reach.ConnectionReset
			}
			p.probes[e.Result]++
			p.after(took, func() { p.perform(inst, inst.handleEvent(e)) })
		}
	}
}

func (p *loadPlay) arrive(d *demand, requests int, factor float64) {
	c := &playCaller{dataCentre: d.dataCentre, remaining: requests, temporary: p.random.Float64() > 1/factor}
	c.key = flow.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(p.random.IntN(16)), byte(p.random.IntN(256))}), 0), d.address)
	p.startRequest(c)
}

func (p *loadPlay) startRequest(c *playCaller) {
	c.request, c.attempt, c.startedAt = c.request+1, 0, p.at
	request := c.request
	p.after(playTimeout, func() {
		if c.request == request && c.attempt >= 0 {
			p.close(c, flow.Segment{Reset: true})
			p.finish(c, false)
		}
	})
	if c.server != nil {
		c.attempt = 1
		p.transmit(c, c.segment, 200)
	} else {
		p.open(c)
	}
}

func (p *loadPlay) open(c *playCaller) {
	delete(p.callers, c.key)
	c.attempt, c.progress, p.ports = c.attempt+1, c.progress+1, p.ports+1
	c.key.CallerPort = uint16(p.ports)
	p.callers[c.key] = c
	p.transmit(c, flow.Segment{Key: c.key, Opening: true}, 200)
}

// transmit sends a packet and repeats it until the caller has an answer.
func (p *loadPlay) transmit(c *playCaller, s flow.Segment, interval int) {
	progress := c.progress
	p.after(1, func() { p.deliver(c, s, progress) })
	p.after(interval, func() {
		if c.progress == progress {
			if s.Opening {
				s.RetransmitCount++
			}
			p.retransmits++
			p.transmit(c, s, min(2*interval, 1600))
		}
	})
}

// deliver passes a packet to the instance that the fabric chooses.
func (p *loadPlay) deliver(c *playCaller, s flow.Segment, progress int) {
	inst := p.instances[c.dataCentre][uint64(s.Key.Hash())>>7%playInstances]
	v, actions := inst.core.HandlePacket(p.now, &s)
	p.perform(inst, actions)
	if s.Opening {
		o := playOpening{instance: inst, from: c.dataCentre, address: s.Key.Service(), at: p.at, verdict: v}
		if v.Server != nil {
			o.to = v.Server.DataCentre
		}
		p.openings = append(p.openings, o)
	}
	switch {
	case v.Kind == Drop:
		p.drops++
	case v.Kind == Reset:
		if !s.Opening {
			p.resets++
		}
		p.after(1, func() { p.fail(c, progress) })
	case p.random.Float64() >= p.loss:
		srv := p.servers[v.Server.Name]
		p.after(1, func() { p.receive(srv, c, &s, &v, progress) })
	}
}

// receive handles a packet at a server.
func (p *loadPlay) receive(srv *playServer, c *playCaller, s *flow.Segment, v *Verdict, progress int) {
	switch {
	case srv.silent:
	case s.Opening && p.atLimit(srv):
		p.after(1, func() { p.fail(c, progress) })
	case s.Opening:
		p.after(1, func() {
			if c.progress == progress {
				c.progress++
				c.server, c.segment = srv, flow.Segment{Key: s.Key, Seq: 1, Ack: 100, Length: 50, Token: v.Token}
				srv.connections++
				p.transmit(c, c.segment, 200)
			}
		})
	case s.Length > 0 && c.progress == progress && c.handled != progress:
		c.handled = progress
		r := &queuedRequest{caller: c, progress: progress}
		if len(srv.queue) >= 8 {
			p.respond(r, false)
			return
		}
		srv.queue = append(srv.queue, r)
		p.after(100, func() {
			if !r.started && srv.queue[0] == r {
				srv.queue = srv.queue[1:]
				p.respond(r, false)
			}
		})
		p.work(srv)
	}
}

// work starts queued requests in the server's free slots.
func (p *loadPlay) work(srv *playServer) {
	for ; srv.busy < srv.Slots && len(srv.queue) > 0; srv.queue = srv.queue[1:] {
		r := srv.queue[0]
		r.started = true
		srv.busy++
		p.after(38+p.random.IntN(25), func() {
			srv.busy--
			if !srv.silent {
				p.respond(r, true)
			}
			p.work(srv)
		})
	}
}

func (p *loadPlay) respond(r *queuedRequest, result bool) {
	bytes := uint32(2000)
	if !result || p.random.Float64() < p.short {
		bytes = 130
	}
	if !result {
		p.refusals++
	}
	p.after(1, func() {
		c := r.caller
		if c.progress != r.progress {
			return
		}
		c.segment.Seq, c.segment.Ack = c.segment.Seq+50, c.segment.Ack+bytes
		if !result {
			p.fail(c, r.progress)
			return
		}
		c.progress++
		ack := c.segment
		ack.Length = 0
		if c.remaining > 1 {
			p.after(1, func() { p.deliver(c, ack, -1) })
		} else {
			p.close(c, flow.Segment{Final: true})
		}
		p.finish(c, p.at-c.startedAt <= playObjective)
	})
}

// close ends the caller's flow.
func (p *loadPlay) close(c *playCaller, s flow.Segment) {
	c.progress++
	if c.server != nil {
		s.Key, s.Token, s.Seq, s.Ack = c.key, c.segment.Token, c.segment.Seq, c.segment.Ack
		p.after(1, func() { p.deliver(c, s, -1) })
		c.server.connections--
		c.server = nil
	}
}

// fail handles a refusal or a reset.
func (p *loadPlay) fail(c *playCaller, progress int) {
	if c.progress != progress {
		return
	}
	p.close(c, flow.Segment{Final: true})
	if c.attempt < 3 {
		p.open(c)
	} else {
		p.finish(c, false)
	}
}

func (p *loadPlay) finish(c *playCaller, served bool) {
	c.attempt = -1 // no request
	p.outcomes = append(p.outcomes, playOutcome{c.dataCentre, c.key.Service(), c.startedAt, p.at, served})
	if c.remaining--; c.remaining == 0 || c.temporary && p.at >= burstTo {
		p.close(c, flow.Segment{Final: true})
		return
	}
	p.after(max(c.startedAt+playGap-p.at, 1), func() { p.startRequest(c) })
}

// served returns the fraction of the requests started in [from, to) that were answered
// within the objective. An empty data centre means all.
func (p *loadPlay) served(from, to int, dc model.DataCentre, addresses ...netip.AddrPort) float64 {
	served, total := 0, 0
	for _, o := range p.outcomes {
		if o.startedAt >= from && o.startedAt < to && (dc == "" || o.dataCentre == dc) && slices.Contains(addresses, o.address) {
			total++
			if o.served {
				served++
			}
		}
	}
	return float64(served) / float64(total)
}

// rate returns the requests of service campo answered within the objective per second, as a
// part of what all of its servers can sustain.
func (p *loadPlay) rate(from, to int) float64 {
	served := 0
	for _, o := range p.outcomes {
		if o.served && o.endedAt >= from && o.endedAt < to && o.address != ordersAddress {
			served++
		}
	}
	return float64(served) * 1000 / float64(to-from) / (playCapacity * float64(len(playDataCentres)))
}

// count returns the number of openings in [from, to) for which a condition holds.
func (p *loadPlay) count(from, to int, condition func(o *playOpening) bool) int {
	n := 0
	for i := range p.openings {
		if o := &p.openings[i]; o.at >= from && o.at < to && condition(o) {
			n++
		}
	}
	return n
}

func refused(o *playOpening) bool { return o.verdict.Kind == Reset }

func remote(o *playOpening) bool { return o.to != "" && o.to != o.from }
