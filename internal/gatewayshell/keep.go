package gatewayshell

import (
	"context"
	"math/rand/v2"
	"time"

	"cuminshift/internal/source"
)

// maxKeepDelay is the longest time for which an instance waits before it stores a
// configuration that the store has lost. Operators write theirs again, and one instance
// is enough.
const maxKeepDelay = 500 * time.Millisecond

const (
	// keepRetryInterval is the pause after a failed attempt to store it, maxKeepAttempts
	// the number of attempts.
	keepRetryInterval = time.Second
	maxKeepAttempts   = 10
)

// keepConfiguration stores the configuration in use if the one that the store returned
// is older: the store was restored from a copy. Instances that start, and have nobody
// else to learn it from, then find it there.
func (sh *Shell) keepConfiguration(ctx context.Context, u *source.Update) {
	if u.Configuration == nil || u.Configuration.Version >= sh.core.ConfigurationVersion() || u.Position.Before(sh.core.Positions()[source.Configuration]) {
		return
	}
	if !sh.keeping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer sh.keeping.Store(false)
		delay := rand.N(maxKeepDelay)
		for range maxKeepAttempts {
			if !sleepUntil(ctx, time.Now().Add(delay)) || sh.keepOnce(ctx) {
				return
			}
			delay = keepRetryInterval
		}
	}()
}

// keepOnce reports whether the store has the configuration in use or a newer one.
func (sh *Shell) keepOnce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, 2*source.CallTimeout)
	defer cancel()
	c := sh.core.Configuration()
	kept, err := sh.reloadable.Load().store.KeepConfiguration(callCtx, c)
	if err != nil {
		sh.log.warn("configuration that the store has lost is not stored, retrying", err)
		return false
	}
	if kept {
		sh.log.configurationKept(c.Version)
	}
	return true
}
