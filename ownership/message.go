package ownership

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// MessageKind identifies the type of a Message and so which of its fields are set.
type MessageKind uint8

// Kinds of messages.
const (
	// KindStoreRead is an answer of the store. Sets Read.
	KindStoreRead MessageKind = iota + 1
	// KindStoreFailed is a read that failed or timed out. It extends no permit and changes no state.
	KindStoreFailed
	// KindWriteResult is the result of an ActWrite. Sets Write.
	KindWriteResult
	// KindReadBack is the result of an ActReadBack. Sets ReadBack.
	KindReadBack
	// KindConfirmationRequest is a call of the RPC method Vouch.Confirm of this process. Sets Confirmation.
	KindConfirmationRequest
	// KindConfirmationReply is the answer to an ActConfirmationRequest. Sets ConfirmationReply.
	KindConfirmationReply
	// KindInstall is a call of the RPC method Vouch.Install of this process. Sets Install.
	KindInstall
	// KindInstallReply is the answer to an ActInstall. Sets InstallReply.
	KindInstallReply
	// KindCallResult is the result of an ActGrant, ActRenew or ActRelease. Sets Call.
	KindCallResult
	// KindDrained reports that no request outside the keys of a Serve is in flight. Sets Drained.
	KindDrained
	// KindTargetUnresponsive reports that a target does not answer requests. Sets Target.
	KindTargetUnresponsive
	// KindTargetResponded reports that a target answered a request or probe. Sets Target.
	KindTargetResponded
	// KindMembers is the list of dispatcher processes. Sets Members.
	KindMembers
	// KindPlannerGained reports that this process has acquired the planner lease.
	KindPlannerGained
	// KindPlannerLost reports that this process no longer holds the planner lease.
	KindPlannerLost
	// KindMoves carries the moves that placement requests for one service; it replaces earlier ones. Sets Moves.
	KindMoves
	// KindHotKeys carries the hot-key rows that placement requests for one service. Sets HotKeys.
	KindHotKeys
	// KindConfiguration carries a new configuration. Sets Configuration.
	KindConfiguration
	// KindTargetsOutOfService is the complete list of targets that operators have taken out of service. Sets
	// OutOfService.
	KindTargetsOutOfService
	// KindDataCentreDeclaredLost is the declaration by operators that no process of a data centre runs. Sets
	// DataCentre.
	KindDataCentreDeclaredLost
	// KindDataCentreLossWithdrawn withdraws the declaration. Sets DataCentre.
	KindDataCentreLossWithdrawn
)

// Message is one input of the core. Neither a message nor what it points to may change after Step.
type Message struct {
	Kind              MessageKind
	Read              StoreRead
	Write             WriteResult
	ReadBack          ReadBackResult
	Confirmation      ConfirmationRequest
	ConfirmationReply ConfirmationReply
	Install           Install
	InstallReply      InstallReply
	Call              CallResult
	Drained           Drained
	Target            types.TargetID
	Members           []Member
	Moves             Moves
	OutOfService      []types.TargetID
	HotKeys           HotKeys
	Configuration     *config.Configuration
	DataCentre        types.DataCentre
}

// StoreRead is a linearizable read or watch of all ownership documents.
type StoreRead struct {
	// SentAt is when the request was sent, the earliest if several requests make up the read.
	SentAt types.Instant
	// Documents holds all existing documents in the first read and at least the changed ones in later reads.
	Documents []Document
}

// WriteStatus is the result of a compare-and-swap.
type WriteStatus uint8

// Results of a compare-and-swap.
const (
	// WriteConfirmed means that the write took effect.
	WriteConfirmed WriteStatus = iota + 1
	// WriteConflict means that another write was first.
	WriteConflict
	// WriteUnknown means that the answer was lost: the write may have taken effect or may do so later.
	WriteUnknown
	// WriteNotSent means that the write never left the process.
	WriteNotSent
)

// WriteResult answers an ActWrite.
type WriteResult struct {
	Key    DocumentKey
	ID     WriteID
	Status WriteStatus
	// Store is the store revision of the write when Status is WriteConfirmed.
	Store types.Revision
}

// ReadBackResult answers an ActReadBack.
type ReadBackResult struct {
	// Failed is true when the store could not be read.
	Failed bool
	// Document is the document as read.
	Document Document
}

// DocumentVersion is the epoch of the newest copy of a document that a process has.
type DocumentVersion struct {
	Key   DocumentKey
	Epoch types.Epoch
}

// ConfirmationRequest asks a quorum group member to confirm that it has no newer leases than the requester.
// Confirmations by a majority extend the permit of the requester.
type ConfirmationRequest struct {
	// Ticket is set by the program that runs the core, so that it can match the reply to the waiting RPC. The core copies
	// it into the reply.
	Ticket uint64
	Group  GroupKey
	// Asker is the process that sends the request and AskedAt its clock at that time. The reply carries both.
	Asker   Peer
	AskedAt types.Instant
	// Member is the member, with its incarnation, to which the request is addressed.
	Member Peer
	// Versions starts with the document of the group itself, followed by the leases of the services the permit covers.
	Versions []DocumentVersion
	// Silent lists the targets whose lease the requester holds and that have no valid grant.
	Silent []types.TargetID
}

// ConfirmationStatus is the result of a ConfirmationRequest.
type ConfirmationStatus uint8

// Results of a ConfirmationRequest.
const (
	// ConfirmationCurrent means that the member has nothing newer; it confirms the permit.
	ConfirmationCurrent ConfirmationStatus = iota + 1
	// ConfirmationOutdated means that the member has a newer document.
	ConfirmationOutdated
	// ConfirmationRefused means that the member is not listed with its incarnation or has not yet read the store since
	// the group changed.
	ConfirmationRefused
)

