package source

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// waitFraction is the part of a source's bound for which a watch waits for
	// changes. An open connection may stop delivering without an error, so the
	// wait and the margin bound how far the data becomes outdated unnoticed.
	waitFraction = 0.55
	// timeoutMargin is the time that a watch may take to answer after its wait
	// has ended. Slow responses of the store take 300 ms.
	timeoutMargin = 700 * time.Millisecond
	// maxResponseDelay is the longest transit time of a response, which is that
	// of the store's slow responses.
	maxResponseDelay = 300 * time.Millisecond
	// pauseFraction is the part of the bound for which the next watch is delayed
	// after a change, so that one call returns several successive changes.
	pauseFraction = 0.1
	// ReadTimeout bounds a read of a source, including one with a page of 1 MB.
	ReadTimeout = time.Second
	// firstRetryDelay and maxRetryDelay bound the pause after a failed call.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 400 * time.Millisecond
)

// Timing holds the durations for calls for one source.
type Timing struct {
	// Wait is the time for which a watch waits for changes.
	Wait time.Duration
	// PauseAfterChange is the time from a change to the next watch.
	PauseAfterChange time.Duration
	// MaxRelayedAge is the age of data passed on by another instance from which
	// an instance calls the store itself.
	MaxRelayedAge time.Duration
}

// NewTiming returns the durations for a source whose changes have to take effect
// within bound.
func NewTiming(bound time.Duration) Timing {
	wait := time.Duration(waitFraction * float64(bound))
	pause := time.Duration(pauseFraction * float64(bound))
	return Timing{Wait: wait, PauseAfterChange: pause, MaxRelayedAge: wait + timeoutMargin + pause/2}
}

// Call is a call to the store: a read, or a watch from Since for up to Wait.
type Call struct {
	// Read is set for a read of the complete source; Since and Wait are then
	// unused.
	Read    bool
	Since   Revision
	Wait    time.Duration
	Timeout time.Duration
	// NotBefore is the earliest time for the call.
	NotBefore time.Time
}

// AsOf returns the time as of which the result of a call is current. A read is
// answered immediately. A watch is answered when something changes or its wait
// ends, so the age of its result is the transit time of the response.
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
	timing Timing
	// loaded is set when the source is known up to revision and can be watched
	// from there.
	loaded     bool
	revision   Revision
	notBefore  time.Time
	retryDelay time.Duration
	// failing is set while calls fail.
	failing bool
}

// NewSchedule returns the schedule of a source that has not been read yet.
func NewSchedule(t Timing) *Schedule { return &Schedule{timing: t} }

// SetTiming replaces the durations after a change of the source's bound.
func (s *Schedule) SetTiming(t Timing) { s.timing = t }

// AdvanceTo records that the source is already known up to revision r, for
// example from another instance. It ignores an earlier revision than its own.
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

// Succeeded records the result of a call that succeeded. It reports whether the
// source has recovered, that is, whether calls were failing before.
//
// An empty watch does not advance the revision: the store may have withheld
// changes. The next watch from the same revision returns them or ErrCompacted.
func (s *Schedule) Succeeded(now time.Time, u *Update) (recovered bool) {
	if u.Full || !u.Empty() {
		s.revision = u.Revision
		s.loaded = true
		s.notBefore = now.Add(s.timing.PauseAfterChange)
	}
	if u.Full {
		s.notBefore = now
	}
	s.retryDelay = 0
	recovered, s.failing = s.failing, false
	return recovered
}

// Failed records that a call failed. It reports whether the source has just been
// lost, that is, whether calls were not failing before. ErrCompacted does not
// count as a loss; it makes the next call a read.
func (s *Schedule) Failed(now time.Time, err error) (lost bool) {
	if errors.Is(err, ErrCompacted) {
		s.loaded = false
		s.notBefore = now
		return false
	}
	s.retryDelay = min(max(2*s.retryDelay, firstRetryDelay), maxRetryDelay)
	s.notBefore = now.Add(s.retryDelay)
	lost, s.failing = !s.failing, true
	return lost
}
