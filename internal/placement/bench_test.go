package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// sizes are a user's data centre today, ten times that, and the largest data
// centre of the two-year scale.
var sizes = []struct{ instances, servers int }{{4, 18}, {75, 500}, {750, 5000}}

// benchFleet returns a settled fleet with a quarter of the servers in one
// service and reports of all instances on all servers.
func benchFleet(b *testing.B, instances, servers int) *fleet {
	f := newFleet(b, instances, catalog(1, servers-servers/4, servers/4))
	f.steps(3)
	var reports []*pb.ServerReport
	for id := range f.in.Catalog.Servers {
		reports = append(reports, &pb.ServerReport{Server: uint64(id), Condition: pb.ServerCondition_SERVER_CONDITION_HEALTHY, OpenFlows: 40})
	}
	for _, m := range f.in.View {
		f.in.Reports.Add(f.now, m.Instance, m.Incarnation, reports)
	}
	return f
}

func BenchmarkStepSteady(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.instances, size.servers), func(b *testing.B) {
			f := benchFleet(b, size.instances, size.servers)
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(200 * time.Millisecond)
				if u, _ := f.p.Step(f.now, f.in, f.s); u != nil {
					b.Fatal("update in the steady state")
				}
			}
		})
	}
}

// BenchmarkDrain measures the steps that take all buckets off one server, with
// the application of their updates.
func BenchmarkDrain(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.instances, size.servers), func(b *testing.B) {
			f := benchFleet(b, size.instances, size.servers)
			servers := f.site(0).Servers
			n := 0
			for b.Loop() {
				c := *f.in.Catalog
				c.Version++
				servers[n%2].Drain, servers[(n+1)%2].Drain = true, false
				n++
				f.in.Catalog = &c
				f.steps(3)
			}
		})
	}
}

func BenchmarkReportsAdd(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.instances, size.servers), func(b *testing.B) {
			f := benchFleet(b, size.instances, size.servers)
			var reports []*pb.ServerReport
			for _, s := range f.site(0).Servers[:8] {
				reports = append(reports, &pb.ServerReport{Server: uint64(s.ID), Condition: pb.ServerCondition_SERVER_CONDITION_HEALTHY})
			}
			n := 0
			for b.Loop() {
				n++
				reports[n%8].Answers++
				m := f.in.View[n%len(f.in.View)]
				f.in.Reports.Add(f.now, m.Instance, m.Incarnation, reports)
			}
		})
	}
}

// BenchmarkMemory reports the heap of the merged reports, and of a publisher
// with the state it publishes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.instances, size.servers), func(b *testing.B) {
			for b.Loop() {
				f := benchFleet(b, size.instances, size.servers)
				before := heapBytes()
				*f.in.Reports = *NewReports()
				after := heapBytes()
				b.ReportMetric(float64(before-after)/1e6, "reports-MB")
				f.p, f.s = nil, nil
				b.ReportMetric(float64(after-heapBytes())/1e6, "publisher-MB")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
