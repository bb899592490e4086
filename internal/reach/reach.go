// Package reach decides from the callers' half of the flows, and from probes
// where these decide something, whether an instance reaches a server.
//
// An instance does not see the answers of a server. A caller that repeats a
// packet says that an answer is missing; an acknowledgement that moves on
// says that the server answered.
package reach

import "time"

// State is what an instance believes of its way to a server.
type State uint8

// States.
const (
	Reachable State = iota
	// Suspect: a packet was repeated and the server has shown no life since.
	Suspect
	// Unreachable: packets and, if it was asked, the probe got no answer.
	Unreachable
	// Ended: another server answers at the address.
	Replaced
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"reachable", "suspect", "unreachable", "ended"}[s]
}

const (
	// stallsWithoutProbe is the number of repeats without any progress that
	// need no probe to count as unreachable: with 1% of datagrams lost, one
	// server in 10^8 openings meets them by chance.
	stallsWithoutProbe = 4
	// firstHold is the time for which an unreachable server is not tried
	// again; it doubles up to maxHold with each failed trial.
	firstHold = 400 * time.Millisecond
	maxHold   = 1600 * time.Millisecond
	// urgentHold bounds the pause while no server is reached at all.
	urgentHold = 800 * time.Millisecond
	// signsToFail is the number of signs, repeats and probes without an
	// answer, at which flows are given up. One packet in 100 is lost, so three
	// signs meet by chance once in 10^6 repeats.
	signsToFail = 3
	// maxQuickProbes is the number of probes that follow each other without a
	// pause.
	maxQuickProbes = 3
	// suspectFor ends a suspicion to which nothing is added; one and a half
	// times the callers' second interval between repeats.
	suspectFor = 600 * time.Millisecond
)

// ProbeResult is the outcome of a probe of a server's health endpoint.
type ProbeResult uint8

// Outcomes of probes.
const (
	// Answered: the server answered, healthy or not.
	Answered ProbeResult = iota + 1
	// Refused: the connection was rejected.
	Refused
	// NoAnswer: nothing came back in time.
	NoAnswer
	// OtherServer: another server answered at the address.
	OtherServer
)

// String returns the name used in logs.
func (p ProbeResult) String() string {
	return [...]string{"none", "answered", "refused", "no answer", "other server"}[p]
}

// Evidence is what one instance has seen of one server.
type Detector struct {
	state State
	// alive is the time of the last progress of any flow at the server.
	alive time.Time
	// since is the time of the present state.
	since  time.Time
	stalls int
	// probing is set while a probe is under way; silent counts the probes
	// without an answer since the server last showed life.
	probing bool
	silent  int
	// checked is set while a probe is under way that a state of other servers
	// set off.
	checked bool
	// failed is set when flows and probes agree.
	failed  bool
	hold    time.Duration
	retryAt time.Time
}

// State returns what is believed now.
func (e *Detector) State() State { return e.state }

// Failed reports that flows and a probe agree that the server is not reached;
// only then are its flows given up.
func (e *Detector) ConfirmedDown() bool {
	return e.state == Replaced || (e.state == Unreachable && e.failed)
}

// Alive returns the time of the last progress.
func (e *Detector) LastProgress() time.Time { return e.alive }

// Progress notes that the server answered a caller.
func (e *Detector) Progress(now time.Time) {
	e.alive = now
	if e.state == Reachable {
		return
	}
	e.set(Reachable, now)
	e.hold = 0
}

// Stall notes that a caller repeats a packet first sent at sent. It reports
// whether the server is to be probed.
func (e *Detector) RecordRetransmit(now, sent time.Time) (probe bool) {
	if !e.alive.Before(sent) || e.state == Replaced {
		return false
	}
	e.stalls++
	switch {
	case e.state != Unreachable && e.stalls >= stallsWithoutProbe:
		// The endpoint's word does not outweigh what the flows show.
		e.unreachable(now)
	case e.state == Reachable:
		e.set(Suspect, now)
	}
	return e.startProbe()
}

// Probed notes the outcome of a probe. It reports whether the server is to be
// probed again at once. pathGood says that another server answered promptly at
// the same time; without it a missing answer may be the fault of the instance's
// own link, and no flow is given up.
func (e *Detector) ProbeDone(now time.Time, result ProbeResult, pathGood bool) (probe bool) {
	e.probing = false
	if e.checked {
		e.checked = false
		if e.state == Reachable && result != Answered {
			e.set(Suspect, now)
		}
	}
	switch result {
	case OtherServer:
		e.set(Replaced, now)
	case Answered:
		e.answered(now)
	case Refused:
		if e.state != Reachable && e.state != Replaced {
			e.unreachable(now)
			e.failed = true
		}
	case NoAnswer:
		return e.noAnswer(now, pathGood)
	}
	return false
}

func (e *Detector) answered(now time.Time) {
	e.failed, e.silent = false, 0
	switch e.state {
	case Suspect:
		// The endpoint's word ends the suspicion; the stalls still count.
		e.state, e.since = Reachable, now
	case Unreachable:
		// The next flows are the trial; stalls start anew.
		e.stalls = 0
		e.set(Suspect, now)
	}
}

func (e *Detector) noAnswer(now time.Time, pathGood bool) (probe bool) {
	if e.state == Reachable || e.state == Replaced {
		return false
	}
	e.silent++
	e.unreachable(now)
	e.failed = e.failed || (pathGood && e.silent+e.stalls >= signsToFail)
	return !e.failed && e.silent < maxQuickProbes && e.startProbe()
}

// Tick ends suspicions and reports whether the server is to be probed. urgent
// says that the instance reaches no server for most of its callers.
func (e *Detector) Tick(now time.Time, urgent bool) (probe bool) {
	switch e.state {
	case Suspect:
		if !e.probing && now.Sub(e.since) > suspectFor {
			e.set(Reachable, now)
		}
	case Unreachable:
		retry := e.retryAt
		if urgent {
			retry = retry.Add(min(0, urgentHold-e.hold))
		}
		if !now.Before(retry) {
			return e.startProbe()
		}
	}
	return false
}

func (e *Detector) startProbe() bool {
	if e.probing {
		return false
	}
	e.probing = true
	return true
}

func (e *Detector) unreachable(now time.Time) {
	if e.hold == 0 {
		e.hold = firstHold
	} else {
		e.hold = min(2*e.hold, maxHold)
	}
	e.retryAt = now.Add(e.hold)
	if e.state != Unreachable {
		e.set(Unreachable, now)
	}
}

func (e *Detector) set(s State, now time.Time) {
	e.state, e.since = s, now
	if s == Reachable {
		e.stalls, e.silent, e.failed = 0, 0, false
	}
}

// Check reports whether the server is to be probed because another one of its
// data centre was lost. New flows do not avoid it meanwhile.
func (e *Detector) StartCheck() (probe bool) {
	if e.state != Reachable || e.probing {
		return false
	}
	e.checked = true
	return e.startProbe()
}

// Doubt notes that something else than its flows speaks against the server. It
// reports whether the server is to be probed.
func (e *Detector) MarkSuspect(now time.Time) (probe bool) {
	if e.state == Replaced || e.probing {
		return false
	}
	if e.state == Reachable {
		e.state, e.since = Suspect, now
	}
	return e.startProbe()
}
