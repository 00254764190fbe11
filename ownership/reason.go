package ownership

// Reason says why the core decided something.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonPermitLost: neither the store nor a majority of the quorum group confirmed in time.
	ReasonPermitLost Reason = iota + 1
	// ReasonPermitHeld: the permit is held again.
	ReasonPermitHeld
	// ReasonLeaseTaken: this dispatcher holds a target lease.
	ReasonLeaseTaken
	// ReasonLeaseEnded: this dispatcher no longer holds a target lease.
	ReasonLeaseEnded
	// ReasonGranted: the target accepted the grant of a lease epoch.
	ReasonGranted
	// ReasonGrantLost: the target's grant expired or its incarnation changed; a new lease epoch is needed.
	ReasonGrantLost
	// ReasonTargetSilent: the target has not answered for the suspicion time.
	ReasonTargetSilent
	// ReasonLeaseVacated: the holder wrote that the target holds no grant any more.
	ReasonLeaseVacated
	// ReasonReleased: the holder wrote the next owner of released slots.
	ReasonReleased
	// ReasonDispatcherAssigned: the planner gave a lease to a dispatcher.
	ReasonDispatcherAssigned
	// ReasonDispatcherLost: the planner revoked a lease because its dispatcher is lost.
	ReasonDispatcherLost
	// ReasonDispatcherMoved: the planner revoked a lease to move it to another dispatcher.
	ReasonDispatcherMoved
	// ReasonTargetLost: the planner revoked a lease because its target is lost.
	ReasonTargetLost
	// ReasonRevocationWaited: the planner waited out a revocation.
	ReasonRevocationWaited
	// ReasonSlotsSpread: the planner assigned the slots of an empty table.
	ReasonSlotsSpread
	// ReasonSlotsReassigned: the planner gave slots without an owner to live targets.
	ReasonSlotsReassigned
	// ReasonMoveStarted: the planner asked owners to release slots that placement wants moved.
	ReasonMoveStarted
	// ReasonHotKeys: the planner changed the hot-key rows.
	ReasonHotKeys
	// ReasonGroupChanged: the planner changed a quorum group by one member.
	ReasonGroupChanged
	// ReasonScopeChanged: the planner changed the scope of a service's quorum groups.
	ReasonScopeChanged
	// ReasonWriteConflict: another writer was first.
	ReasonWriteConflict
	// ReasonAnswerLost: the answer of a write was lost; the document is read back.
	ReasonAnswerLost
	// ReasonOlderDocument: the store returned a document older than one seen before.
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
