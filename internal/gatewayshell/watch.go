package gatewayshell

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/gateway"
	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

// watchSource keeps one source up to date from the store until ctx ends. It makes
// no calls while another instance passes on fresh data.
func (sh *Shell) watchSource(ctx context.Context, k source.Kind) {
	schedule := source.NewSchedule(sh.reloadable.Load().timings[k])
	for {
		if !sh.waitWhileFresh(ctx, k) {
			return
		}
		schedule.SetTiming(sh.reloadable.Load().timings[k])
		schedule.SetRelayed(sh.reliesOnOthers())
		schedule.AdvanceTo(sh.core.Positions()[k])
		call := schedule.Next()
		if !call.Read && call.Since.Era < sh.era.current() {
			sh.log.readingAgain(k, source.ErrRestored)
			schedule.Failed(time.Now(), source.ErrRestored)
			continue
		}
		if call.NotBefore.After(time.Now()) {
			if !sh.sleepWithinEra(ctx, call) {
				return
			}
			continue // another instance may have passed on fresh data meanwhile
		}
		sent := time.Now()
		u, err := sh.callWithinEra(ctx, k, call)
		now := time.Now()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sh.reloadable.Load().store.Reconnect(k)
			sh.counters.storeErrors.Inc(1)
			if errors.Is(err, source.ErrTooLarge) {
				sh.counters.answersTooLarge.Inc(1)
			}
			sh.storeFailed.Store(true)
			if schedule.Failed(now, err) {
				sh.log.sourceFailing(k, err)
			}
			if source.NeedsRead(err) {
				sh.log.readingAgain(k, err)
			} else {
				sh.handleEvent(gateway.CallFailed{Kind: k, Sent: sent})
			}
			continue
		}
		sh.storeAnswered.Store(true)
		if schedule.Succeeded(now, &u) {
			sh.log.sourceRecovered(k)
		}
		sh.recordRejected(u.Rejected)
		sh.handleEvent(gateway.SourceUpdated{Kind: k, Update: u, AsOf: call.AsOf(sent, now)})
		sh.feed.notify()
		sh.era.observe(u.Position.Era)
		if k == source.Configuration {
			sh.keepConfiguration(ctx, &u)
		}
		if call.Read {
			sh.awaitUpstream(ctx, now.Add(call.MaxUnconfirmed))
		}
	}
}

// recordRejected logs and counts objects that could not be decoded.
func (sh *Shell) recordRejected(objects []source.Rejection) {
	sh.counters.objectsRejected.Inc(int64(len(objects)))
	sh.log.rejected(objects)
}

// callWithinEra makes a call. A watch fails with ErrRestored as soon as the store turns
// out to have been restored: the store may answer it at the end of its wait only.
func (sh *Shell) callWithinEra(ctx context.Context, k source.Kind, call source.Call) (source.Update, error) {
	if call.Read {
		return sh.call(ctx, k, call)
	}
	watchCtx, cancel := sh.era.withinEra(ctx, call.Since.Era)
	defer cancel()
	u, err := sh.call(watchCtx, k, call)
	if errors.Is(context.Cause(watchCtx), source.ErrRestored) {
		err = source.ErrRestored
	}
	return u, err
}

// awaitUpstream waits until it is known whether another instance passes the
// store's data on to this one, but not beyond the given time. An instance that has
// just read a source needs no watch of it in the meantime.
func (sh *Shell) awaitUpstream(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-sh.upstreamDecided:
	}
}

// reliesOnOthers reports whether other instances of the data centre are the first
// to call the store again after a failure.
func (sh *Shell) reliesOnOthers() bool {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	return sh.upstream.ReliesOnOthers() && sh.followedInstance() != ""
}

// waitWhileFresh waits until the data of the source that other instances have passed
// on is too old, or until there is no instance left to follow. It returns false when
// ctx has ended.
func (sh *Shell) waitWhileFresh(ctx context.Context, k source.Kind) bool {
	for {
		timing := sh.reloadable.Load().timings[k]
		maxAge := timing.MaxRelayedAge
		if sh.reliesOnOthers() {
			maxAge = timing.MaxRelayedAgeLate
		}
		sh.upstreamMu.Lock()
		until := sh.upstream.FreshUntil(k, maxAge)
		sh.upstreamMu.Unlock()
		if !until.After(time.Now()) {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-sh.upstreamLost[k]:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// loseUpstream makes this instance call the store at once, since it has no instance
// left to follow.
func (sh *Shell) loseUpstream() {
	sh.upstreamMu.Lock()
	sh.upstream.ForgetAges()
	sh.upstreamMu.Unlock()
	for k := range sh.upstreamLost {
		select {
		case sh.upstreamLost[k] <- struct{}{}:
		default: // the watch of the source has not taken the last notice yet
		}
	}
}

// followedInstance returns the name of the followed instance; empty when there
// is none.
func (sh *Shell) followedInstance() model.InstanceID {
	if p := sh.followed.Load(); p != nil {
		return *p
	}
	return ""
}

func (sh *Shell) setFollowedInstance(name model.InstanceID) {
	if previous := sh.followedInstance(); previous != name {
		sh.followed.Store(&name)
		sh.log.followedInstance(name)
	}
}

// refreshSource reads a source once, independently of the calls of watchSource.
func (sh *Shell) refreshSource(k source.Kind) {
	sent := time.Now()
	u, err := sh.call(context.Background(), k, source.Call{Read: true, Timeout: source.ReadTimeout})
	if err != nil {
		sh.counters.storeErrors.Inc(1)
		sh.log.warn("cannot read from the store: "+k.String(), err)
		return
	}
	sh.recordRejected(u.Rejected)
	sh.handleEvent(gateway.SourceUpdated{Kind: k, Update: u, AsOf: sent})
}

func (sh *Shell) call(ctx context.Context, k source.Kind, call source.Call) (source.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	sh.counters.storeCalls.Inc(1)
	store := sh.reloadable.Load().store
	known := sh.era.current()
	var u source.Update
	var err error
	switch {
	case call.Read && call.AllowStale && k.ManyObjects():
		u, err = source.Load(ctx, store, k)
	case call.Read:
		u, err = store.Read(ctx, k)
	default:
		u, err = store.Watch(ctx, k, call.Since, call.Wait)
	}
	if err == nil && u.Position.Era < known {
		err = source.ErrOutdated
	}
	return u, err
}

// sleepWithinEra sleeps until a call may be made, or until the store turns out to have
// been restored. It returns false when ctx has ended.
func (sh *Shell) sleepWithinEra(ctx context.Context, call source.Call) bool {
	if call.Read {
		return sleepUntil(ctx, call.NotBefore)
	}
	eraCtx, cancel := sh.era.withinEra(ctx, call.Since.Era)
	defer cancel()
	sleepUntil(eraCtx, call.NotBefore)
	return ctx.Err() == nil
}

// sleepUntil sleeps until t. It returns false when ctx has ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
