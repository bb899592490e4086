package config

import (
	"fmt"
	"strings"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// ConflictError says that another accepted edit touched the same entries, or that
// the two edits together are not valid. The edit was not applied.
type ConflictError struct {
	// StepOneVersion is the version of step one when the edit stopped after it, else 0.
	StepOneVersion uint64
	// Yours and Theirs describe both edits of the entries in question.
	Yours, Theirs []string
	// TheirEdits are the edits accepted since the base version.
	TheirEdits []*pb.EditRecord
	// Findings are the faults of the two edits taken together, if any.
	Findings findings.Findings
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("conflict with an accepted edit; ")
	if e.StepOneVersion > 0 {
		fmt.Fprintf(&b, "only step one was published, as version %d\nyour edit:\n", e.StepOneVersion)
	} else {
		b.WriteString("nothing was changed\nyour edit:\n")
	}
	writeIndented(&b, e.Yours)
	b.WriteString("accepted meanwhile:\n")
	for _, r := range e.TheirEdits {
		fmt.Fprintf(&b, "  version %d by %s: %s\n", r.GetVersion(), r.GetOperator(), r.GetSummary())
	}
	writeIndented(&b, e.Theirs)
	if len(e.Findings) > 0 {
		b.WriteString("both together are not valid:\n")
		b.WriteString(e.Findings.String())
	}
	return b.String()
}

func writeIndented(b *strings.Builder, lines []string) {
	for _, l := range lines {
		b.WriteString("  " + l + "\n")
	}
}

// StoreUnavailableError says that the store did not answer until the deadline. The
// edit was not applied.
type StoreUnavailableError struct {
	// StepOneVersion is the version of step one when the edit stopped after it, else 0.
	StepOneVersion uint64
	Cause          error
}

func (e *StoreUnavailableError) Error() string {
	text := "the store is not available; nothing was changed"
	if e.StepOneVersion > 0 {
		text = fmt.Sprintf("the store is not available; only step one was published, as version %d; repeat the edit to finish it", e.StepOneVersion)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *StoreUnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that a write may or may not have taken effect. Repeating
// the edit with the same id is safe.
type OutcomeUnknownError struct {
	EditID string
	Cause  error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store did not confirm the write and could not be read back; repeat edit %s with the same id: %v", e.EditID, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ContentionError says that other edits won each attempt until the deadline. The
// edit was not applied.
type ContentionError struct {
	Attempts int
	// StepOneVersion is the version of step one when the edit stopped after it, else 0.
	StepOneVersion uint64
}

func (e *ContentionError) Error() string {
	if e.StepOneVersion > 0 {
		return fmt.Sprintf("other edits came first %d times; only step one was published, as version %d; repeat the edit to finish it", e.Attempts, e.StepOneVersion)
	}
	return fmt.Sprintf("other edits came first %d times; nothing was changed", e.Attempts)
}

// NotInForceError says that a version did not come into force before the deadline,
// so an address that it released could not be given to its new owner.
type NotInForceError struct {
	Version uint64
	// StepOneVersion is the version of step one when the edit stopped after it, else 0.
	StepOneVersion uint64
}

func (e *NotInForceError) Error() string {
	if e.StepOneVersion > 0 {
		return fmt.Sprintf("only step one was published, as version %d: version %d is not in force everywhere yet; repeat the edit to finish it", e.StepOneVersion, e.Version)
	}
	return fmt.Sprintf("version %d released an address that this edit uses and is not in force everywhere yet; nothing was changed", e.Version)
}

// BaseUnknownError says that the root no longer holds the base version of an edit.
type BaseUnknownError struct {
	Base, Oldest, Newest uint64
}

func (e *BaseUnknownError) Error() string {
	return fmt.Sprintf("the edit is based on version %d; the store holds versions %d to %d; export the lists again and repeat the edit", e.Base, e.Oldest, e.Newest)
}

// CorruptObjectError says that an object in the store or from a peer is not what its
// writer wrote.
type CorruptObjectError struct {
	Object string
	Cause  error
}

func (e *CorruptObjectError) Error() string { return fmt.Sprintf("damaged %s: %v", e.Object, e.Cause) }

func (e *CorruptObjectError) Unwrap() error { return e.Cause }

// ValueTooLargeError says that the configuration does not fit the store's values.
type ValueTooLargeError struct {
	Object string
	Bytes  int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("%s has %d bytes; at most %d", e.Object, e.Bytes, MaxValueBytes)
}
