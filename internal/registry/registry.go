// Package registry keeps what the platform's registry says of backend servers
// and decides how long a server counts after its entry is gone.
package registry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cuminshift/internal/model"
)

const (
	// LapseGrace is the time after the registry's return in which entries that
	// lapsed during its outage come back; the platform's pages give about two
	// seconds.
	LapseGrace = 2500 * time.Millisecond
	// OutageMin is the shortest outage during which entries of live servers
	// may lapse. The platform removes an entry after three missed heartbeats,
	// of which two may have been missed before this instance noticed.
	MinOutage = 500 * time.Millisecond
	// ForgetAfter is the time for which a departed server's flows are still
	// led to it; the platform's longest flow lifetime.
	DepartedRetention = 60 * time.Second
)

// Entry is what a backend server says of itself.
type Entry struct {
	// Name is unique among all servers, also of the past.
	Name string
	// Fence is the number that a server expects in front of its packets.
	Fence      uint64
	Service    string
	DataCentre model.DataCentre
	Address    netip.AddrPort
	Slots      int
	Draining   bool
	// ColdFor is the time for which the server stays slow, as of its entry.
	ColdRemaining time.Duration
	// Incarnation is the server's start in Unix milliseconds.
	Incarnation int64
}

// Record is a server with its presence in the registry.
type Record struct {
	Entry
	// Listed is set while the registry has an entry of the server.
	Listed bool
	// ColdUntil is the end of the cold start.
	ColdUntil time.Time
	// Departed is the time at which the entry went; zero while it is listed.
	Departed time.Time
	// lapseUntil is the time until which the server counts as present though
	// its entry went during an outage.
	graceUntil time.Time
}

// Openable reports whether new flows may be opened at the server: it is
// listed, or may have lapsed, and is not draining.
func (r *Record) AcceptsFlows(now time.Time) bool {
	return !r.Draining && (r.Listed || now.Before(r.graceUntil))
}

// Gone reports whether the server's entry went for good.
func (r *Record) Gone(now time.Time) bool {
	return !r.Listed && !now.Before(r.graceUntil)
}

// ChangeKind says what happened to a record.
type ChangeKind uint8

// Kinds of changes.
const (
	Added ChangeKind = iota + 1
	Updated
	// Restarted: the server has started anew under its name and holds no flow.
	Restarted
	Departed
	// Lapsed: the entry went while the registry was out; the server counts as
	// present for LapseGrace.
	Lapsed
	// Forgotten: the record is dropped.
	Forgotten
	// Remembered: another instance knew a server that left.
	Remembered
)

// String returns the name used in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "added", "updated", "restarted", "departed", "lapsed", "forgotten", "remembered"}[k]
}

// Change is one change of a record.
type Change struct {
	Kind   ChangeKind
	Record *Record
}

// Registry is one instance's copy of the registry.
type Registry struct {
	records map[string]*Record
	// unlisted are the records without an entry.
	unlisted map[string]*Record
	// outage is the begin of the present outage, returned the end of the
	// last one.
	outageSince, lastReturn time.Time
	// loaded is the time of the first full list.
	loadedAt time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[string]*Record{}, unlisted: map[string]*Record{}}
}

// Loaded reports whether a full list was taken.
func (g *Registry) Loaded() bool { return !g.loadedAt.IsZero() }

// Settled reports whether a server without an entry is gone: no entry can have
// lapsed in an outage that has just ended, also not in one that ended before
// the first list.
func (g *Registry) AbsenceConclusive(now time.Time) bool {
	return g.Loaded() && now.Sub(g.loadedAt) >= LapseGrace && g.outageSince.IsZero() && now.Sub(g.lastReturn) >= LapseGrace
}

// Unanswered notes that a call made at sent was not answered.
func (g *Registry) CallFailed(sentAt time.Time) {
	if g.outageSince.IsZero() {
		g.outageSince = sentAt
	}
}

// Answered notes that the registry answered.
func (g *Registry) CallSucceeded(now time.Time) {
	if !g.outageSince.IsZero() && now.Sub(g.outageSince) >= MinOutage {
		g.lastReturn = now
	}
	g.outageSince = time.Time{}
}

// Record returns the named server's record, or nil.
func (g *Registry) Record(name string) *Record { return g.records[name] }

// Outage returns the begin of the present outage and the end of the last one;
// zero for none.
func (g *Registry) Outage() (since, lastReturn time.Time) { return g.outageSince, g.lastReturn }

