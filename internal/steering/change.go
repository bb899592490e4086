package steering

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

// outAfter is the shortest time of fencing after which the publisher may have
// declared the instance out: dead_after (1 s) less the lease (600 ms).
const outAfter = 400 * time.Millisecond

// StateChanged adopts a newer state. died lists the instances that left the
// view without a planned leave since the state before it. A member whose
// incarnation changed while it was not LEAVING counts as dead in any case.
func (s *Steering) StateChanged(now time.Time, state *dcstate.State, died []model.InstanceID) []Action {
	old := s.state
	if old != nil && !old.Version.Less(state.Version) {
		return s.flush(now)
	}
	s.state = state
	s.versions = append(s.versions, state.Version)
	gone := s.membersChanged(now, old, died)
	if s.wasOut(now, old) {
		s.forgetRecords()
		s.joined, s.vouched = now, false
		old = dcstate.New(old.Version, nil, old.Services)
	}
	changed := s.bucketsChanged(now, old)
	s.dropFilters(old, changed)
	moved := s.retarget(gone, func(service model.ServiceID) bool { return s.isResized(old, service) })
	s.renumber(now, old)
	s.assignRoles(now, old, changed, gone)
	for _, o := range moved {
		s.report(now, o)
		s.release(o.receipt)
	}
	s.dropRedundant(changed)
	s.vouch(now, old)
	if s.departing() {
		s.reportPins(now, nil)
	} else if old != nil {
		s.reportPins(now, s.pinsToReport(old, changed))
	}
	s.redirectWaits(now, gone)
	s.askAgain(now, changed)
	for _, id := range sortedKeys(s.asks, cmp.Compare[uint64]) {
		a := s.asks[id]
		for _, m := range slices.Clone(a.missing) {
			if gone(m) {
				s.answered(now, a, m)
			}
		}
	}
	s.sendLinks(now)
	return s.flush(now)
}

// wasOut reports whether the instance was probably out of the view between
// the two states: it was fenced for long enough, and at least two states
// (without it, and with it again) were published meanwhile.
func (s *Steering) wasOut(now time.Time, old *dcstate.State) bool {
	return old != nil && !s.lastUnfenced.IsZero() && now.Sub(s.lastUnfenced) >= outAfter &&
		s.state.Version.Generation >= old.Version.Generation+2
}

// forgetRecords drops what an instance that was out may no longer assert:
// others have owned its buckets meanwhile. Its pins stay. Like a new member, it
// does not know what happened meanwhile to openings that it now receives.
func (s *Steering) forgetRecords() {
	s.copies = map[bucketID]*bucketCopy{}
	s.resolutions = map[key]*resolution{}
	s.asks = map[uint64]*ask{}
}

// membersChanged notes deaths and joins, and returns a function that reports
// whether a member of the old view has left it or was restarted.
func (s *Steering) membersChanged(now time.Time, old *dcstate.State, died []model.InstanceID) func(model.InstanceID) bool {
	before := map[model.InstanceID]dcstate.Member{}
	if old != nil {
		for _, m := range old.Members {
			before[m.Instance] = m
		}
	}
	left := map[model.InstanceID]bool{}
	for id := range before {
		left[id] = true
	}
	if len(died) > 0 {
		s.lastDeath = now
	}
	for _, m := range s.state.Members {
		was, ok := before[m.Instance]
		same := ok && was.Incarnation == m.Incarnation
		if same {
			delete(left, m.Instance)
		} else if m.Instance != s.cfg.Self {
			s.lastJoin = now
		}
	}
	for id := range left {
		if s.inView(id) && before[id].State != pb.InstanceState_INSTANCE_STATE_LEAVING {
			s.lastDeath = now // restarted
		}
		delete(s.received, linkID{id, false})
		delete(s.received, linkID{id, true})
	}
	return func(id model.InstanceID) bool { return left[id] || !s.inView(id) }
}

