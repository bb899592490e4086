package steering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Guards against flows that break, or openings at two servers, when buckets
// move and rebase while instances apply states at different times and join
// and leave as planned.
func TestPlannedChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), 4)
		events(t, c, 5)
		c.drain()
	})
}

// Guards against openings at two servers, and packets at the wrong server
// while a live instance knows the right one, when instances also die and
// freeze.
func TestUnplannedFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), 4)
		events(t, c, 9)
		c.drain()
	})
}

func events(t *rapid.T, c *cluster, kinds int) {
	joined := 4
	c.loss = float64(rapid.IntRange(0, 30).Draw(t, "loss percent")) / 100
	c.maxLag = time.Duration(rapid.IntRange(1, 800).Draw(t, "lag ms")) * time.Millisecond
	for i := range rapid.IntRange(5, 40).Draw(t, "events") {
		id := model.InstanceID(fmt.Sprintf("n%d", rapid.IntRange(0, joined-1).Draw(t, "instance")))
		switch kind := rapid.IntRange(0, kinds-1).Draw(t, "kind"); kind {
		case 0, 1:
			for range 10 {
				c.open()
			}
		case 2:
			c.move(i%len(c.state.Services[testService]), model.ServerID(rapid.IntRange(1, 6).Draw(t, "server")))
		case 3:
			if len(c.order) < 6 {
				c.start(model.InstanceID(fmt.Sprintf("n%d", joined)))
				joined++
			}
		case 4:
			c.leave(id)
			if i%4 == 0 {
				c.grow()
			}
		case 5:
			c.kill(id)
		case 6:
			if c.nodes[id] != nil && len(c.order) > 2 {
				c.kill(id)
				c.start(id) // restarts before its death is noticed
			}
		case 7:
			c.freeze(id, 400*time.Millisecond)
		case 8:
			c.freeze(id, 3*time.Second)
		}
		c.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap ms")) * time.Millisecond)
	}
}

// Guards against flows lost when a whole fleet is replaced one by one.
func TestReplaceAllInstances(t *testing.T) {
	c := newCluster(t, 1, 4)
	for range 100 {
		c.open()
	}
	c.run(time.Second)
	for i := range testBuckets {
		c.move(i, model.ServerID(4+i%3))
		c.run(300 * time.Millisecond)
	}
	for range 100 {
		c.open()
	}
	c.run(time.Second)
	for i := range 4 {
		c.start(model.InstanceID(fmt.Sprintf("m%d", i)))
		c.run(time.Second)
		c.leave(model.InstanceID(fmt.Sprintf("n%d", i)))
		c.run(2 * time.Second)
		if c.nodes[model.InstanceID(fmt.Sprintf("n%d", i))] != nil {
			t.Fatalf("n%d has not left", i)
		}
	}
	c.run(10 * time.Second)
	open := 0
	for _, f := range c.flows {
		if f.acked && !f.closed {
			open++
		}
	}
	if open < 190 {
		t.Errorf("%d of 200 flows open", open)
	}
	if c.refused > 0 {
		t.Errorf("%d openings refused", c.refused)
	}
	c.drain()
}

// pair returns two instances of which the first is the owner of bucket 0, and
// a function that delivers messages until none is left.
func pair() (owner, other *Steering, state *dcstate.State, pump func(time.Time, *Steering, []Action)) {
	members := []dcstate.Member{{Instance: "a"}, {Instance: "b"}}
	buckets := make([]dcstate.Bucket, testBuckets)
	for i := range buckets {
		buckets[i] = dcstate.Bucket{Base: 1, Phase: dcstate.Stable}
	}
	state = dcstate.New(dcstate.Version{Generation: 5, Publisher: "a"}, members, map[model.ServiceID][]dcstate.Bucket{testService: buckets})
	all := map[model.InstanceID]*Steering{}
	for _, m := range members {
		all[m.Instance] = New(Config{Self: m.Instance, Incarnation: 1000, Belongs: belongs, FlowIdleTimeout: testIdle}, flowtable.New(2, 1000, testStart))
		all[m.Instance].StateChanged(testStart, state, nil)
	}
	type queued struct {
		from model.InstanceID
		send Send
	}
	pump = func(now time.Time, from *Steering, actions []Action) {
		var queue []queued
		add := func(id model.InstanceID, actions []Action) {
			for _, a := range actions {
				if send, ok := a.(Send); ok {
					queue = append(queue, queued{id, send})
				}
			}
		}
		add(from.cfg.Self, actions)
		for len(queue) > 0 {
			q := queue[0]
			queue = queue[1:]
			to := all[q.send.Message.To]
			add(to.cfg.Self, to.HandlePeer(now, q.from, q.send.Message.Body))
			add(to.cfg.Self, to.Tick(now))
		}
	}
	first, second := state.Owner(testService, 0)
	return all[first], all[second], state, pump
}

