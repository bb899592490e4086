package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// saturate makes the instance refuse new flows: its servers refuse most requests of the
// openings of 2 s.
func (inst *testInstance) saturate() {
	port := uint16(30000)
	for range 20 {
		for range 40 {
			port++
			inst.openFrom(port)
			load := inst.core.serviceLoad(campo, norte)
			if load.RecordRefusal(inst.now); port%4 == 0 {
				load.RecordAnswer(inst.now, 60*time.Millisecond)
			}
		}
		inst.advance(TickInterval)
		inst.confirmSources()
		inst.handleEvent(Tick{})
	}
}

// openFrom opens a flow from a caller of its own.
func (inst *testInstance) openFrom(caller uint16) Verdict {
	k := key(1)
	k.CallerIP += uint32(caller)
	return inst.handlePacket(&flow.Segment{Key: k, Opening: true})
}

// firstRefused returns the first port from the given one whose opening is refused.
func (inst *testInstance) firstRefused(port uint16) uint16 {
	for inst.open(port).Kind != Reset {
		port++
	}
	return port
}

// Guards against a reset of an open flow: a late duplicate of its opening is not a new flow
// that could be refused.
func TestLateDuplicateOfOpeningIsNotRefused(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.saturate()
	admitted := 0
	for port := uint16(1); port < 400; port++ {
		v := inst.open(port)
		if v.Kind == Reset {
			if v.Reason != Overloaded || inst.core.flows[key(port)] != nil {
				t.Fatalf("%+v", v)
			}
			continue
		}
		admitted++
		inst.advance(time.Millisecond)
		inst.handlePacket(&flow.Segment{Key: key(port), Seq: 1, Ack: 100, Token: v.Token})
		if v := inst.open(port); v.Kind != Forward {
			t.Fatalf("late duplicate of the opening of flow %d: %+v", port, v)
		}
	}
	if admitted == 0 || admitted > 200 {
		t.Fatalf("%d of 399 openings admitted", admitted)
	}
}

// Guards against refusals of a flow that another instance has forwarded.
func TestRetransmittedOpeningIsNotRefused(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.saturate()
	port := inst.firstRefused(1)
	if v := inst.sendOpening(port+1000, 1); v.Kind != Forward {
		t.Fatalf("%+v", v)
	}
	if v := inst.sendOpening(port, 1); v.Kind != Reset || v.Reason != Overloaded {
		t.Fatalf("copy of a refused opening: %+v", v)
	}
	inst.advance(openingWindow + time.Second)
	inst.handleEvent(Tick{})
	if n := len(inst.core.refusedOpenings); n != 0 {
		t.Errorf("%d refused openings are remembered after callers have given up", n)
	}
}

// Guards against full servers that get what a data centre with room was to take, against
// refusals while there is room, and against more flows at once than that data centre can
// answer before its refusals show.
func TestOverflowGoesToDataCentreWithRoomOnly(t *testing.T) {
	servers := []registry.Entry{server("i-1", norte)}
	for i := range 8 {
		servers = append(servers, server(fmt.Sprint("i-2", i), sur))
	}
	inst := newTestInstance(t, servers...)
	inst.saturate()
	for range 30 {
		inst.core.serviceLoad(campo, sur).RecordAnswer(inst.now, 60*time.Millisecond)
	}
	inst.handleEvent(Tick{})
	overflow := 0
	for port := uint16(1); port < 100; port++ {
		if v := inst.openFrom(port); v.Kind != Forward {
			t.Fatalf("refused although the other data centre has room: %+v", v)
		} else if v.Spilled {
			overflow++
		}
	}
	if overflow == 0 || overflow == 99 {
		t.Errorf("%d of 99 openings went to the data centre with room", overflow)
	}
	inst.setWithdrawn(sur, true)
	inst.advance(TickInterval)
	inst.handleEvent(Tick{})
	for port := uint16(101); port < 200; port++ {
		if v := inst.openFrom(port); v.Spilled || (v.Kind == Forward && v.Server.DataCentre == sur) {
			t.Fatalf("forwarded to a withdrawn data centre: %+v", v)
		} else if v.Kind == Reset {
			return
		}
	}
	t.Error("all openings go to the full servers")
}

// Guards against refusals on a calm day after a route has moved to a service with shorter
// answers, and against routes with other than IPv4 addresses.
func TestAnswerSizesOfChangedRoutesAreForgotten(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	sizes := func() *routeAnswerSizes { return inst.core.answerSizes[serviceAddressOf(key(1))] }
	for range 2000 {
		sizes().IsRefusal(700)
	}
	if !sizes().IsRefusal(130) {
		t.Fatal("a refusal is not recognised")
	}
	shares := []routing.Share{{Service: "ordenes", Weight: 1}}
	c := &routing.Configuration{Version: 2, Routes: map[netip.AddrPort]*routing.Route{
		service: {Shares: shares}, netip.MustParseAddrPort("[2001:db8::1]:443"): {Shares: shares}}}
	inst.revision++
	inst.handleEvent(SourceUpdated{Kind: source.Configuration, AsOf: inst.now, Update: source.Update{Full: true, Position: inst.position(), Configuration: c}})
	if sizes().IsRefusal(130) {
		t.Error("a short answer of the route's new service is taken for a refusal")
	}
}
