package exchange

import (
	"context"
	"errors"

	"sequoiasail.example/types"
)

// Stage is the stage at which an exchange failed.
type Stage uint8

// Stages of an exchange.
const (
	// StageConnect means that no byte of the request was written.
	StageConnect Stage = iota
	// StageResponse means that bytes were written and no response arrived.
	StageResponse
	// StageBody means that the response header arrived and the complete body did not.
	StageBody
)

var errInvalidStatus = types.NewFault(types.CodeTargetFailed, "invalid status")

var errNoContentLength = types.NewFault(types.CodeTruncatedBody, "answer has no declared length")

// Error is the failure of an exchange.
type Error struct {
	Stage Stage
	// Written is true when any byte of the request may have been written.
	Written bool
	// TimedOut is true when the deadline of the context passed.
	TimedOut bool
	// Cancelled is true when the context was cancelled.
	Cancelled bool
	Cause     error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// TooLong reports whether the response body exceeded MaxResponseBytes, or what is left of the Budget.
func (e *Error) TooLong() bool { return types.CodeOf(e.Cause) == types.CodeBodyTooLarge }

func failedStage(written bool) Stage {
	if written {
		return StageResponse
	}
	return StageConnect
}

func newError(ctx context.Context, s Stage, written bool, cause error) *Error {
	return &Error{
		Stage:     s,
		Written:   written,
		TimedOut:  errors.Is(ctx.Err(), context.DeadlineExceeded),
		Cancelled: errors.Is(ctx.Err(), context.Canceled),
		Cause:     cause,
	}
}
