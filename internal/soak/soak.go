// Package soak runs entry instances as processes among stand-ins of the users'
// platform, disturbs them from outside and checks what callers and servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"
)

// Options of a soak.
type Options struct {
	// Binary is the path of cuminshift-gateway.
	Binary string
	Seed   uint64
	// Length is the time in which disruptions come, Events their number.
	Length time.Duration
	Events int

	InstancesPerZone, ServersPerZone, HostsPerZone int
}

const (
	// warmUp is the time before the first disruption, for the routers to see
	// the instances ready.
	warmUp = 3 * time.Second
	// heal is the time after the last disruption before all requests count:
	// the longest disruption, an evacuation and the stability window.
	heal = longest + evacuateBound + settle
	// calmFor is the time in which all requests count, calmFailures the part
	// of them that may fail.
	calmFor      = 3 * time.Second
	calmFailures = 0.01
)

// Result of a soak.
type Result struct {
	Seed            uint64
	Requests        int
	Failed          int
	Resets          int
	ExcusableResets int
	// Faults are broken promises; none is a pass.
	Faults []string
	// Logs is the directory with the processes' logs, removed after a pass.
	Logs string
}

// Run plays one soak. Progress is written to out.
func Run(ctx context.Context, o Options, out io.Writer) (*Result, error) {
	watch := newObserver()
	watch.out = out
	f, err := start(o, watch)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	sleep(ctx, warmUp)
	wg, hosts, err := startCallers(callers, f, o, watch)
	defer func() {
		for _, h := range hosts {
			h.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	r := &run{fleet: f, watch: watch, rng: rng, version: 1}
	r.play(ctx, schedule(rng, o.Events, o.Length))
	sleep(ctx, heal)
	watch.setCalm(true)
	sleep(ctx, calmFor)
	watch.setCalm(false)
	stopCallers()
	wg.Wait()
	return finish(o, f, watch, func() (n int) {
		for _, h := range hosts {
			n += h.Forged()
		}
		return n
	}())
}

func finish(o Options, f *fleet, watch *observer, forged int) (*Result, error) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if forged > 0 {
		watch.fault("MIXED: callers got %d packets that nobody wrote so", forged)
	}
	for _, g := range f.gates {
		g.mu.Lock()
		if g.unasked > 0 {
			watch.fault("%s ended %d times by itself", g.name, g.unasked)
		}
		g.mu.Unlock()
	}
	if watch.calmTotal == 0 || float64(watch.calmFailed) > calmFailures*float64(watch.calmTotal) {
		watch.fault("SERVICE: %d of %d requests failed after all disruptions", watch.calmFailed, watch.calmTotal)
	}
	r := &Result{Seed: o.Seed, Requests: watch.total, Failed: watch.failed, Resets: watch.resets, ExcusableResets: watch.excusableResets,
		Faults: watch.faults, Logs: f.dir}
	if len(r.Faults) > 0 {
		return r, nil
	}
	return r, os.RemoveAll(f.dir)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// String formats the result for a reader.
func (r *Result) String() string {
	s := fmt.Sprintf("seed %d: %d requests, %d failed, %d resets excusable, %d faults\n", r.Seed, r.Requests, r.Failed, r.ExcusableResets, len(r.Faults))
	for _, f := range r.Faults {
		s += "  " + f + "\n"
	}
	if len(r.Faults) > 0 {
		s += "  logs: " + r.Logs + "\n"
	}
	return s
}
