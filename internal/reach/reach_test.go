package reach

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// One retransmission in 100 packets is the usual loss: it must neither reset
// flows nor keep new flows away once the probe was answered.
func TestSingleLostPacketHasNoEffect(t *testing.T) {
	var d Detector
	d.RecordProgress(at(0))
	if !d.RecordRetransmit(at(210), at(10)) {
		t.Fatal("the first retransmission starts no probe")
	}
	if d.ConfirmedDown() {
		t.Fatal("confirmed down after one retransmission")
	}
	d.ProbeDone(at(212), Answered, true)
	if d.State() != Reachable {
		t.Fatalf("after the probe: %s", d.State())
	}
}

// A retransmission says nothing about a server that has answered any caller
// since the packet was first seen.
func TestRetransmitBeforeLaterProgressIsIgnored(t *testing.T) {
	var d Detector
	d.RecordProgress(at(100))
	if d.RecordRetransmit(at(210), at(10)) || d.State() != Reachable {
		t.Fatal("a retransmission counts against a server that answered since")
	}
}

// At 1% packet loss, a retransmission coincides with a lost probe once in
// 10,000 retransmissions; flows are not reset on these two signs alone.
func TestRetransmitAndLostProbeDoNotConfirmDown(t *testing.T) {
	var d Detector
	d.RecordRetransmit(at(210), at(10))
	again := d.ProbeDone(at(330), NoAnswer, true)
	if d.State() != Unreachable || d.ConfirmedDown() {
		t.Fatalf("after a retransmission and a lost probe: %s, confirmed down %t", d.State(), d.ConfirmedDown())
	}
	if !again {
		t.Fatal("the probe is not repeated at once")
	}
	d.ProbeDone(at(331), Answered, true)
	if d.ConfirmedDown() || d.State() == Unreachable {
		t.Fatalf("after the second probe: %s, confirmed down %t", d.State(), d.ConfirmedDown())
	}
}

func TestUnresponsiveServerConfirmedDownWithinHalfASecond(t *testing.T) {
	var d Detector
	d.RecordProgress(at(0))
	d.RecordRetransmit(at(210), at(10))
	if !d.ProbeDone(at(330), NoAnswer, false) {
		t.Fatal("the probe is not repeated at once")
	}
	d.ProbeDone(at(450), NoAnswer, true)
	if !d.ConfirmedDown() {
		t.Fatal("a retransmission and two unanswered probes do not confirm that it is down")
	}
}

// On a link that is saturated for a quarter of a second, all servers look
// unresponsive. Their flows are kept, because no control server answers
// promptly during that time.
func TestSaturatedLinkDoesNotConfirmDown(t *testing.T) {
	var d Detector
	d.RecordProgress(at(0))
	d.RecordRetransmit(at(210), at(10))
	d.RecordRetransmit(at(220), at(20))
	for ms := 330; ms < 2000; ms += 120 {
		d.ProbeDone(at(ms), NoAnswer, false)
		d.RecordRetransmit(at(ms+10), at(ms-200))
		d.Tick(at(ms+20), true)
		if d.ConfirmedDown() {
			t.Fatalf("confirmed down after %d ms", ms)
		}
	}
	d.ProbeDone(at(2100), Answered, true)
	d.RecordProgress(at(2101))
	if d.State() != Reachable {
		t.Fatalf("%s after the link is no longer saturated", d.State())
	}
}

// An answering health endpoint does not outweigh the evidence of the flows.
func TestAnsweringHealthEndpointDoesNotOutweighRetransmits(t *testing.T) {
	var d Detector
	for i := range 4 {
		d.RecordRetransmit(at(210+10*i), at(10*i))
		d.ProbeDone(at(211+10*i), Answered, true)
	}
	if d.State() != Suspect && d.State() != Unreachable {
		t.Fatalf("four retransmissions without progress: %s", d.State())
	}
	if d.ConfirmedDown() {
		t.Fatal("confirmed down though the health endpoint answers")
	}
}

func TestOtherServerAtAddress(t *testing.T) {
	var d Detector
	d.MarkSuspect(at(0))
	d.ProbeDone(at(2), OtherServer, true)
	if d.State() != Replaced || !d.ConfirmedDown() {
		t.Fatalf("after another server answered: %s", d.State())
	}
}

// A refused connection counts only against a server that is already suspect.
func TestRefusedProbeConfirmsDown(t *testing.T) {
	var d Detector
	d.MarkSuspect(at(0))
	d.ProbeDone(at(2), ConnectionRefused, true)
	if !d.ConfirmedDown() {
		t.Fatal("a refused connection does not confirm that it is down")
	}
}

