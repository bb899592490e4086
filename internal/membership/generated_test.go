package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// sampled is the distance of the buckets that the flow model follows.
const sampled = 128

var campo = model.NewServiceID("campo")

// flows models which servers hold flows of each followed bucket, and which runs
// of instances have pins of them. Instances open flows as their state and
// fencing allow; those that resolve unknown flows get pins of the others'. A
// flow is lost, rightly, when all runs that had its pin are dead.
type flows struct {
	c    *cluster
	held map[int]map[model.ServerID]map[*node]bool
	// split is set when an instance started from nothing while all that hold a
	// state are frozen. Their flows and the new ones then contradict each
	// other, and the flows are not checked any more.
	split bool
	// violation describes the first one found.
	violation string
}

func (f *flows) add(i int, server model.ServerID, n *node) {
	if f.held[i] == nil {
		f.held[i] = map[model.ServerID]map[*node]bool{}
	}
	if f.held[i][server] == nil {
		f.held[i][server] = map[*node]bool{}
	}
	f.held[i][server][n] = true
}

// bury removes the pins of dead runs.
func (f *flows) bury() {
	for _, servers := range f.held {
		for server, holders := range servers {
			for n := range holders {
				if n.dead {
					delete(holders, n)
				}
			}
			if len(holders) == 0 {
				delete(servers, server)
			}
		}
	}
}

// published notices a start from nothing. It is right only when no other run
// that holds a state has been awake for long enough to be heard; the knowledge of the flows is then lost (there
// is no disk), and the model starts anew.
func (f *flows) published(n *node, old, _ *dcstate.State) {
	if old.Version.Generation != 0 {
		return
	}
	for _, other := range f.c.nodes {
		heard := f.c.now.Sub(other.wokeAt) > membership.DefaultDeadAfter
		if other != n && !other.dead && !other.frozen && heard && len(other.history) > 0 {
			f.violation = fmt.Sprintf("%s starts from nothing, but %s holds %v", n.id, other.id, other.m.State().Version)
		}
	}
	for _, other := range f.c.nodes {
		f.split = f.split || (other != n && !other.dead && len(other.history) > 0)
	}
	clear(f.held)
}

// open lets each instance open flows as its state says.
func (f *flows) open() {
	f.bury()
	for _, id := range f.c.ids {
		n := f.c.nodes[id]
		if n.dead || n.frozen || n.m.Fenced(f.c.now) {
			continue
		}
		s := n.m.State()
		for i := 0; i < len(s.Services[campo]); i += sampled {
			b := s.Services[campo][i]
			for server := range f.held[i] {
				if b.Questionable() || server == b.Base {
					f.add(i, server, n)
				}
			}
			if !b.OpensDirectly() {
				if owner, _ := s.Owner(campo, i); owner != n.id {
					continue
				}
			}
			f.add(i, b.OpeningServer(), n)
		}
	}
}

// check finds instances that would send packets of flows of a bucket to its
// base server although the bucket has flows at another one.
func (f *flows) check() {
	for _, id := range f.c.ids {
		n := f.c.nodes[id]
		if n.dead || n.m.Fenced(f.c.now) {
			continue
		}
		buckets := n.m.State().Services[campo]
		for i := 0; i < len(buckets); i += sampled {
			if buckets[i].Questionable() || n.frozen || f.split {
				continue
			}
			for server := range f.held[i] {
				if server != buckets[i].Base && f.violation == "" {
					f.violation = fmt.Sprintf("%v: %s takes bucket %d as stable at %x (state %v), but it has flows at %x",
						f.c.now.Sub(epoch), n.id, i, buckets[i].Base, n.m.State().Version, server)
				}
			}
		}
	}
}

// expire ends the old flows of a bucket that is being moved.
func (f *flows) expire(s *dcstate.State) {
	for i, servers := range f.held {
		b := s.Services[campo][i]
		for server := range servers {
			if server != b.Base && server != b.Next {
				delete(servers, server)
			}
		}
	}
}

