package gateway

import (
	"testing"

	"cuminshift/internal/model"
)

// flowMixes are the fractions of the requests that are made on long flows.
var flowMixes = map[string]float64{"half on long flows": 0.5, "one flow for each request": 0}

// Guards against slots that idle while four times the demand that fits arrives.
func TestSlotsWorkUnderOverload(t *testing.T) {
	for name, long := range flowMixes {
		eachSeed(t, 1, func(t *testing.T, seed uint64) {
			p := newLoadPlay(t, seed, campoDemands(0.7, 4/0.7)...)
			p.long = long
			p.runUntil(burstTo)
			rate := p.rate(burstFrom+2000, burstTo)
			t.Logf("%s: answered %.3f of what the slots can sustain, urgent %.3f, usual %.3f", name, rate,
				p.served(burstFrom+2000, burstTo-playTimeout, "", urgentAddress), p.served(burstFrom+2000, burstTo-playTimeout, "", usualAddress))
			if rate < 0.9 {
				t.Errorf("%s: answered %.3f of what the slots can sustain", name, rate)
			}
			checkAnswers(t, p)
		})
	}
}

// Guards against refusals that go on after the demand fits again.
func TestNothingIsRefusedAfterOverload(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, campoDemands(0.7, 4)...)
		p.runUntil(burstTo + 4000)
		n, served := p.count(burstTo+1000, p.at, refused), p.served(burstTo+1000, p.at-playTimeout, "", urgentAddress, usualAddress)
		t.Logf("%d openings refused later than 1 s after the burst, served %.4f", n, served)
		if n > 0 || served < 0.99 {
			t.Errorf("%d openings refused later than 1 s after the burst, served %.4f", n, served)
		}
		checkAnswers(t, p)
	})
}

// Guards against refusals in one data centre while others have room, and against flows
// that stay away when it has room again.
func TestOtherDataCentresHelp(t *testing.T) { checkHotDataCentre(t, 0.5) }

// Guards against the same where each request opens a flow, so that all requests can be
// refused or moved.
func TestOtherDataCentresHelpShortFlows(t *testing.T) { checkHotDataCentre(t, 0) }

// checkHotDataCentre plays five times the demand in one of three data centres. long is the
// fraction of the requests that are made on long flows.
func checkHotDataCentre(t *testing.T, long float64) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		p := newLoadPlay(t, seed, hotDemands()...)
		p.long = long
		p.runUntil(burstTo + 4000)
		for dc, least := range map[model.DataCentre]float64{norte: 0.95, sur: 0.99, este: 0.99} {
			served := p.served(burstFrom, burstTo, dc, usualAddress)
			t.Logf("%s served %.4f", dc, served)
			if served < least {
				t.Errorf("%s served %.4f", dc, served)
			}
		}
		if n := p.count(burstTo+3000, p.at, remote); n > 0 {
			t.Errorf("%d openings at other data centres later than 3 s after the burst", n)
		}
		checkAnswers(t, p)
	})
}

// Guards against an instance that starts without state in an overload and takes the
// servers of other data centres from their urgent requests.
func TestRestartLeavesUrgentRequestsOfOthers(t *testing.T) {
	eachSeed(t, 1, func(t *testing.T, seed uint64) {
		_, without := playRestart(t, seed, false)
		_, with := playRestart(t, seed, true)
		t.Logf("urgent requests of the other data centres served: %.3f, without the restart %.3f", with, without)
		if with < without-0.05 {
			t.Errorf("urgent requests of the other data centres served: %.3f, without the restart %.3f", with, without)
		}
	})
}

// Guards against flows that leave their data centre because 3% of the results are as
// short as refusals.
func TestQuietDayWithShortResults(t *testing.T) { checkQuietDay(t, 0.03) }