func TestRecovery(t *testing.T) {
	var d Detector
	d.MarkSuspect(at(0))
	d.ProbeDone(at(2), ConnectionRefused, true)
	probes := 0
	for ms := 0; ms < 3000; ms += 100 {
		if d.Tick(at(ms), true) {
			probes++
			d.ProbeDone(at(ms+1), ConnectionRefused, true)
		}
	}
	if probes < 3 || probes > 6 {
		t.Fatalf("%d probes in 3 s", probes)
	}
	for ms := 3000; ms < 4000; ms += 100 {
		if d.Tick(at(ms), true) {
			d.ProbeDone(at(ms+1), Answered, true)
			break
		}
	}
	if d.State() == Unreachable || d.ConfirmedDown() {
		t.Fatalf("after it answered: %s", d.State())
	}
	d.RecordProgress(at(4000))
	if d.State() != Reachable {
		t.Fatalf("after progress: %s", d.State())
	}
}

func TestSuspectTimeout(t *testing.T) {
	var d Detector
	d.RecordRetransmit(at(200), at(0))
	d.probing = false
	d.Tick(at(900), true)
	if d.State() != Reachable {
		t.Fatalf("after the suspect timeout: %s", d.State())
	}
}

// The server is probed because another one became unreachable. New flows do not
// avoid it during the probe; a refused connection counts at once.
func TestPrecautionaryProbe(t *testing.T) {
	var d Detector
	if !d.StartPrecautionaryProbe() || d.State() != Reachable {
		t.Fatalf("%s during the precautionary probe", d.State())
	}
	d.ProbeDone(at(2), Answered, false)
	if d.State() != Reachable {
		t.Fatalf("%s after it answered", d.State())
	}
	d.StartPrecautionaryProbe()
	d.ProbeDone(at(4), ConnectionRefused, false)
	if !d.ConfirmedDown() {
		t.Fatal("not confirmed down though its connection was refused")
	}
}

// Guards against resets of the flows of a server that is full: callers retransmit, and the
// server resets the connections of all probes.
func TestServerThatResetsProbesIsNotConfirmedDown(t *testing.T) {
	var d Detector
	for ms := 200; ms < 4000; ms += 100 {
		d.RecordRetransmit(at(ms), at(ms-200))
		for d.ProbeDone(at(ms+2), ConnectionReset, true) {
		}
		if d.ConfirmedDown() {
			t.Fatalf("confirmed down after %d ms", ms)
		}
		if d.State() == Reachable {
			t.Fatalf("reachable after %d ms: new flows would go to a full server", ms)
		}
	}
	d.ProbeDone(at(4000), ConnectionRefused, true)
	if d.RecordRetransmit(at(4010), at(3800)); !d.ConfirmedDown() {
		t.Fatal("not confirmed down by a refused connection")
	}
}

// Probes that fail for reasons of the instance's own say nothing about the server.
func TestInconclusiveProbesAreNoEvidence(t *testing.T) {
	var d Detector
	d.RecordRetransmit(at(200), at(0))
	for ms := 210; ms < 240; ms += 10 {
		d.ProbeDone(at(ms), Inconclusive, true)
	}
	if d.ConfirmedDown() || d.State() != Suspect {
		t.Fatalf("%s, confirmed down %t", d.State(), d.ConfirmedDown())
	}
}

// Guards against a detector that waits for a probe that was never sent, and against a
// suspect server without traffic that becomes reachable without a probe.
func TestDeferredProbeIsRequestedByNextTick(t *testing.T) {
	var d Detector
	if !d.MarkSuspect(at(0)) || !d.DeferProbe() {
		t.Fatal("no probe")
	}
	for ms := 100; ms <= 1000; ms += 100 {
		if !d.Tick(at(ms), false) || d.State() != Suspect || d.DeferProbe() {
			t.Fatalf("after %d ms: %s", ms, d.State())
		}
	}
	d.Tick(at(1100), false)
	d.ProbeDone(at(1220), NoAnswer, true)
	if d.State() != Unreachable {
		t.Errorf("after the probe: %s", d.State())
	}
	d = Detector{}
	if !d.StartPrecautionaryProbe() || !d.DeferProbe() || d.StartPrecautionaryProbe() {
		t.Fatal("precautionary probe")
	}
	if d.RecordProgress(at(50)); d.Tick(at(100), false) {
		t.Error("probe of a server that has answered a caller since")
	}
}
