package membership

import (
	"testing"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// node is one instance of the test cluster.
type node struct {
	id      model.InstanceID
	m       *Membership
	ready   bool
	frozen  bool
	dead    bool
	history []dcstate.Version
}

type envelope struct {
	at          time.Time
	from, to    model.InstanceID
	incarnation uint64
	body        *pb.PeerMessage
}

// cluster runs instances over a fake network with a fixed delay. The
// publisher's decision is reduced to publishing its view.
type cluster struct {
	now    time.Time
	nodes  map[model.InstanceID]*node
	ids    []model.InstanceID
	net    []envelope
	states map[dcstate.Version]*dcstate.State
	drop   func(e envelope) bool
	delay  func(e envelope) time.Duration
	bytes  int
	sent   map[model.InstanceID]int
}

var epoch = time.Unix(1_700_000_000, 0)

func newCluster(n int) *cluster {
	c := &cluster{now: epoch, nodes: map[model.InstanceID]*node{}, states: map[dcstate.Version]*dcstate.State{}, sent: map[model.InstanceID]int{}}
	for i := range n {
		c.start(name(i))
	}
	c.list()
	return c
}

func name(i int) model.InstanceID {
	return model.InstanceID([]byte{'i', byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
}

func (c *cluster) start(id model.InstanceID) *node {
	if c.nodes[id] == nil {
		c.ids = append(c.ids, id)
	}
	n := &node{id: id, ready: true, m: New(Config{Self: id, Incarnation: uint64(c.now.UnixNano()), Started: c.now, FlowIdleTimeout: 30 * time.Second})}
	c.nodes[id] = n
	return n
}

func (c *cluster) list() {
	var list []Listed
	for _, id := range c.ids {
		list = append(list, Listed{Instance: id})
	}
	for _, n := range c.nodes {
		n.m.SetInstanceList(c.now, list)
	}
}

func (c *cluster) send(from *node, messages []peer.Message) {
	for _, msg := range messages {
		e := envelope{c.now, from.id, msg.To, from.m.cfg.Incarnation, msg.Body}
		if msg.To != from.id {
			c.sent[from.id]++
		}
		if c.drop != nil && c.drop(e) {
			continue
		}
		d := 5 * time.Millisecond
		if c.delay != nil {
			d = c.delay(e)
		}
		e.at = c.now.Add(d)
		c.net = append(c.net, e)
	}
}

// run advances the cluster in steps of 10 ms.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(10 * time.Millisecond)
		c.deliver()
		if c.now.UnixMilli()%200 == 0 {
			for _, id := range c.ids {
				c.tick(c.nodes[id])
			}
		}
	}
}

func (c *cluster) tick(n *node) {
	if n.dead || n.frozen {
		return
	}
	c.send(n, n.m.Tick(c.now, Local{Ready: n.ready, Confirmed: n.m.state.Version, ConfigVersion: 1}))
	c.publish(n)
}

func (c *cluster) publish(n *node) {
	if !n.m.Publishing(c.now) {
		return
	}
	view := n.m.View(c.now)
	s := n.m.state
	if s.Version.Publisher == n.id && len(view) == len(s.Members) {
		same := true
		for i := range view {
			same = same && view[i] == s.Members[i]
		}
		if same {
			return
		}
	}
	v := dcstate.Version{Generation: n.m.Newest(c.now).Generation + 1, Publisher: n.id}
	next := dcstate.New(v, view, nil)
	c.states[v] = next
	n.apply(c, next)
	for _, to := range n.m.Recipients(c.now) {
		c.send(n, []peer.Message{{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: next.Full()}}}})
	}
}

func (n *node) apply(c *cluster, s *dcstate.State) {
	n.history = append(n.history, s.Version)
	n.m.Applied(c.now, s)
}

func (c *cluster) deliver() {
	pending := c.net
	c.net = nil
	for _, e := range pending {
		if e.at.After(c.now) {
			c.net = append(c.net, e)
			continue
		}
		n := c.nodes[e.to]
		switch {
		case n == nil || n.dead:
		case n.frozen:
			c.net = append(c.net, e)
		default:
			c.handle(n, e)
		}
	}
}

