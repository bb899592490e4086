package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/server"
	"cuminshift/internal/standin/platform/store"
)

// Ports of a deployment; all machines use the same ones.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	storePort   = 8169
	serverPort  = 8080
	firstPort   = 7720
	lastPort    = 7735
)

const (
	// heartbeatInterval is the interval at which servers write their entries.
	heartbeatInterval = 770 * time.Millisecond
	// restartDelay is the time after which a process that ended is started again.
	restartDelay = 500 * time.Millisecond
	// firstOctet and lastOctet bound the second octet of the loopback network.
	firstOctet, lastOctet = 100, 250
)

// site is a small deployment on a loopback network of its own.
type site struct {
	octet       int
	dir, binary string
	rec         *record
	store       *store.Store
	storeServer *http.Server
	nodes       []*node
	seeds       []string
	servers     []*server.Server
	// closers close the sockets of the clients.
	closers []func()
}

// newSite starts the store of a deployment on a free loopback network.
func newSite(binary string, rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "cuminshift-review")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, binary: binary, rec: rec, store: store.New()}
	for s.octet = firstOctet; s.octet <= lastOctet; s.octet++ {
		l, err := net.Listen("tcp4", s.address(1, 1, storePort).String())
		if err != nil {
			continue
		}
		s.storeServer = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
		go func() { _ = s.storeServer.Serve(l) }()
		return s, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (s *site) address(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.octet), byte(third), byte(fourth)}), uint16(port))
}

// stop ends everything that the site started.
func (s *site) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, c := range s.closers {
		c()
	}
	for _, b := range s.servers {
		b.Kill()
	}
	if s.storeServer != nil {
		s.storeServer.Close()
	}
	os.RemoveAll(s.dir)
}

// keepLogs copies the logs of all machines to a folder.
func (s *site) keepLogs(folder string) {
	for _, n := range s.nodes {
		data, err := os.ReadFile(n.settingsPath + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, n.name+".log"), data, 0o600)
		}
		if err != nil {
			s.rec.note("log of %s not kept: %v", n.name, err)
		}
	}
}

// startServer starts a backend server.
func (s *site) startServer(id, service, zone string, zoneNumber, fourth int) (*server.Server, error) {
	b, err := server.Start(server.Config{ID: id, Service: service, Zone: zone, Address: s.address(100+zoneNumber, fourth, serverPort),
		CallerPort: packetPort, Slots: 2, StoreURL: "http://" + s.address(1, 1, storePort).String(), HeartbeatInterval: heartbeatInterval, Observer: s.rec})
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, b)
	return b, nil
}

// node is a machine of the system with one gateway process.
type node struct {
	site         *site
	name, zone   string
	ip           netip.Addr
	bandwidth    int
	settingsPath string
	storeLink    *link

	mu       sync.Mutex
	cmd      *exec.Cmd
	down     bool
	signaled bool
	// ownEnds counts the exits that no signal of the scenario caused.
	ownEnds int
	done    chan struct{}
}

// addNode adds a machine. Its link to the store can be cut.
func (s *site) addNode(name, zone string, zoneNumber, number, bandwidth int) (*node, error) {
	n := &node{site: s, name: name, zone: zone, ip: s.address(20+zoneNumber, number, 0).Addr(), bandwidth: bandwidth}
	l, err := newLink(s.address(2, len(s.nodes)+1, storePort), s.address(1, 1, storePort))
	if err != nil {
		return nil, err
	}
	n.storeLink = l
	s.nodes = append(s.nodes, n)
	return n, nil
}

func (n *node) addr(port int) netip.AddrPort { return netip.AddrPortFrom(n.ip, uint16(port)) }

