package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/readiness"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// TickInterval is the time between two Ticks: a fraction of the callers'
// first repeat after 200 ms.
const TickInterval = 100 * time.Millisecond

// cleanInterval is the time between two searches for what has expired.
const cleanInterval = time.Second

const (
	// maxDoubtProbes bounds the probes that one silent server sets off.
	maxDoubtProbes = 64
	// aliveWithin is how recently a server must have answered a caller not to
	// be doubted when another one of its data centre falls silent.
	aliveWithin = 100 * time.Millisecond
)

// closingFor is the time for which a flow that the caller has closed is still
// led to its server: longer than the callers' longest interval of repeats.
const closingFor = 2 * time.Second

// Handle takes an event.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e := e.(type) {
	case Updated:
		return c.updated(now, e)
	case Unanswered:
		if e.Kind == source.Registry {
			c.servers.Unanswered(e.Sent)
		}
	case RegistryOutage:
		c.servers.AdoptOutage(e.Since, e.Returned)
	case Departed:
		return c.remember(now, e.Entries)
	case FleetSize:
		c.cfg.Instances, c.cfg.Rank = e.Instances, e.Rank
	case Probed:
		return c.probed(now, e)
	case Tick:
		return c.tick(now)
	case StopRequested:
		c.stopping = true
	}
	return nil
}

// updated takes what a source returned.
func (c *Core) updated(now time.Time, e Updated) []Action {
	if e.AsOf.After(c.confirmed[e.Kind]) {
		c.confirmed[e.Kind] = e.AsOf
	}
	var actions []Action
	if e.Kind == source.Registry {
		c.servers.Answered(now)
	}
	if c.newer(e.Kind, &e.Update) {
		actions = c.take(now, e.Kind, &e.Update)
	}
	if e.Kind == source.Registry && e.Update.Full {
		actions = append(actions, c.settleUnknown(now, e.AsOf)...)
	}
	return actions
}

// newer reports whether an update holds anything that was not taken yet, and
// notes its revision. Updates reach the instance on several ways.
func (c *Core) newer(k source.Kind, u *source.Update) bool {
	if u.Empty() || u.Revision < c.revisions[k] || (u.Revision == c.revisions[k] && c.revisions[k] != 0) {
		return false
	}
	c.revisions[k] = u.Revision
	c.log.Append(k, *u)
	return true
}

func (c *Core) take(now time.Time, k source.Kind, u *source.Update) []Action {
	switch k {
	case source.Configuration:
		if u.Configuration != nil {
			return c.configuration(now, u.Configuration)
		}
	case source.Registry:
		return c.registryChanges(now, u)
	case source.Withdrawals:
		return c.withdraw(now, u)
	}
	return nil
}

func (c *Core) age(now time.Time, s source.Kind) time.Duration {
	if c.confirmed[s].IsZero() {
		return 0
	}
	return now.Sub(c.confirmed[s])
}

// configuration takes a version; flows whose route it drops are reset.
func (c *Core) configuration(now time.Time, next *routing.Configuration) []Action {
	before := c.routes.Current()
	if !c.routes.Update(next) {
		return nil
	}
	actions := []Action{Note{Subject: fmt.Sprint(next.Version), What: "configuration in force",
		Cause: fmt.Sprintf("%d routes", len(next.Routes)), Age: c.age(now, source.Configuration)}}
	if before == nil {
		return actions
	}
	for _, t := range c.flows {
		if t.closing || next.Route(t.key.Service()) != nil {
			continue
		}
		actions = append(actions, c.giveUp(t, RouteDropped))
	}
	return actions
}

func (c *Core) giveUp(t *tracked, reason Reason) Action {
	a := ResetFlow{Flow: t.key, Ack: t.Ack, Server: t.backend.record.Name, Reason: reason}
	c.drop(t)
	return a
}

func (c *Core) registryChanges(now time.Time, u *source.Update) []Action {
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
		changes = append(changes, c.servers.Keep(now, listed)...)
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
			c.addBackend(r)
		case registry.Restarted:
			actions = append(actions, c.restarted(r)...)
		case registry.Departed:
			actions = append(actions, c.departed(now, r)...)
		case registry.Forgotten:
			c.removeBackend(r)
		}
		actions = append(actions, Note{Subject: r.Name, What: "server " + change.Kind.String(),
			Cause: fmt.Sprintf("service %s in %s at %s, draining %t", r.Service, r.DataCentre, r.Address, r.Draining), Age: c.age(now, source.Registry)})
	}
	if len(changes) > 0 {
		c.indexServices()
	}
	return actions
}

