package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminshift/internal/coldstart"
	"cuminshift/internal/flow"
	"cuminshift/internal/linkload"
	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/serverload"
	"cuminshift/internal/token"
)

// serverState is what the instance knows about one BackendServer beyond its
// registry entry.
type serverState struct {
	record *registry.Record
	reach  reach.Detector
	// coldOpenings counts this instance's openings at the server while the
	// server is cold.
	coldOpenings coldstart.Counter
	// nameHash is the hash of the server's name, for the tie break between
	// servers of equal score.
	nameHash uint64
	// openFlows holds the tracked flows at the server whose caller has not
	// closed; inFlight counts those of them that wait for an answer.
	openFlows map[flow.Key]*trackedFlow
	inFlight  int
	// load is what the server can sustain; serviceLoad is shared by the servers of
	// its service in its data centre.
	load        serverload.Server
	serviceLoad *serviceLoad
}

func newServerState(r *registry.Record) *serverState {
	return &serverState{record: r, nameHash: xxhash.Sum64String(r.Name), openFlows: map[flow.Key]*trackedFlow{}}
}

// trackedFlow is one flow and the server that it is forwarded to.
type trackedFlow struct {
	flow.Tracker
	key         flow.Key
	serverState *serverState
	// callerClosed is set once the caller has ended its half; the flow no
	// longer counts as open and is dropped after closedFlowRetention.
	callerClosed bool
	// requestSeen is set if the instance has seen the start of the latest request;
	// unanswered is set once that request was recorded as unanswered.
	requestSeen, unanswered bool

	// The rest concerns the link; see linkUse. It shares a word with callerClosed, so
	// that a flow takes 8 bytes more.

	// startSeen is set if the instance has seen the start of the current request: the
	// opening of the flow or the answer before.
	startSeen bool
	// transferring is set while the flow is in progress as a bulk transfer, or has
	// expired as one.
	transferring bool
	// requestBytes is the number of payload bytes of the current request.
	requestBytes uint32
	// requestSizes holds the sizes of the route's requests; nil if they are not
	// learned.
	requestSizes *linkload.RequestSizes
}

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

func (c *Core) untrack(f *trackedFlow) {
	c.link.drop(f)
	c.detach(f)
	delete(c.flows, f.key)
}

func (c *Core) addServer(r *registry.Record) {
	srv := newServerState(r)
	c.serverStates[r] = srv
	c.assignServiceLoad(srv)
	c.tokens.Add(r.Name, r.Incarnation, srv)
}

func (c *Core) removeServer(r *registry.Record) {
	srv := c.serverStates[r]
	if srv == nil {
		return
	}
	for _, f := range srv.openFlows {
		c.untrack(f)
	}
	c.tokens.Remove(r.Name, srv)
	c.releaseServiceLoad(srv)
	delete(c.serverStates, r)
}

// serviceServers holds the servers of a service that may take new flows, sorted
// by name.
type serviceServers struct {
	local, remote []*serverState
	// byDataCentre holds the remote servers by data centre.
	byDataCentre map[model.DataCentre][]*serverState
}

// indexServices rebuilds the lists of servers that may take new flows. A server without
// a token takes none: nothing would lead the later packets of its flows to it.
func (c *Core) indexServices() {
	clear(c.services)
	for _, srv := range c.serverStates {
		r := srv.record
		if r.Draining || (!r.Listed && !r.InGrace()) || c.tokens.TokenFor(r.Name, srv) == token.None {
			continue
		}
		servers := c.services[r.Service]
		if servers == nil {
			servers = &serviceServers{byDataCentre: map[model.DataCentre][]*serverState{}}
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
		for _, srv := range servers.remote {
			dc := srv.record.DataCentre
			servers.byDataCentre[dc] = append(servers.byDataCentre[dc], srv)
		}
	}
}

func byName(a, b *serverState) int { return strings.Compare(a.record.Name, b.record.Name) }

// isCold reports whether the server can take only few openings: it has just
// started, or its data centre has just returned to service and the registry may
// not have reported the server's cold start yet.
func (c *Core) isCold(now time.Time, r *registry.Record) bool {
	if now.Before(r.ColdUntil) {
		return true
	}
	returned, ok := c.withdrawn.ReturnedAt(r.DataCentre)
	return ok && now.Sub(returned) < returnColdPeriod
}

// returnColdPeriod is how long the servers of a returned data centre count as
// cold, until the registry reports whether they are: one and a half heartbeats.
const returnColdPeriod = 1800 * time.Millisecond
