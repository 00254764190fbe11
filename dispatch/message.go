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
	// sent when the owner is a target of another dispatcher, because they override the key's slot.
	MessageSlotOwned
	// MessageSlotReleased: Target, Slot. The target no longer owns a slot or hot key.
	MessageSlotReleased
	// MessageCoverageReset: Target, Lease.WallMs. Requests for the target may have gone to other dispatchers before WallMs,
	// although its lease did not move. Requests with identifiers created before are answered as unknown.
	MessageCoverageReset
	// MessageHomes: Target.Service, Homes, Lease.WallMs. The targets among which the identifiers of a service without keys
	// are divided, see the type Homes. The set must come from state that the renewal permit (package ownership) confirms,
	// so that no dispatcher sends by an older set for longer than permit and margin. Gateways must send a non-idempotent
	// request to its home even when the caller pinned it to another target.
	MessageHomes
	// MessageCopyDone: Handle, Stored. The second dispatcher stored the entry, or could not be reached.
	MessageCopyDone
	// MessageCopyStored: Handle, Entry. Another dispatcher sent a copy of an entry. Handle names the answer's payload.
	MessageCopyStored
	// MessageQuarantined: Quarantine. A peer announced a fingerprint's death count.
	MessageQuarantined
	// MessageDrain: Drain. The drain of a target or of the process starts or ends.
	MessageDrain
	// MessageConfiguration: Configuration. The core only reads the configuration, which must not change afterwards.
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
	// Homes is only read by the core and must not change afterwards.
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
	// Idempotent requests may run more than once and have no entry in the deduplication table.
	Idempotent bool
	// MintedMs is when the caller created the identifier, in Unix milliseconds (header Request-Time).
	MintedMs int64
	// WallMs is the dispatcher's wall time at receipt, in Unix milliseconds.
	WallMs   int64
	Deadline types.Instant
	// LeaseEpoch and SlotEpoch are the epochs by which the gateway routed the request.
	LeaseEpoch  types.Epoch
	SlotEpoch   types.Epoch
	Fingerprint Fingerprint
	// NoMemory is true when the process has no memory for another identifier with its answer. Requests that are not idempotent are
	// then refused, except for resends, which need none.
	NoMemory bool
}

// ResultKind is the way in which an attempt ended.
type ResultKind uint8

// Kinds of results.
const (
	// ResultAnswered: a complete answer arrived, whatever its status.
	ResultAnswered ResultKind = iota
	// ResultRefused: the target answered that it did not run the request.
	ResultRefused
	// ResultNotWritten: the connection failed before any byte of the request was written.
	ResultNotWritten
	// ResultBroken: the connection failed after bytes were written.
	ResultBroken
	// ResultTimedOut: the deadline passed or the send was cancelled after bytes were written.
	ResultTimedOut
	// ResultCutBody: the answer ended before its announced length.
	ResultCutBody
	// ResultNotStarted: the process ended the attempt before any byte was written, because it was cancelled, the lease
	// ended or the connection's thread was busy. It is no evidence about the target's health.
	ResultNotStarted
	// ResultKindCount is the number of result kinds.
	ResultKindCount
)

// LoadUnknown is the load of a result without a load report.
const LoadUnknown = -1

// Result describes how one attempt ended.
type Result struct {
	Attempt    Attempt
	Connection int
	Kind       ResultKind
	// Latency is the time from the first byte sent to the last byte received.
	Latency time.Duration
	Status  int
	// Incarnation is the target's incarnation from the answer, 0 when absent.
	Incarnation types.Incarnation
	// Load is the number of running requests that the target reported, or LoadUnknown.
	Load int
}

// Lease is the right to send to a target.
type Lease struct {
	Epoch types.Epoch
	// ValidUntil is on this VM's boot-time clock. Nothing is sent at or after it.
	ValidUntil types.Instant
	// WallMs is the wall time of this message, in Unix milliseconds. That of an epoch's first message is the time of the
	// takeover.
	WallMs int64
	// Incarnation is the target's incarnation from the answer to the grant, 0 when unknown.
	Incarnation types.Incarnation
	// Warm is true when the target is known not to have restarted since it last ran at full load. It is used in the first
	// message of an epoch: when false there, a cold-start ramp begins.
	Warm bool
}

// SlotRow is the ownership row of a slot, or of a hot key when Hot is true.
type SlotRow struct {
	Slot types.Slot
	Hot  bool
	// Key is the hot key. It is not used for slots.
	Key   types.KeyHash
	Epoch types.Epoch
	// Removed is true when a hot key's row is gone from the table, so that its slot's row governs the key again.
	Removed bool
	// CoveredSinceMs is the wall time, in Unix milliseconds, since which all requests for the slot went through this
	// dispatcher. That is the time of the move, unless the slot moved between two targets of this dispatcher.
	CoveredSinceMs int64
}

// EntryState is how far the request of a deduplication entry got.
type EntryState uint8

// States of entries.
const (
	// EntrySent: the request may have been sent.
	EntrySent EntryState = iota
	// EntryAnswered: the request ran and its answer is stored.
	EntryAnswered
	// EntryUnknown: the request may have run and no answer will come.
	EntryUnknown
	// EntryNotRun: the request was never run. The entry is removed.
	EntryNotRun
)

// Entry is one entry of the deduplication table, in the form in which dispatchers exchange it.
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

// Quarantine announces how many deaths of targets happened while requests with a fingerprint were in flight. The death
// of a target is a restart or a failure to connect to it.
type Quarantine struct {
	From        types.VM
	Service     types.Service
	Fingerprint Fingerprint
	// Deaths is the number of deaths counted by the sender: 1 for a suspect, 2 for a quarantined fingerprint.
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
