package gatewayshell_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cuminshift/internal/gatewayshell"
	"cuminshift/internal/standin/platform/client"
	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/router"
	"cuminshift/internal/standin/platform/server"
	"cuminshift/internal/standin/platform/store"
	"cuminshift/platform"
)

const (
	packetPort = 8172
	readyPort  = 8167
	storePort  = 8169
	serverPort = 8080
)

var campo = netip.MustParseAddrPort("198.18.0.1:8443")

// site is one data centre on loopback addresses of its own.
type site struct {
	t      *testing.T
	net    int
	store  *store.Store
	router *router.Router
	host   *client.Host
	stops  []context.CancelFunc
	ended  []chan error
	files  []string
	// ownSeeds gives instances their own address as the only seed.
	ownSeeds bool

	mu     sync.Mutex
	forged int
}

func (s *site) address(a, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.net), 0, byte(a)}), uint16(port))
}

func (s *site) Opened(string, string, netip.AddrPort, netip.AddrPort, time.Time) {}
func (s *site) Ran(string, string, string, time.Time)                            {}
func (s *site) Forged(string, time.Time)                                         { s.mu.Lock(); s.forged++; s.mu.Unlock() }

func (s *site) configure(version int, addresses ...netip.AddrPort) {
	var routes []operator.Route
	for _, a := range addresses {
		routes = append(routes, operator.Route{Address: a, Service: "campo"})
	}
	operator.Configure(s.store, version, routes)
}

func (s *site) serve(st http.Handler, address netip.AddrPort) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		s.t.Fatal(err)
	}
	h := &http.Server{Handler: st, ReadHeaderTimeout: time.Second}
	go h.Serve(listener)
	s.t.Cleanup(func() { h.Close() })
}

// newSite starts a store, two servers, instances and a router, and waits until
// all instances are in rotation.
func newSite(t *testing.T, network, instances int) *site {
	s := &site{t: t, net: network, store: store.New()}
	s.serve(s.store, s.address(1, storePort))
	s.configure(1, campo)
	for i := range 2 {
		s.addServer(i)
	}
	var all []router.Instance
	for i := range instances {
		all = append(all, router.Instance{Zone: "norte", PacketAddr: s.address(20+i, packetPort), ReadyAddr: s.address(20+i, readyPort)})
		s.startInstance(i)
	}
	var err error
	if s.router, err = router.Start("norte", s.address(3, packetPort), all); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.router.Stop)
	if s.host, err = client.NewHost(s.address(150, packetPort), s.address(3, packetPort)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.host.Close)
	s.until(5*time.Second, "all instances in rotation", func() bool { return s.router.InRotation() == instances })
	return s
}

func (s *site) addServer(i int) *server.Server {
	x, err := server.Start(server.Config{ID: fmt.Sprintf("i-%x", 0x100+i), Service: "campo", Zone: "norte", Address: s.address(100+i, serverPort),
		CallerPort: packetPort, Slots: 3, StoreURL: "http://" + s.address(1, storePort).String(), HeartbeatInterval: 200 * time.Millisecond, Observer: s})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(x.Kill)
	return x
}

func (s *site) settings(i int, storeAddress netip.AddrPort) string {
	seed := s.address(20, 8166)
	if s.ownSeeds {
		seed = s.address(20+i, 8166)
	}
	p := operator.InstanceSettings{Name: fmt.Sprint("norte-", i), Zone: "norte", PacketAddr: s.address(20+i, packetPort), ReadyAddr: s.address(20+i, readyPort),
		ControlAddr: s.address(20+i, 8166), StoreAddr: storeAddress, SeedAddr: seed}
	return p.YAML()
}

