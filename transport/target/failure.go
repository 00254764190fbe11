package target

import (
	"errors"
	"net/http"

	"sequoiasail.example/transport/internal/exchange"
	"sequoiasail.example/types"
)

// Kind classifies the failure of a request.
type Kind uint8

// Kinds of failures.
const (
	// KindNotWritten means that the connection failed before any byte of the request was written.
	KindNotWritten Kind = iota
	// KindRefused means that the target refused the request before running it.
	KindRefused
	// KindWritten means that the connection failed after bytes were written and before a response arrived.
	KindWritten
	// KindBodyTruncated means that the response header arrived but the body was truncated.
	KindBodyTruncated
	// KindTimeout means that the deadline passed.
	KindTimeout
	// KindCancelled means that the context was cancelled.
	KindCancelled
	// KindBadResponse means that the response was unusable: its body was too large or it belonged to another request.
	KindBadResponse
)

var kindNames = [...]string{"not-written", "refused", "written", "body-cut", "timeout", "cancelled", "bad-answer"}

// String returns the name used in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Failure is the error type of Client.Do.
type Failure struct {
	Kind Kind
	// BytesWritten is true when any byte of the request may have been written to a connection.
	BytesWritten bool
	// Incarnation and Load are those that the target reported with a refusal, zero for other kinds.
	Incarnation types.Incarnation
	Load        Load
	// Fault is the wrapped fault. Its outcome is not-run when NotRun is true, otherwise unknown.
	Fault *types.Fault
}

// Error returns the kind and the fault.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Fault.Error() }

// Unwrap returns the fault.
func (f *Failure) Unwrap() error { return f.Fault }

// NotRun reports whether it is certain that the target has not run and will not run the request.
func (f *Failure) NotRun() bool { return f.Kind == KindRefused || !f.BytesWritten }

// exchangeFailure returns the failure of a failed exchange.
func exchangeFailure(err error) *Failure {
	var e *exchange.Error
	if !errors.As(err, &e) {
		return newFailure(KindWritten, true, types.WrapFault(types.CodeInternal, err, "request to target"))
	}
	kind, code := classify(e)
	return newFailure(kind, e.Written, types.WrapFault(code, err, "request to target"))
}

func classify(e *exchange.Error) (Kind, types.Code) {
	switch {
	case e.TimedOut:
		return KindTimeout, types.CodeTimeout
	case e.Cancelled:
		return KindCancelled, types.CodeCancelled
	case !e.Written:
		return KindNotWritten, types.CodeTargetFailed
	case e.TooLong():
		return KindBadResponse, types.CodeBodyTooLarge
	case e.Stage == exchange.StageBody:
		return KindBodyTruncated, types.CodeTruncatedBody
	}
	return KindWritten, types.CodeTargetFailed
}

// checkResponse returns the failure when the response is a refusal or does not have the ID of the request, otherwise nil. A
// target may repeat an earlier response, so one without an ID proves nothing about this request.
func checkResponse(r Request, a exchange.Answer) *Failure {
	if ids := a.Header.Values(HeaderRequestID); len(ids) != 1 || ids[0] != string(r.RequestID) {
		return newFailure(KindBadResponse, true, types.NewFault(types.CodeTargetFailed, "answer to request %q", ids))
	}
	if a.Status != http.StatusServiceUnavailable || a.Header.Get(HeaderNotRun) != "true" {
		return nil
	}
	code := types.Code(a.Header.Get(HeaderCode))
	if !refusalCodes[code] {
		code = types.CodeTargetRefused
	}
	f := newFailure(KindRefused, true, types.NewFault(code, "target refused the request"))
	f.Incarnation = parseIncarnation(a.Header.Get(HeaderIncarnation))
	f.Load = parseLoad(a.Header.Get(HeaderLoad))
	return f
}

func newFailure(kind Kind, written bool, fault *types.Fault) *Failure {
	f := &Failure{Kind: kind, BytesWritten: written, Fault: fault}
	if f.NotRun() {
		fault.Outcome = types.OutcomeNotRun
	}
	return f
}
