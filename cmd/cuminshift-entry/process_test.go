package main_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cuminshift/internal/standin/caller"
	"cuminshift/internal/standin/fabric"
	"cuminshift/internal/standin/instancelist"
	"cuminshift/internal/standin/server"
	"cuminshift/internal/standin/store"
)

const (
	dataCentre     = "norte"
	serviceAddress = "127.77.200.1:80"
	stepTimeout    = 30 * time.Second
)

// fleet is a data centre with three entry processes. The stand-ins for the
// systems around them run in the test process.
type fleet struct {
	t     *testing.T
	dir   string
	store *store.Store
	// urls are the base URLs of the store and the instance list.
	urls    [2]string
	list    *instancelist.List
	servers []*server.Server
	entries [3]*exec.Cmd
}

// build builds the entry and cuminctl binaries in dir.
func build(t *testing.T, dir string) {
	out, err := exec.Command("go", "build", "-o", dir+"/", "cuminshift/cmd/cuminshift-entry", "cuminshift/cmd/cuminctl").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
}

// freePorts returns n TCP ports that are free at the address. Another process
// may take them before they are used.
func freePorts(t *testing.T, ip string, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// start starts the stand-ins and the entry processes, and applies the lists.
func (f *fleet) start(ctx context.Context) {
	var entries []instancelist.Entry
	s, storeServer, err := store.Start(ctx, "127.0.0.1:0")
	f.must(err)
	f.store = s
	for i := range f.entries {
		ip := fmt.Sprintf("127.77.20.%d", i+1)
		ports := freePorts(f.t, ip, 3)
		address := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
		entries = append(entries, instancelist.Entry{Instance: fmt.Sprint("norte-", i+1), DataCentre: dataCentre, PeerAddress: address(0), PacketAddress: address(1), OperatorAddress: address(2)})
	}
	list, listServer, err := instancelist.Start(ctx, "127.0.0.1:0", time.Second, entries)
	f.must(err)
	f.list, f.urls = list, [2]string{"http://" + storeServer.Addr, "http://" + listServer.Addr}
	for i, e := range entries {
		f.write(e.Instance+".yaml", fmt.Sprintf("instance: %s\ndata_centre: %s\npacket_address: %s\npeer_address: %s\noperator_address: %s\nstore_url: %s\ninstance_list_url: %s\nworkers: 2\n",
			e.Instance, dataCentre, e.PacketAddress, e.PeerAddress, e.OperatorAddress, f.urls[0], f.urls[1]))
		f.launch(i)
	}
	plans := "plans:\n  - {name: p, uses: [{service: campo}]}\nservices:\n  - name: campo\n    sites:\n      - data_centre: norte\n        address: " + serviceAddress + "\n        servers:\n"
	for i := range 3 {
		name := fmt.Sprint("campo-", i+1)
		srv, err := server.Start(ctx, server.Config{Name: name, Service: "campo", Listen: "127.77.10.1:0", HealthListen: "127.77.10.1:0", Slots: 3, ServiceTime: 5 * time.Millisecond, Parts: 3})
		f.must(err)
		f.servers = append(f.servers, srv)
		plans += fmt.Sprintf("          - {name: %s, address: \"%s\", health: \"%s\", slots: 3, connections: 2000, cold_slots: 1, cold_openings_per_second: 20}\n", name, srv.Addr, srv.HealthAddr)
	}
	f.write("plans.yaml", plans)
	f.write("callers.yaml", "callers:\n  - {name: c, plan: p, prefixes: [127.77.100.0/24]}\n")
	f.apply(entries)
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) write(name, content string) {
	f.must(os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600))
}

// launch starts or restarts entry process i.
func (f *fleet) launch(i int) {
	c := exec.Command(filepath.Join(f.dir, "cuminshift-entry"), "--settings", filepath.Join(f.dir, fmt.Sprintf("norte-%d.yaml", i+1)))
	f.must(c.Start())
	f.entries[i] = c
}

