package steering

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

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
	for i := range rapid.IntRange(5, 40).Draw(t, "events") {
		id := model.InstanceID(fmt.Sprintf("n%d", rapid.IntRange(0, joined-1).Draw(t, "instance")))
		switch kind := rapid.IntRange(0, kinds-1).Draw(t, "kind"); kind {
		case 0, 1:
			for range 10 {
				c.open()
			}
		case 2:
			c.move(i%testBuckets, model.ServerID(rapid.IntRange(1, 6).Draw(t, "server")))
		case 3:
			if len(c.order) < 6 {
				c.start(model.InstanceID(fmt.Sprintf("n%d", joined)))
				joined++
			}
		case 4:
			c.leave(id)
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
