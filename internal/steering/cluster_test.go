package steering

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	testService = model.ServiceID(7)
	testBuckets = 8
	testIdle    = 4 * time.Second
	step        = 5 * time.Millisecond
)

var testStart = time.Unix(1_700_000_000, 0)

func belongs(service model.ServiceID, server model.ServerID) bool {
	return service == testService && server >= 1 && server <= 6
}

type fataler interface {
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// node is an instance with its fake membership.
type node struct {
	id          model.InstanceID
	incarnation uint64
	s           *Steering
	table       *flowtable.Table
	lease       time.Time // last acknowledged heartbeat
	fenced      bool
	frozen      time.Time // until
	inbox       []func()  // what arrives while frozen
	leaving     bool
	died        []model.InstanceID
	states      []*dcstate.State // published, not yet applied
	nextApply   time.Time
}

type flow struct {
	hash   model.FlowHash
	server model.ServerID // first server that got an opening
	acked  bool
	closed bool
	opened time.Time
	next   time.Time
	copies int
}

type held struct {
	flow    *flow
	opening bool
	node    *node
}

type event struct {
	at time.Time
	n  uint64 // keeps equal times in order
	do func()
}

// cluster runs instances on a fake network, with an all-knowing publisher that
// follows the two-step protocol of the design.
type cluster struct {
	t       fataler
	r       *rand.Rand
	now     time.Time
	events  []event
	counter uint64
	nodes   map[model.InstanceID]*node
	order   []model.InstanceID
	heard   map[model.InstanceID]time.Time
	state   *dcstate.State
	flows   []*flow
	tokens  map[uint64]held
	loss    float64
	maxLag  time.Duration // of the application of states
	// lastDeath and upSince decide whether a rebase is allowed.
	lastDeath time.Time
	upSince   map[model.InstanceID]time.Time
	strict    bool // no unplanned fault: no flow may break
	broken    int
	forwarded int
	refused   int
	log       []string
}

func newCluster(t fataler, seed uint64, n int) *cluster {
	c := &cluster{t: t, r: rand.New(rand.NewPCG(seed, 1)), now: testStart, nodes: map[model.InstanceID]*node{},
		heard: map[model.InstanceID]time.Time{}, tokens: map[uint64]held{}, upSince: map[model.InstanceID]time.Time{},
		strict: true, loss: 0.02, maxLag: 150 * time.Millisecond, lastDeath: testStart.Add(-time.Hour)}
	buckets := make([]dcstate.Bucket, testBuckets)
	for i := range buckets {
		buckets[i] = dcstate.Bucket{Base: model.ServerID(1 + i%3), Phase: dcstate.Stable}
	}
	c.state = dcstate.New(dcstate.Version{Generation: 1, Publisher: "p"}, nil, map[model.ServiceID][]dcstate.Bucket{testService: buckets})
	for i := range n {
		c.start(model.InstanceID(fmt.Sprintf("n%d", i)))
		c.upSince[c.order[i]] = testStart.Add(-time.Hour)
	}
	c.run(500 * time.Millisecond)
	return c
}

func (c *cluster) logf(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%v ", c.now.Sub(testStart))+fmt.Sprintf(format, args...))
}

func (c *cluster) start(id model.InstanceID) {
	n := &node{id: id, incarnation: uint64(c.now.UnixNano()), table: flowtable.New(4, 100_000, testStart), fenced: true}
	cfg := Config{Self: id, Incarnation: n.incarnation, Belongs: belongs, FlowIdleTimeout: testIdle,
		Fenced: func(now time.Time) bool { return n.fenced || now.Sub(n.lease) > 600*time.Millisecond }}
	n.s = New(cfg, n.table)
	c.nodes[id] = n
	c.order = append(slices.DeleteFunc(c.order, func(o model.InstanceID) bool { return o == id }), id)
	slices.Sort(c.order)
	c.upSince[id] = c.now
	c.logf("start %s", id)
}

func (c *cluster) at(d time.Duration, do func()) {
	c.counter++
	e := event{c.now.Add(d), c.counter, do}
	i, _ := slices.BinarySearchFunc(c.events, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n)) })
	c.events = slices.Insert(c.events, i, e)
}

