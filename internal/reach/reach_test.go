package reach

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// One repeat among 100 packets is the usual loss: it must neither give flows
// up nor keep new ones away once the probe was answered.
func TestOneLostPacketCostsNothing(t *testing.T) {
	var e Detector
	e.Progress(at(0))
	if !e.RecordRetransmit(at(210), at(10)) {
		t.Fatal("the first repeat asks for no probe")
	}
	if e.ConfirmedDown() {
		t.Fatal("failed after one repeat")
	}
	e.ProbeDone(at(212), Answered, true)
	if e.State() != Reachable {
		t.Fatalf("after the probe: %s", e.State())
	}
}

// A repeat says nothing when the server answered somebody since.
func TestRepeatOfAnAliveServer(t *testing.T) {
	var e Detector
	e.Progress(at(100))
	if e.RecordRetransmit(at(210), at(10)) || e.State() != Reachable {
		t.Fatal("a repeat counts against a server that answered since")
	}
}

// Packet loss of 1% meets a lost probe once in 10,000 repeats; flows are not
// given up on these two signs alone.
func TestRepeatAndLostProbeKeepTheFlows(t *testing.T) {
	var e Detector
	e.RecordRetransmit(at(210), at(10))
	again := e.ProbeDone(at(330), NoAnswer, true)
	if e.State() != Unreachable || e.ConfirmedDown() {
		t.Fatalf("after a repeat and a lost probe: %s, failed %t", e.State(), e.ConfirmedDown())
	}
	if !again {
		t.Fatal("the probe is not repeated at once")
	}
	e.ProbeDone(at(331), Answered, true)
	if e.ConfirmedDown() || e.State() == Unreachable {
		t.Fatalf("after the second probe: %s, failed %t", e.State(), e.ConfirmedDown())
	}
}

func TestSilentServerFailsWithinHalfASecond(t *testing.T) {
	var e Detector
	e.Progress(at(0))
	e.RecordRetransmit(at(210), at(10))
	if !e.ProbeDone(at(330), NoAnswer, false) {
		t.Fatal("the probe is not repeated at once")
	}
	e.ProbeDone(at(450), NoAnswer, true)
	if !e.ConfirmedDown() {
		t.Fatal("a repeat and two probes without an answer do not give it up")
	}
}

// On a link that is full for a quarter of a second all servers look silent.
// Their flows are kept: no other server answered promptly meanwhile.
func TestFullLinkGivesNoFlowUp(t *testing.T) {
	var e Detector
	e.Progress(at(0))
	e.RecordRetransmit(at(210), at(10))
	e.RecordRetransmit(at(220), at(20))
	for ms := 330; ms < 2000; ms += 120 {
		e.ProbeDone(at(ms), NoAnswer, false)
		e.RecordRetransmit(at(ms+10), at(ms-200))
		e.Tick(at(ms+20), true)
		if e.ConfirmedDown() {
			t.Fatalf("given up after %d ms", ms)
		}
	}
	e.ProbeDone(at(2100), Answered, true)
	e.Progress(at(2101))
	if e.State() != Reachable {
		t.Fatalf("%s after the link is free again", e.State())
	}
}

// The endpoint's word does not outweigh the flows.
func TestLyingEndpoint(t *testing.T) {
	var e Detector
	for i := range 4 {
		e.RecordRetransmit(at(210+10*i), at(10*i))
		e.ProbeDone(at(211+10*i), Answered, true)
	}
	if e.State() != Suspect && e.State() != Unreachable {
		t.Fatalf("four repeats without any progress: %s", e.State())
	}
	if e.ConfirmedDown() {
		t.Fatal("flows are given up though the endpoint answers")
	}
}

func TestAnotherServerAtTheAddress(t *testing.T) {
	var e Detector
	e.MarkSuspect(at(0))
	e.ProbeDone(at(2), OtherServer, true)
	if e.State() != Replaced || !e.ConfirmedDown() {
		t.Fatalf("%s", e.State())
	}
}

// A refused connection counts only against a server already in doubt.
func TestRefusedProbe(t *testing.T) {
	var e Detector
	e.MarkSuspect(at(0))
	e.ProbeDone(at(2), Refused, true)
	if !e.ConfirmedDown() {
		t.Fatal("a refused connection does not give it up")
	}
}

func TestServerComesBack(t *testing.T) {
	var e Detector
	e.MarkSuspect(at(0))
	e.ProbeDone(at(2), Refused, true)
	tries := 0
	for ms := 0; ms < 3000; ms += 100 {
		if e.Tick(at(ms), true) {
			tries++
			e.ProbeDone(at(ms+1), Refused, true)
		}
	}
	if tries < 3 || tries > 6 {
		t.Fatalf("%d probes in 3 s", tries)
	}
	for ms := 3000; ms < 4000; ms += 100 {
		if e.Tick(at(ms), true) {
			e.ProbeDone(at(ms+1), Answered, true)
			break
		}
	}
	if e.State() == Unreachable || e.ConfirmedDown() {
		t.Fatalf("after it answered: %s", e.State())
	}
	e.Progress(at(4000))
	if e.State() != Reachable {
		t.Fatalf("after progress: %s", e.State())
	}
}

func TestSuspicionEnds(t *testing.T) {
	var e Detector
	e.RecordRetransmit(at(200), at(0))
	e.probing = false
	e.Tick(at(900), true)
	if e.State() != Reachable {
		t.Fatalf("%s", e.State())
	}
}

// A server is checked because another one was lost. New flows do not avoid it
// meanwhile; a refused connection counts at once.
func TestCheckedServer(t *testing.T) {
	var e Detector
	if !e.StartCheck() || e.State() != Reachable {
		t.Fatalf("%s while it is checked", e.State())
	}
	e.ProbeDone(at(2), Answered, false)
	if e.State() != Reachable {
		t.Fatalf("%s after it answered", e.State())
	}
	e.StartCheck()
	e.ProbeDone(at(4), Refused, false)
	if !e.ConfirmedDown() {
		t.Fatal("not given up though its connection was refused")
	}
}
