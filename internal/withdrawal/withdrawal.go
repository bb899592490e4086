// Package withdrawal holds which data centres operators have taken out of service.
//
// After the store was restored from a copy, the copy may contradict what operators
// changed since. What this instance accepted before is kept until the operators'
// changes are in the store again, or until they have had the time for that. The
// times are longer for keeping a data centre withdrawn than for keeping it in
// service, since packets that reach a withdrawn data centre do more harm.
//
// An instance may have missed changes that the copy has, so a difference alone does
// not show which of the two is later. A data centre stays in service against the copy
// only if this instance knows that just the withdrawal in the copy has ended. What
// other instances know replaces what this one knows only if the operators' change is
// later.
package withdrawal

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

const (
	// keepWithdrawn is how long a data centre stays withdrawn that a restored copy
	// shows in service.
	keepWithdrawn = 10 * time.Second
	// keepInService is how long a data centre stays in service that a restored copy
	// shows as withdrawn: the time in which what was lost is written again.
	keepInService = 2500 * time.Millisecond
)

// Change is a data centre that was withdrawn or has returned to service.
type Change struct {
	DataCentre model.DataCentre
	Withdrawn  bool
	Cause      Cause
}

// Cause says why a data centre has changed.
type Cause uint8

// Causes.
const (
	// Operator: the store has a change of the operators.
	Operator Cause = iota
	// Learned: another instance knows a change that the restored store has lost.
	Learned
	// Expired: the store contradicted the state before, for so long that the store
	// is believed.
	Expired
)

// String returns the text used in logs.
func (c Cause) String() string {
	return [...]string{"operator", "operator, lost by the restored store, known to another instance", "restored store, not written again by the operator"}[c]
}

// state is what is known of a data centre that was ever withdrawn.
type state struct {
	withdrawn bool
	// withdrawal is the revision of the object that withdraws the data centre or
	// withdrew it last.
	withdrawal source.Revision
	// changedAt is the position of the operators' latest change. It is zero for a
	// withdrawal in the first list of an era, which may have been written in an
	// earlier era.
	changedAt source.Position
	// returnedAt is the time at which the data centre last came back into service.
	returnedAt time.Time
	// keptUntil is the time until which the state is kept against a restored copy;
	// zero if the store does not contradict it.
	keptUntil time.Time
}

// contradicted reports whether the state is kept against a restored copy.
func (st *state) contradicted() bool { return !st.keptUntil.IsZero() }

// keepTime returns how long the state is kept against a restored copy.
func (st *state) keepTime() time.Duration {
	if st.withdrawn {
		return keepWithdrawn
	}
	return keepInService
}

// agrees reports whether the data centre is listed as it is known, and if it is
// withdrawn, by the same object.
func (st *state) agrees(c source.DataCentreChange) bool {
	return c.Withdrawn == st.withdrawn && (!c.Withdrawn || c.Withdrawal == st.withdrawal)
}

// mayBeLaterThan reports whether the state contradicts a listed one and may be later. A
// data centre in service is later than its withdrawal only if that withdrawal is known
// to have ended: this instance may have missed any other one.
func (st *state) mayBeLaterThan(c source.DataCentreChange) bool {
	switch {
	case c.Withdrawn == st.withdrawn || st.changedAt.Before(c.ChangedAt):
		return false
	case c.Withdrawn:
		return c.Withdrawal != 0 && c.Withdrawal == st.withdrawal
	}
	return true
}

// changePosition returns the position of a change in an update of the store.
func changePosition(c source.DataCentreChange, at source.Position) source.Position {
	if c.Withdrawn && c.Withdrawal != 0 {
		return source.Position{Era: at.Era, Revision: c.Withdrawal}
	}
	return at
}

// Set holds the withdrawn data centres. It is not safe for concurrent use.
type Set struct {
	states map[model.DataCentre]*state
	// position is that of the last applied update, and before that of the last one of
	// the era before; zero if there was none.
	position, before source.Position
	// eraReadAt is the time of the first complete list of the present era.
	eraReadAt time.Time
}

