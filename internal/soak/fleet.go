package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/router"
	"cuminshift/internal/standin/platform/server"
	"cuminshift/internal/standin/platform/store"
)

const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	storePort   = 8169
	serverPort  = 8080

	heartbeat = 500 * time.Millisecond
	// restartDelay is the time after which a process that has exited is
	// restarted.
	restartDelay = 300 * time.Millisecond
	// slotsPerServer is the number of requests that a server runs at a time,
	// queuePerServer the number that may wait.
	slotsPerServer = 3
	queuePerServer = 8
)

var zones = []string{"norte", "centro", "sur"}

// fleet runs the stand-ins of the platform and the entry instances, each of which
// has its own process.
type fleet struct {
	secondOctet  int // second octet of all loopback addresses
	dir          string
	binary       string
	store        *store.Store
	storeServer  *http.Server
	storeProxies []*proxy
	instances    []*instanceProcess
	routers      map[string]*router.Router
	// packetAddresses holds the addresses at which the instances receive
	// packets.
	packetAddresses []netip.AddrPort
	obs             *observer

	mu      sync.Mutex
	servers map[string]*server.Server
	// lastServerID is the number in the identifier of the newest server.
	lastServerID int
	// highestOctet is the highest last octet of a server address so far.
	highestOctet int
}

func (f *fleet) address(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.secondOctet), byte(third), byte(fourth)}), uint16(port))
}

// startFleet starts the store, the servers, the routers and the instances. With an
// error, the fleet is nil or has to be stopped.
func startFleet(o Options, obs *observer) (*fleet, error) {
	dir, err := os.MkdirTemp("", "cuminshift-soak")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	f := &fleet{secondOctet: 30 + int(o.Seed%60), dir: dir, binary: o.Binary, store: store.New(), routers: map[string]*router.Router{},
		servers: map[string]*server.Server{}, obs: obs}
	listener, err := net.Listen("tcp4", f.address(1, 1, storePort).String())
	if err != nil {
		return nil, errors.Wrap(err, "soak: store")
	}
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() {
		// Serve returns only when the server is closed.
		_ = f.storeServer.Serve(listener)
	}()
	f.configure(1, 3)
	for z := range zones {
		for range o.ServersPerZone {
			if _, err := f.addServer(z, "campo", 0); err != nil {
				return f, err
			}
		}
		if _, err := f.addServer(z, "ordenes", 0); err != nil {
			return f, err
		}
	}
	return f, f.startInstances(o.InstancesPerZone)
}

// configure writes a configuration version with routeCount routes. Callers use
// only the first ones, which are those in routes.
func (f *fleet) configure(version, routeCount int) {
	var list []operator.Route
	for i := range routeCount {
		r := routes[i%len(routes)]
		ip := r.address.Addr().As4()
		ip[2] = byte(i / len(routes))
		list = append(list, operator.Route{Address: netip.AddrPortFrom(netip.AddrFrom4(ip), r.address.Port()), Service: r.service})
	}
	operator.Configure(f.store, version, list)
}

// addServer starts a server. octet is the last octet of its address; 0 selects an
// unused one.
func (f *fleet) addServer(zone int, service string, octet int) (*server.Server, error) {
	f.mu.Lock()
	f.lastServerID++
	id := fmt.Sprintf("i-%x", 0x1000+f.lastServerID)
	if octet == 0 {
		f.highestOctet++
		octet = f.highestOctet
	}
	f.mu.Unlock()
	f.obs.noteServer(id, zones[zone])
	s, err := server.Start(server.Config{ID: id, Service: service, Zone: zones[zone], Address: f.address(100+zone, octet, serverPort),
		CallerPort: packetPort, Slots: slotsPerServer, QueueLimit: queuePerServer, StoreURL: "http://" + f.address(1, 1, storePort).String(), HeartbeatInterval: heartbeat, Observer: f.obs})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.servers[id] = s
	f.mu.Unlock()
	return s, nil
}

func (f *fleet) startInstances(perZone int) error {
	var routerInstances []router.Instance
	for z, zone := range zones {
		for n := range perZone {
			i := len(f.instances)
			storeProxy, err := newProxy(f.address(2, i+1, storePort), f.address(1, 1, storePort).String())
			if err != nil {
				return err
			}
			f.storeProxies = append(f.storeProxies, storeProxy)
			p := &instanceProcess{name: fmt.Sprintf("%s-%d", zone, n+1), settingsPath: filepath.Join(f.dir, fmt.Sprint(i, ".yaml")), fleet: f}
			if err := f.writeSettings(p, zone, z, n, i); err != nil {
				return err
			}
			f.instances = append(f.instances, p)
			f.packetAddresses = append(f.packetAddresses, f.address(20+z, n+1, packetPort))
			routerInstances = append(routerInstances, router.Instance{Zone: zone, PacketAddr: f.address(20+z, n+1, packetPort), ReadyAddr: f.address(20+z, n+1, readyPort)})
		}
	}
	for z, zone := range zones {
		r, err := router.Start(zone, f.address(3, z+1, packetPort), routerInstances)
		if err != nil {
			return err
		}
		f.routers[zone] = r
	}
	for _, p := range f.instances {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeSettings(p *instanceProcess, zone string, zoneIndex, n, index int) error {
	settings := operator.InstanceSettings{Name: p.name, Zone: zone, PacketAddr: f.address(20+zoneIndex, n+1, packetPort), ReadyAddr: f.address(20+zoneIndex, n+1, readyPort),
		ControlAddr: f.address(20+zoneIndex, n+1, controlPort), StoreAddr: f.address(2, index+1, storePort), SeedAddr: f.address(20, 1, controlPort)}
	return errors.Wrap(os.WriteFile(p.settingsPath, []byte(settings.YAML()), 0o600), "soak: settings")
}

func (f *fleet) stop() {
	for _, p := range f.instances {
		p.kill()
	}
	f.mu.Lock()
	servers := f.servers
	f.servers = map[string]*server.Server{}
	f.mu.Unlock()
	for _, s := range servers {
		s.Kill()
	}
	for _, r := range f.routers {
		r.Stop()
	}
	for _, storeProxy := range f.storeProxies {
		storeProxy.close()
	}
	f.storeServer.Close()
}

// instanceProcess is the process of an entry instance. It is restarted when it
// exits.
type instanceProcess struct {
	name, settingsPath string
	fleet              *fleet

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// unexpectedExits counts the exits that no signal of the soak caused.
	unexpectedExits int
	exitExpected    bool
}

func (p *instanceProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil
	}
	logFile, err := os.OpenFile(p.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	cmd := exec.Command(p.fleet.binary, "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return errors.Wrap(err, "soak: start")
	}
	p.cmd, p.exitExpected = cmd, false
	go p.waitAndRestart(cmd, logFile)
	return nil
}

func (p *instanceProcess) waitAndRestart(cmd *exec.Cmd, logFile *os.File) {
	// The exit status does not matter: every exit that the soak did not cause is
	// counted.
	_ = cmd.Wait()
	logFile.Close()
	p.mu.Lock()
	if !p.exitExpected && !p.stopping {
		p.unexpectedExits++
	}
	p.mu.Unlock()
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// signal sends a signal to the process. An exit after SIGKILL or SIGTERM is
// expected.
func (p *instanceProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || s == syscall.SIGKILL || s == syscall.SIGTERM
	// Signal fails if the process has just exited; it is restarted anyway.
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process for good. SIGCONT resumes a paused process first.
func (p *instanceProcess) kill() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
}
