package keyspace

import (
	"time"

	"sequoiasail.example/types"
)

// Member is a target as the keeper sees it.
type Member struct {
	Owner Owner
	Slots int
	// Usable targets may get keys. A target that is draining, evacuated or unreachable is a member but not usable.
	Usable bool
	// ColdUntil is when the target stops being cold. Cold targets get keys only while no warm target is usable.
	ColdUntil types.Instant
}

// Message is an input of a Core.
type Message interface{ message() }

type (
	// Elected reports that this VM is the keeper until Until. Acquired is set by the first report of a term, Alone if no
	// earlier keeper can still be valid then.
	Elected struct {
		Until    types.Instant
		Acquired bool
		Alone    bool
	}
	// Deposed reports the end of the term.
	Deposed struct{}
	// Members replaces the members of the service. Ended lists lives that surely hold nothing any more.
	Members struct{ Members []Member }
	// Loaded answers Load. Found is false when the store holds no table.
	Loaded struct {
		Table Table
		Found bool
	}
	// LoadFailed reports that Load has to be repeated.
	LoadFailed struct{}
	// Committed answers Commit. Err has CodeStoreUnavailable when nothing was written; any other fault means that the table
	// in the store is not known.
	Committed struct{ Err error }
	// Called answers one call of a Batch.
	Called struct {
		Call   Call
		Result CallResult
		// Connection is the one that carried the call.
		Connection uint64
		// Handover is what the target returned at a release.
		Handover string
		// Slowness is what the target said of its machine at a probe; 0 when it said nothing.
		Slowness float64
	}
	// Ended reports that a life of a target is over: nothing listens at its address, or another target has it.
	Ended struct{ Owner Owner }
	// Requested reports requests for keys, to measure their load.
	Requested struct{ Keys []Key }
)

func (Elected) message()    {}
func (Deposed) message()    {}
func (Members) message()    {}
func (Loaded) message()     {}
func (LoadFailed) message() {}
func (Committed) message()  {}
func (Called) message()     {}
func (Ended) message()      {}
func (Requested) message()  {}

// CallKind tells grants from releases.
type CallKind uint8

// Kinds of calls.
const (
	CallGrant CallKind = iota
	CallRelease
	// CallProbe asks a target for its load.
	CallProbe
)

// CallResult is how a call to a target ended.
type CallResult uint8

// Results of calls.
const (
	// CallUnanswered calls may still be carried out later.
	CallUnanswered CallResult = iota
	// CallNotSent calls never left the VM.
	CallNotSent
	// CallDone calls were confirmed.
	CallDone
	// CallFenced grants were refused because the target has seen a higher fence.
	CallFenced
	// CallInvalid calls were refused for another reason.
	CallInvalid
	// CallReconnect renewals were not sent because the connection of the grant is gone.
	CallReconnect
	// CallOther calls reached another target, which now has the address: the owner has ended.
	CallOther
)

// Call is one order to a target.
type Call struct {
	Kind     CallKind
	Owner    Owner
	From, To Key
	Fence    types.Epoch
	Hold     time.Duration
	Handover string
	// Renewal is true for a grant that was sent before. It may only go over Connection, which carried the grant: over
	// another one it might reach a later life of the target.
	Renewal    bool
	Connection uint64
	// Path is the health page, for a probe.
	Path string
}

// Action is an output of a Core.
type Action interface{ action() }

type (
	// Load asks for the table in the store.
	Load struct{}
	// Commit replaces the table in the store if it still is the one that was last loaded or committed.
	Commit struct{ Table Table }
	// Batch orders calls to one target, in this order, each answered by Called.
	Batch struct {
		Owner Owner
		Calls []Call
	}
	// Owned tells the VMs about the ranges that have new owners in a committed table. Base and Next are NextFence of the
	// table before and after.
	Owned struct {
		Base, Next types.Epoch
		Ranges     []Range
	}
	// Moving tells the VMs that keys have no owner for a moment.
	Moving struct {
		Ranges []Range
		// Reason says why they move, for the log.
		Reason string
	}
)

func (Owned) action()  {}
func (Load) action()   {}
func (Commit) action() {}
func (Batch) action()  {}
func (Moving) action() {}
