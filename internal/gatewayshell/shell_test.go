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
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"

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

var campoAddress = netip.MustParseAddrPort("198.18.0.1:8443")

// site is one data centre on a loopback subnet of its own.
type site struct {
	t      *testing.T
	subnet int
	store  *store.Store
	router *router.Router
	host   *client.Host
	// stops, results and files hold, for each started instance, the function that
	// requests its planned stop, the channel with the result of its Run, and its
	// settings file.
	stops   []context.CancelFunc
	results []chan error
	files   []string
	// wideLink is the number of the instance whose link is wider than the others', so
	// that it precedes them; 0 for none.
	wideLink int
	// ownSeeds gives each instance its own address as its only seed.
	ownSeeds bool

	mu sync.Mutex
	// forged counts the packets that were altered between a caller and a server.
	forged int
}

func (s *site) address(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.subnet), 0, byte(host)}), uint16(port))
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

func (s *site) serve(handler http.Handler, address netip.AddrPort) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		s.t.Fatal(err)
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go h.Serve(listener)
	s.t.Cleanup(func() { h.Close() })
}

// newSite starts a store, two servers, the given number of instances and a
// router, and waits until all instances receive traffic.
func newSite(t *testing.T, subnet, instances int) *site {
	s := &site{t: t, subnet: subnet, store: store.New()}
	s.start(instances)
	return s
}

// start does what newSite documents.
func (s *site) start(instances int) {
	s.t.Helper()
	s.serve(s.store, s.address(1, storePort))
	s.configure(1, campoAddress)
	for i := range 2 {
		id := s.addServer(i).ID()
		s.waitUntil(5*time.Second, "the server is registered", func() bool { return s.store.Contains("servers", id) })
	}
	var all []router.Instance
	for i := range instances {
		all = append(all, router.Instance{Zone: "norte", PacketAddr: s.address(20+i, packetPort), ReadyAddr: s.address(20+i, readyPort)})
		s.startInstance(i)
	}
	var err error
	if s.router, err = router.Start("norte", s.address(3, packetPort), all); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(s.router.Stop)
	if s.host, err = client.NewHost(s.address(150, packetPort), s.address(3, packetPort)); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(s.host.Close)
	s.waitUntil(5*time.Second, "all instances receive traffic", func() bool { return s.router.InRotation() == instances })
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
	if s.wideLink == i+1 {
		return strings.Replace(p.YAML(), "bandwidth_mbps: 100", "bandwidth_mbps: 200", 1)
	}
	return p.YAML()
}

func (s *site) startInstance(i int) {
	file := filepath.Join(s.t.TempDir(), fmt.Sprint(i, ".yaml"))
	s.writeFile(file, s.settings(i, s.address(1, storePort)))
	settings, err := platform.LoadSettings(file)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	log := s.logger(i) // before the cleanup that ends the instance, so that its lines are read after that
	go func() { done <- gatewayshell.Run(ctx, settings, platform.Adapter(), log) }()
	s.stops, s.results, s.files = append(s.stops, cancel), append(s.results, done), append(s.files, file)
	s.t.Cleanup(func() { cancel(); <-done })
}

// logger returns the logger of an instance. Its lines are printed if the test fails.
func (s *site) logger(i int) *zap.Logger {
	var lines zaptest.Buffer
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Logf("log of instance %d:\n%s", i, lines.String())
		}
	})
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{TimeKey: "ts", MessageKey: "msg", EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeDuration: zapcore.StringDurationEncoder})
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(&lines), zapcore.InfoLevel))
}

func (s *site) writeFile(file, text string) {
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) waitUntil(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}

// getPage returns the body of a page of an instance, or "" when it cannot be
// read.
func (s *site) getPage(i int, path string) string {
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

// metric returns the value of a metric of an instance, or -1 when it cannot be
// read.
func (s *site) metric(i int, name string) float64 {
	for line := range strings.Lines(s.getPage(i, "/metrics")) {
		var v float64
		if n, _ := fmt.Sscanf(line, "cuminshift_"+name+" %f", &v); n == 1 {
			return v
		}
	}
	return -1
}

func (s *site) openFlow() *client.Flow {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f, err := s.host.Open(ctx, campoAddress)
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

// Flows stay on their server while the instance that opened them performs a
// planned stop, and no packet is altered on the way.
func TestFlowsSurvivePlannedStop(t *testing.T) {
	t.Parallel()
	s := newSite(t, 11, 2)
	flows, servers := make([]*client.Flow, 8), make([]string, 8)
	for i := range flows {
		flows[i] = s.openFlow()
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
		t.Errorf("%d packets at the caller and %d at servers differ from what was sent", s.host.Forged(), s.forged)
	}
}

// One of two instances calls the store on behalf of both. A change still reaches
// both immediately.
func TestOneInstanceCallsStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 12, 2)
	time.Sleep(3 * time.Second)
	before := s.store.Calls()["GET config"]
	time.Sleep(4 * time.Second)
	if calls := s.store.Calls()["GET config"] - before; calls > 4 {
		t.Errorf("%d calls for the configuration in 4 s; a watch of one instance takes 1.65 s", calls)
	}
	bytes := s.metric(1, "feed_bytes_sent") + s.metric(1, "feed_bytes_received")
	time.Sleep(2 * time.Second)
	rate := (s.metric(1, "feed_bytes_sent") + s.metric(1, "feed_bytes_received") - bytes) / 2
	t.Logf("%.0f bytes of feed traffic a second at one instance", rate)
	if rate > 7000 {
		t.Errorf("%.0f bytes of feed traffic a second; at most 7,000 are allowed for control traffic", rate)
	}
	s.configure(2)
	s.waitUntil(time.Second, "both instances refuse flows of the removed route", func() bool {
		for range 4 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			f, err := s.host.Open(ctx, campoAddress)
			cancel()
			if err == nil {
				f.Close()
				return false
			}
		}
		return true
	})
}