// deliver runs do at the node, now or when it wakes, unless it is another
// incarnation by then.
func (c *cluster) deliver(to *node, do func()) {
	if c.nodes[to.id] != to {
		return
	}
	if c.now.Before(to.frozen) {
		to.inbox = append(to.inbox, do)
		return
	}
	do()
}

func (c *cluster) act(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if c.r.Float64() < c.loss {
				continue
			}
			to := c.nodes[a.Message.To]
			delay := time.Duration(c.r.Int64N(int64(20 * time.Millisecond)))
			if to != nil {
				c.at(delay, func() {
					c.deliver(to, func() { c.act(to, to.s.HandlePeer(c.now, n.id, a.Message.Body)) })
				})
			}
		case Forward:
			c.forward(n, c.take(a.Token), a.Server)
		case Refuse:
			h := c.take(a.Token)
			if !h.opening {
				c.t.Fatalf("refused a packet that opens nothing")
			}
			c.refused++
			c.logf("REFUSED %x at %s %v", h.flow.hash, n.id, a.Reason)
		case Drop:
			if h := c.take(a.Token); h.opening {
				c.t.Fatalf("dropped an opening")
			}
		}
	}
}

func (c *cluster) take(token uint64) held {
	h, ok := c.tokens[token]
	if !ok {
		c.t.Fatalf("token %d named twice", token)
	}
	delete(c.tokens, token)
	return h
}

// forward is the fake server side: it checks the two main promises.
func (c *cluster) forward(n *node, h held, server model.ServerID) {
	f := h.flow
	c.forwarded++
	c.logf("open? %v %x at %d through %s", h.opening, f.hash, server, n.id)
	if !belongs(testService, server) {
		c.t.Fatalf("flow %x forwarded to foreign server %d", f.hash, server)
	}
	if h.opening {
		c.logf("open  %x at %d through %s", f.hash, server, n.id)
		if f.server != 0 && f.server != server && !f.closed {
			c.fail(n, f, "openings reached servers %d and %d", f.server, server)
		}
		f.server, f.acked = server, true
	} else if f.server != server && !f.closed && (c.strict || c.someoneKnows(f)) {
		c.fail(n, f, "packet at server %d, flow at %d", server, f.server)
	} else if f.server != server && !f.closed {
		c.broken++
		f.closed = true
	}
	if f.server == server && !f.closed {
		c.at(step, func() {
			c.deliver(n, func() { c.act(n, n.s.Answer(c.now, testService, f.hash, server, 1)) })
		})
	}
}

// someoneKnows reports whether a live instance could have named the server.
func (c *cluster) someoneKnows(f *flow) bool {
	for _, id := range c.order {
		n := c.nodes[id]
		if _, ok := c.state.Member(id); !ok || c.now.Before(n.frozen) {
			continue
		}
		// A member that has just joined again was not asked by all yet.
		settled := c.now.Sub(c.upSince[id]) > 3*time.Second
		if p, ok := n.table.Peek(testService, f.hash); ok && settled && p.Server == f.server {
			return true
		}
	}
	return false
}

