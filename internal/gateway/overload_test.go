package gateway

import (
	"fmt"
	"testing"

	"cuminshift/internal/model"
	"cuminshift/internal/reach"
)

// campoDemands returns a demand for service campo in all data centres, a fifth of it
// urgent, as a part of what the servers can sustain.
func campoDemands(part, burst float64) []*demand {
	var demands []*demand
	for _, dc := range playDataCentres {
		demands = append(demands,
			&demand{dataCentre: dc, address: urgentAddress, perSecond: 0.2 * part * playCapacity, burst: burst},
			&demand{dataCentre: dc, address: usualAddress, perSecond: 0.8 * part * playCapacity, burst: burst})
	}
	return demands
}

// hotDemands returns a demand for service campo that grows to the fivefold in one data
// centre. Together the data centres have room for it.
func hotDemands() []*demand {
	var demands []*demand
	for _, dc := range playDataCentres {
		d := &demand{dataCentre: dc, address: usualAddress, perSecond: 0.35 * playCapacity, burst: 1}
		if dc == norte {
			d.burst = 5
		}
		demands = append(demands, d)
	}
	return demands
}

// eachSeed runs a test with a number of seeds of the callers' random numbers.
func eachSeed(t *testing.T, seeds uint64, test func(t *testing.T, seed uint64)) {
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { test(t, seed) })
	}
}

// checkAnswers checks that each opening was forwarded or at once refused because of the
// overload, and that no instance has reset an open flow.
func checkAnswers(t *testing.T, p *loadPlay) {
	t.Helper()
	others := p.count(0, p.at, func(o *playOpening) bool {
		return o.verdict.Kind != Forward && (o.verdict.Kind != Reset || o.verdict.Reason != Overloaded)
	})
	if p.resets > 0 || p.drops > 0 || others > 0 {
		t.Errorf("%d open flows reset, %d packets dropped, %d of %d openings neither forwarded nor refused", p.resets, p.drops, others, len(p.openings))
	}
	t.Logf("%d requests, %d refused by servers; %d openings, %d refused, %d remote; %d retransmissions, probes %v", len(p.outcomes), p.refusals,
		len(p.openings), p.count(0, p.at, refused), p.count(0, p.at, remote), p.retransmits, p.probes)
}

// Guards against callers that wait for a refusal, and against resets of open flows, while
// four times the demand that fits arrives.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, campoDemands(0.7, 4)...)
		p.runUntil(burstTo + 2000)
		if n := p.count(burstFrom, burstTo, refused); n < 10000 {
			t.Errorf("%d openings refused: the load is too small", n)
		}
		checkAnswers(t, p)
	})
}

// Guards against callers of a service with room that pay for the overload of another one.
func TestOverloadOfAnotherService(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		demands := campoDemands(0.7, 4)
		for _, dc := range playDataCentres {
			demands = append(demands, &demand{dataCentre: dc, address: ordersAddress, perSecond: 0.5 * playCapacity, burst: 1})
		}
		p := newLoadPlay(t, seed, demands...)
		p.runUntil(burstTo + 1000)
		n := p.count(0, p.at, func(o *playOpening) bool { return o.address == ordersAddress && (refused(o) || remote(o)) })
		served := p.served(0, burstTo, "", ordersAddress)
		t.Logf("served %.4f", served)
		if served < 1 || n > 0 {
			t.Errorf("the service with room: served %.4f, %d openings refused or at other data centres", served, n)
		}
		checkAnswers(t, p)
	})
}

// Guards against resets of the flows of full servers, which reset probes and connections
// beyond their limit while callers repeat many packets.
func TestFullServersKeepTheirFlows(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, campoDemands(0.7, 4)...)
		p.runUntil(burstFrom)
		p.loss, p.maxConnections = 0.3, 2*playSlots
		p.runUntil(burstTo)
		if p.probes[reach.ConnectionReset] < 1000 || p.retransmits < 10000 {
			t.Errorf("%d probes reset, %d retransmissions: the load is too small", p.probes[reach.ConnectionReset], p.retransmits)
		}
		checkAnswers(t, p)
	})
}

