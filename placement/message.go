package placement

import "sequoiasail.example/types"

// Kind names the message in a Message.
type Kind uint8

// Kinds of messages.
const (
	// KindLead says whether this process holds the planner lease. Reads Message.Lead.
	KindLead Kind = iota + 1
	// KindTargets installs the targets of a service. Reads Message.Targets.
	KindTargets
	// KindOwners installs one part of a slot table. Reads Message.Owners.
	KindOwners
	// KindHotKeys installs the hot-key rows of a service. Reads Message.HotKeys.
	KindHotKeys
	// KindLoad is a dispatcher's report on one target. Reads Message.Load.
	KindLoad
	// KindRemove forgets a service that the configuration no longer lists. Reads Message.Service.
	KindRemove
)

// Message is one input of the Core. Only the fields that Kind names are read. What a pointer refers to must not change
// during Step and is not kept.
type Message struct {
	Kind    Kind
	Lead    bool
	Service types.Service
	Targets *Targets
	Owners  *Owners
	HotKeys *HotKeys
	Load    *Load
}

// State is the planner's view of a target.
type State uint8

// States.
const (
	// StateIn takes slots according to its weight.
	StateIn State = iota
	// StateCold takes slots at the rate of a cold start.
	StateCold
	// StateStraggler is slow. It is relieved if it stays slow for StragglerHold.
	StateStraggler
	// StateDraining is leaving: it is emptied and takes nothing.
	StateDraining
	// StateLost no longer serves: what it held is moved before anything else.
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

// leaving reports whether everything must move away.
func (s State) leaving() bool { return s == StateDraining || s == StateLost }

// Targets lists all targets of a service. A target that is no longer listed counts as lost.
type Targets struct {
	Service types.Service
	// Slots is the size of the slot table, 0 for a service without keys.
	Slots uint32
	Rows  []Target
}

// Target is one target. A target in a data centre that leaves is listed as draining.
type Target struct {
	Name   types.Target
	Weight float64
	State  State
}

// NoOwner in Owners.Owners marks a free slot.
const NoOwner uint16 = 0xFFFF

// Owners is one stored part of a slot table.
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

// Load is a dispatcher's report on one target. All loads are rates in the same unit, for example requests per second.
type Load struct {
	Service types.Service
	Target  types.Target
	// Slots and Loads give the load of the target's slots without the keys that have a hot-key row.
	Slots []types.Slot
	Loads []float32
	// Rest is the load of all slots that are not listed. It is taken to be spread evenly over them, so that a report
	// needs to list only the slots that stand out.
	Rest float32
	// Keys gives the hottest keys of the target, with and without a hot-key row.
	Keys []KeyLoad
}

// KeyLoad is the load of one key.
type KeyLoad struct {
	Key  types.KeyHash
	Load float32
}
