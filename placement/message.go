package placement

import "sequoiasail.example/types"

// Kind is the type of a Message. It selects the fields that are read.
type Kind uint8

// Message kinds.
const (
	// KindLeader gains or loses the planner lease of this process. Reads Message.Leader.
	KindLeader Kind = iota + 1
	// KindTargets installs the targets of a service. Reads Message.Targets.
	KindTargets
	// KindOwners installs one part of a slot table. Reads Message.Owners.
	KindOwners
	// KindHotKeys installs the hot-key rows of a service. Reads Message.HotKeys.
	KindHotKeys
	// KindLoad applies a dispatcher's load report on one target. Reads Message.Load.
	KindLoad
	// KindRemoveService deletes the state of a service that the configuration no longer lists. Reads Message.Service.
	KindRemoveService
)

// Message is one input of the Core. Only the fields that Kind names are read. Values behind pointers must not
// change during Step and are not retained after it.
type Message struct {
	Kind    Kind
	Leader  bool
	Service types.Service
	Targets *Targets
	Owners  *Owners
	HotKeys *HotKeys
	Load    *Load
}

// State says whether a target may receive slots and whether its slots must move away.
type State uint8

// Target states.
const (
	// StateActive takes slots according to its weight.
	StateActive State = iota
	// StateCold takes slots at a rate that rises over WarmupTime.
	StateCold
	// StateStraggler is slow. Its load is reduced if it stays slow for StragglerDelay.
	StateStraggler
	// StateDraining is shutting down: it still serves, all its slots move away and it receives none.
	StateDraining
	// StateLost no longer serves: its slots move before those of draining targets.
	StateLost
)

var stateNames = [...]string{"in", "cold", "straggler", "draining", "lost"}

// String returns the name used in log lines.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// evacuating reports whether all slots and hot-key rows of the target must move away.
func (s State) evacuating() bool { return s == StateDraining || s == StateLost }

// Targets lists all targets of a service. A target that is no longer listed counts as lost.
type Targets struct {
	Service types.Service
	// Slots is the size of the slot table, 0 for a service without keys.
	Slots uint32
	Rows  []Target
}

// Target is the weight and state of one target. A target in a data centre that is being removed is listed as draining.
type Target struct {
	Name   types.Target
	Weight float64
	State  State
}

// NoOwner in Owners.Owners marks a free slot.
const NoOwner uint16 = 0xFFFF

// Owners is one part of a slot table, stored as a document of its own: the owners of a contiguous range of slots.
type Owners struct {
	Service   types.Service
	Revision  types.Revision
	FirstSlot types.Slot
	// Targets holds the names that Owners refers to.
	Targets []types.Target
	// Owners holds one index into Targets, or NoOwner, for each slot from FirstSlot on. A slot that is being released
	// still counts as owned.
	Owners []uint16
}

// HotKeys lists all hot-key rows of a service.
type HotKeys struct {
	Service  types.Service
	Revision types.Revision
	Rows     []HotKey
}

// HotKey is one hot-key row.
type HotKey struct {
	Key   types.KeyHash
	Owner types.Target // empty while free
}

// Load is a dispatcher's report on the load of one target. All loads are rates in the same unit, for example
// requests per second.
type Load struct {
	Service types.Service
	Target  types.Target
	// Slots and Loads give the load of the target's slots without the keys that have a hot-key row.
	Slots []types.Slot
	Loads []float32
	// Rest is the total load of the target's slots that are not listed in Slots. It is assumed to be spread evenly over
	// them, so that a report needs to list only slots with an exceptional load.
	Rest float32
	// Keys gives the hottest keys of the target, with and without a hot-key row.
	Keys []KeyLoad
}

// KeyLoad is the load of one key.
type KeyLoad struct {
	Key  types.KeyHash
	Load float32
}
