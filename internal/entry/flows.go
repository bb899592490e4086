package entry

import (
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// openingTimeout is how long an opening may go unanswered before it counts as
// evidence against the server's path.
const openingTimeout = 500 * time.Millisecond

// copiesFor is how long the server of an opening is remembered for the copies
// that the caller sends, the longest time in which it repeats one.
const copiesFor = 2 * time.Second

// sentOpening is an opening that was sent to a server.
type sentOpening struct {
	at      time.Time
	server  model.ServerID
	caller  string
	counted bool
	// done is set once the opening was answered.
	done bool
}

// openings holds the recent openings in order of sending.
type openings struct {
	sent  map[model.FlowID]*sentOpening
	order []openingDue
	// judged is the number of openings at the head of order that openingTimeout
	// has passed for.
	judged int
}

type openingDue struct {
	key model.FlowID
	at  time.Time
}

type expiredOpening struct {
	key  model.FlowID
	sent *sentOpening
}

func newOpenings() openings {
	return openings{sent: map[model.FlowID]*sentOpening{}}
}

// start notes an opening; a copy to the same server changes nothing.
func (o *openings) start(now time.Time, h *heldPacket, server model.ServerID) {
	if s := o.sent[h.flow]; s != nil && s.server == server {
		return
	} else if s != nil {
		h.counted = h.counted || (s.counted && !s.done)
	}
	o.sent[h.flow] = &sentOpening{at: now, server: server, caller: h.caller.Name, counted: h.counted}
	o.order = append(o.order, openingDue{h.flow, now})
}

// known reports whether an opening of the flow was sent lately.
func (o *openings) known(key model.FlowID) bool { return o.sent[key] != nil }

// get returns the recent opening of a flow.
func (o *openings) get(key model.FlowID) (sentOpening, bool) {
	if s := o.sent[key]; s != nil {
		return *s, true
	}
	return sentOpening{}, false
}

// answered notes the answer of a server; first is false when the opening was
// answered before or is not known.
func (o *openings) answered(key model.FlowID, server model.ServerID) (sent sentOpening, first bool) {
	s := o.sent[key]
	if s == nil || s.done || s.server != server {
		return sentOpening{}, false
	}
	s.done = true
	return *s, true
}

// refused removes an opening that its server refused.
func (o *openings) refused(key model.FlowID, server model.ServerID) (sentOpening, bool) {
	s, first := o.answered(key, server)
	if first {
		delete(o.sent, key)
	}
	return s, first
}

// forget removes the opening of a flow that ended.
func (o *openings) forget(key model.FlowID) { delete(o.sent, key) }

// expired returns the openings that have gone unanswered for openingTimeout.
func (o *openings) expired(now time.Time) []expiredOpening {
	var out []expiredOpening
	for ; o.judged < len(o.order) && now.Sub(o.order[o.judged].at) >= openingTimeout; o.judged++ {
		due := o.order[o.judged]
		if s := o.sent[due.key]; s != nil && !s.done && s.at.Equal(due.at) {
			delete(o.sent, due.key)
			out = append(out, expiredOpening{due.key, s})
		}
	}
	n := 0
	for ; n < o.judged && now.Sub(o.order[n].at) >= copiesFor; n++ {
		due := o.order[n]
		if s := o.sent[due.key]; s != nil && s.at.Equal(due.at) {
			delete(o.sent, due.key)
		}
	}
	o.order = append(o.order[:0], o.order[n:]...)
	o.judged -= n
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

// countedFlow is a flow that this instance counts against a limit.
type countedFlow struct {
	caller string
	used   time.Time
}

// trackFlow remembers the caller of a flow that this instance counts.
func (c *Core) trackFlow(now time.Time, key model.FlowID, caller string, counted bool) {
	if counted {
		c.counted[key] = &countedFlow{caller, now}
	}
}

// flowUsed notes a packet of a flow.
func (c *Core) flowUsed(now time.Time, key model.FlowID) {
	if f := c.counted[key]; f != nil {
		f.used = now
	}
}

// expireFlows gives back what idle flows count.
func (c *Core) expireFlows(now time.Time) {
	if !c.due(&c.nextFlowScan, now, flowScanInterval) {
		return
	}
	for key, f := range c.counted {
		if now.Sub(f.used) >= c.cfg.FlowIdleTimeout {
			c.flowEnded(now, key)
		}
	}
	for id, at := range c.former {
		if now.Sub(at) >= c.cfg.FlowIdleTimeout {
			delete(c.former, id)
		}
	}
}

// flowScanInterval is the time between two searches for idle flows.
const flowScanInterval = time.Second

// closeFlow ends a flow that caller or server closed.
func (c *Core) closeFlow(now time.Time, key model.FlowID, use model.Use) {
	c.openings.forget(key)
	if _, here := c.counted[key]; !here && use.ConcurrentFlows > 0 {
		c.notifyFlowEnded(key)
	}
	c.flowEnded(now, key)
}

// endFlow ends a flow that may go no further.
func (c *Core) endFlow(now time.Time, key model.FlowID, cause string) {
	c.journal.Add(now, "flow", "flow ended", cause)
	c.openings.forget(key)
	c.flowEnded(now, key)
}

// observeEnd counts the end of a flow at a server. The instance that sees the
// end need not be the one that counted the opening: only the sum over the
// instances is used. A flow that ends without a CLOSE stays in the sum.
func (c *Core) observeEnd(now time.Time, key model.FlowID, server model.ServerID) {
	c.health.Observe(now, server, pathOf(key.Flow), serverhealth.Observation{Kind: serverhealth.FlowEnded})
}

// flowEnded gives back what limits and health counted for a flow.
func (c *Core) flowEnded(now time.Time, key model.FlowID) {
	f := c.counted[key]
	if f == nil {
		return
	}
	delete(c.counted, key)
	c.postAll(c.limits.CloseFlow(now, f.caller, key.Service))
}
