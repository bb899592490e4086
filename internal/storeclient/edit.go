package storeclient

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminshift/internal/config"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// maxConcurrentCalls bounds the concurrent store calls of one edit. The store handles
// several hundred writes per second and responds within milliseconds.
const maxConcurrentCalls = 4

// Store is the subset of Client's methods that an edit needs.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (version uint64, err error)
}

// RunEdit runs an Editor against the store until the edit ends. inForce returns the
// newest version that is in force, that is, in use on all live instances. The error is one of the
// typed errors of package config, *findings.Error or the error of the context.
func RunEdit(ctx context.Context, store Store, editor *config.Editor, inForce func(context.Context) uint64) (config.Done, error) {
	action := editor.Start(time.Now())
	for {
		switch a := action.(type) {
		case config.Done:
			return a, nil
		case config.Fail:
			return config.Done{}, a.Err
		default:
			result := perform(ctx, store, a, inForce)
			if next := editor.Handle(time.Now(), result); ctx.Err() == nil || isFinal(next) {
				action = next
				continue
			}
			return config.Done{}, editor.Abort(ctx.Err())
		}
	}
}

func isFinal(a config.Action) bool {
	switch a.(type) {
	case config.Done, config.Fail:
		return true
	}
	return false
}

func perform(ctx context.Context, store Store, action config.Action, inForce func(context.Context) uint64) config.Result {
	switch a := action.(type) {
	case config.ReadRoot:
		value, version, err := store.Get(ctx, config.RootKey)
		if err != nil {
			return storeFailure(err)
		}
		return config.RootRead{ObjectVersion: version, Value: value}
	case config.ReadShards:
		return readShards(ctx, store, a.Hashes)
	case config.WriteShards:
		return writeShards(ctx, store, a.Shards)
	case config.WriteRoot:
		if _, err := store.Put(ctx, config.RootKey, a.Value, &a.IfVersion); err != nil {
			return storeFailure(err)
		}
		return config.RootWritten{}
	case config.QueryInForce:
		return config.InForce{Version: inForce(ctx)}
	case config.Wait:
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(a.Until)):
		}
	}
	return config.Elapsed{}
}

// Rewrite writes a configuration that the store has lost, on condition that the object
// of the root has the version ifVersion.
func Rewrite(ctx context.Context, store Store, r *config.Rewrite, ifVersion uint64) error {
	if failed, ok := writeShards(ctx, store, r.Shards).(config.StoreFailed); ok {
		return failed.Err
	}
	_, err := store.Put(ctx, config.RootKey, r.Root, &ifVersion)
	return err
}

func readShards(ctx context.Context, store Store, hashes []string) config.Result {
	shards, err := GetShards(ctx, store, hashes)
	if err != nil {
		return storeFailure(err)
	}
	return config.ShardsRead{Shards: shards}
}

// GetShards reads the shards with the given hashes. The result, by hash, leaves out
// shards that do not exist in the store.
func GetShards(ctx context.Context, store Store, hashes []string) (map[string][]byte, error) {
	values := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for i, hash := range hashes {
		group.Go(func() (err error) {
			values[i], _, err = store.Get(ctx, config.ShardKey(hash))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	shards := make(map[string][]byte, len(hashes))
	for i, value := range values {
		if len(value) > 0 {
			shards[hashes[i]] = value
		}
	}
	return shards, nil
}

func writeShards(ctx context.Context, store Store, shards []*pb.Shard) config.Result {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for _, s := range shards {
		group.Go(func() error {
			var absent uint64
			_, err := store.Put(ctx, config.ShardKey(s.GetHash()), s.GetContent(), &absent)
			var exists *VersionMismatchError
			if errors.As(err, &exists) {
				// The key is derived from the content, so the stored shard is the same.
				return nil
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return storeFailure(err)
	}
	return config.ShardsWritten{}
}

// storeFailure classifies the error of a store call. An error of any other type
// counts as an unknown outcome.
func storeFailure(err error) config.StoreFailed {
	var mismatch *VersionMismatchError
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &mismatch):
		return config.StoreFailed{Kind: config.FailureVersionMismatch, Err: err}
	case errors.As(err, &unavailable):
		return config.StoreFailed{Kind: config.FailureUnavailable, Err: err}
	}
	return config.StoreFailed{Kind: config.FailureOutcomeUnknown, Err: err}
}