// bucketsChanged notes and returns the buckets that differ between the states.
func (s *Steering) bucketsChanged(now time.Time, old *dcstate.State) []bucketID {
	if old == nil {
		s.joined, s.lastJoin = now, now
		return nil
	}
	var changed []bucketID
	for service, buckets := range s.state.Services {
		was := old.Services[service]
		if len(was) == len(buckets) && len(was) > 0 && &was[0] == &buckets[0] {
			continue
		}
		carried := s.takeOpeningChanges(service, len(was) != len(buckets))
		for n, b := range buckets {
			former, ok := formerBucket(was, n, len(buckets))
			if len(was) == len(buckets) && former == b {
				continue
			}
			id := bucketID{service, n}
			changed = append(changed, id)
			s.changed[id] = now
			if at, found := carried[n*len(was)/len(buckets)]; found {
				s.openingChanged[id] = at
			}
			if ok && former.OpeningServer() != 0 && former.OpeningServer() != b.OpeningServer() || !ok && len(was) > 0 {
				s.openingChanged[id] = now
			}
		}
	}
	slices.SortFunc(changed, compareBuckets)
	return changed
}

// takeOpeningChanges removes and returns what is known about the buckets of a
// service that is resized, by their former numbers.
func (s *Steering) takeOpeningChanges(service model.ServiceID, resized bool) map[int]time.Time {
	taken := map[int]time.Time{}
	for id, at := range s.openingChanged {
		if resized && id.service == service {
			taken[id.number] = at
			delete(s.openingChanged, id)
		}
	}
	return taken
}

// isResized reports whether the service's number of buckets changed.
func (s *Steering) isResized(old *dcstate.State, service model.ServiceID) bool {
	return old != nil && len(old.Services[service]) != len(s.state.Services[service])
}

// renumber sorts the records of resized services into the new buckets. The
// copies keep their authority, so that assignRoles hands them over.
func (s *Steering) renumber(now time.Time, old *dcstate.State) {
	for service := range s.state.Services {
		if s.isResized(old, service) {
			s.resizedAt[service] = s.state.Version
		}
	}
	var records []op
	for _, id := range sortedKeys(s.copies, compareBuckets) {
		if !s.isResized(old, id.service) {
			continue
		}
		c := s.copies[id]
		delete(s.copies, id)
		if !c.authority {
			continue
		}
		for f, r := range c.flows {
			records = append(records, op{key: key{Service: id.service, Flow: f}, server: r.server})
		}
	}
	for _, o := range records {
		if id, _, ok := s.bucketOf(o.key); ok {
			c := s.copyOf(now, id)
			c.authority = true
			c.flows[o.key.Flow] = record{o.server, now}
		}
	}
}

// formerBucket returns the bucket that held the flows of bucket n of count
// before the change; false when there was none, or several.
func formerBucket(was []dcstate.Bucket, n, count int) (dcstate.Bucket, bool) {
	if len(was) == 0 || len(was) > count {
		return dcstate.Bucket{}, false
	}
	return was[n*len(was)/count], true
}

// assignRoles brings the copies in line with the owners and backups of the
// new state. When the view is the same, only changed buckets are considered,
// because ranking the members for each questionable bucket is expensive.
func (s *Steering) assignRoles(now time.Time, old *dcstate.State, changed []bucketID, gone func(model.InstanceID) bool) {
	ids := map[bucketID]bool{}
	if old != nil && slices.Equal(old.Members, s.state.Members) {
		for _, id := range changed {
			ids[id] = s.copies[id] != nil || s.state.Services[id.service][id.number].Questionable()
		}
	} else {
		for id := range s.copies {
			ids[id] = true
		}
		s.questionable(ids)
	}
	maps.DeleteFunc(ids, func(_ bucketID, wanted bool) bool { return !wanted })
	for _, id := range sortedKeys(ids, compareBuckets) {
		var oldOwner, oldBackup model.InstanceID
		if old != nil && len(old.Services[id.service]) == len(s.state.Services[id.service]) {
			oldOwner, oldBackup = old.Owner(id.service, id.number)
		}
		owner, backup := s.state.Owner(id.service, id.number)
		c := s.copies[id]
		if c != nil {
			c.owner, c.backup = owner, backup
		}
		if owner == s.cfg.Self {
			s.own(now, id, oldOwner, oldBackup, gone)
		} else if c != nil {
			s.disown(now, id, c, oldOwner, oldBackup, gone)
		}
	}
}

