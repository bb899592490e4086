package shell

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"cuminshift/internal/config"
	"cuminshift/internal/editerr"
	"cuminshift/internal/entry"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/storeclient"
)

// editTimeout bounds an edit, including the wait between the two steps of an
// edit that moves an address.
const editTimeout = 20 * time.Second

// GetConfig returns the newest configuration that this instance holds.
func (o *operator) GetConfig(context.Context, *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	configuration, content := o.sh.core.Configuration(), o.sh.core.Lists()
	return connect.NewResponse(&pb.GetConfigResponse{
		Root:      configuration.Root,
		Callers:   content.Callers,
		Plans:     content.Plans,
		Marks:     content.Marks,
		FromStore: o.sh.clients.storeReachable.Load(),
	}), nil
}

// Edit applies an operator's edit to the configuration in the store.
func (o *operator) Edit(ctx context.Context, request *connect.Request[pb.EditRequest]) (*connect.Response[pb.EditResponse], error) {
	// The edit continues when the operator's connection ends, since it may be
	// between its two steps.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer cancel()
	r := request.Msg
	deadline, _ := ctx.Deadline()
	editor := config.NewEditor(config.EditorConfig{
		Deadline:       deadline,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		LocalShard:     o.sh.core.Shard,
		InForceVersion: o.sh.core.InForceVersion(time.Now()),
		LocalVersion:   o.sh.core.Configuration().Version,
	}, config.Edit{
		ID: r.GetEditId(), Operator: r.GetOperator(), Summary: r.GetSummary(), BaseVersion: r.GetBaseVersion(),
		Callers: r.GetCallers(), Plans: r.GetPlans(), Marks: r.GetMarks(), DryRun: r.GetDryRun(),
	})
	store := &recordingStore{Store: o.sh.clients.store, shards: map[string][]byte{}}
	result, err := storeclient.RunEdit(ctx, store, editor, func(context.Context) uint64 {
		return o.sh.core.InForceVersion(time.Now())
	})
	if err != nil {
		o.sh.log.Info("config: edit not accepted", zap.String(logCause, err.Error()))
		return nil, editerr.Encode(err)
	}
	if !r.GetDryRun() {
		store.passToCore(o.sh)
		o.sh.log.Info("config: edit accepted", zap.Uint64(logVersion, result.Version), zap.String(logOperator, r.GetOperator()))
	}
	return connect.NewResponse(&pb.EditResponse{Version: result.Version, Changes: result.Changes}), nil
}

// recordingStore records what an edit writes, so that this instance holds the
// new version at once and its peers learn it from here. The watches of the
// readers do not show the new version while reads from the store are stale.
type recordingStore struct {
	storeclient.Store
	mu     sync.Mutex
	root   []byte
	shards map[string][]byte
}

// Put writes an object and records it if the write succeeded.
func (s *recordingStore) Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	version, err := s.Store.Put(ctx, key, value, ifVersion)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if key == config.RootKey {
			s.root = value
		} else {
			s.shards[key] = value
		}
	}
	return version, err
}

// passToCore passes the recorded root and the shards that the core lacks to the
// core.
func (s *recordingStore) passToCore(sh *Shell) {
	if s.root == nil {
		return
	}
	sh.handle(entry.StoreRootRead{Value: s.root})
	shards := map[string][]byte{}
	for _, hash := range sh.core.MissingShards() {
		if data, ok := s.shards[config.ShardKey(hash)]; ok {
			shards[hash] = data
		}
	}
	if len(shards) > 0 {
		sh.handle(entry.StoreShardsRead{Shards: shards})
	}
}
