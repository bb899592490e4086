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
	retransmitsForUnreachable = 4
	// firstHold is the time for which an unreachable server is not tried
	// again; it doubles up to maxHold with each failed trial.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// urgentHold bounds the pause while no server is reached at all.
	urgentBackoff = 800 * time.Millisecond
	// signsToFail is the number of signs, repeats and probes without an
	// answer, at which flows are given up. One packet in 100 is lost, so three
	// signs meet by chance once in 10^6 repeats.
	confirmationThreshold = 3
	// maxQuickProbes is the number of probes that follow each other without a
	// pause.
	maxImmediateProbes = 3
	// suspectFor ends a suspicion to which nothing is added; one and a half
	// times the callers' second interval between repeats.
	suspectTimeout = 600 * time.Millisecond
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
	lastProgress time.Time
	// since is the time of the present state.
	stateSince  time.Time
	retransmits int
	// probing is set while a probe is under way; silent counts the probes
	// without an answer since the server last showed life.
	probing          bool
	unansweredProbes int
	// checked is set while a probe is under way that a state of other servers
	// set off.
	precautionary bool
	// failed is set when flows and probes agree.
	confirmedDown bool
	backoff       time.Duration
	retryAt       time.Time
}

// State returns what is believed now.
func (d *Detector) State() State { return d.state }

// Failed reports that flows and a probe agree that the server is not reached;
// only then are its flows given up.
func (d *Detector) ConfirmedDown() bool {
	return d.state == Replaced || (d.state == Unreachable && d.confirmedDown)
}

// Alive returns the time of the last progress.
func (d *Detector) LastProgress() time.Time { return d.lastProgress }

// Progress notes that the server answered a caller.
func (d *Detector) Progress(now time.Time) {
	d.lastProgress = now
	if d.state == Reachable {
		return
	}
	d.setState(Reachable, now)
	d.backoff = 0
}

// Stall notes that a caller repeats a packet first sent at sent. It reports
// whether the server is to be probed.
func (d *Detector) RecordRetransmit(now, firstSent time.Time) (probe bool) {
	if !d.lastProgress.Before(firstSent) || d.state == Replaced {
		return false
	}
	d.retransmits++
	switch {
	case d.state != Unreachable && d.retransmits >= retransmitsForUnreachable:
		// The endpoint's word does not outweigh what the flows show.
		d.setUnreachable(now)
	case d.state == Reachable:
		d.setState(Suspect, now)
	}
	return d.startProbe()
}

// Probed notes the outcome of a probe. It reports whether the server is to be
// probed again at once. pathGood says that another server answered promptly at
// the same time; without it a missing answer may be the fault of the instance's
// own link, and no flow is given up.
func (d *Detector) ProbeDone(now time.Time, result ProbeResult, controlAnswered bool) (probe bool) {
	d.probing = false
	if d.precautionary {
		d.precautionary = false
		if d.state == Reachable && result != Answered {
			d.setState(Suspect, now)
		}
	}
	switch result {
	case OtherServer:
		d.setState(Replaced, now)
	case Answered:
		d.probeAnswered(now)
	case Refused:
		if d.state != Reachable && d.state != Replaced {
			d.setUnreachable(now)
			d.confirmedDown = true
		}
	case NoAnswer:
		return d.probeUnanswered(now, controlAnswered)
	}
	return false
}

func (d *Detector) probeAnswered(now time.Time) {
	d.confirmedDown, d.unansweredProbes = false, 0
	switch d.state {
	case Suspect:
		// The endpoint's word ends the suspicion; the stalls still count.
		d.state, d.stateSince = Reachable, now
	case Unreachable:
		// The next flows are the trial; stalls start anew.
		d.retransmits = 0
		d.setState(Suspect, now)
	}
}

func (d *Detector) probeUnanswered(now time.Time, controlAnswered bool) (probe bool) {
	if d.state == Reachable || d.state == Replaced {
		return false
	}
	d.unansweredProbes++
	d.setUnreachable(now)
	d.confirmedDown = d.confirmedDown || (controlAnswered && d.unansweredProbes+d.retransmits >= confirmationThreshold)
	return !d.confirmedDown && d.unansweredProbes < maxImmediateProbes && d.startProbe()
}

// Tick ends suspicions and reports whether the server is to be probed. urgent
// says that the instance reaches no server for most of its callers.
func (d *Detector) Tick(now time.Time, urgent bool) (probe bool) {
	switch d.state {
	case Suspect:
		if !d.probing && now.Sub(d.stateSince) > suspectTimeout {
			d.setState(Reachable, now)
		}
	case Unreachable:
		retry := d.retryAt
		if urgent {
			retry = retry.Add(min(0, urgentBackoff-d.backoff))
		}
		if !now.Before(retry) {
			return d.startProbe()
		}
	}
	return false
}

func (d *Detector) startProbe() bool {
	if d.probing {
		return false
	}
	d.probing = true
	return true
}

func (d *Detector) setUnreachable(now time.Time) {
	if d.backoff == 0 {
		d.backoff = minBackoff
	} else {
		d.backoff = min(2*d.backoff, maxBackoff)
	}
	d.retryAt = now.Add(d.backoff)
	if d.state != Unreachable {
		d.setState(Unreachable, now)
	}
}

func (d *Detector) setState(s State, now time.Time) {
	d.state, d.stateSince = s, now
	if s == Reachable {
		d.retransmits, d.unansweredProbes, d.confirmedDown = 0, 0, false
	}
}

// Check reports whether the server is to be probed because another one of its
// data centre was lost. New flows do not avoid it meanwhile.
func (d *Detector) StartCheck() (probe bool) {
	if d.state != Reachable || d.probing {
		return false
	}
	d.precautionary = true
	return d.startProbe()
}

// Doubt notes that something else than its flows speaks against the server. It
// reports whether the server is to be probed.
func (d *Detector) MarkSuspect(now time.Time) (probe bool) {
	if d.state == Replaced || d.probing {
		return false
	}
	if d.state == Reachable {
		d.state, d.stateSince = Suspect, now
	}
	return d.startProbe()
}