// New returns a set in which all data centres are in service.
func New() *Set { return &Set{states: map[model.DataCentre]*state{}} }

// Withdrawn reports whether a data centre is out of service.
func (s *Set) Withdrawn(dc model.DataCentre) bool {
	st := s.states[dc]
	return st != nil && st.withdrawn
}

// ReturnedAt returns the time at which a data centre last came back into service;
// false if it never did.
func (s *Set) ReturnedAt(dc model.DataCentre) (time.Time, bool) {
	if st := s.states[dc]; st != nil && !st.returnedAt.IsZero() {
		return st.returnedAt, true
	}
	return time.Time{}, false
}

// List returns all data centres that are or were withdrawn.
func (s *Set) List(now time.Time) []source.DataCentreChange {
	var out []source.DataCentreChange
	for _, dc := range slices.Sorted(maps.Keys(s.states)) {
		st := s.states[dc]
		c := source.DataCentreChange{DataCentre: dc, Withdrawn: st.withdrawn, Withdrawal: st.withdrawal, ChangedAt: st.changedAt}
		if st.contradicted() {
			c.Contradicted, c.KeepFor = true, max(0, st.keptUntil.Sub(now))
		}
		out = append(out, c)
	}
	return out
}

// Lost returns the changes that a restored copy lost and that have not been written
// again.
func (s *Set) Lost(now time.Time) []source.DataCentreChange {
	return slices.DeleteFunc(s.List(now), func(c source.DataCentreChange) bool { return !c.Contradicted })
}

// Apply applies changes of the store up to a position.
func (s *Set) Apply(now time.Time, at source.Position, changes []source.DataCentreChange) []Change {
	s.position = at
	var out []Change
	for _, c := range changes {
		c.ChangedAt = changePosition(c, at)
		out = s.set(now, c, Operator, out)
	}
	return out
}

// Replace applies a complete list of the store as of a position. Data centres that
// are not in it are in service.
func (s *Set) Replace(now time.Time, at source.Position, list []source.DataCentreChange) []Change {
	first := s.position.IsZero()
	if s.position = at; first {
		s.eraReadAt = now
	}
	var out []Change
	for _, c := range s.complete(list) {
		st := s.state(c.DataCentre)
		switch {
		case c.Contradicted && c.Withdrawn == st.withdrawn:
			out = s.adopt(now, c, out)
		case c.Contradicted:
			out = s.learn(now, c, out)
		case st.contradicted() && st.mayBeLaterThan(c):
			// The store still has what the copy had.
		default:
			if !first && !st.agrees(c) && c.ChangedAt.IsZero() {
				c.ChangedAt = changePosition(c, at)
			}
			out = s.set(now, c, Operator, out)
		}
	}
	return out
}

// ReplaceByCopy applies the first complete list of a store that was restored from a
// copy.
func (s *Set) ReplaceByCopy(now time.Time, at source.Position, list []source.DataCentreChange) []Change {
	s.before, s.position, s.eraReadAt = s.position, at, now
	for _, st := range s.states {
		if st.withdrawn && st.changedAt.IsZero() {
			st.changedAt = source.Position{Era: s.before.Era, Revision: st.withdrawal}
		}
	}
	var out []Change
	for _, c := range s.complete(list) {
		st := s.state(c.DataCentre)
		switch {
		case c.Contradicted && c.Withdrawn == st.withdrawn:
			out = s.adopt(now, c, out)
		case c.Contradicted:
			out = s.learn(now, c, out)
		case st.mayBeLaterThan(c):
			st.keptUntil = now.Add(st.keepTime())
		default:
			out = s.set(now, c, Operator, out)
		}
	}
	return out
}

// ApplyLost takes over changes that a restored copy lost and another instance knows,
// if they are later than what this instance knows.
func (s *Set) ApplyLost(now time.Time, changes []source.DataCentreChange) []Change {
	var out []Change
	for _, c := range changes {
		out = s.learn(now, c, out)
	}
	return out
}

