package membership_test

import (
	"slices"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// checkSettled checks that there is one publisher, that no live instance is
// fenced and that each has a view of live members. It returns the publisher.
func (c *cluster) checkSettled(t *testing.T, live int) model.InstanceID {
	t.Helper()
	p := c.publishers()
	if len(p) != 1 {
		t.Fatalf("publishers %v, want one", p)
	}
	for _, id := range c.ids {
		n := c.instances[id]
		if n.dead || n.frozen {
			continue
		}
		if n.m.Fenced(c.now) {
			t.Errorf("%s is fenced (state %v)", id, n.m.State().Version)
		}
		if got := len(n.m.State().Members); got != live {
			t.Errorf("%s: view of %d members, want %d", id, got, live)
		}
	}
	return p[0]
}

// Guards against several publishers or fenced instances after all instances
// have started without any state.
func TestStartElectsOnePublisher(t *testing.T) {
	for _, n := range []int{1, 2, 4, 16, 17, 60} {
		c := newCluster(n)
		c.run(4 * time.Second)
		c.checkSettled(t, n)
	}
}

// Guards against a dead publisher that is not replaced or stays in the view.
func TestPublisherDeath(t *testing.T) {
	for _, n := range []int{4, 40} {
		c := newCluster(n)
		c.run(4 * time.Second)
		p := c.checkSettled(t, n)
		before := c.instances[p].m.State().Version
		c.instances[p].dead = true
		c.run(2 * time.Second)
		q := c.checkSettled(t, n-1)
		if v := c.instances[q].m.State().Version; !before.Less(v) {
			t.Errorf("version %v is not newer than %v", v, before)
		}
		if _, ok := c.instances[q].m.State().Member(p); ok {
			t.Errorf("%s is still in the view", p)
		}
	}
}

// Guards against a data centre that stays without a publisher after the
// publisher and all its successors die together, as when a rack fails.
func TestPublisherAndSuccessorsDie(t *testing.T) {
	c := newCluster(40)
	c.run(4 * time.Second)
	p := c.checkSettled(t, 40)
	for _, id := range c.instances[p].m.Ranking()[:6] {
		c.instances[id].dead = true
	}
	c.run(6 * time.Second)
	c.checkSettled(t, 34)
}

// Guards against an instance that resumes after a freeze and decides by its
// outdated state, and against a publisher that resumes and publishes a state
// based on it.
func TestFrozenInstanceWakesFenced(t *testing.T) {
	for _, freezePublisher := range []bool{true, false} {
		c := newCluster(5)
		c.run(4 * time.Second)
		victim := c.checkSettled(t, 5)
		if !freezePublisher {
			victim = c.instances[victim].m.Ranking()[3]
		}
		n := c.instances[victim]
		n.frozen = true
		c.run(3 * time.Second)
		old := n.m.State().Version
		n.frozen = false
		if !n.m.Fenced(c.now) || n.m.Publishing(c.now) {
			t.Fatalf("%s: fenced %v, publishing %v right after resuming", victim, n.m.Fenced(c.now), n.m.Publishing(c.now))
		}
		for n.m.Fenced(c.now) {
			if c.now.Sub(epoch) > 20*time.Second {
				t.Fatalf("%s has not caught up 20 s after the start", victim)
			}
			c.run(tickStep)
		}
		if n.m.State().Version == old {
			t.Fatalf("%s stops being fenced with its old state", victim)
		}
		c.run(4 * time.Second)
		c.checkSettled(t, 5)
	}
}

// Guards against two instances that resume after a freeze and each wait for the
// other: the higher-ranked one for the former publisher to yield, the former
// publisher for the higher-ranked one to take over.
func TestPublisherFreezesAfterTakeover(t *testing.T) {
	c := newCluster(2)
	c.run(4 * time.Second)
	first := c.instances[c.checkSettled(t, 2)]
	second := c.instances[first.m.Ranking()[1]]
	first.frozen = true
	c.run(4 * time.Second)
	first.wakeUp(c.now)
	for len(second.m.State().Members) < 2 {
		c.run(tickStep)
	}
	first.frozen, second.frozen = true, true
	c.run(3 * time.Second)
	first.wakeUp(c.now)
	second.wakeUp(c.now)
	c.run(4 * time.Second)
	c.checkSettled(t, 2)
}

// Guards against a restarted instance that is mistaken for its earlier run. The
// earlier run must count as dead; the new one must stay fenced until the view
// contains its incarnation.
func TestRestart(t *testing.T) {
	for _, restartPublisher := range []bool{true, false} {
		c := newCluster(5)
		c.run(4 * time.Second)
		victim := c.checkSettled(t, 5)
		if !restartPublisher {
			victim = c.instances[victim].m.Ranking()[2]
		}
		old := c.instances[victim]
		other := c.instances[old.m.Ranking()[1]]
		n := c.start(victim)
		c.setInstanceLists()
		// A heartbeat of the earlier run arrives late.
		other.m.Heartbeat(c.now, victim, n.m.Incarnation(), n.m.OwnHeartbeat(c.now))
		other.m.Heartbeat(c.now, victim, old.m.Incarnation(), old.m.OwnHeartbeat(c.now))
		if got := other.m.IncarnationOf(victim); got != n.m.Incarnation() {
			t.Fatalf("incarnation %d, want that of the new run", got)
		}
		if !n.m.Fenced(c.now) {
			t.Fatal("restarted instance is not fenced")
		}
		for range 500 {
			c.run(tickStep)
			if p := c.publishers(); len(p) > 1 {
				t.Fatalf("publishers %v, want at most one", p)
			}
			if member, _ := n.m.State().Member(victim); !n.m.Fenced(c.now) && member.Incarnation != n.m.Incarnation() {
				t.Fatal("the new run stops being fenced before the view contains it")
			}
		}
		p := c.checkSettled(t, 5)
		member, _ := c.instances[p].m.State().Member(victim)
		if member.Incarnation != n.m.Incarnation() {
			t.Errorf("view contains incarnation %d, want %d", member.Incarnation, n.m.Incarnation())
		}
		if seen, _ := other.m.State().Member(victim); seen.Incarnation == old.m.Incarnation() {
			t.Errorf("%s still has the earlier run of %s in its view", other.id, victim)
		}
	}
}

// Guards against a late acknowledgement that extends the lease from its arrival
// instead of from the sending of its heartbeat, and against an acknowledgement
// to an earlier run that extends the lease of the new one.
func TestAckExtendsLeaseFromSending(t *testing.T) {
	c := newCluster(2)
	c.run(3 * time.Second)
	p := c.checkSettled(t, 2)
	n := c.instances[c.instances[p].m.Ranking()[1]]
	late := c.now.Add(5 * time.Second)
	n.m.HeartbeatAck(late, p, &pb.HeartbeatAck{
		SentMs: uint64(late.Sub(epoch).Milliseconds()) - 550, Publisher: string(p),
		Generation: n.m.State().Version.Generation, Incarnation: n.m.Incarnation(),
	})
	if n.m.Fenced(late) || !n.m.Fenced(late.Add(100*time.Millisecond)) {
		t.Error("lease does not end 600 ms after the heartbeat was sent")
	}
	old := n.m.Incarnation()
	n = c.start(n.id)
	n.m.HeartbeatAck(c.now.Add(100*time.Millisecond), p, &pb.HeartbeatAck{SentMs: 50, Generation: 1, Publisher: string(p), Incarnation: old})
	if n.m.HasLease() {
		t.Error("an acknowledgement to the earlier run extends the lease")
	}
}

// Guards against a planned leave that interrupts publishing, that counts as a
// failure, or after which the instance stays an owner.
func TestPlannedLeave(t *testing.T) {
	for _, leavePublisher := range []bool{true, false} {
		c := newCluster(5)
		c.run(4 * time.Second)
		victim := c.checkSettled(t, 5)
		if !leavePublisher {
			victim = c.instances[victim].m.Ranking()[4]
		}
		n := c.instances[victim]
		c.send(n, n.m.Leave(c.now))
		for range 40 {
			c.run(50 * time.Millisecond)
			for _, other := range c.instances {
				if other.m.Fenced(c.now) {
					t.Fatalf("%s is fenced during a planned leave", other.id)
				}
			}
		}
		if !n.m.LeaveInView() {
			t.Fatal("leave is not in the view")
		}
		if p := c.publishers(); len(p) != 1 || p[0] == victim {
			t.Fatalf("publishers %v, want one other than the leaving instance", p)
		}
		n.dead = true
		c.run(2 * time.Second)
		p := c.checkSettled(t, 4)
		if _, ok := c.instances[p].m.State().Member(victim); ok {
			t.Errorf("%s is still in the view after its leave", victim)
		}
	}
}

// Guards against an interruption when an instance joins that ranks above the
// publisher: meanwhile no instance may be fenced or drop out of the view.
func TestHigherRankJoins(t *testing.T) {
	for _, n := range []int{4, 39} {
		c := newCluster(n + 1)
		first := c.instances[instanceID(0)].m.Ranking()[0]
		c.instances[first].dead = true
		c.run(4 * time.Second)
		p := c.checkSettled(t, n)
		c.start(first)
		c.setInstanceLists()
		for range 100 {
			c.run(50 * time.Millisecond)
			for _, other := range c.instances {
				if other.id != first && other.m.Fenced(c.now) {
					t.Fatalf("%s is fenced while %s takes over from %s", other.id, first, p)
				}
				if members := other.m.State().Members; other.id != first && len(members) < n {
					t.Fatalf("%s has lost a member: %v", other.id, members)
				}
			}
			if p := c.publishers(); len(p) > 1 {
				t.Fatalf("publishers %v, want at most one", p)
			}
		}
		if got := c.checkSettled(t, n+1); got != first {
			t.Errorf("publisher %s, want %s", got, first)
		}
	}
}

// Guards against ownership by instances that operators marked out.
func TestMarkedOutInstanceOwnsNothing(t *testing.T) {
	c := newCluster(3)
	c.run(3 * time.Second)
	p := c.instances[c.checkSettled(t, 3)]
	out := p.m.Ranking()[1]
	p.m.Tick(c.now, membership.LocalStatus{Ready: true, InstancesOut: map[model.InstanceID]bool{out: true}})
	for _, member := range p.m.View(c.now) {
		leaving := member.State == pb.InstanceState_INSTANCE_STATE_LEAVING
		if leaving != (member.Instance == out) {
			t.Errorf("%s is shown as %v", member.Instance, member.State)
		}
	}
}

// Guards against two halves of a data centre that do not merge again after a
// partition, and against an instance that applies an older version meanwhile.
func TestPartitionHeals(t *testing.T) {
	for _, n := range []int{6, 24} {
		c := newCluster(n)
		c.run(4 * time.Second)
		c.checkSettled(t, n)
		side := func(id model.InstanceID) bool { return id[3]%2 == 0 }
		c.drop = func(e envelope) bool { return side(e.from) != side(e.to) }
		c.run(8 * time.Second)
		if p := c.publishers(); len(p) != 2 {
			t.Fatalf("publishers %v in a partition, want one per side", p)
		}
		c.drop = nil
		c.run(10 * time.Second)
		c.checkSettled(t, n)
		for _, instance := range c.instances {
			for i := 1; i < len(instance.appliedVersions); i++ {
				if !instance.appliedVersions[i-1].Less(instance.appliedVersions[i]) {
					t.Errorf("%s went from %v to %v", instance.id, instance.appliedVersions[i-1], instance.appliedVersions[i])
				}
			}
		}
	}
}

// Guards against control traffic per instance that grows with the data centre:
// above FullMeshLimit an ordinary instance sends 5 heartbeats per interval.
func TestHeartbeatFanOut(t *testing.T) {
	c := newCluster(60)
	c.run(4 * time.Second)
	p := c.checkSettled(t, 60)
	c.sent = map[model.InstanceID]int{}
	c.run(2 * time.Second)
	for id, n := range c.sent {
		if rank := slices.Index(c.instances[p].m.Ranking(), id); rank > 4 && n > 5*10 {
			t.Errorf("%s (rank %d) sent %d messages in 2 s, want at most 50", id, rank, n)
		}
	}
}

// Guards against a changed condition that is reported after routine reports,
// and against servers that are never reported.
func TestReportQueue(t *testing.T) {
	q := membership.NewReportQueue()
	var all []*pb.ServerReport
	for i := range 100 {
		all = append(all, &pb.ServerReport{Server: uint64(i + 1), Condition: pb.ServerCondition_SERVER_CONDITION_HEALTHY})
	}
	seen := map[uint64]bool{}
	for range 13 {
		for _, r := range q.Next(all, 8) {
			seen[r.GetServer()] = true
		}
	}
	if len(seen) != 100 {
		t.Errorf("%d servers reported in 13 heartbeats, want 100", len(seen))
	}
	all[60] = &pb.ServerReport{Server: 61, Condition: pb.ServerCondition_SERVER_CONDITION_COLD}
	if r := q.Next(all, 8); r[0].GetServer() != 61 {
		t.Errorf("first report is of server %d, want 61", r[0].GetServer())
	}
	if r := q.Next(all, 8); r[0].GetServer() == 61 {
		t.Error("condition reported as changed twice")
	}
}
