package store

import (
	"encoding/json"

	"sequoiasail.example/types"
)

// Paths of the store's HTTP interface. Bodies are JSON; []byte values are base64.
const (
	// PathEntries answers GET with ?key= by an Entry, and with ?prefix= by a ListAnswer.
	PathEntries = "/v1/entries"
	// PathCAS answers POST of a Write by a WriteAnswer.
	PathCAS = "/v1/cas"
	// PathLeaseGrant, PathLeaseKeepAlive and PathLeaseRevoke answer POST of a Lease by a Lease.
	PathLeaseGrant     = "/v1/lease/grant"
	PathLeaseKeepAlive = "/v1/lease/keep-alive"
	PathLeaseRevoke    = "/v1/lease/revoke"
	// PathWatch answers GET with ?prefix=, after= and waitMs= by a WatchAnswer.
	PathWatch = "/v1/watch"
	// PathVMs answers GET by a VMsAnswer.
	PathVMs = "/v1/vms"
)

// HeaderClient names the calling process, for the store's accounting.
const HeaderClient = "Sail-Client"

// ListAnswer is the answer to a list.
type ListAnswer struct {
	Entries  []Entry        `json:"entries"`
	Revision types.Revision `json:"revision"`
}

// WriteAnswer is the answer to a CAS.
type WriteAnswer struct {
	Revision types.Revision `json:"revision"`
}

// WatchAnswer is the answer to a watch.
type WatchAnswer struct {
	Events   []Event        `json:"events"`
	Revision types.Revision `json:"revision"`
}

// Lease is the body of lease calls and their answers.
type Lease struct {
	ID LeaseID `json:"id,omitempty"`
	// TTLMs is in milliseconds.
	TTLMs int64 `json:"ttlMs,omitempty"`
}

// VMsAnswer is the platform's VM list.
type VMsAnswer struct {
	VMs []VMStatus `json:"vms"`
}

// FaultAnswer is the body of every answer whose status is not 200.
type FaultAnswer struct {
	Code    types.Code `json:"code"`
	Message string     `json:"message"`
}

// answerCodes lists the codes by which the store promises that nothing was written.
var answerCodes = map[types.Code]bool{
	types.CodeConflict:         true,
	types.CodeNotFound:         true,
	types.CodeBadRequest:       true,
	types.CodeBodyTooLarge:     true,
	types.CodeStoreUnavailable: true,
}

// decodeFault returns the fault of a refusal, or false when the body makes no known promise.
func decodeFault(body []byte) (*types.Fault, bool) {
	var a FaultAnswer
	if json.Unmarshal(body, &a) != nil || !answerCodes[a.Code] {
		return nil, false
	}
	return types.NewFault(a.Code, "%s", a.Message), true
}

// decode reads one JSON answer.
func decode[T any](body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, types.WrapFault(types.CodeInternal, err, "decode store answer")
	}
	return v, nil
}
