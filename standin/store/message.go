package store

import (
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// kind is the type of a message to the state duty. Calls are counted by kind.
type kind uint8

const (
	kindGet kind = iota
	kindList
	kindCAS
	kindLeaseGrant
	kindLeaseKeepAlive
	kindLeaseRevoke
	kindWatch
	kindVMs
	kindSetVMs
	kindSetFaults
	kindCompact
	kindSnapshot
	kindRestore
	kindCount
)

// kindNames are the names of the kinds. Those of counted calls appear in the answer to PathCalls.
var kindNames = [kindCount]string{
	"get", "list", "cas", "leaseGrant", "leaseKeepAlive", "leaseRevoke", "watch", "vms", "setVMs", "setFaults", "compact", "snapshot", "restore",
}

// message is one call. Only the fields of its kind are set.
type message struct {
	kind   kind
	client string
	key    string // key or prefix
	write  store.Write
	lease  store.LeaseID
	ttl    time.Duration
	after  types.Revision
	wait   time.Duration
	vms    []store.VMStatus
	faults Faults
	// reply has a capacity of one.
	reply chan answer
}

// answer is the reply to a message. A nil fault means success.
type answer struct {
	fault    *types.Fault
	entry    store.Entry
	entries  []store.Entry
	events   []store.Event
	revision types.Revision
	lease    store.LeaseID
	vms      []store.VMStatus
	// lose is true when the answer must not reach the caller.
	lose bool
}

// watchEnded is the answer to a watch that the store ends early.
var watchEnded = failed(types.CodeStoreUnavailable, "watch ended")

func failed(code types.Code, format string, args ...any) answer {
	return answer{fault: types.NewFault(code, format, args...)}
}
