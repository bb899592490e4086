package placement

import (
	"maps"
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// service is the publisher's index of one service: the buckets of each server
// and the buckets in each phase. It is rebuilt when a state is adopted and
// kept up to date by set.
type service struct {
	id      model.ServiceID
	site    *model.Site
	removed bool

	// n is the number of buckets; 0 while the service has no map.
	n int
	// buckets is the applied state's slice, which is shared and not changed;
	// pending holds what this Step changes.
	buckets []dcstate.Bucket
	pending map[uint32]dcstate.Bucket
	// pos is the position of each bucket in its target's list.
	pos     []uint32
	targets map[model.ServerID]*target
	// servers holds the targets sorted by ID.
	servers []*target

	// since holds, per phase, the generation that published the phase.
	announced  map[uint32]uint64
	active     map[uint32]activeSince
	collecting map[uint32]uint64
	mixed      map[uint32]*mixedSince

	// rate is the number of answers per second since rateAt's predecessor.
	rate        float64
	rateKnown   bool
	rateAt      time.Time
	rateAnswers uint64

	balancedAt    time.Time
	distrustSince time.Time
	noServer      bool
}

// keptPending is the size up to which the map of pending changes is reused; the
// one of a first assignment takes 20 MB with 5,000 servers.
const keptPending = 1024

type activeSince struct {
	generation uint64
	at         time.Time
}

// mixedSince is what the publisher knows of a MIXED bucket.
type mixedSince struct {
	generation uint64
	// ownerDied is the time at which the owner last died.
	ownerDied time.Time
	// lost is set when the records may be gone; an empty report of the owner
	// then proves nothing.
	lost bool
}

// target is a server to which buckets are assigned.
type target struct {
	id model.ServerID
	// server is nil when the catalog does not name the server.
	server *model.BackendServer
	// buckets are those whose openings go, or are about to go, to the server.
	buckets []uint32
	// refs counts the buckets that name the server as base or next.
	refs int

	judged    bool
	usable    bool
	cause     string
	condition pb.ServerCondition
	desired   float64
	bias      float64
	ramp      rampState
	// answers and refusals are the evidence at sampledAt.
	answers, refusals uint64
	sampledAt         time.Time
}

// destination returns the server that takes the openings of a bucket now or
// after the announced move.
func destination(b dcstate.Bucket) model.ServerID {
	switch b.Phase {
	case dcstate.Announced, dcstate.Active, dcstate.Collecting:
		return b.Next
	}
	return b.Base
}

// newService indexes the buckets of an adopted state. generation is the first
// one that the adopting publisher publishes.
func newService(id model.ServiceID, buckets []dcstate.Bucket, generation uint64, now time.Time) *service {
	svc := &service{
		id:         id,
		n:          len(buckets),
		buckets:    buckets,
		pos:        make([]uint32, len(buckets)),
		pending:    make(map[uint32]dcstate.Bucket),
		targets:    make(map[model.ServerID]*target),
		announced:  make(map[uint32]uint64),
		active:     make(map[uint32]activeSince),
		collecting: make(map[uint32]uint64),
		mixed:      make(map[uint32]*mixedSince),
	}
	for i, b := range buckets {
		svc.refer(b, 1)
		svc.list(uint32(i), destination(b))
		svc.enter(uint32(i), b.Phase, generation, now)
	}
	return svc
}

// at returns a bucket as it is after the changes of this Step.
func (s *service) at(i uint32) dcstate.Bucket {
	if len(s.pending) > 0 {
		if b, ok := s.pending[i]; ok {
			return b
		}
	}
	if int(i) < len(s.buckets) {
		return s.buckets[i]
	}
	return dcstate.Bucket{}
}

// set changes a bucket and the time since which it has its phase.
func (s *service) set(i uint32, b dcstate.Bucket, generation uint64, now time.Time) {
	s.edit(i, b)
	delete(s.announced, i)
	delete(s.active, i)
	delete(s.collecting, i)
	delete(s.mixed, i)
	s.enter(i, b.Phase, generation, now)
}

// edit changes the servers of a bucket that keeps its phase and the generation
// since which it has that phase.
func (s *service) edit(i uint32, b dcstate.Bucket) {
	old := s.at(i)
	s.refer(old, -1)
	s.refer(b, 1)
	if from, to := destination(old), destination(b); from != to {
		if from != 0 {
			s.unlist(i, from)
		}
		s.list(i, to)
	}
	s.pending[i] = b
}

func (s *service) enter(i uint32, phase dcstate.Phase, generation uint64, now time.Time) {
	switch phase {
	case dcstate.Announced:
		s.announced[i] = generation
	case dcstate.Active:
		s.active[i] = activeSince{generation, now}
	case dcstate.Collecting:
		s.collecting[i] = generation
	case dcstate.Mixed:
		s.mixed[i] = &mixedSince{generation: generation}
	}
}

func (s *service) refer(b dcstate.Bucket, n int) {
	if b.Base != 0 {
		s.targetOf(b.Base).refs += n
	}
	if b.Next != 0 {
		s.targetOf(b.Next).refs += n
	}
}

func (s *service) list(i uint32, id model.ServerID) {
	t := s.targetOf(id)
	s.pos[i] = uint32(len(t.buckets))
	t.buckets = append(t.buckets, i)
}

func (s *service) unlist(i uint32, id model.ServerID) {
	t := s.targets[id]
	last := len(t.buckets) - 1
	moved := t.buckets[last]
	t.buckets[s.pos[i]] = moved
	s.pos[moved] = s.pos[i]
	t.buckets = t.buckets[:last]
}

// moving returns the number of buckets that are not STABLE.
func (s *service) moving() int {
	return len(s.announced) + len(s.active) + len(s.collecting) + len(s.mixed)
}

// targetOf returns the entry of a server, which it creates if needed.
func (s *service) targetOf(id model.ServerID) *target {
	t := s.targets[id]
	if t == nil {
		t = &target{id: id, bias: 1}
		s.targets[id] = t
		s.servers = nil
	}
	return t
}

// sorted returns the targets by ID.
func (s *service) sorted() []*target {
	if s.servers == nil {
		for _, id := range slices.Sorted(maps.Keys(s.targets)) {
			s.servers = append(s.servers, s.targets[id])
		}
	}
	return s.servers
}

// keepRamps takes over what the publisher had learned of the servers before it
// adopted a state.
func (s *service) keepRamps(old *service) {
	for id, t := range old.targets {
		if now := s.targets[id]; now != nil && t.judged {
			now.ramp, now.bias, now.judged, now.usable = t.ramp, t.bias, true, t.usable
		}
	}
}

// setSite takes over the catalog's servers of the service. Servers that are
// neither in the catalog nor in a bucket are forgotten.
func (s *service) setSite(site *model.Site) {
	s.site = site
	for _, t := range s.targets {
		t.server = nil
	}
	for _, server := range site.Servers {
		s.targetOf(server.ID).server = server
	}
	for id, t := range s.targets {
		if t.server == nil && t.refs == 0 {
			delete(s.targets, id)
			s.servers = nil
		}
	}
}

// takeChanges returns the pending changes as an update, or nil.
func (s *service) takeChanges() *pb.ServiceChange {
	if s.removed {
		return &pb.ServiceChange{Service: uint64(s.id), Removed: true}
	}
	if len(s.pending) == 0 {
		return nil
	}
	c := &pb.ServiceChange{Service: uint64(s.id), Buckets: uint32(s.n)}
	for _, i := range slices.Sorted(maps.Keys(s.pending)) {
		c.Changes = append(c.Changes, s.pending[i].Proto(int(i)))
	}
	if len(s.pending) > keptPending {
		s.pending = make(map[uint32]dcstate.Bucket)
	}
	clear(s.pending)
	return c
}
