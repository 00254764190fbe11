package keyspace

import (
	"time"

	"sequoiasail.example/types"
)

// Member is a registered target of the service as the coordinator sees it.
type Member struct {
	Owner Owner
	// Slots is the number of requests that the target processes at once.
	Slots int
	// Usable is true when the target may get keys. Targets that are draining, evacuated or unreachable are members
	// but not usable.
	Usable bool
	// ColdUntil is when the target ends its warm-up. Cold targets get keys only while no warm target is usable.
	ColdUntil types.Instant
}

// Message is an input of a Core.
type Message interface{ message() }

type (
	// Elected reports that this VM is the coordinator until Until. Acquired is true in the first report of a term. An earlier
	// coordinator may then still be in its term. Era is the era of the store in which the VM was elected.
	Elected struct {
		Until    types.Instant
		Acquired bool
		Era      types.Era
	}
	// EraBegan reports that the store has come back from an older snapshot, which ends the term.
	EraBegan struct{ Era types.Era }
	// TableKnown reports a copy of the table of this or another VM, from which a coordinator may start if the store has gone back
	// to an older one.
	TableKnown struct{ Table Table }
	// Deposed reports that this VM is no longer the coordinator.
	Deposed struct{}
	// Members replaces the list of the service's members.
	Members struct{ Members []Member }
	// Loaded is the result of the LoadTable with the same Command. Found is false when the store holds no table. Revision is
	// the store revision that a commit replaces. FenceFloor is higher than all fencing tokens assigned so far.
	Loaded struct {
		Command    Command
		Table      Table
		Found      bool
		Revision   types.Revision
		FenceFloor types.Epoch
	}
	// LoadFailed reports that the LoadTable with the same Command failed and has to be repeated.
	LoadFailed struct{ Command Command }
	// TableDamaged is the result of the LoadTable with the same Command when the stored table can't be read. Revision and
	// FenceFloor are those of Loaded.
	TableDamaged struct {
		Command    Command
		Revision   types.Revision
		FenceFloor types.Epoch
	}
	// Committed is the result of the CommitTable with the same Command, and Revision the store revision of the table if Err is
	// nil. If Err has CodeStoreUnavailable, nothing was written, and with CodeConflict the store holds another version. After
	// any other fault the content of the store is unknown, and the table may be written later.
	Committed struct {
		Command  Command
		Revision types.Revision
		Err      error
	}
	// CallCompleted is the result of one call of a CallBatch.
	CallCompleted struct {
		Call   Call
		Result CallResult
		// Connection identifies the connection that carried the call.
		Connection uint64
		// Handover is the warm-up data that the target returned with a release.
		Handover string
		// Slowness is how much longer than usual work takes on the target's machine, as the target answered a probe; 1
		// is normal, 0 means that it reported nothing.
		Slowness float64
	}
	// IncarnationEnded reports that a run of a target is over: nothing listens at its address, or another target has
	// the address.
	IncarnationEnded struct{ Owner Owner }
	// KeysRequested reports keys for which requests arrived, one entry for each request, to measure load.
	KeysRequested struct{ Keys []Key }
)

func (Elected) message()          {}
func (Deposed) message()          {}
func (EraBegan) message()         {}
func (TableKnown) message()       {}
func (Members) message()          {}
func (Loaded) message()           {}
func (LoadFailed) message()       {}
func (TableDamaged) message()     {}
func (Committed) message()        {}
func (CallCompleted) message()    {}
func (IncarnationEnded) message() {}
func (KeysRequested) message()    {}

// Command identifies a LoadTable or CommitTable of a Core, so that its result is told from that of an earlier one. It is never 0.
type Command uint64

// CallKind is the kind of a call to a target.
type CallKind uint8

const (
	// CallGrant grants keys to a target or renews a grant.
	CallGrant CallKind = iota
	// CallRelease ends a target's grant before it expires.
	CallRelease
	// CallProbe reads the target's health page for its load.
	CallProbe
)

// CallResult is the result of a call to a target.
type CallResult uint8

const (
	// CallUnanswered: no answer arrived. The target may still apply the call later.
	CallUnanswered CallResult = iota
	// CallNotSent: the call never left the VM.
	CallNotSent
	// CallDone: the target confirmed the call.
	CallDone
	// CallFenceTooLow: the target refused the grant because it has seen a higher fencing token.
	CallFenceTooLow
	// CallRefused: the target refused the call for another reason.
	CallRefused
	// CallConnectionLost: the renewal was not sent because the connection that carried the grant is closed.
	CallConnectionLost
	// CallWrongTarget: another target answered at the address, so the owner has ended.
	CallWrongTarget
)

// Call is one grant, release or probe to send to a target.
type Call struct {
	Kind     CallKind
	Owner    Owner
	From, To Key
	Fence    types.Epoch
	// TTL is the time to live of the grant.
	TTL time.Duration
	// Handover is the former owner's warm-up data, passed with the first grant.
	Handover string
	// Renewal is true for a grant that was sent before. It may only be sent over Connection, which carried the grant:
	// over another connection it could reach a restarted target.
	Renewal    bool
	Connection uint64
	// SendBefore is when the first grant with a fencing token may no longer be sent, because the token may have been
	// superseded and the target restarted; 0 in all other calls.
	SendBefore types.Instant
	// Path is the path of the health page, for a probe.
	Path string
}

// Action is an output of a Core.
type Action interface{ action() }

type (
	// LoadTable asks for the table in the store.
	LoadTable struct{ Command Command }
	// CommitTable replaces the table in the store if it still has the revision Expected, that of the table last loaded or
	// committed.
	CommitTable struct {
		Command  Command
		Table    Table
		Expected types.Revision
	}
	// ResultDropped reports a result that is not for the read or commit in flight, for the log. Result names its type.
	ResultDropped struct {
		Command Command
		Result  string
	}
	// CallBatch asks for calls to one target, sent in this order. Each is answered by a CallCompleted, the end of the
	// batch by BatchDone. A release is a batch of its own.
	CallBatch struct {
		Owner Owner
		Calls []Call
	}
	// RangesAssigned reports ranges with new owners in a committed table to the other VMs. Base and Next are the
	// table's NextFence before and after the commit.
	RangesAssigned struct {
		Base, Next types.Epoch
		Ranges     []Range
	}
	// KeysMoving reports to the other VMs that ranges have no owner until their move is committed.
	KeysMoving struct {
		Ranges []Range
		// Reason is the cause of the move, for the log.
		Reason string
		// Repeated is true if the ranges have been announced before.
		Repeated bool
	}
	// ExpiryAwaited reports that the core grants nothing for the given time, until all grants of earlier eras of the store have
	// expired, for the log.
	ExpiryAwaited struct{ Wait time.Duration }
	// CommitRefused reports what becomes of the moves after the store has refused a commit, for the log.
	CommitRefused struct {
		// Cancelled are ranges that stay with their present owners, which get grants again, also for keys that they have released.
		Cancelled []Range
		// Waiting are released ranges that have no owner until the store takes a commit: their owner is unusable, or an
		// unanswered commit gives them to another one.
		Waiting []Range
	}
)

func (ResultDropped) action()  {}
func (ExpiryAwaited) action()  {}
func (CommitRefused) action()  {}
func (RangesAssigned) action() {}
func (LoadTable) action()      {}
func (CommitTable) action()    {}
func (CallBatch) action()      {}
func (KeysMoving) action()     {}
