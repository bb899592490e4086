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
	// slowTickInterval is the time between runs of slowTick, the periodic work
	// that needs no quick reaction.
	slowTickInterval = 100 * time.Millisecond
	// summaryInterval is the time between summaries to other data centres.
	summaryInterval = 500 * time.Millisecond
	// summaryRecipients is the largest number of instances of each other data
	// centre that receive a summary.
	summaryRecipients = 4
	// leaveLinger is how long a leaving instance continues to forward packets
	// after all handovers, because the instance list that the fabric reads lags.
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
	c.postAll(c.members.Tick(now, c.localStatus(now)))
	c.publish(now)
	c.postAll(c.replica.Tick(now))
	c.postAll(c.admitter.Tick(now))
	c.applyRequestActions(now, c.coordinator.Tick(now))
	if c.due(&c.nextSummary, now, summaryInterval) {
		c.sendSummaries(now)
	}
	c.finishLeave(now)
}

// due reports whether the time *next has been reached, and if so moves it to
// interval after now.
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
			c.journal.Add(now, "path", "path replaced at "+c.serverName(a.Server), "only this path gets no answers")
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

// observeConditions passes the conditions of all servers of the data centre to
// the admitter. It needs those of servers that have another admitter as well:
// this instance may become their admitter, and a server that is then known to be
// warm needs no new slow-start ramp.
func (c *Core) observeConditions(now time.Time) {
	if c.catalog == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.catalog.Servers)) {
		if c.catalog.Servers[id].DataCentre == c.cfg.DataCentre {
			c.postAll(c.admitter.Observe(now, id, c.health.RecentCondition(now, id)))
		}
	}
}

// updateKnownInstances passes the known instances to the limits, which are
// divided among them, and to the admitter.
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

// shareGrowthDelay is how long this instance waits before its share of the
// openings at a cold server grows because another instance is gone. Instances
// notice a change at different times. If a share grew too early, the sum of the
// shares in use could exceed the limit.
const shareGrowthDelay = 3 * time.Second

// coldStartShare returns the number of instances among which the openings at a
// cold server are divided, and the rank of this instance among them.
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

// recordFenceChange records in the journal that the instance is fenced because
// it lost its lease, or that it no longer is.
func (c *Core) recordFenceChange(now time.Time) {
	fenced := c.members.Fenced(now)
	if fenced == c.fenced {
		return
	}
	c.fenced = fenced
	if fenced {
		c.journal.Add(now, "entry", "fenced", "no acknowledged heartbeat within the lease")
	} else {
		c.journal.Add(now, "entry", "no longer fenced", "caught up with the publisher")
	}
}

// localStatus returns the input of membership.Tick. Once per heartbeat interval it
// prepares new server reports, which it also merges with those of the others.
func (c *Core) localStatus(now time.Time) membership.LocalStatus {
	l := membership.LocalStatus{
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

// heldGrants returns a function with which the admitter queries the grants that
// the coordinator holds.
func (c *Core) heldGrants(now time.Time) admission.HeldGrants {
	return func(server model.ServerID) []*pb.OutstandingGrant {
		return c.coordinator.HeldGrants(now, server)
	}
}

// slowPublishAbove is the number of members above which the publisher decides
// once per slowTickInterval. For 750 instances a decision takes 0.6 ms of CPU
// time, which in every tick would be 3% of a CPU core.
const slowPublishAbove = 64

// publishInterval returns the time between two decisions of the publisher.
func (c *Core) publishInterval() time.Duration {
	if len(c.state.Members) > slowPublishAbove {
		return slowTickInterval
	}
	return TickInterval
}

// publish publishes a new view if this instance is the publisher and the view
// has changed.
func (c *Core) publish(now time.Time) {
	if !c.due(&c.nextPublish, now, c.publishInterval()) {
		return
	}
	if update := c.members.Publish(now); update != nil {
		for _, to := range c.members.StateRecipients(now) {
			c.post(peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_StateUpdate{StateUpdate: update}}})
		}
		c.applyStateUpdate(now, update)
	}
}

// mergeReports updates the server verdicts and the version in force, which the
// publisher sends to the other instances.
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
	c.verdicts, c.inForceVersion = verdicts, c.members.InForceVersion(now)
	c.steering.SetInForceVersion(c.inForceVersion)
	c.health.SetVerdicts(now, c.verdicts)
}

// recordVerdicts records in the journal the servers whose merged condition has
// changed.
func (c *Core) recordVerdicts(now time.Time, before, after []*pb.ServerVerdict) {
	conditions := make(map[uint64]pb.ServerCondition, len(before))
	for _, v := range before {
		conditions[v.GetServer()] = v.GetCondition()
	}
	for _, v := range after {
		if conditions[v.GetServer()] != v.GetCondition() {
			c.journal.Add(now, "server", c.serverName(model.ServerID(v.GetServer()))+" is "+formatCondition(v.GetCondition()), "merged reports of the instances")
		}
		delete(conditions, v.GetServer())
	}
	for _, id := range slices.Sorted(maps.Keys(conditions)) {
		c.journal.Add(now, "server", c.serverName(model.ServerID(id))+" is healthy", "merged reports of the instances")
	}
}

func formatCondition(condition pb.ServerCondition) string {
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

// applyStateUpdate applies a state update if it is newer than the current state.
func (c *Core) applyStateUpdate(now time.Time, u *pb.StateUpdate) {
	next, ok := c.state.Apply(u)
	if !ok {
		return
	}
	old := c.state
	c.state = next
	c.members.SetAppliedState(now, next)
	c.replica.SetLive(next.Owners())
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

// expireHeldPackets drops the packets that have been held for heldPacketTimeout.
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

// startLeave announces that this instance leaves, after which the other
// instances take over. cause is a free text for the journal.
func (c *Core) startLeave(now time.Time, cause string) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.journal.Add(now, "entry", "leaving", cause)
	c.postAll(c.members.Leave(now))
}

// finishLeave completes a planned stop once nothing depends on this instance.
// The instance continues to serve for leaveLinger after all handovers, and only
// then accepts no further requests.
func (c *Core) finishLeave(now time.Time) {
	if !c.stopping || c.stopped {
		return
	}
	alone := len(c.state.Owners()) == 0
	readyToStop := alone || (c.members.LeaveInView() && c.admitter.HandoversPending() == 0)
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
