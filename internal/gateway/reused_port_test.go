package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

const ordenes = "ordenes"

// exclusions make the first server unusable for new flows, in the ways in which operators and
// servers do so.
var exclusions = map[string]func(inst *testInstance){
	"server drains": func(inst *testInstance) {
		drains := server("i-1", norte)
		drains.Draining = true
		inst.setServers(drains, server("i-2", sur))
	},
	"data centre is withdrawn": func(inst *testInstance) { inst.setWithdrawn(norte, true) },
	"route leads to another service": func(inst *testInstance) {
		other := server("i-2", sur)
		other.Service = ordenes
		inst.setServers(server("i-1", norte), other)
		inst.revision++
		inst.handleEvent(SourceUpdated{Kind: source.Configuration, AsOf: inst.now, Update: source.Update{Position: inst.position(), Configuration: &routing.Configuration{
			Version: 2, IdleTimeout: 15 * time.Second, Services: map[string]routing.Service{campo: {Name: campo}, ordenes: {Name: ordenes}},
			Routes: map[netip.AddrPort]*routing.Route{service: {Shares: []routing.Share{{Service: ordenes, Weight: 1}}}}}}})
	},
}

// Guards against new flows at a server that drains, in a withdrawn data centre or of a
// service that the route has left, because the caller has used the port before.
func TestReusedPortIsPlacedByPresentState(t *testing.T) {
	for what, exclude := range exclusions {
		for _, pause := range []time.Duration{500 * time.Millisecond, 5 * time.Second, 15 * time.Second} {
			for _, accepted := range []bool{false, true} {
				for copies := range uint32(3) {
					if accepted && copies > 0 && pause < openingWindow {
						continue // the copy belongs to the open flow
					}
					t.Run(fmt.Sprintf("%s/%s/accepted %t/copy %d", what, pause, accepted, copies), func(t *testing.T) {
						inst := newTestInstance(t, server("i-1", norte), server("i-2", sur))
						v := inst.open(1)
						if v.Server == nil || v.Server.Name != "i-1" {
							t.Fatalf("first opening: %+v", v)
						}
						if accepted {
							inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: v.Token})
						}
						exclude(inst)
						inst.advance(pause)
						inst.confirmSources()
						if v := inst.sendOpening(1, copies); v.Server == nil || v.Server.Name != "i-2" {
							t.Errorf("%s to %+v, %s", v.Kind, v.Server, v.Reason)
						}
					})
				}
			}
		}
	}
}

// Guards against an open flow that breaks because a transmission of its opening arrives
// late, when its server takes no new flows any more.
func TestLateOpeningDoesNotMoveOpenFlow(t *testing.T) {
	for what, exclude := range exclusions {
		for copies := range uint32(3) {
			inst := newTestInstance(t, server("i-1", norte), server("i-2", sur))
			v := inst.openEstablished(1)
			exclude(inst)
			inst.advance(300 * time.Millisecond)
			inst.sendOpening(1, copies)
			for seq := range uint32(3) {
				got := inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1 + 50*seq, Ack: 100, Length: 50, Token: v.Token})
				if got.Kind != Forward || got.Server.Name != v.Server.Name {
					t.Errorf("%s, copy %d: packet of the open flow: %s to %+v, %s", what, copies, got.Kind, got.Server, got.Reason)
				}
			}
		}
	}
}

// Guards against a retransmitted opening that reaches another server than the first
// transmission, although that one has accepted flows since.
func TestRetransmittedOpeningReachesServerOfFirst(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
	v := inst.open(1)
	for port := uint16(100); ; port++ {
		if other := inst.openEstablished(port); other.Server.Name == v.Server.Name {
			break
		}
	}
	for copies, at := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		inst.advance(at)
		if again := inst.sendOpening(1, uint32(copies)+1); again.Server == nil || again.Server.Name != v.Server.Name {
			t.Errorf("copy %d: %+v; want it at %s", copies+1, again.Server, v.Server.Name)
		}
	}
}