func (c *cluster) handle(n *node, e envelope) {
	switch body := e.body.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		c.send(n, n.m.Heartbeat(c.now, e.from, e.incarnation, body.Heartbeat))
	case *pb.PeerMessage_HeartbeatAck:
		c.send(n, n.m.HeartbeatAck(c.now, e.from, body.HeartbeatAck))
	case *pb.PeerMessage_StateUpdate:
		if s, ok := n.m.state.Apply(body.StateUpdate); ok {
			n.apply(c, s)
		}
	case *pb.PeerMessage_StateRequest:
		c.send(n, []peer.Message{{To: e.from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: n.m.state.Full()}}}})
	}
}

func (c *cluster) publishers() (out []model.InstanceID) {
	for _, id := range c.ids {
		if n := c.nodes[id]; !n.dead && !n.frozen && n.m.Publishing(c.now) {
			out = append(out, id)
		}
	}
	return out
}

// settled checks that one publisher serves all live instances.
func (c *cluster) settled(t *testing.T, live int) model.InstanceID {
	t.Helper()
	p := c.publishers()
	if len(p) != 1 {
		t.Fatalf("publishers %v, want one", p)
	}
	for _, id := range c.ids {
		n := c.nodes[id]
		if n.dead || n.frozen {
			continue
		}
		if n.m.Fenced(c.now) {
			t.Errorf("%s is fenced (state %v)", id, n.m.state.Version)
		}
		if got := len(n.m.state.Members); got != live {
			t.Errorf("%s: view of %d members, want %d", id, got, live)
		}
	}
	return p[0]
}

// Guards against a start from nothing that ends with several publishers or
// with fenced instances.
func TestStartElectsOnePublisher(t *testing.T) {
	for _, n := range []int{1, 2, 4, 16, 17, 60} {
		c := newCluster(n)
		c.run(4 * time.Second)
		c.settled(t, n)
	}
}

// Guards against a dead publisher whose role or place in the view survives.
func TestPublisherDeath(t *testing.T) {
	for _, n := range []int{4, 40} {
		c := newCluster(n)
		c.run(4 * time.Second)
		p := c.settled(t, n)
		before := c.nodes[p].m.state.Version
		c.nodes[p].dead = true
		c.run(2 * time.Second)
		q := c.settled(t, n-1)
		if v := c.nodes[q].m.state.Version; !before.Less(v) {
			t.Errorf("version %v after %v", v, before)
		}
		if d := c.nodes[q].m.UnplannedDeaths(c.now); len(d) != 1 || d[0].Instance != p {
			t.Errorf("unplanned deaths %v, want %s", d, p)
		}
	}
}

// Guards against a data centre without publisher after the publisher and all
// its successors die together (a rack).
func TestPublisherAndSuccessorsDie(t *testing.T) {
	c := newCluster(40)
	c.run(4 * time.Second)
	p := c.settled(t, 40)
	for _, id := range c.nodes[p].m.ranking()[:6] {
		c.nodes[id].dead = true
	}
	c.run(6 * time.Second)
	c.settled(t, 34)
}

// Guards against a woken instance that decides on the state it had before the
// freeze, and against a woken publisher that publishes on it.
func TestFrozenInstanceWakesFenced(t *testing.T) {
	for _, freezePublisher := range []bool{true, false} {
		c := newCluster(5)
		c.run(4 * time.Second)
		victim := c.settled(t, 5)
		if !freezePublisher {
			victim = c.nodes[victim].m.ranking()[3]
		}
		n := c.nodes[victim]
		n.frozen = true
		c.run(3 * time.Second)
		old := n.m.state.Version
		n.frozen = false
		if !n.m.Fenced(c.now) || n.m.Publishing(c.now) {
			t.Fatalf("%s: fenced %v, publishing %v at waking", victim, n.m.Fenced(c.now), n.m.Publishing(c.now))
		}
		for !n.m.Fenced(c.now) || n.m.state.Version == old {
			if n.m.state.Version == old && !n.m.Fenced(c.now) {
				t.Fatalf("%s leaves fencing on its old state", victim)
			}
			if c.now.Sub(epoch) > 20*time.Second {
				t.Fatalf("%s does not catch up", victim)
			}
			c.run(10 * time.Millisecond)
		}
		c.run(4 * time.Second)
		c.settled(t, 5)
	}
}

