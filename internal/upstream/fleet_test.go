package upstream

import (
	"testing"
	"time"
)

// Guards against more openings at cold servers than they bear: a restored store has lost
// registrations, and each of the instances left in it takes a larger share.
func TestFleetSizeDoesNotFallAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	var f FleetSize
	if got := f.Count(now, 4); got != 4 {
		t.Fatalf("%d instances", got)
	}
	f.StoreRestored(now)
	if got := f.Count(now, 1); got != 4 {
		t.Errorf("%d instances after the registrations were lost", got)
	}
	if got := f.Count(now, 5); got != 5 {
		t.Errorf("%d instances after another one has registered", got)
	}
	if got := f.Count(now.Add(fleetRetention), 3); got != 3 {
		t.Errorf("%d instances after the others had the time to register", got)
	}
}
