package source

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/registry"
)

var start = time.Unix(1000, 0)

func read(r Revision) *Update { return &Update{Full: true, Revision: r} }

func change(r Revision) *Update {
	return &Update{Revision: r, Servers: []ServerChange{{Entry: registry.Entry{Name: "a"}}}}
}

func TestReadsFirstThenWatches(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	if call := s.Next(); !call.Read {
		t.Fatalf("first call: %+v", call)
	}
	s.Succeeded(start, read(530))
	if call := s.Next(); call.Read || call.Since != 530 {
		t.Fatalf("second call: %+v", call)
	}
	s.Succeeded(start, change(541))
	if call := s.Next(); call.Since != 541 {
		t.Fatalf("after a change: %+v", call)
	}
}

// Around a compaction a watch returns nothing though there were changes, with
// the store's newest revision. Moving on to it would lose the changes.
func TestEmptyWatchDoesNotMoveTheRevision(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	s.Succeeded(start, &Update{Revision: 560})
	if call := s.Next(); call.Read || call.Since != 530 {
		t.Fatalf("after an empty watch: %+v", call)
	}
}

func TestHistoryGoneReadsAtOnce(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	s.Failed(start, errors.Wrap(ErrCompacted, "watch"))
	if call := s.Next(); !call.Read || call.NotBefore.After(start) {
		t.Fatalf("after the history went: %+v", call)
	}
}

func TestRetriesBackOff(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	now, calls := start, 0
	for now.Before(start.Add(4 * time.Second)) {
		s.Failed(now, ErrUnavailable)
		calls++
		next := s.Next().NotBefore
		if !next.After(now) {
			t.Fatal("a failed call is repeated without a pause")
		}
		now = next
	}
	if calls > 14 {
		t.Fatalf("%d calls in an outage of 4 s", calls)
	}
	if !s.Succeeded(now, read(1)) {
		t.Fatal("the return of the source is not reported")
	}
}

// A connection may go silent for good. What is believed then has to be checked
// in time for a configuration to come into force within 3 s.
func TestSilentConnectionIsNoticedInTime(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	if call := s.Next(); call.Timeout > 2500*time.Millisecond || call.Timeout <= call.Wait {
		t.Fatalf("%+v", call)
	}
}

// Passed-on knowledge has to be replaced in time as well, but not before the
// passing instance had the time of one call.
func TestLimitOfPassedOnKnowledge(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		timing := NewTiming(bound)
		if timing.MaxRelayedAge > bound-300*time.Millisecond || timing.MaxRelayedAge < timing.Wait+timing.Pause {
			t.Errorf("bound %s: %+v", bound, timing)
		}
	}
}

// An instance that watches in peace is never as old as the limit: its followers
// need not call the store.
func TestWatchesKeepFollowersCovered(t *testing.T) {
	timing := NewTiming(3 * time.Second)
	s := NewSchedule(timing)
	now, asOf := start, start
	s.Succeeded(now, read(530))
	for range 10 {
		call := s.Next()
		sent := now
		if call.NotBefore.After(sent) {
			sent = call.NotBefore
		}
		now = sent.Add(call.Wait + 8*time.Millisecond)
		if age := now.Sub(asOf); age >= timing.MaxRelayedAge {
			t.Fatalf("%s old before the next answer, limit %s", age, timing.MaxRelayedAge)
		}
		asOf = call.AsOf(sent, now)
		s.Succeeded(now, &Update{Revision: 530})
	}
}
