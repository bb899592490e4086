package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cuminshift/internal/standin/platform/server"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 770 * time.Millisecond

// registrar takes the entries of the servers and writes them to the store, as the store of
// the platform does: an entry changes only when more than its count changes. It adds the
// rest of the cold start, which the stand-in of a server does not state.
type registrar struct {
	world *world
	mu    sync.Mutex
	// down is set while the store accepts nothing.
	down bool
	// known holds what the entries say, without the count, by name.
	known map[string]string
}

func (r *registrar) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// handler serves the calls of one server.
func (r *registrar) handler(t *target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var body struct {
			Meta struct{ Name string }
			Spec map[string]any
		}
		data, err := io.ReadAll(q.Body)
		if err != nil || json.Unmarshal(data, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if time.Now().Before(t.readyAt) {
			return
		}
		if r.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		warmupLeft := max(0, time.Until(t.coldUntil).Milliseconds())
		said := fmt.Sprint(body.Spec["service"], body.Spec["state"], body.Spec["born"], warmupLeft)
		if r.known[t.id] == said {
			return
		}
		if r.known[t.id] = said; body.Spec["state"] == "draining" && t.drainAcked.IsZero() {
			t.drainAcked = time.Now()
			r.world.note("the store has accepted that %s drains", t.id)
		}
		body.Spec["warmup_left_ms"] = warmupLeft
		r.world.store.Put("servers", t.id, body.Spec)
	})
}

// opening is an opening that a server took.
type opening struct {
	server string
	// arrived is when its first packet arrived.
	arrived time.Time
}

// target is a backend server.
type target struct {
	world     *world
	id        string
	zone      int
	cfg       server.Config
	running   *server.Server
	coldUntil time.Time
	entries   *http.Server
	// readyAt is the time from which the server registers.
	readyAt time.Time
	// bootedAt is when the server last started.
	bootedAt time.Time
	// drainAcked is when the store accepted that the server drains. It is guarded by the
	// registrar's lock.
	drainAcked time.Time

	mu    sync.Mutex
	taken map[netip.AddrPort]opening
}

// addTarget starts a server, cold for the given time.
func (w *world) addTarget(zone, n int, service string, slots int, cold time.Duration) (*target, error) {
	return w.addTargetNamed(fmt.Sprintf("i-%x", 0x5a000+zone*0x100+n), zone, n, service, slots, cold, 0)
}

// addTargetNamed starts a server that registers after a time, when it is ready.
func (w *world) addTargetNamed(id string, zone, n int, service string, slots int, cold, readyAfter time.Duration) (*target, error) {
	t := &target{world: w, id: id, zone: zone, taken: map[netip.AddrPort]opening{}, readyAt: time.Now().Add(readyAfter)}
	entries := w.address(4+zone, n, storePort)
	l, err := net.Listen("tcp4", entries.String())
	if err != nil {
		return nil, err
	}
	t.entries = &http.Server{Handler: w.registrar.handler(t), ReadHeaderTimeout: time.Second}
	go func() {
		// Serve returns only when the server is closed.
		_ = t.entries.Serve(l)
	}()
	t.cfg = server.Config{ID: t.id, Service: service, Zone: zones[zone], Address: w.address(100+zone, n, serverPort), CallerPort: packetPort, Slots: slots,
		StoreURL: "http://" + entries.String(), HeartbeatInterval: heartbeat, Observer: t}
	w.servers = append(w.servers, t)
	return t, t.boot(cold)
}

// boot starts the server, again under the name that it had.
func (t *target) boot(cold time.Duration) error {
	t.bootedAt = time.Now()
	t.coldUntil = t.bootedAt.Add(cold)
	var err error
	t.running, err = server.Start(t.cfg)
	t.world.log("server %s of %s in %s starts, cold for %s", t.id, t.cfg.Service, t.cfg.Zone, cold)
	return err
}

func (t *target) kill() {
	if t.running != nil {
		t.running.Kill()
		t.running = nil
	}
}

// Opened implements server.Observer. The first packet of an opening counts.
func (t *target) Opened(id, _ string, caller netip.AddrPort, _ netip.AddrPort, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.taken[caller]; !known {
		t.taken[caller] = opening{id, at}
		t.world.log("%s takes the opening of %s", id, caller)
	}
}

// Ran implements server.Observer.
func (t *target) Ran(id, _, request string, _ time.Time) {
	if !strings.HasPrefix(request, keepPrefix) {
		t.world.log("%s runs %s", id, request)
	}
}

// Forged implements server.Observer.
func (t *target) Forged(id string, _ time.Time) { t.world.note("%s got a forged packet", id) }

// openings returns a copy of what the server took.
func (t *target) openings() map[netip.AddrPort]opening {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[netip.AddrPort]opening, len(t.taken))
	for k, v := range t.taken {
		out[k] = v
	}
	return out
}
