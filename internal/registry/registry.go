// Package registry holds an instance's copy of the platform's registry of
// backend servers. Each server has an entry in the registry, which the platform
// removes when the server misses its heartbeats. The package decides how long a
// server counts as present after its entry is gone.
//
// A server's record is in one of these states:
//
//   - listed: the registry has an entry for the server.
//   - lapsed: the entry is missing after an outage of the registry in which the
//     server could not send heartbeats. The server counts as present until
//     LapseGrace after the end of the outage.
//   - departed: the entry is gone. No new flows are opened at the server, but
//     packets of its flows are still forwarded to it.
//
// The record is deleted DepartedRetention after the entry was removed.
package registry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cuminshift/internal/model"
)

const (
	// LapseGrace is the time after the end of an outage of the registry within
	// which servers whose entries were removed during the outage register again;
	// the platform's documentation gives about two seconds.
	LapseGrace = 2500 * time.Millisecond
	// MinOutage is the shortest outage, as noticed by this instance, during which
	// entries of running servers may be removed. The platform removes an entry
	// after three missed heartbeats of the server, two of which may have been
	// missed before this instance noticed the outage.
	MinOutage = 500 * time.Millisecond
	// DepartedRetention is how long packets are still forwarded to a departed
	// server: the platform's longest flow lifetime.
	DepartedRetention = 60 * time.Second
	// LostRetention is how long other instances are told of an entry that a restored
	// copy lost. Servers write their entries again within about two seconds.
	LostRetention = 10 * time.Second
)

// Entry is what a backend server publishes about itself.
type Entry struct {
	// Name identifies the server. It stays the same when the server restarts,
	// and no other server, past or present, has it.
	Name string
	// Fence is the number that precedes every packet to the server. The server
	// drops packets with another number, such as those for an earlier server at
	// its address.
	Fence      uint64
	Service    string
	DataCentre model.DataCentre
	Address    netip.AddrPort
	// Slots is the number of requests that the server processes concurrently.
	Slots    int
	Draining bool
	// ColdRemaining is how long the server stays cold, that is, takes only few
	// openings. It counts from the time at which the entry is put into the
	// instance's copy.
	ColdRemaining time.Duration
	// Incarnation is the server's start time in Unix milliseconds; it tells
	// whether the server has restarted.
	Incarnation int64
	// Sequence rises with each entry that an incarnation writes; 0 when unknown.
	Sequence int64
}

// writtenBefore reports whether the server wrote the entry before the other one. A
// server never takes back that it drains, which decides when the sequence is unknown.
func (e *Entry) writtenBefore(other *Entry) bool {
	switch {
	case e.Incarnation != other.Incarnation:
		return e.Incarnation < other.Incarnation
	case e.Sequence != 0 && other.Sequence != 0:
		return e.Sequence < other.Sequence
	}
	return other.Draining && !e.Draining
}

// saysSame reports whether two entries differ at most in what changes by itself: the
// remaining cold start and the count of entries.
func (e *Entry) saysSame(other *Entry) bool {
	a, b := *e, *other
	a.ColdRemaining, a.Sequence = b.ColdRemaining, b.Sequence
	return a == b
}

// Record is a server together with its presence in the registry.
type Record struct {
	// Entry is replaced as a whole, never changed: packets are forwarded by an entry
	// while the next one arrives.
	*Entry
	// Listed is set while the registry has an entry for the server.
	Listed bool
	// ColdUntil is the end of the cold start.
	ColdUntil time.Time
	// RemovedAt is the time at which the entry was removed, also for a lapsed
	// record; zero while the server is listed.
	RemovedAt time.Time
	// graceUntil is the end of the grace period of a lapsed record; zero for
	// other records.
	graceUntil time.Time
}

// AcceptsFlows reports whether new flows may be opened at the server: it is not
// draining, and it is listed or within the grace period of a lapsed record. The
// number of openings at a cold server is limited elsewhere.
func (r *Record) AcceptsFlows(now time.Time) bool {
	return !r.Draining && (r.Listed || now.Before(r.graceUntil))
}

// ChangeKind is the kind of a change of a record.
type ChangeKind uint8

