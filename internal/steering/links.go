package steering

import (
	"cmp"
	"slices"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

type opKind uint8

const (
	// opReport adds or ends a record at the bucket's owner.
	opReport opKind = iota
	// opCollected reports a pin that a state must not be confirmed without.
	opCollected
	// opBackup adds or ends a record at the backup.
	opBackup
	// opHandover passes the copy of a bucket to its new owner.
	opHandover
	// opVouch tells a new member that no instance died unplanned in the time
	// for which callers repeat openings. It is sent as an OwnershipHandover
	// without a generation, which hands over no bucket.
	opVouch
)

// op is one item that a peer must acknowledge.
type op struct {
	kind    opKind
	key     key
	server  model.ServerID
	end     bool
	bucket  bucketID // of a handover
	receipt *receipt
}

// linkID names one of the two links to a peer. Backups have their own, because
// a report is acknowledged only after its replication: in one queue, two
// instances that are each other's owner and backup would wait for each other.
type linkID struct {
	peer   model.InstanceID
	backup bool
}

func compareLinks(a, b linkID) int {
	switch {
	case a.peer != b.peer:
		return cmp.Compare(a.peer, b.peer)
	case a.backup == b.backup:
		return 0
	case b.backup:
		return -1
	}
	return 1
}

// link delivers ops to a peer in order: one message at a time, repeated until
// it is acknowledged or the peer leaves the view.
type link struct {
	queue    []op
	inFlight int // ops at the head of the queue that message carries
	message  *pb.PeerMessage
	sequence uint64
	sent     time.Time
}

// maxBatch limits the flows in one message to 32 KB.
const maxBatch = 4096

func (s *Steering) enqueue(to model.InstanceID, o op) {
	id := linkID{to, o.kind == opBackup}
	l := s.links[id]
	if l == nil {
		l = &link{}
		s.links[id] = l
	}
	if o.receipt != nil {
		o.receipt.left++
	}
	l.queue = append(l.queue, o)
}

// report passes an op to the owner of its flow's bucket.
func (s *Steering) report(now time.Time, o op) {
	id, _, ok := s.bucketOf(o.key)
	if !ok {
		return
	}
	switch owner := s.owner(id); {
	case owner == "":
	case owner != s.cfg.Self:
		s.enqueue(owner, o)
	case o.end:
		s.endRecord(now, o.key, o.server, s.cfg.Self, o.receipt)
	default:
		s.addRecord(now, o.key, o.server, s.cfg.Self, o.receipt)
	}
}

// sendLinks sends the next message of each idle link and repeats the
// unacknowledged ones.
func (s *Steering) sendLinks(now time.Time) {
	for _, id := range sortedKeys(s.links, compareLinks) {
		s.sendLink(now, id, s.links[id])
	}
}

// reportPace is the time over which reports are gathered into one message.
// Flows are found a few at a time, and a message of one flow costs ten times
// the bytes of the flow.
const reportPace = 250 * time.Millisecond

// urgent reports whether something waits for the acknowledgement of an op: a
// collection, a handover, or the acknowledgement of another message.
func (l *link) urgent() bool {
	return len(l.queue) >= maxBatch || slices.ContainsFunc(l.queue, func(o op) bool { return o.kind != opReport || o.receipt != nil })
}

func (s *Steering) sendLink(now time.Time, id linkID, l *link) {
	switch {
	case l.message == nil && len(l.queue) == 0:
		delete(s.links, id)
		return
	case l.message == nil && !s.leaving && now.Sub(l.sent) < reportPace && !l.urgent():
		return
	case l.message == nil:
		s.sequence++
		l.sequence = s.sequence
		switch l.queue[0].kind {
		case opHandover:
			s.buildHandover(l)
		case opVouch:
			l.inFlight = 1
			l.message = &pb.PeerMessage{Body: &pb.PeerMessage_OwnershipHandover{OwnershipHandover: &pb.OwnershipHandover{Sequence: l.sequence}}}
		default:
			s.buildBatch(l)
		}
	case now.Sub(l.sent) < s.cfg.RetryInterval:
		return
	}
	l.sent = now
	s.send(id.peer, l.message)
}

// buildBatch puts ops of one kind into a RecordBatch; a flow appears in it
// only once, because a batch does not keep the order of adding and ending.
func (s *Steering) buildBatch(l *link) {
	kind := l.queue[0].kind
	var add, end groups
	flows := map[key]bool{}
	for _, o := range l.queue {
		if o.kind != kind || flows[o.key] || len(flows) == maxBatch {
			break
		}
		flows[o.key] = true
		if o.end {
			end.add(o.key, o.server)
		} else {
			add.add(o.key, o.server)
		}
	}
	l.inFlight = len(flows)
	l.message = &pb.PeerMessage{Body: &pb.PeerMessage_Records{Records: &pb.RecordBatch{
		Add: add.list, End: end.list, Backup: kind == opBackup, Collected: kind == opCollected, Sequence: l.sequence,
	}}}
}

// buildHandover puts whole buckets into an OwnershipHandover. Only complete
// buckets are named in ranges.
func (s *Steering) buildHandover(l *link) {
	h := &pb.OwnershipHandover{Generation: s.state.Version.Generation, Publisher: string(s.state.Version.Publisher), Sequence: l.sequence}
	var records groups
	n := 0
	for _, o := range l.queue {
		if o.kind != opHandover || n >= maxBatch {
			break
		}
		l.inFlight++
		c := s.copies[o.bucket]
		if c == nil {
			continue
		}
		for _, f := range sortedKeys(c.flows, cmp.Compare[model.FlowHash]) {
			records.add(key{Service: o.bucket.service, Flow: f}, c.flows[f].server)
			n++
		}
		if c.complete {
			addRange(h, o.bucket)
		}
	}
	h.Records = records.list
	l.message = &pb.PeerMessage{Body: &pb.PeerMessage_OwnershipHandover{OwnershipHandover: h}}
}

func addRange(h *pb.OwnershipHandover, id bucketID) {
	for _, r := range h.Ranges {
		if r.Service == uint64(id.service) {
			r.Buckets = append(r.Buckets, uint32(id.number))
			return
		}
	}
	h.Ranges = append(h.Ranges, &pb.OwnershipHandover_Range{Service: uint64(id.service), Buckets: []uint32{uint32(id.number)}})
}

// handleAck completes the message in flight and sends the next one.
func (s *Steering) handleAck(now time.Time, from model.InstanceID, sequence uint64) {
	id := linkID{from, false}
	if l := s.links[id]; l == nil || l.sequence != sequence {
		id.backup = true
	}
	l := s.links[id]
	if l == nil || l.message == nil || l.sequence != sequence {
		return
	}
	done := l.queue[:l.inFlight]
	l.queue = slices.Clone(l.queue[l.inFlight:])
	l.message, l.inFlight = nil, 0
	for _, o := range done {
		if o.kind == opHandover {
			s.handedOver(from, o.bucket)
		}
		s.release(o.receipt)
	}
	s.sendLink(now, id, l)
}

// retarget removes from the links what the new state sends elsewhere and
// returns the reports among it. Backups and handovers are derived anew from
// the state.
func (s *Steering) retarget(gone func(model.InstanceID) bool, resized func(model.ServiceID) bool) []op {
	var moved []op
	for _, id := range sortedKeys(s.links, compareLinks) {
		to, l := id.peer, s.links[id]
		lost := gone(to)
		kept := l.queue[:0:0]
		for i, o := range l.queue {
			switch {
			case !lost && s.stillFor(to, o) && (o.kind != opHandover || !resized(o.bucket.service)):
				kept = append(kept, o)
				continue
			case o.kind == opReport || o.kind == opCollected:
				moved = append(moved, o)
			case o.kind == opHandover:
				if c := s.copies[o.bucket]; c != nil {
					c.handing = ""
					// A new owner that died may have had newer records.
					c.complete = c.complete && !lost
				}
				s.release(o.receipt)
			default:
				s.release(o.receipt)
			}
			if i < l.inFlight {
				l.message = nil
			}
		}
		l.queue = kept
		if l.message == nil {
			l.inFlight = 0
		}
		if lost {
			delete(s.links, id)
		}
	}
	return moved
}

// stillFor reports whether the current state still sends the op to the peer.
func (s *Steering) stillFor(to model.InstanceID, o op) bool {
	if o.kind == opVouch {
		return true // a death since then is in the state that the member has
	}
	id := o.bucket
	if o.kind != opHandover {
		var ok bool
		if id, _, ok = s.bucketOf(o.key); !ok {
			return false
		}
	}
	if id.number >= len(s.state.Services[id.service]) {
		return false
	}
	owner, backup := s.state.Owner(id.service, id.number)
	if o.kind == opBackup {
		return owner == s.cfg.Self && backup == to
	}
	return owner == to
}

func sortedBy(keys []key) []key {
	slices.SortFunc(keys, compareKeys)
	return keys
}
