package placement

import "sequoiasail.example/types"

// ActionKind is the type of an Action.
type ActionKind uint8

// Action kinds.
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

// Action is one proposed change of the slot table or the hot-key rows. Fields that Kind does not use are zero.
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

// Reason is the cause of an Action.
type Reason uint8

// Reasons of actions.
const (
	// ReasonLost replaces an owner that no longer serves.
	ReasonLost Reason = iota + 1
	// ReasonDraining moves slots and rows away from an owner that is draining.
	ReasonDraining
	// ReasonFree assigns a slot that has no owner.
	ReasonFree
	// ReasonBalance reduces a difference in load between two targets.
	ReasonBalance
	// ReasonStraggler reduces the load of a slow target.
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
