// Package rendezvous implements rendezvous (highest random weight) hashing. It
// ranks instances for a key by weights, which are hashes of the key and an
// instance. If an instance joins or leaves, only the keys at which it has the
// highest rank move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminshift/internal/model"
)

// Key identifies an object that is assigned to instances.
type Key uint64

// NewKey derives a key from a kind of object and a number. Equal numbers of
// different kinds have unrelated rankings.
func NewKey(kind string, n uint64) Key {
	return Key(mix(xxhash.Sum64String(kind) ^ mix(n)))
}

// Top2 returns the instances of rank 0 and 1 for the key, or an empty ID if there
// is no such instance. seeds holds the Seed of each of ids. It does not allocate.
func Top2(key Key, ids []model.InstanceID, seeds []uint64) (first, second model.InstanceID) {
	i0, i1 := -1, -1
	var w0, w1 uint64
	for i, seed := range seeds {
		w := mix(uint64(key) ^ seed)
		// For most instances this is the only comparison.
		if w < w1 {
			continue
		}
		switch {
		case i0 < 0 || w > w0 || (w == w0 && ids[i] < ids[i0]):
			i1, w1 = i0, w0
			i0, w0 = i, w
		case i1 < 0 || w > w1 || ids[i] < ids[i1]:
			i1, w1 = i, w
		}
	}
	if i0 >= 0 {
		first = ids[i0]
	}
	if i1 >= 0 {
		second = ids[i1]
	}
	return first, second
}

// TopN returns the n highest-ranked instances for the key, highest first, or all
// if there are fewer.
func TopN(key Key, ids []model.InstanceID, n int) []model.InstanceID {
	type weighted struct {
		id model.InstanceID
		w  uint64
	}
	all := make([]weighted, len(ids))
	for i, id := range ids {
		all[i] = weighted{id, mix(uint64(key) ^ Seed(id))}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if a.w != b.w {
			return cmp.Compare(b.w, a.w)
		}
		return cmp.Compare(a.id, b.id)
	})
	out := make([]model.InstanceID, 0, max(0, min(n, len(all))))
	for i := 0; i < n && i < len(all); i++ {
		out = append(out, all[i].id)
	}
	return out
}

// Rank returns the rank for the key, from 0, of the instance id among ids, or the
// rank that it would have if it is not one of them. seeds holds the Seed of each of
// ids. It does not allocate.
func Rank(key Key, ids []model.InstanceID, seeds []uint64, id model.InstanceID) int {
	own, rank := mix(uint64(key)^Seed(id)), 0
	for i, other := range ids {
		if w := mix(uint64(key) ^ seeds[i]); w > own || (w == own && other < id) {
			rank++
		}
	}
	return rank
}

// Seed returns the hash of an instance, from which Top2, TopN and Rank derive its
// weight for a key. Code that calls Top2 or Rank keeps the seeds of the instances,
// so that the IDs are not hashed for every key.
func Seed(id model.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
