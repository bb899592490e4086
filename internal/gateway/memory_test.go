package gateway

import (
	"fmt"
	"runtime"
	"testing"

	"cuminshift/internal/feed"
	"cuminshift/internal/flow"
	"cuminshift/internal/registry"
)

// A flow takes at most 256 bytes: the 39,000 flows of an instance at the size
// expected in two years then take 10 of its 32 MB.
func TestMemoryPerFlow(t *testing.T) {
	const flows = 100_000
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
	v := inst.open(1)
	before := heapAlloc()
	for i := range uint32(flows) {
		k := key(2)
		k.CallerIP += i
		inst.core.HandlePacket(inst.now, &flow.Segment{Key: k, Seq: 1, Ack: 100, Token: v.Token})
	}
	bytesPerFlow := float64(heapAlloc()-before) / flows
	t.Logf("%.0f bytes per flow", bytesPerFlow)
	if bytesPerFlow > 256 {
		t.Errorf("%.0f bytes per flow", bytesPerFlow)
	}
	runtime.KeepAlive(inst)
}

// A server takes at most 1 KB: the 5,000 servers of a data centre at the size
// expected in two years then take 5 of an instance's 32 MB.
func TestMemoryPerServer(t *testing.T) {
	for _, n := range []int{500, 5000, 20000} {
		before := heapAlloc()
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i+1), norte))
		}
		inst := newTestInstance(t, servers...)
		servers = nil
		inst.actions = nil
		inst.core.changeLog = feed.Log{}
		bytesPerServer := float64(heapAlloc()-before) / float64(n)
		t.Logf("%d servers: %.0f bytes each", n, bytesPerServer)
		if bytesPerServer > 1024 {
			t.Errorf("%d servers: %.0f bytes each", n, bytesPerServer)
		}
		runtime.KeepAlive(inst)
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
