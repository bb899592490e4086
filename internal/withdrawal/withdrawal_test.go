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

func withdrawn(dc model.DataCentre) []source.DataCentreChange {
	return []source.DataCentreChange{{DataCentre: dc, Withdrawn: true}}
}

// Guards against a withdrawn data centre that gets packets because the copy is of
// before its withdrawal.
func TestWithdrawalMissingFromCopyIsKept(t *testing.T) {
	s := New()
	s.Apply(start, withdrawn(norte))
	s.ReplaceByCopy(start, nil)
	s.Replace(start, nil)
	if !s.Withdrawn(norte) {
		t.Fatal("in service by the copy")
	}
	if s.Apply(start, withdrawn(norte)); !s.Withdrawn(norte) || len(s.Tick(start.Add(keepWithdrawn))) > 0 {
		t.Error("not withdrawn after it was written again")
	}
}

// Guards against a data centre that is taken out of service again by the copy.
func TestReturnMissingFromCopyIsKept(t *testing.T) {
	s := New()
	s.Apply(start, withdrawn(norte))
	s.Apply(start, []source.DataCentreChange{{DataCentre: norte}})
	s.ReplaceByCopy(start, withdrawn(norte))
	if s.Withdrawn(norte) {
		t.Fatal("withdrawn by the copy")
	}
	if s.Apply(start, []source.DataCentreChange{{DataCentre: norte}}); s.Withdrawn(norte) || len(s.Tick(start.Add(keepWithdrawn))) > 0 {
		t.Error("withdrawn after its return was written again")
	}
}

// Guards against a state that no operator can change any more: what is not written
// again gives way to the store.
func TestStoreIsBelievedAfterTime(t *testing.T) {
	s := New()
	s.Apply(start, withdrawn(norte))
	s.ReplaceByCopy(start, withdrawn(sur))
	if got := s.Tick(start.Add(keepInService)); !slices.Equal(got, []Change{{DataCentre: sur, Withdrawn: true, Expired: true}}) {
		t.Errorf("after %s: %+v", keepInService, got)
	}
	if got := s.Tick(start.Add(keepWithdrawn)); !slices.Equal(got, []Change{{DataCentre: norte, Expired: true}}) {
		t.Errorf("after %s: %+v", keepWithdrawn, got)
	}
}

// Guards against an operator's new change that is taken for the copy's.
func TestChangeAfterRestoreIsApplied(t *testing.T) {
	s := New()
	s.Apply(start, withdrawn(norte))
	s.ReplaceByCopy(start, nil)
	s.Apply(start, withdrawn(norte))
	s.Apply(start, []source.DataCentreChange{{DataCentre: norte}})
	if s.Withdrawn(norte) {
		t.Error("still withdrawn after its return")
	}
}

// Guards against an instance that starts on the copy and never learns the later state,
// or keeps it longer than the others.
func TestListTellsWhatTheStoreContradicts(t *testing.T) {
	s, started := New(), New()
	s.Apply(start, withdrawn(norte))
	s.ReplaceByCopy(start, withdrawn(sur))
	started.Replace(start, withdrawn(sur))
	started.Replace(start, s.List())
	if !started.Withdrawn(norte) || started.Withdrawn(sur) {
		t.Fatalf("norte withdrawn %t, sur %t", started.Withdrawn(norte), started.Withdrawn(sur))
	}
	started.Tick(start.Add(keepWithdrawn))
	if started.Withdrawn(norte) || !started.Withdrawn(sur) {
		t.Error("the store is not believed after the time")
	}
}
