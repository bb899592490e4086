package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

const (
	// minBackoff and maxBackoff bound the pause before a repeated attempt; the
	// store answers in milliseconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// inForcePollInterval is the pause between questions whether a version is in force.
	inForcePollInterval = 100 * time.Millisecond
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
	// LocalShard returns a shard that need not be read from the store; it may be nil.
	LocalShard func(hash string) ([]byte, bool)
	// InForceVersion is the newest version known to be in force on all instances.
	InForceVersion uint64
	// LocalVersion is the version that the instance holds. An older root in the store is
	// a stale read: an edit of it would never come into force.
	LocalVersion uint64
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
		// AlreadyApplied says that the edit had been accepted before.
		AlreadyApplied bool
		// StepOneVersion is the version of step one, or 0.
		StepOneVersion uint64
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

// Result is the result of an Action.
type Result interface{ result() }

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
		Kind FailureKind
		Err  error
	}
)

func (RootRead) result()      {}
func (ShardsRead) result()    {}
func (ShardsWritten) result() {}
func (RootWritten) result()   {}
func (InForce) result()       {}
func (Elapsed) result()       {}
func (StoreFailed) result()   {}

// FailureKind says how a store call failed.
type FailureKind int

// The reasons. FailureUnavailable: the call did not reach the store. FailureOutcomeUnknown: the
// answer was lost and a write may have taken effect. FailureVersionMismatch: the object has
// another version than the condition names.
const (
	FailureUnavailable FailureKind = iota
	FailureOutcomeUnknown
	FailureVersionMismatch
)

// Editor carries out one edit. It is a state machine: Start gives the first
// action and Handle the next one for each answer, until Done or Fail. It is not
// safe for concurrent use.
type Editor struct {
	cfg  EditorConfig
	edit Edit

	// root and object are the newest root read and its object version.
	root          *pb.Root
	objectVersion uint64
	shards        map[string][]byte
	// write is the root being written; writing is true until its answer.
	write         rootWrite
	writeInFlight bool
	// A write of ours whose answer was lost may take effect as long as the
	// object version is at most unsure.
	outcomeUnknown     bool
	lostWriteCondition uint64
	// lostWriteVersion is the version that the write would have made.
	lostWriteVersion uint64
	// stepOneVersion is the version of step one, awaitedVersion the version being waited for.
	stepOneVersion, awaitedVersion uint64

	retries, mismatches int
	lastErr             error
	// afterWait follows a Wait.
	afterWait Action
}

type rootWrite struct {
	value     []byte
	version   uint64
	isStepOne bool
	changes   []string
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
		if text == "" || len(text) > maxRecordFieldBytes {
			return Fail{fmt.Errorf("%s must have 1 to %d bytes", what, maxRecordFieldBytes)}
		}
	}
	if len(e.edit.Summary) > maxRecordFieldBytes {
		return Fail{fmt.Errorf("summary must have at most %d bytes", maxRecordFieldBytes)}
	}
	return e.unlessExpired(now, ReadRoot{})
}

// unlessExpired returns the action, or the failure when the deadline has passed.
func (e *Editor) unlessExpired(now time.Time, a Action) Action {
	if !now.Before(e.cfg.Deadline) {
		return Fail{e.unfinishedError()}
	}
	_, e.writeInFlight = a.(WriteRoot)
	return a
}

func (e *Editor) unfinishedError() error {
	var base *BaseUnknownError
	switch {
	case e.outcomeUnknown:
		return &OutcomeUnknownError{EditID: e.edit.ID, Cause: e.lastErr}
	case e.awaitedVersion > 0:
		return &NotInForceError{Version: e.awaitedVersion, StepOneVersion: e.stepOneVersion}
	case errors.As(e.lastErr, &base):
		return base
	case e.lastErr == nil && e.mismatches > 0:
		return &ContentionError{Attempts: e.mismatches, StepOneVersion: e.stepOneVersion}
	}
	return &StoreUnavailableError{StepOneVersion: e.stepOneVersion, Cause: e.lastErr}
}

// Abort ends the edit early and returns the error for its present state.
func (e *Editor) Abort(cause error) error {
	e.lastErr = cause
	return e.unfinishedError()
}

// retry pauses with exponential backoff and full jitter, then reads the root.
// A nil cause means that another edit came first.
func (e *Editor) retry(now time.Time, cause error) Action {
	e.lastErr = cause
	limit := min(maxBackoff, minBackoff<<min(e.retries, 10))
	e.retries++
	return e.waitThen(now, time.Millisecond+time.Duration(e.cfg.Rand.Int64N(int64(limit))), ReadRoot{})
}

func (e *Editor) waitThen(now time.Time, d time.Duration, next Action) Action {
	until := now.Add(d)
	if until.After(e.cfg.Deadline) {
		until = e.cfg.Deadline
	}
	e.afterWait = next
	return e.unlessExpired(now, Wait{Until: until})
}

// Handle returns the next action. The answer must belong to the last action.
func (e *Editor) Handle(now time.Time, answer Result) Action {
	wasWriting := e.writeInFlight
	e.writeInFlight = false
	switch a := answer.(type) {
	case Elapsed:
		return e.unlessExpired(now, e.afterWait)
	case RootRead:
		return e.handleRootRead(now, a)
	case ShardsRead:
		return e.handleShardsRead(now, a)
	case ShardsWritten:
		return e.unlessExpired(now, WriteRoot{Value: e.write.value, IfVersion: e.objectVersion})
	case RootWritten:
		return e.handleRootWritten(now)
	case InForce:
		return e.handleInForce(now, a)
	case StoreFailed:
		return e.handleStoreFailed(now, a, wasWriting)
	}
	return Fail{fmt.Errorf("unknown answer %T", answer)}
}

func (e *Editor) handleStoreFailed(now time.Time, a StoreFailed, writing bool) Action {
	if a.Kind == FailureVersionMismatch {
		e.mismatches++
		return e.retry(now, nil)
	}
	if writing && a.Kind == FailureOutcomeUnknown {
		e.outcomeUnknown, e.lostWriteCondition, e.lostWriteVersion = true, max(e.lostWriteCondition, e.objectVersion), e.write.version
	}
	return e.retry(now, a.Err)
}

func (e *Editor) handleRootWritten(now time.Time) Action {
	e.outcomeUnknown = false
	if e.write.isStepOne {
		e.stepOneVersion = e.write.version
		return e.awaitInForce(now, e.stepOneVersion)
	}
	return Done{Version: e.write.version, Changes: e.write.changes, StepOneVersion: e.stepOneVersion}
}

func (e *Editor) awaitInForce(now time.Time, version uint64) Action {
	e.awaitedVersion = version
	return e.unlessExpired(now, AwaitInForce{Version: version})
}

func (e *Editor) handleInForce(now time.Time, a InForce) Action {
	e.cfg.InForceVersion = max(e.cfg.InForceVersion, a.Version)
	if e.cfg.InForceVersion < e.awaitedVersion {
		return e.waitThen(now, inForcePollInterval, AwaitInForce{Version: e.awaitedVersion})
	}
	e.awaitedVersion = 0
	return e.unlessExpired(now, ReadRoot{})
}

var errStaleRead = errors.New("the store answers with an older version")
