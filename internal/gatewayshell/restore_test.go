package gatewayshell_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cuminshift/internal/standin/platform/client"
	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/store"
)

// opens reports whether a flow to an address is accepted.
func (s *site) opens(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	f, err := s.host.Open(ctx, address)
	if err == nil {
		f.Close()
	}
	return err == nil
}

// added returns the address of the route that the tests add with a version.
func added(version int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.9"), uint16(version))
}

// addRoute writes a version with a route of its own and waits until it is in effect.
func (s *site) addRoute(version int) {
	s.t.Helper()
	s.configure(version, campoAddress, added(version))
	s.waitUntil(3*time.Second, "the new route is in effect", func() bool { return s.opens(added(version)) })
}

// Guards against a configuration that is never in force because the store's
// revisions went back.
func TestConfigurationAfterStoreRestoreTakesEffect(t *testing.T) {
	t.Parallel()
	s := newSite(t, 18, 2)
	backup := s.store.Copy()
	for version := 2; version <= 5; version++ {
		s.addRoute(version)
	}
	s.store.SetMode(store.Reset, 0)
	s.store.Restore(backup)
	time.Sleep(500 * time.Millisecond)
	s.store.SetMode(store.Up, 0)
	s.configure(5, campoAddress, added(5))
	s.configure(6, campoAddress, added(6))
	s.waitUntil(3*time.Second, "the route added after the restoration is in effect at all instances", func() bool {
		for range 4 {
			if !s.opens(added(6)) || s.opens(added(5)) {
				return false
			}
		}
		return true
	})
}

// restartInstance stops an instance and starts it again after change has been called.
func (s *site) restartInstance(i int, change func()) {
	s.t.Helper()
	s.stops[i]()
	if err := <-s.results[i]; err != nil {
		s.t.Fatal(err)
	}
	s.results[i] <- nil
	change()
	s.startInstance(i)
}

// configurationVersion returns the version of the configuration that an instance uses.
func (s *site) configurationVersion(i int) int { return int(s.metric(i, "configuration_version")) }

// Guards against instances that serve by different configurations: one starts on a
// copy that is older than what the others were told, and the operator has not written
// the newer version again yet.
func TestInstanceStartedOnRestoredCopyUsesNewerConfiguration(t *testing.T) {
	t.Parallel()
	s := newSite(t, 19, 1)
	backup := s.store.Copy()
	s.addRoute(5)
	s.store.Restore(backup)
	s.waitUntil(3*time.Second, "the first instance has read the copy", func() bool { return s.metric(0, "store_era") == 2 })
	s.startInstance(1)
	s.waitUntil(3*time.Second, "the new instance uses version 5", func() bool { return s.configurationVersion(1) == 5 })
}

// Guards against the same when the instance that starts is the one that the others
// follow.
func TestFollowedInstanceStartedOnRestoredCopyUsesNewerConfiguration(t *testing.T) {
	t.Parallel()
	s := &site{t: t, subnet: 20, store: store.New(), wideLink: 1}
	s.start(2)
	s.waitUntil(5*time.Second, "the second instance follows the first", func() bool { return s.metric(1, "following") == 1 })
	backup := s.store.Copy()
	s.addRoute(5)
	s.restartInstance(0, func() { s.store.Restore(backup) })
	s.waitUntil(5*time.Second, "the restarted instance uses version 5", func() bool { return s.configurationVersion(0) == 5 })
}

// Guards against packets to a withdrawn data centre by an instance that starts on a
// copy of before its withdrawal.
func TestInstanceStartedOnRestoredCopyLearnsWithdrawal(t *testing.T) {
	t.Parallel()
	s := newSite(t, 21, 1)
	backup := s.store.Copy()
	operator.Evacuate(s.store, "norte")
	s.waitUntil(3*time.Second, "the data centre is withdrawn", func() bool { return !s.opens(campoAddress) })
	s.store.Restore(backup)
	s.startInstance(1)
	s.waitUntil(3*time.Second, "the new instance follows the first", func() bool { return s.metric(1, "following") == 1 })
	direct, err := client.NewHost(s.address(151, packetPort), s.address(21, packetPort))
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	opens := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := direct.Open(ctx, campoAddress)
		return err == nil
	}
	s.waitUntil(3*time.Second, "the new instance knows of the withdrawal", func() bool { return !opens() })
	for range 10 {
		if opens() {
			t.Fatal("the new instance sends a flow to the withdrawn data centre")
		}
	}
}

// Guards against an instance that nobody follows or finds any more because the restored
// store has lost its registration.
func TestLostRegistrationIsRenewed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 22, 1)
	backup := s.store.Copy()
	registered := func(i int) bool {
		return s.store.Contains("cuminshift-instances", fmt.Sprint("norte-", i))
	}
	s.waitUntil(3*time.Second, "the instance is registered", func() bool { return registered(0) })
	s.startInstance(1)
	s.waitUntil(3*time.Second, "the second instance follows the first", func() bool { return registered(1) && s.metric(1, "following") == 1 })
	s.store.Restore(backup)
	s.waitUntil(5*time.Second, "both instances are registered again and one follows the other", func() bool {
		return registered(0) && registered(1) && s.metric(0, "following")+s.metric(1, "following") == 1
	})
}

// Guards against an older configuration at an instance that starts on a copy and reaches
// no instance that has the newer one.
func TestStartOnRestoredCopyWithoutOtherInstances(t *testing.T) {
	t.Parallel()
	s := newSite(t, 23, 1)
	backup := s.store.Copy()
	s.addRoute(5)
	s.store.Restore(backup)
	s.waitUntil(5*time.Second, "the configuration in use is kept in the store", func() bool { return s.store.Calls()["PUT config"] == 1 })
	s.restartInstance(0, func() {})
	s.waitUntil(3*time.Second, "the restarted instance uses version 5", func() bool { return s.configurationVersion(0) == 5 })
}
