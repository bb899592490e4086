package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/router"
	"cuminshift/internal/standin/platform/store"
)

const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	storePort   = 8169
	serverPort  = 8080

	// The addresses of a run are in one of the networks 127.firstNetwork.0.0/16 and so on.
	firstNetwork = 100
	networks     = 100

	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// Bounds of the settings, those of the small deployments.
	drainBound      = 3 * time.Second
	stabilityWindow = 4 * time.Second
	warmupOvershoot = 1.5
	warmupSlack     = 5
)

var zones = []string{"kalu-a", "kalu-b", "kalu-c"}

// world holds the stand-ins of the platform and the gateway processes.
type world struct {
	octet       int // second octet of all addresses
	dir, binary string
	start       time.Time
	store       *store.Store
	storeServer *http.Server
	instances   []*instance
	routers     []*router.Router
	registrar   *registrar
	cancel      context.CancelFunc
	ctx         context.Context

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	servers []*target
	hosts   []*host
}

func newWorld(binary, recordPath string) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cuminshift-review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, binary: binary, start: time.Now(), store: store.New(), file: file, record: bufio.NewWriter(file)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	l, err := w.listenStore()
	if err != nil {
		return nil, err
	}
	w.storeServer = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() {
		// Serve returns only when the server is closed.
		_ = w.storeServer.Serve(l)
	}()
	w.registrar = &registrar{world: w, known: map[string]string{}}
	return w, nil
}

// listenStore listens at the store's address in the first network that no other run uses.
func (w *world) listenStore() (l net.Listener, err error) {
	for n := range networks {
		w.octet = firstNetwork + (os.Getpid()+n)%networks
		if l, err = net.Listen("tcp4", w.address(1, 1, storePort).String()); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func (w *world) address(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(w.octet), byte(third), byte(fourth)}), uint16(port))
}

// note writes a line to the record and to the standard output.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	w.write(line)
}

// log writes a line to the record only.
func (w *world) log(format string, args ...any) {
	w.write(fmt.Sprintf("%8.3f %s", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...)))
}

func (w *world) write(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintln(w.record, line)
}

// configure writes the configuration. It has one route to each service.
func (w *world) configure(version int, warmupPerS, warmupS float64, services ...string) {
	var routes, specs []map[string]any
	for i, s := range services {
		a := serviceAddress(i)
		routes = append(routes, map[string]any{"name": "r-" + s, "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()), "service": s,
			"type": "safe", "timeout_ms": 3000, "slo_ms": 500, "priority": 2, "attempts": 2})
		specs = append(specs, map[string]any{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "warmup_s": warmupS, "warmup_per_s": warmupPerS})
	}
	w.store.Put("config", "main", map[string]any{"version": version, "routes": routes, "services": specs,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// serviceAddress returns the address of the route to a service. It stands in packets only.
func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 200, byte(i + 1)}), 8443)
}

// instanceSpec says where an instance runs.
type instanceSpec struct {
	zone      int
	bandwidth float64
}

// addInstances prepares instances, which start with instance.launch, and starts the
// routers of all zones.
func (w *world) addInstances(specs []instanceSpec) error {
	perZone := map[int]int{}
	var known []router.Instance
	for i, spec := range specs {
		perZone[spec.zone]++
		n := perZone[spec.zone]
		link, err := newLink(w.address(2, i+1, storePort), w.address(1, 1, storePort).String())
		if err != nil {
			return err
		}
		in := &instance{world: w, name: fmt.Sprintf("front-%s-%d", zones[spec.zone], n), zone: spec.zone, ip: [2]int{20 + spec.zone, n}, storeLink: link,
			settings: filepath.Join(w.dir, fmt.Sprintf("%d.yaml", i))}
		if err := os.WriteFile(in.settings, []byte(w.settings(in, spec)), 0o600); err != nil {
			return err
		}
		w.instances = append(w.instances, in)
		known = append(known, router.Instance{Zone: zones[spec.zone], PacketAddr: in.address(packetPort), ReadyAddr: in.address(readyPort)})
	}
	for z, zone := range zones {
		r, err := router.Start(zone, w.address(3, z+1, packetPort), known)
		if err != nil {
			return err
		}
		w.routers = append(w.routers, r)
	}
	return nil
}

// settings returns the settings file of an instance. The seeds are the first instances of
// the zones, as on the pages.
func (w *world) settings(in *instance, spec instanceSpec) string {
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", w.address(20+z, 1, controlPort)))
	}
	return fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: "central-hills"
zones: {kalu-a: "central-hills", kalu-b: "central-hills", kalu-c: "central-hills"}
listen: {packet_addr: %q, ready_addr: %q, control: %q}
port_range: [7720, 7735]
seeds: [%s]
bootstrap: true
limits: {cpu_quota: 0.8, cpus: 1, memory_mb: 544, max_fds: 8200, bandwidth_mbps: %.1f, disk_mb: 0}
heartbeat_ms: %d
bounds: {seed_lag_s: 3, reuse_after_s: 2, stability_window_ms: 4000, ack_ms: 5000, sync_s: 4, drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, apply_ms: 3000, downgrade_ms: 250, skew_max_ms: 12000, warmup_overshoot: 1.5, warmup_slack: 5, evacuate_ms: 5000, recovery_s: 12, reorder_ms: 2000, flow_ttl_s: 60}
hash: "steady"
forwarding: "echo"
platform: {address: %q, forwarding: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, in.name, in.address(packetPort).Addr(), zones[in.zone], in.address(packetPort), in.address(readyPort), in.address(controlPort), strings.Join(seeds, ", "),
		spec.bandwidth, heartbeat.Milliseconds(), in.storeLink.listener.Addr())
}

// stop ends all processes and stand-ins.
func (w *world) stop() {
	w.cancel()
	for _, in := range w.instances {
		in.end()
	}
	for _, s := range w.servers {
		s.kill()
	}
	for _, r := range w.routers {
		r.Stop()
	}
	for _, h := range w.hosts {
		h.host.Close()
	}
	w.storeServer.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	w.file.Close()
	os.RemoveAll(w.dir)
}

// instance is a gateway process.
type instance struct {
	world     *world
	name      string
	zone      int
	ip        [2]int
	settings  string
	storeLink *link

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   bool
	running bool
}

func (in *instance) address(port int) netip.AddrPort {
	return in.world.address(in.ip[0], in.ip[1], port)
}

// launch starts the process. It is started again whenever it ends, until end.
func (in *instance) launch() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return nil
	}
	logFile, err := os.OpenFile(in.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(in.world.binary)
	cmd.Env = append(os.Environ(), "CUMINSHIFT_CONFIG="+in.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return err
	}
	in.cmd, in.running = cmd, true
	in.world.log("%s started", in.name)
	go func() {
		err := cmd.Wait()
		logFile.Close()
		in.mu.Lock()
		in.running = false
		ended := in.ended
		in.mu.Unlock()
		if ended {
			return
		}
		in.world.log("%s ended: %v", in.name, err)
		time.Sleep(restartDelay)
		if err := in.launch(); err != nil {
			in.world.note("%s does not start: %v", in.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running {
		// The process may have just ended.
		_ = in.cmd.Process.Signal(s)
	}
}

// end kills the process for good.
func (in *instance) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ended = true
	if in.running {
		// The process may have just ended.
		_ = in.cmd.Process.Signal(syscall.SIGKILL)
	}
	in.storeLink.close()
}

// awaitReady waits until instances answer the readiness check.
func awaitReady(instances []*instance, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, in := range instances {
		for {
			response, err := client.Get("http://" + in.address(readyPort).String() + "/cuminshift/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
