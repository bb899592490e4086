// Package withdrawal holds which data centres operators have taken out of service.
//
// After the store was restored from a copy, the copy may contradict what operators
// changed since. The later state, which this instance accepted before, is kept until
// the operators' changes are in the store again, or until they have had the time for
// that. The times are longer for keeping a data centre withdrawn than for keeping it
// in service, since packets that reach a withdrawn data centre do more harm.
package withdrawal

import (
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
	// Expired is set if the store contradicted the state before, for so long that
	// the store is believed.
	Expired bool
}

// Set holds the withdrawn data centres. It is not safe for concurrent use.
type Set struct {
	withdrawn map[model.DataCentre]bool
	// returnedAt holds the time at which each data centre last came back into
	// service.
	returnedAt map[model.DataCentre]time.Time
	// contradicted holds the data centres of which a restored copy says the
	// opposite, and until when the copy is not believed.
	contradicted map[model.DataCentre]time.Time
	// changed holds the data centres that were changed since the last complete list.
	changed map[model.DataCentre]bool
}

// New returns a set in which all data centres are in service.
func New() *Set {
	return &Set{withdrawn: map[model.DataCentre]bool{}, returnedAt: map[model.DataCentre]time.Time{}, contradicted: map[model.DataCentre]time.Time{},
		changed: map[model.DataCentre]bool{}}
}

// Withdrawn reports whether a data centre is out of service.
func (s *Set) Withdrawn(dc model.DataCentre) bool { return s.withdrawn[dc] }

// ReturnedAt returns the time at which a data centre last came back into service;
// false if it never did.
func (s *Set) ReturnedAt(dc model.DataCentre) (time.Time, bool) {
	at, ok := s.returnedAt[dc]
	return at, ok
}

// List returns the withdrawn data centres and those that the store contradicts.
func (s *Set) List() []source.DataCentreChange {
	var out []source.DataCentreChange
	for _, dc := range s.known(nil) {
		_, contradicted := s.contradicted[dc]
		out = append(out, source.DataCentreChange{DataCentre: dc, Withdrawn: s.withdrawn[dc], Contradicted: contradicted})
	}
	return out
}

// Apply applies changes of the store.
func (s *Set) Apply(now time.Time, changes []source.DataCentreChange) []Change {
	var out []Change
	for _, c := range changes {
		out = s.apply(now, c, out)
		s.changed[c.DataCentre] = true
	}
	return out
}

// ApplyLost takes over changes that a restored copy lost and another instance knows,
// except for data centres that operators have changed since.
func (s *Set) ApplyLost(now time.Time, changes []source.DataCentreChange) []Change {
	var out []Change
	for _, c := range changes {
		if _, contradicted := s.contradicted[c.DataCentre]; !contradicted && !s.changed[c.DataCentre] && c.Withdrawn != s.withdrawn[c.DataCentre] {
			out = s.apply(now, source.DataCentreChange{DataCentre: c.DataCentre, Withdrawn: c.Withdrawn, Contradicted: true}, out)
		}
	}
	return out
}

// Lost returns the changes that a restored copy lost and that have not been written
// again.
func (s *Set) Lost() []source.DataCentreChange {
	return slices.DeleteFunc(s.List(), func(c source.DataCentreChange) bool { return !c.Contradicted })
}

// Replace applies a complete list of the store. Data centres that are not in it are
// in service.
func (s *Set) Replace(now time.Time, list []source.DataCentreChange) []Change {
	return s.replace(now, list, false)
}

// ReplaceByCopy applies the first complete list of a store that was restored from a
// copy.
func (s *Set) ReplaceByCopy(now time.Time, list []source.DataCentreChange) []Change {
	return s.replace(now, list, true)
}

func (s *Set) replace(now time.Time, list []source.DataCentreChange, isCopy bool) []Change {
	clear(s.changed)
	listed := map[model.DataCentre]source.DataCentreChange{}
	for _, c := range list {
		listed[c.DataCentre] = c
	}
	var out []Change
	for _, dc := range s.known(listed) {
		c := listed[dc]
		c.DataCentre = dc
		_, contradicted := s.contradicted[dc]
		switch {
		case c.Contradicted || c.Withdrawn == s.withdrawn[dc]:
			out = s.apply(now, c, out)
		case isCopy:
			s.contradict(now, dc)
		case !contradicted:
			out = s.apply(now, c, out)
		}
	}
	return out
}

// known returns the listed data centres and those of which the set knows more than
// that they are in service, in sorted order.
func (s *Set) known(listed map[model.DataCentre]source.DataCentreChange) []model.DataCentre {
	all := map[model.DataCentre]bool{}
	for dc := range listed {
		all[dc] = true
	}
	for dc := range s.withdrawn {
		all[dc] = true
	}
	for dc := range s.contradicted {
		all[dc] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Tick returns the changes by which the store is believed after it has contradicted
// the state for long enough.
func (s *Set) Tick(now time.Time) []Change {
	var out []Change
	for _, dc := range slices.Sorted(maps.Keys(s.contradicted)) {
		if until := s.contradicted[dc]; now.Before(until) {
			continue
		}
		n := len(out)
		if out = s.apply(now, source.DataCentreChange{DataCentre: dc, Withdrawn: !s.withdrawn[dc]}, out); len(out) > n {
			out[n].Expired = true
		}
	}
	return out
}

func (s *Set) contradict(now time.Time, dc model.DataCentre) {
	keep := keepInService
	if s.withdrawn[dc] {
		keep = keepWithdrawn
	}
	s.contradicted[dc] = now.Add(keep)
}

func (s *Set) apply(now time.Time, c source.DataCentreChange, out []Change) []Change {
	delete(s.contradicted, c.DataCentre)
	if s.withdrawn[c.DataCentre] != c.Withdrawn {
		if c.Withdrawn {
			s.withdrawn[c.DataCentre] = true
		} else {
			delete(s.withdrawn, c.DataCentre)
			s.returnedAt[c.DataCentre] = now
		}
		out = append(out, Change{DataCentre: c.DataCentre, Withdrawn: c.Withdrawn})
	}
	if c.Contradicted {
		s.contradict(now, c.DataCentre)
	}
	return out
}
