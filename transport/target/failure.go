package target

import (
	"errors"
	"net/http"

	"sequoiasail.example/transport/internal/exchange"
	"sequoiasail.example/types"
)

// Kind says how a request failed.
type Kind uint8

// Kinds of failures.
const (
	// KindNotWritten means that the connection failed before any byte of the request was written.
	KindNotWritten Kind = iota
	// KindRefused means that the target refused the request before running it.
	KindRefused
	// KindWritten means that the connection failed after bytes were written and before an answer arrived.
	KindWritten
	// KindBodyCut means that the answer started but its body was cut short.
	KindBodyCut
	// KindTimeout means that the deadline passed.
	KindTimeout
	// KindCancelled means that the context was cancelled.
	KindCancelled
	// KindBadAnswer means that the answer broke a limit, for example on its length.
	KindBadAnswer
)

var kindNames = [...]string{"not-written", "refused", "written", "body-cut", "timeout", "cancelled", "bad-answer"}

// String returns the name used in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Failure is the error of Do.
type Failure struct {
	Kind Kind
	// BytesWritten is true when any byte of the request may have been written to a connection.
	BytesWritten bool
	// Incarnation and Load are those of a refusal, zero for other kinds.
	Incarnation types.Incarnation
	Load        Load
	// Fault has outcome not-run when NotRun is true, else unknown.
	Fault *types.Fault
}

// Error returns the kind and the fault.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Fault.Error() }

// Unwrap returns the fault.
func (f *Failure) Unwrap() error { return f.Fault }

// NotRun reports whether the target certainly has not run and will not run the request.
func (f *Failure) NotRun() bool { return f.Kind == KindRefused || !f.BytesWritten }

// doFailure classifies a failed exchange.
func doFailure(err error) *Failure {
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
		return KindBadAnswer, types.CodeBodyTooLarge
	case e.Stage == exchange.StageBody:
		return KindBodyCut, types.CodeTruncatedBody
	}
	return KindWritten, types.CodeTargetFailed
}

// checkAnswer returns the failure of a refusal or of an answer to another request, else nil.
func checkAnswer(r Request, a exchange.Answer) *Failure {
	if id := a.Header.Get(HeaderRequestID); id != "" && id != string(r.RequestID) {
		return newFailure(KindBadAnswer, true, types.NewFault(types.CodeTargetFailed, "answer to request %s", id))
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
