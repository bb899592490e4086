package serverhealth

import (
	"fmt"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Guards against instances with a broken path that take a server out of service
// although other instances receive its answers.
func TestAnswersOutvoteSilentReports(t *testing.T) {
	m := NewMergedReports()
	now := epoch
	for n := range 50 {
		now = now.Add(200 * time.Millisecond)
		for i, id := range []model.InstanceID{"a", "b", "c", "d"} {
			c := Healthy
			if i < 2 {
				c = Silent
			}
			m.Add(now, id, 1, []*pb.ServerReport{{Server: 9, Condition: c, Answers: uint64(n * 3 * (i / 2))}})
		}
		if got := m.Condition(now, 9); got == Silent {
			t.Fatalf("silent although two instances get answers")
		}
	}
}

// Guards against a dead server that is never detected, against reports of an
// earlier run that still count, and against verdicts on healthy servers.
func TestMergedReports(t *testing.T) {
	m := NewMergedReports()
	report := func(ms int, id model.InstanceID, run uint64, server uint64, c Condition, flows int64) {
		m.Add(at(ms), id, run, []*pb.ServerReport{{Server: server, Condition: c, OpenFlows: flows}})
	}
	for ms := 0; ms <= 1200; ms += 200 {
		for _, id := range []model.InstanceID{"a", "b", "c"} {
			report(ms, id, 1, 1, Silent, 3)
			report(ms, id, 1, 2, Healthy, -1)
		}
	}
	if v := m.Verdicts(at(1200)); len(v) != 1 || v[0].Server != 1 || v[0].Condition != Silent {
		t.Fatalf("verdicts %v, want server 1 silent", v)
	}
	if n := m.OpenFlows(1); n != 9 {
		t.Errorf("%d open flows, want 9", n)
	}
	report(1300, "a", 2, 1, Healthy, 0)
	if n := m.OpenFlows(1); n != 6 {
		t.Errorf("%d open flows after a restart, want 6", n)
	}
	m.Retain(map[model.InstanceID]uint64{"b": 1}, map[model.ServerID]*model.BackendServer{2: {}})
	if n := m.OpenFlows(1) + m.OpenFlows(2); n != -1 {
		t.Errorf("%d open flows after Retain, want -1", n)
	}
	if v := m.Verdicts(at(1400)); len(v) != 0 {
		t.Errorf("verdicts %v, want none", v)
	}
}

// BenchmarkMergedAdd measures merging the reports of one heartbeat on the
// publisher of 750 instances and 5,000 servers, and the memory of all reports.
func BenchmarkMergedAdd(b *testing.B) {
	m := NewMergedReports()
	reports := make([]*pb.ServerReport, 8)
	for i := range reports {
		reports[i] = &pb.ServerReport{Condition: Healthy}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for i, r := range reports {
			r.Server, r.Answers, r.OpenFlows = uint64((n*len(reports)+i)%5000), uint64(n), int64(n%100)
		}
		m.Add(epoch, model.InstanceID(fmt.Sprint(n%750)), 1, reports)
	}
}

// BenchmarkVerdicts measures Verdicts, which the publisher calls ten times a
// second.
func BenchmarkVerdicts(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := NewMergedReports()
			for i := range n {
				m.Add(epoch, "a", 1, []*pb.ServerReport{{Server: uint64(i), Condition: Healthy}})
			}
			for b.Loop() {
				m.Verdicts(epoch)
			}
		})
	}
}