// apply runs cuminctl apply until it succeeds, at most for stepTimeout.
func (f *fleet) apply(entries []instancelist.Entry) {
	args := []string{"apply", "--operator", "test", "--callers", filepath.Join(f.dir, "callers.yaml"), "--plans", filepath.Join(f.dir, "plans.yaml")}
	for _, e := range entries {
		args = append(args, "--entry", e.OperatorAddress)
	}
	var out []byte
	var err error
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if out, err = exec.Command(filepath.Join(f.dir, "cuminctl"), args...).CombinedOutput(); err == nil {
			return
		}
	}
	f.t.Fatalf("apply: %v\n%s", err, out)
}

// stop sends a signal to an entry process, waits until it has exited, and
// returns its exit code, which is -1 if the signal killed it. It returns -2
// after a timeout.
func (f *fleet) stop(i int, signal syscall.Signal) int {
	f.must(f.entries[i].Process.Signal(signal))
	done := make(chan int, 1)
	go func() {
		_ = f.entries[i].Wait()
		done <- f.entries[i].ProcessState.ExitCode()
	}()
	select {
	case code := <-done:
		return code
	case <-time.After(2 * stepTimeout):
		f.t.Errorf("entry process %d did not exit after a signal", i)
		return -2
	}
}

// Guards against faults of the real processes, which the fault matrix cannot
// show because it drives the core without sockets. Under load, entry processes
// are killed, paused, stopped and restarted, and the store is down for a time.
// The assertions do not depend on timing.
func TestProcessesUnderFaults(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{t: t, dir: t.TempDir()}
	build(t, f.dir)
	f.start(ctx)
	defer func() {
		for _, c := range f.entries {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}()
	networkFabric, err := fabric.Start(ctx, fabric.Config{Listen: "127.77.30.1:0", DataCentre: dataCentre, InstanceListURL: f.urls[1], Seed: 1})
	f.must(err)

	type outcome struct {
		result *caller.Result
		err    error
	}
	finished := make(chan outcome, 1)
	go func() {
		r, err := caller.Run(ctx, caller.Config{
			Fabric: networkFabric.Addr.String(), Service: serviceAddress, ServiceName: "campo", Addresses: []string{"127.77.100.1"},
			Flows: 30, Spread: 9 * time.Second, Duration: 12 * time.Second, DataInterval: 100 * time.Millisecond,
			RequestInterval: 300 * time.Millisecond, NonIdempotentShare: 0.4, Seed: 1,
		})
		finished <- outcome{r, err}
	}()

	time.Sleep(2 * time.Second)
	f.must(f.entries[1].Process.Signal(syscall.SIGSTOP))
	f.store.SetFaults(store.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	f.must(f.entries[1].Process.Signal(syscall.SIGCONT))
	f.stop(2, syscall.SIGKILL)
	time.Sleep(2 * time.Second)
	f.store.SetFaults(store.Faults{})
	f.launch(2)
	time.Sleep(2 * time.Second)
	f.list.MarkLeaving("norte-1")
	if code := f.stop(0, syscall.SIGTERM); code != 0 {
		t.Errorf("exit code %d after a planned stop, want 0", code)
	}
	f.list.Remove("norte-1")

	o := <-finished
	f.must(o.err)
	r := o.result
	if r.Opened == 0 || r.Requests.Answered == 0 {
		t.Errorf("no flow opened or no request answered: %+v", r)
	}
	if r.MixedParts != 0 || r.Unmatched != 0 || r.WrongService != 0 {
		t.Errorf("mixed %d, foreign %d, wrong service %d, want 0 of each", r.MixedParts, r.Unmatched, r.WrongService)
	}
	for _, s := range f.servers {
		if n := s.Stats().DuplicateRuns; n != 0 {
			t.Errorf("server %s ran %d non-idempotent requests twice, want 0", s.Stats().Name, n)
		}
	}
	t.Logf("sent %d, answered %d, refused %d, lost %d, broken %d, causes %v", r.Sent, r.Answered, r.Refused, r.Lost, r.Broken, r.Causes)
}
