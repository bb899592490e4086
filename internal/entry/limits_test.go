package entry

import (
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/limits"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
	"cuminshift/internal/requests"
)

// storeAnswer lets the coordinator run a request at a server and keep its answer.
func (s *singleInstance) storeAnswer(p packet.Packet) {
	c := s.core.coordinator
	flow := model.FlowID{Service: model.NewServiceID("campo"), Flow: p.FlowHash()}
	key := requests.Key{Service: flow.Service, Flow: flow.Flow, ID: p.RequestID}
	var grant uint64
	for _, a := range c.Start(s.now, requests.Request{Key: key, Server: p.Token, CallerAttempt: 1, Deadline: s.now.Add(time.Second)}) {
		if a, ok := a.(requests.RequestGrant); ok {
			grant = a.GrantRequest.GetGrant()
		}
	}
	for _, a := range c.HandleGrantReply(s.now, &pb.GrantReply{Grant: grant, Result: pb.GrantResult_GRANT_RESULT_GRANTED}) {
		if a, ok := a.(requests.SendToServer); ok {
			c.HandleServerPacket(s.now, requests.ServerPacket{Key: key, Server: a.Server, Kind: pb.Kind_KIND_ANSWER, Attempt: a.Attempt, Payload: []byte("done")})
		}
	}
}

// Guards against a retransmission of an answered request that is refused by a
// limit that another request has reached, or that counts as running for ever.
func TestRetransmissionOfAnsweredRequest(t *testing.T) {
	use := model.PlanUse{ConcurrentRequests: 1}
	s := newSingleInstance(t, use, "s1")
	p := packet.Packet{Kind: pb.Kind_KIND_REQUEST, RequestID: 1, CallerAttempt: 2, DeadlineMS: 1000,
		Token: model.NewServerID("campo", "s1"), Caller: callerAddress, Service: serviceAddress}
	s.storeAnswer(p)
	if d := s.core.limits.StartRequest(s.now, "villa", model.NewServiceID("campo"), use); d.Verdict != limits.Allowed {
		t.Fatalf("verdict %d for another request below the limit, want allowed", d.Verdict)
	}
	if to, refused := s.send(p); len(to) != 0 || refused != 0 {
		t.Errorf("sent to %d servers, refused with %v, want the stored answer", len(to), refused)
	}
	if n := s.core.InUse(); n != 1 {
		t.Errorf("%d requests count as running, want only the other one", n)
	}
}

// Guards against flows that count although the plan limits nothing when they open,
// and against a limit that refuses at once because of them.
func TestLimitSetLaterCountsFromThen(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{}, "s1")
	sent, _ := s.open(packet.Packet{})
	s.answer(sent, pb.Kind_KIND_OPEN_ACK)
	s.configure(2, model.PlanUse{ConcurrentFlows: 1}, "s1")
	s.advance(time.Second)
	s.open(packet.Packet{Caller: otherCallerAddress})
	if n := s.core.InUse(); n != 1 {
		t.Errorf("%d flows count, want 1", n)
	}
}

// Guards against counting a flow for ever that its caller closes before this instance
// has seen the server's answer, which may take another way (fault matrix, seed 1,
// limits, answer-under-way x [answers-late-and-crossed]).
func TestFlowClosedBeforeAnswerIsNotCounted(t *testing.T) {
	s := newSingleInstance(t, model.PlanUse{ConcurrentFlows: 1}, "s1")
	_, token := s.open(packet.Packet{})
	s.send(packet.Packet{Kind: pb.Kind_KIND_CLOSE, Token: token})
	s.advance(time.Second)
	if n := s.core.InUse(); n != 0 {
		t.Errorf("%d flows count after the only one was closed", n)
	}
	s.open(packet.Packet{Caller: otherCallerAddress})
}
