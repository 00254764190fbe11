// Package store reaches the platform's key-value store: the Store interface, and an HTTP adapter that implements it.
//
// Every failure is a *types.Fault with one of these codes:
//
//   - conflict: the expected revision did not match; nothing was written.
//   - not-found: the key, the lease or the requested history does not exist.
//   - bad-request: the store rejected the call as malformed or too large; nothing was written.
//   - store-unavailable: the store could not be reached or refused the call; nothing was written.
//   - timeout, cancelled: the context ended; nothing was written.
//   - answer-lost: a write may have taken effect. The writer reads the key back and compares the write identifier.
//
// The package owns connections to the store. It makes no decisions and never retries.
package store

import (
	"context"
	"time"

	"sequoiasail.example/types"
)

// MaxValueBytes is the largest value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

// MaxWatchWait bounds how long a watch waits for an event.
const MaxWatchWait = 10 * time.Second

// LeaseID names a lease of the store. Zero means no lease.
type LeaseID uint64

// Entry is one stored key.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last write to the key.
	Revision types.Revision `json:"revision"`
	// WriteID is the identifier that the last write carried.
	WriteID string `json:"writeId"`
}

// Write replaces or deletes one key if its revision is the expected one.
type Write struct {
	Key string `json:"key"`
	// Expected is the revision that the key must have. Zero means that the key must not exist.
	Expected types.Revision `json:"expected"`
	// Value holds at most MaxValueBytes. It is ignored by a deletion.
	Value []byte `json:"value,omitempty"`
	// Lease deletes the key when the lease ends. Zero means that the key stays.
	Lease LeaseID `json:"lease,omitempty"`
	// WriteID identifies the write, so that its writer can tell whether it took effect. Unique for each write.
	WriteID string `json:"writeId"`
	// Delete removes the key.
	Delete bool `json:"delete,omitempty"`
}

// Event is one change of a key.
type Event struct {
	// Entry is the key after the change. A deleted key has no value; Revision is the revision of the deletion.
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's key-value store. Calls are safe for concurrent use. A context without a deadline is given
// the default deadline of the adapter.
type Store interface {
	// Get returns the entry of key, or a not-found fault.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, ordered by key, and the store revision they were read at.
	List(ctx context.Context, prefix string) ([]Entry, types.Revision, error)
	// CAS applies w if the key has the expected revision, and returns the revision of the write.
	CAS(ctx context.Context, w Write) (types.Revision, error)
	// GrantLease creates a lease that ends after ttl unless it is kept alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its whole time to live, or returns a not-found fault when the lease has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits up to MaxWatchWait for changes under prefix that are newer than after. It returns the changes in
	// order, possibly none, and the revision to continue from. A not-found fault means that the store no longer
	// holds the history since after: the caller lists and watches from there.
	Watch(ctx context.Context, prefix string, after types.Revision) ([]Event, types.Revision, error)
}

// VMState is the platform's view of a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMStatus is one row of the platform's VM list.
type VMStatus struct {
	VM         types.VM         `json:"vm"`
	DataCentre types.DataCentre `json:"dataCentre"`
	State      VMState          `json:"state"`
}

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList interface {
	VMs(ctx context.Context) ([]VMStatus, error)
}
