package source

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// waitFraction is the part of a source's bound for which a watch waits for
	// changes. An open connection may be silent for good, so the wait and the
	// margin bound how old the knowledge becomes unnoticed.
	waitFraction = 0.55
	// timeoutMargin is the time beyond its wait in which a call has to answer;
	// the store's slow answers take 300 ms.
	timeoutMargin = 700 * time.Millisecond
	// maxResponseDelay is the longest way of an answer: that of the store's slow ones.
	maxResponseDelay = 300 * time.Millisecond
	// pauseFraction is the part of the bound for which changes that follow each
	// other are left to return in one call.
	pauseFraction = 0.1
	// ReadTimeout bounds a read of a source, a page of 1 MB included.
	ReadTimeout = time.Second
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
)

// Timing are the times for one source.
type Timing struct {
	// Wait is the wait of a watch.
	Wait time.Duration
	// Pause is the time from a change to the next watch.
	Pause time.Duration
	// MaxRelayedAge is the age of passed-on knowledge from which on an instance calls
	// the store itself.
	MaxRelayedAge time.Duration
}

// NewTiming returns the times for a source whose changes have to be in force
// within bound.
func NewTiming(bound time.Duration) Timing {
	wait := time.Duration(waitFraction * float64(bound))
	pause := time.Duration(pauseFraction * float64(bound))
	return Timing{Wait: wait, Pause: pause, MaxRelayedAge: wait + timeoutMargin + pause/2}
}

// Call is the next call to make.
type Call struct {
	// Read the whole source, or else Watch from Since for Wait.
	Read    bool
	Since   Revision
	Wait    time.Duration
	Timeout time.Duration
	// NotBefore is the earliest time for the call.
	NotBefore time.Time
}

// AsOf returns the time as of which the answer of a call is current. A read is
// answered at once; a watch when something changes or its wait ends, so what it
// returns is as old as its answer's way back.
func (c Call) AsOf(sent, answered time.Time) time.Time {
	if c.Read {
		return sent
	}
	if latest := answered.Add(-maxResponseDelay); latest.After(sent) {
		return latest
	}
	return sent
}

// Schedule decides the calls for one source.
type Schedule struct {
	timing     Timing
	loaded     bool
	revision   Revision
	notBefore  time.Time
	retryDelay time.Duration
	// lost is set while calls fail.
	lost bool
}

// NewSchedule returns the schedule of a source that was not read yet.
func NewSchedule(t Timing) *Schedule { return &Schedule{timing: t} }

// SetTiming changes the times, after a change of the source's bound.
func (s *Schedule) SetTiming(t Timing) { s.timing = t }

// AdvanceTo notes that the source is known up to a revision from elsewhere.
func (s *Schedule) AdvanceTo(r Revision) {
	if r > s.revision {
		s.revision, s.loaded = r, true
	}
}

// Next returns the call to make.
func (s *Schedule) Next() Call {
	if !s.loaded {
		return Call{Read: true, Timeout: ReadTimeout, NotBefore: s.notBefore}
	}
	return Call{Since: s.revision, Wait: s.timing.Wait, Timeout: s.timing.Wait + timeoutMargin, NotBefore: s.notBefore}
}

// Succeeded notes the outcome of a call. It reports whether the source was lost
// or is back.
//
// An empty watch does not move the revision: the store may have kept changes
// back, and the next watch from the same revision returns them or asks for a
// read.
func (s *Schedule) Succeeded(now time.Time, u *Update) (back bool) {
	if u.Full || !u.Empty() {
		s.revision = u.Revision
		s.loaded = true
		s.notBefore = now.Add(s.timing.Pause)
	}
	if u.Full {
		s.notBefore = now
	}
	s.retryDelay = 0
	back, s.lost = s.lost, false
	return back
}

// Failed notes that a call failed. It reports whether the source was just lost.
func (s *Schedule) Failed(now time.Time, err error) (lost bool) {
	if errors.Is(err, ErrCompacted) {
		s.loaded = false
		s.notBefore = now
		return false
	}
	s.retryDelay = min(max(2*s.retryDelay, firstRetry), maxRetry)
	s.notBefore = now.Add(s.retryDelay)
	lost, s.lost = !s.lost, true
	return lost
}
