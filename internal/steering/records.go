package steering

import (
	"maps"
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// bucketCopy is an instance's copy of the records of one bucket.
type bucketCopy struct {
	flows map[model.FlowHash]record
	// owner and backup are those of the current state.
	owner, backup model.InstanceID
	// authority is set at the owner, and at a former owner until the new one
	// has acknowledged the handover.
	authority bool
	// complete is set when the copy is known to hold all records of the
	// bucket: handed over by a former owner, or collected for so long that
	// each live flow has been reported again.
	complete bool
	// since is the time at which this instance became the owner.
	since time.Time
	// ended holds the flows that were closed, for as long as an instance that
	// did not see the end may still report them from its pin.
	ended map[model.FlowHash]time.Time
	// shared is set once another instance may hold a filter of the bucket.
	shared bool
	// handing is the instance to which the copy is being handed over.
	handing model.InstanceID
	// handedAt is the state under which a former owner handed the copy over;
	// it is passed on only under a state that is not older.
	handedAt dcstate.Version
}

type record struct {
	server model.ServerID
	// seen is the time of the last report, or of the last copy at the backup.
	seen time.Time
}

func (c *bucketCopy) lookup(k key) (model.ServerID, bool) {
	if c == nil {
		return 0, false
	}
	r, ok := c.flows[k.Flow]
	return r.server, ok
}

func (c *bucketCopy) has(k key) bool {
	_, ok := c.lookup(k)
	return ok
}

// hasEnded reports whether the flow was closed within a time.
func (c *bucketCopy) hasEnded(now time.Time, f model.FlowHash, within time.Duration) bool {
	at, ok := c.ended[f]
	return ok && now.Sub(at) < within
}

// receipt counts what must be acknowledged before a message is acknowledged,
// or before a state is confirmed.
type receipt struct {
	left int
	// to and sequence name the message to acknowledge; to is empty for a
	// collection.
	to       model.InstanceID
	sequence uint64
	// version is the state for which pins were collected.
	version dcstate.Version
}

func (s *Steering) release(r *receipt) {
	if r == nil {
		return
	}
	if r.left--; r.left == 0 && r.to != "" {
		s.acknowledge(r.to, r.sequence)
	}
}

func (s *Steering) acknowledge(to model.InstanceID, sequence uint64) {
	s.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_Ack{Ack: &pb.Ack{Sequence: sequence}}})
}

// duplicateWindow is how far back a sequence is taken as a repetition; a
// lower one comes from another incarnation of the sender.
const duplicateWindow = 1024

// accept returns the receipt for a new message, or nil for a repeated one,
// which is acknowledged again if the first copy was.
func (s *Steering) accept(from linkID, sequence uint64) *receipt {
	last := s.received[from]
	if last != nil && sequence <= last.sequence && last.sequence-sequence < duplicateWindow {
		if sequence < last.sequence || last.left == 0 {
			s.acknowledge(from.peer, sequence)
		}
		return nil
	}
	r := &receipt{left: 1, to: from.peer, sequence: sequence}
	s.received[from] = r
	return r
}

func (s *Steering) handleRecords(now time.Time, from model.InstanceID, b *pb.RecordBatch) {
	if s.state == nil {
		return // the sender repeats the batch
	}
	r := s.accept(linkID{from, b.GetBackup()}, b.GetSequence())
	if r == nil {
		return
	}
	kind := opReport
	if b.GetCollected() {
		kind = opCollected
	} else if b.GetBackup() {
		kind = opBackup
	}
	replicated := r
	if kind == opBackup {
		replicated = nil // a backup is acknowledged at once
	}
	for _, end := range []bool{false, true} {
		list := b.GetAdd()
		if end {
			list = b.GetEnd()
		}
		for _, g := range list {
			for _, f := range g.GetFlows() {
				k := key{Service: model.ServiceID(g.GetService()), Flow: model.FlowHash(f)}
				s.apply(now, from, op{kind: kind, key: k, server: model.ServerID(g.GetServer()), end: end, receipt: replicated})
			}
		}
	}
	s.release(r)
}

// apply stores a reported record. A report that belongs to another owner
// under this instance's state is passed on to it.
func (s *Steering) apply(now time.Time, from model.InstanceID, o op) {
	id, b, ok := s.bucketOf(o.key)
	switch {
	case !ok:
	case s.owner(id) == s.cfg.Self && o.end:
		s.endRecord(now, o.key, o.server, from, o.receipt)
	case s.owner(id) == s.cfg.Self:
		s.addRecord(now, o.key, o.server, from, o.receipt)
	case o.kind != opBackup:
		s.report(now, o)
	case o.end:
		if c := s.copies[id]; c != nil {
			delete(c.flows, o.key.Flow)
		}
	case !redundant(b, o.server):
		s.copyOf(now, id).flows[o.key.Flow] = record{o.server, now}
	}
}

