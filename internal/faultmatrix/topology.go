package faultmatrix

import (
	"fmt"
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

// Sizes of the simulated data centres. Faults are injected in data centre a; the
// others show whether the effect stays limited to it.
var (
	dataCentres    = []model.DataCentre{"a", "b", "c"}
	instanceCounts = map[model.DataCentre]int{"a": 4, "b": 2, "c": 2}
	serverCounts   = map[string]map[model.DataCentre]int{
		"campo":   {"a": 3, "b": 2, "c": 1},
		"ordenes": {"a": 2, "b": 1, "c": 1},
	}
	services = []string{"campo", "ordenes"}
)

const (
	// warmUpDuration is the time before the fault; it is above twice
	// flowIdleTimeout, so that rebases are allowed.
	warmUpDuration = 10 * time.Second
	// flowIdleTimeout is short, so that a run reaches rebases.
	flowIdleTimeout = 4 * time.Second
	// faultDuration is how long a temporary fault lasts.
	faultDuration = 3 * time.Second
	runDuration   = 28 * time.Second
)

// siteAddr returns the address of a service in a data centre.
func siteAddr(service string, dc model.DataCentre) netip.AddrPort {
	port := uint16(80)
	if service == "ordenes" {
		port = 81
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, dc[0]}), port)
}

func serverAddr(service string, dc model.DataCentre, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, service[0], dc[0], byte(n)}), 9000)
}

func serverName(service string, dc model.DataCentre, n int) string {
	return fmt.Sprintf("%s-%s%d", service, dc, n)
}

// callerName returns the name of the flow's caller in initialCallers.
func (f *fakeFlow) callerName() string {
	if f.key.Caller.Addr().As4()[1] == 2 {
		return "other"
	}
	return "villa"
}

func initialCallers() *pb.CallerList {
	return &pb.CallerList{Callers: []*pb.CallerEntry{
		{Name: "villa", Plan: "parana", Prefixes: []string{"10.1.0.0/16"}},
		{Name: "other", Plan: "other", Prefixes: []string{"10.2.0.0/16"}},
	}}
}

// unreachedLimit is a limit on concurrent flows or requests that the callers of a
// run never reach. The instances count under it nevertheless.
const unreachedLimit = 100_000

func initialPlans() *pb.PlanList {
	p := &pb.PlanList{}
	for _, name := range []string{"parana", "other"} {
		p.Plans = append(p.Plans, &pb.PlanEntry{Name: name, Uses: []*pb.PlanUse{
			{Service: "campo", Priority: 1, ConcurrentFlows: unreachedLimit, ConcurrentRequests: unreachedLimit}, {Service: "ordenes"}}})
	}
	for _, service := range services {
		s := &pb.ServiceEntry{Name: service}
		for _, dc := range dataCentres {
			site := &pb.ServiceSite{DataCentre: string(dc), Address: siteAddr(service, dc).String()}
			for n := 1; n <= serverCounts[service][dc]; n++ {
				site.Servers = append(site.Servers, serverEntry(service, dc, n))
			}
			s.Sites = append(s.Sites, site)
		}
		p.Services = append(p.Services, s)
	}
	return p
}

func serverEntry(service string, dc model.DataCentre, n int) *pb.ServerEntry {
	a := serverAddr(service, dc, n)
	return &pb.ServerEntry{Name: serverName(service, dc, n), Address: a.String(), Health: a.String(), Slots: serverSlots, Connections: 2000,
		ColdSlots: coldSlots, ColdOpeningsPerSecond: coldOpeningsPerSecond}
}

func (s *sim) addServer(service string, dc model.DataCentre, n int) *fakeServer {
	srv := &fakeServer{s: s, name: serverName(service, dc, n), service: service, dc: dc, addr: serverAddr(service, dc, n), alive: true,
		flows: map[wire.Flow]bool{}, runs: map[requestKey]int{}, idempotent: map[requestKey]bool{}}
	s.servers[srv.addr] = srv
	return srv
}

