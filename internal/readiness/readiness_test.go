package readiness

import (
	"testing"
	"time"
)

func TestMonitor(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var m Monitor
	if !m.CanServe() {
		t.Fatal("an instance starts unable")
	}
	m.Update(at(0), nil)
	if !m.CanServe() {
		t.Fatal("an instance without callers is unable")
	}
	some := []Demand{{Requests: 90, Reachable: true}, {Requests: 10}}
	if m.Update(at(100), some); !m.CanServe() {
		t.Fatal("unable though most callers are served")
	}
	none := []Demand{{Requests: 40, Reachable: true}, {Requests: 60}}
	if !m.Update(at(200), none) || m.CanServe() {
		t.Fatal("able though most callers are not served")
	}
	// A server that comes and goes does not make the instance come and go.
	for ms := 300; ms < 3000; ms += 200 {
		demands := none
		if ms%400 == 300 {
			demands = some
		}
		if m.Update(at(ms), demands) {
			t.Fatalf("judgement changed after %d ms", ms)
		}
	}
	m.Update(at(3000), some)
	if m.Update(at(3400), some) {
		t.Fatal("able again too early")
	}
	if !m.Update(at(3500), some) || !m.CanServe() {
		t.Fatal("not able again after servers were reached for half a second")
	}
}
