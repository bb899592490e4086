package source

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// watchWait is how long a watch waits for changes. An open connection may
	// be silent for good, so the wait and the margin bound how old the
	// knowledge becomes unnoticed: 2 s of the 3 s in which a configuration has
	// to be in force.
	watchWait = 1300 * time.Millisecond
	// callMargin is the time beyond its wait in which a call has to answer;
	// the store's slow answers take 300 ms.
	callMargin = 700 * time.Millisecond
	// ReadTimeout bounds a read of a source, a page of 1 MB included.
	ReadTimeout = time.Second
	// changePause lets changes that follow each other return in one call.
	changePause = 250 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
)

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

// Schedule decides the calls for one source.
type Schedule struct {
	read      bool
	revision  Revision
	notBefore time.Time
	retry     time.Duration
	// lost is set while calls fail.
	lost bool
}

// Next returns the call to make.
func (s *Schedule) Next() Call {
	if !s.read {
		return Call{Read: true, Timeout: ReadTimeout, NotBefore: s.notBefore}
	}
	return Call{Since: s.revision, Wait: watchWait, Timeout: watchWait + callMargin, NotBefore: s.notBefore}
}

// Returned notes the outcome of a call. It reports whether the source was lost
// or is back.
//
// An empty watch does not move the revision: the store may have kept changes
// back, and the next watch from the same revision returns them or asks for a
// read.
func (s *Schedule) Returned(now time.Time, u *Update) (back bool) {
	if u.Full || !u.Empty() {
		s.revision = u.Revision
		s.read = true
		s.notBefore = now.Add(changePause)
	}
	if u.Full {
		s.notBefore = now
	}
	s.retry = 0
	back, s.lost = s.lost, false
	return back
}

// Failed notes that a call failed. It reports whether the source was just lost.
func (s *Schedule) Failed(now time.Time, err error) (lost bool) {
	if errors.Is(err, ErrHistoryGone) {
		s.read = false
		s.notBefore = now
		return false
	}
	s.retry = min(max(2*s.retry, firstRetry), maxRetry)
	s.notBefore = now.Add(s.retry)
	lost, s.lost = !s.lost, true
	return lost
}
