package membership_test

import (
	"fmt"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

const step = 10 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// node is one instance of the test cluster.
type node struct {
	id model.InstanceID
	m  *membership.Membership
	// version is the configuration version that the instance holds.
	version uint64
	frozen  bool
	dead    bool
	wokeAt  time.Time
	leaveAt time.Time
	history []dcstate.Version
}

type envelope struct {
	at          time.Time
	from, to    model.InstanceID
	incarnation uint64
	body        *pb.PeerMessage
}

// cluster runs instances over a fake network.
type cluster struct {
	now   time.Time
	nodes map[model.InstanceID]*node
	ids   []model.InstanceID
	// version is the newest configuration version.
	version uint64
	net     []envelope
	sent    map[model.InstanceID]int
	drop    func(e envelope) bool
	delay   func() time.Duration
	// published is called with the states before and after each update.
	published func(n *node, old, next *dcstate.State)
}

func newCluster(n int) *cluster {
	c := &cluster{now: epoch, nodes: map[model.InstanceID]*node{}, sent: map[model.InstanceID]int{}}
	for i := range n {
		c.start(name(i))
	}
	c.list()
	return c
}

func name(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("i%03d", i)) }

// start starts an instance, or a new run of it.
func (c *cluster) start(id model.InstanceID) *node {
	if old := c.nodes[id]; old != nil {
		old.dead = true
	} else {
		c.ids = append(c.ids, id)
	}
	c.nodes[id] = &node{
		id: id, version: c.version,
		m: membership.New(membership.Config{Self: id, Incarnation: uint64(c.now.UnixNano()), Started: c.now}),
	}
	return c.nodes[id]
}

// list gives all instances the instance list, which still names dead ones.
func (c *cluster) list() {
	var list []membership.ListedInstance
	for _, id := range c.ids {
		list = append(list, membership.ListedInstance{Instance: id})
	}
	for _, n := range c.nodes {
		n.m.SetInstanceList(c.now, list)
	}
}

func (c *cluster) send(from *node, messages []peer.Message) {
	for _, msg := range messages {
		e := envelope{c.now, from.id, msg.To, from.m.Incarnation(), msg.Body}
		if msg.To == from.id {
			c.handle(from, e)
			continue
		}
		c.sent[from.id]++
		if c.drop != nil && c.drop(e) {
			continue
		}
		d := 5 * time.Millisecond
		if c.delay != nil {
			d = c.delay()
		}
		e.at = c.now.Add(d)
		c.net = append(c.net, e)
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		c.deliver()
		for i, id := range c.ids {
			// The instances' timers do not run in step.
			if (c.now.UnixMilli()+int64(i)*30)%200 < step.Milliseconds() {
				c.tick(c.nodes[id])
			}
		}
	}
}

func (c *cluster) tick(n *node) {
	if n.dead || n.frozen {
		return
	}
	if !n.leaveAt.IsZero() && c.now.After(n.leaveAt) {
		n.dead = true
		return
	}
	n.version = c.version
	c.send(n, n.m.Tick(c.now, membership.LocalStatus{Ready: true, ConfigVersion: n.version}))
	c.publish(n)
}

func (c *cluster) publish(n *node) {
	u := n.m.Publish(c.now)
	if u == nil {
		return
	}
	old := n.m.State()
	next, ok := old.Apply(u)
	if !ok {
		panic("own update does not apply")
	}
	n.apply(c, next)
	if c.published != nil {
		c.published(n, old, next)
	}
	for _, to := range n.m.StateRecipients(c.now) {
		c.send(n, []peer.Message{{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: u}}}})
	}
}

func (n *node) wake(now time.Time) {
	if n.frozen {
		n.frozen, n.wokeAt = false, now
	}
}

func (n *node) apply(c *cluster, s *dcstate.State) {
	n.history = append(n.history, s.Version)
	n.m.SetAppliedState(c.now, s)
}

func (c *cluster) deliver() {
	pending := c.net
	c.net = nil
	for _, e := range pending {
		n := c.nodes[e.to]
		switch {
		case e.at.After(c.now) || (n != nil && n.frozen):
			c.net = append(c.net, e)
		case n != nil && !n.dead:
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
		if s, ok := n.m.State().Apply(body.StateUpdate); ok {
			n.apply(c, s)
		}
	case *pb.PeerMessage_StateRequest:
		c.send(n, []peer.Message{{To: e.from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: n.m.State().AsUpdate()}}}})
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
