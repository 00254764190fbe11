package types

// Outcome is the result of a request as reported to its caller.
type Outcome uint8

const (
	// OutcomeUnknown means that the target may or may not have run the request.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the target ran the request and its response is complete.
	OutcomeDone
	// OutcomeNotRun means that no target has run or will run the request.
	OutcomeNotRun
)

var outcomeNames = [...]string{"unknown", "done", "not-run"}

// String returns the name used in the Sail-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[OutcomeUnknown]
}

// Class is the class of a request. It determines whether the request may be resent and how long it may wait.
type Class uint8

const (
	// ClassLookup is an idempotent read for which a late response is useless.
	ClassLookup Class = iota
	// ClassOrder is a non-idempotent request that may wait but must not be lost.
	ClassOrder
	// ClassConfirmation is a non-idempotent request that settles payment.
	ClassConfirmation
	// ClassCount is the number of classes.
	ClassCount
)

var classNames = [...]string{"lookup", "order", "confirmation"}

// String returns the name used in the configuration.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class named s, or a CodeBadSettings fault.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if name == s {
			return Class(i), nil
		}
	}
	return 0, NewFault(CodeBadSettings, "unknown request class %q", s)
}

// Idempotent reports whether requests of the class may run more than once.
func (c Class) Idempotent() bool { return c == ClassLookup }
