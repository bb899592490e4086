package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

const (
	// minBackoff and maxBackoff bound the delay before a retry; the store
	// normally responds within milliseconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// inForcePollInterval is the interval at which an editor checks whether a
	// version is in force.
	inForcePollInterval = 100 * time.Millisecond
)

// Edit is a configuration change requested by an operator.
type Edit struct {
	// ID must be unique; an edit that is repeated with the same ID is applied only
	// once. Operator and Summary are free text for the edit history.
	ID, Operator, Summary string
	// BaseVersion is the version from which the lists below were derived.
	BaseVersion uint64
	// Callers, Plans and Marks replace the lists of the base version; a nil list
	// stays unchanged.
	Callers *pb.CallerList
	Plans   *pb.PlanList
	Marks   *pb.Marks
	// DryRun computes the changes without writing them.
	DryRun bool
}

// EditorConfig holds the parameters of an Editor.
type EditorConfig struct {
	Deadline time.Time
	// Rand is the source of the jitter of retries.
	Rand *rand.Rand
	// LocalShard returns a shard that is available without reading the store, or is
	// nil.
	LocalShard func(hash string) ([]byte, bool)
	// InForceVersion is the newest version known to be in force.
	InForceVersion uint64
	// LocalVersion is the version that the instance uses. A root from the store
	// with a lower version is a stale read: an edit based on it would never come
	// into force.
	LocalVersion uint64
}

// Action is the next step that an Editor requires. The code that runs the editor,
// storeclient.RunEdit, performs it and passes the Result to Editor.Handle.
type Action interface{ action() }

type (
	// ReadRoot reads the root object; its result is RootRead.
	ReadRoot struct{}
	// ReadShards reads shards; its result is ShardsRead.
	ReadShards struct{ Hashes []string }
	// WriteShards writes shards, of which some may already exist; its result is
	// ShardsWritten.
	WriteShards struct{ Shards []*pb.Shard }
	// WriteRoot updates the root object on condition that its object version is
	// IfVersion; its result is RootWritten.
	WriteRoot struct {
		Value     []byte
		IfVersion uint64
	}
	// QueryInForce queries the newest version that is in force; its result is
	// InForce. Version is the one that the editor waits for.
	QueryInForce struct{ Version uint64 }
	// Wait waits until the given time; its result is Elapsed.
	Wait struct{ Until time.Time }
	// Done ends an accepted edit or a dry run.
	Done struct {
		// Version is the version that contains the edit; for a dry run it is the
		// version that the edit was compared with.
		Version uint64
		// Changes describes the changes, one per line of text.
		Changes []string
		// AlreadyApplied reports that an earlier attempt had applied the edit.
		AlreadyApplied bool
		// StepOneVersion is the version that step one published, or 0 if the edit
		// needed only one step.
		StepOneVersion uint64
	}
	// Fail ends an edit that was not accepted or whose outcome is unknown.
	Fail struct{ Err error }
)

func (ReadRoot) action()     {}
func (ReadShards) action()   {}
func (WriteShards) action()  {}
func (WriteRoot) action()    {}
func (QueryInForce) action() {}
func (Wait) action()         {}
func (Done) action()         {}
func (Fail) action()         {}

// Result is the result of an Action.
type Result interface{ result() }

