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
	Hash types.KeyHash `json:"hash"`
	// Owned is false when the key's slot is in the grant but the key itself belongs to another target.
	Owned bool        `json:"owned"`
	Epoch types.Epoch `json:"epoch"`
}

// GrantRequest gives a target its slots. It replaces the slots of an earlier grant.
type GrantRequest struct {
	// LeaseEpoch is the fencing token. A target refuses an epoch lower than the highest it has seen.
	LeaseEpoch types.Epoch `json:"leaseEpoch"`
	Slots      []SlotRun   `json:"slots"`
	HotKeys    []HotKey    `json:"hotKeys,omitempty"`
	// TTL is the time to live, in nanoseconds when encoded. The target counts it from the arrival of the call. Zero
	// installs the slots without running requests for them until the first renewal: a grant that was delayed on its
	// way, for example to a frozen target, then gains no time from its late arrival.
	TTL time.Duration `json:"ttl"`
}

// RenewRequest extends a grant.
type RenewRequest struct {
	LeaseEpoch types.Epoch `json:"leaseEpoch"`
	// Token is the token of an earlier answer. The target counts TTL from the time it issued the token.
	Token string `json:"token"`
	// TTL is the time to live, in nanoseconds when encoded.
	TTL time.Duration `json:"ttl"`
}

// GrantAnswer confirms a grant or a renewal.
type GrantAnswer struct {
	// Token is echoed by the next renewal.
	Token string `json:"token"`
	// Incarnation tells one run of the target from the next.
	Incarnation types.Incarnation `json:"incarnation"`
}

// ReleaseRequest takes slots from a grant. After the answer the target runs no request for them under LeaseEpoch.
type ReleaseRequest struct {
	LeaseEpoch types.Epoch     `json:"leaseEpoch"`
	Slots      []SlotRun       `json:"slots"`
	HotKeys    []types.KeyHash `json:"hotKeys,omitempty"`
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
	// Grant gives the target its slots. A stale-epoch fault means that the target has seen a higher lease epoch.
	Grant(ctx context.Context, g GrantRequest) (GrantAnswer, error)
	// Renew extends the grant. A not-lease-holder fault means that the grant has expired or was never given.
	Renew(ctx context.Context, r RenewRequest) (GrantAnswer, error)
	// Release takes slots from the grant. It answers after the requests that run for these slots have ended.
	Release(ctx context.Context, r ReleaseRequest) error
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
