package entry

import (
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// openingTimeout is the time after which an unanswered opening counts as a
// timeout against the server and the path to it.
const openingTimeout = 500 * time.Millisecond

// openingRetention is how long the server of an opening is remembered, so that
// retransmitted copies reach the same server. It is the longest time for which
// a caller retransmits an opening.
const openingRetention = 2 * time.Second

// sentOpening is an opening that was sent to a server.
type sentOpening struct {
	sentAt     time.Time
	server     model.ServerID
	callerName string
	// counted is set when the opening counts against a limit on concurrent
	// flows.
	counted bool
	// answered is set once the server has answered.
	answered bool
}

// openingTable holds the recent openings, at most one of each flow.
type openingTable struct {
	byFlow map[model.FlowID]*sentOpening
	// order lists the openings in the order in which they were sent. A record
	// may outlive its opening in byFlow.
	order []openingRecord
	// checked is the number of records at the start of order that have been
	// checked for a timeout.
	checked int
}

type openingRecord struct {
	flow   model.FlowID
	sentAt time.Time
}

type expiredOpening struct {
	flow    model.FlowID
	opening *sentOpening
}

func newOpeningTable() openingTable {
	return openingTable{byFlow: map[model.FlowID]*sentOpening{}}
}

// add records that an opening is sent to a server. A copy to the same server
// changes nothing.
func (o *openingTable) add(now time.Time, pending *pendingPacket, server model.ServerID) {
	if s := o.byFlow[pending.flow]; s != nil && s.server == server {
		return
	} else if s != nil {
		pending.counted = pending.counted || (s.counted && !s.answered)
	}
	o.byFlow[pending.flow] = &sentOpening{sentAt: now, server: server, callerName: pending.caller.Name, counted: pending.counted}
	o.order = append(o.order, openingRecord{pending.flow, now})
}

func (o *openingTable) contains(flow model.FlowID) bool { return o.byFlow[flow] != nil }

func (o *openingTable) get(flow model.FlowID) (sentOpening, bool) {
	if s := o.byFlow[flow]; s != nil {
		return *s, true
	}
	return sentOpening{}, false
}

// markAnswered records the answer of a server. first is false when the opening
// has been answered before or is not in the table.
func (o *openingTable) markAnswered(flow model.FlowID, server model.ServerID) (sent sentOpening, first bool) {
	s := o.byFlow[flow]
	if s == nil || s.answered || s.server != server {
		return sentOpening{}, false
	}
	s.answered = true
	return *s, true
}

// removeRefused removes an opening that its server refused.
func (o *openingTable) removeRefused(flow model.FlowID, server model.ServerID) (sentOpening, bool) {
	s, first := o.markAnswered(flow, server)
	if first {
		delete(o.byFlow, flow)
	}
	return s, first
}

func (o *openingTable) remove(flow model.FlowID) { delete(o.byFlow, flow) }

// takeExpired removes and returns the openings that have not been answered
// within openingTimeout. It also removes answered openings after
// openingRetention.
func (o *openingTable) takeExpired(now time.Time) []expiredOpening {
	var out []expiredOpening
	for ; o.checked < len(o.order) && now.Sub(o.order[o.checked].sentAt) >= openingTimeout; o.checked++ {
		record := o.order[o.checked]
		if s := o.byFlow[record.flow]; s != nil && !s.answered && s.sentAt.Equal(record.sentAt) {
			delete(o.byFlow, record.flow)
			out = append(out, expiredOpening{record.flow, s})
		}
	}
	n := 0
	for ; n < o.checked && now.Sub(o.order[n].sentAt) >= openingRetention; n++ {
		record := o.order[n]
		if s := o.byFlow[record.flow]; s != nil && s.sentAt.Equal(record.sentAt) {
			delete(o.byFlow, record.flow)
		}
	}
	o.order = append(o.order[:0], o.order[n:]...)
	o.checked -= n
	return out
}

// expireOpenings reports openings that were not answered in time to the server
// health and releases their places under a limit.
func (c *Core) expireOpenings(now time.Time) {
	for _, o := range c.recentOpenings.takeExpired(now) {
		flow, s := o.flow, o.opening
		c.health.Observe(now, s.server, pathOf(flow.Flow), serverhealth.Observation{Kind: serverhealth.TimedOut})
		if s.counted {
			c.postAll(c.limits.CloseFlow(now, s.callerName, flow.Service))
		}
	}
}

// countedFlow is a flow that this instance counts against a limit.
type countedFlow struct {
	callerName string
	lastUsed   time.Time
}

// countFlow records a flow whose opening was answered, if this instance counts it
// against a limit. caller is the caller's name.
func (c *Core) countFlow(now time.Time, flow model.FlowID, caller string, counted bool) {
	if counted {
		c.countedFlows[flow] = &countedFlow{caller, now}
	}
}

// touchFlow records that a packet of a flow has just passed, for flows that this
// instance counts against a limit.
func (c *Core) touchFlow(now time.Time, flow model.FlowID) {
	if f := c.countedFlows[flow]; f != nil {
		f.lastUsed = now
	}
}

// expireIdleFlows releases the places of idle flows under a limit, and forgets
// servers that were removed longer than FlowIdleTimeout ago.
func (c *Core) expireIdleFlows(now time.Time) {
	if !c.due(&c.nextIdleFlowScan, now, idleFlowScanInterval) {
		return
	}
	for flow, f := range c.countedFlows {
		if now.Sub(f.lastUsed) >= c.cfg.FlowIdleTimeout {
			c.releaseFlow(now, flow)
		}
	}
	for id, at := range c.removedServers {
		if now.Sub(at) >= c.cfg.FlowIdleTimeout {
			delete(c.removedServers, id)
		}
	}
	c.unknownTokens.expire(now.Add(-configApplyLimit - c.cfg.FlowIdleTimeout))
}

// idleFlowScanInterval is the time between two scans for idle flows.
const idleFlowScanInterval = time.Second

// closeFlow ends a flow that its caller or its server closed. If another
// instance may count the flow against a limit, the other instances are notified.
func (c *Core) closeFlow(now time.Time, flow model.FlowID, use model.PlanUse) {
	c.dropOpening(now, flow)
	if _, countedHere := c.countedFlows[flow]; !countedHere && use.ConcurrentFlows > 0 {
		c.notifyFlowEnded(flow)
	}
	c.releaseFlow(now, flow)
}

// dropOpening forgets a recent opening whose flow has ended. An opening that no server
// has answered through this instance still has its place under a limit, which no
// counted flow has taken over.
func (c *Core) dropOpening(now time.Time, flow model.FlowID) {
	if sent, ok := c.recentOpenings.get(flow); ok && sent.counted && !sent.answered {
		c.postAll(c.limits.CloseFlow(now, sent.callerName, flow.Service))
	}
	c.recentOpenings.remove(flow)
}

// abortFlow ends a flow whose packets are no longer forwarded. cause is a free
// text for the journal.
func (c *Core) abortFlow(now time.Time, flow model.FlowID, cause string) {
	c.journal.Add(now, "flow", "flow ended", cause)
	c.dropOpening(now, flow)
	c.releaseFlow(now, flow)
}

// observeFlowEnd counts the end of a flow at a server. The instance that observes
// the end may not be the one that counted the opening; the sum over all instances
// is right nevertheless. A flow that ends without a CLOSE stays in the sum.
func (c *Core) observeFlowEnd(now time.Time, flow model.FlowID, server model.ServerID) {
	c.health.Observe(now, server, pathOf(flow.Flow), serverhealth.Observation{Kind: serverhealth.FlowEnded})
}

// releaseFlow releases the flow's place under a limit, if this instance counts
// the flow.
func (c *Core) releaseFlow(now time.Time, flow model.FlowID) {
	f := c.countedFlows[flow]
	if f == nil {
		return
	}
	delete(c.countedFlows, flow)
	c.postAll(c.limits.CloseFlow(now, f.callerName, flow.Service))
}
