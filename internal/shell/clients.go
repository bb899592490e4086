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
	instanceListInterval = 500 * time.Millisecond
	instanceListTimeout  = 2 * time.Second
	healthPollInterval   = 500 * time.Millisecond
	healthPollTimeout    = time.Second
	// watchWait is how long the store may hold a watch; a longer one would
	// hide a silent connection for longer.
	watchWait = 5 * time.Second
	// storeRetryInterval spaces calls while the store fails.
	storeRetryInterval = 500 * time.Millisecond
	// storeCheckTimeout bounds the check for a status report.
	storeCheckTimeout = 500 * time.Millisecond
	// readerCheckInterval is how often an instance that is not a reader checks
	// whether it has become one.
	readerCheckInterval = 200 * time.Millisecond
	// maxResponseSize bounds an answer of the platform: a value of 1 MB
	// and its framing.
	maxResponseSize = 2 << 20
)

// clients holds the clients of the platform's services.
type clients struct {
	instanceList   cuminshiftv1connect.InstanceListClient
	store          *storeclient.Client
	httpClient     *http.Client
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

func (sh *Shell) pollInstanceList(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, instanceListTimeout)
		response, err := sh.clients.instanceList.List(callCtx, connect.NewRequest(&pb.ListRequest{}))
		cancel()
		if err == nil {
			sh.handle(entry.InstanceListRead{Instances: response.Msg.GetInstances()})
		} else if ctx.Err() == nil {
			sh.log.Debug("platform: instance list failed", zap.Error(err))
		}
		if !sleep(ctx, instanceListInterval) {
			return
		}
	}
}

// readStore watches the root while this instance is a reader, and reads it
// once at the start, when no peer may know a version.
func (sh *Shell) readStore(ctx context.Context) {
	var seenVersion uint64
	for ctx.Err() == nil {
		if !sh.core.ReadsStore() {
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
			sleep(ctx, storeRetryInterval)
			continue
		}
		seenVersion = version
	}
}

// readRoot waits for a root newer than seen, passes it to the core, and reads
// the shards that the core lacks.
func (sh *Shell) readRoot(ctx context.Context, seenVersion uint64) (uint64, error) {
	value, version, err := sh.clients.store.Watch(ctx, config.RootKey, seenVersion, watchWait)
	if err != nil {
		return seenVersion, err
	}
	if version == 0 || version == seenVersion {
		return version, nil
	}
	sh.handle(entry.StoreRootRead{Value: value})
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

// checkStore asks the store whether it answers; only readers know it from their
// watch.
func (sh *Shell) checkStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, _, err := sh.clients.store.Get(ctx, config.RootKey)
	sh.clients.setStoreReachable(err == nil)
	return err == nil
}

// setStoreReachable logs each change of the store's reachability.
func (c *clients) setStoreReachable(ok bool) {
	if c.storeReachable.Swap(ok) == ok {
		return
	}
	if ok {
		c.log.Info("config: store answers")
	} else {
		c.log.Warn("config: store does not answer, serving the newest version held")
	}
}

// pollHealthEndpoints reads the health endpoints of the servers that the core names.
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

// sleep waits and reports whether ctx is still live.
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
