package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/serverload"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
	"cuminshift/internal/withdrawal"
)

// TickInterval is the time between two Ticks, a fraction of the 200 ms after
// which callers first retransmit.
const TickInterval = 100 * time.Millisecond

// expiryInterval is the time between two removals of expired state.
const expiryInterval = time.Second

// closedFlowRetention is how long packets of a flow that the caller has closed
// are still forwarded to its server: longer than the callers' longest
// retransmission interval.
const closedFlowRetention = 2 * time.Second

// HandleEvent applies an event and returns the actions to perform.
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
		c.servers.AdoptOutage(e.Start, e.LastEnd)
	case DepartedServers:
		return c.addDeparted(now, e.Entries)
	case LostChanges:
		return c.applyLostChanges(now, e)
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

func (c *Core) handleSourceUpdated(now time.Time, e SourceUpdated) []Action {
	current := e.Update.Position.Era >= c.positions[e.Kind].Era
	if current && e.AsOf.After(c.confirmedAt[e.Kind]) {
		c.confirmedAt[e.Kind] = e.AsOf
	}
	var actions []Action
	if e.Update.Configuration != nil {
		actions = c.applyConfiguration(now, e.Update.Configuration)
	}
	if !current {
		return append(actions, c.updateIgnored(now, e.Kind, &e.Update)...)
	}
	if e.Kind == source.Registry {
		c.servers.CallSucceeded(now)
	}
	previous := c.positions[e.Kind]
	if c.recordIfNewer(e.Kind, &e.Update) {
		restored := !previous.IsZero() && previous.Era < e.Update.Position.Era
		if restored {
			actions = append(actions, c.sourceRestored(now, e.Kind, previous))
		}
		actions = append(actions, c.applyUpdate(now, e.Kind, &e.Update, restored)...)
	} else if e.Update.Position.Before(c.positions[e.Kind]) {
		actions = append(actions, c.updateIgnored(now, e.Kind, &e.Update)...)
	}
	if e.Kind == source.Registry && e.Update.Full {
		actions = append(actions, c.resolveUnknownFlows(now, e.AsOf)...)
	}
	return actions
}

// recordIfNewer reports whether an update contains changes that have not been
// applied yet, and if so records its position and appends it to the change log.
// The same update may reach the instance on several paths. Changes of a later era
// alone are not applied: they continue a state that this instance does not have.
func (c *Core) recordIfNewer(k source.Kind, u *source.Update) bool {
	applied := c.positions[k]
	if u.Empty() || u.Position.Compare(applied) < 0 || (u.Position == applied && !applied.IsZero()) {
		return false
	}
	if !u.Full && u.Position.Era != applied.Era {
		return false
	}
	c.positions[k] = u.Position
	logged := *u
	logged.Rejected = nil
	c.changeLog.Append(k, logged)
	return true
}

// updateIgnored reports an update that is not applied because of its position.
func (c *Core) updateIgnored(now time.Time, k source.Kind, u *source.Update) []Action {
	if u.Empty() {
		return nil
	}
	cause := fmt.Sprintf("%s, applied up to %s", u.Position, c.positions[k])
	if u.Configuration != nil {
		cause += fmt.Sprintf("; configuration %d", u.Configuration.Version)
	}
	return []Action{StateChange{Subject: k.String(), Description: "update ignored", Cause: cause, Age: c.age(now, k)}}
}

// sourceRestored reports that the store was restored from a copy.
func (c *Core) sourceRestored(now time.Time, k source.Kind, previous source.Position) Action {
	if k == source.Registry {
		c.servers.Restored(now)
	}
	return StateChange{Subject: k.String(), Description: "store restored from a copy",
		Cause: fmt.Sprintf("%s after %s", c.positions[k], previous), Age: c.age(now, k)}
}

// applyUpdate applies an update. restored is set if it is the first one of a
// restored store: it may then hold earlier states than the applied ones.
func (c *Core) applyUpdate(now time.Time, k source.Kind, u *source.Update, restored bool) []Action {
	switch k {
	case source.Registry:
		return c.applyRegistryUpdate(now, u, restored)
	case source.Withdrawals:
		return c.applyWithdrawals(now, u, restored)
	}
	return nil
}