// playRestart plays an overload in which an instance may restart at restartAt. It returns the
// part of what the slots can sustain that is answered in the 2 s after it, and the fraction
// of the urgent requests that is served in the other data centres.
func playRestart(t *testing.T, seed uint64, restart bool) (rate, urgent float64) {
	const restartAt, end = 8000, 10000
	p := newLoadPlay(t, seed, campoDemands(0.7, 4)...)
	p.runUntil(restartAt)
	if restart {
		p.start(p.instances[norte][0], norte)
	}
	p.runUntil(end + playTimeout)
	checkAnswers(t, p)
	return p.rate(restartAt, end), (p.served(restartAt, end, sur, urgentAddress) + p.served(restartAt, end, este, urgentAddress)) / 2
}

// Guards against an instance that starts without state in an overload and floods servers,
// so that less is answered, or resets the flows of the others.
func TestInstanceRestartsUnderOverload(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		without, _ := playRestart(t, seed, false)
		with, _ := playRestart(t, seed, true)
		t.Logf("answered of what the slots can sustain: %.3f, without the restart %.3f", with, without)
		if with < without-0.05 {
			t.Errorf("answered of what the slots can sustain: %.3f, without the restart %.3f", with, without)
		}
	})
}

// openingsAt returns the number of openings that go to a data centre from others.
func (p *loadPlay) openingsAt(from, to int, dc model.DataCentre) int {
	return p.count(from, to, func(o *playOpening) bool { return o.from != dc && o.to == dc })
}

// Guards against new flows that go to a withdrawn data centre because it had room.
func TestNoSpillToWithdrawnDataCentre(t *testing.T) {
	const withdrawnAt = 6000
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, hotDemands()...)
		p.runUntil(withdrawnAt)
		p.eachInstance(func(_ model.DataCentre, inst *testInstance) { inst.setWithdrawn(sur, true) })
		p.runUntil(burstTo)
		before, after := p.openingsAt(burstFrom, withdrawnAt, sur), p.openingsAt(withdrawnAt, burstTo, sur)
		if t.Logf("%d before, %d after", before, after); before == 0 || after > 0 {
			t.Errorf("openings from other data centres: %d before, %d after the withdrawal", before, after)
		}
		checkAnswers(t, p)
	})
}

// Guards against new flows that go to a data centre whose servers have fallen silent and
// therefore refuse nothing. An instance finds out by the first flows that it sends there.
func TestNoSpillToSilentDataCentre(t *testing.T) {
	const silentAt = 6000
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, hotDemands()...)
		p.runUntil(silentAt)
		for _, srv := range p.servers {
			srv.silent = srv.DataCentre == sur
		}
		p.runUntil(burstTo)
		first, late := map[*testInstance]int{}, 0
		after := p.count(silentAt, burstTo, func(o *playOpening) bool {
			if o.to != sur || o.from == sur {
				return false
			}
			if first[o.instance] == 0 {
				first[o.instance] = o.at
			}
			if o.at > first[o.instance]+2000 {
				late++
			}
			return true
		})
		before := p.openingsAt(burstFrom, silentAt, sur)
		if t.Logf("%d before, %d after, from %d instances, %d late", before, after, len(first), late); before == 0 || after == 0 || late > 0 {
			t.Errorf("openings from other data centres: %d before the servers fell silent, %d later, %d of these more than 2 s after the instance's first one", before, after, late)
		}
	})
}

func checkQuietDay(t *testing.T, short float64) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, campoDemands(0.6, 1)...)
		p.short = short
		p.runUntil(20000)
		away, n, served := p.count(0, p.at, remote), p.count(0, p.at, refused), p.served(0, p.at-playTimeout, "", urgentAddress, usualAddress)
		if away > 0 || n > 0 || served < 1 || p.refusals > 0 {
			t.Errorf("%d of %d openings at other data centres, %d refused, served %.4f", away, len(p.openings), n, served)
		}
		checkAnswers(t, p)
	})
}

// Guards against flows that leave their data centre or are refused without an overload.
func TestQuietDay(t *testing.T) { checkQuietDay(t, 0) }
