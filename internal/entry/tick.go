package entry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cuminshift/internal/admission"
	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/serverhealth"
)

const (
	// slowTickInterval is the time between decisions that need no quick reaction.
	slowTickInterval = 100 * time.Millisecond
	// summaryInterval is the time between summaries to other data centres.
	summaryInterval = 500 * time.Millisecond
	// summaryRecipients bounds the instances of each other data centre that
	// get a summary.
	summaryRecipients = 4
	// leaveLinger is how long a leaving instance goes on forwarding after it
	// has handed over, because the instance list that the fabric reads lags.
	leaveLinger = 1500 * time.Millisecond
)

func (c *Core) tick(now time.Time) {
	c.detectPause(now)
	c.expireHeldPackets(now)
	c.expireOpenings(now)
	c.expireIdleFlows(now)
	if c.due(&c.nextSlowTick, now, slowTickInterval) {
		c.slowTick(now)
	}
	c.postAll(c.members.Tick(now, c.localState(now)))
	c.publish(now)
	c.postAll(c.holder.Tick(now))
	c.postAll(c.admitter.Tick(now))
	c.applyRequestActions(now, c.coordinator.Tick(now))
	if c.due(&c.nextSummary, now, summaryInterval) {
		c.sendSummaries(now)
	}
	c.finishLeave(now)
}

// due reports whether *next has come and sets the next time.
func (c *Core) due(next *time.Time, now time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

func (c *Core) slowTick(now time.Time) {
	for _, action := range c.health.Tick(now) {
		if a, ok := action.(serverhealth.ReplacePath); ok {
			c.journal.Add(now, "path", "path replaced at "+c.serverName(a.Server), "answers missing on this path only")
			c.emit(ReplacePath{Server: a.Server, Path: a.Path})
		}
	}
	messages, resolved := c.limits.Tick(now)
	c.continueResolved(now, messages, resolved)
	c.observeConditions(now)
	c.updateKnownInstances(now)
	c.recordFenceChange(now)
	c.mergeReports(now)
}

// observeConditions tells the admitter what this instance sees of the
// servers: of those that it admits to, and of the others because it may take
// them over, and a server known to be warm then needs no new ramp.
func (c *Core) observeConditions(now time.Time) {
	if c.catalog == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.catalog.Servers)) {
		if c.catalog.Servers[id].DataCentre == c.cfg.DataCentre {
			c.postAll(c.admitter.Observe(now, id, c.health.Recent(now, id)))
		}
	}
}

// updateKnownInstances tells the limits how many instances share them.
func (c *Core) updateKnownInstances(now time.Time) {
	known := c.members.KnownInstances(now)
	if !equalIDs(known, c.knownInstances) {
		c.knownInstances = append(c.knownInstances[:0], known...)
		c.limits.SetInstances(now, known)
		c.postAll(c.admitter.SetKnownInstances(now, known))
	}
}

func equalIDs(a, b []model.InstanceID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// shareGrowthDelay is how long an instance goes on sharing with one that is gone.
// The others learn of a change at other times, and a share that grew too early
// would add to one that still counts.
const shareGrowthDelay = 3 * time.Second

// coldStartShare returns the number of instances that share what a server in
// cold start bears, and this instance's place among them.
func (c *Core) coldStartShare(now time.Time) (count, rank int) {
	if len(c.knownInstances) >= len(c.coldSharers) || now.Sub(c.coldSharersSince) >= shareGrowthDelay {
		c.coldSharers, c.coldSharersSince = append(c.coldSharers[:0], c.knownInstances...), now
	}
	for i, id := range c.coldSharers {
		if id == c.cfg.Self {
			return len(c.coldSharers), i
		}
	}
	return len(c.coldSharers) + 1, len(c.coldSharers)
}

// recordFenceChange records when the instance loses or regains its lease.
func (c *Core) recordFenceChange(now time.Time) {
	fenced := c.members.Fenced(now)
	if fenced == c.fenced {
		return
	}
	c.fenced = fenced
	if fenced {
		c.journal.Add(now, "entry", "fenced", "no acknowledged heartbeat within the lease")
	} else {
		c.journal.Add(now, "entry", "lease held", "caught up with the publisher")
	}
}

func (c *Core) localState(now time.Time) membership.Local {
	l := membership.Local{
		Ready: c.catalog != nil,
	}
	if c.catalog != nil {
		l.ConfigVersion = c.catalog.Version
		l.InstancesOut = c.catalog.InstancesOut
	}
	if c.due(&c.nextReports, now, c.cfg.HeartbeatInterval) {
		c.ownReports = c.health.Reports(now)
		c.mergedReports.Add(now, c.cfg.Self, c.cfg.Incarnation, c.ownReports)
	}
	l.Reports = c.ownReports
	return l
}

// heldGrants lets the admitter ask which grants the coordinator holds.
func (c *Core) heldGrants(now time.Time) admission.Held {
	return func(server model.ServerID) []*pb.OutstandingGrant {
		return c.coordinator.Held(now, server)
	}
}

// slowPublishAbove is the number of members above which the publisher decides
// once per slowInterval: a view of 750 instances takes 0.6 ms of a core, which
// in each tick would be 3% of it.
const slowPublishAbove = 64

func (c *Core) publishInterval() time.Duration {
	if len(c.state.Members) > slowPublishAbove {
		return slowTickInterval
	}
	return TickInterval
}

// publish renews the view when this instance is the publisher.
func (c *Core) publish(now time.Time) {
	if !c.due(&c.nextPublish, now, c.publishInterval()) {
		return
	}
	if update := c.members.Publish(now); update != nil {
		for _, to := range c.members.Recipients(now) {
			c.post(peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: update}}})
		}
		c.applyStateUpdate(now, update)
	}
}

