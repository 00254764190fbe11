package exchange

import (
	"context"
	"errors"

	"sequoiasail.example/types"
)

// Stage says how far a failed exchange came.
type Stage uint8

// Stages of an exchange.
const (
	// StageConnect means that no byte of the request was written.
	StageConnect Stage = iota
	// StageAnswer means that bytes were written and no answer arrived.
	StageAnswer
	// StageBody means that the answer started and its body did not arrive whole.
	StageBody
)

var (
	errNoLength = types.NewFault(types.CodeTruncatedBody, "answer has no declared length")
	errTooLong  = types.NewFault(types.CodeBodyTooLarge, "answer is too long")
)

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

// TooLong reports whether the answer broke the limit on its length.
func (e *Error) TooLong() bool { return errors.Is(e.Cause, errTooLong) }

func stageOf(written bool) Stage {
	if written {
		return StageAnswer
	}
	return StageConnect
}

func failure(ctx context.Context, s Stage, written bool, cause error) *Error {
	return &Error{
		Stage:     s,
		Written:   written,
		TimedOut:  errors.Is(ctx.Err(), context.DeadlineExceeded),
		Cancelled: errors.Is(ctx.Err(), context.Canceled),
		Cause:     cause,
	}
}
