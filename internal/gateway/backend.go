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
type backend struct {
	record *registry.Record
	reach  reach.Detector
	cold   coldstart.Counter
	// seed makes the tie of a flow and this server.
	seed uint64
	// open are the tracked flows at the server; busy counts those that wait
	// for an answer.
	open map[flow.Key]*tracked
	busy int
}

func newBackend(r *registry.Record) *backend {
	return &backend{record: r, seed: xxhash.Sum64String(r.Name), open: map[flow.Key]*tracked{}}
}

// tracked is one flow at one server.
type tracked struct {
	flow.Tracker
	key     flow.Key
	backend *backend
	// closing: the caller has ended its half; the flow no longer counts as
	// open and is dropped after a moment.
	closing bool
}

// attach binds a flow to a server.
func (c *Core) attach(t *tracked, b *backend) {
	c.detach(t)
	t.backend = b
	if !t.closing {
		b.open[t.key] = t
		if t.Waiting {
			b.busy++
		}
	}
}

// detach takes a flow off its server.
func (c *Core) detach(t *tracked) {
	if t.backend == nil {
		return
	}
	if _, ok := t.backend.open[t.key]; ok {
		delete(t.backend.open, t.key)
		if t.Waiting {
			t.backend.busy--
		}
	}
	t.backend = nil
}

// drop forgets a flow.
func (c *Core) drop(t *tracked) {
	c.detach(t)
	delete(c.flows, t.key)
}

func (c *Core) addBackend(r *registry.Record) {
	b := newBackend(r)
	c.backends[r] = b
	c.tokens.Add(r.Name, b)
}

func (c *Core) removeBackend(r *registry.Record) {
	b := c.backends[r]
	if b == nil {
		return
	}
	for _, t := range b.open {
		c.drop(t)
	}
	c.tokens.Remove(r.Name, b)
	delete(c.backends, r)
}

// serviceBackends are the servers of a service that may take new flows, by name.
type serviceBackends struct {
	local, remote []*backend
}

// indexServices lists the servers of each service that may take new flows.
func (c *Core) indexServices() {
	clear(c.services)
	for _, b := range c.backends {
		r := b.record
		if r.Draining || (!r.Listed && !r.InGrace()) {
			continue
		}
		all := c.services[r.Service]
		if all == nil {
			all = &serviceBackends{}
			c.services[r.Service] = all
		}
		if r.DataCentre == c.cfg.DataCentre {
			all.local = append(all.local, b)
		} else {
			all.remote = append(all.remote, b)
		}
	}
	for _, all := range c.services {
		slices.SortFunc(all.local, byName)
		slices.SortFunc(all.remote, byName)
	}
}

func byName(a, b *backend) int { return strings.Compare(a.record.Name, b.record.Name) }

// cold reports whether the server bears only little: it has just started, or
// its data centre has just come back and the registry may not say so yet.
func (c *Core) cold(now time.Time, r *registry.Record) bool {
	if now.Before(r.ColdUntil) {
		return true
	}
	back, ok := c.returnedAt[r.DataCentre]
	return ok && now.Sub(back) < returnSettle
}

// returnSettle is the time that servers of a returned data centre count as
// cold, until the registry says whether they are: one and a half heartbeats.
const returnSettle = 1800 * time.Millisecond
