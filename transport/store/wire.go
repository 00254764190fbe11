package store

import (
	"encoding/json"

	"sequoiasail.example/types"
)

// Paths of the store's HTTP interface. Bodies are JSON; []byte values are base64.
const (
	// PathEntries accepts GET and returns an Entry for ?key= and a ListResponse for ?prefix=.
	PathEntries = "/v1/entries"
	// PathCAS accepts POST of a Write and returns a WriteResponse.
	PathCAS = "/v1/cas"
	// PathLeaseGrant, PathLeaseKeepAlive and PathLeaseRevoke accept POST of a Lease and return a Lease.
	PathLeaseGrant     = "/v1/lease/grant"
	PathLeaseKeepAlive = "/v1/lease/keep-alive"
	PathLeaseRevoke    = "/v1/lease/revoke"
	// PathWatch accepts GET with ?prefix=, after= and waitMs= and returns a WatchResponse.
	PathWatch = "/v1/watch"
	// PathVMs accepts GET and returns a VMsResponse.
	PathVMs = "/v1/vms"
)

// HeaderClient carries the name of the calling process, for the store's accounting.
const HeaderClient = "Sail-Client"

// ListResponse is the response to Store.List. Revision is the store revision of the read.
type ListResponse struct {
	Entries  []Entry        `json:"entries"`
	Revision types.Revision `json:"revision"`
}

// WriteResponse is the response to Store.CAS. Revision is the revision of the write.
type WriteResponse struct {
	Revision types.Revision `json:"revision"`
}

// WatchResponse is the response to Store.Watch. Revision is the one to continue from.
type WatchResponse struct {
	Events   []Event        `json:"events"`
	Revision types.Revision `json:"revision"`
}

// Lease is the body of lease calls and their responses.
type Lease struct {
	ID LeaseID `json:"id,omitempty"`
	// TTLMs is the time to live, in milliseconds.
	TTLMs int64 `json:"ttlMs,omitempty"`
}

// VMsResponse is the response to VMList.VMs.
type VMsResponse struct {
	VMs []VMStatus `json:"vms"`
}

// FaultResponse is the body of every response whose status is not 200.
type FaultResponse struct {
	Code    types.Code `json:"code"`
	Message string     `json:"message"`
}

// notWrittenCodes are the fault codes with which the store guarantees that nothing was written.
var notWrittenCodes = map[types.Code]bool{
	types.CodeConflict:         true,
	types.CodeNotFound:         true,
	types.CodeBadRequest:       true,
	types.CodeBodyTooLarge:     true,
	types.CodeStoreUnavailable: true,
}

// decodeFault returns the fault of a response with one of notWrittenCodes, or false for any other body.
func decodeFault(body []byte) (*types.Fault, bool) {
	var a FaultResponse
	if json.Unmarshal(body, &a) != nil || !notWrittenCodes[a.Code] {
		return nil, false
	}
	return types.NewFault(a.Code, "%s", a.Message), true
}

// decode decodes the JSON body of a response.
func decode[T any](body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, types.WrapFault(types.CodeInternal, err, "decode store answer")
	}
	return v, nil
}