func (c *cluster) fail(n *node, f *flow, format string, args ...any) {
	b, i, _ := c.state.Bucket(testService, f.hash)
	for _, l := range c.log {
		about := fmt.Sprintf("%x", f.hash)
		if !strings.Contains(l, "open") && !strings.Contains(l, "bucket") || strings.Contains(l, about) || strings.Contains(l, fmt.Sprintf("bucket %d:", i)) {
			c.t.Logf("%s", l)
		}
	}
	owner, backup := c.state.Owner(testService, i)
	for _, id := range c.order {
		n := c.nodes[id]
		p, ok := n.table.Peek(testService, f.hash)
		if n.s.state == nil {
			continue
		}
		own, _, _ := n.s.bucketOf(key{Service: testService, Flow: f.hash})
		server, rec := n.s.copies[own].lookup(key{Service: testService, Flow: f.hash})
		c.t.Logf("%s: version %v pin %v %v record %v %v", id, n.s.state.Version, p, ok, server, rec)
	}
	c.t.Fatalf("%v flow %x at %s: %s; bucket %d %v owner %s backup %s", c.now.Sub(testStart), f.hash, n.id, fmt.Sprintf(format, args...), i, b, owner, backup)
}

// packet hands a packet of a flow to a random running instance.
func (c *cluster) packet(f *flow, opening bool) {
	if len(c.order) == 0 {
		return
	}
	n := c.nodes[c.order[c.r.IntN(len(c.order))]]
	c.counter++
	token := c.counter
	c.tokens[token] = held{f, opening, n}
	c.deliver(n, func() {
		c.act(n, n.s.Packet(c.now, Packet{Service: testService, Flow: f.hash, Opening: opening, PlanVersion: 1, Token: token}))
	})
}

func (c *cluster) open() *flow {
	f := &flow{hash: model.FlowHash(c.r.Uint64()), opened: c.now, next: c.now, copies: 1 + c.r.IntN(4)}
	c.flows = append(c.flows, f)
	return f
}

func (c *cluster) closeFlow(f *flow) {
	if f.closed || !f.acked {
		return
	}
	f.closed = true
	for _, id := range c.order {
		n := c.nodes[id]
		if _, ok := n.table.Peek(testService, f.hash); ok && !c.now.Before(n.frozen) {
			c.act(n, n.s.Close(c.now, testService, f.hash))
			return
		}
	}
}

