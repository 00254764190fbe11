package types

import (
	"errors"
	"fmt"
)

// Code is a stable, machine-readable kind of failure. Codes appear in responses to callers, log lines and exit
// messages.
type Code string

const (
	CodeBadRequest        Code = "bad-request"
	CodeBadSettings       Code = "bad-settings"
	CodeBadConfiguration  Code = "bad-configuration"
	CodeUnknownService    Code = "unknown-service"
	CodeMissingKey        Code = "missing-key"
	CodeBodyTooLarge      Code = "body-too-large"
	CodeTruncatedBody     Code = "truncated-body"
	CodeHeadersTooLarge   Code = "headers-too-large"
	CodeBadDeadline       Code = "bad-deadline"
	CodeUnauthorized      Code = "unauthorized" // the request needs the API key of a customer
	CodeMissingRequestID  Code = "missing-request-id"
	CodeRequestIDReused   Code = "request-id-reused"
	CodeDeadlineExceeded  Code = "deadline-exceeded"
	CodeOverloaded        Code = "overloaded"
	CodeOverQuota         Code = "over-quota" // the customer is above its limit
	CodeShuttingDown      Code = "shutting-down"
	CodeCancelled         Code = "cancelled"
	CodeNoOwner           Code = "no-owner"            // no target owns the key
	CodeNoRoute           Code = "no-route"            // no target can be chosen for the request
	CodeNotLeaseHolder    Code = "not-lease-holder"    // the lease of the target is held by another process or by none
	CodeStaleToken        Code = "stale-token"         // the token of a grant is missing, used, expired or of another incarnation
	CodeStaleEpoch        Code = "stale-epoch"         // the caller's epoch or version is lower than the current one
	CodeQuarantined       Code = "quarantined"         // targets that ran the request have died
	CodeRequestMemoryLost Code = "request-memory-lost" // the request may have run before its target changed dispatcher
	CodeTargetFailed      Code = "target-failed"
	CodeTargetRefused     Code = "target-refused"
	CodeConflict          Code = "conflict" // the value was changed by another writer
	CodeNotFound          Code = "not-found"
	CodeStoreUnavailable  Code = "store-unavailable"
	CodeAnswerLost        Code = "answer-lost"      // no answer arrived, the call may have taken effect
	CodePeerUnavailable   Code = "peer-unavailable" // another process of the fleet did not answer
	CodePanic             Code = "panic"
	CodeTimeout           Code = "timeout"
	CodeInternal          Code = "internal"
)

// Fault is the error type of all modules.
type Fault struct {
	Code    Code
	Outcome Outcome // what is known about the request that failed
	Path    string  // location in settings or configuration, empty elsewhere
	Message string
	cause   error
}

// NewFault returns a fault with the outcome unknown.
func NewFault(code Code, format string, args ...any) *Fault {
	return &Fault{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WrapFault returns a fault that wraps cause for errors.Is and errors.As.
func WrapFault(code Code, cause error, format string, args ...any) *Fault {
	f := NewFault(code, format, args...)
	f.cause = cause
	return f
}

// NotRun returns a fault for a request that no target has run, with the outcome not-run.
func NotRun(code Code, format string, args ...any) *Fault {
	f := NewFault(code, format, args...)
	f.Outcome = OutcomeNotRun
	return f
}

// Error returns the code, the path, the message and the cause; path and cause only where present.
func (f *Fault) Error() string {
	s := string(f.Code) + ": "
	if f.Path != "" {
		s += f.Path + ": "
	}
	s += f.Message
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s
}

// Unwrap returns the wrapped cause, or nil.
func (f *Fault) Unwrap() error { return f.cause }

// CodeOf returns the code of the first fault in err's chain, or CodeInternal.
func CodeOf(err error) Code {
	var f *Fault
	if errors.As(err, &f) {
		return f.Code
	}
	return CodeInternal
}