// setUp starts the instances, servers and callers, and submits the edit that
// loads the first lists.
func (s *sim) setUp() {
	for _, service := range services {
		for _, dc := range dataCentres {
			for n := 1; n <= serverCounts[service][dc]; n++ {
				s.addServer(service, dc, n)
			}
		}
	}
	for _, dc := range dataCentres {
		for n := 1; n <= instanceCounts[dc]; n++ {
			s.startInstance(model.InstanceID(fmt.Sprintf("%s%d", dc, n)), dc)
			s.instances[model.InstanceID(fmt.Sprintf("%s%d", dc, n))].listed = true
		}
	}
	s.after(500*time.Millisecond, func() {
		s.operator.submit(&edit{id: "first-lists", apply: func(*pb.PlanList, *pb.Marks) {}, inEffect: func(p *pb.PlanList, _ *pb.Marks) bool { return p != nil }})
	})
	for i := range 24 {
		s.addFlow(2*time.Second+time.Duration(i)*100*time.Millisecond, 0, s.callerDataCentre(i), s.siteDataCentre(i), services[i%2])
	}
	// Short flows open and close during the whole run.
	for i := range int((runDuration - 3*time.Second) / (200 * time.Millisecond)) {
		s.addFlow(3*time.Second+time.Duration(i)*200*time.Millisecond, s.jitter(time.Second, 4*time.Second), s.callerDataCentre(i), s.siteDataCentre(i), services[(i/2)%2])
	}
}

// callerDataCentre returns the data centre of caller i. Two thirds of the callers
// are in data centre a.
func (s *sim) callerDataCentre(i int) model.DataCentre {
	if i%3 != 2 {
		return "a"
	}
	return dataCentres[1+i/3%2]
}

// siteDataCentre returns the data centre of the service address that caller i
// uses. Every eighth flow uses an address of the next data centre, so that its
// packets are relayed.
func (s *sim) siteDataCentre(i int) model.DataCentre {
	dc := s.callerDataCentre(i)
	if i%8 == 7 {
		return dataCentres[(int(dc[0]-'a')+1)%len(dataCentres)]
	}
	return dc
}

