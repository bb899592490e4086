package flowtable

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/model"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against lost, stale or duplicated entries after any sequence of
// operations, by comparison with a map.
func TestTableAgreesWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(4, 10_000, start)
		want := map[Key]Pin{}
		now := start
		key := rapid.Custom(func(t *rapid.T) Key {
			return Key{model.ServiceID(rapid.IntRange(1, 2).Draw(t, "service")),
				model.FlowHash(rapid.Uint64Range(0, 40).Draw(t, "flow") * 0x0640000000000001)}
		})
		t.Repeat(map[string]func(*rapid.T){
			"pin": func(t *rapid.T) {
				k, server := key.Draw(t, "key"), model.ServerID(rapid.IntRange(1, 9).Draw(t, "server"))
				p := Pin{Server: server, PlanVersion: 7, Recorded: rapid.Bool().Draw(t, "recorded")}
				if !table.Pin(k.Service, k.Flow, p, now) {
					t.Fatal("table full")
				}
				p.LastUse = now
				want[k] = p
			},
			"remove": func(t *rapid.T) {
				k := key.Draw(t, "key")
				_, ok := table.Remove(k.Service, k.Flow)
				if _, have := want[k]; ok != have {
					t.Fatalf("remove %v: got %v", k, ok)
				}
				delete(want, k)
			},
			"lookup": func(t *rapid.T) {
				k := key.Draw(t, "key")
				p, ok := table.Lookup(k.Service, k.Flow, now)
				w, have := want[k]
				if have {
					w.LastUse = now
					want[k] = w
				}
				if ok != have || p != w {
					t.Fatalf("lookup %v: got %v %v, want %v %v", k, p, ok, w, have)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Second)
				for range 5 {
					table.Expire(now, 5*time.Second, 1000, func(k Key, _ Pin) {
						if want[k].LastUse.Add(5 * time.Second).After(now) {
							t.Fatalf("expired early: %v", k)
						}
						delete(want, k)
					})
				}
			},
			"": func(t *rapid.T) {
				got := 0
				table.Range(func(k Key, p Pin) bool {
					got++
					if want[k] != p {
						t.Fatalf("range %v: got %v, want %v", k, p, want[k])
					}
					return true
				})
				if got != len(want) || table.Len() != got {
					t.Fatalf("got %d pins, want %d", got, len(want))
				}
			},
		})
	})
}

// Guards against incremental expiry that leaves idle flows in the table.
func TestExpireInSmallStepsCoversTable(t *testing.T) {
	table := New(8, 5000, start)
	fill(table, 4000)
	later := start.Add(time.Hour)
	for range 4000/50 + 8 {
		table.Expire(later, time.Minute, 50, nil)
	}
	if n := table.Len(); n != 0 {
		t.Errorf("%d pins left", n)
	}
}

// Guards against unbounded growth and against eviction of established flows.
func TestCapacityIsBounded(t *testing.T) {
	table := New(4, 1000, start)
	fill(table, 5000)
	if n := table.Len(); n < 1000 || n > 1200 {
		t.Errorf("%d pins at capacity 1000", n)
	}
	for _, f := range flows(100) {
		if _, ok := table.Peek(1, f); !ok {
			t.Fatalf("flow %x was evicted", f)
		}
	}
}

// Guards against pins of a bucket being missed by a collection.
func TestRangeFlowsFindsBucket(t *testing.T) {
	table := New(16, 10_000, start)
	fill(table, 3000)
	want := 0
	for _, f := range flows(3000) {
		if f.Bucket(64) == 37 {
			want++
		}
	}
	got, low := 0, model.FlowHash(37)<<58
	table.RangeFlows(low, low|(1<<58-1), func(Key, Pin) bool { got++; return true })
	if got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// Guards against data races between packet workers, expiry and collection;
// run with -race.
func TestConcurrentUse(t *testing.T) {
	table := New(4, 10_000, start)
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(w), 1))
			for i := range 5000 {
				f := model.FlowHash(r.Uint64N(500) << 55)
				table.Pin(1, f, Pin{Server: 1}, start)
				table.Lookup(1, f, start.Add(time.Duration(i)*time.Millisecond))
				if i%50 == 0 {
					table.Remove(1, f)
					table.Expire(start, time.Second, 100, nil)
					table.Scan(Cursor{}, 100, func(Key, Pin) {})
				}
			}
		})
	}
	wg.Wait()
}

// Guards against more than 64 bytes per flow and allocation on the packet path.
func TestMemoryAndAllocations(t *testing.T) {
	for _, n := range []int{10_000, 100_000, 600_000} {
		var before, after runtime.MemStats
		list := flows(n)
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New(64, n, start)
		for _, f := range list {
			table.Pin(1, f, Pin{Server: 1}, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		per := float64(after.HeapAlloc-before.HeapAlloc) / float64(table.Len())
		t.Logf("%d flows: %.1f bytes per flow", n, per)
		if per > 64 {
			t.Errorf("%d flows: %.1f bytes per flow", n, per)
		}
		f := list[0]
		if a := testing.AllocsPerRun(100, func() { table.Lookup(1, f, start) }); a != 0 {
			t.Errorf("%v allocations per lookup", a)
		}
		runtime.KeepAlive(list)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 600_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := New(64, n, start)
			fill(table, n)
			list := flows(n)
			rand.New(rand.NewPCG(3, 4)).Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				table.Lookup(1, list[i%n], start)
			}
		})
	}
}

func BenchmarkLookupParallel(b *testing.B) {
	table := New(64, 100_000, start)
	fill(table, 100_000)
	list := flows(100_000)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for i := int(rand.Uint32()); p.Next(); i++ {
			table.Lookup(1, list[i%len(list)], start)
		}
	})
}

func BenchmarkPinRemove(b *testing.B) {
	table := New(64, 100_000, start)
	fill(table, 99_000)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		f := model.FlowHash(i * 0x9e3779b97f4a7c15)
		table.Pin(2, f, Pin{Server: 1}, start)
		table.Remove(2, f)
	}
}

func flows(n int) []model.FlowHash {
	r := rand.New(rand.NewPCG(1, 2))
	list := make([]model.FlowHash, n)
	for i := range list {
		list[i] = model.FlowHash(r.Uint64())
	}
	return list
}

func fill(table *Table, n int) {
	for _, f := range flows(n) {
		table.Pin(1, f, Pin{Server: 1}, start)
	}
}