// Guards against flows that are lost when an instance adopts the state of the
// other side of a partition: pins that disagree with the new base must be
// recorded before the state is confirmed, and the bucket must be named as one
// that cannot stay STABLE.
func TestForeignStateIsAdopted(t *testing.T) {
	owner, other, state, pump := pair()
	now := testStart.Add(time.Minute)
	flow := model.FlowHash(42)
	other.Packet(now, Packet{Service: testService, Flow: flow, Opening: true, Token: 1})
	buckets := slices.Clone(state.Services[testService])
	buckets[0].Base = 2
	foreign := dcstate.New(dcstate.Version{Generation: 9, Publisher: "z"}, state.Members, map[model.ServiceID][]dcstate.Bucket{testService: buckets})
	owner.StateChanged(now, foreign, nil)
	actions := other.StateChanged(now, foreign, nil)
	if v := other.Confirmed(); v != state.Version {
		t.Errorf("confirmed %v before the report was acknowledged", v)
	}
	pump(now, other, actions)
	if v := other.Confirmed(); v != foreign.Version {
		t.Errorf("confirmed %v after the report was acknowledged", v)
	}
	if n := owner.StrayBuckets()[testService]; !slices.Equal(n, []uint32{0}) {
		t.Errorf("stray buckets %v", n)
	}
	if server, ok := owner.copies[bucketID{testService, 0}].lookup(key{Service: testService, Flow: flow}); !ok || server != 1 {
		t.Errorf("record %v %v", server, ok)
	}
}

// Guards against a foreign server after a configuration change, against
// unbounded memory for held packets, and against decisions while fenced.
func TestRefusals(t *testing.T) {
	valid, fenced := true, false
	cfg := Config{Self: "a", MaxHeld: 2, Belongs: func(model.ServiceID, model.ServerID) bool { return valid },
		Fenced: func(time.Time) bool { return fenced }}
	s := New(cfg, flowtable.New(1, 100, testStart))
	now := testStart
	open := func(flow model.FlowHash) []Action {
		return s.Packet(now, Packet{Service: testService, Flow: flow, Opening: true, Token: uint64(flow)})
	}
	s.StateChanged(now, dcstate.New(dcstate.Version{Generation: 1}, []dcstate.Member{{Instance: "a"}},
		map[model.ServiceID][]dcstate.Bucket{testService: {{Base: 1, Phase: dcstate.Stable}}}), nil)
	expect := func(got []Action, want ...Action) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	expect(open(1), Forward{1, 1})
	valid = false
	expect(open(1), Refuse{1, pb.Reason_REASON_NO_SERVER})
	valid, fenced = true, true
	expect(open(2))
	expect(open(3))
	expect(open(4), Refuse{4, pb.Reason_REASON_OVERLOAD})
	now = now.Add(defaultHold)
	expect(s.Tick(now), Refuse{2, pb.Reason_REASON_INSTANCE_NOT_READY}, Refuse{3, pb.Reason_REASON_INSTANCE_NOT_READY})
}

func BenchmarkOpenStable(b *testing.B) {
	s := New(Config{Self: "a", Belongs: belongs}, flowtable.New(64, 200_000, testStart))
	s.StateChanged(testStart, dcstate.New(dcstate.Version{Generation: 1}, []dcstate.Member{{Instance: "a"}},
		map[model.ServiceID][]dcstate.Bucket{testService: {{Base: 1, Phase: dcstate.Stable}}}), nil)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		flow := model.FlowHash(i * 0x9e3779b97f4a7c15)
		s.Packet(testStart, Packet{Service: testService, Flow: flow, Opening: true, Token: i})
		s.table.Remove(testService, flow)
		if i%1000 == 0 {
			s.Tick(testStart)
		}
	}
}
