// Package editerr converts the errors of configuration edits to and from the
// error details of the operator API.
package editerr

import (
	"errors"

	"connectrpc.com/connect"

	"cuminshift/internal/config"
	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Encode converts an error to a connect error. The error types of an edit get a
// code of their own and an EditFailure detail; any other error gets the code
// internal and no detail.
func Encode(err error) error {
	if err == nil {
		return nil
	}
	code, failure := classify(err)
	out := connect.NewError(code, err)
	if failure != nil {
		if detail, detailErr := connect.NewErrorDetail(failure); detailErr == nil {
			out.AddDetail(detail)
		}
	}
	return out
}

func classify(err error) (connect.Code, *pb.EditFailure) {
	var (
		invalidEdit    *findings.Error
		conflict       *config.ConflictError
		unavailable    *config.StoreUnavailableError
		outcomeUnknown *config.OutcomeUnknownError
		contention     *config.ContentionError
		notInForce     *config.NotInForceError
		baseUnknown    *config.BaseUnknownError
	)
	switch {
	case errors.As(err, &conflict):
		return connect.CodeAborted, &pb.EditFailure{Kind: pb.EditFailure_KIND_CONFLICT, Yours: conflict.Yours,
			Theirs: conflict.Theirs, TheirEdits: conflict.TheirEdits, Findings: findingsToProto(conflict.Findings), StepOne: conflict.StepOneVersion}
	case errors.As(err, &invalidEdit):
		return connect.CodeInvalidArgument, &pb.EditFailure{Kind: pb.EditFailure_KIND_INVALID, Findings: findingsToProto(invalidEdit.Findings)}
	case errors.As(err, &unavailable):
		return connect.CodeUnavailable, &pb.EditFailure{Kind: pb.EditFailure_KIND_STORE_UNAVAILABLE, StepOne: unavailable.StepOneVersion}
	case errors.As(err, &outcomeUnknown):
		return connect.CodeUnknown, &pb.EditFailure{Kind: pb.EditFailure_KIND_OUTCOME_UNKNOWN}
	case errors.As(err, &contention):
		return connect.CodeAborted, &pb.EditFailure{Kind: pb.EditFailure_KIND_CONTENTION, StepOne: contention.StepOneVersion}
	case errors.As(err, &notInForce):
		return connect.CodeDeadlineExceeded, &pb.EditFailure{Kind: pb.EditFailure_KIND_NOT_IN_FORCE,
			Version: notInForce.Version, StepOne: notInForce.StepOneVersion}
	case errors.As(err, &baseUnknown):
		return connect.CodeFailedPrecondition, &pb.EditFailure{Kind: pb.EditFailure_KIND_BASE_UNKNOWN, Version: baseUnknown.Base}
	}
	return connect.CodeInternal, nil
}

func findingsToProto(found findings.Findings) []*pb.EditFinding {
	out := make([]*pb.EditFinding, 0, len(found))
	for _, f := range found {
		out = append(out, &pb.EditFinding{File: f.File, Path: f.Path, Message: f.Message})
	}
	return out
}

// Decode returns the EditFailure detail of a connect error, or nil if there is
// none.
func Decode(err error) *pb.EditFailure {
	var c *connect.Error
	if !errors.As(err, &c) {
		return nil
	}
	for _, detail := range c.Details() {
		if value, err := detail.Value(); err == nil {
			if failure, ok := value.(*pb.EditFailure); ok {
				return failure
			}
		}
	}
	return nil
}