// Kinds of changes.
const (
	Added ChangeKind = iota + 1
	Updated
	// Restarted: the entry has another incarnation; the server has lost its
	// earlier flows.
	Restarted
	Departed
	// Lapsed: the entry went missing in an outage of the registry; the server
	// counts as present until LapseGrace after the end of the outage.
	Lapsed
	// Forgotten: the record was deleted.
	Forgotten
	// Remembered: a record was added for a departed server that another instance
	// still remembers.
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

// Registry is one instance's copy of the registry. It is not safe for concurrent
// use.
type Registry struct {
	records map[string]*Record
	// unlisted holds the lapsed and departed records.
	unlisted map[string]*Record
	// outageStart is the start of the current outage, lastOutageEnd the end of the
	// last one that lasted at least MinOutage; zero for none.
	outageStart, lastOutageEnd time.Time
	// loadedAt is the time of the first full list.
	loadedAt time.Time
	// lost holds the servers of which a restored copy has an earlier entry than the
	// one known here, and the time until which others are told.
	lost map[string]time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[string]*Record{}, unlisted: map[string]*Record{}, lost: map[string]time.Time{}}
}

// Loaded reports whether a full list has been received.
func (g *Registry) Loaded() bool { return !g.loadedAt.IsZero() }

// AbsenceConclusive reports whether a missing entry proves that the server is
// gone. It does not during an outage of the registry and for LapseGrace after
// it, nor for LapseGrace after the first full list, since an outage may have
// ended just before that list.
func (g *Registry) AbsenceConclusive(now time.Time) bool {
	return g.Loaded() && now.Sub(g.loadedAt) >= LapseGrace && g.outageStart.IsZero() && now.Sub(g.lastOutageEnd) >= LapseGrace
}

// CallFailed records that a call sent at sentAt was not answered. An outage starts
// when the first unanswered call was sent.
func (g *Registry) CallFailed(sentAt time.Time) {
	if g.outageStart.IsZero() {
		g.outageStart = sentAt
	}
}

// CallSucceeded records that the registry answered, which ends an outage.
func (g *Registry) CallSucceeded(now time.Time) {
	if !g.outageStart.IsZero() && now.Sub(g.outageStart) >= MinOutage {
		g.lastOutageEnd = now
	}
	g.outageStart = time.Time{}
}

// Record returns the named server's record, or nil.
func (g *Registry) Record(name string) *Record { return g.records[name] }

// Outage returns the start of the current outage and the end of the last one that
// lasted at least MinOutage; zero times for none.
func (g *Registry) Outage() (start, lastOutageEnd time.Time) { return g.outageStart, g.lastOutageEnd }

// AdoptOutage adds what another instance, which supplies the next changes, knows
// about outages: the start of the current one and the end of the last one. An
// outage that this instance has noticed itself keeps its start.
func (g *Registry) AdoptOutage(start, lastOutageEnd time.Time) {
	if g.outageStart.IsZero() {
		g.outageStart = start
	}
	if lastOutageEnd.After(g.lastOutageEnd) {
		g.lastOutageEnd = lastOutageEnd
	}
}

// Restored records that the registry was restored from a copy. Entries written since
// the copy are missing until their servers write them again, as after an outage.
func (g *Registry) Restored(now time.Time) { g.outageStart, g.lastOutageEnd = time.Time{}, now }

// PutCopy adds or updates an entry of a restored copy. The copy may hold what the
// server wrote before the entry that this instance has; that one is then kept.
func (g *Registry) PutCopy(now time.Time, e Entry) []Change {
	r := g.records[e.Name]
	if r == nil || !e.writtenBefore(r.Entry) {
		return g.Put(now, e)
	}
	kept := *r.Entry
	kept.ColdRemaining = max(0, r.ColdUntil.Sub(now))
	changes := g.Put(now, kept)
	if !e.saysSame(&kept) {
		g.lost[e.Name] = now.Add(LostRetention)
	}
	return changes
}

// PutLost takes over an entry that a restored copy lost and another instance knows,
// if it is later than the one known here.
func (g *Registry) PutLost(now time.Time, e Entry) []Change {
	r := g.records[e.Name]
	if r == nil || !r.Listed || !r.Entry.writtenBefore(&e) {
		return nil
	}
	changes := g.Put(now, e)
	g.lost[e.Name] = now.Add(LostRetention)
	return changes
}

// Lost returns the entries that a restored copy lost and that have not been written
// again.
func (g *Registry) Lost() []Entry {
	var out []Entry
	for _, name := range slices.Sorted(maps.Keys(g.lost)) {
		if r := g.records[name]; r != nil && r.Listed {
			out = append(out, *r.Entry)
		}
	}
	return out
}