type (
	// RootRead contains the root object; object version 0 means that it does not
	// exist.
	RootRead struct {
		ObjectVersion uint64
		Value         []byte
	}
	// ShardsRead contains the requested shards that exist in the store, by hash.
	ShardsRead struct{ Shards map[string][]byte }
	// ShardsWritten reports that all shards are stored.
	ShardsWritten struct{}
	// RootWritten reports that the conditional update succeeded.
	RootWritten struct{}
	// InForce contains the newest version that is in force.
	InForce struct{ Version uint64 }
	// Elapsed reports that the wait is over.
	Elapsed struct{}
	// StoreFailed is the result of any store action that did not succeed.
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

// FailureKind classifies the failure of a store call.
type FailureKind int

const (
	// FailureUnavailable means that the call had no effect: it did not reach the
	// store, or was a read.
	FailureUnavailable FailureKind = iota
	// FailureOutcomeUnknown means that the response was lost and a write may have
	// taken effect.
	FailureOutcomeUnknown
	// FailureVersionMismatch means that the object's version differs from the
	// one in the condition.
	FailureVersionMismatch
)

// Editor carries out one edit. It is a state machine without I/O: Start returns
// the first action, and Handle returns the next one for each result, until Done
// or Fail. It is not safe for concurrent use.
//
// An edit that gives an address to another owner takes two steps. Step one
// publishes a version that releases the address. Step two gives the address to
// its new owner once that version is in force, so that at no time two instances
// use the address for different owners.
type Editor struct {
	cfg  EditorConfig
	edit Edit

	// root is the newest root read and objectVersion its version in the store.
	root          *pb.Root
	objectVersion uint64
	shards        map[string][]byte
	// write is the latest root update that was prepared. rootWriteInFlight is true
	// from the WriteRoot action until its result.
	write             rootWrite
	rootWriteInFlight bool
	// outcomeUnknown is true when the response to a write was lost. The write can
	// still take effect as long as the object version is at most
	// lostWriteCondition.
	outcomeUnknown     bool
	lostWriteCondition uint64
	// lostWriteVersion is the configuration version that this write would have
	// created.
	lostWriteVersion uint64
	// stepOneVersion is the version that step one published, and awaitedVersion
	// the one that has to be in force before the edit continues. Each is 0 if
	// there is none.
	stepOneVersion, awaitedVersion uint64

	retries, mismatches int
	// lastErr is the cause of the last retry; nil means a version mismatch.
	lastErr   error
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

// stepOneID returns the edit ID under which step one of an edit is recorded.
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

// unlessExpired returns the action, or Fail when the deadline has passed.
func (e *Editor) unlessExpired(now time.Time, a Action) Action {
	if !now.Before(e.cfg.Deadline) {
		return Fail{e.unfinishedError()}
	}
	_, e.rootWriteInFlight = a.(WriteRoot)
	return a
}

// unfinishedError returns the error for an edit that ends before Done.
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

// Abort ends the edit before its deadline and returns the error that describes
// its state.
func (e *Editor) Abort(cause error) error {
	e.lastErr = cause
	return e.unfinishedError()
}

// retry waits with exponential backoff and full jitter, then reads the root
// again. A nil cause means that another edit was published first.
func (e *Editor) retry(now time.Time, cause error) Action {
	e.lastErr = cause
	limit := min(maxBackoff, minBackoff<<min(e.retries, 10))
	e.retries++
	return e.waitThen(now, time.Millisecond+time.Duration(e.cfg.Rand.Int64N(int64(limit))), ReadRoot{})
}

// waitThen waits for d, at most until the deadline, before the next action.
func (e *Editor) waitThen(now time.Time, d time.Duration, next Action) Action {
	until := now.Add(d)
	if until.After(e.cfg.Deadline) {
		until = e.cfg.Deadline
	}
	e.afterWait = next
	return e.unlessExpired(now, Wait{Until: until})
}

// Handle returns the next action. The result must be that of the last action.
func (e *Editor) Handle(now time.Time, result Result) Action {
	wasWritingRoot := e.rootWriteInFlight
	e.rootWriteInFlight = false
	switch r := result.(type) {
	case Elapsed:
		return e.unlessExpired(now, e.afterWait)
	case RootRead:
		return e.handleRootRead(now, r)
	case ShardsRead:
		return e.handleShardsRead(now, r)
	case ShardsWritten:
		return e.unlessExpired(now, WriteRoot{Value: e.write.value, IfVersion: e.objectVersion})
	case RootWritten:
		return e.handleRootWritten(now)
	case InForce:
		return e.handleInForce(now, r)
	case StoreFailed:
		return e.handleStoreFailed(now, r, wasWritingRoot)
	}
	return Fail{fmt.Errorf("unknown result %T", result)}
}

func (e *Editor) handleStoreFailed(now time.Time, r StoreFailed, writingRoot bool) Action {
	if r.Kind == FailureVersionMismatch {
		e.mismatches++
		return e.retry(now, nil)
	}
	if writingRoot && r.Kind == FailureOutcomeUnknown {
		e.outcomeUnknown, e.lostWriteCondition, e.lostWriteVersion = true, max(e.lostWriteCondition, e.objectVersion), e.write.version
	}
	return e.retry(now, r.Err)
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
	return e.unlessExpired(now, QueryInForce{Version: version})
}

func (e *Editor) handleInForce(now time.Time, r InForce) Action {
	e.cfg.InForceVersion = max(e.cfg.InForceVersion, r.Version)
	if e.cfg.InForceVersion < e.awaitedVersion {
		return e.waitThen(now, inForcePollInterval, QueryInForce{Version: e.awaitedVersion})
	}
	e.awaitedVersion = 0
	return e.unlessExpired(now, ReadRoot{})
}

var errStaleRead = errors.New("stale read: the store returned an older version")
