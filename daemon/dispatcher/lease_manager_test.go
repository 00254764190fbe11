package dispatcher

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// newTestLeaseManager returns a manager that knows the configuration, and the worker that it tells.
func newTestLeaseManager(t *testing.T) (*leaseManager, *testWorker) {
	w := newTestWorker(t, nil)
	k := newLeaseManager(testSelf(), quietLog(), telemetry.NewMetrics(), w.worker)
	k.apply(context.Background(), leaseInput{
		message: ownership.Message{Kind: ownership.KindConfiguration, Configuration: testConfiguration()},
	})
	return k, w
}

// Guards against a permit from a read of the store whose changes the watch has not delivered yet.
func TestReadIsFreshOnlyAfterTheWatchDeliveredIt(t *testing.T) {
	is := is.New(t)
	k, _ := newTestLeaseManager(t)
	ctx := context.Background()
	k.apply(ctx, leaseInput{revision: 4})
	k.apply(ctx, leaseInput{fresh: &freshness{sentAt: telemetry.Now(), revision: 5}})
	k.apply(ctx, leaseInput{fresh: &freshness{sentAt: telemetry.Now(), revision: 7}})
	is.Equal(len(k.pending), 2)
	k.apply(ctx, leaseInput{revision: 6})
	is.Equal(len(k.pending), 1) // the read at revision 7 still waits
	k.apply(ctx, leaseInput{revision: 3})
	is.Equal(len(k.pending), 1) // a late delivery takes nothing back
	k.apply(ctx, leaseInput{revision: 7})
	is.Equal(len(k.pending), 0)
}

// Guards against a stop that leaves rows owned, or that does not name who takes the lease over.
func TestStopReleasesEverythingToTheNextDispatcher(t *testing.T) {
	is := is.New(t)
	k, w := newTestLeaseManager(t)
	ctx := context.Background()
	document := ownership.Document{Key: ownership.LeasesKey(keyedTarget.Service), Store: 1, Leases: &ownership.LeaseDocument{
		Header: ownership.Header{Epoch: 9},
		Leases: []ownership.Lease{{
			Target: keyedTarget.Target, DataCentre: testCentre, State: ownership.LeaseRevoked, Epoch: 9, PreviousEpoch: 8,
			NextHolder: ownership.Peer{VM: nextVM, Incarnation: 1},
		}},
	}}
	k.apply(ctx, leaseInput{message: ownership.Message{
		Kind: ownership.KindStoreRead, Read: ownership.StoreRead{Documents: []ownership.Document{document}},
	}})
	areas := &ownership.KeySet{Slots: []ownership.SlotRange{{First: 2, Count: 3, Epoch: 4}}}
	k.serve(ctx, ownership.Serve{Target: keyedTarget, Epoch: 8, Number: 1, KeySet: areas, ValidUntil: telemetry.Now()})
	served, _ := w.controls.TryGet()
	is.Equal(len(served.serve.owned), 3)
	is.Equal(len(k.page.Current().Leases), 1)
	k.stopServing(ctx, ownership.Serve{Target: keyedTarget, Epoch: 8, Number: 2})
	stopped, _ := w.controls.TryGet()
	is.True(stopped.serve.stopped)
	is.Equal(stopped.serve.next, nextVM)
	is.Equal(stopped.serve.epoch, types.Epoch(8))
	is.Equal(len(stopped.serve.released), 3)
	is.Equal(len(k.page.Current().Leases), 0)
}