// restarted gives up the flows of the server's earlier incarnation.
func (c *Core) restarted(r *registry.Record) []Action {
	b := c.backends[r]
	b.reach = reach.Evidence{}
	var actions []Action
	for _, t := range b.open {
		actions = append(actions, c.giveUp(t, ServerLost))
	}
	return actions
}

// departed asks whether a server whose entry went still lives: the entry of a
// live server goes as well when it cannot write.
func (c *Core) departed(now time.Time, r *registry.Record) []Action {
	b := c.backends[r]
	if len(b.open) == 0 || !b.reach.Doubt(now) {
		return nil
	}
	return []Action{c.probe(b)}
}

// probe asks for a probe; from the second one without an answer on with a
// control.
func (c *Core) probe(b *backend) Action {
	p := Probe{Server: b.record.Name, Address: b.record.Address, Path: c.healthPath(b)}
	if b.reach.State() == reach.Unreachable && !b.reach.Failed() {
		if control := c.control(b); control != nil {
			p.Control, p.ControlPath = control.record.Address, c.healthPath(control)
		}
	}
	return p
}

func (c *Core) healthPath(b *backend) string {
	if s, ok := c.routes.Current().Services[b.record.Service]; ok {
		return s.HealthPath
	}
	return "/"
}

// control returns the reachable server that answered last.
func (c *Core) control(not *backend) *backend {
	var last *backend
	for r, b := range c.backends {
		if b == not || !r.Listed || b.reach.State() != reach.Reachable {
			continue
		}
		if last == nil || b.reach.Alive().After(last.reach.Alive()) {
			last = b
		}
	}
	return last
}

func (c *Core) withdraw(now time.Time, u *source.Update) []Action {
	var actions []Action
	listed := make(map[model.DataCentre]bool, len(u.DataCentres))
	for _, change := range u.DataCentres {
		listed[change.DataCentre] = change.Withdrawn
		actions = append(actions, c.mark(now, change)...)
	}
	if !u.Full {
		return actions
	}
	for _, dc := range slices.Sorted(maps.Keys(c.withdrawn)) {
		if !listed[dc] {
			actions = append(actions, c.mark(now, source.DataCentreChange{DataCentre: dc})...)
		}
	}
	return actions
}

// mark takes a data centre out of service or back.
func (c *Core) mark(now time.Time, change source.DataCentreChange) []Action {
	if c.withdrawn[change.DataCentre] == change.Withdrawn {
		return nil
	}
	if change.Withdrawn {
		c.withdrawn[change.DataCentre] = true
		return []Action{c.withdrawalNote(now, change.DataCentre, "data centre withdrawn")}
	}
	delete(c.withdrawn, change.DataCentre)
	c.returnedAt[change.DataCentre] = now
	return []Action{c.withdrawalNote(now, change.DataCentre, "data centre back in service")}
}

func (c *Core) withdrawalNote(now time.Time, dc model.DataCentre, what string) Action {
	return Note{Subject: string(dc), What: what, Cause: "operator", Age: c.age(now, source.Withdrawals)}
}

func (c *Core) probed(now time.Time, e Probed) []Action {
	for r, b := range c.backends {
		if r.Name == e.Server {
			before := b.reach.State()
			failed := b.reach.Failed()
			again := b.reach.Probed(now, e.Result, e.PathGood)
			actions := c.afterEvidence(now, b, before, again, "probe: "+e.Result.String())
			if before != reach.Unreachable && e.Result == reach.NoAnswer {
				actions = append(actions, c.doubtDataCentre(now, b)...)
			}
			if !failed && b.reach.Failed() {
				actions = append(actions, c.giveUpAll(b)...)
			}
			return append(actions, c.judge(now)...)
		}
	}
	return nil
}

