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

const tickStep = 10 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// testInstance is one run of an instance of the test cluster.
type testInstance struct {
	id model.InstanceID
	m  *membership.Membership
	// configVersion is the version of the configuration that the instance holds.
	configVersion   uint64
	frozen          bool
	dead            bool
	wokeAt          time.Time
	exitAt          time.Time
	appliedVersions []dcstate.Version
}

// envelope is a message on its way through the simulated network.
type envelope struct {
	deliverAt   time.Time
	from, to    model.InstanceID
	incarnation uint64
	body        *pb.PeerMessage
}

// cluster runs instances over a simulated network.
type cluster struct {
	now       time.Time
	instances map[model.InstanceID]*testInstance
	ids       []model.InstanceID
	// configVersion is the newest configuration version.
	configVersion uint64
	inFlight      []envelope
	sent          map[model.InstanceID]int
	drop          func(e envelope) bool
	delay         func() time.Duration
	// onPublish is called after each publication with the states before and
	// after it.
	onPublish func(n *testInstance, old, next *dcstate.State)
}

func newCluster(n int) *cluster {
	c := &cluster{now: epoch, instances: map[model.InstanceID]*testInstance{}, sent: map[model.InstanceID]int{}}
	for i := range n {
		c.start(instanceID(i))
	}
	c.setInstanceLists()
	return c
}

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("i%03d", i)) }

// start starts an instance; an earlier run of it ends.
func (c *cluster) start(id model.InstanceID) *testInstance {
	if old := c.instances[id]; old != nil {
		old.dead = true
	} else {
		c.ids = append(c.ids, id)
	}
	c.instances[id] = &testInstance{
		id: id, configVersion: c.configVersion,
		m: membership.New(membership.Config{Self: id, Incarnation: uint64(c.now.UnixNano()), Started: c.now}),
	}
	return c.instances[id]
}

// setInstanceLists passes the instance list, which still contains dead
// instances, to all instances.
func (c *cluster) setInstanceLists() {
	var list []membership.InstanceListEntry
	for _, id := range c.ids {
		list = append(list, membership.InstanceListEntry{Instance: id})
	}
	for _, n := range c.instances {
		n.m.SetInstanceList(c.now, list)
	}
}

func (c *cluster) send(from *testInstance, messages []peer.Message) {
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
		e.deliverAt = c.now.Add(d)
		c.inFlight = append(c.inFlight, e)
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickStep)
		c.deliver()
		for i, id := range c.ids {
			// The timers of the instances are offset by 30 ms each.
			if (c.now.UnixMilli()+int64(i)*30)%200 < tickStep.Milliseconds() {
				c.tick(c.instances[id])
			}
		}
	}
}

func (c *cluster) tick(n *testInstance) {
	if n.dead || n.frozen {
		return
	}
	if !n.exitAt.IsZero() && c.now.After(n.exitAt) {
		n.dead = true
		return
	}
	n.configVersion = c.configVersion
	c.send(n, n.m.Tick(c.now, membership.LocalStatus{Ready: true, ConfigVersion: n.configVersion}))
	c.publish(n)
}

func (c *cluster) publish(n *testInstance) {
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
	if c.onPublish != nil {
		c.onPublish(n, old, next)
	}
	for _, to := range n.m.StateRecipients(c.now) {
		c.send(n, []peer.Message{{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: u}}}})
	}
}

func (n *testInstance) wakeUp(now time.Time) {
	if n.frozen {
		n.frozen, n.wokeAt = false, now
	}
}

func (n *testInstance) apply(c *cluster, s *dcstate.State) {
	n.appliedVersions = append(n.appliedVersions, s.Version)
	n.m.SetAppliedState(c.now, s)
}

func (c *cluster) deliver() {
	pending := c.inFlight
	c.inFlight = nil
	for _, e := range pending {
		n := c.instances[e.to]
		switch {
		case e.deliverAt.After(c.now) || (n != nil && n.frozen):
			c.inFlight = append(c.inFlight, e)
		case n != nil && !n.dead:
			c.handle(n, e)
		}
	}
}

func (c *cluster) handle(n *testInstance, e envelope) {
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
		if n := c.instances[id]; !n.dead && !n.frozen && n.m.Publishing(c.now) {
			out = append(out, id)
		}
	}
	return out
}
