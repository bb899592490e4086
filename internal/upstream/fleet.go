package upstream

import "time"

// fleetRetention is the time after a restoration of the store for which the number of
// instances does not fall. Registrations that the store has lost are renewed within a
// second or two, in a large fleet some more.
const fleetRetention = 20 * time.Second

// FleetSize is the number of instances, which share what a cold server can take. An
// instance that knows too few of them sends too much. The zero value has none. It is
// not safe for concurrent use.
type FleetSize struct {
	instances int
	keepUntil time.Time
}

// StoreRestored records that registrations may be missing from the directory.
func (f *FleetSize) StoreRestored(now time.Time) { f.keepUntil = now.Add(fleetRetention) }

// Count records a count of the registered instances and returns the number to go by.
func (f *FleetSize) Count(now time.Time, registered int) int {
	if registered > f.instances || !now.Before(f.keepUntil) {
		f.instances = registered
	}
	return f.instances
}
