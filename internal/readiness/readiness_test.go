package readiness

import (
	"testing"
	"time"
)

func TestMonitor(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var m Monitor
	if !m.CanServe() {
		t.Fatal("a new monitor reports that it cannot serve")
	}
	m.Update(at(0), nil)
	if !m.CanServe() {
		t.Fatal("cannot serve without any demand")
	}
	mostlyReachable := []Demand{{Requests: 90, Reachable: true}, {Requests: 10}}
	if m.Update(at(100), mostlyReachable); !m.CanServe() {
		t.Fatal("cannot serve though servers for most requests are reachable")
	}
	mostlyUnreachable := []Demand{{Requests: 40, Reachable: true}, {Requests: 60}}
	if !m.Update(at(200), mostlyUnreachable) || m.CanServe() {
		t.Fatal("can serve though servers for most requests are unreachable")
	}
	// A server whose reachability flaps must not make the instance flap.
	for ms := 300; ms < 3000; ms += 200 {
		demands := mostlyUnreachable
		if ms%400 == 300 {
			demands = mostlyReachable
		}
		if m.Update(at(ms), demands) {
			t.Fatalf("state changed after %d ms", ms)
		}
	}
	m.Update(at(3000), mostlyReachable)
	if m.Update(at(3400), mostlyReachable) {
		t.Fatal("recovered before the end of the recovery delay")
	}
	if !m.Update(at(3500), mostlyReachable) || !m.CanServe() {
		t.Fatal("not recovered after servers were reachable for 500 ms")
	}
}
