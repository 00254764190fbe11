package target

import (
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// kind is the type of a message to the state duty.
type kind uint8

const (
	kindRequest kind = iota
	kindGrant
	kindRenew
	kindRelease
	kindCancel
	kindHealth
	kindLoad
	kindDrain
	// The following are answered even while the target is frozen.
	kindSetFaults
	kindJournal
	kindStats
	kindStop
)

// message is one call. Only the fields of its kind are set.
type message struct {
	kind    kind
	request request
	grant   target.GrantRequest
	renew   target.RenewRequest
	release target.ReleaseRequest
	id      types.RequestID // the request to cancel
	faults  Faults
	after   int // first journal entry wanted
	// reply has a capacity of one.
	reply chan answer
}

// request holds the parts of a service request that the target uses.
type request struct {
	id         types.RequestID
	key        string
	slot       types.Slot // the hash slot of key
	leaseEpoch types.Epoch
	method     string
	crash      bool // the request has HeaderCrash
	// deadline is zero when the request has none.
	deadline time.Time
}

// pastDeadline reports whether the deadline has passed.
func (r request) pastDeadline(now time.Time) bool {
	return !r.deadline.IsZero() && !now.Before(r.deadline)
}

func (r request) writes() bool { return r.method != "GET" && r.method != "HEAD" }

// answer is the reply to a message.
type answer struct {
	fault  *types.Fault
	grant  target.GrantResponse // sent with the fault of a refused grant, renewal or release
	status int
	body   any
	// notRun is true when the request never started.
	notRun bool
	// lose closes the connection without an answer, cut closes it in the middle of the body.
	lose, cut   bool
	incarnation types.Incarnation
	load        target.Load
}

// KeyState is the answer to a service request.
type KeyState struct {
	Key     string `json:"key"`
	Counter uint64 `json:"counter"`
	// LastWriter is the identifier of the last request that wrote the key.
	LastWriter types.RequestID `json:"lastWriter"`
}

// Stats holds counters since the process started.
type Stats struct {
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	// Failed counts requests that started but took no effect, including cancelled ones but not those lost in a crash.
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Refused   uint64 `json:"refused"`
	Crashes   uint64 `json:"crashes"`
	// PeakRunning is the largest number of requests that ran at once.
	PeakRunning int `json:"peakRunning"`
	// Stalled is the number of calls that wait because the target is frozen.
	Stalled int `json:"stalled"`
	// OverAdmitted counts requests that started above the capacity of the cold target.
	OverAdmitted uint64 `json:"overAdmitted"`
	// GrantViolations counts requests that ran because ChecksGrants is off: their grant was not valid, or their lease
	// epoch was below that of an earlier request.
	GrantViolations uint64 `json:"grantViolations"`
}
