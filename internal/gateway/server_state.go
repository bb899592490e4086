package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminshift/internal/coldstart"
	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
)

// backend is what the instance knows of one BackendServer besides its entry.
type serverState struct {
	record    *registry.Record
	reach     reach.Detector
	coldStart coldstart.Counter
	// seed makes the tie of a flow and this server.
	seed uint64
	// open are the tracked flows at the server; busy counts those that wait
	// for an answer.
	openFlows map[flow.Key]*trackedFlow
	inFlight  int
}

func newServerState(r *registry.Record) *serverState {
	return &serverState{record: r, seed: xxhash.Sum64String(r.Name), openFlows: map[flow.Key]*trackedFlow{}}
}

// tracked is one flow at one server.
type trackedFlow struct {
	flow.Tracker
	key         flow.Key
	serverState *serverState
	// closing: the caller has ended its half; the flow no longer counts as
	// open and is dropped after a moment.
	callerClosed bool
}

// attach binds a flow to a server.
func (c *Core) attach(f *trackedFlow, srv *serverState) {
	c.detach(f)
	f.serverState = srv
	if !f.callerClosed {
		srv.openFlows[f.key] = f
		if f.Waiting {
			srv.inFlight++
		}
	}
}

// detach takes a flow off its server.
func (c *Core) detach(f *trackedFlow) {
	if f.serverState == nil {
		return
	}
	if _, ok := f.serverState.openFlows[f.key]; ok {
		delete(f.serverState.openFlows, f.key)
		if f.Waiting {
			f.serverState.inFlight--
		}
	}
	f.serverState = nil
}

// drop forgets a flow.
func (c *Core) drop(f *trackedFlow) {
	c.detach(f)
	delete(c.flows, f.key)
}

func (c *Core) addServer(r *registry.Record) {
	srv := newServerState(r)
	c.serverStates[r] = srv
	c.tokens.Add(r.Name, srv)
}

func (c *Core) removeServer(r *registry.Record) {
	srv := c.serverStates[r]
	if srv == nil {
		return
	}
	for _, f := range srv.openFlows {
		c.drop(f)
	}
	c.tokens.Remove(r.Name, srv)
	delete(c.serverStates, r)
}

// serviceBackends are the servers of a service that may take new flows, by name.
type serviceServers struct {
	local, remote []*serverState
}

// indexServices lists the servers of each service that may take new flows.
func (c *Core) indexServices() {
	clear(c.services)
	for _, srv := range c.serverStates {
		r := srv.record
		if r.Draining || (!r.Listed && !r.InGrace()) {
			continue
		}
		servers := c.services[r.Service]
		if servers == nil {
			servers = &serviceServers{}
			c.services[r.Service] = servers
		}
		if r.DataCentre == c.cfg.DataCentre {
			servers.local = append(servers.local, srv)
		} else {
			servers.remote = append(servers.remote, srv)
		}
	}
	for _, servers := range c.services {
		slices.SortFunc(servers.local, byName)
		slices.SortFunc(servers.remote, byName)
	}
}

func byName(a, b *serverState) int { return strings.Compare(a.record.Name, b.record.Name) }

// cold reports whether the server bears only little: it has just started, or
// its data centre has just come back and the registry may not say so yet.
func (c *Core) coldStart(now time.Time, r *registry.Record) bool {
	if now.Before(r.ColdUntil) {
		return true
	}
	returned, ok := c.returnedAt[r.DataCentre]
	return ok && now.Sub(returned) < returnColdPeriod
}

// returnSettle is the time that servers of a returned data centre count as
// cold, until the registry says whether they are: one and a half heartbeats.
const returnColdPeriod = 1800 * time.Millisecond
