package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

const (
	// minBackoff and maxBackoff bound the pause before a repeated attempt; the
	// store answers in milliseconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// inForcePoll is the pause between questions whether a version is in force.
	inForcePoll = 100 * time.Millisecond
)

// Edit is a change that an operator asks for.
type Edit struct {
	// ID is unique; repeating an edit with the same ID applies it once.
	ID, Operator, Summary string
	// BaseVersion is the version that the lists were derived from.
	BaseVersion uint64
	// Unset parts stay as they are.
	Callers *pb.CallerList
	Plans   *pb.PlanList
	Marks   *pb.Marks
	DryRun  bool
}

// EditorConfig holds the surroundings of an Editor.
type EditorConfig struct {
	Deadline time.Time
	Rand     *rand.Rand
	// Known returns a shard that need not be read from the store; it may be nil.
	Known func(hash string) ([]byte, bool)
	// InForce is the newest version known to be in force on all instances.
	InForce uint64
	// Held is the version that the instance holds. An older root in the store is
	// a stale read: an edit of it would never come into force.
	Held uint64
}

// Action is what the driver of an Editor has to do next; the driver passes the
// Answer to Handle.
type Action interface{ action() }

// The actions of an Editor.
type (
	// ReadRoot asks for the root object; answered by RootRead.
	ReadRoot struct{}
	// ReadShards asks for shards; answered by ShardsRead.
	ReadShards struct{ Hashes []string }
	// WriteShards asks to write shards that may exist already; answered by
	// ShardsWritten.
	WriteShards struct{ Shards []*pb.Shard }
	// WriteRoot asks for the conditional update of the root object; answered by
	// RootWritten.
	WriteRoot struct {
		Value     []byte
		IfVersion uint64
	}
	// AwaitInForce asks for the newest version that is in force on all
	// instances, of which Version is needed; answered by InForce.
	AwaitInForce struct{ Version uint64 }
	// Wait asks to pause; answered by Elapsed.
	Wait struct{ Until time.Time }
	// Done ends an accepted edit or a dry run.
	Done struct {
		// Version is the version that holds the edit; with DryRun it is the
		// version that the edit was compared with.
		Version uint64
		Changes []string
		// Earlier says that the edit had been accepted before.
		Earlier bool
		// StepOne is the version of step one, or 0.
		StepOne uint64
	}
	// Fail ends an edit that was not accepted, or whose outcome is unknown.
	Fail struct{ Err error }
)

func (ReadRoot) action()     {}
func (ReadShards) action()   {}
func (WriteShards) action()  {}
func (WriteRoot) action()    {}
func (AwaitInForce) action() {}
func (Wait) action()         {}
func (Done) action()         {}
func (Fail) action()         {}

// Answer is the result of an Action.
type Answer interface{ answer() }

// The answers to an Editor.
type (
	// RootRead carries the root object; version 0 means that there is none.
	RootRead struct {
		ObjectVersion uint64
		Value         []byte
	}
	// ShardsRead carries the shards that the store holds.
	ShardsRead    struct{ Shards map[string][]byte }
	ShardsWritten struct{}
	RootWritten   struct{}
	// InForce carries the newest version in force on all instances.
	InForce struct{ Version uint64 }
	Elapsed struct{}
	// StoreFailed is the answer to any store action that did not succeed.
	StoreFailed struct {
		Reason Reason
		Err    error
	}
)

func (RootRead) answer()      {}
func (ShardsRead) answer()    {}
func (ShardsWritten) answer() {}
func (RootWritten) answer()   {}
func (InForce) answer()       {}
func (Elapsed) answer()       {}
func (StoreFailed) answer()   {}

// Reason says how a store call failed.
type Reason int

// The reasons. Unavailable: the call did not reach the store. Unknown: the
// answer was lost and a write may have taken effect. Mismatch: the object has
// another version than the condition names.
const (
	Unavailable Reason = iota
	Unknown
	Mismatch
)

