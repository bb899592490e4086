package ctl

import (
	"fmt"
	"strings"

	"cuminshift/internal/editerr"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// exitCodes maps the kinds of failed edits to exit codes.
var exitCodes = map[pb.EditFailure_Kind]int{
	pb.EditFailure_KIND_INVALID:           ExitInvalid,
	pb.EditFailure_KIND_CONFLICT:          ExitConflict,
	pb.EditFailure_KIND_BASE_UNKNOWN:      ExitConflict,
	pb.EditFailure_KIND_CONTENTION:        ExitConflict,
	pb.EditFailure_KIND_STORE_UNAVAILABLE: ExitStoreUnavailable,
	pb.EditFailure_KIND_OUTCOME_UNKNOWN:   ExitOutcomeUnknown,
	pb.EditFailure_KIND_NOT_IN_FORCE:      ExitNotInForce,
}

// editError returns an error that explains a failed edit to the operator.
// repeated tells whether an earlier command sent an edit with the same id.
func editError(id string, repeated bool, err error) error {
	failure := editerr.Decode(err)
	if failure == nil {
		return err
	}
	if repeated && (failure.GetKind() == pb.EditFailure_KIND_STORE_UNAVAILABLE || failure.GetKind() == pb.EditFailure_KIND_CONTENTION) {
		// The failure concerns the repeated edit. A write of the first attempt
		// may still take effect.
		failure = &pb.EditFailure{Kind: pb.EditFailure_KIND_OUTCOME_UNKNOWN, StepOne: failure.GetStepOne()}
	}
	var b strings.Builder
	switch failure.GetKind() {
	case pb.EditFailure_KIND_INVALID:
		b.WriteString("the edit is not valid; nothing was changed\n")
	case pb.EditFailure_KIND_CONFLICT:
		writeConflict(&b, failure)
	case pb.EditFailure_KIND_STORE_UNAVAILABLE:
		writeStoreUnavailable(&b, failure)
	case pb.EditFailure_KIND_OUTCOME_UNKNOWN:
		fmt.Fprintf(&b, "the store did not confirm the edit, which may have been accepted; repeat it with --edit-id %s\n", id)
	default:
		fmt.Fprintln(&b, err)
	}
	if failure.GetStepOne() > 0 && failure.GetKind() != pb.EditFailure_KIND_CONFLICT {
		fmt.Fprintf(&b, "step one is version %d; repeat with --edit-id %s to finish the edit\n", failure.GetStepOne(), id)
	}
	for _, f := range failure.GetFindings() {
		fmt.Fprintf(&b, "  %s: %s: %s\n", f.GetFile(), f.GetPath(), f.GetMessage())
	}
	return exitf(exitCodes[failure.GetKind()], "%s", b.String())
}

// writeConflict writes the operator's edit and the edits that it conflicts
// with.
func writeConflict(b *strings.Builder, failure *pb.EditFailure) {
	b.WriteString("conflict with another edit; ")
	if failure.GetStepOne() == 0 {
		b.WriteString("nothing was changed\n")
	} else {
		b.WriteString("only step one of your edit was published\n")
	}
	b.WriteString("your edit:\n")
	for _, line := range failure.GetYours() {
		fmt.Fprintf(b, "  %s\n", line)
	}
	b.WriteString("accepted in the meantime:\n")
	for _, r := range failure.GetTheirEdits() {
		fmt.Fprintf(b, "  version %d by %s at %s: %s\n", r.GetVersion(), r.GetOperator(), formatTime(r.GetAcceptedUnixMs()), r.GetSummary())
	}
	for _, line := range failure.GetTheirs() {
		fmt.Fprintf(b, "  %s\n", line)
	}
	if len(failure.GetFindings()) > 0 {
		b.WriteString("the two edits together are not valid:\n")
	}
}

func writeStoreUnavailable(b *strings.Builder, failure *pb.EditFailure) {
	b.WriteString("the store is unavailable: ")
	if failure.GetStepOne() == 0 {
		b.WriteString("nothing was changed; the newest version stays in force\n")
		return
	}
	b.WriteString("only step one of the edit was published\n")
}
