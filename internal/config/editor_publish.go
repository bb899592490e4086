package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

func (e *Editor) handleRootRead(now time.Time, r RootRead) Action {
	if r.ObjectVersion < e.objectVersion {
		return e.retry(now, errStaleRead)
	}
	root, err := DecodeRoot(r.Value)
	if err != nil {
		return e.retry(now, err)
	}
	if root.GetVersion() < e.cfg.LocalVersion {
		return e.retry(now, fmt.Errorf("%w: got version %d, this instance uses version %d", errStaleRead, root.GetVersion(), e.cfg.LocalVersion))
	}
	e.root, e.objectVersion = root, r.ObjectVersion
	if rec := findEdit(root, e.edit.ID); rec != nil {
		return e.doneFromRecord(rec)
	}
	// The object version is above the condition of the lost write, so that write
	// can no longer take effect. If it had taken effect, the root would contain
	// its record, unless the record has been trimmed since.
	if e.outcomeUnknown && e.objectVersion > e.lostWriteCondition {
		if oldestRecoverable(root) >= e.lostWriteVersion {
			return Fail{&OutcomeUnknownError{EditID: e.edit.ID, Cause: e.lastErr}}
		}
		e.outcomeUnknown = false
	}
	return e.mergeAndPublish(now)
}

// doneFromRecord returns the result of an edit that the root records as applied.
func (e *Editor) doneFromRecord(rec *pb.EditRecord) Action {
	e.outcomeUnknown = false
	done := Done{Version: rec.GetVersion(), Changes: e.write.changes, StepOneVersion: e.stepOneVersion}
	done.AlreadyApplied = e.write.version != rec.GetVersion()
	if step := findEdit(e.root, stepOneID(e.edit.ID)); step != nil {
		done.StepOneVersion = step.GetVersion()
	}
	return done
}

var errShardNotReturned = errors.New("the store did not return a shard that its root references")

func (e *Editor) handleShardsRead(now time.Time, r ShardsRead) Action {
	for hash, data := range r.Shards {
		if err := verifyShard(hash, data); err != nil {
			return e.retry(now, err)
		}
		e.shards[hash] = data
	}
	versions, err := e.comparedVersions()
	if err == nil && len(e.missingShards(versions)) > 0 {
		return e.retry(now, errShardNotReturned)
	}
	return e.mergeAndPublish(now)
}

// lookupShard returns a shard that this edit has read or that is available
// locally.
func (e *Editor) lookupShard(hash string) ([]byte, bool) {
	if data, ok := e.shards[hash]; ok {
		return data, true
	}
	if e.cfg.LocalShard != nil {
		return e.cfg.LocalShard(hash)
	}
	return nil, false
}

// comparedVersions returns the versions that the edit has to be compared with:
// its base version, the versions before and after its step one if that has been
// published, and the current version. It fails with *BaseUnknownError.
func (e *Editor) comparedVersions() ([]uint64, error) {
	versions := []uint64{e.edit.BaseVersion}
	if step := findEdit(e.root, stepOneID(e.edit.ID)); step != nil {
		e.stepOneVersion = step.GetVersion()
		versions = append(versions, e.stepOneVersion-1, e.stepOneVersion)
	}
	oldest, newest := oldestRecoverable(e.root), e.root.GetVersion()
	for _, v := range versions {
		if v < oldest || v > newest {
			return nil, &BaseUnknownError{Base: v, Oldest: oldest, Newest: newest}
		}
	}
	return append(versions, newest), nil
}

// missingShards returns the hashes of the shards of the given versions that have
// to be read from the store.
func (e *Editor) missingShards(versions []uint64) []string {
	seen := map[string]bool{}
	var missing []string
	for _, v := range versions {
		refs, _ := RefsAt(e.root, v)
		for _, ref := range refs {
			hash := ref.GetHash()
			if seen[hash] {
				continue
			}
			seen[hash] = true
			if _, ok := e.lookupShard(hash); !ok {
				missing = append(missing, hash)
			}
		}
	}
	return missing
}

