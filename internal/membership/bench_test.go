package membership_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/membership"
)

// benchCluster returns a cluster in steady state and its publisher. The
// instances receive messages from the publisher as soon as they start, so that
// few steps are needed.
func benchCluster(b *testing.B, instances int) (*cluster, *testInstance) {
	c := newCluster(instances)
	c.run(2500 * time.Millisecond)
	p := c.publishers()
	if len(p) != 1 {
		b.Fatalf("publishers %v, want one", p)
	}
	return c, c.instances[p[0]]
}

var benchSizes = []int{4, 75, 750}

// BenchmarkHeartbeat measures how long the publisher takes to handle a heartbeat
// and return its acknowledgement. It receives 5 per second from each instance.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, p := benchCluster(b, size)
			from := c.instances[p.m.Ranking()[size-1]]
			h := from.m.OwnHeartbeat(c.now)
			b.ReportAllocs()
			for b.Loop() {
				if out := p.m.Heartbeat(c.now, from.id, from.m.Incarnation(), h); len(out) != 1 {
					b.Fatal("no acknowledgement")
				}
			}
		})
	}
}

// BenchmarkTick measures one heartbeat interval of the instance of lowest rank
// and reports its control traffic in steady state, without RPC framing.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, p := benchCluster(b, size)
			n := c.instances[p.m.Ranking()[size-1]]
			l := membership.LocalStatus{Ready: true, ConfigVersion: 8500}
			for i := range 40 {
				l.Reports = append(l.Reports, &pb.ServerReport{
					Server: uint64(i), Condition: pb.ServerCondition_SERVER_CONDITION_HEALTHY, OpenFlows: 100, Answers: 1e6,
				})
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				now := c.now.Add(200 * time.Millisecond)
				c.now = now
				n.m.HeartbeatAck(now, p.id, &pb.HeartbeatAck{
					SentMs: uint64(now.Sub(epoch).Milliseconds()), Generation: n.m.State().Version.Generation,
					Publisher: string(p.id), Incarnation: n.m.Incarnation(),
				})
				bytes = 0
				for _, msg := range n.m.Tick(now, l) {
					bytes += proto.Size(&pb.PeerBatch{From: string(n.id), Incarnation: n.m.Incarnation(), Messages: []*pb.PeerMessage{msg.Body}})
				}
			}
			b.ReportMetric(float64(bytes*5), "sent-B/s")
		})
	}
}

// BenchmarkView measures the methods that the publisher calls before it decides
// whether to publish.
func BenchmarkView(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, p := benchCluster(b, size)
			b.ReportAllocs()
			for b.Loop() {
				p.m.View(c.now)
				p.m.MemberStatuses(c.now)
			}
		})
	}
}
