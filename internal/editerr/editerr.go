// Package editerr carries the typed errors of an edit over the operator
// interface.
package editerr

import (
	"errors"

	"connectrpc.com/connect"

	"cuminshift/internal/config"
	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Encode returns a connect error with an EditFailure for each typed error of
// an edit; other errors become internal ones.
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
		invalid     *findings.Error
		conflict    *config.ConflictError
		unavailable *config.StoreUnavailableError
		unknown     *config.OutcomeUnknownError
		contention  *config.ContentionError
		notInForce  *config.NotInForceError
		base        *config.BaseUnknownError
	)
	switch {
	case errors.As(err, &conflict):
		return connect.CodeAborted, &pb.EditFailure{Kind: pb.EditFailure_KIND_CONFLICT, Yours: conflict.Yours,
			Theirs: conflict.Theirs, TheirEdits: conflict.TheirEdits, Findings: wire(conflict.Findings), StepOne: conflict.StepOneVersion}
	case errors.As(err, &invalid):
		return connect.CodeInvalidArgument, &pb.EditFailure{Kind: pb.EditFailure_KIND_INVALID, Findings: wire(invalid.Findings)}
	case errors.As(err, &unavailable):
		return connect.CodeUnavailable, &pb.EditFailure{Kind: pb.EditFailure_KIND_STORE_UNAVAILABLE, StepOne: unavailable.StepOneVersion}
	case errors.As(err, &unknown):
		return connect.CodeUnknown, &pb.EditFailure{Kind: pb.EditFailure_KIND_OUTCOME_UNKNOWN}
	case errors.As(err, &contention):
		return connect.CodeAborted, &pb.EditFailure{Kind: pb.EditFailure_KIND_CONTENTION, StepOne: contention.StepOneVersion}
	case errors.As(err, &notInForce):
		return connect.CodeDeadlineExceeded, &pb.EditFailure{Kind: pb.EditFailure_KIND_NOT_IN_FORCE,
			Version: notInForce.Version, StepOne: notInForce.StepOneVersion}
	case errors.As(err, &base):
		return connect.CodeFailedPrecondition, &pb.EditFailure{Kind: pb.EditFailure_KIND_BASE_UNKNOWN, Version: base.Base}
	}
	return connect.CodeInternal, nil
}

func wire(found findings.Findings) []*pb.EditFinding {
	out := make([]*pb.EditFinding, 0, len(found))
	for _, f := range found {
		out = append(out, &pb.EditFinding{File: f.File, Path: f.Path, Message: f.Message})
	}
	return out
}

// Decode returns the EditFailure of an error, or nil.
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