// mergeAndPublish applies the edit to the root read and publishes the result. If
// shards are missing, it reads them first.
func (e *Editor) mergeAndPublish(now time.Time) Action {
	versions, err := e.comparedVersions()
	var base *BaseUnknownError
	if errors.As(err, &base) {
		if base.Base > base.Newest {
			// The base version exists, because the operator has read it; so this
			// root is a stale read.
			return e.retry(now, err)
		}
		return Fail{err}
	}
	if missing := e.missingShards(versions); len(missing) > 0 {
		return e.unlessExpired(now, ReadShards{Hashes: missing})
	}
	m, err := e.merge(versions)
	if err != nil {
		return Fail{err}
	}
	e.write = rootWrite{changes: lists.Describe(m.requested)}
	if e.edit.DryRun || len(m.requested) == 0 {
		return Done{Version: e.root.GetVersion(), Changes: e.write.changes}
	}
	return e.publish(now, m)
}

// publish writes the merged content, or step one if an address is still blocked.
func (e *Editor) publish(now time.Time, m *mergeResult) Action {
	id, changes, set := e.edit.ID, m.changes, m.shardSet
	blocked, awaited := blockedAddresses(changes, e.root.GetReleased(), e.cfg.InForceVersion)
	if len(blocked) > 0 {
		changes = stepOneChanges(m.items, m.changes, blocked)
		// After step one the rest is published as a whole: publishing a part of it
		// has no advantage, and a repeated edit could not tell which part had been
		// published.
		if awaited > 0 && (e.stepOneVersion > 0 || len(changes) == 0) {
			return e.awaitInForce(now, awaited)
		}
		var err error
		if set, err = e.stepOneShards(changes); err != nil {
			return Fail{err}
		}
		id, e.write.isStepOne = stepOneID(id), true
	}
	root := e.rootWithShards(set, &pb.EditRecord{Id: id, Operator: e.edit.Operator,
		Summary: e.edit.Summary, AcceptedUnixMs: now.UnixMilli()})
	root.Released = pendingReleases(changes, e.root.GetReleased(), e.cfg.InForceVersion, root.GetVersion())
	var err error
	if e.write.value, err = encodeRoot(root); err != nil {
		return Fail{err}
	}
	e.write.version = root.GetVersion()
	return e.unlessExpired(now, WriteShards{Shards: newShards(e.root, set)})
}

// stepOneShards returns the shards after step one. It validates their content,
// because the operator did not submit this intermediate version.
func (e *Editor) stepOneShards(changes []lists.Change) (*ShardSet, error) {
	refs := slices.DeleteFunc(slices.Clone(e.root.GetShards()), func(r *pb.ShardRef) bool { return !e.editsShard(r.GetName()) })
	items, err := assembleItems(refs, e.lookupShard)
	if err != nil {
		return nil, err
	}
	items = applyChanges(items, changes)
	found, err := e.validate(e.withoutUnsetLists(lists.Unflatten(items)), nil, e.root.GetVersion())
	if err = errOrFindings(err, found); err != nil {
		return nil, fmt.Errorf("step one of the edit would not be valid: %w", err)
	}
	return splitItems(items)
}

// rootWithShards returns the next root with the shards of the set. Shards that
// the edit does not cover stay as they are.
func (e *Editor) rootWithShards(set *ShardSet, rec *pb.EditRecord) *pb.Root {
	refs := slices.Clone(set.Refs)
	for _, ref := range e.root.GetShards() {
		if !e.editsShard(ref.GetName()) {
			refs = append(refs, ref)
		}
	}
	return nextRoot(e.root, refs, rec)
}

// nextRoot returns the root of the next version, with rec as its edit record.
func nextRoot(root *pb.Root, refs []*pb.ShardRef, rec *pb.EditRecord) *pb.Root {
	slices.SortFunc(refs, func(a, b *pb.ShardRef) int { return strings.Compare(a.GetName(), b.GetName()) })
	rec.Version = root.GetVersion() + 1
	rec.Replaced = refChanges(refs, root.GetShards())
	edits := trimEdits(append(slices.Clip(root.GetEdits()), rec))
	return &pb.Root{Version: rec.Version, Shards: refs, Edits: edits, Digest: digestOf(rec.Version, refs)}
}

// newShards returns the shards of the set that the root does not reference;
// those that it references are already in the store.
func newShards(root *pb.Root, set *ShardSet) []*pb.Shard {
	stored := map[string]bool{}
	for _, ref := range root.GetShards() {
		stored[ref.GetHash()] = true
	}
	var out []*pb.Shard
	for _, ref := range set.Refs {
		if hash := ref.GetHash(); !stored[hash] {
			stored[hash] = true
			out = append(out, &pb.Shard{Hash: hash, Content: set.Shards[hash]})
		}
	}
	return out
}