// After the failure of a server its flows are reset, including idle ones, and
// new flows go to other servers.
func TestServerFailure(t *testing.T) {
	t.Parallel()
	s := newSite(t, 13, 1)
	killed := s.addServer(7)
	s.waitUntil(3*time.Second, "a flow goes to the new server", func() bool {
		f := s.openFlow()
		defer f.Close()
		return s.request(f, "a").Server == killed.ID()
	})
	var idle []*client.Flow
	for len(idle) < 3 {
		f := s.openFlow()
		if s.request(f, "b").Server == killed.ID() {
			idle = append(idle, f)
		}
	}
	killed.Kill()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	begin := time.Now()
	if _, err := idle[0].Request(ctx, "c", 5, 100); err == nil {
		t.Fatal("a killed server answered")
	}
	if took := time.Since(begin); took > 700*time.Millisecond {
		t.Errorf("the request failed only after %s", took)
	}
	s.waitUntil(time.Second, "idle flows are reset", func() bool { return idle[1].WasReset() && idle[2].WasReset() })
	f := s.openFlow()
	if got := s.request(f, "d").Server; got == killed.ID() {
		t.Error("a new flow went to the killed server")
	}
	f.Close()
	s.waitUntil(time.Second, "the burn report shows the broken flows", func() bool {
		return regexp.MustCompile(`campo +norte +broken-flows +5m0s +[1-9]\d* +[3-9] .*server lost`).MatchString(s.getPage(0, "/burn"))
	})
}

// The configuration changes while the store is unavailable, in each mode of
// failure. Traffic continues meanwhile, and the change takes effect soon after
// the store recovers.
func TestStoreOutages(t *testing.T) {
	t.Parallel()
	s := newSite(t, 14, 2)
	f := s.openFlow()
	version := 1
	for _, mode := range []store.Mode{store.Busy, store.Silent, store.Reset} {
		s.store.SetMode(mode, 0)
		version++
		next := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.9"), uint16(version))
		s.configure(version, campoAddress, next)
		time.Sleep(1500 * time.Millisecond)
		s.request(f, fmt.Sprint("out", version))
		s.store.SetMode(store.Up, 0)
		s.waitUntil(3*time.Second, "the new route is in effect", func() bool {
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

// An instance that starts while the store is unavailable receives all data from
// a seed.
func TestStartFromSeed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 16, 1)
	f := s.openFlow()
	at := s.request(f, "a").Server
	for _, mode := range []store.Mode{store.Busy, store.Silent} {
		s.store.SetMode(mode, 0)
		i := len(s.stops)
		s.startInstance(i)
		s.waitUntil(2*time.Second, "the new instance is ready", func() bool {
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

// While the store is unavailable, an instance starts whose seeds have no data.
// It receives the data from an instance that sends it a request.
func TestStartFromRequester(t *testing.T) {
	t.Parallel()
	s := newSite(t, 17, 2)
	// The instance that registers first is followed by the other one.
	followed := -1
	s.waitUntil(5*time.Second, "one instance follows the other", func() bool {
		for i := range 2 {
			if s.metric(i, "following") == 1 {
				followed = 1 - i
			}
		}
		return followed >= 0
	})
	s.store.SetMode(store.Busy, 0)
	s.stops[followed]()
	if err := <-s.results[followed]; err != nil {
		t.Fatal(err)
	}
	s.results[followed] <- nil
	s.ownSeeds = true
	s.startInstance(followed)
	s.waitUntil(4*time.Second, "the restarted instance is ready", func() bool {
		r, err := http.Get("http://" + s.address(20+followed, readyPort).String() + "/cuminshift/ready")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && r.StatusCode == http.StatusOK
	})
}

// After the store's address in the settings file has changed, the instance calls
// the store at the new address without a restart.
func TestStoreAddressChange(t *testing.T) {
	t.Parallel()
	s := newSite(t, 15, 1)
	moved := s.address(2, storePort)
	s.serve(s.store, moved)
	s.writeFile(s.files[0], s.settings(0, moved))
	s.waitUntil(6*time.Second, "the settings are reloaded", func() bool {
		return s.metric(0, "settings_reloads") == 1
	})
	s.request(s.openFlow(), "a")
}
