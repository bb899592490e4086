// Package soak runs entry instances as processes against stand-ins of the users'
// platform, injects faults from outside the processes and checks what callers
// and servers observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"
)

// Options configures a soak run.
type Options struct {
	// Binary is the path of cuminshift-gateway.
	Binary string
	Seed   uint64
	// EventPeriod is the time over which events are injected, EventCount the
	// number of events.
	EventPeriod time.Duration
	EventCount  int

	InstancesPerZone, ServersPerZone, HostsPerZone int
}

const (
	// warmUpPeriod is the time before callers and events start, in which the
	// routers detect that the instances are ready.
	warmUpPeriod = 3 * time.Second
	// recoveryPeriod is the time between the last event and the final check:
	// the longest fault, an evacuation and the stability window.
	recoveryPeriod = maxFaultDuration + evacuateBound + stabilityWindow
	// finalCheckPeriod is the length of the final check, in which no fault
	// excuses a failed request. maxFinalFailureRatio is the highest permitted
	// ratio of failed requests in it.
	finalCheckPeriod     = 3 * time.Second
	maxFinalFailureRatio = 0.01
)

// Result is the outcome of a soak run.
type Result struct {
	Seed     uint64
	Requests int
	Failed   int
	// Refused is the number of requests that servers refused; they also count as
	// failed.
	Refused int
	// UnexpectedResets counts the resets of flows whose server was serving,
	// ExpectedResets those that a fault, a drain or the end of the server
	// explains.
	UnexpectedResets int
	ExpectedResets   int
	// Violations describes the violated guarantees. The run passes if there are
	// none.
	Violations []string
	// LogDir is the directory with the logs of the processes. It is removed when
	// the run passes.
	LogDir string
}

// Run executes one soak run and writes the injected events to out.
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
	cs, err := startCallers(callersCtx, f, o, obs)
	defer func() {
		for _, h := range cs.hosts {
			h.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	injector := &faultInjector{fleet: f, callers: cs, obs: obs, rng: rng, configVersion: 1}
	injector.runSchedule(ctx, drawSchedule(rng, o.EventCount, o.EventPeriod))
	sleep(ctx, recoveryPeriod)
	obs.setFinalCheck(true)
	sleep(ctx, finalCheckPeriod)
	obs.setFinalCheck(false)
	stopCallers()
	cs.wg.Wait()
	return buildResult(o, f, obs, func() (n int) {
		for _, h := range cs.hosts {
			n += h.Forged()
		}
		return n
	}())
}

func buildResult(o Options, f *fleet, obs *observer, forged int) (*Result, error) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if forged > 0 {
		obs.addViolation("FORGED: callers received %d packets that no server sent in this form", forged)
	}
	for _, p := range f.instances {
		p.mu.Lock()
		if p.unexpectedExits > 0 {
			obs.addViolation("CRASH: %s exited %d times without a signal from the soak", p.name, p.unexpectedExits)
		}
		p.mu.Unlock()
	}
	obs.checkRefusedRequests()
	if obs.finalRequests == 0 || float64(obs.finalFailed) > maxFinalFailureRatio*float64(obs.finalRequests) {
		obs.addViolation("AVAILABILITY: %d of %d requests failed in the final check, after the faults have ended", obs.finalFailed, obs.finalRequests)
	}
	r := &Result{Seed: o.Seed, Requests: obs.totalRequests, Failed: obs.failedRequests, Refused: obs.refusedRequests, UnexpectedResets: obs.unexpectedResets, ExpectedResets: obs.expectedResets,
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

// String formats the result as a summary line and one line per violation.
func (r *Result) String() string {
	s := fmt.Sprintf("seed %d: %d requests, %d failed, %d of them refused, %d expected resets, %d violations\n", r.Seed, r.Requests, r.Failed, r.Refused, r.ExpectedResets, len(r.Violations))
	for _, v := range r.Violations {
		s += "  " + v + "\n"
	}
	if len(r.Violations) > 0 {
		s += "  logs: " + r.LogDir + "\n"
	}
	return s
}