func (s *site) startInstance(i int) {
	file := filepath.Join(s.t.TempDir(), fmt.Sprint(i, ".yaml"))
	s.write(file, s.settings(i, s.address(1, storePort)))
	settings, err := platform.LoadSettings(file)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- gatewayshell.Run(ctx, settings, platform.Parts(), zap.NewNop()) }()
	s.stops, s.ended, s.files = append(s.stops, cancel), append(s.ended, done), append(s.files, file)
	s.t.Cleanup(func() { cancel(); <-done })
}

func (s *site) write(file, text string) {
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) until(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// page returns a page of an instance; empty when it cannot be read.
func (s *site) page(i int, path string) string {
	r, err := http.Get("http://" + s.address(20+i, readyPort).String() + path)
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	return string(b)
}

// metric returns a metric of an instance, -1 when it cannot be read.
func (s *site) metric(i int, name string) float64 {
	for line := range strings.Lines(s.page(i, "/metrics")) {
		var v float64
		if n, _ := fmt.Sscanf(line, "cuminshift_"+name+" %f", &v); n == 1 {
			return v
		}
	}
	return -1
}

func (s *site) open() *client.Flow {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f, err := s.host.Open(ctx, campo)
	if err != nil {
		s.t.Fatal(err)
	}
	return f
}

func (s *site) request(f *client.Flow, id string) client.Answer {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a, err := f.Request(ctx, id, 5, 20000)
	if err != nil {
		s.t.Fatalf("request %s: %v", id, err)
	}
	return a
}

// Flows stay at their server while the instance that opened them makes a
// planned stop, and nobody sees a packet that its sender did not write so.
func TestFlowsSurviveAPlannedStop(t *testing.T) {
	t.Parallel()
	s := newSite(t, 11, 2)
	flows, servers := make([]*client.Flow, 8), make([]string, 8)
	for i := range flows {
		flows[i] = s.open()
		servers[i] = s.request(flows[i], fmt.Sprint("a", i)).Server
	}
	s.stops[0]()
	for round := range 20 {
		for i, f := range flows {
			if got := s.request(f, fmt.Sprint("b", round, "-", i)).Server; got != servers[i] {
				t.Fatalf("a flow moved from %s to %s", servers[i], got)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if s.host.Forged() > 0 || s.forged > 0 {
		t.Errorf("%d packets at the caller and %d at servers that nobody wrote so", s.host.Forged(), s.forged)
	}
}

// One instance calls the store for both; a change still reaches both at once.
func TestOneInstanceCallsTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 12, 2)
	time.Sleep(3 * time.Second)
	before := s.store.Calls()["GET config"]
	time.Sleep(4 * time.Second)
	if calls := s.store.Calls()["GET config"] - before; calls > 4 {
		t.Errorf("%d calls in 4 s for the configuration, a watch of one instance takes 1.65 s", calls)
	}
	bytes := s.metric(1, "feed_bytes_sent") + s.metric(1, "feed_bytes_received")
	time.Sleep(2 * time.Second)
	rate := (s.metric(1, "feed_bytes_sent") + s.metric(1, "feed_bytes_received") - bytes) / 2
	t.Logf("%.0f bytes of feed a second at one instance", rate)
	if rate > 7000 {
		t.Errorf("%.0f bytes of feed a second, at most 7,000 are allowed for control", rate)
	}
	s.configure(2)
	s.until(time.Second, "the dropped route is refused by both instances", func() bool {
		for range 4 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			f, err := s.host.Open(ctx, campo)
			cancel()
			if err == nil {
				f.Close()
				return false
			}
		}
		return true
	})
}

// A server that dies: its flows are reset, also idle ones, and new ones go to
// the other.
func TestServerDies(t *testing.T) {
	t.Parallel()
	s := newSite(t, 13, 1)
	victim := s.addServer(7)
	s.until(3*time.Second, "a flow at the new server", func() bool {
		f := s.open()
		defer f.Close()
		return s.request(f, "a").Server == victim.ID()
	})
	var idle []*client.Flow
	for len(idle) < 3 {
		f := s.open()
		if s.request(f, "b").Server == victim.ID() {
			idle = append(idle, f)
		}
	}
	victim.Kill()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	begin := time.Now()
	if _, err := idle[0].Request(ctx, "c", 5, 100); err == nil {
		t.Fatal("a dead server answered")
	}
	if took := time.Since(begin); took > 700*time.Millisecond {
		t.Errorf("the flow was given up after %s", took)
	}
	s.until(time.Second, "idle flows are reset", func() bool { return idle[1].WasReset() && idle[2].WasReset() })
	f := s.open()
	if got := s.request(f, "d").Server; got == victim.ID() {
		t.Error("new flow at the dead server")
	}
	f.Close()
	s.until(time.Second, "the burn report shows the broken flows", func() bool {
		return regexp.MustCompile(`campo +norte +broken-flows +5m0s +[1-9]\d* +[3-9] .*server lost`).MatchString(s.page(0, "/burn"))
	})
}

// The store is out in each way while the configuration changes; the change is
// in force soon after its return, and traffic goes on meanwhile.
func TestStoreOutages(t *testing.T) {
	t.Parallel()
	s := newSite(t, 14, 2)
	f := s.open()
	version := 1
	for _, mode := range []store.Mode{store.Busy, store.Silent, store.Reset} {
		s.store.SetMode(mode, 0)
		version++
		next := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.9"), uint16(version))
		s.configure(version, campo, next)
		time.Sleep(1500 * time.Millisecond)
		s.request(f, fmt.Sprint("out", version))
		s.store.SetMode(store.Up, 0)
		s.until(3*time.Second, "the new route is in force", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			g, err := s.host.Open(ctx, next)
			if err == nil {
				g.Close()
			}
			return err == nil
		})
	}
}

