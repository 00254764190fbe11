// Package target reaches targets: the Client interface, and an HTTP adapter that implements it.
//
// Control calls fail with a *types.Fault. Do fails with a *Failure, which wraps the fault and says how far the
// request came. The package owns the connections to a target. It makes no decisions and never retries.
package target

import (
	"context"
	"net/http"
	"time"

	"sequoiasail.example/types"
)

// SlotRun is a run of consecutive slots that were assigned at the same epoch.
type SlotRun struct {
	Start types.Slot  `json:"start"`
	Count uint32      `json:"count"`
	Epoch types.Epoch `json:"epoch"`
}

// HotKey is a key that is owned apart from its slot.
type HotKey struct {
	Hash  types.KeyHash `json:"hash"`
	Epoch types.Epoch   `json:"epoch"`
}

// Authority is what every call about a grant carries. A target accepts a call only with a token that it issued in its
// present incarnation, less than the time to live ago, and that is newer than the last one it accepted. A call that
// was delayed on its way, for example to a frozen target, can then neither extend a grant nor bring back slots that
// were taken away meanwhile.
type Authority struct {
	// LeaseEpoch is the fencing token. A target refuses an epoch lower than the highest it has seen.
	LeaseEpoch types.Epoch `json:"leaseEpoch"`
	// Token is the token of the newest answer, 0 when there is none. A call without a token is refused with one.
	Token       uint64            `json:"token"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// GrantRequest gives a target its slots and extends its grant. It replaces the slots of an earlier grant.
type GrantRequest struct {
	Authority
	Slots []SlotRun `json:"slots"`
	// Except lists keys in these slots that other targets own.
	Except []types.KeyHash `json:"except,omitempty"`
	// HotKeys lists keys that the target owns wherever their slots are.
	HotKeys []HotKey `json:"hotKeys,omitempty"`
	// TTL is the time to live from the issue of the token, in nanoseconds when encoded.
	TTL time.Duration `json:"ttl"`
}

// RenewRequest extends a grant.
type RenewRequest struct {
	Authority
	// TTL is the time to live from the issue of the token, in nanoseconds when encoded.
	TTL time.Duration `json:"ttl"`
}

// GrantAnswer answers every call about a grant, also a refusal.
type GrantAnswer struct {
	// Token is to be sent with the next call. Tokens of one incarnation rise.
	Token uint64 `json:"token"`
	// Incarnation tells one run of the target from the next.
	Incarnation types.Incarnation `json:"incarnation"`
}

// ReleaseRequest ends a grant. After the answer the target runs no request under LeaseEpoch.
type ReleaseRequest struct {
	Authority
}

// Request is one caller's request on its way to a target.
type Request struct {
	RequestID  types.RequestID
	Service    types.Service
	Key        string
	Slot       types.Slot
	LeaseEpoch types.Epoch
	Method     string
	// Path is the path and query at the target, starting with a slash.
	Path string
	// Header is sent as it is, apart from the Sail- headers, which the adapter sets.
	Header http.Header
	Body   []byte
	// Deadline bounds the call, and the target is told the time that is left. Zero means the context's deadline.
	Deadline time.Time
}

// Load is a target's own report of its load.
type Load struct {
	// Running is the number of requests that the target runs now.
	Running int `json:"running"`
	// Slots is the number of requests that the target can run at once.
	Slots int `json:"slots"`
}

// Response is a target's complete answer.
type Response struct {
	Status      int
	Header      http.Header
	Body        []byte
	Incarnation types.Incarnation
	Load        Load
}

// State is a target's own view of its condition.
type State string

// States of a target.
const (
	StateServing  State = "serving"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// Health is a target's answer to a health check. It may lag or mislead.
type Health struct {
	State       State             `json:"state"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// Client calls one target over at most one connection, which is opened when a call needs it. Calls wait for each
// other, so a duty that must not wait behind a request, for example to cancel it, owns another Client.
type Client interface {
	// Grant gives the target its slots. It and the next two return the answer together with a refusal: stale-token
	// when the token is missing, used, expired or of another incarnation, stale-epoch when the target has seen a
	// higher lease epoch, not-lease-holder when the grant of this epoch has ended.
	Grant(ctx context.Context, g GrantRequest) (GrantAnswer, error)
	// Renew extends the grant.
	Renew(ctx context.Context, r RenewRequest) (GrantAnswer, error)
	// Release ends the grant. It answers after the requests that run under it have ended.
	Release(ctx context.Context, r ReleaseRequest) (GrantAnswer, error)
	// Do sends one request and returns the complete answer. Every error is a *Failure.
	Do(ctx context.Context, r Request) (Response, error)
	// Cancel asks the target to abandon a request. A request that has not arrived yet is refused when it does.
	Cancel(ctx context.Context, id types.RequestID) error
	// Health returns the target's view of its condition.
	Health(ctx context.Context) (Health, error)
	// Load returns the target's load report.
	Load(ctx context.Context) (Load, error)
	// Drain asks the target to refuse new requests and finish those that run.
	Drain(ctx context.Context) error
	// CloseConnection closes the connection. The next call opens a new one. It must not overlap with another call.
	CloseConnection()
}
