package gateway

import (
	"fmt"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/registry"
)

// exchange sends a request of a flow and, after some time, the acknowledgement of the
// first bytes of the response, or the request again if there are none.
func (inst *testInstance) exchange(k flow.Key, v Verdict, number, bytes uint32, took time.Duration) {
	request := flow.Segment{Key: k, Seq: 1 + 50*number, Ack: 100 + 700*number, Length: 50, Token: v.Token}
	inst.handlePacket(&request)
	inst.advance(took)
	if bytes == 0 {
		inst.handlePacket(&request)
	} else {
		inst.handlePacket(&flow.Segment{Key: k, Seq: request.Seq + 50, Ack: request.Ack + bytes, Token: v.Token})
	}
}

// Guards against new flows at a server that has just refused a request while another one
// of its data centre is available, and against conclusions from responses whose request
// began at another instance.
func TestRefusingServerIsAvoided(t *testing.T) {
	for name, c := range map[string]struct {
		port     uint16
		bytes    uint32
		openings uint32 // as many as the other server receives in any case, and two more
		avoided  bool
	}{"result": {1, 600, 3, false}, "refusal": {1, 130, 3, true}, "unanswered": {1, 0, 5, true}, "refusal to another instance's flow": {2, 130, 4, false}} {
		inst := newTestInstance(t, server("i-1", norte), server("i-2", norte), server("i-3", sur))
		v := inst.openEstablished(1)
		for i := range uint32(20) {
			inst.exchange(key(1), v, i, 700, 50*time.Millisecond)
		}
		inst.exchange(key(c.port), v, 20, c.bytes, 200*time.Millisecond)
		flows := map[string]int{}
		for i := range c.openings {
			k := key(3)
			k.CallerIP += i + 1
			flows[inst.handlePacket(&flow.Segment{Key: k, Opening: true}).Server.Name]++
		}
		if avoided := flows[v.Server.Name] == 0; avoided != c.avoided || flows["i-3"] > 0 {
			t.Errorf("%s of %s: new flows at %v", name, v.Server.Name, flows)
		}
	}
}

// Guards against equal numbers of flows at uneven servers, and against knowledge that is
// lost with a change of the registry or kept after the last server.
func TestFlowsFollowSpeed(t *testing.T) {
	took := map[string]time.Duration{"i-1": 143 * time.Millisecond, "i-2": 143 * time.Millisecond, "i-3": 59 * time.Millisecond}
	servers := []registry.Entry{server("i-1", norte), server("i-2", norte), server("i-3", norte)}
	inst := newTestInstance(t, servers...)
	flows := map[string]int{}
	for port := range uint16(62) {
		if port == 3 {
			inst.setServers(append(servers, server("i-4", sur))...)
		}
		v := inst.openEstablished(port)
		flows[v.Server.Name]++
		for i := uint32(0); port < 3 && i < 10; i++ {
			inst.exchange(key(port), v, i, 700, took[v.Server.Name])
		}
	}
	if flows["i-1"] < 12 || flows["i-2"] < 12 || flows["i-3"] < 30 {
		t.Errorf("%v, want 14, 14 and 34", flows)
	}
	inst.setServers()
	inst.advance(time.Hour)
	inst.handleEvent(Tick{})
	if inst.setConfiguration(2); inst.core.serviceLoad(campo, norte) != nil || len(inst.core.answerSizes) > 0 {
		t.Errorf("left over: %v, %v", inst.core.serviceLoads, inst.core.answerSizes)
	}
}

// Guards against a server that attracts new flows because it fails requests at once and so
// is always idle, and against one that is avoided after it has recovered.
func TestServerThatFailsFastIsAvoided(t *testing.T) {
	var servers []registry.Entry
	for i := range 10 {
		servers = append(servers, server(fmt.Sprint("i-", i), norte))
	}
	inst := newTestInstance(t, servers...)
	caller := uint32(0)
	// play opens 300 flows a second, each with one request that takes 60 ms, and returns the
	// fraction of them that goes to the server i-0. Of its requests, i-0 fails the given
	// number in 10 at once.
	play := func(d time.Duration, failed uint32) float64 {
		answers := map[time.Time][]*flow.Segment{}
		total, atFailing := 0, 0
		for end := inst.now.Add(d); inst.now.Before(end); inst.advance(10 * time.Millisecond) {
			for _, s := range answers[inst.now] {
				inst.handlePacket(s)
			}
			delete(answers, inst.now)
			for range 3 {
				caller++
				k := key(1)
				k.CallerIP += caller * 7
				v := inst.handlePacket(&flow.Segment{Key: k, Opening: true})
				inst.handlePacket(&flow.Segment{Key: k, Seq: 1, Ack: 100, Token: v.Token})
				inst.handlePacket(&flow.Segment{Key: k, Seq: 1, Ack: 100, Length: 50, Token: v.Token})
				answer, at := &flow.Segment{Key: k, Seq: 51, Ack: 800, Token: v.Token, Final: true}, inst.now.Add(60*time.Millisecond)
				total++
				if v.Server.Name == "i-0" {
					if atFailing++; caller%10 < failed {
						answer.Ack, at = 260, inst.now.Add(10*time.Millisecond)
					}
				}
				answers[at] = append(answers[at], answer)
			}
			if inst.now.UnixNano()%int64(TickInterval) == 0 {
				inst.confirmSources()
				inst.handleEvent(Tick{})
			}
		}
		return float64(atFailing) / float64(total)
	}
	fair, failing := play(4*time.Second, 0), play(10*time.Second, 6)
	play(2*time.Second, 0)
	recovered := play(4*time.Second, 0)
	if fair < 0.08 || failing > 0.02 || recovered < 0.05 {
		t.Errorf("fraction of the new flows: %.3f before, %.3f while it fails 6 of 10 requests, %.3f after its recovery", fair, failing, recovered)
	}
}
