// Package dcstate holds the published state of a data centre: the view (its
// live instances) and the bucket map of each service. Snapshots are immutable;
// Apply makes a new one.
package dcstate

import (
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

// Phase is the phase of a bucket; see docs/design.md, section 5.
type Phase = pb.BucketPhase

// Phases of a bucket.
const (
	Stable     = pb.BucketPhase_BUCKET_PHASE_STABLE
	Announced  = pb.BucketPhase_BUCKET_PHASE_ANNOUNCED
	Active     = pb.BucketPhase_BUCKET_PHASE_ACTIVE
	Collecting = pb.BucketPhase_BUCKET_PHASE_COLLECTING
	Mixed      = pb.BucketPhase_BUCKET_PHASE_MIXED
)

// Bucket says where the flows of a bucket go.
type Bucket struct {
	Base  model.ServerID
	Next  model.ServerID
	Phase Phase
}

// Questionable reports whether unknown flows of the bucket must be resolved
// by its owner.
func (b Bucket) Questionable() bool {
	return b.Phase != Stable
}

// OpeningServer returns the server that takes openings of the bucket.
func (b Bucket) OpeningServer() model.ServerID {
	if b.Phase == Active || b.Phase == Collecting {
		return b.Next
	}
	return b.Base
}

// OpensDirectly reports whether any instance may open flows of the bucket at
// OpeningServer without asking the owner.
func (b Bucket) OpensDirectly() bool {
	return b.Phase == Stable || b.Phase == Mixed
}

// Version orders states: by generation, then by publisher.
type Version struct {
	Generation uint64
	Publisher  model.InstanceID
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Generation != w.Generation {
		return v.Generation < w.Generation
	}
	return v.Publisher < w.Publisher
}

// Member is an instance of the view.
type Member struct {
	Instance    model.InstanceID
	Incarnation uint64
	State       pb.InstanceState
}

// State is an immutable snapshot.
type State struct {
	Version Version
	// Members is sorted by Instance; leaving members hold no ownership.
	Members  []Member
	Services map[model.ServiceID][]Bucket

	owners []model.InstanceID
	seeds  []uint64
}

// New returns a state with its ownership index.
func New(v Version, members []Member, services map[model.ServiceID][]Bucket) *State {
	s := &State{Version: v, Members: members, Services: services}
	for _, m := range members {
		if m.State == pb.InstanceState_INSTANCE_STATE_LEAVING {
			continue
		}
		s.owners = append(s.owners, m.Instance)
		s.seeds = append(s.seeds, rendezvous.Seed(m.Instance))
	}
	return s
}

// Member returns the member with the ID.
func (s *State) Member(id model.InstanceID) (Member, bool) {
	for _, m := range s.Members {
		if m.Instance == id {
			return m, true
		}
	}
	return Member{}, false
}

// Owners returns the members that may hold ownership. The caller must not
// change the slice.
func (s *State) Owners() []model.InstanceID {
	return s.owners
}

// Bucket returns the bucket of a flow, its number, and false when the service
// has no map.
func (s *State) Bucket(service model.ServiceID, flow model.FlowHash) (Bucket, int, bool) {
	buckets := s.Services[service]
	if len(buckets) == 0 {
		return Bucket{}, 0, false
	}
	n := flow.Bucket(len(buckets))
	return buckets[n], n, true
}

// Owner returns the owner and the backup of a bucket.
func (s *State) Owner(service model.ServiceID, bucket int) (owner, backup model.InstanceID) {
	return rendezvous.Top2(rendezvous.NewKey("bucket", uint64(service)^uint64(bucket)), s.owners, s.seeds)
}

// Admitter returns the instance that owns the slots of a server.
func (s *State) Admitter(server model.ServerID) model.InstanceID {
	first, _ := rendezvous.Top2(rendezvous.NewKey("admitter", uint64(server)), s.owners, s.seeds)
	return first
}

// Apply returns the state after the update, and false when the update is not
// newer than s or is a delta that starts from another state. A delta without
// members keeps the view, which saves the list of members (20 KB with 750
// instances) in each change of buckets.
func (s *State) Apply(u *pb.StateUpdate) (*State, bool) {
	v := Version{u.GetGeneration(), model.InstanceID(u.GetPublisher())}
	if !s.Version.Less(v) {
		return s, false
	}
	prev := Version{u.GetPreviousGeneration(), model.InstanceID(u.GetPreviousPublisher())}
	if !u.GetFull() && prev != s.Version {
		return s, false
	}
	services := make(map[model.ServiceID][]Bucket, len(s.Services))
	if !u.GetFull() {
		for id, buckets := range s.Services {
			services[id] = buckets
		}
	}
	for _, c := range u.GetServices() {
		applyService(services, c)
	}
	if !u.GetFull() && len(u.GetMembers()) == 0 {
		return &State{Version: v, Members: s.Members, Services: services, owners: s.owners, seeds: s.seeds}, true
	}
	members := make([]Member, 0, len(u.GetMembers()))
	for _, m := range u.GetMembers() {
		members = append(members, Member{model.InstanceID(m.GetInstance()), m.GetIncarnation(), m.GetState()})
	}
	return New(v, members, services), true
}

// MaxBuckets bounds the buckets of a service, so that a damaged update cannot
// exhaust the memory; 5,000 servers take 524,288.
const MaxBuckets = 1 << 22

func applyService(services map[model.ServiceID][]Bucket, c *pb.ServiceChange) {
	id := model.ServiceID(c.GetService())
	if c.GetRemoved() {
		delete(services, id)
		return
	}
	if c.GetBuckets() > MaxBuckets {
		return
	}
	buckets := make([]Bucket, c.GetBuckets())
	if old := services[id]; len(old) == len(buckets) {
		copy(buckets, old)
	}
	for _, ch := range c.GetChanges() {
		if int(ch.GetBucket()) < len(buckets) {
			buckets[ch.GetBucket()] = Bucket{model.ServerID(ch.GetBase()), model.ServerID(ch.GetNext()), ch.GetPhase()}
		}
	}
	services[id] = buckets
}

// Full returns an update that carries the whole state.
func (s *State) Full() *pb.StateUpdate {
	u := &pb.StateUpdate{Generation: s.Version.Generation, Publisher: string(s.Version.Publisher), Full: true, Members: MembersProto(s.Members)}
	for id, buckets := range s.Services {
		c := &pb.ServiceChange{Service: uint64(id), Buckets: uint32(len(buckets))}
		for i, b := range buckets {
			c.Changes = append(c.Changes, b.Proto(i))
		}
		u.Services = append(u.Services, c)
	}
	return u
}

// Proto returns the wire form of bucket number i.
func (b Bucket) Proto(i int) *pb.BucketChange {
	return &pb.BucketChange{Bucket: uint32(i), Base: uint64(b.Base), Next: uint64(b.Next), Phase: b.Phase}
}

// MembersProto returns the wire form of the members.
func MembersProto(members []Member) []*pb.Member {
	out := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		out = append(out, &pb.Member{Instance: string(m.Instance), Incarnation: m.Incarnation, State: m.State})
	}
	return out
}
