// Package reach decides whether an instance of the gateway reaches a server. Its
// inputs are the callers' packets and, where those are inconclusive, probes of
// the server's health endpoint. It uses the evidence of one instance only. Package
// serverhealth judges servers for the product's own interface, where it also
// merges the reports of other instances.
//
// An instance does not see the answers of a server. A caller that retransmits a
// packet shows that an answer is missing. Progress, an acknowledgement of the
// caller that advances, shows that the server answered.
package reach

import "time"

// State is an instance's view of whether it reaches a server.
type State uint8

// States.
const (
	Reachable State = iota
	// Suspect: a caller retransmitted a packet, or MarkSuspect was called, and
	// the server has shown no progress since.
	Suspect
	// Unreachable: a probe of the suspect server failed, or callers kept
	// retransmitting even if the health endpoint answers probes.
	Unreachable
	// Replaced: another server answers at the address.
	Replaced
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"reachable", "suspect", "unreachable", "ended"}[s]
}

const (
	// retransmitsForUnreachable is the number of retransmissions without any
	// progress that make a server unreachable without a probe: at 1% packet
	// loss, this happens by chance to one server in 10^8 openings.
	retransmitsForUnreachable = 4
	// minBackoff is the time before an unreachable server is probed again; it
	// doubles up to maxBackoff with each failed attempt.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// urgentBackoff bounds the backoff while the instance reaches no server for
	// most of its callers.
	urgentBackoff = 800 * time.Millisecond
	// confirmationThreshold is the number of retransmissions and unanswered
	// probes, taken together, at which flows are reset. One packet in 100 is
	// lost, so three such events coincide by chance once in 10^6
	// retransmissions.
	confirmationThreshold = 3
	// maxImmediateProbes is the number of probes sent one after the other
	// without backoff.
	maxImmediateProbes = 3
	// suspectTimeout is the time without further evidence after which a suspect
	// server counts as reachable again. It is one and a half times the callers'
	// second retransmission interval.
	suspectTimeout = 600 * time.Millisecond
)

// ProbeResult is the outcome of a probe of a server's health endpoint.
type ProbeResult uint8

// Outcomes of probes.
const (
	// Answered: the server answered, whether healthy or not. A suspect server
	// becomes reachable, an unreachable one suspect.
	Answered ProbeResult = iota + 1
	// ConnectionRefused: the connection was refused. The server is confirmed
	// down, unless it was suspect and has shown progress during the probe.
	ConnectionRefused
	// NoAnswer: no answer arrived in time. A suspect server becomes unreachable;
	// the probe counts as evidence that it is down.
	NoAnswer
	// OtherServer: another server answered at the address. The server counts as
	// replaced.
	OtherServer
	// ConnectionReset: the server's process took the connection and reset it, as one
	// does that is at its limit of connections. The server is up but takes no new
	// flows for now.
	ConnectionReset
	// Inconclusive: the probe failed for a reason that says nothing about the server,
	// for example because this instance had no descriptor or no processor time for it.
	Inconclusive
)

// String returns the name used in logs.
func (p ProbeResult) String() string {
	return [...]string{"none", "answered", "refused", "no answer", "other server", "connection reset", "inconclusive"}[p]
}