// Guards against a restarted instance that is taken for its former run: it
// must count as dead, be fenced, and return under its new incarnation.
func TestRestart(t *testing.T) {
	for _, restartPublisher := range []bool{true, false} {
		c := newCluster(5)
		c.run(4 * time.Second)
		victim := c.settled(t, 5)
		if !restartPublisher {
			victim = c.nodes[victim].m.ranking()[2]
		}
		old := c.nodes[victim]
		other := c.nodes[old.m.ranking()[1]]
		n := c.start(victim)
		c.list()
		// A heartbeat of the former run arrives late.
		other.m.Heartbeat(c.now, victim, n.m.cfg.Incarnation, n.m.heartbeat(c.now))
		other.m.Heartbeat(c.now, victim, old.m.cfg.Incarnation, old.m.heartbeat(c.now))
		if got := other.m.peers[victim].incarnation; got != n.m.cfg.Incarnation {
			t.Fatalf("incarnation %d, want that of the new run", got)
		}
		if !n.m.Fenced(c.now) {
			t.Fatal("restarted instance is not fenced")
		}
		c.run(5 * time.Second)
		p := c.settled(t, 5)
		member, _ := c.nodes[p].m.state.Member(victim)
		if member.Incarnation != n.m.cfg.Incarnation {
			t.Errorf("view names incarnation %d, want %d", member.Incarnation, n.m.cfg.Incarnation)
		}
		if d := other.m.UnplannedDeaths(c.now); len(d) != 1 || d[0].Incarnation != old.m.cfg.Incarnation {
			t.Errorf("unplanned deaths %v, want the former run of %s", d, victim)
		}
	}
}

// Guards against an acknowledgement of a former run that extends a lease.
func TestAckOfFormerRunIsIgnored(t *testing.T) {
	c := newCluster(2)
	c.run(3 * time.Second)
	p := c.settled(t, 2)
	n := c.nodes[c.nodes[p].m.ranking()[1]]
	old := n.m.cfg.Incarnation
	n = c.start(n.id)
	n.m.HeartbeatAck(c.now.Add(100*time.Millisecond), p, &pb.HeartbeatAck{SentMs: 50, Generation: 1, Publisher: string(p), Incarnation: old})
	if !n.m.leaseFrom.IsZero() {
		t.Error("lease extended")
	}
}

// Guards against a planned leave that interrupts publishing, counts as a death
// or leaves the instance among the owners.
func TestPlannedLeave(t *testing.T) {
	for _, leavePublisher := range []bool{true, false} {
		c := newCluster(5)
		c.run(4 * time.Second)
		victim := c.settled(t, 5)
		if !leavePublisher {
			victim = c.nodes[victim].m.ranking()[4]
		}
		n := c.nodes[victim]
		c.send(n, n.m.Leave(c.now))
		for range 40 {
			c.run(50 * time.Millisecond)
			for _, other := range c.nodes {
				if other.m.Fenced(c.now) {
					t.Fatalf("%s is fenced during a planned leave", other.id)
				}
			}
		}
		if !n.m.LeaveKnown() {
			t.Fatal("leave is not in the view")
		}
		if p := c.publishers(); len(p) != 1 || p[0] == victim {
			t.Fatalf("publishers %v", p)
		}
		n.dead = true
		c.run(2 * time.Second)
		p := c.settled(t, 4)
		if d := c.nodes[p].m.UnplannedDeaths(c.now); len(d) != 0 {
			t.Errorf("unplanned deaths %v after a planned leave", d)
		}
	}
}

