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

func testState(instances int) *State {
	var members []Member
	for i := range instances {
		members = append(members, member(i, pb.InstanceState_INSTANCE_STATE_READY))
	}
	return New(Version{5, "i000"}, members)
}

// Guards against Apply accepting an older version or changing its receiver.
func TestApply(t *testing.T) {
	s := testState(3)
	after := New(Version{6, "i000"}, s.Members[:2])
	next, ok := s.Apply(after.AsUpdate())
	if !ok || next.Version != after.Version || !slices.Equal(next.Members, after.Members) || !slices.Equal(next.Owners(), after.Owners()) {
		t.Fatalf("applied %v: %+v", ok, next)
	}
	if len(s.Members) != 3 || len(s.Owners()) != 3 {
		t.Error("Apply changed its receiver")
	}
	if _, ok := next.Apply(after.AsUpdate()); ok {
		t.Error("applied an update twice")
	}
	if _, ok := New(Version{6, "i001"}, nil).Apply(after.AsUpdate()); ok {
		t.Error("applied an update of the same generation by a lower publisher")
	}
}

// Guards against a leaving instance that is still the admitter of a server.
func TestLeavingInstanceOwnsNothing(t *testing.T) {
	s := New(Version{1, "i000"}, []Member{
		member(0, pb.InstanceState_INSTANCE_STATE_READY), member(1, pb.InstanceState_INSTANCE_STATE_LEAVING),
	})
	for i := range 100 {
		if admitter := s.Admitter(model.ServerID(i)); admitter != "i000" {
			t.Fatalf("server %d: admitter %q", i, admitter)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, instances := range []int{4, 75, 750} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			s := testState(instances)
			u := New(Version{6, "i000"}, s.Members).AsUpdate()
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(u)
			}
		})
	}
}
