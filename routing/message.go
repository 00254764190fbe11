package routing

import (
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Kind says which input a Message carries.
type Kind uint8

// Kinds of messages.
const (
	// KindRequest asks for a route. Reads Message.Request.
	KindRequest Kind = iota + 1
	// KindResult ends one attempt. Reads Message.Result.
	KindResult
	// KindCancel says that the caller has gone. Reads Message.Handle.
	KindCancel
	// KindTable installs one part of a slot table. Reads Message.Table.
	KindTable
	// KindHotKeys installs the hot-key rows of a service. Reads Message.HotKeys.
	KindHotKeys
	// KindLeases installs the target lease rows of a service. Reads Message.Leases.
	KindLeases
	// KindMembers installs the list of live dispatchers. Reads Message.Members.
	KindMembers
	// KindConfiguration installs a configuration. Reads Message.Configuration.
	KindConfiguration
	// KindOperations installs what operators drain or took out of service. Reads Message.Operations.
	KindOperations
	// KindLinkUp says that calls to the dispatcher on Message.VM can be made.
	KindLinkUp
	// KindLinkDown says that no calls to the dispatcher on Message.VM can be made.
	KindLinkDown
)

// Message is one input of the Core. Only the fields that the comment of its Kind names are read. The Core keeps the
// pointers: the sender must not change what they refer to after Step.
type Message struct {
	Kind          Kind
	Handle        uint64
	Request       Request
	Result        Result
	VM            types.VM
	Table         *Table
	HotKeys       *HotKeys
	Leases        *Leases
	Members       *Members
	Configuration *config.Configuration
	Operations    *Operations
}

// Request is one request of a caller.
type Request struct {
	// Handle identifies the request in messages and actions. It must be unique among requests in progress.
	Handle  uint64
	Service types.Service
	Key     types.KeyHash
	Class   types.Class
	Caller  types.Caller
	// ID is the caller's identifier of a request that is not idempotent.
	ID types.RequestID
	// Idempotent is true when the request may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline types.Instant
	// Pinned names the target that must run the request. Empty means any. Ignored by keyed services.
	Pinned types.Target
}

// Result ends the attempt that a Forward started. There is exactly one for each Forward.
type Result struct {
	Handle  uint64
	Attempt uint8
	Outcome types.Outcome
	Code    types.Code
	Latency time.Duration
	// RetryAllowed is false when the dispatcher or the target knows that another attempt is useless or harmful.
	RetryAllowed bool
}

// NoOwner in Table.Owners marks a slot that is free or being released.
const NoOwner uint16 = 0xFFFF

// Table is one stored part of a keyed service's slot table. Parts may have any size and are versioned one by one.
type Table struct {
	Service types.Service
	// Revision is the store revision of this part. A part older than the installed one is ignored.
	Revision  types.Revision
	FirstSlot types.Slot
	// Targets holds the names that Owners refers to.
	Targets []types.Target
	// Owners holds one index into Targets, or NoOwner, for each slot from FirstSlot on.
	Owners []uint16
	// Epochs holds the epoch of each slot row, in the order of Owners.
	Epochs []types.Epoch
}

// HotKeys holds all hot-key rows of a service.
type HotKeys struct {
	Service  types.Service
	Revision types.Revision
	Rows     []HotKey
}

// HotKey gives one key an owner that differs from the owner of the key's slot.
type HotKey struct {
	Key   types.KeyHash
	Owner types.Target // empty while the row is being released
	Epoch types.Epoch
}

// Leases holds all target lease rows of a service.
type Leases struct {
	Service  types.Service
	Revision types.Revision
	Rows     []Lease
}

// Lease names the only dispatcher that may send requests to a target.
type Lease struct {
	Target      types.Target
	VM          types.VM
	Incarnation types.Incarnation
	Epoch       types.Epoch
	// Active is false once the lease is revoked.
	Active bool
	// Home is true when the target can be the home of identifiers of non-idempotent requests.
	Home bool
}

// Members lists the live dispatchers.
type Members struct {
	Revision types.Revision
	Rows     []Member
}

// Member is one live dispatcher.
type Member struct {
	VM          types.VM
	DataCentre  types.DataCentre
	Incarnation types.Incarnation
}

// Operations lists what operators drain or took out of service. Everything else is in service.
type Operations struct {
	Revision    types.Revision
	DataCentres []DataCentreState
	VMs         []VMState
	Targets     []TargetState
}

// State is the service state that operators or the platform set.
type State uint8

// Service states.
const (
	// StateInService takes new work.
	StateInService State = iota
	// StateDraining takes new work only for keys it owns and requests pinned to it, and only for DrainGrace.
	StateDraining
	// StateOutOfService takes no new work.
	StateOutOfService
)

// DataCentreState is the state of one data centre.
type DataCentreState struct {
	DataCentre types.DataCentre
	State      State
}

// VMState is the state of one VM's dispatcher.
type VMState struct {
	VM    types.VM
	State State
}

// TargetState is the state of one target.
type TargetState struct {
	Target types.TargetID
	State  State
}