// Editor carries out one edit. It is a state machine: Start gives the first
// action and Handle the next one for each answer, until Done or Fail. It is not
// safe for concurrent use.
type Editor struct {
	cfg  EditorConfig
	edit Edit

	// root and object are the newest root read and its object version.
	root   *pb.Root
	object uint64
	shards map[string][]byte
	// write is the root being written; writing is true until its answer.
	write   attempt
	writing bool
	// A write of ours whose answer was lost may take effect as long as the
	// object version is at most unsure.
	pending bool
	unsure  uint64
	// lostVersion is the version that the write would have made.
	lostVersion uint64
	// stepOne is the version of step one, await the version being waited for.
	stepOne, await uint64

	retries, mismatches int
	lastErr             error
	// resume follows a Wait.
	resume Action
}

type attempt struct {
	value   []byte
	version uint64
	isStep  bool
	changes []string
}

// NewEditor returns an editor for one edit.
func NewEditor(cfg EditorConfig, edit Edit) *Editor {
	return &Editor{cfg: cfg, edit: edit, shards: map[string][]byte{}}
}

// stepOneID returns the id under which step one of an edit is recorded.
func stepOneID(id string) string { return id + "#1" }

// Start returns the first action.
func (e *Editor) Start(now time.Time) Action {
	for what, text := range map[string]string{"edit id": e.edit.ID, "operator": e.edit.Operator} {
		if text == "" || len(text) > maxRecordText {
			return Fail{fmt.Errorf("%s must have 1 to %d bytes", what, maxRecordText)}
		}
	}
	if len(e.edit.Summary) > maxRecordText {
		return Fail{fmt.Errorf("summary must have at most %d bytes", maxRecordText)}
	}
	return e.do(now, ReadRoot{})
}

// do returns the action, or the failure when the deadline has passed.
func (e *Editor) do(now time.Time, a Action) Action {
	if !now.Before(e.cfg.Deadline) {
		return Fail{e.timeoutError()}
	}
	_, e.writing = a.(WriteRoot)
	return a
}

func (e *Editor) timeoutError() error {
	var base *BaseUnknown
	switch {
	case e.pending:
		return &OutcomeUnknown{EditID: e.edit.ID, Cause: e.lastErr}
	case e.await > 0:
		return &NotInForce{Version: e.await, Published: e.stepOne}
	case errors.As(e.lastErr, &base):
		return base
	case e.lastErr == nil && e.mismatches > 0:
		return &Contention{Attempts: e.mismatches, Published: e.stepOne}
	}
	return &StoreUnavailable{Published: e.stepOne, Cause: e.lastErr}
}

// Abort ends the edit early and returns the error for its present state.
func (e *Editor) Abort(cause error) error {
	e.lastErr = cause
	return e.timeoutError()
}

// retry pauses with exponential backoff and full jitter, then reads the root.
// A nil cause means that another edit came first.
func (e *Editor) retry(now time.Time, cause error) Action {
	e.lastErr = cause
	limit := min(maxBackoff, minBackoff<<min(e.retries, 10))
	e.retries++
	return e.pause(now, time.Millisecond+time.Duration(e.cfg.Rand.Int64N(int64(limit))), ReadRoot{})
}

func (e *Editor) pause(now time.Time, d time.Duration, next Action) Action {
	until := now.Add(d)
	if until.After(e.cfg.Deadline) {
		until = e.cfg.Deadline
	}
	e.resume = next
	return e.do(now, Wait{Until: until})
}

// Handle returns the next action. The answer must belong to the last action.
func (e *Editor) Handle(now time.Time, answer Answer) Action {
	wasWriting := e.writing
	e.writing = false
	switch a := answer.(type) {
	case Elapsed:
		return e.do(now, e.resume)
	case RootRead:
		return e.rootRead(now, a)
	case ShardsRead:
		return e.shardsRead(now, a)
	case ShardsWritten:
		return e.do(now, WriteRoot{Value: e.write.value, IfVersion: e.object})
	case RootWritten:
		return e.rootWritten(now)
	case InForce:
		return e.inForce(now, a)
	case StoreFailed:
		return e.storeFailed(now, a, wasWriting)
	}
	return Fail{fmt.Errorf("unknown answer %T", answer)}
}

