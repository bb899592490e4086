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

func (e *Editor) rootRead(now time.Time, a RootRead) Action {
	if a.ObjectVersion < e.object {
		return e.retry(now, errStaleRead)
	}
	root, err := DecodeRoot(a.Value)
	if err != nil {
		return e.retry(now, err)
	}
	if root.GetVersion() < e.cfg.LocalVersion {
		return e.retry(now, fmt.Errorf("%w: %d, the instance holds %d", errStaleRead, root.GetVersion(), e.cfg.LocalVersion))
	}
	e.root, e.object = root, a.ObjectVersion
	if rec := findEdit(root, e.edit.ID); rec != nil {
		return e.accepted(rec)
	}
	// A write conditional on an older version can no longer take effect, and
	// had it done so, its record would be in the root.
	if e.pending && e.object > e.unsure {
		if oldestKnown(root) >= e.lostVersion {
			return Fail{&OutcomeUnknownError{EditID: e.edit.ID, Cause: e.lastErr}}
		}
		e.pending = false
	}
	return e.prepare(now)
}

func (e *Editor) accepted(rec *pb.EditRecord) Action {
	e.pending = false
	done := Done{Version: rec.GetVersion(), Changes: e.write.changes, StepOneVersion: e.stepOne}
	done.AlreadyApplied = e.write.version != rec.GetVersion()
	if step := findEdit(e.root, stepOneID(e.edit.ID)); step != nil {
		done.StepOneVersion = step.GetVersion()
	}
	return done
}

var errShardGone = errors.New("the store does not return a shard that its root names")

func (e *Editor) shardsRead(now time.Time, a ShardsRead) Action {
	for hash, data := range a.Shards {
		if err := verifyShard(hash, data); err != nil {
			return e.retry(now, err)
		}
		e.shards[hash] = data
	}
	versions, err := e.versions()
	if err == nil && len(e.missing(versions)) > 0 {
		return e.retry(now, errShardGone)
	}
	return e.prepare(now)
}

func (e *Editor) shard(hash string) ([]byte, bool) {
	if data, ok := e.shards[hash]; ok {
		return data, true
	}
	if e.cfg.LocalShard != nil {
		return e.cfg.LocalShard(hash)
	}
	return nil, false
}

// versions names the versions that the edit has to be compared with: its base,
// those before and after its step one, if published, and the current one.
func (e *Editor) versions() ([]uint64, error) {
	versions := []uint64{e.edit.BaseVersion}
	if step := findEdit(e.root, stepOneID(e.edit.ID)); step != nil {
		e.stepOne = step.GetVersion()
		versions = append(versions, e.stepOne-1, e.stepOne)
	}
	oldest, newest := oldestKnown(e.root), e.root.GetVersion()
	for _, v := range versions {
		if v < oldest || v > newest {
			return nil, &BaseUnknownError{Base: v, Oldest: oldest, Newest: newest}
		}
	}
	return append(versions, newest), nil
}

func (e *Editor) missing(versions []uint64) []string {
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
			if _, ok := e.shard(hash); !ok {
				missing = append(missing, hash)
			}
		}
	}
	return missing
}

// prepare computes the next version from the root read, as soon as the shards
// that it needs are at hand.
func (e *Editor) prepare(now time.Time) Action {
	versions, err := e.versions()
	var base *BaseUnknownError
	if errors.As(err, &base) {
		if base.Base > base.Newest {
			// The operator has seen the base version, so this read is stale.
			return e.retry(now, err)
		}
		return Fail{err}
	}
	if missing := e.missing(versions); len(missing) > 0 {
		return e.do(now, ReadShards{Hashes: missing})
	}
	m, err := e.merge(versions)
	if err != nil {
		return Fail{err}
	}
	e.write = attempt{changes: lists.Describe(m.asked)}
	if e.edit.DryRun || len(m.asked) == 0 {
		return Done{Version: e.root.GetVersion(), Changes: e.write.changes}
	}
	return e.publish(now, m)
}

// publish writes the merged content, or step one towards it.
func (e *Editor) publish(now time.Time, m *merged) Action {
	id, changes, set := e.edit.ID, m.changes, m.set
	blocked, awaited := blockedAddresses(changes, e.root.GetReleased(), e.cfg.InForceVersion)
	if len(blocked) > 0 {
		changes = stepOne(m.items, m.changes, blocked)
		// After step one there is nothing to gain from publishing a part of the
		// rest, and the repeated edit could not tell the parts apart.
		if awaited > 0 && (e.stepOne > 0 || len(changes) == 0) {
			return e.awaitVersion(now, awaited)
		}
		var err error
		if set, err = e.stepOneSet(changes); err != nil {
			return Fail{err}
		}
		id, e.write.isStep = stepOneID(id), true
	}
	root := e.nextRoot(set, &pb.EditRecord{Id: id, Operator: e.edit.Operator,
		Summary: e.edit.Summary, AcceptedUnixMs: now.UnixMilli()})
	root.Released = releases(changes, e.root.GetReleased(), e.cfg.InForceVersion, root.GetVersion())
	var err error
	if e.write.value, err = encodeRoot(root); err != nil {
		return Fail{err}
	}
	e.write.version = root.GetVersion()
	return e.do(now, WriteShards{Shards: newShards(e.root, set)})
}

// stepOneSet returns the shards after step one. Its content is checked because
// no operator has asked for it.
func (e *Editor) stepOneSet(changes []lists.Change) (*ShardSet, error) {
	refs := slices.DeleteFunc(slices.Clone(e.root.GetShards()), func(r *pb.ShardRef) bool { return !e.touches(r.GetName()) })
	items, err := assembleItems(refs, e.shard)
	if err != nil {
		return nil, err
	}
	items = apply(items, changes)
	found, err := e.check(e.only(lists.Join(items)), nil, e.root.GetVersion())
	if err = cmpErr(err, found); err != nil {
		return nil, fmt.Errorf("step one would not be valid: %w", err)
	}
	return splitItems(items)
}

// nextRoot returns the root that follows with the shards of the set; shards
// that the edit does not touch stay.
func (e *Editor) nextRoot(set *ShardSet, rec *pb.EditRecord) *pb.Root {
	refs := slices.Clone(set.Refs)
	for _, ref := range e.root.GetShards() {
		if !e.touches(ref.GetName()) {
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
