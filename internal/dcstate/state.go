// Package dcstate holds the published view of a data centre: its live
// instances. Snapshots are immutable; Apply makes a new one.
package dcstate

import (
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

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
	Members []Member

	owners     []model.InstanceID
	ownerSeeds []uint64
}

// New returns a state with its ownership index.
func New(v Version, members []Member) *State {
	s := &State{Version: v, Members: members}
	for _, m := range members {
		if m.State == pb.InstanceState_INSTANCE_STATE_LEAVING {
			continue
		}
		s.owners = append(s.owners, m.Instance)
		s.ownerSeeds = append(s.ownerSeeds, rendezvous.Seed(m.Instance))
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

// Admitter returns the instance that owns the slots of a server.
func (s *State) Admitter(server model.ServerID) model.InstanceID {
	first, _ := rendezvous.Top2(rendezvous.NewKey("admitter", uint64(server)), s.owners, s.ownerSeeds)
	return first
}

// Apply returns the state of the update, and false when the update is not
// newer than s.
func (s *State) Apply(u *pb.StateUpdate) (*State, bool) {
	v := Version{u.GetGeneration(), model.InstanceID(u.GetPublisher())}
	if !s.Version.Less(v) {
		return s, false
	}
	members := make([]Member, 0, len(u.GetMembers()))
	for _, m := range u.GetMembers() {
		members = append(members, Member{model.InstanceID(m.GetInstance()), m.GetIncarnation(), m.GetState()})
	}
	return New(v, members), true
}

// Update returns the update that carries the state.
func (s *State) AsUpdate() *pb.StateUpdate {
	u := &pb.StateUpdate{Generation: s.Version.Generation, Publisher: string(s.Version.Publisher)}
	for _, m := range s.Members {
		u.Members = append(u.Members, &pb.Member{Instance: string(m.Instance), Incarnation: m.Incarnation, State: m.State})
	}
	return u
}