// questionable adds the questionable buckets of the current state to ids.
func (s *Steering) questionable(ids map[bucketID]bool) {
	for service, buckets := range s.state.Services {
		for n, b := range buckets {
			if b.Questionable() {
				ids[bucketID{service, n}] = true
			}
		}
	}
}

// own makes this instance the owner of a bucket, or keeps it the owner.
func (s *Steering) own(now time.Time, id bucketID, oldOwner, oldBackup model.InstanceID, gone func(model.InstanceID) bool) {
	c := s.copies[id]
	kept := oldOwner == s.cfg.Self
	if c == nil {
		if !s.state.Services[id.service][id.number].Questionable() {
			return
		}
		c = s.copyOf(now, id)
		// The bucket was STABLE and had no records.
		c.complete = kept
	}
	if !kept {
		// The copy is complete if the former owner's handover came before the
		// state; a copy that was being handed over to another owner is not.
		c.complete = c.complete && c.authority && c.handing == ""
		c.since = now
		for f, r := range c.flows {
			c.flows[f] = record{r.server, now}
		}
	}
	c.authority, c.handing = true, ""
	if c.backup == "" || kept && c.backup == oldBackup && !gone(c.backup) {
		return
	}
	if !kept && c.backup == oldOwner && !gone(oldOwner) {
		return // the former owner has the records that it hands over
	}
	for _, f := range sortedKeys(c.flows, cmp.Compare[model.FlowHash]) {
		s.enqueue(c.backup, op{kind: opBackup, key: key{Service: id.service, Flow: f}, server: c.flows[f].server})
	}
}

// disown hands over, keeps as backup, or drops the copy of a bucket that this
// instance does not own.
func (s *Steering) disown(now time.Time, id bucketID, c *bucketCopy, oldOwner, oldBackup model.InstanceID, gone func(model.InstanceID) bool) {
	idle := len(c.flows) == 0 && !s.state.Services[id.service][id.number].Questionable()
	switch {
	case c.authority && !idle:
		s.passOn(now, id, c, nil)
	case c.authority:
		c.authority = false
	case oldBackup == s.cfg.Self && oldOwner != "" && gone(oldOwner):
		// The former owner died and another instance than its backup follows.
		for _, f := range sortedKeys(c.flows, cmp.Compare[model.FlowHash]) {
			s.report(now, op{kind: opReport, key: key{Service: id.service, Flow: f}, server: c.flows[f].server})
		}
	}
	if !c.authority && c.backup != s.cfg.Self {
		delete(s.copies, id)
	}
}

// dropRedundant removes the records of flows that unknown packets now reach
// without a record. Owner and backup both do so.
func (s *Steering) dropRedundant(changed []bucketID) {
	for _, id := range changed {
		c := s.copies[id]
		if c == nil {
			continue
		}
		b := s.state.Services[id.service][id.number]
		for f, r := range c.flows {
			if redundant(b, r.server) {
				delete(c.flows, f)
			}
		}
		if len(c.flows) == 0 && !b.Questionable() && c.handing == "" {
			delete(s.copies, id)
		}
	}
}

// pinsToReport returns the changed buckets whose pins may have become
// exceptions.
func (s *Steering) pinsToReport(old *dcstate.State, changed []bucketID) map[bucketID]bool {
	ids := map[bucketID]bool{}
	for _, id := range changed {
		buckets := s.state.Services[id.service]
		b := buckets[id.number]
		was, _ := formerBucket(old.Services[id.service], id.number, len(buckets))
		if b.Base != was.Base || b.Phase == dcstate.Collecting {
			ids[id] = true
		}
	}
	return ids
}

// rangeScans is the number of buckets up to which the pins of each bucket are
// looked up by range; above it, one pass over the table is cheaper.
const rangeScans = 16

