package withdrawal

import (
	"slices"
	"testing"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

const (
	norte = model.DataCentre("norte")
	sur   = model.DataCentre("sur")
)

var start = time.Unix(1000, 0)

// at returns a position.
func at(era source.Era, r source.Revision) source.Position {
	return source.Position{Era: era, Revision: r}
}

// withdrawn returns the withdrawal of a data centre by an object of the given revision.
func withdrawn(dc model.DataCentre, r source.Revision) []source.DataCentreChange {
	return []source.DataCentreChange{{DataCentre: dc, Withdrawn: true, Withdrawal: r}}
}

func returned(dc model.DataCentre) []source.DataCentreChange {
	return []source.DataCentreChange{{DataCentre: dc}}
}

// loaded returns the set of an instance that has read that all are in service.
func loaded(p source.Position) *Set {
	s := New()
	s.Replace(start, p, nil)
	return s
}

// Guards against a withdrawn data centre that gets packets because the copy is of
// before its withdrawal.
func TestWithdrawalMissingFromCopyIsKept(t *testing.T) {
	s := loaded(at(1, 2))
	s.Apply(start, at(1, 7), withdrawn(norte, 7))
	s.ReplaceByCopy(start, at(2, 5), nil)
	s.Replace(start, at(2, 6), nil)
	if !s.Withdrawn(norte) {
		t.Fatal("in service by the copy")
	}
	if s.Apply(start, at(2, 7), withdrawn(norte, 7)); !s.Withdrawn(norte) || len(s.Tick(start.Add(keepWithdrawn))) > 0 {
		t.Error("not withdrawn after it was written again")
	}
}

// Guards against a data centre that is taken out of service again by the copy.
func TestReturnMissingFromCopyIsKept(t *testing.T) {
	s := loaded(at(1, 2))
	s.Apply(start, at(1, 7), withdrawn(norte, 7))
	s.Apply(start, at(1, 9), returned(norte))
	s.ReplaceByCopy(start, at(2, 8), withdrawn(norte, 7))
	s.Replace(start, at(2, 8), withdrawn(norte, 7))
	if s.Withdrawn(norte) {
		t.Fatal("withdrawn by the copy")
	}
	if s.Apply(start, at(2, 9), returned(norte)); s.Withdrawn(norte) || len(s.Tick(start.Add(keepWithdrawn))) > 0 {
		t.Error("withdrawn after its return was written again")
	}
}

// Guards against a state that no operator can change any more: what is not written
// again gives way to the store.
func TestStoreIsBelievedAfterTime(t *testing.T) {
	s := loaded(at(1, 2))
	s.Apply(start, at(1, 6), withdrawn(sur, 6))
	s.Apply(start, at(1, 7), returned(sur))
	s.Apply(start, at(1, 8), withdrawn(norte, 8))
	s.ReplaceByCopy(start, at(2, 6), withdrawn(sur, 6))
	if got := s.Tick(start.Add(keepInService)); !slices.Equal(got, []Change{{DataCentre: sur, Withdrawn: true, Cause: Expired}}) {
		t.Errorf("after %s: %+v", keepInService, got)
	}
	if got := s.Tick(start.Add(keepWithdrawn)); !slices.Equal(got, []Change{{DataCentre: norte, Cause: Expired}}) {
		t.Errorf("after %s: %+v", keepWithdrawn, got)
	}
}

// Guards against an operator's new change that is taken for the copy's.
func TestChangeAfterRestoreIsApplied(t *testing.T) {
	s := loaded(at(1, 2))
	s.Apply(start, at(1, 7), withdrawn(norte, 7))
	s.ReplaceByCopy(start, at(2, 5), nil)
	s.Apply(start, at(2, 6), withdrawn(norte, 6))
	s.Apply(start, at(2, 7), returned(norte))
	if s.Withdrawn(norte) {
		t.Error("still withdrawn after its return")
	}
}

// Guards against an instance that starts on the copy and never learns the later state,
// or keeps it longer than the others.
func TestListTellsWhatTheStoreContradicts(t *testing.T) {
	s, started := loaded(at(1, 2)), New()
	s.Apply(start, at(1, 6), withdrawn(sur, 6))
	s.Apply(start, at(1, 7), returned(sur))
	s.Apply(start, at(1, 8), withdrawn(norte, 8))
	s.ReplaceByCopy(start, at(2, 6), withdrawn(sur, 6))
	started.Replace(start, at(2, 6), withdrawn(sur, 6))
	started.Replace(start.Add(time.Second), at(2, 6), s.List(start.Add(time.Second)))
	if !started.Withdrawn(norte) || started.Withdrawn(sur) {
		t.Fatalf("norte withdrawn %t, sur %t", started.Withdrawn(norte), started.Withdrawn(sur))
	}
	started.Tick(start.Add(keepWithdrawn))
	if started.Withdrawn(norte) || !started.Withdrawn(sur) {
		t.Error("the store is not believed after the time")
	}
}

// Guards against an evacuated data centre that gets packets because an instance that
// missed the evacuation takes its own state for the later one.
func TestWithdrawalInCopyThatWasMissedIsApplied(t *testing.T) {
	s := loaded(at(1, 2))
	s.ReplaceByCopy(start, at(2, 25), withdrawn(norte, 20))
	if !s.Withdrawn(norte) || len(s.Lost(start)) > 0 {
		t.Error("in service, although no later change than the withdrawal is known")
	}
}

// Guards against the same after an evacuation that has ended: a later one is none of
// those that this instance knows to have ended.
func TestLaterWithdrawalInCopyIsApplied(t *testing.T) {
	s := loaded(at(1, 2))
	s.Apply(start, at(1, 7), withdrawn(norte, 7))
	s.Apply(start, at(1, 9), returned(norte))
	s.ReplaceByCopy(start, at(2, 25), withdrawn(norte, 8))
	if !s.Withdrawn(norte) {
		t.Error("in service, although another withdrawal is in force than the one that ended")
	}
}

// Guards against an evacuation that one instance undoes at all others: what it passes on
// is older than what they hold.
func TestEarlierChangeOfOtherInstanceIsRefused(t *testing.T) {
	inService := []source.DataCentreChange{{DataCentre: norte, Withdrawal: 4, ChangedAt: at(1, 5), Contradicted: true, KeepFor: time.Hour}}
	unordered := []source.DataCentreChange{{DataCentre: norte, Contradicted: true, KeepFor: time.Hour}}
	for name, learn := range map[string]func(*Set, []source.DataCentreChange){
		"relayed change": func(s *Set, c []source.DataCentreChange) { s.ApplyLost(start, c) },
		"relayed list":   func(s *Set, c []source.DataCentreChange) { s.Replace(start, at(2, 30), c) },
		"relayed copy":   func(s *Set, c []source.DataCentreChange) { s.ReplaceByCopy(start, at(3, 30), c) },
	} {
		for _, c := range [][]source.DataCentreChange{inService, unordered} {
			s := loaded(at(1, 2))
			s.Apply(start, at(1, 20), withdrawn(norte, 20))
			s.ReplaceByCopy(start, at(2, 25), withdrawn(norte, 20))
			if learn(s, c); !s.Withdrawn(norte) {
				t.Errorf("%s: %+v undid the withdrawal at revision 20", name, c)
			}
		}
	}
}

// Guards against a data centre that stays out of service at all instances because one
// of them missed its return.
func TestMissedReturnIsNotPassedOn(t *testing.T) {
	missed := loaded(at(1, 2))
	missed.Apply(start, at(1, 7), withdrawn(norte, 7))
	missed.ReplaceByCopy(start, at(2, 12), nil)
	if !missed.Withdrawn(norte) {
		t.Fatal("the instance does not keep what it knows")
	}
	saw := loaded(at(1, 2))
	saw.Apply(start, at(1, 7), withdrawn(norte, 7))
	saw.Apply(start, at(1, 9), returned(norte))
	startedLater := loaded(at(1, 10))
	for _, s := range []*Set{saw, startedLater} {
		s.ReplaceByCopy(start, at(2, 12), nil)
		if s.ApplyLost(start, missed.Lost(start)); s.Withdrawn(norte) {
			t.Error("withdrawn again by an instance that missed the return")
		}
	}
	// The list of an instance that saw the return corrects the one that missed it.
	missed.Replace(start, at(2, 13), saw.List(start))
	if missed.Withdrawn(norte) {
		t.Error("still withdrawn after another instance passed on the return")
	}
}

// Guards against a withdrawal that is lost for an instance that started on the copy, and
// whose origin was not known even to the instance that passes it on.
func TestWithdrawalOfEarlierStartIsPassedOn(t *testing.T) {
	knows, started := New(), New()
	knows.Replace(start, at(1, 9), withdrawn(norte, 4))
	knows.ReplaceByCopy(start, at(2, 3), nil)
	started.Replace(start, at(2, 3), nil)
	if started.ApplyLost(start, knows.Lost(start)); !started.Withdrawn(norte) {
		t.Error("in service at the instance that started on the copy")
	}
}

// Guards against a data centre that stays out of service for good at an instance which
// learns of the restoration from another one, and not from the store.
func TestRelayedCopyIsBelievedAfterTime(t *testing.T) {
	reader, follower := loaded(at(1, 2)), loaded(at(1, 2))
	for _, s := range []*Set{reader, follower} {
		s.Apply(start, at(1, 7), withdrawn(norte, 7))
	}
	reader.ReplaceByCopy(start, at(2, 5), nil)
	later := start.Add(time.Second)
	follower.ReplaceByCopy(later, at(2, 5), reader.List(later))
	if follower.Tick(start.Add(keepWithdrawn - time.Millisecond)); !follower.Withdrawn(norte) {
		t.Error("in service before the time")
	}
	if follower.Tick(start.Add(keepWithdrawn)); follower.Withdrawn(norte) {
		t.Error("still withdrawn after the time")
	}
}

// Guards against flows to a withdrawn data centre, without end, from an instance that starts
// while another one, whose list it gets, keeps the data centre in service against the copy.
func TestStartOnListOfContradictingInstanceEnds(t *testing.T) {
	reader, started := loaded(at(1, 2)), New()
	reader.Apply(start, at(1, 7), withdrawn(norte, 7))
	reader.Apply(start, at(1, 9), returned(norte))
	reader.ReplaceByCopy(start, at(2, 8), withdrawn(norte, 7))
	later := start.Add(time.Second)
	started.Replace(later, at(2, 8), reader.List(later))
	if started.Withdrawn(norte) {
		t.Fatal("withdrawn at once")
	}
	if started.Tick(start.Add(keepInService)); !started.Withdrawn(norte) {
		t.Error("in service after the time, although the store has the withdrawal")
	}
}

// Guards against flows to a withdrawn data centre because an instance of an earlier build,
// which states neither the position nor the time that is left, passes on the list.
func TestListOfEarlierBuildKeepsWithdrawal(t *testing.T) {
	s := loaded(at(1, 2))
	s.Apply(start, at(1, 7), withdrawn(norte, 7))
	s.ReplaceByCopy(start, at(2, 5), []source.DataCentreChange{{DataCentre: norte, Withdrawn: true, Contradicted: true}})
	if s.Tick(start.Add(time.Second)); !s.Withdrawn(norte) {
		t.Error("in service a second after the restoration")
	}
	if s.Tick(start.Add(keepWithdrawn)); s.Withdrawn(norte) {
		t.Error("still withdrawn after the time")
	}
}
