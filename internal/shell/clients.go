package shell

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"cuminshift/internal/config"
	"cuminshift/internal/entry"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/settings"
	"cuminshift/internal/storeclient"
	"go.uber.org/zap"
)

const (
	// instanceListInterval is the pause between reads of the instance list.
	instanceListInterval = 500 * time.Millisecond
	instanceListTimeout  = 2 * time.Second
	// healthPollInterval is the pause between polls of the health endpoints.
	healthPollInterval = 500 * time.Millisecond
	healthPollTimeout  = time.Second
	// watchWait is how long the store may hold a watch request without an
	// answer. With a longer wait, a silent connection would go unnoticed for
	// longer.
	watchWait = 5 * time.Second
	// storeRetryInterval is the pause after a failed call to the store.
	storeRetryInterval = 500 * time.Millisecond
	// storeCheckTimeout bounds the check of the store for a status request.
	storeCheckTimeout = 500 * time.Millisecond
	// readerCheckInterval is the pause between checks whether this instance has
	// become a reader of the store.
	readerCheckInterval = 200 * time.Millisecond
	// maxResponseSize bounds a response of the instance list or of a health
	// endpoint, in bytes: a value of 1 MB and its framing.
	maxResponseSize = 2 << 20
)

// clients holds the clients of the instance list, the store and the servers'
// health endpoints.
type clients struct {
	instanceList cuminshiftv1connect.InstanceListClient
	store        *storeclient.Client
	httpClient   *http.Client
	// storeReachable tells whether the last call to the store succeeded.
	storeReachable atomic.Bool
	log            *zap.Logger
}

func newClients(s *settings.Settings, log *zap.Logger) *clients {
	httpClient := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     10 * time.Second,
	}}
	return &clients{
		instanceList: cuminshiftv1connect.NewInstanceListClient(httpClient, s.InstanceListURL, connect.WithReadMaxBytes(maxResponseSize)),
		store:        storeclient.New(s.StoreURL, 0),
		httpClient:   httpClient,
		log:          log,
	}
}

// pollInstanceList passes the instance list to the core at intervals until ctx
// ends.
func (sh *Shell) pollInstanceList(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, instanceListTimeout)
		response, err := sh.clients.instanceList.List(callCtx, connect.NewRequest(&pb.ListRequest{}))
		cancel()
		if err == nil {
			sh.handle(entry.InstanceListRead{Instances: response.Msg.GetInstances()})
		} else if ctx.Err() == nil {
			sh.log.Debug("instancelist: reading instance list failed", zap.Error(err))
		}
		if !sleep(ctx, instanceListInterval) {
			return
		}
	}
}

// readStore watches the configuration root in the store while this instance is
// a reader, or has no configuration yet, since peers may have none either.
func (sh *Shell) readStore(ctx context.Context) {
	var seenVersion uint64
	for ctx.Err() == nil {
		if !sh.core.ShouldWatchStore() {
			seenVersion = 0
			sleep(ctx, readerCheckInterval)
			continue
		}
		version, err := sh.readRoot(ctx, seenVersion)
		if ctx.Err() != nil {
			return
		}
		sh.clients.setStoreReachable(err == nil)
		if err != nil {
			// After an outage the store may be older than before.
			seenVersion = 0
			sleep(ctx, storeRetryInterval)
			continue
		}
		seenVersion = version
	}
}

// readRoot waits up to watchWait for a root newer than seenVersion, passes it
// to the core, and reads the shards that the core lacks. It returns the version
// of the root in the store.
func (sh *Shell) readRoot(ctx context.Context, seenVersion uint64) (uint64, error) {
	value, version, err := sh.clients.store.Watch(ctx, config.RootKey, seenVersion, watchWait)
	if err != nil {
		return seenVersion, err
	}
	// An object version may have been given out again after the store was restored, so
	// that the root is passed on even if its version is the one seen.
	sh.handle(entry.StoreRootRead{Value: value, ObjectVersion: version})
	shards := map[string][]byte{}
	for _, hash := range sh.core.MissingShards() {
		data, version, err := sh.clients.store.Get(ctx, config.ShardKey(hash))
		if err != nil {
			return seenVersion, err
		}
		if version != 0 {
			shards[hash] = data
		}
	}
	if len(shards) > 0 {
		sh.handle(entry.StoreShardsRead{Shards: shards})
	}
	return version, nil
}

// rewriteStore writes a configuration that the store has lost. If it fails, the next
// read of the root leads to the next attempt.
func (sh *Shell) rewriteStore(a entry.RewriteStore) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	if err := storeclient.Rewrite(ctx, sh.clients.store, &a.Rewrite, a.IfVersion); err != nil {
		sh.log.Info("config: lost configuration not written again", zap.Uint64(logVersion, a.Version), zap.String(logCause, err.Error()))
		return
	}
	sh.log.Warn("config: store had lost the configuration, written again", zap.Uint64(logVersion, a.Version))
}

// checkStore reports whether the store answers a read. Status requests need
// this because only readers know it from their watch.
func (sh *Shell) checkStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, _, err := sh.clients.store.Get(ctx, config.RootKey)
	sh.clients.setStoreReachable(err == nil)
	return err == nil
}

// setStoreReachable records whether the store is reachable and logs each
// change.
func (c *clients) setStoreReachable(ok bool) {
	if c.storeReachable.Swap(ok) == ok {
		return
	}
	if ok {
		c.log.Info("config: store reachable")
	} else {
		c.log.Warn("config: store unreachable, serving with the newest configuration held")
	}
}

// pollHealthEndpoints polls the health endpoints of the servers that the core
// lists, concurrently, at intervals until ctx ends. A failed poll is passed to
// the core as an event without a status.
func (sh *Shell) pollHealthEndpoints(ctx context.Context) {
	for sleep(ctx, healthPollInterval) {
		var wg sync.WaitGroup
		for _, server := range sh.core.ServersToPoll() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				callCtx, cancel := context.WithTimeout(ctx, healthPollTimeout)
				defer cancel()
				client := cuminshiftv1connect.NewBackendStatusClient(sh.clients.httpClient, "http://"+server.Health, connect.WithReadMaxBytes(maxResponseSize))
				event := entry.HealthStatusRead{Server: server.ID}
				if response, err := client.Status(callCtx, connect.NewRequest(&pb.BackendStatusRequest{})); err == nil {
					event.Status = response.Msg
				}
				if ctx.Err() == nil {
					sh.handle(event)
				}
			}()
		}
		wg.Wait()
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
