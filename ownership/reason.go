package ownership

// Reason is the cause of a decision in the decision log.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonPermitLost: neither the store nor a majority of the quorum group confirmed in time, so the permit expired.
	ReasonPermitLost Reason = iota + 1
	// ReasonPermitHeld: the permit is valid again.
	ReasonPermitHeld
	// ReasonLeaseTaken: this dispatcher now holds a target lease.
	ReasonLeaseTaken
	// ReasonLeaseEnded: this dispatcher no longer holds a target lease.
	ReasonLeaseEnded
	// ReasonGranted: the target accepted the grant of a lease epoch.
	ReasonGranted
	// ReasonGrantLost: the grant of the target expired or its incarnation changed; a new lease epoch is needed.
	ReasonGrantLost
	// ReasonTargetSilent: the target has not answered for the suspicion timeout.
	ReasonTargetSilent
	// ReasonLeaseVacated: the holder wrote that the target no longer has a grant.
	ReasonLeaseVacated
	// ReasonReleased: the holder wrote the next owner of released slots.
	ReasonReleased
	// ReasonDispatcherAssigned: the planner assigned a lease to a dispatcher.
	ReasonDispatcherAssigned
	// ReasonDispatcherLost: the planner revoked a lease because its dispatcher is lost.
	ReasonDispatcherLost
	// ReasonDispatcherMoved: the planner revoked a lease to move it to another dispatcher.
	ReasonDispatcherMoved
	// ReasonTargetLost: the planner revoked a lease because its target is lost.
	ReasonTargetLost
	// ReasonRevocationWaited: the wait after a revocation ended and the planner wrote the next lease state.
	ReasonRevocationWaited
	// ReasonSlotsSpread: the planner assigned the slots of an empty table.
	ReasonSlotsSpread
	// ReasonSlotsReassigned: the planner assigned slots without an owner to live targets.
	ReasonSlotsReassigned
	// ReasonMoveStarted: the planner marked slots that placement moves as releasing.
	ReasonMoveStarted
	// ReasonHotKeys: the planner changed the hot-key rows.
	ReasonHotKeys
	// ReasonGroupChanged: the planner added one member to a quorum group or removed one.
	ReasonGroupChanged
	// ReasonScopeChanged: the planner changed the scope of a service's quorum groups.
	ReasonScopeChanged
	// ReasonWriteConflict: another process wrote the document first.
	ReasonWriteConflict
	// ReasonAnswerLost: the result of a write was lost; the document is read back.
	ReasonAnswerLost
	// ReasonOlderDocument: the store returned an older document than one it returned before.
	ReasonOlderDocument
)

var reasonNames = [...]string{
	"", "permit-lost", "permit-held", "lease-taken", "lease-ended", "granted", "grant-lost", "target-silent",
	"lease-vacated", "released", "dispatcher-assigned", "dispatcher-lost", "dispatcher-moved", "target-lost",
	"revocation-waited", "slots-spread", "slots-reassigned", "move-started", "hot-keys", "group-changed",
	"scope-changed", "write-conflict", "answer-lost", "older-document",
}

// String returns the name used in the decision log.
func (r Reason) String() string { return reasonNames[r] }
