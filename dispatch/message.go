package dispatch

import (
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Handle names one request inside one dispatcher process. The process keeps the request's body and the answer under
// its handle until the core emits ActionForget for it. A handle is never used twice.
type Handle uint64

// Attempt counts the sends of one request, from 1.
type Attempt uint32

// Fingerprint is a hash of method, service, key and body. It is independent of the request identifier.
type Fingerprint uint64

// MessageKind says which fields of a Message are set.
type MessageKind uint8

// Kinds of messages. Each names the fields it uses.
const (
	// MessageNone is the zero value and is ignored.
	MessageNone MessageKind = iota
	// MessageRequest: Handle, Request. A gateway passed a request on.
	MessageRequest
	// MessageCancel: Handle. The caller no longer waits.
	MessageCancel
	// MessageResult: Handle, Result. Each ActionSend is followed by exactly one result.
	MessageResult
	// MessageServe: Target, Lease. The ownership duty acquired or renewed the target's lease.
	MessageServe
	// MessageStopServing: Target. The lease was released or lost.
	MessageStopServing
	// MessageSlotOwned: Target, Slot. The target owns a slot or hot key under the given epoch. Rows of hot keys are also
	// told when another dispatcher's target is the owner, because they take the key out of its slot.
	MessageSlotOwned
	// MessageSlotReleased: Target, Slot. The target no longer owns a slot or hot key.
	MessageSlotReleased
	// MessageMemoryReset: Target, Lease.WallMs. Requests for the target may have gone to other dispatchers before WallMs,
	// although its lease did not move. Identifiers minted before are answered unknown.
	MessageMemoryReset
	// MessageHomes: Target.Service, Homes, Lease.WallMs. The targets among which the identifiers of a service without keys
	// are divided, see the type Homes. The set must come from what the renewal permit confirms, so that no dispatcher sends by an
	// older one for longer than permit and margin. Pinned writes must follow it, too.
	MessageHomes
	// MessageCopyDone: Handle, Stored. The second dispatcher stored the entry, or could not be reached.
	MessageCopyDone
	// MessageCopyStored: Handle, Entry. Another dispatcher sent a copy of an entry. Handle names the answer's payload.
	MessageCopyStored
	// MessageQuarantined: Quarantine. A peer announced a fingerprint.
	MessageQuarantined
	// MessageDrain: Drain.
	MessageDrain
	// MessageConfiguration: Configuration. It is read, never written, and must not change afterwards.
	MessageConfiguration
)

// Message is one input of the core.
type Message struct {
	Kind          MessageKind
	Handle        Handle
	Target        types.TargetID
	Request       Request
	Result        Result
	Lease         Lease
	Slot          SlotRow
	Stored        bool
	Entry         Entry
	Quarantine    Quarantine
	Drain         Drain
	Configuration *config.Configuration
	// Homes is read, never written, and must not change afterwards.
	Homes []types.Target
}

// Request describes a request without its body.
type Request struct {
	ID     types.RequestID
	Caller types.Caller
	Target types.TargetID
	Key    types.KeyHash
	Slot   types.Slot
	// HotKey is true when the gateway routed by a hot-key row. SlotEpoch is then the epoch of that row.
	HotKey bool
	Class  types.Class
	// Idempotent requests may run more than once and are not remembered.
	Idempotent bool
	// MintedMs is when the caller created the identifier, in Unix milliseconds (header Request-Time).
	MintedMs int64
	// WallMs is the dispatcher's wall time at receipt, in Unix milliseconds.
	WallMs   int64
	Deadline types.Instant
	// LeaseEpoch and SlotEpoch are what the gateway routed by.
	LeaseEpoch  types.Epoch
	SlotEpoch   types.Epoch
	Fingerprint Fingerprint
}

// ResultKind says what happened to one attempt.
type ResultKind uint8

// Kinds of results.
const (
	// ResultAnswered: a complete answer arrived, whatever its status.
	ResultAnswered ResultKind = iota
	// ResultRefused: the target said that it did not run the request.
	ResultRefused
	// ResultNotWritten: the connection failed before any byte of the request was written.
	ResultNotWritten
	// ResultBroken: the connection failed after bytes were written.
	ResultBroken
	// ResultTimedOut: the deadline passed or the send was cancelled after bytes were written.
	ResultTimedOut
	// ResultCutBody: the answer ended before its announced length.
	ResultCutBody
	// ResultNotStarted: the process gave the attempt up before any byte was written, because it was cancelled, the lease
	// ended or the connection's duty was busy. It says nothing about the target.
	ResultNotStarted
	// ResultKindCount is the number of result kinds.
	ResultKindCount
)

// LoadUnknown is the load of a result without a load report.
const LoadUnknown = -1

// Result reports one attempt.
type Result struct {
	Attempt    Attempt
	Connection int
	Kind       ResultKind
	// Latency is the time from the first byte sent to the last byte received.
	Latency time.Duration
	Status  int
	// Incarnation is the target's own, from the answer. 0 when absent.
	Incarnation types.Incarnation
	// Load is the number of requests the target says it is running, or LoadUnknown.
	Load int
}

// Lease is the right to send to a target.
type Lease struct {
	Epoch types.Epoch
	// ValidUntil is on this VM's boot-time clock. Nothing is sent at or after it.
	ValidUntil types.Instant
	// WallMs is the wall time of this message, in Unix milliseconds. The first message of an epoch dates the takeover.
	WallMs int64
	// Incarnation is the target's, from the answer to the grant. 0 when unknown.
	Incarnation types.Incarnation
	// Warm is true when the target is known not to have restarted since it last ran at full load. It is read with the
	// first message of an epoch, which otherwise starts a ramp.
	Warm bool
}

// SlotRow names a slot, or a hot key when Hot is true.
type SlotRow struct {
	Slot  types.Slot
	Hot   bool
	Key   types.KeyHash
	Epoch types.Epoch
	// Removed is true when a hot key's row is gone from the table, so that its slot's row governs the key again.
	Removed bool
	// MemorySinceMs is the wall time, in Unix milliseconds, since which all requests for the slot went through this
	// dispatcher. It is the time of the move, unless the slot moved between two targets of this dispatcher.
	MemorySinceMs int64
}

// EntryState is how far a remembered request got.
type EntryState uint8

const (
	// EntrySent: the request may have been sent.
	EntrySent EntryState = iota
	// EntryAnswered: the request ran and its answer is kept.
	EntryAnswered
	// EntryUnknown: the request may have run and no answer will come.
	EntryUnknown
	// EntryNotRun: the request was never run. The entry is removed.
	EntryNotRun
)

// Entry is one line of the deduplication table as it travels between dispatchers.
type Entry struct {
	Service types.Service
	// Target ran the request, or may have. Key is the request's key.
	Target      types.Target
	Key         types.KeyHash
	Caller      types.Caller
	ID          types.RequestID
	Fingerprint Fingerprint
	Class       types.Class
	State       EntryState
}

// Quarantine is a fingerprint that was in flight at deaths of targets.
type Quarantine struct {
	From        types.VM
	Service     types.Service
	Fingerprint Fingerprint
	// Deaths is the number of deaths seen by the sender: 1 for a suspect, 2 for a quarantined fingerprint.
	Deaths uint8
	// AgeMs is the time since the last death, in milliseconds.
	AgeMs int64
}

// Drain takes a target or the whole process out of service, or back into it.
type Drain struct {
	// Process drains all targets. Target is then ignored.
	Process bool
	Target  types.TargetID
	// Off ends the drain.
	Off bool
}
