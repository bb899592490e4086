package source

import (
	"context"
	"testing"
	"time"

	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
)

// fakeStore returns prepared updates and counts the calls.
type fakeStore struct {
	stale, complete, changes Update
	watchErr                 error
	reads, staleReads        int
	watchedSince             Position
	watchWait                time.Duration
}

func (f *fakeStore) Read(context.Context, Kind) (Update, error) {
	f.reads++
	return f.complete, nil
}

func (f *fakeStore) ReadStale(context.Context, Kind) (Update, error) {
	f.staleReads++
	return f.stale, nil
}

func (f *fakeStore) Watch(_ context.Context, _ Kind, since Position, wait time.Duration) (Update, error) {
	f.watchedSince, f.watchWait = since, wait
	return f.changes, f.watchErr
}

func (f *fakeStore) KeepConfiguration(context.Context, *routing.Configuration) (bool, error) {
	return false, nil
}

func (f *fakeStore) Reconnect(Kind) {}

func server(name string, removed bool) ServerChange {
	return ServerChange{Entry: registry.Entry{Name: name}, Removed: removed}
}

// Guards against serving with a stale list: a server that drains or departs within
// the seconds that the list lags behind would get new flows.
func TestLoadCatchesUpFromStaleRead(t *testing.T) {
	f := &fakeStore{stale: Update{Full: true, Position: Position{Revision: 40}, Servers: []ServerChange{server("a", false), server("b", false)}},
		changes: Update{Position: Position{Revision: 47}, Servers: []ServerChange{server("a", true), server("c", false)}}}
	u, err := Load(t.Context(), f, Registry)
	if err != nil || !u.Full || u.Position.Revision != 47 || len(u.Servers) != 4 || !u.Servers[2].Removed {
		t.Fatalf("%+v, %v", u, err)
	}
	if f.reads != 0 || f.watchedSince.Revision != 40 || f.watchWait != 0 {
		t.Errorf("%d complete reads, watch from %d for %s; want a watch from 40 that returns at once", f.reads, f.watchedSince, f.watchWait)
	}
}

// Guards against trusting the revision of an empty watch, which may skip changes
// during a compaction.
func TestLoadKeepsRevisionOfStaleReadAfterEmptyWatch(t *testing.T) {
	f := &fakeStore{stale: Update{Full: true, Position: Position{Revision: 40}}, changes: Update{Position: Position{Revision: 47}}}
	if u, err := Load(t.Context(), f, Registry); err != nil || u.Position.Revision != 40 {
		t.Fatalf("%+v, %v", u, err)
	}
}

// Guards against stale reads that repeat for ever because the store has dropped the
// history that they would need.
func TestLoadReadsCompletelyAfterCompaction(t *testing.T) {
	f := &fakeStore{stale: Update{Full: true, Position: Position{Revision: 40}}, watchErr: ErrCompacted, complete: Update{Full: true, Position: Position{Revision: 90}}}
	if u, err := Load(t.Context(), f, Registry); err != nil || u.Position.Revision != 90 || f.staleReads != 1 {
		t.Fatalf("%+v, %v, %d stale reads", u, err, f.staleReads)
	}
	s := NewSchedule(NewTiming(3 * time.Second))
	if !s.Next().AllowStale {
		t.Error("the first read may not be stale")
	}
	s.Succeeded(start, read(530))
	s.Failed(start, ErrCompacted)
	if s.Next().AllowStale {
		t.Error("the read after a compaction may be stale")
	}
}
