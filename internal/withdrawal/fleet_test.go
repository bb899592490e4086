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

const (
	fleetSize = 5
	stepTime  = 100 * time.Millisecond
)

var dataCentres = []model.DataCentre{norte, sur}

// fleet is a store, operators and instances that tell each other what it has lost.
type fleet struct {
	rand  *rand.Rand
	now   time.Time
	store *history
	// copies are earlier states of the store, from which it may be restored.
	copies []*history
	// rewriteAt is when the operators write again what a restoration has lost; zero if
	// they have.
	rewriteAt time.Time
	// wanted is the state that the operators have had acknowledged, and wantedSince the
	// time since which the store has had it without a restoration.
	wanted      map[model.DataCentre]bool
	wantedSince map[model.DataCentre]time.Time
	instances   []*Set
	// cut marks the instances that reach neither the store nor others, and reachedAt is
	// when each last started or was no longer cut.
	cut       []bool
	reachedAt []time.Time
	changes   int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 27)), now: start, store: &history{position: at(1, 1), withdrawn: map[model.DataCentre]source.Revision{}},
		wanted: map[model.DataCentre]bool{}, wantedSince: map[model.DataCentre]time.Time{},
		cut: make([]bool, fleetSize), reachedAt: make([]time.Time, fleetSize)}
	for range fleetSize {
		f.instances = append(f.instances, New())
	}
	f.copies = []*history{f.store.clone()}
	return f
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

// step lets stepTime pass and each instance that is not cut off read and listen.
func (f *fleet) step() {
	f.now = f.now.Add(stepTime)
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

// disturb lets an operator, a cut, a restart or a restoration happen, mostly none.
func (f *fleet) disturb() {
	switch f.rand.IntN(40) {
	case 0:
		dc, withdraw := dataCentres[f.rand.IntN(2)], f.rand.IntN(2) == 0
		f.store.set(dc, withdraw)
		if f.wanted[dc] != withdraw {
			f.wanted[dc], f.wantedSince[dc] = withdraw, f.now
		}
	case 1:
		f.cut[f.rand.IntN(fleetSize)] = true
	case 2, 3:
		f.cut[f.rand.IntN(fleetSize)] = false
	case 4:
		i := f.rand.IntN(fleetSize)
		f.instances[i], f.reachedAt[i] = New(), f.now
	case 5:
		f.copies = append(f.copies, f.store.clone())
	case 6:
		if f.rand.IntN(3) == 0 {
			f.restore()
		}
	}
}

func (f *fleet) restore() {
	era := f.store.position.Era
	f.store = f.copies[f.rand.IntN(len(f.copies))].clone()
	f.store.position.Era = era + 1
	for _, dc := range dataCentres {
		f.wantedSince[dc] = f.now
	}
	f.rewriteAt = f.now.Add(time.Duration(f.rand.IntN(2000)) * time.Millisecond)
}

// rewrite lets the operators write again what a restoration has lost, when it is time.
func (f *fleet) rewrite() {
	if !f.rewriteAt.IsZero() && !f.now.Before(f.rewriteAt) {
		f.rewriteAt = time.Time{}
		for _, dc := range dataCentres {
			f.store.set(dc, f.wanted[dc])
		}
	}
	for _, dc := range dataCentres {
		if _, is := f.store.withdrawn[dc]; f.wanted[dc] && !is {
			f.wantedSince[dc] = f.now // lost, and not written again yet
		}
	}
}

// usesWithdrawn returns an instance that uses a data centre which the store has shown
// withdrawn for longer than a return may be kept against a copy.
func (f *fleet) usesWithdrawn() (found string) {
	for _, dc := range dataCentres {
		for i, s := range f.instances {
			since := f.wantedSince[dc]
			if f.reachedAt[i].After(since) {
				since = f.reachedAt[i]
			}
			if f.wanted[dc] && !f.cut[i] && !s.Withdrawn(dc) && f.now.Sub(since) > keepInService+stepTime {
				return fmt.Sprintf("%s: instance %d uses %s, which has been withdrawn in the store for %s", f.now.Sub(start), i, dc, f.now.Sub(since))
			}
		}
	}
	return ""
}

// differsAtRest ends all disturbances and returns an instance that does not come to have
// the state of the store, or changes without an operator.
func (f *fleet) differsAtRest() string {
	clear(f.cut)
	for range 150 {
		f.step()
	}
	f.changes = 0
	for range 200 {
		f.step()
	}
	for i, s := range f.instances {
		got, want := fmt.Sprint(s.Withdrawn(norte), s.Withdrawn(sur)), fmt.Sprint(f.store.withdrawn[norte] != 0, f.store.withdrawn[sur] != 0)
		if got != want || f.changes > 0 {
			return fmt.Sprintf("instance %d has %s, the store %s; %d changes without an operator", i, got, want, f.changes)
		}
	}
	return ""
}

// TestFleetAfterRestorations plays operators, restorations, cuts and restarts. Guards
// against instances that send packets to a data centre that the store shows withdrawn,
// and against a change that instances pass on to each other without end.
func TestFleetAfterRestorations(t *testing.T) {
	seeds := []uint64{15510} // an instance that started on the list of one that kept its own state
	for seed := range uint64(300) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		f := newFleet(seed)
		for range 600 {
			f.disturb()
			f.rewrite()
			f.step()
			if found := f.usesWithdrawn(); found != "" {
				t.Fatalf("seed %d, %s", seed, found)
			}
		}
		if found := f.differsAtRest(); found != "" {
			t.Fatalf("seed %d: %s", seed, found)
		}
	}
}