// doubtDataCentre probes the other servers of a silent server's data centre that
// have shown no life since: the data centre may be cut off or without power.
func (c *Core) doubtDataCentre(now time.Time, silent *backend) []Action {
	var actions []Action
	for r, b := range c.backends {
		if len(actions) >= maxDoubtProbes {
			break
		}
		if b == silent || r.DataCentre != silent.record.DataCentre || !r.Listed || b.reach.State() != reach.Reachable {
			continue
		}
		if now.Sub(b.reach.Alive()) > aliveWithin && b.reach.Doubt(now) {
			actions = append(actions, c.probe(b))
		}
	}
	return actions
}

// giveUpAll resets the flows of a server that is not reached, idle ones
// included, so that the callers' next requests open new flows at once.
func (c *Core) giveUpAll(b *backend) []Action {
	actions := make([]Action, 0, len(b.open))
	for _, t := range b.open {
		actions = append(actions, c.giveUp(t, ServerLost))
	}
	return actions
}

func (c *Core) afterEvidence(now time.Time, b *backend, before reach.State, probe bool, cause string) []Action {
	var actions []Action
	if state := b.reach.State(); state != before {
		actions = append(actions, Note{Subject: b.record.Name, What: "server " + state.String(), Cause: cause, Age: aliveAge(now, b)})
	}
	if probe {
		actions = append(actions, c.probe(b))
	}
	return actions
}

// aliveAge returns the time since the server answered a caller; 0 when it never
// did.
func aliveAge(now time.Time, b *backend) time.Duration {
	if b.reach.Alive().IsZero() {
		return 0
	}
	return now.Sub(b.reach.Alive())
}

func (c *Core) reached(now time.Time, b *backend, cause string) Action {
	return Note{Subject: b.record.Name, What: "server " + b.reach.State().String(), Cause: cause}
}

func (c *Core) tick(now time.Time) []Action {
	actions := c.changes(now, c.servers.Tick(now))
	for _, b := range c.backends {
		before := b.reach.State()
		probe := b.reach.Tick(now, !c.able.Able())
		actions = append(actions, c.afterEvidence(now, b, before, probe, "time")...)
	}
	if now.Sub(c.cleaned) >= cleanInterval {
		c.cleaned = now
		c.expireFlows(now)
		c.expireUnknown(now)
		c.recent.expire()
	}
	c.decayDemand()
	actions = append(actions, c.refresh(now)...)
	return append(actions, c.judge(now)...)
}

// demandDecay is the factor by which the memory of requests shrinks each tick:
// half of it is lost in 3.4 s.
const demandDecay = 0.98

func (c *Core) decayDemand() {
	if !c.able.Able() {
		// While the instance is withdrawn no callers come.
		return
	}
	for service := range c.demand {
		c.demand[service] *= demandDecay
	}
}

// judge decides whether the instance can serve most of its callers.
func (c *Core) judge(now time.Time) []Action {
	demands := make([]readiness.Demand, 0, len(c.demand))
	for service, requests := range c.demand {
		demands = append(demands, readiness.Demand{Requests: requests, Served: c.reaches(now, service)})
	}
	if !c.able.Update(now, demands) {
		return nil
	}
	what := "instance reaches servers again"
	if !c.able.Able() {
		what = "instance reaches no servers for most callers"
	}
	return []Action{Note{Subject: string(c.cfg.DataCentre), What: what, Cause: "flows and probes"}}
}

// reaches reports whether a server of the service may take new flows and is
// not known to be out of reach.
func (c *Core) reaches(now time.Time, service string) bool {
	all := c.services[service]
	return all != nil && (slices.ContainsFunc(all.local, func(b *backend) bool { return c.usable(now, b) }) ||
		slices.ContainsFunc(all.remote, func(b *backend) bool { return c.usable(now, b) }))
}

func (c *Core) usable(now time.Time, b *backend) bool {
	state := b.reach.State()
	return b.record.Openable(now) && !c.withdrawn[b.record.DataCentre] && state != reach.Unreachable && state != reach.Ended
}

// expireFlows drops flows that ended or may be discarded.
func (c *Core) expireFlows(now time.Time) {
	idle := c.cfg.FlowLifetime
	if cfg := c.routes.Current(); cfg != nil && cfg.IdleTimeout > 0 {
		idle = min(idle, cfg.IdleTimeout)
	}
	for _, t := range c.flows {
		if quiet := now.Sub(t.Seen); quiet > idle || (t.closing && quiet > closingFor) {
			c.drop(t)
		}
	}
}
