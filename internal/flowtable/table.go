// Package flowtable holds the pins of an instance: which backend server each
// known flow is at. It is sharded for concurrent use by packet workers.
//
// Each shard keeps its entries in chunks of fixed size and finds them through
// a chained hash index, so that growth copies only the index (4 bytes per
// slot) and memory per flow stays bounded at every fill level.
package flowtable

import (
	"math/bits"
	"sync"
	"time"

	"cuminshift/internal/model"
)

const (
	// tick is the resolution of the last use. 31 bits of it last 6 years.
	tick = 100 * time.Millisecond
	// chunkEntries is the number of entries allocated at a time per shard. At
	// 64 shards and 40 bytes an entry, empty chunks waste at most 160 KB.
	chunkEntries = 64
	// minIndex is the initial number of index slots of a shard.
	minIndex = 16
)

// Key identifies a flow in the table.
type Key struct {
	Service model.ServiceID
	Flow    model.FlowHash
}

// Pin says where a flow is.
type Pin struct {
	Server model.ServerID
	// PlanVersion is the catalog version under which the caller's plan was
	// last checked for the flow.
	PlanVersion uint64
	// Recorded is set when the owner of the flow's bucket holds a record of it.
	Recorded bool
	// LastUse is the time of the last packet, in steps of 100 ms.
	LastUse time.Time
}

// Table is the set of pins of an instance. It is safe for concurrent use.
type Table struct {
	start  time.Time
	shift  uint
	limit  int
	shards []shard
	expire cursorState
}

type cursorState struct {
	mu sync.Mutex
	at Cursor
}

// Cursor is a position of Scan; the zero value is the beginning.
type Cursor struct {
	shard, slot int
}

// New returns a table for at most capacity pins; the bound holds for each
// shard separately, with a reserve of an eighth for uneven distribution.
// shards is rounded up to a power of two. start is the origin of time
// measurement and must not lie after any time passed in later.
func New(shards, capacity int, start time.Time) *Table {
	n := 1
	for n < shards {
		n *= 2
	}
	t := &Table{start: start, shift: uint(64 - bits.TrailingZeros(uint(n))), shards: make([]shard, n)}
	t.limit = capacity/n + capacity/n/8 + 1
	for i := range t.shards {
		t.shards[i].index = make([]uint32, minIndex)
	}
	return t
}

func (t *Table) shard(flow model.FlowHash) *shard {
	// A shift by 64 (one shard) gives 0.
	return &t.shards[uint64(flow)>>t.shift]
}

func (t *Table) ticks(now time.Time) uint32 {
	d := now.Sub(t.start)
	if d < 0 {
		return 0
	}
	return uint32(d / tick)
}

func (t *Table) pin(e *entry) Pin {
	return Pin{Server: e.server, PlanVersion: e.planVersion, Recorded: e.recorded(),
		LastUse: t.start.Add(time.Duration(e.lastUse()) * tick)}
}

// Lookup returns the pin of a flow and marks it as used. It does not allocate.
func (t *Table) Lookup(service model.ServiceID, flow model.FlowHash, now time.Time) (Pin, bool) {
	at := t.ticks(now)
	s := t.shard(flow)
	s.mu.Lock()
	e := s.find(service, flow)
	if e == nil {
		s.mu.Unlock()
		return Pin{}, false
	}
	if at > e.lastUse() {
		e.touch(at)
	}
	p := t.pin(e)
	s.mu.Unlock()
	return p, true
}

// Peek returns the pin of a flow without marking it as used.
func (t *Table) Peek(service model.ServiceID, flow model.FlowHash) (Pin, bool) {
	s := t.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(service, flow)
	if e == nil {
		return Pin{}, false
	}
	return t.pin(e), true
}

// Pin stores or replaces the pin of a flow and marks it as used at now;
// p.LastUse is ignored. It returns false when p names no server, or when the
// flow is new and its shard is full: established flows are never evicted for
// new ones.
func (t *Table) Pin(service model.ServiceID, flow model.FlowHash, p Pin, now time.Time) bool {
	if p.Server == 0 {
		return false // a slot without a server counts as free
	}
	at := t.ticks(now)
	s := t.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(service, flow)
	if e == nil {
		if s.used >= t.limit {
			return false
		}
		e = s.insert(service, flow)
	}
	e.server, e.planVersion = p.Server, p.PlanVersion
	e.touch(max(at, e.lastUse()))
	e.setRecorded(p.Recorded)
	return true
}