// reportPins reports to the owners the pins of the buckets that need a
// record; nil stands for all buckets. A collection includes pins that are
// marked as recorded, because the owner drops records that become redundant
// while the pin keeps its mark.
func (s *Steering) reportPins(now time.Time, ids map[bucketID]bool) {
	if ids != nil && len(ids) == 0 {
		return
	}
	type found struct {
		key    key
		server model.ServerID
	}
	var list []found
	departing := s.departing()
	visit := func(k flowtable.Key, p flowtable.Pin) bool {
		id, b, ok := s.bucketOf(k)
		if !ok || ids != nil && !ids[id] || !s.belongs(k.Service, p.Server) {
			return true
		}
		collect := b.Phase == dcstate.Collecting && p.Server != b.Next
		fresh := !p.Recorded && (exceptional(b, p.Server) || departing)
		if collect || fresh {
			list = append(list, found{k, p.Server})
		}
		return true
	}
	if ids == nil || len(ids) > rangeScans {
		s.table.Range(visit)
	} else {
		for _, id := range sortedKeys(ids, compareBuckets) {
			low, high := flowRange(id.number, len(s.state.Services[id.service]))
			s.table.RangeFlows(low, high, visit)
		}
	}
	r := &receipt{left: 1, version: s.state.Version}
	for _, f := range list {
		s.report(now, op{kind: opCollected, key: f.key, server: f.server, receipt: r})
		s.table.SetRecorded(f.key.Service, f.key.Flow, true)
	}
	if s.release(r); r.left > 0 {
		s.collecting = append(s.collecting, r)
	}
}

// flowRange returns the lowest and highest flow hash of a bucket among n.
func flowRange(bucket, n int) (low, high model.FlowHash) {
	shift := 64 - bits.TrailingZeros(uint(n))
	low = model.FlowHash(bucket) << shift
	return low, low + (1<<shift - 1)
}

// vouchers is the number of members that vouch to a new one; two, so that it
// does not depend on one message of a member that is itself leaving or new.
const vouchers = 2

// vouch tells the new members that no instance died recently, when this
// instance knows so and ranks among the vouchers for them.
func (s *Steering) vouch(now time.Time, old *dcstate.State) {
	if old == nil || !s.knowsDeaths(now) || now.Sub(s.lastDeath) < s.cfg.OpeningRepeat {
		return
	}
	var known []model.InstanceID
	var fresh []model.InstanceID
	for _, m := range s.state.Members {
		if was, ok := old.Member(m.Instance); ok && was.Incarnation == m.Incarnation {
			known = append(known, m.Instance)
		} else {
			fresh = append(fresh, m.Instance)
		}
	}
	for _, id := range fresh {
		key := rendezvous.NewKey("vouch", rendezvous.Seed(id))
		if slices.Contains(rendezvous.Ranked(key, known, vouchers), s.cfg.Self) {
			s.enqueue(id, op{kind: opVouch})
		}
	}
}

// askAgain repeats the questions about flows whose bucket changed. A peer may
// have opened the flow under the former state after it answered; once the new
// state is published, no peer does so any more.
func (s *Steering) askAgain(now time.Time, changed []bucketID) {
	if len(s.resolutions) == 0 || len(changed) == 0 {
		return
	}
	for _, k := range sortedKeys(s.resolutions, compareKeys) {
		id, _, ok := s.bucketOf(k)
		if _, found := slices.BinarySearchFunc(changed, id, compareBuckets); ok && found {
			s.askFor(now, s.resolutions[k])
		}
	}
}

// redirectWaits asks the new owner about flows whose owner changed.
func (s *Steering) redirectWaits(now time.Time, gone func(model.InstanceID) bool) {
	for _, w := range s.waitOrder {
		if w.done || w.target == "" {
			continue
		}
		id, _, ok := s.bucketOf(w.key)
		if !ok || s.owner(id) != w.target || gone(w.target) {
			s.dispatch(now, w)
		}
	}
}
