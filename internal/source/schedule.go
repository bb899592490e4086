package source

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// waitFraction is the fraction of a source's bound, the time within which its
	// changes have to take effect, for which a watch waits for changes. An open
	// connection may stop delivering without an error, so the wait and
	// timeoutMargin limit how outdated the data becomes unnoticed.
	waitFraction = 0.55
	// timeoutMargin is the time that a watch may take to answer after its wait
	// has ended. Slow responses of the store take 300 ms.
	timeoutMargin = 700 * time.Millisecond
	// maxResponseDelay is the longest time from the store's decision to respond to
	// the arrival of the response. Slow responses of the store take 300 ms.
	maxResponseDelay = 300 * time.Millisecond
	// pauseFraction is the fraction of the bound for which the next watch is
	// delayed after a change, so that one call returns several successive changes.
	pauseFraction = 0.1
	// CallTimeout is the time limit of one call of a read. It suffices for a page
	// of 1 MB.
	CallTimeout = time.Second
	// ReadTimeout is the time limit of a read of a complete source with all its
	// pages. Slow responses of the store take 300 ms; 50 pages of them take 15 s.
	ReadTimeout = 20 * time.Second
	// firstRetryDelay is the pause after the first failed call. It doubles with
	// each further failure up to maxRetryDelay, or maxRelayedRetryDelay at an
	// instance that need not be the first to notice the store's return.
	firstRetryDelay      = 100 * time.Millisecond
	maxRetryDelay        = 400 * time.Millisecond
	maxRelayedRetryDelay = 3200 * time.Millisecond
)

// Timing holds the durations for calls for one source.
type Timing struct {
	// Wait is the time for which a watch waits for changes.
	Wait time.Duration
	// PauseAfterChange is the time from the arrival of a change to the next watch,
	// so that one call returns several successive changes.
	PauseAfterChange time.Duration
	// MaxRelayedAge is the maximum age of data passed on by another instance. An
	// instance whose data is older calls the store itself.
	MaxRelayedAge time.Duration
	// MaxRelayedAgeLate is used in place of MaxRelayedAge by instances that rely on
	// others to call first. It exceeds the age that data reaches when one watch of
	// the caller times out, so that not all instances call the store then.
	MaxRelayedAgeLate time.Duration
}

// NewTiming returns the durations for a source whose changes have to take effect
// within bound.
func NewTiming(bound time.Duration) Timing {
	wait := time.Duration(waitFraction * float64(bound))
	pause := time.Duration(pauseFraction * float64(bound))
	early := wait + timeoutMargin + pause/2
	return Timing{Wait: wait, PauseAfterChange: pause, MaxRelayedAge: early, MaxRelayedAgeLate: early + pause}
}

// Call is a call to the store: a read, or a watch from Since for up to Wait.
type Call struct {
	// Read is set for a read of the complete source; Since and Wait are then
	// unused.
	Read bool
	// AllowStale is set for a read that may go by a stale one and a watch from its
	// revision; see Load.
	AllowStale bool
	Since      Position
	Wait       time.Duration
	Timeout    time.Duration
	// NotBefore is the earliest time for the call.
	NotBefore time.Time
	// MaxUnconfirmed is set for a read: the time for which its result needs no
	// watch, as it is the age up to which data of a watch is used.
	MaxUnconfirmed time.Duration
}

// AsOf returns the time as of which the result of a call is known to be current.
// For a read it is the time at which the call was sent. A watch is answered when
// something changes or its wait ends, and its result is current when the store
// responds. AsOf therefore subtracts the longest time that the response may have
// taken from the time of its arrival; the result is never before the call was sent.
func (c Call) AsOf(sent, answered time.Time) time.Time {
	if c.Read {
		return sent
	}
	if latest := answered.Add(-maxResponseDelay); latest.After(sent) {
		return latest
	}
	return sent
}

// Schedule decides the calls for one source. The first call is a read; watches
// follow. Each call returned by Next is made at most once, and its result is
// reported by Succeeded or Failed before the next one.
type Schedule struct {
	timing Timing
	// loaded is set when the state of the source at position has been received, so
	// that the source can be watched from there.
	loaded   bool
	position Position
	// gapped is set once the store did not have the changes since a position. A
	// stale read may then return one that is too old to watch from.
	gapped     bool
	notBefore  time.Time
	retryDelay time.Duration
	// failing is set from a failed call to the next one that succeeds.
	failing bool
	// relayed is set while other instances pass the source on to this one.
	relayed bool
}

// NewSchedule returns the schedule of a source that has not been read yet.
func NewSchedule(t Timing) *Schedule { return &Schedule{timing: t} }

// SetTiming replaces the durations, after a change of the time within which the
// source's changes have to take effect.
func (s *Schedule) SetTiming(t Timing) { s.timing = t }

// SetRelayed sets whether other instances pass the source on to this one, some of
// which call the store at short intervals while it does not answer. Only they need
// to: calls by all instances would add to the load of a store that is already in
// trouble.
func (s *Schedule) SetRelayed(relayed bool) { s.relayed = relayed }

// AdvanceTo records that the changes up to a position have been received in
// another way, for example from another instance. It ignores a position that is
// not after the schedule's own.
func (s *Schedule) AdvanceTo(p Position) {
	if s.position.Before(p) {
		s.position, s.loaded = p, true
	}
}

// Next returns the call to make. It changes nothing, so it may be repeated.
func (s *Schedule) Next() Call {
	if !s.loaded {
		return Call{Read: true, AllowStale: !s.gapped, Timeout: ReadTimeout, NotBefore: s.notBefore, MaxUnconfirmed: s.timing.Wait}
	}
	return Call{Since: s.position, Wait: s.timing.Wait, Timeout: s.timing.Wait + timeoutMargin, NotBefore: s.notBefore}
}

// Succeeded records the result of a call that succeeded. It reports whether the
// source has recovered, that is, whether calls were failing before.
//
// A watch that returns no changes does not advance the revision: during a
// compaction the store may return the newest revision without the changes before
// it. The next watch from the same revision returns them or ErrCompacted.
func (s *Schedule) Succeeded(now time.Time, u *Update) (recovered bool) {
	if u.Full || !u.Empty() {
		s.position = u.Position
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

// Failed records that a call failed. It reports whether calls have begun to fail,
// that is, whether the previous call succeeded. An error that requires a read does
// not count as a failure; it makes the next call a read.
func (s *Schedule) Failed(now time.Time, err error) (firstFailure bool) {
	if NeedsRead(err) {
		s.loaded, s.gapped = false, true
		s.notBefore = now
		return false
	}
	limit := maxRetryDelay
	if s.relayed {
		limit = maxRelayedRetryDelay
	}
	s.retryDelay = min(max(2*s.retryDelay, firstRetryDelay), limit)
	s.notBefore = now.Add(s.retryDelay)
	firstFailure, s.failing = !s.failing, true
	return firstFailure
}

// NeedsRead reports whether the store answered, but the changes since the requested
// position are not to be had from it, so that the source has to be read.
func NeedsRead(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) || errors.Is(err, ErrTooLarge)
}
