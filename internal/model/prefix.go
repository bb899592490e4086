package model

import (
	"maps"
	"net/netip"
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
	for _, caller := range callers {
		t.add(caller)
	}
	t.setLengths()
	return t
}

// with returns a table without the callers that went and with those that came.
func (t *prefixTable) with(gone, came []*Caller) prefixTable {
	next := prefixTable{callers: maps.Clone(t.callers)}
	for _, caller := range gone {
		for _, p := range caller.Prefixes {
			delete(next.callers, p.Masked())
		}
	}
	for _, caller := range came {
		next.add(caller)
	}
	next.setLengths()
	return next
}

func (t *prefixTable) add(caller *Caller) {
	for _, p := range caller.Prefixes {
		t.callers[p.Masked()] = caller
	}
}

func (t *prefixTable) setLengths() {
	var in4, in6 [129]bool
	for p := range t.callers {
		if p.Addr().Is4() {
			in4[p.Bits()] = true
		} else {
			in6[p.Bits()] = true
		}
	}
	t.lengths4, t.lengths6 = longestFirst(in4), longestFirst(in6)
}

func longestFirst(in [129]bool) []int {
	var lengths []int
	for n := len(in) - 1; n >= 0; n-- {
		if in[n] {
			lengths = append(lengths, n)
		}
	}
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
