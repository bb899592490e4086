package gatewayshell_test

import (
	"context"
	"testing"
	"time"

	"cuminshift/internal/standin/platform/client"
)

// Callers of one instance find a server dead. The other instance learns of it,
// whichever of the two follows the other, and its callers lose no opening.
func TestInstancesShareALoss(t *testing.T) {
	t.Parallel()
	for origin, network := range []int{18, 19} {
		s := newSite(t, network, 2)
		s.until(5*time.Second, "one instance follows the other", func() bool {
			return s.metric(0, "feed_calls") > 4 || s.metric(1, "feed_calls") > 4
		})
		// The registry does not show the loss during the test.
		victim := s.addServerThatWrites(7, time.Minute)
		own, other := s.hostOf(origin, 151), s.hostOf(1-origin, 152)
		var at *client.Flow
		s.until(3*time.Second, "a flow at the new server", func() bool {
			f, _ := timeOpening(s, own)
			if s.request(f, "a").Server != victim.ID() {
				f.Close()
				return false
			}
			at = f
			return true
		})
		victim.Kill()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if _, err := at.Request(ctx, "b", 5, 100); err == nil {
			t.Error("a dead server answered")
		}
		cancel()
		s.until(time.Second, "the other instance has probed the server", func() bool { return s.metric(1-origin, "probes") > 0 })
		for range 12 {
			// A lost opening is repeated after 200 ms.
			f, took := timeOpening(s, other)
			if took > 150*time.Millisecond {
				t.Errorf("origin %d: an opening took %s", origin, took)
			}
			defer f.Close()
		}
	}
}

// hostOf is a callers' host all of whose packets go to one instance.
func (s *site) hostOf(instance, address int) *client.Host {
	s.t.Helper()
	h, err := client.NewHost(s.address(address, packetPort), s.address(20+instance, packetPort))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(h.Close)
	return h
}

func timeOpening(s *site, h *client.Host) (*client.Flow, time.Duration) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	begin := time.Now()
	f, err := h.Open(ctx, campo)
	if err != nil {
		s.t.Fatal(err)
	}
	return f, time.Since(begin)
}