// KeepOnly applies the names of a full list: it removes the entries of servers
// that are not among them.
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

// Put adds or updates an entry.
func (g *Registry) Put(now time.Time, e Entry) []Change {
	delete(g.lost, e.Name)
	return g.put(now, e, nil)
}

// Remove removes an entry.
func (g *Registry) Remove(now time.Time, name string) []Change {
	delete(g.lost, name)
	return g.remove(now, name, nil)
}

func (g *Registry) put(now time.Time, e Entry, changes []Change) []Change {
	r := g.records[e.Name]
	if r == nil {
		r = &Record{Entry: &e, Listed: true, ColdUntil: now.Add(e.ColdRemaining)}
		g.records[e.Name] = r
		return append(changes, Change{Added, r})
	}
	if r.Listed && *r.Entry == e {
		return changes
	}
	before, listed := *r.Entry, r.Listed
	r.Entry, r.Listed = &e, true
	delete(g.unlisted, e.Name)
	r.ColdUntil = now.Add(e.ColdRemaining)
	r.RemovedAt, r.graceUntil = time.Time{}, time.Time{}
	switch {
	case e.Incarnation != before.Incarnation:
		return append(changes, Change{Restarted, r})
	case listed && before.saysSame(&e):
		// Only the remaining cold start or the sequence changed.
		return changes
	}
	return append(changes, Change{Updated, r})
}

func (g *Registry) remove(now time.Time, name string, changes []Change) []Change {
	r := g.records[name]
	if r == nil || !r.Listed {
		return changes
	}
	r.Listed, r.RemovedAt = false, now
	g.unlisted[name] = r
	if !g.lastOutageEnd.IsZero() && now.Sub(g.lastOutageEnd) < LapseGrace {
		r.graceUntil = g.lastOutageEnd.Add(LapseGrace)
		return append(changes, Change{Lapsed, r})
	}
	return append(changes, Change{Departed, r})
}

// AddDeparted adds a departed server that another instance remembers. It does
// nothing if there is a record of the server already.
func (g *Registry) AddDeparted(now time.Time, e Entry) []Change {
	if g.records[e.Name] != nil {
		return nil
	}
	r := &Record{Entry: &e, RemovedAt: now}
	g.records[e.Name], g.unlisted[e.Name] = r, r
	return []Change{{Remembered, r}}
}

// Listed returns the current entries with the remaining times of their cold
// starts.
func (g *Registry) Listed(now time.Time) []Entry {
	var out []Entry
	for _, name := range g.sortedNames() {
		if r := g.records[name]; r.Listed {
			e := *r.Entry
			e.ColdRemaining = max(0, r.ColdUntil.Sub(now))
			out = append(out, e)
		}
	}
	return out
}

// ListedCount returns the number of current entries.
func (g *Registry) ListedCount() int { return len(g.records) - len(g.unlisted) }

// Unlisted returns the last entries of the lapsed and departed servers whose
// records have not been deleted.
func (g *Registry) Unlisted() []Entry {
	var out []Entry
	for _, name := range sortedKeys(g.unlisted) {
		out = append(out, *g.unlisted[name].Entry)
	}
	return out
}

// Tick deletes the records whose entries were removed more than DepartedRetention
// ago, and reports as departed the lapsed servers that have not registered again
// by the end of their grace period.
func (g *Registry) Tick(now time.Time) []Change {
	maps.DeleteFunc(g.lost, func(_ string, until time.Time) bool { return !now.Before(until) })
	var changes []Change
	for _, name := range sortedKeys(g.unlisted) {
		r := g.unlisted[name]
		switch {
		case !r.graceUntil.IsZero() && !now.Before(r.graceUntil):
			r.graceUntil = time.Time{}
			changes = append(changes, Change{Departed, r})
		case now.Sub(r.RemovedAt) > DepartedRetention:
			delete(g.records, name)
			delete(g.unlisted, name)
			changes = append(changes, Change{Forgotten, r})
		}
	}
	return changes
}

func (g *Registry) sortedNames() []string { return sortedKeys(g.records) }

// sortedKeys returns the names in sorted order, so that runs are reproducible.
func sortedKeys(records map[string]*Record) []string {
	return slices.Sorted(maps.Keys(records))
}

// InGrace reports whether the record is lapsed.
func (r *Record) InGrace() bool { return !r.graceUntil.IsZero() }
