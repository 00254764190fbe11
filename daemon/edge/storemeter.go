package edge

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// storeCallLogInterval is how often the numbers of store calls are logged.
const storeCallLogInterval = 10 * time.Second

// storeCallKind is the kind of a store call, as labelled in the metrics.
type storeCallKind uint8

const (
	callGet storeCallKind = iota
	callList
	callWrite
	callLease
	callRenewal
	callWatch
	// storeCallKinds is the number of kinds.
	storeCallKinds
)

var storeCallNames = [storeCallKinds]string{"get", "list", "write", "lease", "renewal", "watch"}

// meteredStore wraps a store client and counts its calls, except RevokeLease, by kind and result code.
type meteredStore struct {
	store.Store
	metrics *telemetry.Metrics
	log     *telemetry.Log
	counts  [storeCallKinds]atomic.Uint64
}

func (m *meteredStore) count(k storeCallKind, err error) {
	m.counts[k].Add(1)
	answer := "ok"
	if err != nil {
		answer = string(types.CodeOf(err))
	}
	m.metrics.Counter(fmt.Sprintf("sail_store_calls_total{call=%q,answer=%q}", storeCallNames[k], answer)).Inc()
}

// duty returns the duty that logs the numbers of calls since the start.
func (m *meteredStore) duty() duty.Duty {
	return duty.Duty{Name: "store-calls", Run: func(ctx context.Context) error {
		for ctx.Err() == nil {
			duty.Pause(ctx, storeCallLogInterval)
			fields := log.Fields{}
			for k, name := range storeCallNames {
				fields[name] = m.counts[k].Load()
			}
			m.log.Info("calls to the store since the start", fields)
		}
		return nil
	}}
}

func (m *meteredStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := m.Store.Get(ctx, key)
	m.count(callGet, err)
	return e, err
}

func (m *meteredStore) List(ctx context.Context, prefix string) ([]store.Entry, types.Revision, error) {
	e, r, err := m.Store.List(ctx, prefix)
	m.count(callList, err)
	return e, r, err
}

func (m *meteredStore) CAS(ctx context.Context, w store.Write) (types.Revision, error) {
	r, err := m.Store.CAS(ctx, w)
	m.count(callWrite, err)
	return r, err
}

func (m *meteredStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	id, err := m.Store.GrantLease(ctx, ttl)
	m.count(callLease, err)
	return id, err
}

func (m *meteredStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := m.Store.KeepAlive(ctx, id)
	m.count(callRenewal, err)
	return err
}

func (m *meteredStore) Watch(ctx context.Context, prefix string, after types.Revision) ([]store.Event, types.Revision, error) {
	e, r, err := m.Store.Watch(ctx, prefix, after)
	m.count(callWatch, err)
	return e, r, err
}