// copyOf returns the copy of a bucket and makes an empty one if needed.
func (s *Steering) copyOf(now time.Time, id bucketID) *bucketCopy {
	c := s.copies[id]
	if c == nil {
		c = &bucketCopy{flows: map[model.FlowHash]record{}, since: now}
		c.owner, c.backup = s.state.Owner(id.service, id.number)
		c.authority = c.owner == s.cfg.Self
		s.copies[id] = c
	}
	return c
}

// addRecord stores a record at its owner and replicates a new one to the
// backup. from is the instance that reported it, which has it already.
func (s *Steering) addRecord(now time.Time, k key, server model.ServerID, from model.InstanceID, r *receipt) {
	id, b, ok := s.bucketOf(k)
	if !ok || !s.belongs(k.Service, server) {
		return
	}
	if redundant(b, server) {
		// A leaving instance reports all its pins; they live on as pins here. An
		// older pin is marked as used, because the reported one may be fresher.
		if _, pinned := s.table.Lookup(k.Service, k.Flow, now); !pinned {
			s.table.Pin(k.Service, k.Flow, flowtable.Pin{Server: server}, now)
		}
		return
	}
	c := s.copyOf(now, id)
	if from != s.cfg.Self && c.hasEnded(now, k.Flow, s.cfg.recordLife()) {
		return
	}
	delete(c.ended, k.Flow)
	have, exists := c.flows[k.Flow]
	if exists && have.server != server && s.belongs(k.Service, have.server) {
		return // the earlier record stands; a report may be out of date
	}
	c.flows[k.Flow] = record{server, now}
	if !exists && c.shared {
		s.additions[id] = append(s.additions[id], fingerprint(k.Flow))
	}
	if exists && have.server == server && !s.renew(have.seen, now) {
		return
	}
	if c.backup != "" && c.backup != from {
		s.enqueue(c.backup, op{kind: opBackup, key: k, server: server, receipt: r})
	}
}

// renew reports whether a report is the first in a period of half a record's
// life. It is then replicated again, so that a backup can expire records whose
// end it has missed.
func (s *Steering) renew(seen, now time.Time) bool {
	return seen.UnixNano()/int64(s.cfg.recordLife()/2) != now.UnixNano()/int64(s.cfg.recordLife()/2)
}

// endRecord removes the record of a flow that ended at the server.
func (s *Steering) endRecord(now time.Time, k key, server model.ServerID, from model.InstanceID, r *receipt) {
	id, _, ok := s.bucketOf(k)
	c := s.copies[id]
	if have, exists := c.lookup(k); !ok || !exists || server != 0 && have != server {
		return
	}
	delete(c.flows, k.Flow)
	if server != 0 {
		if c.ended == nil {
			c.ended = map[model.FlowHash]time.Time{}
		}
		c.ended[k.Flow] = now
	}
	if c.backup != "" {
		s.enqueue(c.backup, op{kind: opBackup, key: k, server: server, end: true, receipt: r})
	}
}

func (s *Steering) handleHandover(now time.Time, from model.InstanceID, h *pb.OwnershipHandover) {
	if s.state == nil {
		return // the sender repeats the handover
	}
	r := s.accept(linkID{from, false}, h.GetSequence())
	if r == nil {
		return
	}
	if h.GetGeneration() == 0 {
		s.vouched = true // see opVouch
	}
	version := dcstate.Version{Generation: h.GetGeneration(), Publisher: model.InstanceID(h.GetPublisher())}
	touched := map[bucketID]bool{}
	for _, g := range h.GetRecords() {
		for _, f := range g.GetFlows() {
			k := key{Service: model.ServiceID(g.GetService()), Flow: model.FlowHash(f)}
			s.takeOver(now, k, model.ServerID(g.GetServer()), from, r, touched)
		}
	}
	for _, rg := range h.GetRanges() {
		if version.Less(s.resizedAt[model.ServiceID(rg.GetService())]) {
			continue // the bucket numbers are those of another map
		}
		for _, n := range rg.GetBuckets() {
			id := bucketID{model.ServiceID(rg.GetService()), int(n)}
			if id.number >= len(s.state.Services[id.service]) {
				continue
			}
			s.copyOf(now, id).complete = true
			touched[id] = true
		}
	}
	for _, id := range sortedKeys(touched, compareBuckets) {
		c := s.copies[id]
		c.authority = true
		c.handedAt = version
		s.passOn(now, id, c, r)
	}
	s.release(r)
}