// SetPlanVersion stores the catalog version under which the plan was checked.
func (t *Table) SetPlanVersion(service model.ServiceID, flow model.FlowHash, version uint64) {
	s := t.shard(flow)
	s.mu.Lock()
	if e := s.find(service, flow); e != nil {
		e.planVersion = version
	}
	s.mu.Unlock()
}

// SetRecorded stores whether the owner holds a record of the flow.
func (t *Table) SetRecorded(service model.ServiceID, flow model.FlowHash, recorded bool) {
	s := t.shard(flow)
	s.mu.Lock()
	if e := s.find(service, flow); e != nil {
		e.setRecorded(recorded)
	}
	s.mu.Unlock()
}

// Remove deletes the pin of a flow and returns it.
func (t *Table) Remove(service model.ServiceID, flow model.FlowHash) (Pin, bool) {
	s := t.shard(flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(service, flow)
	if e == nil {
		return Pin{}, false
	}
	p := t.pin(e)
	s.remove(service, flow)
	return p, true
}

// Len returns the number of pins.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.used
		s.mu.Unlock()
	}
	return n
}

// Slots returns the number of slots that Scan and Expire pass over in a full
// round; it includes the free slots of removed pins.
func (t *Table) Slots() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.slots
		s.mu.Unlock()
	}
	return n
}

// Range calls visit for each pin until it returns false. visit runs under a
// shard lock and must not use the table.
func (t *Table) Range(visit func(Key, Pin) bool) {
	t.RangeFlows(0, ^model.FlowHash(0), visit)
}

// RangeFlows is Range for flow hashes from low to high inclusive. Shards are
// selected by the top bits of the flow hash, as buckets are, so the pins of
// one bucket are found in one or a few shards.
func (t *Table) RangeFlows(low, high model.FlowHash, visit func(Key, Pin) bool) {
	for i := uint64(low) >> t.shift; i <= uint64(high)>>t.shift; i++ {
		if !t.rangeShard(&t.shards[i], low, high, visit) {
			return
		}
	}
}

func (t *Table) rangeShard(s *shard, low, high model.FlowHash, visit func(Key, Pin) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < s.slots; i++ {
		e := s.at(i)
		if e.server != 0 && e.flow >= low && e.flow <= high && !visit(Key{e.service, e.flow}, t.pin(e)) {
			return false
		}
	}
	return true
}

// Scan calls visit for the pins among the next n slots from the cursor, and
// returns the cursor to continue from; wrapped is set when it passed the end.
// visit runs under a shard lock and must not use the table.
func (t *Table) Scan(from Cursor, n int, visit func(Key, Pin)) (next Cursor, wrapped bool) {
	for n > 0 {
		s := &t.shards[from.shard]
		s.mu.Lock()
		for n > 0 && from.slot < s.slots {
			if e := s.at(from.slot); e.server != 0 {
				visit(Key{e.service, e.flow}, t.pin(e))
			}
			from.slot++
			n--
		}
		done := from.slot >= s.slots
		s.mu.Unlock()
		if !done {
			return from, wrapped
		}
		from.slot = 0
		if from.shard++; from.shard == len(t.shards) {
			return Cursor{}, true
		}
	}
	return from, wrapped
}

// Expire examines the next max slots and removes the pins that have not been
// used for idle; it calls ended, which must not use the table, for each one.
// Repeated calls cover the whole table.
func (t *Table) Expire(now time.Time, idle time.Duration, max int, ended func(Key, Pin)) {
	t.expire.mu.Lock()
	defer t.expire.mu.Unlock()
	at, limit := t.ticks(now), uint32((idle+tick-1)/tick)
	for c := &t.expire.at; max > 0; {
		s := &t.shards[c.shard]
		s.mu.Lock()
		for max > 0 && c.slot < s.slots {
			e := s.at(c.slot)
			if e.server != 0 && at > e.lastUse() && at-e.lastUse() > limit {
				key, p := Key{e.service, e.flow}, t.pin(e)
				s.remove(e.service, e.flow)
				if ended != nil {
					ended(key, p)
				}
			}
			c.slot++
			max--
		}
		done := c.slot >= s.slots
		s.mu.Unlock()
		if !done {
			return
		}
		c.slot = 0
		if c.shard++; c.shard == len(t.shards) {
			c.shard = 0
			return
		}
	}
}
