package membership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// checkSingleFirstState returns an onPublish callback that fails the test when an
// instance without any state publishes a first one although another instance
// holds a state and has been running for long enough to be heard.
func checkSingleFirstState(t *rapid.T, c *cluster) func(n *testInstance, old, next *dcstate.State) {
	return func(n *testInstance, old, _ *dcstate.State) {
		if old.Version.Generation != 0 {
			return
		}
		for _, other := range c.instances {
			heard := c.now.Sub(other.wokeAt) > membership.DefaultDeadAfter
			if other != n && !other.dead && !other.frozen && heard && len(other.appliedVersions) > 0 {
				t.Fatalf("%s publishes a first state, but %s already holds %v", n.id, other.id, other.m.State().Version)
			}
		}
	}
}

// checkVersionInForce fails the test when a publisher considers a configuration
// version in force that a running member of its view does not hold.
func checkVersionInForce(t *rapid.T, c *cluster) {
	for _, id := range c.publishers() {
		p := c.instances[id]
		configVersion := p.m.InForceVersion(c.now)
		for _, member := range p.m.State().Members {
			n := c.instances[member.Instance]
			if !n.dead && !n.frozen && n.m.Incarnation() == member.Incarnation && n.configVersion < configVersion {
				t.Fatalf("%s considers version %d in force, but %s holds %d", id, configVersion, n.id, n.configVersion)
			}
		}
	}
}

// Guards against sequences of faults after which an instance applies an older
// state, an instance publishes a first state although others hold one, a
// configuration version is considered in force too early, or there is not
// exactly one publisher.
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
		c.onPublish = checkSingleFirstState(t, c)
		run := func(d time.Duration) {
			for end := c.now.Add(d); c.now.Before(end); {
				c.run(tickStep)
				checkVersionInForce(t, c)
			}
		}
		run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			victim := c.instances[instanceID(rapid.IntRange(0, n-1).Draw(t, "instance"))]
			switch op := rapid.SampledFrom([]string{"kill", "freeze", "wake", "start", "leave", "edit", "cut", "mend", "wait"}).Draw(t, "op"); op {
			case "kill":
				victim.dead = true
			case "freeze":
				victim.frozen = true
			case "wake":
				victim.wakeUp(c.now)
			case "start":
				c.start(victim.id)
				c.setInstanceLists()
			case "leave":
				if !victim.dead && !victim.frozen {
					c.send(victim, victim.m.Leave(c.now))
					victim.exitAt = c.now.Add(3 * time.Second)
				}
			case "edit":
				c.configVersion++
			case "cut":
				// State updates to the instance are lost; heartbeats arrive.
				cut[victim.id] = true
			case "mend":
				clear(cut)
			}
			run(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * tickStep)
		}
		checkRecovery(t, c, run)
		for _, n := range c.instances {
			for i := 1; i < len(n.appliedVersions); i++ {
				if !n.appliedVersions[i-1].Less(n.appliedVersions[i]) {
					t.Fatalf("%s went from %v to %v", n.id, n.appliedVersions[i-1], n.appliedVersions[i])
				}
			}
		}
	})
}

// checkRecovery resumes all frozen instances and checks that afterwards there is
// one publisher and all live instances are in its view and unfenced.
func checkRecovery(t *rapid.T, c *cluster, run func(time.Duration)) {
	live := 0
	for _, n := range c.instances {
		n.wakeUp(c.now)
		if !n.dead && n.exitAt.IsZero() {
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
		for _, n := range c.instances {
			t.Logf("%s: dead %v, state %v of %v, %s", n.id, n.dead, n.m.State().Version, n.m.State().Members, n.m.Describe(c.now))
		}
		t.Fatalf("publishers %v of %d live instances", p, live)
	}
	for _, n := range c.instances {
		if !n.dead && (n.m.Fenced(c.now) || len(n.m.State().Members) != live) {
			t.Fatalf("%s: fenced %v, %d members of %d", n.id, n.m.Fenced(c.now), len(n.m.State().Members), live)
		}
	}
}
