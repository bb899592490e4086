package flow

import "time"

// minRepeat is the shortest time after which a caller repeats a packet: the
// platform's callers wait 200 ms, measured here with the jitter of two ways.
const minRetransmitInterval = 150 * time.Millisecond

// Track is what an instance remembers of one flow. It sees only the packets
// of the caller: progress of the server shows in the acknowledgements.
type Tracker struct {
	// Opened is set once the caller has answered the server's acceptance.
	Opened bool
	// Seen is the time of the last packet.
	LastSeen time.Time
	// OpeningAt is the time of the first copy of the opening.
	OpeningAt time.Time
	// Ack is the caller's highest acknowledgement.
	Ack uint32
	// Waiting is set from a payload packet until the server shows progress;
	// WaitingSince is the time of the first one.
	Waiting      bool
	WaitingSince time.Time

	// end is the sequence number after the last byte of payload; endSet says
	// that there was one.
	end        uint32
	hasPayload bool
	// lastAt is the time at which payload up to end was first seen.
	endSeenAt time.Time
}

// Observation is what one packet says about the flow's server.
type Observation struct {
	// Progress: the server has accepted the flow or sent bytes since the
	// last packet.
	Progress bool
	// Repeat: the caller repeats a packet first sent at RepeatOf, which the
	// server has not acknowledged to it.
	Retransmit  bool
	FirstSentAt time.Time
	// Asked: the flow turned from idle to waiting; Answered is the opposite.
	RequestStarted, Answered bool
}

// Observe takes the next packet of the flow.
func (t *Tracker) Observe(now time.Time, s *Segment) Observation {
	defer func() { t.LastSeen = now }()
	if s.Opening {
		return t.observeOpening(now, s)
	}
	var o Observation
	if !t.Opened {
		t.Opened = true
		t.Ack = s.Ack
		// The first packet seen of a flow that another instance forwarded
		// before says nothing of the server.
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
	return Observation{Retransmit: true, FirstSentAt: t.OpeningAt}
}

func (t *Tracker) observePayload(now time.Time, s *Segment, o *Observation) {
	end := s.Seq + uint32(s.Length)
	if t.hasPayload && !seqAfter(end, t.end) {
		// Packets that overtook each other are no repeats.
		if now.Sub(t.endSeenAt) >= minRetransmitInterval {
			o.Retransmit, o.FirstSentAt = true, t.endSeenAt
		}
		return
	}
	t.end, t.hasPayload, t.endSeenAt = end, true, now
	if !t.Waiting {
		t.Waiting, t.WaitingSince = true, now
		o.RequestStarted = true
	}
}

// after compares sequence numbers, which wrap around.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }
