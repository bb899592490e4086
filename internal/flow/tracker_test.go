package flow

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestTrackerDistinguishesProgressFromRetransmits(t *testing.T) {
	steps := []struct {
		name                                           string
		ms                                             int
		segment                                        Segment
		progress, retransmit, requestStarted, answered bool
		firstSeenMS                                    int
	}{
		{name: "opening", ms: 0, segment: Segment{Opening: true}},
		{name: "opening retransmitted", ms: 200, segment: Segment{Opening: true, RetransmitCount: 1}, retransmit: true, firstSeenMS: 0},
		{name: "accepted", ms: 203, segment: Segment{Seq: 1, Ack: 100}, progress: true},
		{name: "request", ms: 204, segment: Segment{Seq: 1, Ack: 100, Length: 50}, requestStarted: true},
		{name: "second part", ms: 205, segment: Segment{Seq: 51, Ack: 100, Length: 50}},
		{name: "first part retransmitted", ms: 405, segment: Segment{Seq: 1, Ack: 100, Length: 50}, retransmit: true, firstSeenMS: 205},
		{name: "answer begins", ms: 410, segment: Segment{Seq: 101, Ack: 1300}, progress: true, answered: true},
		{name: "older acknowledgement", ms: 411, segment: Segment{Seq: 101, Ack: 100}},
		{name: "next request acknowledges too", ms: 500, segment: Segment{Seq: 101, Ack: 2500, Length: 10}, progress: true, requestStarted: true},
	}
	var tracker Tracker
	for _, step := range steps {
		o := tracker.Observe(at(step.ms), &step.segment)
		if o.Progress != step.progress || o.Retransmit != step.retransmit || o.RequestStarted != step.requestStarted || o.Answered != step.answered {
			t.Errorf("%s: %+v", step.name, o)
		}
		if o.Retransmit && !o.FirstSeenAt.Equal(at(step.firstSeenMS)) {
			t.Errorf("%s: first seen at %v", step.name, o.FirstSeenAt)
		}
	}
}

// The first packets of the flow went through another instance.
func TestTrackerOfTakenOverFlow(t *testing.T) {
	var tracker Tracker
	if o := tracker.Observe(at(0), &Segment{Seq: 500, Ack: 9000, Length: 20}); !o.RequestStarted || o.Retransmit || o.Progress {
		t.Fatalf("first packet seen: %+v", o)
	}
	if o := tracker.Observe(at(200), &Segment{Seq: 500, Ack: 9000, Length: 20}); !o.Retransmit {
		t.Fatalf("its retransmission: %+v", o)
	}
}

func TestSequenceNumberWraparound(t *testing.T) {
	var tracker Tracker
	tracker.Observe(at(0), &Segment{Seq: 0xffffff00, Ack: 0xfffffff0})
	if o := tracker.Observe(at(1), &Segment{Seq: 0xffffff00, Ack: 5}); !o.Progress {
		t.Fatal("an acknowledgement past the wraparound does not count as progress")
	}
}

func TestKeyRoundTrip(t *testing.T) {
	k := Key{CallerIP: 0x64400007, CallerPort: 40001, ServiceIP: 0xc6120001, ServicePort: 443}
	if got := NewKey(k.Caller(), k.Service()); got != k {
		t.Fatalf("round trip of %v gave %v", k, got)
	}
	if k.String() != "100.64.0.7:40001>198.18.0.1:443" {
		t.Fatal(k.String())
	}
}

// The parts of a request may overtake each other in the network.
func TestReorderedPacketsAreNotRetransmits(t *testing.T) {
	var tracker Tracker
	tracker.Observe(at(0), &Segment{Opening: true})
	tracker.Observe(at(5), &Segment{Seq: 101, Ack: 7, Length: 50})
	if o := tracker.Observe(at(6), &Segment{Seq: 1, Ack: 7, Length: 100}); o.Retransmit {
		t.Fatalf("first packet after a later one: %+v", o)
	}
}
