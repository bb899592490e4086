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
		schedule.AdvanceTo(sh.core.Revisions()[k])
		call := schedule.Next()
		if !sleepUntil(ctx, call.NotBefore) {
			return
		}
		sent := time.Now()
		u, err := sh.call(ctx, k, call)
		now := time.Now()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sh.reloadable.Load().store.Reconnect(k)
			sh.counters.storeErrors.Inc(1)
			sh.storeFailed.Store(true)
			if schedule.Failed(now, err) {
				sh.log.sourceFailing(k, err)
			}
			if !errors.Is(err, source.ErrCompacted) {
				sh.handleEvent(gateway.CallFailed{Kind: k, Sent: sent})
			}
			continue
		}
		if schedule.Succeeded(now, &u) {
			sh.log.sourceRecovered(k)
		}
		sh.log.rejected(u.Rejected)
		sh.handleEvent(gateway.SourceUpdated{Kind: k, Update: u, AsOf: call.AsOf(sent, now)})
		sh.feed.notify()
	}
}

// waitWhileFresh waits until the data of the source that other instances have passed
// on is older than MaxRelayedAge. It returns false when ctx has ended.
func (sh *Shell) waitWhileFresh(ctx context.Context, k source.Kind) bool {
	for {
		sh.upstreamMu.Lock()
		until := sh.upstream.FreshUntil(k, sh.reloadable.Load().timings[k].MaxRelayedAge)
		sh.upstreamMu.Unlock()
		if !until.After(time.Now()) {
			return ctx.Err() == nil
		}
		if !sleepUntil(ctx, until) {
			return false
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
	sh.handleEvent(gateway.SourceUpdated{Kind: k, Update: u, AsOf: sent})
}

func (sh *Shell) call(ctx context.Context, k source.Kind, call source.Call) (source.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	sh.counters.storeCalls.Inc(1)
	store := sh.reloadable.Load().store
	switch {
	case call.Read && call.AllowStale && k.ManyObjects():
		return source.Load(ctx, store, k)
	case call.Read:
		return store.Read(ctx, k)
	}
	return store.Watch(ctx, k, call.Since, call.Wait)
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
