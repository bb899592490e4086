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
	EventPeriod time.Duration
	EventCount  int

	InstancesPerZone, ServersPerZone, HostsPerZone int
}

const (
	// warmUp is the time before the first disruption, for the routers to see
	// the instances ready.
	warmUpPeriod = 3 * time.Second
	// heal is the time after the last disruption before all requests count:
	// the longest disruption, an evacuation and the stability window.
	recoveryPeriod = maxFaultDuration + evacuateBound + stabilityWindow
	// calmFor is the time in which all requests count, calmFailures the part
	// of them that may fail.
	finalCheckPeriod     = 3 * time.Second
	maxFinalFailureRatio = 0.01
)

// Result of a soak.
type Result struct {
	Seed             uint64
	Requests         int
	Failed           int
	UnexpectedResets int
	ExpectedResets   int
	// Faults are broken promises; none is a pass.
	Violations []string
	// Logs is the directory with the processes' logs, removed after a pass.
	LogDir string
}

// Run plays one soak. Progress is written to out.
func Run(ctx context.Context, o Options, out io.Writer) (*Result, error) {
	obs := newObserver()
	obs.out = out
	f, err := startFleet(o, obs)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	sleep(ctx, warmUpPeriod)
	wg, hosts, err := startCallers(callersCtx, f, o, obs)
	defer func() {
		for _, h := range hosts {
			h.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	injector := &faultInjector{fleet: f, obs: obs, rng: rng, configVersion: 1}
	injector.runSchedule(ctx, drawSchedule(rng, o.EventCount, o.EventPeriod))
	sleep(ctx, recoveryPeriod)
	obs.setFinalCheck(true)
	sleep(ctx, finalCheckPeriod)
	obs.setFinalCheck(false)
	stopCallers()
	wg.Wait()
	return buildResult(o, f, obs, func() (n int) {
		for _, h := range hosts {
			n += h.Forged()
		}
		return n
	}())
}

func buildResult(o Options, f *fleet, obs *observer, forged int) (*Result, error) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if forged > 0 {
		obs.addViolation("MIXED: callers got %d packets that nobody wrote so", forged)
	}
	for _, p := range f.instances {
		p.mu.Lock()
		if p.unexpectedExits > 0 {
			obs.addViolation("%s ended %d times by itself", p.name, p.unexpectedExits)
		}
		p.mu.Unlock()
	}
	if obs.finalRequests == 0 || float64(obs.finalFailed) > maxFinalFailureRatio*float64(obs.finalRequests) {
		obs.addViolation("SERVICE: %d of %d requests failed after all disruptions", obs.finalFailed, obs.finalRequests)
	}
	r := &Result{Seed: o.Seed, Requests: obs.totalRequests, Failed: obs.failedRequests, UnexpectedResets: obs.unexpectedResets, ExpectedResets: obs.expectedResets,
		Violations: obs.violations, LogDir: f.dir}
	if len(r.Violations) > 0 {
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
	s := fmt.Sprintf("seed %d: %d requests, %d failed, %d resets excusable, %d faults\n", r.Seed, r.Requests, r.Failed, r.ExpectedResets, len(r.Violations))
	for _, v := range r.Violations {
		s += "  " + v + "\n"
	}
	if len(r.Violations) > 0 {
		s += "  logs: " + r.LogDir + "\n"
	}
	return s
}