// Guards against an interruption when an instance joins that ranks above the
// publisher: no instance may be fenced or lost from the view meanwhile.
func TestHigherRankJoins(t *testing.T) {
	for _, n := range []int{4, 39} {
		c := newCluster(n + 1)
		first := c.nodes[name(0)].m.ranking()[0]
		c.nodes[first].dead = true
		c.run(4 * time.Second)
		p := c.settled(t, n)
		c.start(first)
		c.list()
		for range 100 {
			c.run(50 * time.Millisecond)
			for _, other := range c.nodes {
				if other.id != first && other.m.Fenced(c.now) {
					t.Fatalf("%s is fenced while %s takes over from %s", other.id, first, p)
				}
				if d := other.m.UnplannedDeaths(c.now); len(d) != 0 {
					t.Fatalf("deaths %v", d)
				}
			}
		}
		if got := c.settled(t, n+1); got != first {
			t.Errorf("publisher %s, want %s", got, first)
		}
	}
}

// Guards against owners that operators marked out.
func TestMarkedOutInstanceOwnsNothing(t *testing.T) {
	c := newCluster(3)
	c.run(3 * time.Second)
	p := c.nodes[c.settled(t, 3)]
	out := p.m.ranking()[1]
	p.m.Tick(c.now, Local{Ready: true, InstancesOut: map[model.InstanceID]bool{out: true}})
	for _, member := range p.m.View(c.now) {
		leaving := member.State == pb.InstanceState_INSTANCE_STATE_LEAVING
		if leaving != (member.Instance == out) {
			t.Errorf("%s is shown as %v", member.Instance, member.State)
		}
	}
}

// Guards against two halves of a data centre that do not find together after a
// partition, and against versions that go back meanwhile.
func TestPartitionHeals(t *testing.T) {
	for _, n := range []int{6, 24} {
		c := newCluster(n)
		c.run(4 * time.Second)
		c.settled(t, n)
		side := func(id model.InstanceID) bool { return id[3]%2 == 0 }
		c.drop = func(e envelope) bool { return side(e.from) != side(e.to) }
		c.run(8 * time.Second)
		if p := c.publishers(); len(p) != 2 {
			t.Fatalf("publishers %v in a partition, want one per side", p)
		}
		c.drop = nil
		c.run(10 * time.Second)
		c.settled(t, n)
		for _, node := range c.nodes {
			for i := 1; i < len(node.history); i++ {
				if !node.history[i-1].Less(node.history[i]) {
					t.Errorf("%s went from %v to %v", node.id, node.history[i-1], node.history[i])
				}
			}
		}
	}
}

// Guards against control traffic that grows with the data centre: above
// FullMesh an ordinary instance sends 5 heartbeats per interval.
func TestFanOut(t *testing.T) {
	c := newCluster(60)
	c.run(4 * time.Second)
	p := c.settled(t, 60)
	c.sent = map[model.InstanceID]int{}
	c.run(2 * time.Second)
	for id, n := range c.sent {
		if rank := c.nodes[p].m.rank[id]; rank > 4 && n > 5*10 {
			t.Errorf("%s (rank %d) sent %d messages in 2 s, want at most 50", id, rank, n)
		}
	}
}

// Guards against a condition change that waits behind routine reports, and
// against servers that are never reported.
func TestReportQueue(t *testing.T) {
	q := newReportQueue()
	var all []*pb.ServerReport
	for i := range 100 {
		all = append(all, &pb.ServerReport{Server: uint64(i + 1), Condition: pb.ServerCondition_SERVER_CONDITION_HEALTHY})
	}
	seen := map[uint64]bool{}
	for range 13 {
		for _, r := range q.next(all, 8) {
			seen[r.GetServer()] = true
		}
	}
	if len(seen) != 100 {
		t.Errorf("%d servers reported in 13 heartbeats, want 100", len(seen))
	}
	all[60] = &pb.ServerReport{Server: 61, Condition: pb.ServerCondition_SERVER_CONDITION_COLD}
	if r := q.next(all, 8); r[0].GetServer() != 61 {
		t.Errorf("first report is of server %d, want 61", r[0].GetServer())
	}
	if r := q.next(all, 8); r[0].GetServer() == 61 {
		t.Error("condition reported as changed twice")
	}
}
