package placement

import "sequoiasail.example/types"

// ActionKind names the action in an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionMoveSlots gives slots First to Last a new owner.
	ActionMoveSlots ActionKind = iota + 1
	// ActionMoveKey gives a hot-key row a new owner.
	ActionMoveKey
	// ActionCreateKey creates a hot-key row for Key. Its owner is To, the owner of the key's slot.
	ActionCreateKey
	// ActionDropKey removes a hot-key row whose owner also owns the key's slot.
	ActionDropKey
)

var actionNames = [...]string{"", "move-slots", "move-key", "create-key", "drop-key"}

// String returns the name used in log lines.
func (k ActionKind) String() string {
	if int(k) < len(actionNames) {
		return actionNames[k]
	}
	return "invalid"
}

// Action is one proposal. Fields that Kind does not name are zero.
type Action struct {
	Kind    ActionKind
	Service types.Service
	// First and Last bound the slots of ActionMoveSlots, both included.
	First, Last types.Slot
	// Key is the key of ActionMoveKey, ActionCreateKey and ActionDropKey.
	Key types.KeyHash
	// From and To are the former and new owner. From is empty if there is none.
	From, To types.Target
	Reason   Reason
}

// Reason says what led to an Action.
type Reason uint8

// Reasons of actions.
const (
	// ReasonLost replaces an owner that no longer serves.
	ReasonLost Reason = iota + 1
	// ReasonDraining empties an owner that is leaving.
	ReasonDraining
	// ReasonFree gives a slot without owner to a target.
	ReasonFree
	// ReasonBalance evens out a difference in load.
	ReasonBalance
	// ReasonStraggler relieves a slow target.
	ReasonStraggler
	// ReasonHot creates a row for a key that became hot.
	ReasonHot
	// ReasonCooled removes the row of a key that is no longer hot.
	ReasonCooled
)

var reasonNames = [...]string{
	"", "lost", "draining", "free", "balance", "straggler", "hot", "cooled",
}

// String returns the name used in log lines.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
