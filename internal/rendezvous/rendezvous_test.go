package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"cuminshift/internal/model"
)

func instances(n int) (ids []model.InstanceID, seeds []uint64) {
	for i := range n {
		ids = append(ids, model.InstanceID(fmt.Sprintf("i%03d", i)))
		seeds = append(seeds, Seed(ids[i]))
	}
	return ids, seeds
}

// Guards against different results of Top2 and TopN, against keys that move
// although their owner did not leave, and against an uneven distribution.
func TestTop2(t *testing.T) {
	ids, seeds := instances(12)
	owned := map[model.InstanceID]int{}
	for k := range 12_000 {
		key := NewKey("bucket", uint64(k))
		first, second := Top2(key, ids, seeds)
		if got := TopN(key, ids, 2); got[0] != first || got[1] != second {
			t.Fatalf("key %d: Top2 %s %s, TopN %v", k, first, second, got)
		}
		owned[first]++
		without, _ := Top2(key, slices.Delete(slices.Clone(ids), 5, 6), slices.Delete(slices.Clone(seeds), 5, 6))
		want := first
		if first == ids[5] {
			want = second
		}
		if without != want {
			t.Fatalf("key %d moved from %s to %s", k, first, without)
		}
	}
	for id, n := range owned {
		if n < 850 || n > 1150 {
			t.Errorf("%s owns %d of 12000 keys", id, n)
		}
	}
}

// Guards against results for ranks that no instance has.
func TestFewerInstancesThanRanks(t *testing.T) {
	ids, seeds := instances(1)
	if first, second := Top2(1, ids, seeds); first != ids[0] || second != "" {
		t.Errorf("got %q and %q", first, second)
	}
	if got := TopN(1, nil, 3); len(got) != 0 {
		t.Errorf("got %v of no instances", got)
	}
}

func BenchmarkTop2(b *testing.B) {
	for _, n := range []int{4, 75, 750} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ids, seeds := instances(n)
			b.ReportAllocs()
			for b.Loop() {
				Top2(7, ids, seeds)
			}
		})
	}
}

func BenchmarkTopN(b *testing.B) {
	for _, n := range []int{4, 75, 750} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ids, _ := instances(n)
			for b.Loop() {
				TopN(7, ids, n)
			}
		})
	}
}