// randomInstance returns a random instance of a data centre that is alive and not
// leaving, or nil if there is none.
func (s *sim) randomInstance(dc model.DataCentre) *simInstance {
	var live []*simInstance
	for _, id := range s.instanceIDs {
		if inst := s.instances[id]; inst.alive && !inst.leaving && inst.spec.DataCentre == dc {
			live = append(live, inst)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[s.rng.IntN(len(live))]
}

// publisher returns the instance that publishes the state of a data centre, or a
// random instance if none does.
func (s *sim) publisher(dc model.DataCentre) *simInstance {
	for _, id := range s.instanceIDs {
		if inst := s.instances[id]; inst.alive && !inst.frozen && inst.spec.DataCentre == dc && inst.impl.Publishing(s.now) {
			return inst
		}
	}
	return s.randomInstance(dc)
}

// completeTarget replaces an instance that is missing or not alive, and a server
// that is missing or not in data centre a, by random ones.
func (s *sim) completeTarget(target faultTarget) faultTarget {
	if inst := s.instances[target.instance]; inst == nil || !inst.alive {
		if inst := s.randomInstance("a"); inst != nil {
			target.instance = inst.spec.ID
		}
	}
	if srv := s.servers[target.server]; srv == nil || srv.dc != "a" {
		target.server = serverAddr("campo", "a", 1+s.rng.IntN(3))
	}
	return target
}

// findSite returns the site of a service in a data centre, or an empty one.
func findSite(p *pb.PlanList, service, dc string) *pb.ServiceSite {
	for _, s := range p.GetServices() {
		for _, site := range s.GetSites() {
			if s.GetName() == service && site.GetDataCentre() == dc {
				return site
			}
		}
	}
	return &pb.ServiceSite{}
}

// findServer returns the entry of a server, or an empty one.
func findServer(p *pb.PlanList, name string) *pb.ServerEntry {
	for _, s := range p.GetServices() {
		for _, site := range s.GetSites() {
			for _, srv := range site.GetServers() {
				if srv.GetName() == name {
					return srv
				}
			}
		}
	}
	return &pb.ServerEntry{}
}

func (s *sim) drainEdit(srv *fakeServer) *edit {
	return &edit{id: "drain-" + srv.name,
		apply:      func(p *pb.PlanList, _ *pb.Marks) { findServer(p, srv.name).Drain = true },
		inEffect:   func(p *pb.PlanList, _ *pb.Marks) bool { return findServer(p, srv.name).GetDrain() },
		onAccepted: func() { s.observer.drainingSince[srv.name] = s.now }}
}

// addServerEdit starts a cold server in data centre a and returns an edit that
// adds it to a service.
func (s *sim) addServerEdit(service string, n int) *edit {
	srv := s.addServer(service, "a", n)
	srv.goCold(false)
	return &edit{id: "add-" + srv.name,
		apply: func(p *pb.PlanList, _ *pb.Marks) {
			if findServer(p, srv.name).GetName() == "" {
				site := findSite(p, service, "a")
				site.Servers = append(site.Servers, serverEntry(service, "a", n))
			}
		},
		inEffect: func(p *pb.PlanList, _ *pb.Marks) bool { return findServer(p, srv.name).GetName() != "" }}
}

// revokeServiceEdit returns an edit that removes the service ordenes from the
// plan of the caller "other".
func (s *sim) revokeServiceEdit() *edit {
	planOf := func(p *pb.PlanList) *pb.PlanEntry {
		for _, e := range p.GetPlans() {
			if e.GetName() == "other" {
				return e
			}
		}
		return &pb.PlanEntry{}
	}
	return &edit{id: "bar-other",
		apply:      func(p *pb.PlanList, _ *pb.Marks) { planOf(p).Uses = []*pb.PlanUse{{Service: "campo", Priority: 1}} },
		inEffect:   func(p *pb.PlanList, _ *pb.Marks) bool { return len(planOf(p).GetUses()) == 1 },
		onAccepted: func() { s.observer.revokedSince["other ordenes"] = s.now }}
}

// moveServerEdit returns an edit that moves the server campo-a3 to the service
// ordenes.
func (s *sim) moveServerEdit() *edit {
	name := serverName("campo", "a", 3)
	s.observer.movedServers[name] = true
	return &edit{id: "move-" + name,
		apply: func(p *pb.PlanList, _ *pb.Marks) {
			from, to := findSite(p, "campo", "a"), findSite(p, "ordenes", "a")
			for i, srv := range from.GetServers() {
				if srv.GetName() == name {
					from.Servers = append(from.Servers[:i], from.Servers[i+1:]...)
					to.Servers = append(to.Servers, srv)
					return
				}
			}
		},
		inEffect: func(p *pb.PlanList, _ *pb.Marks) bool {
			for _, srv := range findSite(p, "ordenes", "a").GetServers() {
				if srv.GetName() == name {
					return true
				}
			}
			return false
		}}
}

// dataCentreOutEdit returns an edit that takes data centre a out of service, or
// returns it to service.
func (s *sim) dataCentreOutEdit(out bool) *edit {
	if out {
		s.observer.everOut["a"] = true
		return &edit{id: "out-a",
			apply:      func(_ *pb.PlanList, m *pb.Marks) { m.DataCentresOut = []string{"a"} },
			inEffect:   func(_ *pb.PlanList, m *pb.Marks) bool { return len(m.GetDataCentresOut()) == 1 },
			onAccepted: func() { s.observer.outSince["a"] = s.now }}
	}
	return &edit{id: "back-a",
		apply:    func(_ *pb.PlanList, m *pb.Marks) { m.DataCentresOut = nil },
		inEffect: func(_ *pb.PlanList, m *pb.Marks) bool { return len(m.GetDataCentresOut()) == 0 }}
}