// takeOver stores one handed-over record; this instance may not yet be, or no
// longer be, the owner under its own state.
func (s *Steering) takeOver(now time.Time, k key, server model.ServerID, from model.InstanceID, r *receipt, touched map[bucketID]bool) {
	id, b, ok := s.bucketOf(k)
	if !ok || redundant(b, server) {
		return
	}
	if s.owner(id) == s.cfg.Self {
		s.addRecord(now, k, server, from, r)
		return
	}
	c := s.copyOf(now, id)
	if !c.has(k) {
		c.flows[k.Flow] = record{server, now}
	}
	touched[id] = true
}

// passOn hands a copy over to the owner of the current state, unless this is
// the owner or the copy was handed over under a newer state.
func (s *Steering) passOn(now time.Time, id bucketID, c *bucketCopy, r *receipt) {
	owner := s.owner(id)
	if owner == s.cfg.Self || owner == "" || s.state.Version.Less(c.handedAt) || c.handing == owner {
		return
	}
	c.handing = owner
	s.enqueue(owner, op{kind: opHandover, bucket: id, receipt: r})
}

// handedOver gives up a copy that its new owner has acknowledged.
func (s *Steering) handedOver(to model.InstanceID, id bucketID) {
	c := s.copies[id]
	if c == nil || c.handing != to {
		return
	}
	c.handing, c.authority, c.complete = "", false, false
	if c.backup != s.cfg.Self {
		delete(s.copies, id)
	}
}

// EmptyBuckets returns the MIXED buckets that the instance owns and of which
// it is certain to hold all records, and holds none.
func (s *Steering) EmptyBuckets(now time.Time) []*pb.OwnedBuckets {
	var list []*pb.OwnedBuckets
	for _, id := range sortedKeys(s.copies, compareBuckets) {
		c := s.copies[id]
		if c.owner != s.cfg.Self || len(c.flows) > 0 || !c.complete || !s.settled(now, id) || now.Sub(c.since) < s.cfg.SettleAfter {
			continue
		}
		if s.state.Services[id.service][id.number].Phase != dcstate.Mixed {
			continue
		}
		if len(list) == 0 || list[len(list)-1].Service != uint64(id.service) {
			list = append(list, &pb.OwnedBuckets{Service: uint64(id.service)})
		}
		last := list[len(list)-1]
		last.Empty = append(last.Empty, uint32(id.number))
	}
	return list
}

// StrayBuckets returns the STABLE buckets that the instance owns and has
// records of, such as after a partition; the publisher must make them MIXED.
func (s *Steering) StrayBuckets() map[model.ServiceID][]uint32 {
	stray := map[model.ServiceID][]uint32{}
	for _, id := range sortedKeys(s.copies, compareBuckets) {
		c := s.copies[id]
		if c.owner == s.cfg.Self && len(c.flows) > 0 && !s.state.Services[id.service][id.number].Questionable() {
			stray[id.service] = append(stray[id.service], uint32(id.number))
		}
	}
	return stray
}

// Records returns the number of records that the instance holds as owner and
// as backup.
func (s *Steering) Records() (owned, backup int) {
	for _, c := range s.copies {
		if c.owner == s.cfg.Self {
			owned += len(c.flows)
		} else {
			backup += len(c.flows)
		}
	}
	return owned, backup
}

// Held returns the number of packets that are held.
func (s *Steering) Held() int { return s.held }

// expireRecords ends the records that no instance has reported for so long
// that the flow must be idle everywhere. Instances do not report an idle pin:
// packets of the flow may have moved to another instance, and its reports
// keep the record.
func (s *Steering) expireRecords(now time.Time) {
	for _, id := range sortedKeys(s.copies, compareBuckets) {
		c := s.copies[id]
		if c.owner != s.cfg.Self {
			s.expireBackup(now, id, c)
			continue
		}
		if now.Sub(c.since) >= s.cfg.recordLife() {
			c.complete = true
		}
		maps.DeleteFunc(c.ended, func(f model.FlowHash, _ time.Time) bool { return !c.hasEnded(now, f, s.cfg.recordLife()) })
		var idle []key
		for f, r := range c.flows {
			if now.Sub(r.seen) >= s.cfg.recordLife() || !s.belongs(id.service, r.server) {
				idle = append(idle, key{Service: id.service, Flow: f})
			}
		}
		for _, k := range sortedBy(idle) {
			s.endRecord(now, k, 0, s.cfg.Self, nil)
		}
	}
}

// expireBackup drops what the owner has not replicated again.
func (s *Steering) expireBackup(now time.Time, id bucketID, c *bucketCopy) {
	if c.authority {
		return
	}
	for f, r := range c.flows {
		if now.Sub(r.seen) >= 2*s.cfg.recordLife() {
			delete(c.flows, f)
		}
	}
	if len(c.flows) == 0 {
		delete(s.copies, id)
	}
}
