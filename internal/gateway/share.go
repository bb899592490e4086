package gateway

import (
	"time"

	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// Revisions returns the store's revisions up to which each source is known.
func (c *Core) Revisions() [source.NumKinds]source.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions
}

// Ages returns the age of the knowledge of each source; ok is false before all
// are known.
func (c *Core) Ages(now time.Time) (ages [source.NumKinds]time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.confirmed {
		if c.confirmed[k].IsZero() {
			return ages, false
		}
		ages[k] = now.Sub(c.confirmed[k])
	}
	return ages, true
}

// Confirmed returns the times as of which the knowledge of each source is
// current.
func (c *Core) Confirmed() [source.NumKinds]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// RegistryOutage returns the registry's present and last outage.
func (c *Core) RegistryOutage() RegistryOutage {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, returned := c.servers.Outage()
	return RegistryOutage{Since: since, Returned: returned}
}

// Changes returns what changed of a source after a revision: an empty update
// when nothing did, the whole source when the changes are not remembered.
func (c *Core) Changes(now time.Time, k source.Kind, since source.Revision) source.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since >= c.revisions[k] {
		return source.Update{}
	}
	if u, ok := c.log.Since(k, since); ok {
		return u
	}
	return c.snapshot(now, k)
}

// Configuration returns the present version, or nil.
func (c *Core) Configuration() *routing.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes.Current()
}

// ConfigurationAt returns the version at a revision, or nil when it is not
// remembered.
func (c *Core) ConfigurationAt(r source.Revision) *routing.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Configuration(r)
}

func (c *Core) snapshot(now time.Time, k source.Kind) source.Update {
	u := source.Update{Full: true, Revision: c.revisions[k]}
	switch k {
	case source.Configuration:
		u.Configuration = c.routes.Current()
	case source.Registry:
		for _, e := range c.servers.Listed(now) {
			u.Servers = append(u.Servers, source.ServerChange{Entry: e})
		}
	case source.Withdrawals:
		for dc := range c.withdrawn {
			u.DataCentres = append(u.DataCentres, source.DataCentreChange{DataCentre: dc, Withdrawn: true})
		}
	}
	return u
}

// Departed returns the servers that left and may still have flows.
func (c *Core) Departed() []registry.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Departed()
}

// remember takes servers that left before this instance started.
func (c *Core) remember(now time.Time, entries []registry.Entry) []Action {
	var changes []registry.Change
	for _, e := range entries {
		changes = append(changes, c.servers.Remember(now, e)...)
	}
	return c.changes(now, changes)
}