// Detector is one instance's failure detector for one server. The zero value is
// a reachable server.
type Detector struct {
	state State
	// lastProgress is the time of the last progress of any flow at the server.
	lastProgress time.Time
	// lastAnswer is the time of the last answer to a probe.
	lastAnswer time.Time
	// stateSince is the time at which the current state was entered.
	stateSince  time.Time
	retransmits int
	// probing is set while a probe is outstanding. unansweredProbes counts the
	// unanswered probes since the server last answered a caller or a probe.
	probing          bool
	unansweredProbes int
	// deferred is set from DeferProbe until the deferred probe is done or the server
	// answers a caller.
	deferred bool
	// precautionary is set while a probe is outstanding or deferred that was sent
	// because another server became unreachable.
	precautionary bool
	// confirmedDown is set once there is enough evidence to reset the flows of
	// the unreachable server.
	confirmedDown bool
	backoff       time.Duration
	retryAt       time.Time
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// ConfirmedDown reports whether the server's flows may be reset: it refused the
// connection of a probe, several retransmissions and probes stayed unanswered
// although the instance's own link works, or another server has its address.
func (d *Detector) ConfirmedDown() bool {
	return d.state == Replaced || (d.state == Unreachable && d.confirmedDown)
}

// LastProgress returns the time of the last RecordProgress; zero if there was
// none. Answers to probes do not count.
func (d *Detector) LastProgress() time.Time { return d.lastProgress }

// LastReached returns the time of the last progress or answer to a probe; zero if
// there was none.
func (d *Detector) LastReached() time.Time {
	if d.lastAnswer.After(d.lastProgress) {
		return d.lastAnswer
	}
	return d.lastProgress
}

// UnreachableSince returns the time at which the server became unreachable; zero if
// it is not.
func (d *Detector) UnreachableSince() time.Time {
	if d.state != Unreachable {
		return time.Time{}
	}
	return d.stateSince
}

// RecordProgress records that the server answered a caller, which makes it
// reachable.
func (d *Detector) RecordProgress(now time.Time) {
	d.lastProgress = now
	if d.deferred && !d.probing {
		d.deferred, d.precautionary = false, false
	}
	if d.state == Reachable {
		return
	}
	d.setState(Reachable, now)
	d.backoff = 0
}

// RecordRetransmit records that a caller retransmitted a packet first seen at
// firstSeen. It reports whether to probe the server.
func (d *Detector) RecordRetransmit(now, firstSeen time.Time) (probe bool) {
	if !d.lastProgress.Before(firstSeen) || d.state == Replaced {
		return false
	}
	d.retransmits++
	switch {
	case d.state != Unreachable && d.retransmits >= retransmitsForUnreachable:
		// An answer of the health endpoint does not outweigh what the flows
		// show.
		d.setUnreachable(now)
	case d.state == Reachable:
		d.setState(Suspect, now)
	}
	return d.startProbe()
}

// ProbeDone records the outcome of a probe. It reports whether to probe the
// server again at once. controlAnswered says that a control server, a reachable
// server probed at the same time, answered promptly. If it did not, the
// instance's own link may be the cause of a missing answer, which then does not
// confirm that the server is down.
func (d *Detector) ProbeDone(now time.Time, result ProbeResult, controlAnswered bool) (probe bool) {
	d.probing, d.deferred = false, false
	if d.precautionary {
		d.precautionary = false
		if d.state == Reachable && result != Answered && result != Inconclusive {
			d.setState(Suspect, now)
		}
	}
	switch result {
	case OtherServer:
		d.setState(Replaced, now)
	case Answered:
		d.probeAnswered(now)
	case ConnectionReset:
		d.probeAnswered(now)
		if d.state != Replaced {
			d.state, d.stateSince = Suspect, now
		}
	case ConnectionRefused:
		if d.state != Reachable && d.state != Replaced {
			d.setUnreachable(now)
			d.confirmedDown = true
		}
	case Inconclusive:
		if d.state == Unreachable {
			d.setUnreachable(now) // the next probe waits as after a failed one
		}
	case NoAnswer:
		return d.probeUnanswered(now, controlAnswered)
	}
	return false
}

func (d *Detector) probeAnswered(now time.Time) {
	d.lastAnswer = now
	d.confirmedDown, d.unansweredProbes = false, 0
	switch d.state {
	case Suspect:
		// The server is no longer suspect, but the retransmissions still count.
		d.state, d.stateSince = Reachable, now
	case Unreachable:
		// The next flows test the server again, so the retransmissions are
		// counted from 0.
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

// DeferProbe is called instead of sending a probe that a method of the Detector has
// just requested. No probe counts as outstanding; the next Tick requests it again. It
// reports whether the probe was not deferred before.
func (d *Detector) DeferProbe() (first bool) {
	first = !d.deferred
	d.probing, d.deferred = false, true
	return first
}

// Tick makes a suspect server reachable again after a time-out, and reports whether
// to send a deferred probe or to probe an unreachable server again. urgent shortens the time between the
// probes; it is set while the instance reaches no server for most of its callers.
func (d *Detector) Tick(now time.Time, urgent bool) (probe bool) {
	if d.deferred && !d.probing {
		return d.startProbe()
	}
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

// StartPrecautionaryProbe is called when another server of the data centre has
// become unreachable. It reports whether to probe this one too. The state stays
// Reachable until the probe ends, so that new flows do not avoid the server.
func (d *Detector) StartPrecautionaryProbe() (probe bool) {
	if d.state != Reachable || d.probing || d.deferred {
		return false
	}
	d.precautionary = true
	return d.startProbe()
}

// MarkSuspect makes the server suspect for a reason other than a retransmission,
// for example that its entry was removed from the registry. It reports whether to
// probe the server.
func (d *Detector) MarkSuspect(now time.Time) (probe bool) {
	if d.state == Replaced || d.probing {
		return false
	}
	if d.state == Reachable {
		d.state, d.stateSince = Suspect, now
	}
	return d.startProbe()
}