// writeSettings writes the settings file as the platform does.
func (n *node) writeSettings() error {
	seeds := ""
	for _, s := range n.site.seeds {
		seeds += fmt.Sprintf("  - %q\n", s)
	}
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "front"
serves:
  - "front"
  - "control"
ip: %q
zone: %q
region: "central-hills"
listen:
  packet_addr: %q
  ready_addr: %q
  control: %q
port_range:
  - %d
  - %d
seeds:
%sbootstrap: true
limits:
  cpu_quota: 0.8
  cpus: 1
  memory_mb: 544
  max_fds: 8200
  bandwidth_mbps: %d.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "announce"
heartbeat_ms: 770
contracts: ["base", "drain", "config", "cost", "recover", "flows", "places", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stability_window_ms: 4000
  ack_ms: 5000
  sync_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  apply_ms: 3000
  downgrade_ms: 250
  skew_max_ms: 12000
  warmup_overshoot: 1.5
  warmup_slack: 5
  evacuate_ms: 5000
  recovery_s: 12
  reorder_ms: 2000
  flow_ttl_s: 60
hash: "steady"
forwarding: "echo"
platform:
  address: %q
  forwarding: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, n.name, n.ip, n.zone, n.addr(packetPort), n.addr(readyPort), n.addr(controlPort), firstPort, lastPort, seeds, n.bandwidth, n.storeLink.address)
	n.settingsPath = filepath.Join(n.site.dir, n.name+".yaml")
	return os.WriteFile(n.settingsPath, []byte(text), 0o600)
}

// start starts the gateway process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil
	}
	logFile, err := os.OpenFile(n.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.site.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.site.dir, "LANG=C", "CUMINSHIFT_CONFIG=" + n.settingsPath}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return err
	}
	n.cmd, n.signaled, n.done = cmd, false, make(chan struct{})
	go n.wait(cmd, logFile, n.done)
	return nil
}

func (n *node) wait(cmd *exec.Cmd, logFile *os.File, done chan struct{}) {
	_ = cmd.Wait()
	logFile.Close()
	close(done)
	n.mu.Lock()
	if !n.signaled && !n.down {
		n.ownEnds++
		n.site.rec.note("%s: its process ended by itself", n.name)
	}
	n.mu.Unlock()
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		n.site.rec.note("%s: cannot be started again: %v", n.name, err)
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.signaled = n.signaled || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = n.cmd.Process.Signal(s)
}

// awaitRestart waits until the present process has ended and another one is ready.
func (n *node) awaitRestart(limit time.Duration) error {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	until := time.Now().Add(limit)
	select {
	case <-done:
	case <-time.After(limit):
		return fmt.Errorf("%s has not stopped within %s", n.name, limit)
	}
	for !n.ready() {
		if time.Now().After(until) {
			return fmt.Errorf("%s is not ready again within %s", n.name, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (n *node) stop() {
	n.mu.Lock()
	n.down = true
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-done
	}
	n.storeLink.close()
}

// ready reports whether the node answers its readiness check with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + n.addr(readyPort).String() + "/cuminshift/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *site) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range s.nodes {
			all = all && n.ready()
		}
		if all {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("not all nodes are ready after %s", limit)
		}
	}
}

// link is a TCP link from one machine to another one. While it is cut, nothing
// passes: connections stay open and new ones get no answer.
type link struct {
	address netip.AddrPort
	target  netip.AddrPort
	l       net.Listener
	cut     atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(address, target netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	k := &link{address: address, target: target, l: l, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) track(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
}

func (k *link) serve(c net.Conn) {
	k.track(c)
	for k.cut.Load() {
		time.Sleep(20 * time.Millisecond)
	}
	t, err := net.Dial("tcp4", k.target.String())
	if err != nil {
		c.Close()
		return
	}
	k.track(t)
	go k.copy(c, t)
	k.copy(t, c)
}

// copy passes bytes on; while the link is cut it holds them back.
func (k *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 64<<10)
	for {
		m, err := from.Read(b)
		for k.cut.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		if m > 0 {
			if _, err := to.Write(b[:m]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (k *link) close() {
	k.l.Close()
	k.cut.Store(false)
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}
