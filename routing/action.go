package routing

import (
	"time"

	"sequoiasail.example/types"
)

// ActionKind says which output an Action carries.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionForward sends a request to a dispatcher. Fills Action.Forward.
	ActionForward ActionKind = iota + 1
	// ActionReply answers the caller. Fills Action.Reply.
	ActionReply
	// ActionCancel cancels an attempt whose answer is no longer needed. Fills Action.Cancel.
	ActionCancel
	// ActionDecision is one line of the decision log. Fills Action.Decision.
	ActionDecision
)

// Action is one output of the Core. Only the field that the comment of its Kind names is set.
type Action struct {
	Kind     ActionKind
	Forward  Forward
	Reply    Reply
	Cancel   Cancel
	Decision Decision
}

// Forward sends one attempt of a request. It must be answered by one Result.
type Forward struct {
	Handle     uint64
	Attempt    uint8
	VM         types.VM
	Target     types.TargetID
	Slot       types.Slot
	SlotEpoch  types.Epoch
	LeaseEpoch types.Epoch
	// Remaining is the time that the dispatcher has to answer.
	Remaining time.Duration
}

// Reply ends a request. Attempt is the number of the attempt whose answer the caller receives, or 0 when the Core
// itself answers.
type Reply struct {
	Handle  uint64
	Attempt uint8
	Outcome types.Outcome
	Code    types.Code // empty when Outcome is done
}

// Cancel cancels one attempt at the dispatcher on VM.
type Cancel struct {
	Handle  uint64
	Attempt uint8
	VM      types.VM
}

// Decision records why a request was routed, held, retried or refused. Fields that do not apply are empty.
type Decision struct {
	Handle     uint64
	Key        types.KeyHash
	Attempt    uint8
	Target     types.TargetID
	VM         types.VM
	SlotEpoch  types.Epoch
	LeaseEpoch types.Epoch
	Reason     Reason
	Outcome    types.Outcome
	Code       types.Code
}

// Reason is the reason of a Decision.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonSlot forwards to the owner of the key's slot.
	ReasonSlot Reason = iota + 1
	// ReasonHotKey forwards to the owner of the key's hot-key row.
	ReasonHotKey
	// ReasonTwoChoices forwards to the better of two random targets.
	ReasonTwoChoices
	// ReasonPinned forwards to the target that the request names.
	ReasonPinned
	// ReasonHome forwards to the home of the request's identifier.
	ReasonHome
	// ReasonHedge forwards a second attempt because the first is slow.
	ReasonHedge
	// ReasonWaitOwner holds the request until its key has an owner.
	ReasonWaitOwner
	// ReasonWaitRoute holds the request until its target has a reachable dispatcher.
	ReasonWaitRoute
	// ReasonWaitNewerRow holds the request until a row newer than the refused one arrives.
	ReasonWaitNewerRow
	// ReasonBackoff holds the request until its retry is due.
	ReasonBackoff
	// ReasonAnswered passes on the failure of an attempt that may not be retried.
	ReasonAnswered
	// ReasonRetryBudget refuses because the retry budget is used up.
	ReasonRetryBudget
	// ReasonAttempts refuses because MaxAttempts attempts were made.
	ReasonAttempts
	// ReasonDeadline refuses because the deadline leaves no time for an attempt, or has passed.
	ReasonDeadline
	// ReasonNoRoute refuses because no route appeared within TakeoverWait, or none can appear.
	ReasonNoRoute
	// ReasonOverloaded refuses because a bound on requests is reached.
	ReasonOverloaded
	// ReasonCancelled ends a request whose caller has gone.
	ReasonCancelled
	// ReasonDuplicate ignores a request whose handle is in use.
	ReasonDuplicate
	// ReasonEjected stops using a failing target for a while.
	ReasonEjected
	// ReasonOutdated ignores a configuration or row older than the installed one.
	ReasonOutdated
)

var reasonNames = [...]string{
	ReasonSlot: "slot", ReasonHotKey: "hot-key", ReasonTwoChoices: "two-choices", ReasonPinned: "pinned", ReasonHome: "home",
	ReasonHedge: "hedge", ReasonWaitOwner: "wait-owner", ReasonWaitRoute: "wait-route",
	ReasonWaitNewerRow: "wait-newer", ReasonBackoff: "backoff", ReasonAnswered: "answered", ReasonRetryBudget: "retry-budget",
	ReasonAttempts: "attempts", ReasonDeadline: "deadline", ReasonNoRoute: "no-route",
	ReasonOverloaded: "overloaded", ReasonCancelled: "cancelled", ReasonDuplicate: "duplicate-handle",
	ReasonEjected: "ejected", ReasonOutdated: "outdated",
}

// String returns the name used in log lines.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "invalid"
}