// learn takes over a state that another instance keeps against the copy, unless it may
// precede the one that this instance knows. It is kept no longer than by the other
// instance, so that it cannot be passed on in circles. An instance that reads the copy
// late, because it was cut off, therefore takes no data centre into service again that
// the others have known to be withdrawn for longer than keepInService.
func (s *Set) learn(now time.Time, c source.DataCentreChange, out []Change) []Change {
	st := s.state(c.DataCentre)
	switch {
	case c.Withdrawn == st.withdrawn || !st.changedAt.Before(c.ChangedAt):
		return out
	case c.Withdrawn && s.includes(c.ChangedAt):
		// This instance has read since that the data centre is in service.
		return out
	case !c.Withdrawn && c.Withdrawal != st.withdrawal:
		// Another withdrawal has ended than the one that is in force here.
		return out
	}
	if !c.Withdrawn && !now.Before(s.eraReadAt.Add(keepInService)) {
		return out
	}
	return s.adopt(now, c, out)
}

// adopt takes over a state that another instance keeps against the copy.
func (s *Set) adopt(now time.Time, c source.DataCentreChange, out []Change) []Change {
	out = s.set(now, c, Learned, out)
	st := s.states[c.DataCentre]
	st.keptUntil = now.Add(st.keepTime())
	if c.ChangedAt.IsZero() {
		return out // an earlier build, which states no time
	}
	if until := now.Add(c.KeepFor); until.Before(st.keptUntil) {
		st.keptUntil = until
	}
	if until := s.eraReadAt.Add(keepInService); !st.withdrawn && until.Before(st.keptUntil) {
		st.keptUntil = until
	}
	return out
}

// includes reports whether the state that this instance read in the era of a position
// includes the changes up to it.
func (s *Set) includes(p source.Position) bool {
	for _, read := range []source.Position{s.position, s.before} {
		if read.Era == p.Era {
			return !read.Before(p)
		}
	}
	return false
}

// complete adds the known data centres to a list that are not in it and therefore in
// service, and returns it sorted by name.
func (s *Set) complete(list []source.DataCentreChange) []source.DataCentreChange {
	all := map[model.DataCentre]source.DataCentreChange{}
	for dc := range s.states {
		all[dc] = source.DataCentreChange{DataCentre: dc}
	}
	for _, c := range list {
		all[c.DataCentre] = c
	}
	return slices.SortedFunc(maps.Values(all), func(a, b source.DataCentreChange) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// Tick returns the changes by which the store is believed after it has contradicted
// the state for long enough.
func (s *Set) Tick(now time.Time) []Change {
	var out []Change
	for _, dc := range slices.Sorted(maps.Keys(s.states)) {
		if st := s.states[dc]; st.contradicted() && !now.Before(st.keptUntil) {
			out = s.set(now, source.DataCentreChange{DataCentre: dc, Withdrawn: !st.withdrawn, Withdrawal: st.withdrawal, ChangedAt: s.position}, Expired, out)
		}
	}
	return out
}

// state returns what is known of a data centre.
func (s *Set) state(dc model.DataCentre) *state {
	if st := s.states[dc]; st != nil {
		return st
	}
	return &state{}
}

// set replaces the state of a data centre, which the store then no longer contradicts.
func (s *Set) set(now time.Time, c source.DataCentreChange, cause Cause, out []Change) []Change {
	st := s.state(c.DataCentre)
	s.states[c.DataCentre] = st
	st.keptUntil = time.Time{}
	later := st.withdrawn != c.Withdrawn || st.changedAt.Before(c.ChangedAt)
	if later {
		st.changedAt = c.ChangedAt
	}
	if c.Withdrawal != 0 && (later || c.Withdrawn) {
		st.withdrawal = c.Withdrawal
	}
	if st.withdrawn == c.Withdrawn {
		return out
	}
	if st.withdrawn = c.Withdrawn; !st.withdrawn {
		st.returnedAt = now
	}
	return append(out, Change{DataCentre: c.DataCentre, Withdrawn: c.Withdrawn, Cause: cause})
}
