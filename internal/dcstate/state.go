// Package dcstate holds the published state of a data centre. It is the view,
// which lists the live instances, and a version. One instance, the publisher,
// creates each state and sends it to the others; package membership determines
// which instance that is and what the view contains. A State is immutable; Apply
// returns a new one.
package dcstate

import (
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

// Version is the version of a State. Versions are ordered by generation, then by
// publisher. The zero Version is that of an instance that has applied no state.
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
	Instance model.InstanceID
	// Incarnation identifies the run of the instance.
	Incarnation uint64
	State       pb.InstanceState
}

// State is an immutable snapshot of the view.
type State struct {
	Version Version
	// Members is sorted by Instance. Leaving members own nothing.
	Members []Member

	owners []model.InstanceID
	// ownerSeeds holds the rendezvous seeds of owners, in the same order.
	ownerSeeds []uint64
}

// New returns a state with the given members, which must be sorted by Instance.
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

// Member returns the member with the ID and whether there is one.
func (s *State) Member(id model.InstanceID) (Member, bool) {
	for _, m := range s.Members {
		if m.Instance == id {
			return m, true
		}
	}
	return Member{}, false
}

// Owners returns the members that are not leaving, which share the ownership of
// flows and servers. The returned slice must not be changed.
func (s *State) Owners() []model.InstanceID {
	return s.owners
}

// Admitter returns the instance that grants the slots of a server (see package
// admission), chosen by rendezvous hashing, or "" if the state has no owners.
func (s *State) Admitter(server model.ServerID) model.InstanceID {
	first, _ := rendezvous.Top2(rendezvous.NewKey("admitter", uint64(server)), s.owners, s.ownerSeeds)
	return first
}

// Apply returns the state that the update carries and true, or s and false if
// the update is not newer than s.
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

// AsUpdate returns an update message that carries the state.
func (s *State) AsUpdate() *pb.StateUpdate {
	u := &pb.StateUpdate{Generation: s.Version.Generation, Publisher: string(s.Version.Publisher)}
	for _, m := range s.Members {
		u.Members = append(u.Members, &pb.Member{Instance: string(m.Instance), Incarnation: m.Incarnation, State: m.State})
	}
	return u
}
