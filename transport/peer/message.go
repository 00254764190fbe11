package peer

import (
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// Names of the RPC methods, as service.method.
const (
	// MethodDo takes a DoRequest and returns a DoAnswer.
	MethodDo = "Dispatch.Do"
	// MethodCancel takes a CancelRequest and returns an Empty.
	MethodCancel = "Dispatch.Cancel"
	// MethodMemoryPut takes a MemoryEntry and returns a MemoryAnswer.
	MethodMemoryPut = "Memory.Put"
	// MethodHandover takes a HandoverRequest and returns a MemoryAnswer.
	MethodHandover = "Memory.Handover"
	// MethodTargets takes a TargetStates and returns an Empty.
	MethodTargets = "Control.Targets"
	// MethodLatest takes an Empty and returns a LatestAnswer.
	MethodLatest = "Peer.Latest"
	// MethodConfirm takes a ConfirmRequest and returns a ConfirmAnswer.
	MethodConfirm = "Vouch.Confirm"
	// MethodInstall takes an InstallRequest and returns an InstallAnswer.
	MethodInstall = "Vouch.Install"
	// MethodQuarantine takes a QuarantineNotice and returns an Empty.
	MethodQuarantine = "Control.Quarantine"
	// MethodReport takes a LoadReport and returns an Empty.
	MethodReport = "Control.Report"
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
	// HotKey is true when the request was routed by a hot-key row of the routing table. SlotEpoch is then the epoch of
	// that row, otherwise the epoch of the slot.
	HotKey     bool
	SlotEpoch  types.Epoch
	LeaseEpoch types.Epoch
	Class      types.Class
	Idempotent bool
	// MintedAtMs is when the caller created the request, in milliseconds since the Unix epoch. 0 when not given.
	MintedAtMs int64
	// RemainingNs is the time left until the caller's deadline, in nanoseconds.
	RemainingNs int64
	// Fingerprint is a hash of the request's content without its identifier.
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

// DoAnswer is the reply to a DoRequest.
type DoAnswer struct {
	Outcome types.Outcome
	Failure Failure
	// Replayed is true when the response was stored by an earlier attempt.
	Replayed bool
	Status   int
	Header   map[string][]string
	Body     []byte
}

// Valid reports whether the answer has a failure or the status of a final response. Any other answer is malformed: the request may
// have run.
func (a *DoAnswer) Valid() bool { return a.Failure.Code != "" || forward.IsFinal(a.Status) }

// CancelRequest tells a dispatcher that the caller no longer waits for a request.
type CancelRequest struct {
	RequestID types.RequestID
	Caller    types.Caller
	Service   types.Service
	Target    types.Target
}

// Empty is a reply without content.
type Empty struct{}

// MemoryEntry is a copy of one entry of a deduplication table. State is a dispatch.EntryState. Status, Header and Body
// hold the response once there is one.
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

// MemoryAnswer is the reply to a Memory.Put call. Stored is true when the receiver keeps the entry.
type MemoryAnswer struct {
	Stored bool
}

// QuarantineNotice announces the fingerprint of a request that was in flight when targets died. Deaths is the number of
// deaths that the sender saw, and AgeMs the time since the last one, in milliseconds.
type QuarantineNotice struct {
	From        types.VM
	Service     types.Service
	Fingerprint uint64
	Deaths      uint8
	AgeMs       int64
}

// Messages of the Vouch service, by which members of a quorum group confirm leases. They are plain copies of types of
// the ownership module, so that the wire format does not change when that module does.

// VouchVersion is the epoch of the newest version of a document that a process has.
type VouchVersion struct {
	Key   string
	Epoch types.Epoch
}

// VouchRun identifies one incarnation of a dispatcher process.
type VouchRun struct {
	VM          types.VM
	Incarnation types.Incarnation
}

// VouchDocument is one document of the store. Store is the store revision of its last write.
type VouchDocument struct {
	Key   string
	Store types.Revision
	Value []byte
}

// ConfirmRequest asks a quorum group member to confirm that it has no newer versions of the leases. Asker is the
// process that sends it and AskedAt the asker's clock at that time. Silent lists the targets whose lease the asker
// holds and that have no valid grant.
type ConfirmRequest struct {
	Group    string
	Asker    VouchRun
	AskedAt  types.Instant
	Member   VouchRun
	Versions []VouchVersion
	Silent   []types.TargetID
}

// ConfirmAnswer is a quorum group member's reply to a ConfirmRequest. Status is an ownership.ConfirmationStatus, 0 when
// the member gave none. Documents are those that are newer at the member. Lost lists the runs from which the member has
// received no request for the suspicion timeout, and Silent the targets that dispatchers reported without a valid
// grant.
type ConfirmAnswer struct {
	Status    uint8
	Member    VouchRun
	Versions  []VouchVersion
	Documents []VouchDocument
	Lost      []VouchRun
	Silent    []types.TargetID
}

// InstallRequest sends documents from the planner to a quorum group member.
type InstallRequest struct {
	Planner   VouchRun
	Member    VouchRun
	Documents []VouchDocument
}

// InstallAnswer is the reply to an InstallRequest. Versions are those that the member has now.
type InstallAnswer struct {
	Installed bool
	Member    VouchRun
	Versions  []VouchVersion
}

// LoadReport carries the load that a dispatcher measured in the last interval to the planner.
type LoadReport struct {
	From    types.VM
	Targets []TargetLoad
}

// TargetLoad holds the loads of one target in requests per second. Condition is a dispatch.Condition.
type TargetLoad struct {
	Target    types.TargetID
	Condition uint8
	// Slots and Loads are parallel: the load of each slot, without the keys that have rows of their own.
	Slots []types.Slot
	Loads []float32
	// Rest is the total load of the slots that are not in Slots.
	Rest float32
	// Keys and KeyLoads are parallel: the hottest keys and their loads.
	Keys     []types.KeyHash
	KeyLoads []float32
}

// HandoverRequest transfers deduplication entries to the dispatcher that takes over a target or some of its keys.
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
	// State tells whether the target is warm. It is set with LeaseEpoch.
	State TargetState
}

// HandoverRow is one slot or hot key that is handed over. Hot is true for a hot key; Key is then its hash.
type HandoverRow struct {
	Slot types.Slot
	Hot  bool
	Key  types.KeyHash
	// Epoch is the epoch of the routing-table row under which the sender served the slot or key.
	Epoch types.Epoch
	// SinceMs is the wall time, in Unix milliseconds, since which the entries cover the row.
	SinceMs int64
}

// TargetStates tells other dispatchers which targets are warm, so that one that takes over a target need not treat it
// as cold.
type TargetStates struct {
	From types.VM
	Rows []TargetState
}

// TargetState is the state of one incarnation of a target. Warm is true when it runs at full load.
type TargetState struct {
	Target      types.TargetID
	Incarnation types.Incarnation
	Warm        bool
}

// LatestAnswer is the reply to a Peer.Latest call: the state of the store as the process last read it. Revision is 0
// when it has read nothing.
type LatestAnswer struct {
	Revision types.Revision
	Entries  []LatestEntry
}

// LatestEntry is one key of the store. Revision and WriteID are those of its last write.
type LatestEntry struct {
	Key      string
	Value    []byte
	Revision types.Revision
	WriteID  string
}
