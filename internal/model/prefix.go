package model

import (
	"maps"
	"net/netip"
)

// prefixTable finds the longest matching prefix with one map lookup per prefix
// length in use.
type prefixTable struct {
	// lengths4 and lengths6 are the prefix lengths in use for IPv4 and IPv6, in
	// descending order.
	lengths4 []int
	lengths6 []int
	callers  map[netip.Prefix]*Caller
}

func newPrefixTable(callers map[string]*Caller) prefixTable {
	t := prefixTable{callers: make(map[netip.Prefix]*Caller)}
	for _, caller := range callers {
		t.add(caller)
	}
	t.indexLengths()
	return t
}

// replace returns a copy of the table without the removed callers and with the
// added ones.
func (t *prefixTable) replace(removed, added []*Caller) prefixTable {
	next := prefixTable{callers: maps.Clone(t.callers)}
	for _, caller := range removed {
		for _, p := range caller.Prefixes {
			delete(next.callers, p.Masked())
		}
	}
	for _, caller := range added {
		next.add(caller)
	}
	next.indexLengths()
	return next
}

func (t *prefixTable) add(caller *Caller) {
	for _, p := range caller.Prefixes {
		t.callers[p.Masked()] = caller
	}
}

// indexLengths sets lengths4 and lengths6 from the prefixes in the table.
func (t *prefixTable) indexLengths() {
	var present4, present6 [129]bool
	for p := range t.callers {
		if p.Addr().Is4() {
			present4[p.Bits()] = true
		} else {
			present6[p.Bits()] = true
		}
	}
	t.lengths4, t.lengths6 = lengthsDescending(present4), lengthsDescending(present6)
}

// lengthsDescending returns the indexes of the true elements, highest first.
func lengthsDescending(present [129]bool) []int {
	var lengths []int
	for n := len(present) - 1; n >= 0; n-- {
		if present[n] {
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