func (e *Editor) storeFailed(now time.Time, a StoreFailed, writing bool) Action {
	if a.Reason == Mismatch {
		e.mismatches++
		return e.retry(now, nil)
	}
	if writing && a.Reason == Unknown {
		e.pending, e.unsure, e.lostVersion = true, max(e.unsure, e.object), e.write.version
	}
	return e.retry(now, a.Err)
}

func (e *Editor) rootWritten(now time.Time) Action {
	e.pending = false
	if e.write.isStep {
		e.stepOne = e.write.version
		return e.awaitVersion(now, e.stepOne)
	}
	return Done{Version: e.write.version, Changes: e.write.changes, StepOne: e.stepOne}
}

func (e *Editor) awaitVersion(now time.Time, version uint64) Action {
	e.await = version
	return e.do(now, AwaitInForce{Version: version})
}

func (e *Editor) inForce(now time.Time, a InForce) Action {
	e.cfg.InForce = max(e.cfg.InForce, a.Version)
	if e.cfg.InForce < e.await {
		return e.pause(now, inForcePoll, AwaitInForce{Version: e.await})
	}
	e.await = 0
	return e.do(now, ReadRoot{})
}

var errStaleRead = errors.New("the store answers with an older version")

func (e *Editor) rootRead(now time.Time, a RootRead) Action {
	if a.ObjectVersion < e.object {
		return e.retry(now, errStaleRead)
	}
	root, err := DecodeRoot(a.Value)
	if err != nil {
		return e.retry(now, err)
	}
	if root.GetVersion() < e.cfg.Held {
		return e.retry(now, fmt.Errorf("%w: %d, the instance holds %d", errStaleRead, root.GetVersion(), e.cfg.Held))
	}
	e.root, e.object = root, a.ObjectVersion
	if rec := findEdit(root, e.edit.ID); rec != nil {
		return e.accepted(rec)
	}
	// A write conditional on an older version can no longer take effect, and
	// had it done so, its record would be in the root.
	if e.pending && e.object > e.unsure {
		if oldestKnown(root) >= e.lostVersion {
			return Fail{&OutcomeUnknown{EditID: e.edit.ID, Cause: e.lastErr}}
		}
		e.pending = false
	}
	return e.prepare(now)
}

func (e *Editor) accepted(rec *pb.EditRecord) Action {
	e.pending = false
	done := Done{Version: rec.GetVersion(), Changes: e.write.changes, StepOne: e.stepOne}
	done.Earlier = e.write.version != rec.GetVersion()
	if step := findEdit(e.root, stepOneID(e.edit.ID)); step != nil {
		done.StepOne = step.GetVersion()
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
	if e.cfg.Known != nil {
		return e.cfg.Known(hash)
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
			return nil, &BaseUnknown{Base: v, Oldest: oldest, Newest: newest}
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
	var base *BaseUnknown
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
	blocked, awaited := blockedAddresses(changes, e.root.GetReleased(), e.cfg.InForce)
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
	root.Released = releases(changes, e.root.GetReleased(), e.cfg.InForce, root.GetVersion())
	var err error
	if e.write.value, err = encodeRoot(root); err != nil {
		return Fail{err}
	}
	e.write.version = root.GetVersion()
	return e.do(now, WriteShards{Shards: newShards(e.root, set)})
}

// stepOneSet returns the shards after step one. Its content is checked because
// no operator has asked for it.
func (e *Editor) stepOneSet(changes []lists.Change) (*Set, error) {
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
func (e *Editor) nextRoot(set *Set, rec *pb.EditRecord) *pb.Root {
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
func newShards(root *pb.Root, set *Set) []*pb.Shard {
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
