package entry

import (
	"net/netip"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/packet"
)

// Guards against the outcome DID_NOT_RUN for a retransmitted request whose earlier
// copy may have run through another instance (fault matrix, seed 1, I6).
func TestRefusalOfRetransmittedRequestHasUnknownOutcome(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Config{Self: "a1", DataCentre: "a", Started: now, HeartbeatInterval: time.Second, Lease: time.Second, DeadAfter: time.Second, FlowIdleTimeout: time.Minute})
	for attempt, want := range map[uint32]pb.Outcome{1: pb.Outcome_OUTCOME_DID_NOT_RUN, 2: pb.Outcome_OUTCOME_UNKNOWN} {
		c.Handle(now, Tick{})
		p := packet.Packet{Kind: pb.Kind_KIND_REQUEST, RequestID: 7, CallerAttempt: attempt,
			Caller: netip.MustParseAddrPort("10.0.0.1:5000"), Service: netip.MustParseAddrPort("10.200.0.1:80")}
		actions := c.Handle(now, CallerPacket{Data: p.Append(nil)})
		if len(actions) != 1 {
			t.Fatalf("attempt %d: got %d actions, want one refusal", attempt, len(actions))
		}
		var reply packet.Packet
		if err := reply.Decode(actions[0].(SendToCaller).Data); err != nil {
			t.Fatal(err)
		}
		if reply.Kind != pb.Kind_KIND_REFUSAL || reply.Outcome != want {
			t.Errorf("attempt %d: got %v %v, want REFUSAL %v", attempt, reply.Kind, reply.Outcome, want)
		}
	}
}

// Guards against the outcome DID_NOT_RUN for a request that waited in the socket
// of a paused process while the caller's next copy ran through another instance
// (fault matrix, seed 1, I6, planned-stop x [instance-frozen]).
func TestRefusalAfterPauseHasUnknownOutcome(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Config{Self: "a1", DataCentre: "a", Started: now, HeartbeatInterval: time.Second, Lease: time.Second, DeadAfter: time.Second, FlowIdleTimeout: time.Minute})
	c.Handle(now, Tick{})
	p := packet.Packet{Kind: pb.Kind_KIND_REQUEST, RequestID: 7, CallerAttempt: 1,
		Caller: netip.MustParseAddrPort("10.0.0.1:5000"), Service: netip.MustParseAddrPort("10.200.0.1:80")}
	actions := c.Handle(now.Add(3*time.Second), CallerPacket{Data: p.Append(nil)})
	var reply packet.Packet
	if err := reply.Decode(actions[0].(SendToCaller).Data); err != nil {
		t.Fatal(err)
	}
	if reply.Outcome != pb.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("got %v, want OUTCOME_UNKNOWN", reply.Outcome)
	}
}