// mergeReports renews what the publisher tells the other instances.
func (c *Core) mergeReports(now time.Time) {
	if !c.members.Publishing(now) || c.catalog == nil {
		c.verdicts, c.inForceVersion = nil, 0
		return
	}
	incarnations := make(map[model.InstanceID]uint64, len(c.state.Members))
	for _, m := range c.state.Members {
		incarnations[m.Instance] = m.Incarnation
	}
	c.mergedReports.Retain(incarnations, c.catalog.Servers)
	verdicts := c.mergedReports.Verdicts(now)
	c.recordVerdicts(now, c.verdicts, verdicts)
	c.verdicts, c.inForceVersion = verdicts, c.members.InForce(now)
	c.steering.SetInForceVersion(c.inForceVersion)
	c.health.SetVerdicts(now, c.verdicts)
}

// recordVerdicts records the servers whose merged condition has changed.
func (c *Core) recordVerdicts(now time.Time, before, after []*pb.ServerVerdict) {
	conditions := make(map[uint64]pb.ServerCondition, len(before))
	for _, v := range before {
		conditions[v.GetServer()] = v.GetCondition()
	}
	for _, v := range after {
		if conditions[v.GetServer()] != v.GetCondition() {
			c.journal.Add(now, "server", c.serverName(model.ServerID(v.GetServer()))+" is "+conditionText(v.GetCondition()), "reports of the instances")
		}
		delete(conditions, v.GetServer())
	}
	for _, id := range slices.Sorted(maps.Keys(conditions)) {
		c.journal.Add(now, "server", c.serverName(model.ServerID(id))+" is healthy", "reports of the instances")
	}
}

func conditionText(condition pb.ServerCondition) string {
	return strings.ToLower(strings.TrimPrefix(condition.String(), "SERVER_CONDITION_"))
}

func (c *Core) serverName(id model.ServerID) string {
	if c.catalog != nil {
		if s := c.catalog.Servers[id]; s != nil {
			return s.Name
		}
	}
	return "unknown server"
}

// applyStateUpdate makes a newer state the current one.
func (c *Core) applyStateUpdate(now time.Time, u *pb.StateUpdate) {
	next, ok := c.state.Apply(u)
	if !ok {
		return
	}
	old := c.state
	c.state = next
	c.members.Applied(now, next)
	c.holder.SetLive(next.Owners())
	c.postAll(c.admitter.StateChanged(now, old, next, c.heldGrants(now)))
	c.applyRequestActions(now, c.coordinator.StateChanged(now, old, next))
	if len(old.Members) != len(next.Members) {
		c.journal.Add(now, "view", "view changed", formatView(next))
	}
}

func formatView(s *dcstate.State) string {
	text := ""
	for i, m := range s.Members {
		if i > 0 {
			text += " "
		}
		text += string(m.Instance)
	}
	return text
}

func (c *Core) expireHeldPackets(now time.Time) {
	if !c.due(&c.nextHeldPacketScan, now, slowTickInterval) {
		return
	}
	for id, pending := range c.heldPackets {
		if now.Sub(pending.receivedAt) >= heldPacketTimeout {
			delete(c.heldPackets, id)
			c.counts.add(countHeldTimeout)
			c.releaseLimits(now, pending)
		}
	}
}

// startLeave announces a planned leave and hands over.
func (c *Core) startLeave(now time.Time, cause string) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.journal.Add(now, "entry", "leaving", cause)
	c.postAll(c.members.Leave(now))
}

// finishLeave ends a planned stop once nothing depends on this instance. It
// goes on serving for leaveLinger after it has handed over, and only then
// takes no further requests.
func (c *Core) finishLeave(now time.Time) {
	if !c.stopping || c.stopped {
		return
	}
	alone := len(c.state.Owners()) == 0
	readyToStop := alone || (c.members.LeaveKnown() && c.admitter.HandoversPending() == 0)
	if readyToStop && !c.handedOver {
		c.handedOver, c.lingerStart = true, now
	}
	if !c.handedOver || now.Sub(c.lingerStart) < leaveLinger {
		return
	}
	c.coordinator.Stop()
	if readyToStop && c.coordinator.Idle() {
		c.stopped = true
		c.emit(Stopped{})
	}
}
