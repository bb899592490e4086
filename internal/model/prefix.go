package model

import (
	"net/netip"
	"sort"
)

// prefixTable finds the longest matching prefix with one map probe for each
// prefix length in use.
type prefixTable struct {
	lengths4 []int
	lengths6 []int
	callers  map[netip.Prefix]*Caller
}

func newPrefixTable(callers map[string]*Caller) prefixTable {
	t := prefixTable{callers: make(map[netip.Prefix]*Caller)}
	seen4, seen6 := map[int]bool{}, map[int]bool{}
	for _, caller := range callers {
		for _, p := range caller.Prefixes {
			p = p.Masked()
			t.callers[p] = caller
			if p.Addr().Is4() {
				seen4[p.Bits()] = true
			} else {
				seen6[p.Bits()] = true
			}
		}
	}
	t.lengths4, t.lengths6 = longestFirst(seen4), longestFirst(seen6)
	return t
}

func longestFirst(seen map[int]bool) []int {
	lengths := make([]int, 0, len(seen))
	for n := range seen {
		lengths = append(lengths, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(lengths)))
	return lengths
}

func (t *prefixTable) lookup(addr netip.Addr) *Caller {
	lengths := t.lengths6
	if addr.Is4() {
		lengths = t.lengths4
	}
	for _, n := range lengths {
		p, err := addr.Prefix(n)
		if err != nil {
			continue
		}
		if caller, ok := t.callers[p]; ok {
			return caller
		}
	}
	return nil
}
