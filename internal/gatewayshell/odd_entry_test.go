package gatewayshell_test

import (
	"fmt"
	"testing"
	"time"

	"cuminshift/internal/standin/platform/server"
)

// Guards against instances that end, do not start or no longer follow the registry,
// because another writer has stored an entry that cannot be read.
func TestInstancesFollowRegistryBesideOddEntries(t *testing.T) {
	t.Parallel()
	s := newSite(t, 24, 2)
	known := func(i int) float64 { return s.metric(i, "servers") }
	if known(0) != 2 || known(1) != 2 {
		t.Fatalf("%v and %v servers", known(0), known(1))
	}
	for i, text := range server.UnusableEntries {
		s.store.PutText("servers", fmt.Sprintf("i-%x", 0x900+i), text)
	}
	s.addServer(2)
	for i := range 2 {
		s.waitUntil(3*time.Second, "a server that registers beside the odd entries is known", func() bool { return known(i) == 3 })
	}
	s.restartInstance(0, func() {})
	s.startInstance(2)
	for _, i := range []int{0, 2} {
		s.waitUntil(3*time.Second, "an instance that starts beside the odd entries has the others", func() bool { return known(i) == 3 })
	}
	s.waitUntil(3*time.Second, "flows are opened", func() bool { return s.opens(campoAddress) })
	for i, done := range s.results[1:] {
		select {
		case err := <-done:
			done <- err // for the cleanup
			t.Errorf("instance %d has ended: %v", i+1, err)
		default:
		}
	}
}