// age returns the time for which the source's state has not been confirmed; 0
// if it never was.
func (c *Core) age(now time.Time, kind source.Kind) time.Duration {
	if c.confirmedAt[kind].IsZero() {
		return 0
	}
	return now.Sub(c.confirmedAt[kind])
}

// applyConfiguration installs a configuration version and resets the flows
// whose route it no longer has. The versions alone decide which one is newer: the
// store's position may go back to before a version that was accepted.
func (c *Core) applyConfiguration(now time.Time, next *routing.Configuration) []Action {
	previous := c.routes.Current()
	if !c.routes.Update(next) {
		return nil
	}
	c.updateAnswerSizes(next)
	c.link.keepRoutes(next)
	actions := []Action{StateChange{Subject: fmt.Sprint(next.Version), Description: "configuration in force",
		Cause: fmt.Sprintf("%d routes", len(next.Routes)), Age: c.age(now, source.Configuration)}}
	if previous == nil {
		return actions
	}
	for _, f := range c.flows {
		if f.callerClosed || next.Route(f.key.Service()) != nil {
			continue
		}
		actions = append(actions, c.resetFlow(f, RouteRemoved))
	}
	return actions
}

// applyLostChanges applies what another instance knows and a restored store has lost.
func (c *Core) applyLostChanges(now time.Time, e LostChanges) []Action {
	var changes []registry.Change
	for _, entry := range e.Servers {
		changes = append(changes, c.servers.PutLost(now, entry)...)
	}
	actions := c.applyServerChanges(now, changes)
	return append(actions, c.withdrawalActions(now, c.withdrawn.ApplyLost(now, e.DataCentres))...)
}

// applyRegistryUpdate applies changes of the registry; a full update also
// removes the entries that it does not contain.
func (c *Core) applyRegistryUpdate(now time.Time, u *source.Update, restored bool) []Action {
	put := c.servers.Put
	if restored {
		put = c.servers.PutCopy
	}
	firstLoad := !c.servers.Loaded()
	var changes []registry.Change
	listed := make(map[string]bool, len(u.Servers))
	for i := range u.Servers {
		change := &u.Servers[i]
		if change.Removed {
			changes = append(changes, c.servers.Remove(now, change.Entry.Name)...)
			continue
		}
		listed[change.Entry.Name] = true
		changes = append(changes, put(now, change.Entry)...)
	}
	if u.Full {
		changes = append(changes, c.servers.KeepOnly(now, listed)...)
	}
	actions := c.applyServerChanges(now, changes)
	if firstLoad && u.Full {
		return c.summarizeLoad(now, actions)
	}
	return actions
}

// summarizeLoad replaces the log entries of a first load, one for each server, by a
// single one.
func (c *Core) summarizeLoad(now time.Time, actions []Action) []Action {
	kept := slices.DeleteFunc(actions, func(a Action) bool { _, ok := a.(StateChange); return ok })
	draining := 0
	for r := range c.serverStates {
		if r.Draining {
			draining++
		}
	}
	kept = append(kept, StateChange{Subject: "registry", Description: "registry loaded",
		Cause: fmt.Sprintf("%d servers, %d of them draining", len(c.serverStates), draining), Age: c.age(now, source.Registry)})
	for r := range c.serverStates {
		kept = append(kept, c.reportSharedTokens(now, r)...)
	}
	return kept
}

// reportSharedTokens reports which tokens a server shares with others and whose they are.
func (c *Core) reportSharedTokens(now time.Time, r *registry.Record) []Action {
	var actions []Action
	for variant := range token.Variants {
		t := token.ForServer(r.Name, variant)
		shared := c.tokens.Shared(t)
		if len(shared) < 2 {
			continue
		}
		names := make([]string, len(shared))
		for i, srv := range shared {
			names[i] = srv.record.Name
		}
		owner := "unknown which of them started first"
		if srv, ok := c.tokens.Owner(t); ok {
			owner = srv.record.Name + " started first"
		}
		actions = append(actions, StateChange{Subject: r.Name, Description: "server shares a token",
			Cause: fmt.Sprintf("token %08x of %s; %s", uint32(t), strings.Join(names, ", "), owner), Age: c.age(now, source.Registry)})
	}
	return actions
}

