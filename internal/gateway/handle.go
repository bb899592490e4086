package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// TickInterval is the time between two Ticks: a fraction of the callers'
// first repeat after 200 ms.
const TickInterval = 100 * time.Millisecond

// cleanInterval is the time between two searches for what has expired.
const expiryInterval = time.Second

// closingFor is the time for which a flow that the caller has closed is still
// led to its server: longer than the callers' longest interval of repeats.
const closedFlowRetention = 2 * time.Second

// Handle takes an event.
func (c *Core) HandleEvent(now time.Time, e Event) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e := e.(type) {
	case SourceUpdated:
		return c.handleSourceUpdated(now, e)
	case CallFailed:
		if e.Kind == source.Registry {
			c.servers.CallFailed(e.Sent)
		}
	case RegistryOutage:
		c.servers.AdoptOutage(e.Since, e.Returned)
	case DepartedServers:
		return c.addDeparted(now, e.Entries)
	case FleetSize:
		c.cfg.Instances, c.cfg.Rank = e.Instances, e.Rank
	case ProbeDone:
		return c.handleProbeDone(now, e)
	case Tick:
		return c.handleTick(now)
	case StopRequested:
		c.stopping = true
	}
	return nil
}

// updated takes what a source returned.
func (c *Core) handleSourceUpdated(now time.Time, e SourceUpdated) []Action {
	if e.AsOf.After(c.confirmedAt[e.Kind]) {
		c.confirmedAt[e.Kind] = e.AsOf
	}
	var actions []Action
	if e.Kind == source.Registry {
		c.servers.CallSucceeded(now)
	}
	if c.recordIfNewer(e.Kind, &e.Update) {
		actions = c.applyUpdate(now, e.Kind, &e.Update)
	}
	if e.Kind == source.Registry && e.Update.Full {
		actions = append(actions, c.resolveUnknownFlows(now, e.AsOf)...)
	}
	return actions
}

// newer reports whether an update holds anything that was not taken yet, and
// notes its revision. Updates reach the instance on several ways.
func (c *Core) recordIfNewer(k source.Kind, u *source.Update) bool {
	if u.Empty() || u.Revision < c.revisions[k] || (u.Revision == c.revisions[k] && c.revisions[k] != 0) {
		return false
	}
	c.revisions[k] = u.Revision
	c.changeLog.Append(k, *u)
	return true
}

func (c *Core) applyUpdate(now time.Time, k source.Kind, u *source.Update) []Action {
	switch k {
	case source.Configuration:
		if u.Configuration != nil {
			return c.applyConfiguration(now, u.Configuration)
		}
	case source.Registry:
		return c.applyRegistryUpdate(now, u)
	case source.Withdrawals:
		return c.applyWithdrawals(now, u)
	}
	return nil
}

func (c *Core) age(now time.Time, kind source.Kind) time.Duration {
	if c.confirmedAt[kind].IsZero() {
		return 0
	}
	return now.Sub(c.confirmedAt[kind])
}

// configuration takes a version; flows whose route it drops are reset.
func (c *Core) applyConfiguration(now time.Time, next *routing.Configuration) []Action {
	previous := c.routes.Current()
	if !c.routes.Update(next) {
		return nil
	}
	actions := []Action{StateChange{Subject: fmt.Sprint(next.Version), Description: "configuration in force",
		Cause: fmt.Sprintf("%d routes", len(next.Routes)), Age: c.age(now, source.Configuration)}}
	if previous == nil {
		return actions
	}
	for _, f := range c.flows {
		if f.callerClosed || next.Route(f.key.Service()) != nil {
			continue
		}
		actions = append(actions, c.resetFlow(f, RouteDropped))
	}
	return actions
}

func (c *Core) applyRegistryUpdate(now time.Time, u *source.Update) []Action {
	var changes []registry.Change
	listed := make(map[string]bool, len(u.Servers))
	for i := range u.Servers {
		change := &u.Servers[i]
		if change.Removed {
			changes = append(changes, c.servers.Remove(now, change.Entry.Name)...)
			continue
		}
		listed[change.Entry.Name] = true
		changes = append(changes, c.servers.Put(now, change.Entry)...)
	}
	if u.Full {
		changes = append(changes, c.servers.KeepOnly(now, listed)...)
	}
	return c.changes(now, changes)
}