// AdoptOutage takes the outage that another instance has seen, on whose word the
// next changes come.
func (g *Registry) AdoptOutage(since, lastReturn time.Time) {
	if g.outageSince.IsZero() {
		g.outageSince = since
	}
	if lastReturn.After(g.lastReturn) {
		g.lastReturn = lastReturn
	}
}

// Keep takes the names in a full list: servers that are not among them went.
func (g *Registry) KeepOnly(now time.Time, listed map[string]bool) []Change {
	if g.loadedAt.IsZero() {
		g.loadedAt = now
	}
	var changes []Change
	for _, name := range g.sortedNames() {
		if !listed[name] {
			changes = g.remove(now, name, changes)
		}
	}
	return changes
}

// Put takes a new or changed entry.
func (g *Registry) Put(now time.Time, e Entry) []Change { return g.put(now, e, nil) }

// Remove takes the end of an entry.
func (g *Registry) Remove(now time.Time, name string) []Change { return g.remove(now, name, nil) }

func (g *Registry) put(now time.Time, e Entry, changes []Change) []Change {
	r := g.records[e.Name]
	if r == nil {
		r = &Record{Entry: e, Listed: true, ColdUntil: now.Add(e.ColdRemaining)}
		g.records[e.Name] = r
		return append(changes, Change{Added, r})
	}
	if r.Listed && r.Entry == e {
		return changes
	}
	before, listed := r.Entry, r.Listed
	r.Entry, r.Listed = e, true
	delete(g.unlisted, e.Name)
	r.ColdUntil = now.Add(e.ColdRemaining)
	r.Departed, r.graceUntil = time.Time{}, time.Time{}
	before.ColdRemaining = e.ColdRemaining
	switch {
	case e.Incarnation != before.Incarnation:
		return append(changes, Change{Restarted, r})
	case listed && before == e:
		// Only the rest of the cold start changed.
		return changes
	}
	return append(changes, Change{Updated, r})
}

func (g *Registry) remove(now time.Time, name string, changes []Change) []Change {
	r := g.records[name]
	if r == nil || !r.Listed {
		return changes
	}
	r.Listed, r.Departed = false, now
	g.unlisted[name] = r
	if !g.lastReturn.IsZero() && now.Sub(g.lastReturn) < LapseGrace {
		r.graceUntil = g.lastReturn.Add(LapseGrace)
		return append(changes, Change{Lapsed, r})
	}
	return append(changes, Change{Departed, r})
}

// Remember takes a server that left before this instance knew it.
func (g *Registry) AddDeparted(now time.Time, e Entry) []Change {
	if g.records[e.Name] != nil {
		return nil
	}
	r := &Record{Entry: e, Departed: now}
	g.records[e.Name], g.unlisted[e.Name] = r, r
	return []Change{{Remembered, r}}
}

// Listed returns the entries of the registry, with the rest of their cold
// starts.
func (g *Registry) Listed(now time.Time) []Entry {
	var out []Entry
	for _, name := range g.sortedNames() {
		if r := g.records[name]; r.Listed {
			e := r.Entry
			e.ColdRemaining = max(0, r.ColdUntil.Sub(now))
			out = append(out, e)
		}
	}
	return out
}

// Departed returns the servers that left and are still remembered.
func (g *Registry) Departed() []Entry {
	var out []Entry
	for _, name := range sortedKeys(g.unlisted) {
		out = append(out, g.unlisted[name].Entry)
	}
	return out
}

// Tick drops records of servers that departed long ago and reports lapsed
// entries that did not come back.
func (g *Registry) Tick(now time.Time) []Change {
	var changes []Change
	for _, name := range sortedKeys(g.unlisted) {
		r := g.unlisted[name]
		switch {
		case !r.graceUntil.IsZero() && !now.Before(r.graceUntil):
			r.graceUntil = time.Time{}
			changes = append(changes, Change{Departed, r})
		case now.Sub(r.Departed) > DepartedRetention:
			delete(g.records, name)
			delete(g.unlisted, name)
			changes = append(changes, Change{Forgotten, r})
		}
	}
	return changes
}

func (g *Registry) sortedNames() []string { return sortedKeys(g.records) }

// sortedNames returns the names in order, so that a run repeats.
func sortedKeys(records map[string]*Record) []string {
	return slices.Sorted(maps.Keys(records))
}

// Lapsing reports whether the entry went during an outage and the server still
// counts as present.
func (r *Record) InGrace() bool { return !r.graceUntil.IsZero() }
