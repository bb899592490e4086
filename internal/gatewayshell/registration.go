package gatewayshell

import (
	"context"
	"math/rand/v2"
	"time"

	"cuminshift/internal/gateway"
	"cuminshift/internal/upstream"
)

const (
	// directoryTimeout bounds the calls to the directory of one operation, which
	// reads the registrations page by page. Slow responses of the store take 300 ms.
	directoryTimeout = 5 * time.Second
	// registerRetryInterval is the pause after a failed registration.
	registerRetryInterval = time.Second
	// renewalInterval is the mean time between the renewals of two instances after a
	// restoration of the store, which all of them notice at the same time.
	renewalInterval = 10 * time.Millisecond
)

// register registers the instance in the directory once it has read all sources,
// so that it has something to pass on. It retries until it succeeds or ctx ends.
func (sh *Shell) register(ctx context.Context) {
	for ctx.Err() == nil {
		if !sh.servesFeed() {
			sleepUntil(ctx, time.Now().Add(readyPollInterval))
			continue
		}
		err := sh.registerOnce(ctx, sh.ownRegistration())
		if err == nil {
			return
		}
		sh.log.warn("cannot register the instance, retrying", err)
		sleepUntil(ctx, time.Now().Add(registerRetryInterval))
	}
}

func (sh *Shell) registerOnce(ctx context.Context, self upstream.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	place, err := sh.reloadable.Load().directory.Register(ctx, self)
	if err != nil {
		return err
	}
	all, err := sh.registeredInstances(ctx)
	if err != nil {
		return err
	}
	self.Place = place
	sh.upstreamMu.Lock()
	sh.upstream.Register(self, all)
	sh.setFollowedInstance("") // a seed that was followed so far is not a candidate any more
	sh.upstreamMu.Unlock()
	sh.setFleetSize(len(all), rank(self, all))
	return nil
}

// registeredInstances returns the instances in the directory.
func (sh *Shell) registeredInstances(ctx context.Context) ([]upstream.Instance, error) {
	all, rejected, err := sh.reloadable.Load().directory.Instances(ctx)
	sh.recordRejected(rejected)
	return all, err
}

// renewRegistrations renews the registration after each restoration of the store, until
// ctx ends.
func (sh *Shell) renewRegistrations(ctx context.Context) {
	for previous := unknownEra; ; {
		select {
		case <-ctx.Done():
			return
		case <-sh.era.after(previous):
		}
		first := previous == unknownEra
		if previous = sh.era.current(); !first {
			sh.fleetMu.Lock()
			sh.fleet.StoreRestored(time.Now())
			sh.fleetMu.Unlock()
			sh.renewRegistration(ctx)
		}
	}
}

// renewRegistration registers the instance again if a restored store has lost its
// registration or holds an earlier one. It retries until it succeeds or ctx ends. The
// calls of a large fleet are spread over time.
func (sh *Shell) renewRegistration(ctx context.Context) {
	spread := time.Duration(sh.fleetSize.Load()) * renewalInterval
	if !sleepUntil(ctx, time.Now().Add(rand.N(spread+1))) {
		return
	}
	for ctx.Err() == nil {
		if !sh.registered() {
			sleepUntil(ctx, time.Now().Add(readyPollInterval))
			continue
		}
		err := sh.renewOnce(ctx)
		if err == nil {
			return
		}
		sh.log.warn("cannot check the registration of the instance, retrying", err)
		sleepUntil(ctx, time.Now().Add(registerRetryInterval))
	}
}

// renewOnce makes one attempt to check and, if needed, renew the registration.
func (sh *Shell) renewOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	self := sh.ownRegistration()
	place, err := sh.reloadable.Load().directory.Place(callCtx, self.Name)
	if err != nil || place == self.Place {
		return err
	}
	sh.log.registrationLost()
	return sh.registerOnce(ctx, self)
}

// ownRegistration returns the registration of this instance, with its present place.
func (sh *Shell) ownRegistration() upstream.Instance {
	return upstream.Instance{Name: sh.settings.Instance, DataCentre: sh.settings.DataCentre, Address: sh.peerAddress(),
		Bandwidth: sh.settings.Bandwidth, Place: sh.ownPlace()}
}

// rank returns the number of instances that registered before self.
func rank(self upstream.Instance, all []upstream.Instance) int {
	n := 0
	for _, i := range all {
		if i.Place < self.Place {
			n++
		}
	}
	return n
}

// countFleet updates the number of registered instances from the directory, and the
// candidates to follow: after many instances have registered again at the same time,
// one that knew only their earlier registrations has no candidate left.
func (sh *Shell) countFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	all, err := sh.registeredInstances(ctx)
	if err != nil {
		sh.log.warn("cannot count the registered instances", err)
		return
	}
	sh.upstreamMu.Lock()
	sh.upstream.Refresh(all)
	sh.upstreamMu.Unlock()
	sh.setFleetSize(len(all), int(sh.rank.Load()))
	sh.feed.notify()
}

// setFleetSize records a count of the registered instances and the rank of this one.
func (sh *Shell) setFleetSize(registered, rank int) {
	sh.fleetMu.Lock()
	instances := sh.fleet.Count(time.Now(), registered)
	sh.fleetMu.Unlock()
	sh.rank.Store(int32(rank))
	if sh.fleetSize.Swap(int32(instances)) != int32(instances) {
		sh.handleEvent(gateway.FleetSize{Instances: instances, Rank: rank})
	}
}

func (sh *Shell) removeRegistration(ctx context.Context, instance upstream.Instance) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if err := sh.reloadable.Load().directory.Remove(ctx, instance); err != nil {
		sh.log.warn("cannot remove the registration of "+string(instance.Name), err)
	}
}
