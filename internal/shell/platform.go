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
	endpointInterval     = 500 * time.Millisecond
	endpointTimeout      = time.Second
	// watchWait is how long the store may hold a watch; a longer one would
	// hide a silent connection for longer.
	watchWait = 5 * time.Second
	// storeBackoff spaces calls while the store fails.
	storeBackoff = 500 * time.Millisecond
	// storeCheckTimeout bounds the check for a status report.
	storeCheckTimeout = 500 * time.Millisecond
	// readerCheck is how often an instance that is not a reader checks
	// whether it has become one.
	readerCheck = 200 * time.Millisecond
	// maxPlatformMessage bounds an answer of the platform: a value of 1 MB
	// and its framing.
	maxPlatformMessage = 2 << 20
)

// platform holds the clients of the platform's services.
type platform struct {
	instances cuminshiftv1connect.InstanceListClient
	store     *storeclient.Client
	http      *http.Client
	reachable atomic.Bool
	log       *zap.Logger
}

func newPlatform(s *settings.Settings, log *zap.Logger) *platform {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     10 * time.Second,
	}}
	return &platform{
		instances: cuminshiftv1connect.NewInstanceListClient(client, s.InstanceListURL, connect.WithReadMaxBytes(maxPlatformMessage)),
		store:     storeclient.New(s.StoreURL, 0),
		http:      client,
		log:       log,
	}
}

func (sh *Shell) pollInstanceList(ctx context.Context) {
	for {
		call, cancel := context.WithTimeout(ctx, instanceListTimeout)
		answer, err := sh.platform.instances.List(call, connect.NewRequest(&pb.ListRequest{}))
		cancel()
		if err == nil {
			sh.handle(entry.InstanceListRead{Instances: answer.Msg.GetInstances()})
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
	var seen uint64
	for ctx.Err() == nil {
		if !sh.core.ShouldWatchStore() {
			seen = 0
			sleep(ctx, readerCheck)
			continue
		}
		version, err := sh.readRoot(ctx, seen)
		if ctx.Err() != nil {
			return
		}
		sh.platform.setReachable(err == nil)
		if err != nil {
			sleep(ctx, storeBackoff)
			continue
		}
		seen = version
	}
}

// readRoot waits for a root newer than seen, passes it to the core, and reads
// the shards that the core lacks.
func (sh *Shell) readRoot(ctx context.Context, seen uint64) (uint64, error) {
	value, version, err := sh.platform.store.Watch(ctx, config.RootKey, seen, watchWait)
	if err != nil {
		return seen, err
	}
	if version == 0 || version == seen {
		return version, nil
	}
	sh.handle(entry.StoreRootRead{Value: value})
	shards := map[string][]byte{}
	for _, hash := range sh.core.MissingShards() {
		data, version, err := sh.platform.store.Get(ctx, config.ShardKey(hash))
		if err != nil {
			return seen, err
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

// check asks the store whether it answers; only readers know it from their
// watch.
func (sh *Shell) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, _, err := sh.platform.store.Get(ctx, config.RootKey)
	sh.platform.setReachable(err == nil)
	return err == nil
}

// setReachable logs each change of the store's reachability.
func (p *platform) setReachable(ok bool) {
	if p.reachable.Swap(ok) == ok {
		return
	}
	if ok {
		p.log.Info("config: store answers")
	} else {
		p.log.Warn("config: store does not answer, serving the newest version held")
	}
}

// pollEndpoints reads the health endpoints of the servers that the core names.
func (sh *Shell) pollEndpoints(ctx context.Context) {
	for sleep(ctx, endpointInterval) {
		var wg sync.WaitGroup
		for _, server := range sh.core.ServersToPoll() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				call, cancel := context.WithTimeout(ctx, endpointTimeout)
				defer cancel()
				client := cuminshiftv1connect.NewBackendStatusClient(sh.platform.http, "http://"+server.Health, connect.WithReadMaxBytes(maxPlatformMessage))
				ev := entry.HealthStatusRead{Server: server.ID}
				if answer, err := client.Status(call, connect.NewRequest(&pb.BackendStatusRequest{})); err == nil {
					ev.Status = answer.Msg
				}
				if ctx.Err() == nil {
					sh.handle(ev)
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
