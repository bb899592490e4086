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

func (e *Editor) handleRootRead(now time.Time, a RootRead) Action {
	if a.ObjectVersion < e.objectVersion {
		return e.retry(now, errStaleRead)
	}
	root, err := DecodeRoot(a.Value)
	if err != nil {
		return e.retry(now, err)
	}
	if root.GetVersion() < e.cfg.LocalVersion {
		return e.retry(now, fmt.Errorf("%w: %d, the instance holds %d", errStaleRead, root.GetVersion(), e.cfg.LocalVersion))
	}
	e.root, e.objectVersion = root, a.ObjectVersion
	if rec := findEdit(root, e.edit.ID); rec != nil {
		return e.doneFromRecord(rec)
	}
	// A write conditional on an older version can no longer take effect, and
	// had it done so, its record would be in the root.
	if e.outcomeUnknown && e.objectVersion > e.lostWriteCondition {
		if oldestRecoverable(root) >= e.lostWriteVersion {
			return Fail{&OutcomeUnknownError{EditID: e.edit.ID, Cause: e.lastErr}}
		}
		e.outcomeUnknown = false
	}
	return e.mergeAndPublish(now)
}

func (e *Editor) doneFromRecord(rec *pb.EditRecord) Action {
	e.outcomeUnknown = false
	done := Done{Version: rec.GetVersion(), Changes: e.write.changes, StepOneVersion: e.stepOneVersion}
	done.AlreadyApplied = e.write.version != rec.GetVersion()
	if step := findEdit(e.root, stepOneID(e.edit.ID)); step != nil {
		done.StepOneVersion = step.GetVersion()
	}
	return done
}

var errShardNotReturned = errors.New("the store does not return a shard that its root names")

func (e *Editor) handleShardsRead(now time.Time, a ShardsRead) Action {
	for hash, data := range a.Shards {
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

func (e *Editor) lookupShard(hash string) ([]byte, bool) {
	if data, ok := e.shards[hash]; ok {
		return data, true
	}
	if e.cfg.LocalShard != nil {
		return e.cfg.LocalShard(hash)
	}
	return nil, false
}

// comparedVersions names the comparedVersions that the edit has to be compared with: its base,
// those before and after its step one, if published, and the current one.
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

// mergeAndPublish computes the next version from the root read, as soon as the shards
// that it needs are at hand.
func (e *Editor) mergeAndPublish(now time.Time) Action {
	versions, err := e.comparedVersions()
	var base *BaseUnknownError
	if errors.As(err, &base) {
		if base.Base > base.Newest {
			// The operator has seen the base version, so this read is stale.
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

// publish writes the merged content, or step one towards it.
func (e *Editor) publish(now time.Time, m *mergeResult) Action {
	id, changes, set := e.edit.ID, m.changes, m.set
	blocked, awaited := blockedAddresses(changes, e.root.GetReleased(), e.cfg.InForceVersion)
	if len(blocked) > 0 {
		changes = stepOneChanges(m.items, m.changes, blocked)
		// After step one there is nothing to gain from publishing a part of the
		// rest, and the repeated edit could not tell the parts apart.
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
	root.Released = unconfirmedReleases(changes, e.root.GetReleased(), e.cfg.InForceVersion, root.GetVersion())
	var err error
	if e.write.value, err = encodeRoot(root); err != nil {
		return Fail{err}
	}
	e.write.version = root.GetVersion()
	return e.unlessExpired(now, WriteShards{Shards: newShards(e.root, set)})
}

// stepOneShards returns the shards after step one. Its content is checked because
// no operator has asked for it.
func (e *Editor) stepOneShards(changes []lists.Change) (*ShardSet, error) {
	refs := slices.DeleteFunc(slices.Clone(e.root.GetShards()), func(r *pb.ShardRef) bool { return !e.editsShard(r.GetName()) })
	items, err := assembleItems(refs, e.lookupShard)
	if err != nil {
		return nil, err
	}
	items = applyChanges(items, changes)
	found, err := e.validate(e.withoutUnsetLists(lists.Join(items)), nil, e.root.GetVersion())
	if err = errOrFindings(err, found); err != nil {
		return nil, fmt.Errorf("step one would not be valid: %w", err)
	}
	return splitItems(items)
}

// rootWithShards returns the root that follows with the shards of the set; shards
// that the edit does not touch stay.
func (e *Editor) rootWithShards(set *ShardSet, rec *pb.EditRecord) *pb.Root {
	refs := slices.Clone(set.Refs)
	for _, ref := range e.root.GetShards() {
		if !e.editsShard(ref.GetName()) {
			refs = append(refs, ref)
		}
	}
	return nextRoot(e.root, refs, rec)
}

func nextRoot(root *pb.Root, refs []*pb.ShardRef, rec *pb.EditRecord) *pb.Root {
	slices.SortFunc(refs, func(a, b *pb.ShardRef) int { return strings.Compare(a.GetName(), b.GetName()) })
	rec.Version = root.GetVersion() + 1
	rec.Replaced = refChanges(refs, root.GetShards())
	edits := trimEdits(append(slices.Clip(root.GetEdits()), rec))
	return &pb.Root{Version: rec.Version, Shards: refs, Edits: edits, Digest: digestOf(rec.Version, refs)}
}

// newShards returns the shards of the set that the root does not name; those
// that it names are in the store.
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
