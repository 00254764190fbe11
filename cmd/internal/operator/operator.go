package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Store is the part of the platform's store that operators need.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Entry, types.Revision, error)
	CAS(ctx context.Context, w store.Write) (types.Revision, error)
	Watch(ctx context.Context, prefix string, after types.Revision) ([]store.Event, types.Revision, error)
}

// Fleet asks the processes for their status.
type Fleet interface {
	// Query returns one report for each process, in the order of the settings.
	Query(ctx context.Context) []Report
}

// Operator acts for one person. It is owned by one goroutine.
type Operator struct {
	Store Store
	Fleet Fleet
	// Name of the person, as it appears in the history.
	Name string
	// Now returns the wall-clock time.
	Now func() time.Time
	// NewWriteID returns an identifier that no other write has.
	NewWriteID func() string
}

// RandomWriteID returns a source of write identifiers that start with the operator's name.
func RandomWriteID(name string) func() string {
	return func() string {
		var b [16]byte
		_, _ = rand.Read(b[:]) // never fails, see crypto/rand
		return name + "-" + hex.EncodeToString(b[:])
	}
}

// StoredConfiguration is the configuration in force. The version is 0 when there is none.
type StoredConfiguration struct {
	Configuration config.Configuration
	Revision      types.Revision
	WriteID       string
}

// Current reads the configuration in force. A store without one is no fault.
func (o *Operator) Current(ctx context.Context) (StoredConfiguration, error) {
	e, err := o.Store.Get(ctx, config.KeyCurrent)
	if isNotFound(err) {
		return StoredConfiguration{}, nil
	}
	if err != nil {
		return StoredConfiguration{}, err
	}
	c, err := config.Parse(e.Value)
	if err != nil {
		return StoredConfiguration{}, types.WrapFault(types.CodeBadConfiguration, err, "the stored configuration is damaged")
	}
	return StoredConfiguration{Configuration: c, Revision: e.Revision, WriteID: e.WriteID}, nil
}

// timestamp returns the time for history records.
func (o *Operator) timestamp() string { return o.Now().UTC().Format(time.RFC3339) }

// waitFor waits for d without using the processor. It returns a CodeDeadlineExceeded fault when ctx ends first.
func waitFor(ctx context.Context, d time.Duration) error {
	if !duty.Pause(ctx, d) {
		return types.WrapFault(types.CodeDeadlineExceeded, ctx.Err(), "stopped waiting")
	}
	return nil
}

// isNotFound reports whether err says that a key does not exist.
func isNotFound(err error) bool { return types.CodeOf(err) == types.CodeNotFound }
