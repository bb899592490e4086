package model

import (
	"net/netip"
	"testing"
)

// Guards against a match of a shorter prefix when a longer one matches as well.
func TestCallerOfTakesLongestPrefix(t *testing.T) {
	wide := &Caller{Name: "wide", Prefixes: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}
	narrow := &Caller{Name: "narrow", Prefixes: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}
	c := &Catalog{Callers: map[string]*Caller{"wide": wide, "narrow": narrow}}
	c.IndexCallers()
	if got := c.CallerOf(netip.MustParseAddr("10.1.2.3")); got != narrow {
		t.Errorf("10.1.2.3: got %v, want narrow", got)
	}
	if got := c.CallerOf(netip.MustParseAddr("10.2.2.3")); got != wide {
		t.Errorf("10.2.2.3: got %v, want wide", got)
	}
	if got := c.CallerOf(netip.MustParseAddr("192.0.2.1")); got != nil {
		t.Errorf("192.0.2.1: got %v, want none", got)
	}
}

// Guards against an allocation on the packet path.
func TestFlowHashDoesNotAllocate(t *testing.T) {
	k := FlowKey{netip.MustParseAddrPort("127.0.0.1:4000"), netip.MustParseAddrPort("127.0.0.9:80")}
	if n := testing.AllocsPerRun(100, func() { _ = k.Hash() }); n != 0 {
		t.Errorf("%v allocations per hash", n)
	}
}