// changes follows the registry.
func (c *Core) changes(now time.Time, changes []registry.Change) []Action {
	var actions []Action
	for _, change := range changes {
		r := change.Record
		switch change.Kind {
		case registry.Added, registry.Remembered:
			c.addServer(r)
		case registry.Restarted:
			actions = append(actions, c.handleRestarted(r)...)
		case registry.Departed:
			actions = append(actions, c.handleDeparted(now, r)...)
		case registry.Forgotten:
			c.removeServer(r)
		}
		actions = append(actions, StateChange{Subject: r.Name, Description: "server " + change.Kind.String(),
			Cause: fmt.Sprintf("service %s in %s at %s, draining %t", r.Service, r.DataCentre, r.Address, r.Draining), Age: c.age(now, source.Registry)})
	}
	if len(changes) > 0 {
		c.indexServices()
	}
	return actions
}

// restarted gives up the flows of the server's earlier incarnation.
func (c *Core) handleRestarted(r *registry.Record) []Action {
	srv := c.serverStates[r]
	srv.reach = reach.Detector{}
	var actions []Action
	for _, f := range srv.openFlows {
		actions = append(actions, c.resetFlow(f, ServerLost))
	}
	return actions
}

func (c *Core) applyWithdrawals(now time.Time, u *source.Update) []Action {
	var actions []Action
	listed := make(map[model.DataCentre]bool, len(u.DataCentres))
	for _, change := range u.DataCentres {
		listed[change.DataCentre] = change.Withdrawn
		actions = append(actions, c.setWithdrawn(now, change)...)
	}
	if !u.Full {
		return actions
	}
	for _, dc := range slices.Sorted(maps.Keys(c.withdrawn)) {
		if !listed[dc] {
			actions = append(actions, c.setWithdrawn(now, source.DataCentreChange{DataCentre: dc})...)
		}
	}
	return actions
}

// mark takes a data centre out of service or back.
func (c *Core) setWithdrawn(now time.Time, change source.DataCentreChange) []Action {
	if c.withdrawn[change.DataCentre] == change.Withdrawn {
		return nil
	}
	if change.Withdrawn {
		c.withdrawn[change.DataCentre] = true
		return []Action{c.withdrawalChange(now, change.DataCentre, "data centre withdrawn")}
	}
	delete(c.withdrawn, change.DataCentre)
	c.returnedAt[change.DataCentre] = now
	return []Action{c.withdrawalChange(now, change.DataCentre, "data centre back in service")}
}

func (c *Core) withdrawalChange(now time.Time, dc model.DataCentre, description string) Action {
	return StateChange{Subject: string(dc), Description: description, Cause: "operator", Age: c.age(now, source.Withdrawals)}
}

func (c *Core) handleTick(now time.Time) []Action {
	actions := c.changes(now, c.servers.Tick(now))
	for _, srv := range c.serverStates {
		previousState := srv.reach.State()
		probe := srv.reach.Tick(now, !c.serving.CanServe())
		actions = append(actions, c.reportTransition(now, srv, previousState, probe, "time")...)
	}
	if now.Sub(c.lastExpiry) >= expiryInterval {
		c.lastExpiry = now
		c.expireFlows(now)
		c.expireUnknownFlows(now)
		c.recentFlows.expire()
	}
	c.decayDemand()
	actions = append(actions, c.refreshRegistry(now)...)
	return append(actions, c.updateServing(now)...)
}

// expireFlows drops flows that ended or may be discarded.
func (c *Core) expireFlows(now time.Time) {
	idleTimeout := c.cfg.FlowLifetime
	if cfg := c.routes.Current(); cfg != nil && cfg.IdleTimeout > 0 {
		idleTimeout = min(idleTimeout, cfg.IdleTimeout)
	}
	for _, f := range c.flows {
		if sinceLastPacket := now.Sub(f.LastSeen); sinceLastPacket > idleTimeout || (f.callerClosed && sinceLastPacket > closedFlowRetention) {
			c.drop(f)
		}
	}
}
