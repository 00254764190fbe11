// Package target calls targets: the Client interface, and an HTTP adapter that implements it.
//
// Control calls fail with a *types.Fault. Do fails with a *Failure, which wraps the fault and tells whether the request
// may have been run. The package owns the connections to a target. It makes no decisions and never retries.
package target

import (
	"context"
	"net/http"
	"time"

	"sequoiasail.example/types"
)

// SlotRange is a range of consecutive slots that were assigned at the same epoch.
type SlotRange struct {
	Start types.Slot  `json:"start"`
	Count uint32      `json:"count"`
	Epoch types.Epoch `json:"epoch"`
}

// HotKey is a key that is assigned separately from its slot.
type HotKey struct {
	Hash  types.KeyHash `json:"hash"`
	Epoch types.Epoch   `json:"epoch"`
}

// Fencing holds the fields that protect a target from delayed and outdated grant calls. A target accepts a call only
// with a token that it issued in its current incarnation, less than the time to live ago, and that is newer than the
// last one it accepted. A call that was delayed in transit, for example to a frozen target, can then neither extend a
// grant nor restore slots that were removed in the meantime.
type Fencing struct {
	// LeaseEpoch is the fencing token. A target refuses an epoch lower than the highest it has seen.
	LeaseEpoch types.Epoch `json:"leaseEpoch"`
	// Token is the token of the newest GrantResponse, 0 when there is none. A call without a token is refused, and the
	// refusal carries a token.
	Token       uint64            `json:"token"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// GrantRequest gives a target its slots and extends its grant. It replaces the slots of an earlier grant.
type GrantRequest struct {
	Fencing
	Slots []SlotRange `json:"slots"`
	// Except lists keys in these slots that other targets own.
	Except []types.KeyHash `json:"except,omitempty"`
	// HotKeys lists keys that the target owns whichever target owns their slots.
	HotKeys []HotKey `json:"hotKeys,omitempty"`
	// TTL is the time to live from the issue of the token, in nanoseconds when encoded.
	TTL time.Duration `json:"ttl"`
}

// RenewRequest extends a grant.
type RenewRequest struct {
	Fencing
	// TTL is the time to live from the issue of the token, in nanoseconds when encoded.
	TTL time.Duration `json:"ttl"`
}

// GrantResponse is the response to every grant, renew and release call, also to a refused one.
type GrantResponse struct {
	// Token must be sent with the next call. The tokens of one incarnation increase.
	Token uint64 `json:"token"`
	// Incarnation identifies one run of the target's process.
	Incarnation types.Incarnation `json:"incarnation"`
}

// ReleaseRequest ends a grant. After the response the target runs no request under LeaseEpoch.
type ReleaseRequest struct {
	Fencing
}

// Request is a caller's request that is forwarded to a target.
type Request struct {
	RequestID  types.RequestID
	Service    types.Service
	Key        string
	Slot       types.Slot
	LeaseEpoch types.Epoch
	Method     string
	// Path is the path and query at the target, starting with a slash.
	Path string
	// Header is sent without hop-by-hop and Sail- headers; the adapter sets the latter itself.
	Header http.Header
	Body   []byte
	// Deadline bounds the call; the remaining time is sent to the target. Zero means the context's deadline.
	Deadline time.Time
}

// Load is the load that a target reports.
type Load struct {
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Slots is the number of requests that the target can run concurrently.
	Slots int `json:"slots"`
}

// Response is a target's complete response to a Request.
type Response struct {
	Status      int
	Header      http.Header
	Body        []byte
	Incarnation types.Incarnation
	Load        Load
}

// State is the condition that a target reports.
type State string

// States of a target.
const (
	StateServing  State = "serving"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// Health is a target's response to a health check. It may be outdated or wrong.
type Health struct {
	State       State             `json:"state"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// Client calls one target over at most one connection, which is opened when a call needs it. Calls are serialized, so a
// duty that must not wait behind a request, for example to cancel it, uses a Client of its own.
type Client interface {
	// Grant assigns slots to the target. Grant, Renew and Release return the response together with the fault of a
	// refusal: stale-token when the token is missing, used, expired or of another incarnation, stale-epoch when the
	// target has seen a higher lease epoch, not-lease-holder when the grant of this epoch has ended.
	Grant(ctx context.Context, g GrantRequest) (GrantResponse, error)
	// Renew extends the grant.
	Renew(ctx context.Context, r RenewRequest) (GrantResponse, error)
	// Release ends the grant. It returns after the requests that run under the grant have ended.
	Release(ctx context.Context, r ReleaseRequest) (GrantResponse, error)
	// Do sends one request and returns the complete response. Every error is a *Failure.
	Do(ctx context.Context, r Request) (Response, error)
	// Cancel asks the target to abandon a request. A request that arrives after its cancellation is refused.
	Cancel(ctx context.Context, id types.RequestID) error
	// Health returns the target's state and incarnation.
	Health(ctx context.Context) (Health, error)
	// Load returns the target's load report.
	Load(ctx context.Context) (Load, error)
	// Drain asks the target to refuse new requests and to finish those in progress.
	Drain(ctx context.Context) error
	// CloseConnection closes the connection. The next call opens a new one. It must not run concurrently with another
	// call.
	CloseConnection()
}
