package placement

import (
	"testing"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Guards against a first share of one bucket in 1,024 where a cold server
// bears more than the whole service gets: it then had no flow for minutes
// (fault matrix, seed 1, ramp).
func TestFirstShareFollowsTheRate(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := NewReports()
	reports.Add(now, "a", 1, []*pb.ServerReport{{Server: 7, Answers: 1}})
	reports.Add(now, "a", 1, []*pb.ServerReport{{Server: 7, Answers: 2}})
	p := &Publisher{in: Input{Reports: reports}}
	s := &service{n: 1024, rateKnown: true}
	target := &target{id: 7, server: serverWithColdOpenings(10)}
	for _, c := range []struct {
		rate float64
		want int
	}{{2, 256}, {50, 102}, {500, 10}, {100_000, 1}} {
		s.rate = c.rate
		if got := p.startShare(now, s, target, 256); got != c.want {
			t.Errorf("%g openings per second: got %d buckets, want %d", c.rate, got, c.want)
		}
	}
	if got := p.startShare(now.Add(time.Minute), s, target, 256); got != rampStart {
		t.Errorf("server without recent answers: got %d buckets, want %d", got, rampStart)
	}
	s.rateKnown = false
	if got := p.startShare(now, s, target, 256); got != rampStart {
		t.Errorf("unknown rate: got %d buckets, want %d", got, rampStart)
	}
}

func serverWithColdOpenings(n int) *model.BackendServer {
	return &model.BackendServer{ColdOpeningsPerSecond: n}
}

// Guards against flows of the other side of a partition that no unknown packet
// reaches: their bucket must ask its owner again.
func TestStrayBucketBecomesMixed(t *testing.T) {
	f := newFleet(t, 4, catalog(1, 3))
	f.steps(3)
	id := f.site(0).Service.ID
	owner, _ := f.s.Owner(id, 5)
	confirmed := f.s.Version
	f.in.Stray = []EmptyBuckets{{Owner: owner, Confirmed: confirmed, Service: id, Buckets: []uint32{5}}}
	f.step()
	if got := f.s.Services[id][5].Phase; got != dcstate.Mixed {
		t.Errorf("bucket is %v, want MIXED", got)
	}
	f.in.Stray = []EmptyBuckets{{Owner: "someone else", Confirmed: confirmed, Service: id, Buckets: []uint32{6}}}
	f.step()
	if got := f.s.Services[id][6].Phase; got != dcstate.Stable {
		t.Errorf("bucket is %v on the word of an instance that is not its owner", got)
	}
}
