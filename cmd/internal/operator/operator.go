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

// Store is the part of the platform's store API that operators use.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Entry, types.Revision, error)
	CAS(ctx context.Context, w store.Write) (types.Revision, error)
	Watch(ctx context.Context, prefix string, after types.Revision) ([]store.Event, types.Revision, error)
}

// Fleet queries the status of the processes.
type Fleet interface {
	// Query returns one report per process, in the order of the settings.
	Query(ctx context.Context) []StatusReport
}

// Operator performs actions on behalf of one person. It is not safe for concurrent use.
type Operator struct {
	Store Store
	Fleet Fleet
	// Name is the person's name, as it appears in the history.
	Name string
	// Now returns the wall-clock time.
	Now func() time.Time
	// NewWriteID returns a unique write identifier.
	NewWriteID func() string
}

// RandomWriteID returns a generator of write identifiers: the operator's name followed by 16 random bytes in hexadecimal.
func RandomWriteID(name string) func() string {
	return func() string {
		var b [16]byte
		_, _ = rand.Read(b[:]) // never fails, see crypto/rand
		return name + "-" + hex.EncodeToString(b[:])
	}
}

// StoredConfiguration is the configuration in force with the store revision and the identifier of the write that stored
// it. Its version is 0 when the store holds none.
type StoredConfiguration struct {
	Configuration config.Configuration
	Revision      types.Revision
	WriteID       string
}

// Current reads the configuration in force. If the store holds none, it returns the zero value and no error.
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

// historyTime returns the current time in the format of history records.
func (o *Operator) historyTime() string { return o.Now().UTC().Format(time.RFC3339) }

// sleep pauses for d. It returns a CodeDeadlineExceeded fault when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !duty.Pause(ctx, d) {
		return types.WrapFault(types.CodeDeadlineExceeded, ctx.Err(), "stopped waiting")
	}
	return nil
}

// isNotFound reports whether err means that a key does not exist.
func isNotFound(err error) bool { return types.CodeOf(err) == types.CodeNotFound }
