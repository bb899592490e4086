package rendezvous

import (
	"fmt"
	"testing"

	"cuminshift/internal/model"
)

// Guards against instances that disagree on a rank because they used different
// functions of this package.
func TestRankFunctionsAgree(t *testing.T) {
	var ids []model.InstanceID
	var seeds []uint64
	for i := 0; i < 20; i++ {
		ids = append(ids, model.InstanceID(fmt.Sprint("entry-", i)))
		seeds = append(seeds, Seed(ids[i]))
	}
	for n := uint64(0); n < 200; n++ {
		key := NewKey("test", n)
		ranked := TopN(key, ids, len(ids))
		first, second := Top2(key, ids, seeds)
		if ranked[0] != first || ranked[1] != second {
			t.Fatalf("key %d: TopN begins with %v, Top2 returns %s and %s", n, ranked[:2], first, second)
		}
		for rank, id := range ranked {
			if got := Rank(key, ids, seeds, id); got != rank {
				t.Fatalf("key %d: %s has rank %d by Rank and %d by TopN", n, id, got, rank)
			}
		}
	}
}
