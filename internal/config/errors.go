package config

import (
	"fmt"
	"strings"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// ConflictError reports that another accepted edit changed the same items, or
// that the two edits together are not valid. The edit was not applied, except for
// step one if StepOneVersion is set.
type ConflictError struct {
	// StepOneVersion is the version that step one published if the edit stopped
	// after it, else 0.
	StepOneVersion uint64
	// Yours describes the changes of this edit to the conflicting items, Theirs
	// those of the accepted edits.
	Yours, Theirs []string
	// TheirEdits are the edits accepted since the base version.
	TheirEdits []*pb.EditRecord
	// Findings are the validation findings for both edits combined, if any.
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
		b.WriteString("the combined edits are not valid:\n")
		b.WriteString(e.Findings.String())
	}
	return b.String()
}

func writeIndented(b *strings.Builder, lines []string) {
	for _, l := range lines {
		b.WriteString("  " + l + "\n")
	}
}

// StoreUnavailableError reports that the store did not respond before the deadline.
// The edit was not applied, except for step one if StepOneVersion is set.
type StoreUnavailableError struct {
	// StepOneVersion is the version that step one published if the edit stopped
	// after it, else 0.
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

// OutcomeUnknownError reports that a write may or may not have taken effect. It is
// safe to repeat the edit with the same ID.
type OutcomeUnknownError struct {
	EditID string
	Cause  error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store did not confirm the write, and reading it back failed; repeat edit %s with the same ID: %v", e.EditID, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ContentionError reports that a concurrent edit was published before this one in
// each attempt until the deadline. The edit was not applied, except for step one if
// StepOneVersion is set.
type ContentionError struct {
	// Attempts is the number of failed attempts.
	Attempts int
	// StepOneVersion is the version that step one published if the edit stopped
	// after it, else 0.
	StepOneVersion uint64
}

func (e *ContentionError) Error() string {
	if e.StepOneVersion > 0 {
		return fmt.Sprintf("concurrent edits were published first in %d attempts; only step one was published, as version %d; repeat the edit to finish it", e.Attempts, e.StepOneVersion)
	}
	return fmt.Sprintf("concurrent edits were published first in %d attempts; nothing was changed", e.Attempts)
}

// NotInForceError reports that a version did not come into force before the
// deadline, so that an address released by it could not be given to its new owner.
type NotInForceError struct {
	// Version is the version that is not in force.
	Version uint64
	// StepOneVersion is the version that step one published if the edit stopped
	// after it, else 0.
	StepOneVersion uint64
}

func (e *NotInForceError) Error() string {
	if e.StepOneVersion > 0 {
		return fmt.Sprintf("only step one was published, as version %d: version %d is not in force on all instances yet; repeat the edit to finish it", e.StepOneVersion, e.Version)
	}
	return fmt.Sprintf("version %d, which released an address that this edit uses, is not in force on all instances yet; nothing was changed", e.Version)
}

// BaseUnknownError reports that an edit's base version, or the version before or
// after its step one, cannot be recovered from the root.
type BaseUnknownError struct {
	// Base is the version that is missing; the root covers Oldest to Newest.
	Base, Oldest, Newest uint64
}

func (e *BaseUnknownError) Error() string {
	return fmt.Sprintf("the edit is based on version %d, but the store has only versions %d to %d; export the lists again and repeat the edit", e.Base, e.Oldest, e.Newest)
}

// CorruptObjectError reports that an object from the store or a peer does not have
// the content that was written.
type CorruptObjectError struct {
	// Object describes the object for the error message.
	Object string
	Cause  error
}

func (e *CorruptObjectError) Error() string { return fmt.Sprintf("corrupt %s: %v", e.Object, e.Cause) }

func (e *CorruptObjectError) Unwrap() error { return e.Cause }

// ValueTooLargeError reports that an object exceeds MaxValueBytes.
type ValueTooLargeError struct {
	// Object describes the object for the error message.
	Object string
	Bytes  int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("%s has %d bytes, exceeding the limit of %d bytes", e.Object, e.Bytes, MaxValueBytes)
}
