package target

import (
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
