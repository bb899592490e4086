package gatewayshell

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/gateway"
	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

// follow keeps one source current until ctx ends.
func (sh *Shell) follow(ctx context.Context, k source.Kind) {
	schedule := source.NewSchedule(sh.live.Load().timings[k])
	for {
		if !sh.waitWhileCovered(ctx, k) {
			return
		}
		schedule.SetTiming(sh.live.Load().timings[k])
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
			sh.live.Load().store.Reconnect(k)
			sh.counters.storeErrors.Inc(1)
			sh.storeFailed.Store(true)
			if schedule.Failed(now, err) {
				sh.log.lost(k, err)
			}
			if !errors.Is(err, source.ErrCompacted) {
				sh.handle(gateway.Unanswered{Kind: k, Sent: sent})
			}
			continue
		}
		if schedule.Succeeded(now, &u) {
			sh.log.regained(k)
		}
		sh.log.rejected(u.Rejected)
		sh.handle(gateway.Updated{Kind: k, Update: u, AsOf: call.AsOf(sent, now)})
		sh.feed.notify()
	}
}

// waitWhileCovered waits while another instance passes on what it knows of the
// source.
func (sh *Shell) waitWhileCovered(ctx context.Context, k source.Kind) bool {
	for {
		sh.upstreamMu.Lock()
		until := sh.upstream.FreshUntil(k, sh.live.Load().timings[k].MaxRelayedAge)
		sh.upstreamMu.Unlock()
		if !until.After(time.Now()) {
			return ctx.Err() == nil
		}
		if !sleepUntil(ctx, until) {
			return false
		}
	}
}

// following returns the followed instance, if there is one.
func (sh *Shell) following() model.InstanceID {
	if p := sh.followed.Load(); p != nil {
		return *p
	}
	return ""
}

func (sh *Shell) setFollowing(name model.InstanceID) {
	if before := sh.following(); before != name {
		sh.followed.Store(&name)
		sh.log.following(name)
	}
}

// refresh reads a source once, beside the calls that follow it.
func (sh *Shell) refresh(k source.Kind) {
	sent := time.Now()
	u, err := sh.call(context.Background(), k, source.Call{Read: true, Timeout: source.ReadTimeout})
	if err != nil {
		sh.counters.storeErrors.Inc(1)
		sh.log.failed("read of the "+k.String(), err)
		return
	}
	sh.handle(gateway.Updated{Kind: k, Update: u, AsOf: sent})
}

func (sh *Shell) call(ctx context.Context, k source.Kind, call source.Call) (source.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	sh.counters.storeCalls.Inc(1)
	if call.Read {
		return sh.live.Load().store.Read(ctx, k)
	}
	return sh.live.Load().store.Watch(ctx, k, call.Since, call.Wait)
}

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
