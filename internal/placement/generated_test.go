package placement

import (
	"testing"

	"pgregory.net/rapid"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// Guards against any order of catalog edits, server conditions, lagging or dead
// instances and publisher changes after which a bucket changes its servers in a
// way that loses flows (fleet.check), an address is in two services, an update
// does not apply, or a drained server keeps openings when all is quiet again.
func TestGeneratedDecisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, 5, catalog(1, 6, 3))
		drained, shared := -1, -1
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			instance := f.in.View[rapid.IntRange(0, len(f.in.View)-1).Draw(rt, "instance")].Instance
			server := rapid.IntRange(0, 5).Draw(rt, "server")
			switch rapid.SampledFrom([]string{"drain", "move", "lag", "catch up", "die", "succeed", "report", "empty", "wait"}).Draw(rt, "op") {
			case "drain":
				drained = server
				f.edit(drained, shared)
			case "move":
				shared = rapid.IntRange(-1, 1).Draw(rt, "service")
				f.edit(drained, shared)
			case "lag":
				f.lag[instance] = true
			case "catch up":
				clear(f.lag)
			case "die":
				f.die(instance)
			case "succeed":
				f.p = NewPublisher(Config{Self: instance, DataCentre: testDC})
			case "report":
				c := pb.ServerCondition(rapid.IntRange(1, 5).Draw(rt, "condition"))
				f.report(f.site(0).Servers[min(server, len(f.site(0).Servers)-1)].ID, c, int64(server)*100, 20)
			case "empty":
				f.empty()
			}
			f.steps(rapid.IntRange(1, 40).Draw(rt, "pause"))
			f.checkAddresses()
			if t.Failed() {
				rt.FailNow()
			}
		}
		f.quiet(rt)
	})
}

// edit makes a catalog in which a server of the first service drains, and one
// address belongs to the first or the second service.
func (f *fleet) edit(drained, shared int) {
	c := catalog(f.in.Catalog.Version+1, 6, 3)
	f.in.Catalog = c
	if drained >= 0 {
		f.site(0).Servers[drained].Drain = true
	}
	if shared >= 0 {
		addServer(f.site(shared), "shared", address(9, 9))
	}
	index(c)
}

// die removes an instance; the next one publishes when it was the publisher.
func (f *fleet) die(id model.InstanceID) {
	if len(f.in.View) == 1 {
		return
	}
	var view []dcstate.Member
	var confirmations []membership.Confirmation
	for i, m := range f.in.View {
		if m.Instance != id {
			view, confirmations = append(view, m), append(confirmations, f.in.Confirmations[i])
		}
	}
	f.in.View, f.in.Confirmations = view, confirmations
	f.in.UnplannedDeaths = append(f.in.UnplannedDeaths, membership.Death{Instance: id, At: f.now})
	if f.p.cfg.Self == id {
		f.p = NewPublisher(Config{Self: view[0].Instance, DataCentre: testDC})
	}
}

// empty lets the owners of all MIXED buckets report that no flow is left.
func (f *fleet) empty() {
	for service, buckets := range f.s.Services {
		for i, b := range buckets {
			if b.Phase == dcstate.Mixed {
				owner, _ := f.s.Owner(service, i)
				f.in.Empty = append(f.in.Empty, EmptyBuckets{Owner: owner, Confirmed: f.s.Version, Service: service, Buckets: []uint32{uint32(i)}})
			}
		}
	}
}

// checkAddresses asserts that the shared address is in one service at most.
func (f *fleet) checkAddresses() {
	users := map[model.ServiceID]bool{}
	for k := range 2 {
		id := model.NewServerID(serviceName(k), "shared")
		for service, buckets := range f.s.Services {
			for _, b := range buckets {
				if b.Base == id || b.Next == id {
					users[service] = true
				}
			}
		}
	}
	if len(users) > 1 {
		f.t.Error("address is in two services")
	}
}

// quiet ends all faults and checks what must then come about.
func (f *fleet) quiet(rt *rapid.T) {
	clear(f.lag)
	for _, s := range f.in.Catalog.Servers {
		f.report(s.ID, pb.ServerCondition_SERVER_CONDITION_HEALTHY, 100, 20)
	}
	f.in.UnplannedDeaths = nil
	for range 30 {
		f.steps(100)
		f.empty()
	}
	f.steps(2)
	for k := range 2 {
		if p := f.phases(k); p[dcstate.Stable] != 1024 {
			rt.Fatalf("service %d: phases %v when all is quiet", k, p)
		}
	}
	counts := f.counts(0)
	for _, s := range f.site(0).Servers {
		if n := counts[s.ID]; s.Drain == (n > 0) {
			rt.Fatalf("server %s (drain %v) has %d buckets", s.Name, s.Drain, n)
		}
	}
}
