package ownership

import "sequoiasail.example/types"

// ActionKind says which field of an Action is set.
type ActionKind uint8

// Kinds of actions.
const (
	// ActGrant, ActRenew and ActRelease call a target. Set Call.
	ActGrant ActionKind = iota + 1
	ActRenew
	ActRelease
	// ActWrite writes Write.Document by CAS if the key's modification counter is Write.Document.Store.
	ActWrite
	// ActReadBack reads Write.Document.Key after a lost answer.
	ActReadBack
	// ActVouch sends Vouch to Vouch.Member.
	ActVouch
	// ActVouchReply answers a VouchRequest. Sets VouchReply.
	ActVouchReply
	// ActInstall sends Install to Install.Member.
	ActInstall
	// ActInstallReply answers an Install. Sets InstallReply.
	ActInstallReply
	// ActServe tells the dispatch duty what it may send. Sets Serve.
	ActServe
	// ActStop tells the dispatch duty to send nothing more to Serve.Target.
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

// Action is one output of the core. What it points to is immutable.
type Action struct {
	Kind         ActionKind
	Call         TargetCall
	Write        Write
	Vouch        VouchRequest
	VouchReply   VouchReply
	Install      Install
	InstallReply InstallReply
	Serve        Serve
	Decision     Decision
}

// Write is a CAS: Document.Store is the expected modification counter, 0 to create the document.
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
	// Slots is the number of slots or hot keys concerned.
	Slots int
}
