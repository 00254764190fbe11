package peer

import "sequoiasail.example/types"

// Names of the calls.
const (
	MethodDo         = "Dispatch.Do"
	MethodCancel     = "Dispatch.Cancel"
	MethodMemoryPut  = "Memory.Put"
	MethodHandover   = "Memory.Handover"
	MethodTargets    = "Control.Targets"
	MethodLatest     = "Peer.Latest"
	MethodConfirm    = "Vouch.Confirm"
	MethodInstall    = "Vouch.Install"
	MethodQuarantine = "Control.Quarantine"
	MethodReport     = "Control.Report"
)

// DoRequest asks a dispatcher to run a request at one of its targets.
type DoRequest struct {
	RequestID types.RequestID
	Caller    types.Caller
	Service   types.Service
	Target    types.Target
	Key       string
	KeyHash   types.KeyHash
	Slot      types.Slot
	// HotKey is true when the request was routed by a hot-key row. SlotEpoch is then the epoch of that row.
	HotKey     bool
	SlotEpoch  types.Epoch
	LeaseEpoch types.Epoch
	Class      types.Class
	Idempotent bool
	// MintedAtMs is when the caller created the request, in milliseconds since the Unix epoch. 0 when not given.
	MintedAtMs int64
	// RemainingNs is the time left until the caller's deadline, in nanoseconds.
	RemainingNs int64
	// Fingerprint is a hash of what the request asks, without its identifier.
	Fingerprint uint64
	Method      string
	Path        string
	Header      map[string][]string
	Body        []byte
}

// Failure is a typed fault as it travels between processes. An empty Code means success.
type Failure struct {
	Code    types.Code
	Message string
}

// DoAnswer is the result of a DoRequest.
type DoAnswer struct {
	Outcome types.Outcome
	Failure Failure
	// Replayed is true when the answer was remembered from an earlier attempt.
	Replayed bool
	Status   int
	Header   map[string][]string
	Body     []byte
}

// CancelRequest tells a dispatcher that the caller no longer waits.
type CancelRequest struct {
	RequestID types.RequestID
	Caller    types.Caller
	Service   types.Service
	Target    types.Target
}

// Empty is an answer without content.
type Empty struct{}

// MemoryEntry is a copy of one entry of a deduplication table. Status, Header and Body hold the answer once there is
// one.
type MemoryEntry struct {
	Service     types.Service
	Target      types.Target
	Key         types.KeyHash
	Caller      types.Caller
	ID          types.RequestID
	Fingerprint uint64
	Class       types.Class
	State       uint8
	Status      int
	Header      map[string][]string
	Body        []byte
}

// MemoryAnswer tells whether the entry is kept.
type MemoryAnswer struct {
	Stored bool
}

// QuarantineNotice announces a request fingerprint that was in flight when targets died.
type QuarantineNotice struct {
	From        types.VM
	Service     types.Service
	Fingerprint uint64
	Deaths      uint8
	AgeMs       int64
}

// Vouch messages carry the ownership module's own types. They are defined here as plain copies of its fields so that
// the wire format does not change when the core does.

// VouchVersion is the epoch at which a process knows a document.
type VouchVersion struct {
	Key   string
	Epoch types.Epoch
}

// VouchRun is one run of a dispatcher process.
type VouchRun struct {
	VM          types.VM
	Incarnation types.Incarnation
}

// VouchDocument is one stored document.
type VouchDocument struct {
	Key   string
	Store types.Revision
	Value []byte
}

// ConfirmRequest asks a quorum group member to confirm that it knows no newer leases.
type ConfirmRequest struct {
	Group    string
	Asker    VouchRun
	AskedAt  types.Instant
	Member   VouchRun
	Versions []VouchVersion
	Silent   []types.TargetID
}

// ConfirmAnswer is a quorum group member's answer. Status is 0 when the member gave none.
type ConfirmAnswer struct {
	Status    uint8
	Member    VouchRun
	Versions  []VouchVersion
	Documents []VouchDocument
	Lost      []VouchRun
	Silent    []types.TargetID
}

// InstallRequest carries documents from the planner to a quorum group member.
type InstallRequest struct {
	Planner   VouchRun
	Member    VouchRun
	Documents []VouchDocument
}

// InstallAnswer acknowledges the versions that the member now has.
type InstallAnswer struct {
	Installed bool
	Member    VouchRun
	Versions  []VouchVersion
}

// LoadReport tells the planner what a dispatcher observed in the last interval.
type LoadReport struct {
	From    types.VM
	Targets []TargetLoad
}

// TargetLoad holds the rates of one target in requests per second.
type TargetLoad struct {
	Target    types.TargetID
	Condition uint8
	// Slots and Loads give the load of slots without the keys that have rows of their own.
	Slots []types.Slot
	Loads []float32
	// Rest is the load of all slots that are not listed.
	Rest float32
	// Keys and KeyLoads give the hottest keys.
	Keys     []types.KeyHash
	KeyLoads []float32
}

// HandoverRequest passes what a dispatcher remembers to the dispatcher that takes its target or some of its keys over.
// Calls with entries come first; the last call has the rows, or the lease epoch, and no entries.
type HandoverRequest struct {
	From    types.VM
	Target  types.TargetID
	Entries []MemoryEntry
	Rows    []HandoverRow
	// LeaseEpoch is the epoch under which the sender held the lease when the whole target is handed over, else 0.
	LeaseEpoch types.Epoch
	// SinceMs is the wall time, in Unix milliseconds, since which the entries cover the target.
	SinceMs int64
	// State tells whether the target runs at full load. Set with LeaseEpoch.
	State TargetState
}

// HandoverRow is one slot or hot key that is handed over.
type HandoverRow struct {
	Slot types.Slot
	Hot  bool
	Key  types.KeyHash
	// Epoch is that of the row under which the sender served.
	Epoch types.Epoch
	// SinceMs is the wall time, in Unix milliseconds, since which the entries cover the row.
	SinceMs int64
}

// TargetStates tells other dispatchers which targets run at full load, so that one that takes a target over need not
// treat it as cold.
type TargetStates struct {
	From types.VM
	Rows []TargetState
}

// TargetState is one target in one incarnation.
type TargetState struct {
	Target      types.TargetID
	Incarnation types.Incarnation
	Warm        bool
}

// LatestAnswer holds what a process last read from the store. Revision is 0 when it has read nothing.
type LatestAnswer struct {
	Revision types.Revision
	Entries  []LatestEntry
}

// LatestEntry is one key of the store.
type LatestEntry struct {
	Key      string
	Value    []byte
	Revision types.Revision
	WriteID  string
}
