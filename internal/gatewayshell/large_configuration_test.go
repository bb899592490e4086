package gatewayshell_test

import (
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/store"
)

// Guards against a configuration that is never in force because large versions followed each
// other faster than they were read: together they exceed what a client takes in one answer.
func TestStormOfLargeConfigurationsTakesEffect(t *testing.T) {
	t.Parallel()
	const versionBytes = 700_000
	s := newSite(t, 25, 2)
	s.store.SetMode(store.Reset, 0)
	for version := 2; version <= 12; version++ {
		operator.ConfigurePadded(s.store, version, []operator.Route{{Address: campoAddress, Service: "campo"}}, versionBytes)
	}
	s.store.SetMode(store.Up, 0)
	s.addRoute(13)
	for i := range 2 {
		s.waitUntil(3*time.Second, "the last version is in force", func() bool { return s.configurationVersion(i) == 13 })
	}
	if s.metric(0, "store_answers_too_large")+s.metric(1, "store_answers_too_large") == 0 {
		t.Error("no answer was too large")
	}
}

// Guards against the same with versions of many routes, where the time to decode them counts.
func TestStormOfConfigurationsWithManyRoutesTakesEffect(t *testing.T) {
	t.Parallel()
	s := newSite(t, 26, 2)
	large := make([]netip.AddrPort, 5000)
	for i := range large {
		large[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(i >> 8), byte(i)}), 443)
	}
	s.store.SetMode(store.Up, 300*time.Millisecond)
	for version := 2; version <= 12; version++ {
		s.configure(version, append([]netip.AddrPort{campoAddress}, large...)...)
	}
	s.addRoute(13)
	for i := range 2 {
		s.waitUntil(3*time.Second, "the last version is in force", func() bool { return s.configurationVersion(i) == 13 })
	}
}