// traffic sends what the callers have due: copies of openings, then data with
// gaps shorter than the idle timeout.
func (c *cluster) traffic() {
	for _, f := range c.flows {
		switch {
		case f.closed || c.now.Before(f.next):
		case f.copies > 0 && c.now.Sub(f.opened) < defaultRepeat:
			f.copies--
			f.next = c.now.Add(time.Duration(c.r.Int64N(int64(time.Second))))
			c.packet(f, true)
		case f.acked:
			f.next = c.now.Add(time.Duration(c.r.Int64N(int64(testIdle * 3 / 4))))
			c.packet(f, false)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for len(c.events) > 0 && !c.events[0].at.After(c.now) {
			e := c.events[0]
			c.events = c.events[1:]
			e.do()
		}
		c.publisher()
		for _, id := range slices.Clone(c.order) {
			if n := c.nodes[id]; !c.now.Before(n.frozen) {
				c.tickNode(n)
			}
		}
		c.traffic()
	}
}

func (c *cluster) tickNode(n *node) {
	for len(n.inbox) > 0 {
		do := n.inbox[0]
		n.inbox = n.inbox[1:]
		do()
	}
	for len(n.states) > 0 && !c.now.Before(n.nextApply) {
		k := 1
		if c.r.IntN(3) == 0 {
			k = len(n.states) // a full update skips the states between
		}
		state := n.states[k-1]
		n.states = n.states[k:]
		died := n.died
		if len(n.states) == 0 {
			n.died = nil
		}
		c.act(n, n.s.StateChanged(c.now, state, died))
		n.nextApply = c.now.Add(time.Duration(c.r.Int64N(int64(c.maxLag))))
	}
	c.act(n, n.s.Tick(c.now))
	if n.leaving && n.s.Left() {
		c.logf("left %s", n.id)
		c.remove(n.id)
	}
}

func (c *cluster) remove(id model.InstanceID) {
	delete(c.nodes, id)
	delete(c.heard, id)
	c.order = slices.DeleteFunc(c.order, func(o model.InstanceID) bool { return o == id })
}

// publisher keeps the view and takes the bucket steps that are allowed.
func (c *cluster) publisher() {
	members, died := c.view()
	buckets := slices.Clone(c.state.Services[testService])
	changed := c.advance(buckets)
	if changed || !slices.Equal(members, c.state.Members) {
		c.publish(members, buckets, died)
	}
	for _, id := range c.order {
		n := c.nodes[id]
		if _, ok := c.state.Member(id); !ok || c.now.Before(n.frozen) {
			continue
		}
		caughtUp := len(n.states) == 0 && n.s.state == c.state
		if c.now.Sub(n.lease) > 600*time.Millisecond {
			n.fenced = true
		}
		if n.lease = c.now; caughtUp {
			n.fenced = false
		}
	}
}

func (c *cluster) view() (members []dcstate.Member, died []model.InstanceID) {
	for _, id := range c.order {
		if !c.now.Before(c.nodes[id].frozen) {
			c.heard[id] = c.now
		}
	}
	for _, m := range c.state.Members {
		n := c.nodes[m.Instance]
		planned := n == nil && m.State == pb.InstanceState_INSTANCE_STATE_LEAVING
		silent := c.now.Sub(c.heard[m.Instance]) > time.Second
		replaced := n != nil && n.incarnation != m.Incarnation
		if planned || n != nil && !silent && !replaced {
			continue
		}
		if n == nil && c.now.Sub(c.lastDeath) <= time.Second {
			members = append(members, m) // not yet noticed
			continue
		}
		died = append(died, m.Instance)
		c.lastDeath = c.now
		c.logf("out %s", m.Instance)
	}
	for _, id := range c.order {
		n := c.nodes[id]
		if c.now.Sub(c.heard[id]) > time.Second || c.now.Before(n.frozen) && !c.inView(id) || slices.Contains(died, id) {
			continue
		}
		state := pb.InstanceState_INSTANCE_STATE_READY
		if n.leaving {
			state = pb.InstanceState_INSTANCE_STATE_LEAVING
		}
		if !c.inView(id) {
			c.upSince[id] = c.now
			if c.now.Sub(testStart) < 100*time.Millisecond {
				c.upSince[id] = testStart.Add(-time.Hour)
			}
		}
		members = append(members, dcstate.Member{Instance: id, Incarnation: n.incarnation, State: state})
	}
	slices.SortFunc(members, func(a, b dcstate.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return members, died
}

func (c *cluster) inView(id model.InstanceID) bool {
	_, ok := c.state.Member(id)
	return ok
}

func (c *cluster) publish(members []dcstate.Member, buckets []dcstate.Bucket, died []model.InstanceID) {
	v := dcstate.Version{Generation: c.state.Version.Generation + 1, Publisher: "p"}
	c.state = dcstate.New(v, members, map[model.ServiceID][]dcstate.Bucket{testService: buckets})
	c.logf("publish %d members %v", v.Generation, members)
	for _, m := range members {
		n := c.nodes[m.Instance]
		if n == nil || n.incarnation != m.Incarnation {
			continue
		}
		if len(n.states) == 0 {
			n.nextApply = c.now.Add(time.Duration(c.r.Int64N(int64(c.maxLag))))
		}
		n.states = append(n.states, c.state)
		n.died = append(n.died, died...)
	}
}

// advance takes the next step of each bucket whose precondition holds.
func (c *cluster) advance(buckets []dcstate.Bucket) bool {
	for _, m := range c.state.Members {
		n := c.nodes[m.Instance]
		if n == nil || n.s.Confirmed() != c.state.Version {
			return false
		}
	}
	rebase := c.now.Sub(c.lastDeath) > testIdle
	for _, m := range c.state.Members {
		rebase = rebase && c.now.Sub(c.upSince[m.Instance]) > testIdle
	}
	changed := false
	for i, b := range buckets {
		was := b
		switch b.Phase {
		case dcstate.Announced:
			b.Phase = dcstate.Active
		case dcstate.Active:
			if rebase && c.r.IntN(100) == 0 {
				b.Phase = dcstate.Collecting
			}
		case dcstate.Collecting:
			b = dcstate.Bucket{Base: b.Next, Phase: dcstate.Mixed}
		case dcstate.Mixed:
			owner, _ := c.state.Owner(testService, i)
			if owner == "" {
				continue // all members leave
			}
			for _, o := range c.nodes[owner].s.EmptyBuckets(c.now) {
				if slices.Contains(o.Empty, uint32(i)) {
					b.Phase = dcstate.Stable
				}
			}
		}
		if b != was {
			c.logf("bucket %d: %v", i, b)
			buckets[i], changed = b, true
		}
	}
	return changed
}

// move announces another server for a bucket.
func (c *cluster) move(i int, next model.ServerID) {
	buckets := slices.Clone(c.state.Services[testService])
	b := buckets[i]
	if b.Base == next || b.Phase == dcstate.Announced || b.Phase == dcstate.Collecting {
		return
	}
	buckets[i] = dcstate.Bucket{Base: b.Base, Next: next, Phase: dcstate.Announced}
	c.logf("bucket %d: %v", i, buckets[i])
	c.publish(c.state.Members, buckets, nil)
}

// grow doubles the number of buckets, up to 32.
func (c *cluster) grow() {
	var buckets []dcstate.Bucket
	for _, b := range c.state.Services[testService] {
		buckets = append(buckets, b, b)
	}
	if len(buckets) <= 32 {
		c.logf("grow to %d", len(buckets))
		c.publish(c.state.Members, buckets, nil)
	}
}

func (c *cluster) kill(id model.InstanceID) {
	if len(c.order) < 3 || c.nodes[id] == nil {
		return
	}
	c.logf("kill %s", id)
	c.strict = false
	c.lastDeath = c.now
	c.remove(id)
}

func (c *cluster) freeze(id model.InstanceID, d time.Duration) {
	if n := c.nodes[id]; n != nil && len(c.order) > 2 {
		c.logf("freeze %s for %v", id, d)
		c.strict = c.strict && d < 500*time.Millisecond
		n.frozen = c.now.Add(d)
	}
}

func (c *cluster) leave(id model.InstanceID) {
	staying := 0
	for _, n := range c.nodes {
		if !n.leaving {
			staying++
		}
	}
	if n := c.nodes[id]; n != nil && staying > 2 && !n.leaving {
		c.logf("leave %s", id)
		n.leaving = true
		c.deliver(n, func() { c.act(n, n.s.Leave(c.now)) })
	}
}

// drain closes all flows and checks that nothing is left behind: no record,
// pin, packet or message, and no bucket that cannot become STABLE.
func (c *cluster) drain() {
	for _, f := range c.flows {
		c.closeFlow(f)
		f.closed = true
	}
	c.loss = 0
	c.run(8 * testIdle)
	for _, h := range c.tokens {
		if c.nodes[h.node.id] == h.node {
			c.t.Fatalf("%s never decided about a packet", h.node.id)
		}
	}
	for i, b := range c.state.Services[testService] {
		if b.Questionable() {
			for _, l := range c.log {
				c.t.Logf("%s", l)
			}
			c.t.Fatalf("bucket %d is still %v", i, b)
		}
	}
	for _, id := range c.order {
		n := c.nodes[id]
		if owned, backup := n.s.Records(); owned+backup > 0 || n.s.Held() > 0 || n.table.Len() > 0 || len(n.s.links) > 0 || len(n.s.asks) > 0 {
			c.t.Fatalf("%s: %d records, %d copies, %d held, %d pins, %d links, %d asks left", id, owned, backup, n.s.Held(), n.table.Len(), len(n.s.links), len(n.s.asks))
		}
	}
}
