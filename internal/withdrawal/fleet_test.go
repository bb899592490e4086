package withdrawal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

// history is a store of withdrawals: the revision of the object of each withdrawn data
// centre.
type history struct {
	position  source.Position
	withdrawn map[model.DataCentre]source.Revision
	// events are those of the present era.
	events []event
}

type event struct {
	position source.Position
	change   source.DataCentreChange
}

func (h *history) set(dc model.DataCentre, withdraw bool) {
	_, is := h.withdrawn[dc]
	if is == withdraw {
		return
	}
	h.position.Revision++
	c := source.DataCentreChange{DataCentre: dc, Withdrawn: withdraw}
	if withdraw {
		c.Withdrawal = h.position.Revision
		h.withdrawn[dc] = c.Withdrawal
	} else {
		delete(h.withdrawn, dc)
	}
	h.events = append(h.events, event{h.position, c})
}

func (h *history) list() []source.DataCentreChange {
	var out []source.DataCentreChange
	for dc, r := range h.withdrawn {
		out = append(out, source.DataCentreChange{DataCentre: dc, Withdrawn: true, Withdrawal: r})
	}
	return out
}

func (h *history) clone() *history {
	c := &history{position: h.position, withdrawn: map[model.DataCentre]source.Revision{}}
	for dc, r := range h.withdrawn {
		c.withdrawn[dc] = r
	}
	return c
}

// fleet is a store, operators and instances that tell each other what it has lost.
type fleet struct {
	rand  *rand.Rand
	now   time.Time
	store *history
	// wanted is the state that the operators have had acknowledged, and wantedSince the
	// time since which the store has had it without a restoration.
	wanted      map[model.DataCentre]bool
	wantedSince map[model.DataCentre]time.Time
	instances   []*Set
	cut         []bool
	reachedAt   []time.Time
	changes     int
}

// follow brings an instance up to date from the list of another one, if that one has read
// more of the present store.
func (f *fleet) follow(i int) bool {
	other := f.rand.IntN(len(f.instances))
	s, followed := f.instances[i], f.instances[other]
	if f.cut[other] || followed.position.Era < f.store.position.Era || !s.position.Before(followed.position) {
		return false
	}
	replace := s.Replace
	if !s.position.IsZero() && s.position.Era < followed.position.Era {
		replace = s.ReplaceByCopy
	}
	f.changes += len(replace(f.now, followed.position, followed.List(f.now)))
	return true
}

// read brings an instance up to date from the store, as a watch or a read does.
func (f *fleet) read(i int) {
	s, h := f.instances[i], f.store
	switch {
	case s.position.IsZero():
		s.Replace(f.now, h.position, h.list())
	case s.position.Era < h.position.Era:
		f.changes += len(s.ReplaceByCopy(f.now, h.position, h.list()))
	case f.rand.IntN(10) == 0:
		f.changes += len(s.Replace(f.now, h.position, h.list()))
	default:
		for _, e := range h.events {
			if s.position.Before(e.position) {
				f.changes += len(s.Apply(f.now, e.position, []source.DataCentreChange{e.change}))
			}
		}
	}
}

func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for i, s := range f.instances {
		if f.cut[i] {
			f.reachedAt[i] = f.now
			continue
		}
		if f.rand.IntN(3) > 0 || !f.follow(i) {
			f.read(i)
		}
		f.changes += len(s.Tick(f.now))
		if other := f.rand.IntN(len(f.instances)); !f.cut[other] {
			f.changes += len(s.ApplyLost(f.now, f.instances[other].Lost(f.now)))
		}
	}
}

// TestFleetAfterRestorations plays operators, restorations, cuts and restarts. Guards
// against instances that send packets to a data centre that the store shows withdrawn,
// and against a change that instances pass on to each other without end.
func TestFleetAfterRestorations(t *testing.T) {
	const stepTime = 100 * time.Millisecond
	dcs := []model.DataCentre{norte, sur}
	seeds := []uint64{15510} // an instance that started on the list of one that kept its own state
	for seed := range uint64(300) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		f := &fleet{rand: rand.New(rand.NewPCG(seed, 27)), now: start, store: &history{position: at(1, 1), withdrawn: map[model.DataCentre]source.Revision{}},
			wanted: map[model.DataCentre]bool{}, wantedSince: map[model.DataCentre]time.Time{}}
		const n = 5
		f.cut, f.reachedAt = make([]bool, n), make([]time.Time, n)
		for range n {
			f.instances = append(f.instances, New())
		}
		copies := []*history{f.store.clone()}
		var rewriteAt time.Time
		check := func() {
			for _, dc := range dcs {
				for i, s := range f.instances {
					since := f.wantedSince[dc]
					if f.reachedAt[i].After(since) {
						since = f.reachedAt[i]
					}
					if f.wanted[dc] && !f.cut[i] && !s.Withdrawn(dc) && f.now.Sub(since) > keepInService+stepTime {
						t.Fatalf("seed %d, %s: instance %d uses %s, which has been withdrawn in the store for %s", seed, f.now.Sub(start), i, dc, f.now.Sub(since))
					}
				}
			}
		}
		for range 600 {
			switch f.rand.IntN(40) {
			case 0:
				dc, withdraw := dcs[f.rand.IntN(2)], f.rand.IntN(2) == 0
				f.store.set(dc, withdraw)
				if f.wanted[dc] != withdraw {
					f.wanted[dc], f.wantedSince[dc] = withdraw, f.now
				}
			case 1:
				f.cut[f.rand.IntN(n)] = true
			case 2, 3:
				f.cut[f.rand.IntN(n)] = false
			case 4:
				i := f.rand.IntN(n)
				f.instances[i], f.reachedAt[i] = New(), f.now
			case 5:
				copies = append(copies, f.store.clone())
			case 6:
				if f.rand.IntN(3) == 0 {
					era := f.store.position.Era
					f.store = copies[f.rand.IntN(len(copies))].clone()
					f.store.position.Era = era + 1
					for _, dc := range dcs {
						f.wantedSince[dc] = f.now
					}
					rewriteAt = f.now.Add(time.Duration(f.rand.IntN(2000)) * time.Millisecond)
				}
			}
			if !rewriteAt.IsZero() && !f.now.Before(rewriteAt) {
				rewriteAt = time.Time{}
				for _, dc := range dcs {
					f.store.set(dc, f.wanted[dc])
				}
			}
			for _, dc := range dcs {
				if _, is := f.store.withdrawn[dc]; f.wanted[dc] && !is {
					f.wantedSince[dc] = f.now // lost, and not written again yet
				}
			}
			f.step(stepTime)
			check()
		}
		for i := range f.cut {
			f.cut[i] = false
		}
		for range 150 {
			f.step(stepTime)
		}
		f.changes = 0
		for range 200 {
			f.step(stepTime)
		}
		for i, s := range f.instances {
			if got, want := fmt.Sprint(s.Withdrawn(norte), s.Withdrawn(sur)), fmt.Sprint(f.store.withdrawn[norte] != 0, f.store.withdrawn[sur] != 0); got != want || f.changes > 0 {
				t.Fatalf("seed %d: instance %d has %s, the store %s; %d changes without an operator", seed, i, got, want, f.changes)
			}
		}
	}
}
