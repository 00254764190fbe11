// Package store is a client of the platform's key-value store: the Store interface, and an HTTP adapter that implements
// it.
//
// Every failure is a *types.Fault with one of these codes:
//
//   - conflict: the expected revision did not match; nothing was written.
//   - not-found: the key, the lease or the requested history does not exist.
//   - bad-request: the store rejected the call as malformed or too large; nothing was written.
//   - store-unavailable: the store could not be reached or refused the call; nothing was written.
//   - timeout, cancelled: the context ended; nothing was written.
//   - answer-lost: a write may have taken effect. The writer must read the key and compare the write identifier.
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

// MaxWatchWait is the longest time that a watch waits for an event.
const MaxWatchWait = 10 * time.Second

// LeaseID identifies a lease of the store. Zero means no lease. It contains an era like a types.Revision.
type LeaseID uint64

// Era returns the era of the store in which the lease was granted.
func (id LeaseID) Era() types.Era { return types.Revision(id).Era() }

// Entry is one key of the store with its value.
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
	// Expected is the revision that the key must have for the write to apply. Number zero means that the key must not exist; if
	// the store has eras, the write then belongs to the era of Expected or else to that of its lease.
	Expected types.Revision `json:"expected"`
	// Value has at most MaxValueBytes. It is ignored when Delete is true.
	Value []byte `json:"value,omitempty"`
	// Lease is the lease that the key is bound to; the store deletes the key when the lease ends. Zero means no lease.
	Lease LeaseID `json:"lease,omitempty"`
	// WriteID uniquely identifies the write, so that the writer can check whether it took effect.
	WriteID string `json:"writeId"`
	// Delete is true when the write deletes the key.
	Delete bool `json:"delete,omitempty"`
}

// Event is one change of a key.
type Event struct {
	// Entry is the state of the key after the change. For a deletion it has no value, and Revision is that of the
	// deletion.
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's key-value store. It is safe for concurrent use. For a context without a deadline the adapter
// applies its default timeout.
type Store interface {
	// Get returns the entry of key, or a not-found fault. With that fault, the revision of the entry has number zero and the era
	// of the store.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, ordered by key, and the store revision of the read.
	List(ctx context.Context, prefix string) ([]Entry, types.Revision, error)
	// CAS applies w if the key has the expected revision, and returns the revision of the write.
	CAS(ctx context.Context, w Write) (types.Revision, error)
	// GrantLease creates a lease that ends after ttl unless it is kept alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its full time to live, or returns a not-found fault when the lease has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits up to MaxWatchWait for changes under prefix that are newer than after. It returns the changes in
	// order, possibly none, and the revision to continue from. A not-found fault means that the store has compacted
	// the history since after: the caller must list again and watch from the revision of the list.
	Watch(ctx context.Context, prefix string, after types.Revision) ([]Event, types.Revision, error)
}

// VMState is the state of a VM in the platform's VM list.
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

// VMList reads the platform's list of VMs. The list lags behind the actual state.
type VMList interface {
	VMs(ctx context.Context) ([]VMStatus, error)
}
