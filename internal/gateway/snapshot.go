package gateway

import (
	"time"

	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// Positions returns, for each source, the point in the store's history up to which
// its changes have been applied.
func (c *Core) Positions() [source.NumKinds]source.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.positions
}

// Ages returns the time since ConfirmedAt for each source; ok is false until all
// sources, including the withdrawals, have been read.
func (c *Core) Ages(now time.Time) (ages [source.NumKinds]time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.confirmedAt {
		if c.confirmedAt[k].IsZero() {
			return ages, false
		}
		ages[k] = now.Sub(c.confirmedAt[k])
	}
	return ages, true
}

// ConfirmedAt returns, for each source, the time as of which the applied state is
// known to be current; zero if the source has not been read.
func (c *Core) ConfirmedAt() [source.NumKinds]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// RegistryOutage returns the registry's current outage and the end of the last
// one, as seen by this instance or by one that it followed.
func (c *Core) RegistryOutage() RegistryOutage {
	c.mu.Lock()
	defer c.mu.Unlock()
	start, lastEnd := c.servers.Outage()
	return RegistryOutage{Start: start, LastEnd: lastEnd}
}

// UpdateSince returns the changes of a source after a position: an empty update
// if there are none, and the full state if the changes are no longer in the
// change log.
func (c *Core) UpdateSince(now time.Time, k source.Kind, since source.Position) source.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !since.Before(c.positions[k]) {
		return source.Update{}
	}
	if u, ok := c.changeLog.Since(k, since); ok {
		return u
	}
	return c.snapshot(now, k)
}

// Configuration returns the current configuration version, or nil.
func (c *Core) Configuration() *routing.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes.Current()
}

// ConfigurationVersion returns the version of the current configuration, or 0.
func (c *Core) ConfigurationVersion() int64 {
	if current := c.Configuration(); current != nil {
		return current.Version
	}
	return 0
}

// ConfigurationNewerThan returns the current configuration version if it is newer
// than the given one, otherwise nil.
func (c *Core) ConfigurationNewerThan(version int64) *routing.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.routes.Current(); current != nil && current.Version > version {
		return current
	}
	return nil
}

// ConfigurationAt returns the configuration version at a position, or nil if it
// is no longer in the change log.
func (c *Core) ConfigurationAt(p source.Position) *routing.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changeLog.Configuration(p)
}

func (c *Core) snapshot(now time.Time, k source.Kind) source.Update {
	u := source.Update{Full: true, Position: c.positions[k]}
	switch k {
	case source.Configuration:
		u.Configuration = c.routes.Current()
	case source.Registry:
		for _, e := range c.servers.Listed(now) {
			u.Servers = append(u.Servers, source.ServerChange{Entry: e})
		}
	case source.Withdrawals:
		u.DataCentres = c.withdrawn.List(now)
	}
	return u
}

// Departed returns the servers without an entry in the registry that may still
// have flows.
func (c *Core) Departed() []registry.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Unlisted()
}

// ServerCount returns the number of servers with an entry in the registry.
func (c *Core) ServerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.ListedCount()
}

// LostChanges returns what a restored store has lost, as far as this instance knows
// and nobody has written it again.
func (c *Core) LostChanges(now time.Time) LostChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	return LostChanges{Servers: c.servers.Lost(), DataCentres: c.withdrawn.Lost(now)}
}

// addDeparted adds servers that departed before this instance started.
func (c *Core) addDeparted(now time.Time, entries []registry.Entry) []Action {
	var changes []registry.Change
	for _, e := range entries {
		changes = append(changes, c.servers.AddDeparted(now, e)...)
	}
	return c.applyServerChanges(now, changes)
}
