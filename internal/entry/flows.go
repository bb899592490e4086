package entry

import (
	"time"

	"cuminshift/internal/flowtable"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// openingTimeout is how long an opening may go unanswered before it counts as
// evidence against the server's path.
const openingTimeout = 500 * time.Millisecond

// sentOpening is an opening that was sent to a server and not yet answered.
type sentOpening struct {
	at      time.Time
	server  model.ServerID
	caller  string
	counted bool
}

// openings tracks unanswered openings in order of sending.
type openings struct {
	sent  map[flowtable.Key]sentOpening
	order []openingDue
}

type openingDue struct {
	key flowtable.Key
	at  time.Time
}

type expiredOpening struct {
	key  flowtable.Key
	sent sentOpening
}

func newOpenings() openings {
	return openings{sent: map[flowtable.Key]sentOpening{}}
}

// start notes an opening; it returns false for a repetition.
func (o *openings) start(now time.Time, h *heldPacket, server model.ServerID) bool {
	if _, ok := o.sent[h.key]; ok {
		return false
	}
	o.sent[h.key] = sentOpening{now, server, h.caller.Name, h.counted}
	o.order = append(o.order, openingDue{h.key, now})
	return true
}

// end removes an opening that was answered or refused.
func (o *openings) end(key flowtable.Key) (sentOpening, bool) {
	s, ok := o.sent[key]
	delete(o.sent, key)
	return s, ok
}

// expired returns the openings that went unanswered for openingTimeout.
func (o *openings) expired(now time.Time) []expiredOpening {
	var out []expiredOpening
	n := 0
	for _, due := range o.order {
		if now.Sub(due.at) < openingTimeout {
			break
		}
		n++
		if s, ok := o.sent[due.key]; ok && s.at.Equal(due.at) {
			out = append(out, expiredOpening{due.key, s})
			delete(o.sent, due.key)
		}
	}
	o.order = append(o.order[:0], o.order[n:]...)
	return out
}

func (c *Core) expireOpenings(now time.Time) {
	for _, o := range c.openings.expired(now) {
		key, s := o.key, o.sent
		c.health.Observe(now, s.server, pathOf(key.Flow), serverhealth.Observation{Kind: serverhealth.TimedOut})
		if s.counted {
			c.postAll(c.limits.CloseFlow(now, s.caller, key.Service))
		}
	}
}

// trackFlow remembers the caller of a flow that this instance counts.
func (c *Core) trackFlow(key flowtable.Key, caller string, counted bool) {
	if counted {
		c.counted[key] = caller
	}
}

// closeFlow ends a flow that caller or server closed.
func (c *Core) closeFlow(now time.Time, key flowtable.Key, use model.Use) {
	c.steerActions(now, c.steering.Close(now, key.Service, key.Flow))
	if _, here := c.counted[key]; !here && use.ConcurrentFlows > 0 {
		c.notifyFlowEnded(key)
	}
	c.flowEnded(now, key)
}

// endFlow drops the pin of a flow that may go no further.
func (c *Core) endFlow(now time.Time, key flowtable.Key, cause string) {
	if _, known := c.flows.Peek(key.Service, key.Flow); !known {
		return
	}
	c.journal.Add(now, "flow", "flow ended", cause)
	c.steerActions(now, c.steering.Close(now, key.Service, key.Flow))
	c.flowEnded(now, key)
}

// observeEnd counts the end of a flow at a server. The instance that sees the
// end need not be the one that counted the opening: only the sum over the
// instances is used. A flow that ends without a CLOSE stays in the sum.
func (c *Core) observeEnd(now time.Time, key flowtable.Key, server model.ServerID) {
	c.health.Observe(now, server, pathOf(key.Flow), serverhealth.Observation{Kind: serverhealth.FlowEnded})
}

// flowEnded gives back what limits and health counted for a flow.
func (c *Core) flowEnded(now time.Time, key flowtable.Key) {
	caller, ok := c.counted[key]
	if !ok {
		return
	}
	delete(c.counted, key)
	c.postAll(c.limits.CloseFlow(now, caller, key.Service))
}