// ConfirmationReply answers a ConfirmationRequest.
type ConfirmationReply struct {
	Ticket  uint64
	Group   GroupKey
	Asker   Peer
	AskedAt types.Instant
	Member  Peer
	Status  ConfirmationStatus
	// Versions holds the epochs at which the member has the requested documents.
	Versions []DocumentVersion
	// Documents holds the newer documents when Status is ConfirmationOutdated.
	Documents []Document
	// Lost lists dispatchers that sent the member no request for the suspicion timeout.
	Lost []Peer
	// Silent lists the targets without a valid grant that dispatchers reported to the member.
	Silent []types.TargetID
}

// Install carries documents from the planner to a quorum group member.
type Install struct {
	Ticket    uint64
	Planner   Peer
	Member    Peer
	Documents []Document
}

// InstallReply acknowledges an Install with the versions that the member now has.
type InstallReply struct {
	Ticket   uint64
	Planner  Peer
	Member   Peer
	Versions []DocumentVersion
}

// Token is issued by a target with every answer. The tokens of one target incarnation increase, and each is accepted
// at most once.
type Token uint64

// CallKind is the kind of a call to a target.
type CallKind uint8

// Calls to targets.
const (
	// CallGrant replaces the keys of the target and extends its grant.
	CallGrant CallKind = iota + 1
	// CallRenew extends the grant.
	CallRenew
	// CallRelease ends the grant.
	CallRelease
)

// CallStatus is the result of a call to a target.
type CallStatus uint8

// Results of calls. Each answer other than CallFailed carries a new token.
const (
	// CallAccepted means that the target applied the call.
	CallAccepted CallStatus = iota + 1
	// CallStaleToken means that the token was missing, used, expired or of another incarnation.
	CallStaleToken
	// CallExpired means that the grant of this lease epoch has ended; the target never accepts the epoch again.
	CallExpired
	// CallStaleEpoch means that the target has accepted a higher lease epoch.
	CallStaleEpoch
	// CallFailed means that no answer arrived.
	CallFailed
)

// TargetCall is a call to a target. The target accepts it only with a token that it issued less than TTLMs
// ago in its current incarnation and that is newer than the last one it accepted; the grant then expires TTLMs after
// the token was issued. A first grant needs a token as well: without one, a delayed grant could take effect after its
// revocation was waited out. The target refuses a call without a token, and the refusal carries a token.
type TargetCall struct {
	Target types.TargetID
	Kind   CallKind
	// Number identifies the call; its result carries it.
	Number uint64
	// Epoch is the lease epoch.
	Epoch       types.Epoch
	Token       Token
	Incarnation types.Incarnation
	// TTLMs is the time to live in milliseconds, counted from the time the token was issued.
	TTLMs int64
	// KeySet replaces the set of keys that the target owns. Set for CallGrant.
	KeySet *KeySet
	// SentAt is when the core issued the call and Deadline when it stops waiting for the result.
	SentAt   types.Instant
	Deadline types.Instant
}

// CallResult answers a TargetCall.
type CallResult struct {
	Target types.TargetID
	Number uint64
	Status CallStatus
	// Token and Incarnation are those of the target, unset when Status is CallFailed.
	Token       Token
	Incarnation types.Incarnation
}

// SlotRange is a range of consecutive slots that share an epoch.
type SlotRange struct {
	First types.Slot
	Count uint32
	Epoch types.Epoch
}

// OwnedKey is a hot key with the epoch of its row.
type OwnedKey struct {
	Key   types.KeyHash
	Epoch types.Epoch
}

// KeySet is the set of keys that a target owns: all keys of Slots except those in Except, and the hot keys in Keys.
// Values are immutable.
type KeySet struct {
	Slots  []SlotRange
	Except []types.KeyHash
	Keys   []OwnedKey
}

// Serve tells the dispatch duty which keys it may send to a target until ValidUntil. A later Serve replaces an earlier
// one.
type Serve struct {
	Target types.TargetID
	Epoch  types.Epoch
	// Number increases with every change of KeySet or Epoch and with every stop. Drained carries it.
	Number uint64
	KeySet *KeySet
	// ValidUntil is the earlier of the expiry of the renewal permit and that of the grant.
	ValidUntil types.Instant
}

// Drained reports that no request outside the keys of the Serve with this Number is in flight at the target.
type Drained struct {
	Target types.TargetID
	Number uint64
}

// MemberState is the state of a dispatcher process as far as this process knows.
type MemberState uint8

// States of dispatcher processes.
const (
	// MemberLive means that the process is registered.
	MemberLive MemberState = iota + 1
	// MemberLeaving means that the VM, its data centre or the process is being taken out of service.
	MemberLeaving
	// MemberExpired means that the registration expired; the process may still run.
	MemberExpired
	// MemberTerminated means that the process certainly no longer runs, because the platform has removed the VM. A
	// newer incarnation of a VM implies this state for the older ones, and a data centre that operators declared lost
	// implies it for all its processes.
	MemberTerminated
)

// Member is one dispatcher process.
type Member struct {
	Peer
	DataCentre types.DataCentre
	State      MemberState
}

// Move requests a new owner for a range of slots or for one hot key.
type Move struct {
	First types.Slot
	Count uint32 // 0 for a hot key
	Key   types.KeyHash
	From  types.Target
	To    types.Target
}

// Moves holds the moves that placement requests for one service.
type Moves struct {
	Service types.Service
	Moves   []Move
}

// HotKeys is the complete list of keys of a service that should have rows of their own.
type HotKeys struct {
	Service types.Service
	Keys    []types.KeyHash
}