// An instance that starts while the store is out learns all from a seed.
func TestStartsFromASeed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 16, 1)
	f := s.open()
	at := s.request(f, "a").Server
	for _, mode := range []store.Mode{store.Busy, store.Silent} {
		s.store.SetMode(mode, 0)
		i := len(s.stops)
		s.startInstance(i)
		s.until(2*time.Second, "the new instance is ready", func() bool {
			r, err := http.Get("http://" + s.address(20+i, readyPort).String() + "/cuminshift/ready")
			if err == nil {
				r.Body.Close()
			}
			return err == nil && r.StatusCode == http.StatusOK
		})
	}
	if got := s.request(f, "b").Server; got != at {
		t.Errorf("the flow moved from %s to %s", at, got)
	}
}

// The store is out and an instance starts whose seeds know nothing: it learns
// from one that asks it.
func TestLearnsFromAnInstanceThatAsks(t *testing.T) {
	t.Parallel()
	s := newSite(t, 17, 2)
	// Who registers first is followed.
	followed := -1
	s.until(5*time.Second, "one instance follows the other", func() bool {
		for i := range 2 {
			if s.metric(i, "feed_calls") > 4 {
				followed = 1 - i
			}
		}
		return followed >= 0
	})
	s.store.SetMode(store.Busy, 0)
	s.stops[followed]()
	if err := <-s.ended[followed]; err != nil {
		t.Fatal(err)
	}
	s.ended[followed] <- nil
	s.ownSeeds = true
	s.startInstance(followed)
	s.until(4*time.Second, "the restarted instance is ready", func() bool {
		r, err := http.Get("http://" + s.address(20+followed, readyPort).String() + "/cuminshift/ready")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && r.StatusCode == http.StatusOK
	})
}

// The settings file names another address of the store; the instance goes there
// without a restart.
func TestStoreMoves(t *testing.T) {
	t.Parallel()
	s := newSite(t, 15, 1)
	moved := s.address(2, storePort)
	s.serve(s.store, moved)
	s.write(s.files[0], s.settings(0, moved))
	s.until(6*time.Second, "settings reloaded", func() bool {
		return s.metric(0, "settings_reloads") == 1
	})
	s.request(s.open(), "a")
}
