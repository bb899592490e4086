package source

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/registry"
)

var start = time.Unix(1000, 0)

func read(r Revision) *Update { return &Update{Full: true, Position: Position{Revision: r}} }

func change(r Revision) *Update {
	return &Update{Position: Position{Revision: r}, Servers: []ServerChange{{Entry: registry.Entry{Name: "a"}}}}
}

func TestReadThenWatch(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	if call := s.Next(); !call.Read {
		t.Fatalf("first call: %+v", call)
	}
	s.Succeeded(start, read(530))
	if call := s.Next(); call.Read || call.Since.Revision != 530 {
		t.Fatalf("second call: %+v", call)
	}
	s.Succeeded(start, change(541))
	if call := s.Next(); call.Since.Revision != 541 {
		t.Fatalf("after a change: %+v", call)
	}
}

// During a compaction a watch may return no changes, though there were some,
// and the store's newest revision. Advancing to that revision would lose the
// changes.
func TestEmptyWatchDoesNotAdvanceRevision(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	s.Succeeded(start, &Update{Position: Position{Revision: 560}})
	if call := s.Next(); call.Read || call.Since.Revision != 530 {
		t.Fatalf("after an empty watch: %+v", call)
	}
}

func TestCompactionLeadsToImmediateRead(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	s.Failed(start, errors.Wrap(ErrCompacted, "watch"))
	if call := s.Next(); !call.Read || call.NotBefore.After(start) {
		t.Fatalf("after a compaction: %+v", call)
	}
}

// Guards against a watch that is repeated from where its answer is too large.
func TestTooLargeAnswerLeadsToImmediateRead(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	s.Failed(start, errors.Wrap(ErrTooLarge, "watch"))
	if call := s.Next(); !call.Read || call.AllowStale || call.NotBefore.After(start) {
		t.Fatalf("after an answer that is too large: %+v", call)
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
			t.Fatal("a failed call is retried without a pause")
		}
		now = next
	}
	if calls > 14 {
		t.Fatalf("%d calls in an outage of 4 s", calls)
	}
	if !s.Succeeded(now, read(1)) {
		t.Fatal("the recovery of the source is not reported")
	}
}

// A connection may stop delivering without an error. The timeout of a watch has
// to detect that early enough for a configuration to take effect within 3 s.
func TestWatchTimeoutDetectsStalledConnection(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(530))
	if call := s.Next(); call.Timeout > 2500*time.Millisecond || call.Timeout <= call.Wait {
		t.Fatalf("%+v", call)
	}
}

// Data passed on by another instance has to be replaced within the bound too,
// but not before the other instance had the time for one call.
func TestMaxRelayedAge(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		timing := NewTiming(bound)
		if timing.MaxRelayedAge > bound-300*time.Millisecond || timing.MaxRelayedAge < timing.Wait+timing.PauseAfterChange {
			t.Errorf("bound %s: %+v", bound, timing)
		}
	}
}

// The data of an instance whose watches succeed never reaches the maximum age,
// so its followers do not call the store.
func TestWatchesKeepFollowersFresh(t *testing.T) {
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
			t.Fatalf("age %s before the next answer, maximum %s", age, timing.MaxRelayedAge)
		}
		asOf = call.AsOf(sent, now)
		s.Succeeded(now, &Update{Position: Position{Revision: 530}})
	}
}

// Guards against calls by all instances of a fleet when one watch of the instance
// that calls for them times out: the next call succeeds before their data is too
// old. The data is still in time for the source's bound.
func TestOneTimedOutWatchMakesFewCall(t *testing.T) {
	const callTime = 20 * time.Millisecond
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		timing := NewTiming(bound)
		s := NewSchedule(timing)
		s.Succeeded(start, read(530))
		call := s.Next()
		now := start.Add(call.Timeout)
		s.Failed(now, ErrUnavailable)
		age := s.Next().NotBefore.Add(callTime).Sub(start.Add(-maxResponseDelay))
		if age >= timing.MaxRelayedAgeLate {
			t.Errorf("bound %s: data reaches the age %s, others call at %s", bound, age, timing.MaxRelayedAgeLate)
		}
		if timing.MaxRelayedAgeLate+callTime > bound-100*time.Millisecond {
			t.Errorf("bound %s: others call only at %s", bound, timing.MaxRelayedAgeLate)
		}
	}
}

// Guards against a load on an unavailable store that grows with the number of
// instances: one that others precede retries less often.
func TestRelayedSourceRetriesRarely(t *testing.T) {
	calls := map[bool]int{}
	for _, relayed := range []bool{false, true} {
		s := NewSchedule(NewTiming(6 * time.Second))
		s.SetRelayed(relayed)
		for now := start; now.Before(start.Add(30 * time.Second)); now = s.Next().NotBefore {
			s.Failed(now, ErrUnavailable)
			calls[relayed]++
		}
	}
	if calls[true] > 15 || calls[false] < 60 {
		t.Errorf("%d calls in 30 s by an instance that relies on others, %d by the first; want at most 15 and at least 60", calls[true], calls[false])
	}
}

// Guards against calls in a loop and against a watch from a revision that the store
// gives out again, after its revisions went back.
func TestRestoredStoreIsReadOnceAndWatchedFromThere(t *testing.T) {
	s := NewSchedule(NewTiming(3 * time.Second))
	s.Succeeded(start, read(27))
	s.Failed(start, ErrRestored)
	if call := s.Next(); !call.Read || call.AllowStale || call.NotBefore.After(start) {
		t.Fatalf("after a restoration: %+v; want a current read at once", call)
	}
	s.Succeeded(start, &Update{Full: true, Position: Position{Era: 2, Revision: 26}})
	s.AdvanceTo(Position{Era: 1, Revision: 27})
	if call := s.Next(); call.Read || call.Since != (Position{Era: 2, Revision: 26}) {
		t.Fatalf("after the read: %+v; want a watch from it", call)
	}
}