// applyServerChanges updates the state of the servers after changes of their
// records in the registry.
func (c *Core) applyServerChanges(now time.Time, changes []registry.Change) []Action {
	var actions []Action
	for _, change := range changes {
		r := change.Record
		switch change.Kind {
		case registry.Added, registry.Remembered:
			c.addServer(r)
		case registry.Restarted:
			actions = append(actions, c.handleRestarted(r)...)
			c.assignServiceLoad(c.serverStates[r])
		case registry.Updated:
			c.assignServiceLoad(c.serverStates[r])
		case registry.Departed:
			actions = append(actions, c.handleDeparted(now, r)...)
		case registry.Forgotten:
			c.removeServer(r)
		}
		actions = append(actions, StateChange{Subject: r.Name, Description: "server " + change.Kind.String(),
			Cause: fmt.Sprintf("service %s in %s at %s, draining %t", r.Service, r.DataCentre, r.Address, r.Draining), Age: c.age(now, source.Registry)})
		if change.Kind == registry.Added {
			actions = append(actions, c.reportSharedTokens(now, r)...)
		}
	}
	if len(changes) > 0 {
		c.indexServices()
	}
	return actions
}

// handleRestarted resets the flows of the server's earlier incarnation. The start time
// also decides whose token it is if the server shares one.
func (c *Core) handleRestarted(r *registry.Record) []Action {
	srv := c.serverStates[r]
	srv.reach, srv.load = reach.Detector{}, serverload.Server{}
	c.tokens.Remove(r.Name, srv)
	c.tokens.Add(r.Name, r.Incarnation, srv)
	var actions []Action
	for _, f := range srv.openFlows {
		actions = append(actions, c.resetFlow(f, ServerLost))
	}
	return actions
}

// applyWithdrawals applies changes of the set of withdrawn data centres; a full
// update also returns to service those that it does not contain.
func (c *Core) applyWithdrawals(now time.Time, u *source.Update, restored bool) []Action {
	switch {
	case !u.Full:
		return c.withdrawalActions(now, c.withdrawn.Apply(now, u.Position, u.DataCentres))
	case restored:
		return c.withdrawalActions(now, c.withdrawn.ReplaceByCopy(now, u.Position, u.DataCentres))
	}
	return c.withdrawalActions(now, c.withdrawn.Replace(now, u.Position, u.DataCentres))
}

func (c *Core) withdrawalActions(now time.Time, changes []withdrawal.Change) []Action {
	var actions []Action
	for _, change := range changes {
		a := StateChange{Subject: string(change.DataCentre), Description: "data centre back in service", Cause: change.Cause.String(), Age: c.age(now, source.Withdrawals)}
		if change.Withdrawn {
			a.Description = "data centre withdrawn"
		}
		actions = append(actions, a)
	}
	return actions
}

func (c *Core) handleTick(now time.Time) []Action {
	actions := c.applyServerChanges(now, c.servers.Tick(now))
	actions = append(actions, c.withdrawalActions(now, c.withdrawn.Tick(now))...)
	c.link.transfers.Expire(now)
	unreachable := 0
	for _, srv := range c.serverStates {
		previousState := srv.reach.State()
		probe := srv.reach.Tick(now, !c.serving.CanServe())
		actions = append(actions, c.reportTransition(now, srv, previousState, probe, "suspicion timed out")...)
		if srv.reach.State() == reach.Unreachable {
			unreachable++
		}
	}
	if now.Sub(c.lastExpiry) >= expiryInterval {
		c.lastExpiry = now
		c.expireFlows(now)
		c.expireUnknownFlows(now)
		c.recentFlows.expire()
		c.refusedOpenings.expire(now)
	}
	c.decayDemand()
	actions = append(actions, c.refreshRegistry(now)...)
	c.updateLostDataCentres(now, unreachable)
	actions = append(actions, c.updateServiceControls(now)...)
	return append(actions, c.updateServing(now)...)
}

// expireFlows drops flows that have been idle beyond the idle timeout or the
// platform's flow lifetime, and flows that their caller has closed.
func (c *Core) expireFlows(now time.Time) {
	idleTimeout := c.cfg.FlowLifetime
	if cfg := c.routes.Current(); cfg != nil && cfg.IdleTimeout > 0 {
		idleTimeout = min(idleTimeout, cfg.IdleTimeout)
	}
	for _, f := range c.flows {
		if sinceLastPacket := now.Sub(f.LastSeen); sinceLastPacket > idleTimeout || (f.callerClosed && sinceLastPacket > closedFlowRetention) {
			c.untrack(f)
		}
	}
}
