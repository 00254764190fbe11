package ownership

import "sequoiasail.example/types"

// ActionKind identifies the type of an Action and so which of its fields is set.
type ActionKind uint8

// Kinds of actions.
const (
	// ActGrant, ActRenew and ActRelease call a target. They set Call.
	ActGrant ActionKind = iota + 1
	ActRenew
	ActRelease
	// ActWrite writes Write.Document by compare-and-swap if the store revision of the key is Write.Document.Store. Sets
	// Write.
	ActWrite
	// ActReadBack reads Write.Document.Key after the result of a write was lost. Sets Write.
	ActReadBack
	// ActConfirmationRequest sends Confirmation to the quorum group member Confirmation.Member.
	ActConfirmationRequest
	// ActConfirmationReply answers a ConfirmationRequest. Sets ConfirmationReply.
	ActConfirmationReply
	// ActInstall sends Install to the quorum group member Install.Member.
	ActInstall
	// ActInstallReply answers an Install. Sets InstallReply.
	ActInstallReply
	// ActServe tells the dispatch duty which keys it may send to a target, and until when. Sets Serve.
	ActServe
	// ActStop tells the dispatch duty to send nothing more to Serve.Target. Sets Serve.
	ActStop
	// ActDecision is a record for the decision log. Sets Decision.
	ActDecision
)

var actionNames = [...]string{
	"", "grant", "renew", "release", "write", "read-back", "vouch", "vouch-reply", "install", "install-reply",
	"serve", "stop", "decision",
}

// String returns the name of the kind.
func (k ActionKind) String() string { return actionNames[k] }

// Action is one output of the core. The values that it points to are immutable.
type Action struct {
	Kind              ActionKind
	Call              TargetCall
	Write             Write
	Confirmation      ConfirmationRequest
	ConfirmationReply ConfirmationReply
	Install           Install
	InstallReply      InstallReply
	Serve             Serve
	Decision          Decision
}

// Write is a compare-and-swap of one document. Document.Store is the expected store revision of the key, 0 to create
// the document.
type Write struct {
	ID       WriteID
	Document Document
}

// Decision is one record of the decision log. Fields that do not apply are empty.
type Decision struct {
	Reason   Reason
	Document DocumentKey
	Service  types.Service
	Target   types.Target
	Peer     Peer
	Epoch    types.Epoch
	// Slots is the number of slots or hot keys that the decision affects.
	Slots int
}
