package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// Kinds of actions. Each names the fields it sets.
const (
	// ActionNone is the zero value and is never emitted.
	ActionNone ActionKind = iota
	// ActionSend: Handle, Attempt, Target, Connection, NewConnection, Deadline, Epoch, ValidUntil. Send the request on
	// this connection. The process answers with exactly one MessageResult, also when it could not start. It writes nothing
	// at or after ValidUntil and then answers ResultNotStarted: the VM may be paused between the decision and the write,
	// and not every target checks grants.
	ActionSend
	// ActionCancelSend: Handle, Attempt, Target, Connection. Close the connection. The result still follows.
	ActionCancelSend
	// ActionReply: Handle, Outcome, Code, Replay, Target, Latency, Depth. Answer the caller. With outcome done the answer
	// is the one stored under Replay. Latency and Depth describe the target, for gateways that choose targets. With
	// CodeNotLeaseHolder and CodeStaleEpoch nothing was sent, so the gateway may route the request again, whatever the
	// outcome: it is unknown when the identifier may have been sent by another dispatcher earlier.
	ActionReply
	// ActionStoreCopy: Handle, Entry. Copy the entry, and the answer if its state is EntryAnswered, to the second
	// dispatcher. Only an entry with state EntrySent is followed by MessageCopyDone.
	ActionStoreCopy
	// ActionForget: Handle. Delete the body and the answer.
	ActionForget
	// ActionAnnounceQuarantine: Quarantine. Send the fingerprint's death count to all dispatchers.
	ActionAnnounceQuarantine
	// ActionCloseConnection: Target, Connection. Close an idle connection.
	ActionCloseConnection
	// ActionSlotIdle: Target, Slot, HotKey, Key, Epoch. A released slot or hot key has no request in flight any more, so
	// its release may be confirmed.
	ActionSlotIdle
	// ActionReportTarget: Target, Condition, Latency, Depth, Epoch. Report the target's new condition to the planner and
	// the gateways.
	ActionReportTarget
	// ActionDecision: Handle, Attempt, Target, Epoch, Reason, Code, Outcome, ID, Key. Write one line to the log.
	ActionDecision
)

// Action is one output of the core.
type Action struct {
	Kind      ActionKind
	Outcome   types.Outcome
	Reason    Reason
	Condition Condition
	// NewConnection is true when the process must open a new connection before it sends.
	NewConnection bool
	Attempt       Attempt
	Connection    int
	Handle        Handle
	// Replay is the handle of the stored answer to reply with. It equals Handle for the request's own answer.
	Replay     Handle
	Target     types.TargetID
	Deadline   types.Instant
	ValidUntil types.Instant
	Epoch      types.Epoch
	Code       types.Code
	// Latency is the target's recent average answer time.
	Latency time.Duration
	// Depth is the number of the target's requests that are queued or in flight.
	Depth      int
	ID         types.RequestID
	Key        types.KeyHash
	Slot       types.Slot
	HotKey     bool
	Entry      Entry
	Quarantine Quarantine
}

// Condition is the health of a target, as observed by the core.
type Condition uint8

// Conditions of a target.
const (
	// ConditionHealthy: none of the other conditions holds.
	ConditionHealthy Condition = iota
	// ConditionSuspectedDead: a new connection failed.
	ConditionSuspectedDead
	// ConditionStraggler: answers of some class take far longer than the median of the service's targets.
	ConditionStraggler
	// ConditionCold: the concurrency limit is reduced and rising, after a cold start or a refusal by the target.
	ConditionCold
	// ConditionDrained: no request is in flight and none will be sent.
	ConditionDrained
)

var conditionNames = [...]string{
	ConditionHealthy: "healthy", ConditionSuspectedDead: "suspected-dead", ConditionStraggler: "straggler",
	ConditionCold: "cold", ConditionDrained: "drained",
}

// String returns the name used in logs.
func (c Condition) String() string { return conditionNames[c] }

// Reason is the cause of a logged decision.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonNone is the zero value: the action is not a decision.
	ReasonNone Reason = iota
	// ReasonAnswered: the target's own answer was passed on.
	ReasonAnswered
	// ReasonRemembered: a resend was answered from the deduplication table.
	ReasonRemembered
	// ReasonJoined: a resend waits for the answer of the request in progress.
	ReasonJoined
	// ReasonIDReused: the identifier belongs to a request with another fingerprint.
	ReasonIDReused
	// ReasonMemoryLost: the deduplication table doesn't cover the identifier.
	ReasonMemoryLost
	// ReasonClockAhead: the identifier is dated in the future.
	ReasonClockAhead
	// ReasonNotHolder: this dispatcher does not hold the target's lease.
	ReasonNotHolder
	// ReasonStaleEpoch: the gateway routed by another lease epoch, slot epoch or home.
	ReasonStaleEpoch
	// ReasonQueueFull: the class has no place left for this caller.
	ReasonQueueFull
	// ReasonTooLate: the request cannot finish before its deadline.
	ReasonTooLate
	// ReasonQuarantined: requests with the fingerprint were in flight at two deaths of targets.
	ReasonQuarantined
	// ReasonDraining: the target or the process takes no new work.
	ReasonDraining
	// ReasonCancelled: the caller no longer waits.
	ReasonCancelled
	// ReasonRefusedByTarget: the target said that it did not run the request.
	ReasonRefusedByTarget
	// ReasonTargetFailed: the connection or the answer broke.
	ReasonTargetFailed
	// ReasonDeadline: the deadline passed.
	ReasonDeadline
	// ReasonRetry: the request is sent again.
	ReasonRetry
	// ReasonRetryBudget: the retry budget is used up.
	ReasonRetryBudget
	// ReasonLateResult: a result belongs to no attempt in flight and was dropped.
	ReasonLateResult
	// ReasonCopyFailed: no second dispatcher confirmed the copy of the entry.
	ReasonCopyFailed
	// ReasonSilentConnection: a connection without progress was closed. Idempotent requests are retried on a new
	// one at once, other connections are closed when a newer one answers.
	ReasonSilentConnection
	// ReasonTargetDied: the target's death was counted against the requests that were in flight.
	ReasonTargetDied
	// ReasonUnknownService: the configuration has no such service or target.
	ReasonUnknownService
	// ReasonTableFull: the deduplication table has no place left.
	ReasonTableFull
)

var reasonNames = [...]string{
	ReasonNone:             "none",
	ReasonAnswered:         "answered",
	ReasonRemembered:       "remembered",
	ReasonJoined:           "joined",
	ReasonIDReused:         "request-id-reused",
	ReasonMemoryLost:       "memory-lost",
	ReasonClockAhead:       "clock-ahead",
	ReasonNotHolder:        "not-lease-holder",
	ReasonStaleEpoch:       "stale-epoch",
	ReasonQueueFull:        "queue-full",
	ReasonTooLate:          "too-late",
	ReasonQuarantined:      "quarantined",
	ReasonDraining:         "draining",
	ReasonCancelled:        "cancelled",
	ReasonRefusedByTarget:  "refused-by-target",
	ReasonTargetFailed:     "target-failed",
	ReasonDeadline:         "deadline",
	ReasonRetry:            "retry",
	ReasonRetryBudget:      "retry-budget",
	ReasonLateResult:       "late-result",
	ReasonCopyFailed:       "copy-failed",
	ReasonSilentConnection: "silent-connection",
	ReasonTargetDied:       "target-died",
	ReasonUnknownService:   "unknown-service",
	ReasonTableFull:        "table-full",
}

// String returns the name used in logs.
func (r Reason) String() string { return reasonNames[r] }
