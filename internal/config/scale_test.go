package config

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// The two-year scale; the number of callers is an assumption.
const (
	scaleServers = 82_000
	scaleCallers = 100_000
)

// generateContent returns valid content with the given numbers of servers and callers,
// 41 servers a service in 16 data centres.
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

// Guards against values above the store's limit, and against an edit that
// sends more than the control traffic allows. It runs at a tenth of the scale,
// to which the root is in proportion; BenchmarkUpdate reports the full one.
func TestScaleFitsTheStore(t *testing.T) {
	s := newFakeStore()
	c := generateContent(scaleServers/10, scaleCallers/10)
	if _, err := runEdit(t, s, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: c.Callers, Plans: c.Plans}, inForceAtOnce); err != nil {
		t.Fatal(err)
	}
	behind, replica := newTestReplica("a", nil), newTestReplica("b", nil)
	s.loadInto(behind, epoch)
	c.Callers.Callers[7_000].Prefixes = []string{"101.0.0.0/24"}
	if _, err := runEdit(t, s, EditorConfig{}, Edit{ID: "e", Operator: "o", BaseVersion: 1, Callers: c.Callers}, inForceAtOnce); err != nil {
		t.Fatal(err)
	}
	s.loadInto(replica, epoch)
	size := sizesOf(replica)
	out := replica.HandleRequest(epoch, "a", &pb.ConfigRequest{HaveVersion: 1})
	update := proto.Size(out[0].Body)
	// 8,500 changes a day are one in 10 s, for which 7 KB/s give 70 KB.
	if size.root > MaxValueBytes/10 || size.largestShard > MaxValueBytes || update > 30_000 {
		t.Errorf("%+v, update %d bytes", size, update)
	}
	if changed, _ := behind.HandleReply(epoch, "b", out[0].Body.GetConfigReply()); !changed || behind.Current().Version != 2 {
		t.Errorf("the peer holds version %d", behind.Current().Version)
	}
}

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

// BenchmarkReplicaUpdate is the work of an instance for one edit at the two-year scale.
func BenchmarkReplicaUpdate(b *testing.B) {
	s := newFakeStore()
	c := generateContent(scaleServers, scaleCallers)
	if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: c.Callers, Plans: c.Plans}, inForceAtOnce); err != nil {
		b.Fatal(err)
	}
	r := newTestReplica("a", nil)
	s.loadInto(r, epoch)
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		c.Callers.Callers[n].Prefixes = []string{fmt.Sprintf("101.0.%d.0/24", n)}
		if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: fmt.Sprint(n), Operator: "o", BaseVersion: uint64(n + 1), Callers: c.Callers}, inForceAtOnce); err != nil {
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

// BenchmarkEdit is the work of an entry instance for an operator's edit.
func BenchmarkEdit(b *testing.B) {
	s := newFakeStore()
	c := generateContent(scaleServers, scaleCallers)
	if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: c.Callers, Plans: c.Plans}, inForceAtOnce); err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		c.Callers.Callers[n].Prefixes = []string{fmt.Sprintf("101.0.%d.0/24", n)}
		if _, err := runEdit(b, s, EditorConfig{}, Edit{ID: fmt.Sprint(n), Operator: "o", BaseVersion: uint64(n + 1), Callers: c.Callers}, inForceAtOnce); err != nil {
			b.Fatal(err)
		}
	}
}