// owned returns the buckets that an instance may report as empty.
func (f *flows) owned(n *node) []*pb.OwnedBuckets {
	s := n.m.State()
	out := &pb.OwnedBuckets{Service: uint64(campo)}
	for i, b := range s.Services[campo] {
		if b.Phase != dcstate.Mixed {
			continue
		}
		if owner, _ := s.Owner(campo, i); owner != n.id {
			continue
		}
		elsewhere := 0
		for server := range f.held[i] {
			if server != b.Base {
				elsewhere++
			}
		}
		if elsewhere == 0 {
			out.Empty = append(out.Empty, uint32(i))
		}
	}
	return []*pb.OwnedBuckets{out}
}

// Guards against any order of faults after which an unfenced instance sends a
// flow to a server other than its own, a state goes back, or no publisher
// serves. Servers drain in turn, so that buckets are moved all the time.
func TestGeneratedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "instances")
		seed := rapid.Uint64().Draw(t, "network")
		loss := rapid.IntRange(0, 15).Draw(t, "loss")
		c := newCluster(n)
		random := func(limit int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int((seed >> 33) % uint64(limit))
		}
		cut := map[model.InstanceID]bool{}
		c.drop = func(e envelope) bool {
			return random(100) < loss || (cut[e.to] && e.body.GetStateUpdate() != nil)
		}
		c.delay = func() time.Duration { return time.Duration(1+random(200)) * time.Millisecond }
		f := &flows{c: c, held: map[int]map[model.ServerID]map[*node]bool{}}
		c.owned, c.published = f.owned, f.published
		c.drain(-1)
		run := func(d time.Duration) {
			for end := c.now.Add(d); c.now.Before(end); {
				c.run(step)
				f.open()
				f.check()
				if f.violation != "" {
					t.Fatal(f.violation)
				}
			}
		}
		run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			victim := c.nodes[name(rapid.IntRange(0, n-1).Draw(t, "instance"))]
			switch op := rapid.SampledFrom([]string{"kill", "freeze", "wake", "start", "leave", "drain", "expire", "cut", "mend", "wait"}).Draw(t, "op"); op {
			case "kill":
				victim.dead = true
			case "freeze":
				victim.frozen = true
			case "wake":
				victim.wake(c.now)
			case "start":
				c.start(victim.id)
				c.list()
			case "leave":
				if !victim.dead && !victim.frozen {
					c.send(victim, victim.m.Leave(c.now))
					victim.leaveAt = c.now.Add(3 * time.Second)
				}
			case "drain":
				c.drain(rapid.IntRange(-1, 3).Draw(t, "server"))
			case "cut":
				// Updates to the instance get lost; heartbeats pass.
				cut[victim.id] = true
			case "mend":
				clear(cut)
			case "expire":
				if p := c.publishers(); len(p) == 1 {
					f.expire(c.nodes[p[0]].m.State())
				}
			}
			run(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * step)
		}
		checkRecovery(t, c, run)
		for _, n := range c.nodes {
			for i := 1; i < len(n.history); i++ {
				if !n.history[i-1].Less(n.history[i]) {
					t.Fatalf("%s went from %v to %v", n.id, n.history[i-1], n.history[i])
				}
			}
		}
	})
}

// checkRecovery lets all frozen instances wake, and checks that one publisher
// serves all live instances afterwards.
func checkRecovery(t *rapid.T, c *cluster, run func(time.Duration)) {
	live := 0
	for _, n := range c.nodes {
		n.wake(c.now)
		if !n.dead && n.leaveAt.IsZero() {
			live++
		}
	}
	c.drop = nil
	run(12 * time.Second)
	if live == 0 {
		return
	}
	p := c.publishers()
	if len(p) != 1 {
		for _, n := range c.nodes {
			t.Logf("%s: dead %v, state %v of %v, %s", n.id, n.dead, n.m.State().Version, n.m.State().Members, n.m.Describe(c.now))
		}
		t.Fatalf("publishers %v of %d live instances", p, live)
	}
	for _, n := range c.nodes {
		if !n.dead && (n.m.Fenced(c.now) || len(n.m.State().Members) != live) {
			t.Fatalf("%s: fenced %v, %d members of %d", n.id, n.m.Fenced(c.now), len(n.m.State().Members), live)
		}
	}
}
