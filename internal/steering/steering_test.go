package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

var (
	startTime = time.Unix(1000, 0)
	campo     = model.NewServiceID("campo")
)

// fakeHealth holds the conditions and the open-flow counts of one instance.
type fakeHealth struct {
	conditions map[model.ServerID]serverhealth.Condition
	flows      map[model.ServerID]int
}

func newFakeHealth() *fakeHealth {
	return &fakeHealth{map[model.ServerID]serverhealth.Condition{}, map[model.ServerID]int{}}
}

func (h *fakeHealth) Condition(id model.ServerID) serverhealth.Condition {
	if c, ok := h.conditions[id]; ok {
		return c
	}
	return serverhealth.Healthy
}

func (h *fakeHealth) OpenFlows(id model.ServerID) int { return h.flows[id] }

func serverID(i int) model.ServerID { return model.NewServerID("campo", fmt.Sprint(i)) }

func servers(n int) map[model.ServerID]*model.BackendServer {
	out := map[model.ServerID]*model.BackendServer{}
	for i := range n {
		out[serverID(i)] = &model.BackendServer{ID: serverID(i), Name: fmt.Sprint(i), Service: campo, Slots: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
	}
	return out
}

func newSteering(n int) *Steering {
	s := New()
	s.SetServers(startTime, 1, servers(n))
	s.SetInForceVersion(1)
	return s
}

func always(model.ServerID) bool { return true }

func flow(i int) model.FlowHash { return model.FlowHash(uint64(i+1) * 0x9e3779b97f4a7c15) }

// The packets of a flow reach any instance, so the end of a flow may be seen by a
// different instance than its opening. The open flows must be balanced
// nevertheless.
func TestOpenFlowsAreBalancedAcrossInstances(t *testing.T) {
	const instances, n, open = 4, 14, 7000
	rng := rand.New(rand.NewPCG(1, 1))
	var all []*Steering
	var health []*fakeHealth
	for range instances {
		all, health = append(all, newSteering(n)), append(health, newFakeHealth())
	}
	var flows []model.ServerID
	for i := range 4 * open {
		at := rng.IntN(instances)
		server, outcome := all[at].Choose(startTime, campo, flow(i), health[at], always)
		if outcome != Chosen {
			t.Fatal(outcome)
		}
		health[at].flows[server]++
		flows = append(flows, server)
		if len(flows) > open {
			k := rng.IntN(len(flows))
			health[rng.IntN(instances)].flows[flows[k]]--
			flows[k] = flows[len(flows)-1]
			flows = flows[:len(flows)-1]
		}
	}
	count, most := map[model.ServerID]int{}, 0
	for _, server := range flows {
		count[server]++
		most = max(most, count[server])
	}
	// The busiest server may have at most 1.05 times the mean of open flows.
	if limit := 1.05 * open / n; float64(most) > limit {
		t.Errorf("got %d flows at one server, want at most %.0f", most, limit)
	}
}

// A server that was just added has no flows. It must not get all openings.
func TestAddedServerGetsAtMostTwiceItsShare(t *testing.T) {
	const n = 14
	s, h := newSteering(n), newFakeHealth()
	for i := 1; i < n; i++ {
		h.flows[serverID(i)] = 1000
	}
	got := 0
	for i := range 2000 {
		if server, _ := s.Choose(startTime, campo, flow(i), h, always); server == serverID(0) {
			got++
		}
	}
	if got < 2000/n || got > 2500*candidatesPerFlow/n {
		t.Errorf("%d of 2,000 openings went to the new server", got)
	}
}

// The copies of an opening that a caller retransmits reach several instances,
// which have different open-flow counts.
func TestCopiesOfAnOpeningReachAtMostTwoServers(t *testing.T) {
	s := newSteering(14)
	for i := range 200 {
		seen := map[model.ServerID]bool{}
		for k := range 20 {
			h := newFakeHealth()
			for j := range 14 {
				h.flows[serverID(j)] = (j*7 + k*13) % 20
			}
			server, _ := s.Choose(startTime, campo, flow(i), h, always)
			seen[server] = true
		}
		if len(seen) > candidatesPerFlow {
			t.Fatalf("copies of one opening went to %d servers", len(seen))
		}
	}
}

// Draining and silent servers get no flows. A server that sheds load gets flows
// only while no other server is available.
func TestUnavailableServersGetNoFlows(t *testing.T) {
	s, h := New(), newFakeHealth()
	all := servers(6)
	all[serverID(0)].Drain = true
	s.SetServers(startTime, 1, all)
	s.SetInForceVersion(1)
	h.conditions[serverID(1)] = serverhealth.Draining
	h.conditions[serverID(2)] = serverhealth.Silent
	h.conditions[serverID(3)] = serverhealth.Shedding
	for i := range 200 {
		server, outcome := s.Choose(startTime, campo, flow(i), h, always)
		if outcome != Chosen || (server != serverID(4) && server != serverID(5)) {
			t.Fatalf("opening at server %s with outcome %d", all[server].Name, outcome)
		}
	}
	h.conditions[serverID(4)], h.conditions[serverID(5)] = serverhealth.Silent, serverhealth.Silent
	if server, outcome := s.Choose(startTime, campo, flow(1), h, always); outcome != Chosen || server != serverID(3) {
		t.Errorf("all other servers unavailable: got server %s, outcome %d, want the server that sheds load", all[server].Name, outcome)
	}
}

// A server in cold start takes few openings. An opening that it cannot take goes
// to the next server, and is refused only when no server can take it.
func TestNextServerIsChosenWhenFirstIsFull(t *testing.T) {
	s, h := newSteering(3), newFakeHealth()
	h.flows[serverID(1)], h.flows[serverID(2)] = 50, 50
	firstIsFull := func(server model.ServerID) bool { return server != serverID(0) }
	for i := range 100 {
		if server, outcome := s.Choose(startTime, campo, flow(i), h, firstIsFull); outcome != Chosen || server == serverID(0) {
			t.Fatalf("opening at server %v with outcome %d", server, outcome)
		}
	}
	if _, outcome := s.Choose(startTime, campo, flow(1), h, func(model.ServerID) bool { return false }); outcome != Overload {
		t.Errorf("no server can take the opening: got outcome %d, want Overload", outcome)
	}
}

// When all servers are silent, one opening per trialInterval is tried and the
// others are refused at once.
func TestTrialOpeningsWhenAllServersAreSilent(t *testing.T) {
	s, h := newSteering(3), newFakeHealth()
	for i := range 3 {
		h.conditions[serverID(i)] = serverhealth.Silent
	}
	tried := 0
	for i := range 100 {
		if _, outcome := s.Choose(startTime.Add(time.Duration(i)*10*time.Millisecond), campo, flow(i), h, always); outcome == Chosen {
			tried++
		} else if outcome != NoServer {
			t.Fatal(outcome)
		}
	}
	if server, ok := s.Preview(startTime.Add(2*time.Second), campo, flow(1), h); ok {
		t.Errorf("preview of a service with silent servers only: got server %v, want none", server)
	}
	if _, outcome := s.Choose(startTime.Add(2*time.Second), campo, flow(1), h, always); outcome != Chosen {
		t.Error("a preview counts as a trial")
	}
	if tried != 10 {
		t.Errorf("%d trials in a second, want 10", tried)
	}
	if _, outcome := s.Choose(startTime, model.NewServiceID("ordenes"), flow(1), h, always); outcome != NoServer {
		t.Errorf("unknown service: got outcome %d, want NoServer", outcome)
	}
}

// An instance that does not hold a configuration version yet cannot forward the
// packets of flows at the servers that are new in it, and may still use one of the
// addresses for another service.
func TestNewServerWaitsUntilAllInstancesKnowIt(t *testing.T) {
	s, h := newSteering(1), newFakeHealth()
	h.flows[serverID(0)] = 1000
	later := startTime.Add(time.Second)
	s.SetServers(later, 2, servers(2))
	if server, _ := s.Choose(later, campo, flow(1), h, always); server != serverID(0) {
		t.Error("a server that not all instances know is used")
	}
	s.SetInForceVersion(2)
	if server, _ := s.Choose(later, campo, flow(1), h, always); server != serverID(1) {
		t.Error("a server that all instances know is not used")
	}
	moved := servers(2)
	moved[serverID(1)].Address = netip.MustParseAddrPort("10.9.9.9:80")
	s.SetServers(later, 3, moved)
	if server, _ := s.Choose(later, campo, flow(1), h, always); server != serverID(0) {
		t.Error("an address that not all instances know is used")
	}
	if server, _ := s.Choose(later.Add(inForceTimeout), campo, flow(1), h, always); server != serverID(1) {
		t.Errorf("server is not used after %s", inForceTimeout)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 64, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, h := newSteering(n), newFakeHealth()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Choose(startTime, campo, flow(i), h, always)
			}
		})
	}
}
