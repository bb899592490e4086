package dcstate

import (
	"fmt"
	"slices"
	"testing"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

func member(i int, state pb.InstanceState) Member {
	return Member{model.InstanceID(fmt.Sprintf("i%03d", i)), uint64(i + 1), state}
}

func testState(instances, buckets int) *State {
	var members []Member
	for i := range instances {
		members = append(members, member(i, pb.InstanceState_INSTANCE_STATE_READY))
	}
	all := make([]Bucket, buckets)
	for i := range all {
		all[i] = Bucket{Base: model.ServerID(1 + i%16), Phase: Stable}
	}
	return New(Version{5, "i000"}, members, map[model.ServiceID][]Bucket{1: all})
}

func delta(s *State, changes ...*pb.BucketChange) *pb.StateUpdate {
	return &pb.StateUpdate{
		Generation: s.Version.Generation + 1, Publisher: "i000",
		PreviousGeneration: s.Version.Generation, PreviousPublisher: string(s.Version.Publisher),
		Services: []*pb.ServiceChange{{Service: 1, Buckets: uint32(len(s.Services[1])), Changes: changes}},
	}
}

// Guards against versions that go back, a delta applied to another state, a
// view lost by a delta without members, and a snapshot changed by Apply.
func TestApply(t *testing.T) {
	s := testState(3, 8)
	u := delta(s, &pb.BucketChange{Bucket: 3, Base: 4, Next: 9, Phase: Announced})
	next, ok := s.Apply(u)
	if !ok || next.Services[1][3] != (Bucket{4, 9, Announced}) {
		t.Fatalf("applied %v, bucket %v", ok, next.Services[1][3])
	}
	if s.Services[1][3].Phase != Stable {
		t.Error("the old snapshot changed")
	}
	if !slices.Equal(next.Members, s.Members) || !slices.Equal(next.Owners(), s.Owners()) {
		t.Errorf("members %v, want those before", next.Members)
	}
	if _, ok := next.Apply(u); ok {
		t.Error("applied an update twice")
	}
	if _, ok := New(Version{5, "i001"}, nil, nil).Apply(u); ok {
		t.Error("applied a delta to another state")
	}
	u.Full = true
	if _, ok := New(Version{6, "i001"}, nil, nil).Apply(u); ok {
		t.Error("a lower publisher of the same generation went back")
	}
	full, ok := New(Version{}, nil, nil).Apply(next.Full())
	if !ok || full.Version != next.Version || !slices.Equal(full.Services[1], next.Services[1]) {
		t.Error("full update does not reproduce the state")
	}
}

// Guards against ownership by a leaving instance.
func TestLeavingInstanceOwnsNothing(t *testing.T) {
	s := New(Version{1, "i000"}, []Member{
		member(0, pb.InstanceState_INSTANCE_STATE_READY), member(1, pb.InstanceState_INSTANCE_STATE_LEAVING),
	}, nil)
	for i := range 100 {
		if owner, backup := s.Owner(1, i); owner != "i000" || backup != "" {
			t.Fatalf("bucket %d: owner %q, backup %q", i, owner, backup)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, size := range [][2]int{{4, 1024}, {75, 32768}, {750, 262144}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			s := testState(size[0], size[1])
			u := delta(s, &pb.BucketChange{Bucket: 3, Base: 4, Next: 9, Phase: Announced})
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(u)
			}
		})
	}
}
