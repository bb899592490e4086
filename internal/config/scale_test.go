package config

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// The scale that is expected within two years; the number of callers is an
// assumption.
const (
	scaleServers = 82_000
	scaleCallers = 100_000
)

// generateContent returns valid content with the given numbers of servers and
// callers. Each service has 41 servers in one of 16 data centres.
func generateContent(servers, callers int) lists.Content {
	c := lists.Content{Callers: &pb.CallerList{}, Plans: &pb.PlanList{}}
	c.Plans.Plans = []*pb.PlanEntry{{Name: "gold"}}
	for i := range servers {
		if i%41 == 0 {
			n := i / 41
			c.Plans.Services = append(c.Plans.Services, &pb.ServiceEntry{Name: fmt.Sprintf("service-%05d", n), Sites: []*pb.ServiceSite{{
				DataCentre: fmt.Sprintf("dc-%02d", n%16), Address: fmt.Sprintf("172.16.%d.%d:9000", n/256, n%256)}}})
		}
		site := c.Plans.Services[i/41].Sites[0]
		site.Servers = append(site.Servers, &pb.ServerEntry{Name: fmt.Sprintf("server-%02d", i%41),
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Health: fmt.Sprintf("10.%d.%d.%d:9001", i>>16, i>>8&255, i&255),
			Slots: 3, Connections: 2000, ColdSlots: 1, ColdOpeningsPerSecond: 10})
	}
	for i := range callers {
		c.Callers.Callers = append(c.Callers.Callers, &pb.CallerEntry{Name: fmt.Sprintf("caller-%06d", i), Plan: "gold",
			Prefixes: []string{fmt.Sprintf("100.%d.%d.%d/32", i>>16, i>>8&255, i&255)}})
	}
	return c
}

// Guards against values above the store's limit, and against edits that exceed the
// limit on control traffic. The test runs at a tenth of the expected scale, and the
// size of the root is proportional to the scale. BenchmarkReplicaUpdate reports the
// sizes at the full scale.
func TestScaleFitsTheStore(t *testing.T) {
	s := newFakeStore()
	c := generateContent(scaleServers/10, scaleCallers/10)
	if _, err := runEdit(t, s, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: c.Callers, Plans: c.Plans}, inForceImmediately); err != nil {
		t.Fatal(err)
	}
	behind, ahead := newTestReplica("a", nil), newTestReplica("b", nil)
	s.loadInto(behind, epoch)
	c.Callers.Callers[7_000].Prefixes = []string{"101.0.0.0/24"}
	if _, err := runEdit(t, s, EditorConfig{}, Edit{ID: "e", Operator: "o", BaseVersion: 1, Callers: c.Callers}, inForceImmediately); err != nil {
		t.Fatal(err)
	}
	s.loadInto(ahead, epoch)
	size := sizesOf(ahead)
	out := ahead.HandleRequest(epoch, "a", &pb.ConfigRequest{HaveVersion: 1})
	update := proto.Size(out[0].Body)
	// 8,500 changes a day are one in 10 s, and 7 KB/s allow 70 KB in that time.
	if size.root > MaxValueBytes/10 || size.largestShard > MaxValueBytes || update > 30_000 {
		t.Errorf("sizes %+v, update of %d bytes", size, update)
	}
	if changed, _ := behind.HandleReply(epoch, "b", out[0].Body.GetConfigReply()); !changed || behind.Current().Version != 2 {
		t.Errorf("the peer has version %d, want 2", behind.Current().Version)
	}
}

// replicaSizes contains the number of shards of a replica and sizes in bytes.
type replicaSizes struct{ shardCount, largestShard, shardTotal, root int }

func sizesOf(r *Replica) replicaSizes {
	root := r.Current().Root
	out := replicaSizes{shardCount: len(root.GetShards()), root: proto.Size(root)}
	for _, ref := range root.GetShards() {
		data, _ := r.Shard(ref.GetHash())
		out.largestShard, out.shardTotal = max(out.largestShard, len(data)), out.shardTotal+len(data)
	}
	return out
}

func BenchmarkBuildCatalog(b *testing.B) {
	c := generateContent(scaleServers, scaleCallers)
	for b.Loop() {
		if _, found := buildCatalog(1, c); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
}

// BenchmarkReplicaUpdate measures the work of an instance for one edit at the scale
// that is expected within two years, and reports the sizes at that scale.
func BenchmarkReplicaUpdate(b *testing.B) {
	s := newFakeStore()
	c := generateContent(scaleServers, scaleCallers)
	if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: c.Callers, Plans: c.Plans}, inForceImmediately); err != nil {
		b.Fatal(err)
	}
	r := newTestReplica("a", nil)
	s.loadInto(r, epoch)
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		c.Callers.Callers[n].Prefixes = []string{fmt.Sprintf("101.0.%d.0/24", n)}
		if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: fmt.Sprint(n), Operator: "o", BaseVersion: uint64(n + 1), Callers: c.Callers}, inForceImmediately); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if changed, _ := s.loadInto(r, epoch); !changed {
			b.Fatal(r.LastError())
		}
	}
	size := sizesOf(r)
	b.ReportMetric(float64(size.shardCount), "shards")
	b.ReportMetric(float64(size.largestShard), "largest-shard-bytes")
	b.ReportMetric(float64(size.shardTotal), "shard-bytes")
	b.ReportMetric(float64(size.root), "root-bytes")
}

// BenchmarkEdit measures the work of the entry instance that handles an edit.
func BenchmarkEdit(b *testing.B) {
	s := newFakeStore()
	c := generateContent(scaleServers, scaleCallers)
	if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: c.Callers, Plans: c.Plans}, inForceImmediately); err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		c.Callers.Callers[n].Prefixes = []string{fmt.Sprintf("101.0.%d.0/24", n)}
		if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: fmt.Sprint(n), Operator: "o", BaseVersion: uint64(n + 1), Callers: c.Callers}, inForceImmediately); err != nil {
			b.Fatal(err)
		}
	}
}
