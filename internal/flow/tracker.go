package flow

import "time"

// minRetransmitInterval is the shortest interval between two transmissions that
// counts as a retransmission: the platform's callers retransmit after 200 ms,
// and the instance sees a shorter interval if the first transmission took longer to
// arrive than the second.
const minRetransmitInterval = 150 * time.Millisecond

// Tracker holds what an instance remembers about one flow. The instance sees
// only the caller's packets, so the server's progress shows in the
// acknowledgements.
type Tracker struct {
	// Established is set once a packet other than an opening has been seen: the
	// caller has received the server's acceptance.
	Established bool
	// LastSeen is the time of the last packet.
	LastSeen time.Time
	// OpeningAt is the time at which the opening was first seen; zero if this
	// instance has not seen it.
	OpeningAt time.Time
	// Ack is the caller's highest acknowledgement.
	Ack uint32
	// Waiting is set from a payload packet until the server shows progress;
	// WaitingSince is the time of the first such packet.
	Waiting      bool
	WaitingSince time.Time

	// payloadEnd is the sequence number after the last payload byte seen;
	// hasPayload is set once there was one.
	payloadEnd uint32
	hasPayload bool
	// payloadEndSeenAt is the time at which payload up to payloadEnd was first
	// seen.
	payloadEndSeenAt time.Time
}

// Observation is what one packet reveals about the flow's server.
type Observation struct {
	// Progress is set if the server has accepted the flow or sent bytes since
	// the last packet.
	Progress bool
	// Retransmit is set if the caller repeats a packet, first seen at
	// FirstSeenAt, that the server has not acknowledged to it.
	Retransmit  bool
	FirstSeenAt time.Time
	// RequestStarted is set when the flow turns from idle to waiting, Answered
	// when it turns from waiting to idle.
	RequestStarted, Answered bool
	// NewBytes is the number of payload bytes that the caller had not sent before.
	NewBytes int
}

// Observe records the next packet of the flow and returns what it reveals about
// the server.
func (t *Tracker) Observe(now time.Time, s *Segment) Observation {
	defer func() { t.LastSeen = now }()
	if s.Opening {
		return t.observeOpening(now, s)
	}
	var o Observation
	if !t.Established {
		t.Established = true
		t.Ack = s.Ack
		// The first packet seen of a flow that another instance forwarded
		// before says nothing about the server.
		o.Progress = !t.OpeningAt.IsZero()
	} else if seqAfter(s.Ack, t.Ack) {
		t.Ack = s.Ack
		o.Progress = true
	}
	if o.Progress && t.Waiting {
		t.Waiting = false
		o.Answered = true
	}
	if s.Length > 0 {
		t.observePayload(now, s, &o)
	}
	return o
}

func (t *Tracker) observeOpening(now time.Time, s *Segment) Observation {
	if t.OpeningAt.IsZero() {
		t.OpeningAt = now
	}
	if s.RetransmitCount == 0 {
		return Observation{}
	}
	return Observation{Retransmit: true, FirstSeenAt: t.OpeningAt}
}

func (t *Tracker) observePayload(now time.Time, s *Segment, o *Observation) {
	end := s.Seq + uint32(s.Length)
	if t.hasPayload && !seqAfter(end, t.payloadEnd) {
		// Packets that overtook each other are not retransmissions.
		if now.Sub(t.payloadEndSeenAt) >= minRetransmitInterval {
			o.Retransmit, o.FirstSeenAt = true, t.payloadEndSeenAt
		}
		return
	}
	o.NewBytes = s.Length
	if t.hasPayload {
		o.NewBytes = min(s.Length, int(end-t.payloadEnd))
	}
	t.payloadEnd, t.hasPayload, t.payloadEndSeenAt = end, true, now
	if !t.Waiting {
		t.Waiting, t.WaitingSince = true, now
		o.RequestStarted = true
	}
}

// seqAfter reports whether sequence number a is after b. Sequence numbers wrap
// around.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }
