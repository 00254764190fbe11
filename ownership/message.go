package ownership

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// MessageKind says which fields of a Message are set.
type MessageKind uint8

// Kinds of messages.
const (
	// KindStoreRead is an answer of the store. Sets Read.
	KindStoreRead MessageKind = iota + 1
	// KindStoreFailed is a read that failed or timed out.
	KindStoreFailed
	// KindWriteResult is the result of an ActWrite. Sets Write.
	KindWriteResult
	// KindReadBack is the result of an ActReadBack. Sets ReadBack.
	KindReadBack
	// KindVouchRequest is a Vouch.Confirm call to this process. Sets Vouch.
	KindVouchRequest
	// KindVouchReply is the answer to an ActVouch. Sets VouchReply.
	KindVouchReply
	// KindInstall is a Vouch.Install call to this process. Sets Install.
	KindInstall
	// KindInstallReply is the answer to an ActInstall. Sets InstallReply.
	KindInstallReply
	// KindCallResult is the result of an ActGrant, ActRenew or ActRelease. Sets Call.
	KindCallResult
	// KindDrained tells that no request outside the areas of a Serve is in flight. Sets Drained.
	KindDrained
	// KindTargetSilent tells that a target does not answer requests. Sets Target.
	KindTargetSilent
	// KindTargetHeard tells that a target answered a request or probe. Sets Target.
	KindTargetHeard
	// KindMembers is the list of dispatcher processes. Sets Members.
	KindMembers
	// KindPlannerGained tells that this process holds the planner lease.
	KindPlannerGained
	// KindPlannerLost tells that this process no longer holds the planner lease.
	KindPlannerLost
	// KindMoves is the moves that placement wants for one service; it replaces the earlier ones. Sets Moves.
	KindMoves
	// KindHotKeys is the hot-key rows that placement wants for one service. Sets HotKeys.
	KindHotKeys
	// KindConfiguration is a new configuration. Sets Configuration.
	KindConfiguration
	// KindTargetsOut is the complete list of targets that operators have taken out of service. Sets Out.
	KindTargetsOut
	// KindDataCentreLost is the operators' declaration that no process of a data centre runs. Sets DataCentre.
	KindDataCentreLost
	// KindDataCentreBack withdraws the declaration. Sets DataCentre.
	KindDataCentreBack
)

// Message is one input of the core. Messages and what they point to are not changed after Step.
type Message struct {
	Kind          MessageKind
	Read          StoreRead
	Write         WriteResult
	ReadBack      ReadBackResult
	Vouch         VouchRequest
	VouchReply    VouchReply
	Install       Install
	InstallReply  InstallReply
	Call          CallResult
	Drained       Drained
	Target        types.TargetID
	Members       []Member
	Moves         Moves
	Out           []types.TargetID
	HotKeys       HotKeys
	Configuration *config.Configuration
	DataCentre    types.DataCentre
}

// StoreRead is a linearizable read or watch of all ownership documents.
type StoreRead struct {
	// SentAt is when the request was sent, the earliest if several requests make up the read.
	SentAt types.Instant
	// Documents holds all existing documents in the first read and at least the changed ones in later reads.
	Documents []Document
}

// WriteStatus is the result of a CAS.
type WriteStatus uint8

// Results of a CAS.
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
	// Store is the store's new modification counter when confirmed.
	Store types.Revision
}

// ReadBackResult answers an ActReadBack.
type ReadBackResult struct {
	// Failed is true when the store could not be read.
	Failed bool
	// Document is the document as read.
	Document Document
}

// DocumentVersion is the epoch at which a process knows a document.
type DocumentVersion struct {
	Key   DocumentKey
	Epoch types.Epoch
}

// VouchRequest asks a quorum group member to confirm that it knows no newer leases.
type VouchRequest struct {
	// Ticket lets the front end match the answer to its waiting call; the core copies it into the reply.
	Ticket uint64
	Group  GroupKey
	// Asker is the process that asks and AskedAt its clock at that time. The reply carries both.
	Asker   Peer
	AskedAt types.Instant
	// Member is the incarnation that is asked.
	Member Peer
	// Versions starts with the group's own document, followed by the leases of the services the permit covers.
	Versions []DocumentVersion
	// Silent lists the targets whose lease the asker holds and that hold no valid grant.
	Silent []types.TargetID
}

// VouchStatus is a quorum group member's answer.
type VouchStatus uint8

// Answers to VouchRequest.
const (
	// VouchSame means that the member knows nothing newer.
	VouchSame VouchStatus = iota + 1
	// VouchNewer means that the member knows a newer document.
	VouchNewer
	// VouchRefused means that the member is not listed with its incarnation or has not yet read the store since the
	// group changed.
	VouchRefused
)

// VouchReply answers a VouchRequest.
type VouchReply struct {
	Ticket  uint64
	Group   GroupKey
	Asker   Peer
	AskedAt types.Instant
	Member  Peer
	Status  VouchStatus
	// Versions are the member's versions of the documents asked about.
	Versions []DocumentVersion
	// Documents holds newer documents when Status is VouchNewer.
	Documents []Document
	// Lost lists dispatchers the member has not heard for the suspicion time.
	Lost []Peer
	// Silent lists the targets that their dispatchers reported.
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

// Token is issued by a target with every answer. Tokens of one target incarnation rise, and each is accepted once.
type Token uint64

// CallKind is the kind of a call to a target.
type CallKind uint8

// Calls to targets.
const (
	CallGrant CallKind = iota + 1
	CallRenew
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
	// CallFailed means that no answer came.
	CallFailed
)

// TargetCall is a call to a target. The target accepts it only with a token that it issued less than TTL ago in its
// present incarnation and that is newer than the last one it accepted; the grant then ends TTL after the token's
// issue. A first grant needs a token as well: without one, a delayed grant could take effect after its revocation
// was waited out. A call without a token is refused with one.
type TargetCall struct {
	Target types.TargetID
	Kind   CallKind
	// Number identifies the call; its result carries it.
	Number uint64
	// Epoch is the lease epoch.
	Epoch       types.Epoch
	Token       Token
	Incarnation types.Incarnation
	// TTLMs is the time to live in milliseconds, counted from the token's issue.
	TTLMs int64
	// Areas replaces what the target owns. Set for CallGrant.
	Areas *Areas
	// SentAt is when the core issued the call and Deadline when it stops waiting for the result.
	SentAt   types.Instant
	Deadline types.Instant
}

// CallResult answers a TargetCall.
type CallResult struct {
	Target types.TargetID
	Number uint64
	Status CallStatus
	// Token and Incarnation are the target's, unset when Status is CallFailed.
	Token       Token
	Incarnation types.Incarnation
}

// SlotRange is a range of consecutive slots that share an epoch.
type SlotRange struct {
	First types.Slot
	Count uint32
	Epoch types.Epoch
}

// KeyArea is a hot key with the epoch of its row.
type KeyArea struct {
	Key   types.KeyHash
	Epoch types.Epoch
}

// Areas is what a target owns: all keys of Slots but those in Except, and Keys. Values are immutable.
type Areas struct {
	Slots  []SlotRange
	Except []types.KeyHash
	Keys   []KeyArea
}

// Serve tells the dispatch duty what it may send to a target until ValidUntil. A later Serve replaces an earlier one.
type Serve struct {
	Target types.TargetID
	Epoch  types.Epoch
	// Number rises with every change of Areas or Epoch and with every stop. Drained carries it.
	Number uint64
	Areas  *Areas
	// ValidUntil is the earlier of the ends of the renewal permit and of the target's grant.
	ValidUntil types.Instant
}

// Drained confirms that no request outside the areas of Serve Number is in flight at the target.
type Drained struct {
	Target types.TargetID
	Number uint64
}

// MemberState is what is known about a dispatcher process.
type MemberState uint8

// States of dispatcher processes.
const (
	// MemberLive means that the process is registered.
	MemberLive MemberState = iota + 1
	// MemberLeaving means that the VM, its data centre or the process is being taken out of service.
	MemberLeaving
	// MemberLost means that the registration lapsed; the process may still run.
	MemberLost
	// MemberGone means that the process certainly no longer runs: the platform has removed the VM.
	// A newer incarnation of the same VM implies it for the older ones.
	MemberGone
)

// Member is one dispatcher process.
type Member struct {
	Peer
	DataCentre types.DataCentre
	State      MemberState
}

// Move asks for slots or one hot key to change their owner.
type Move struct {
	First types.Slot
	Count uint32 // 0 for a hot key
	Key   types.KeyHash
	From  types.Target
	To    types.Target
}

// Moves is what placement wants for one service.
type Moves struct {
	Service types.Service
	Moves   []Move
}

// HotKeys is the complete list of keys that should have rows of their own.
type HotKeys struct {
	Service types.Service
	Keys    []types.KeyHash
}
