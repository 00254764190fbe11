package dispatcher

import (
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

func newTestPlannerLease(f *fakeStore) *plannerLease {
	out := ring.New[leaseInput](8)
	return &plannerLease{
		store: f, self: testSelf(), out: out, log: quietLog(), available: true,
		placer:  newPlacer(out, quietLog(), telemetry.NewMetrics()),
		writeID: func() string { return "w" },
	}
}

// takeNotifications returns the next message to the ownership duty and the leader state sent to the planner duty.
func takeNotifications(is *is.I, p *plannerLease) (ownership.MessageKind, bool) {
	is.Helper()
	m, ok := p.out.TryGet()
	is.True(ok)
	isLeader, ok := p.placer.in.TryGet()
	is.True(ok)
	return m.message.Kind, *isLeader.isLeader
}

// Guards against a planner that keeps planning after its lease has ended, and against one that never tries to acquire
// the lease again.
func TestLostPlannerLease(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	p := newTestPlannerLease(f)
	is.NoErr(p.advance(t.Context()))
	kind, isLeader := takeNotifications(is, p)
	is.Equal(kind, ownership.KindPlannerGained)
	is.True(isLeader)
	is.Equal(string(f.entry.Value), string(testVM))

	f.keepAliveErr = types.NewFault(types.CodeNotFound, "test")
	is.NoErr(p.advance(t.Context()))
	kind, isLeader = takeNotifications(is, p)
	is.Equal(kind, ownership.KindPlannerLost)
	is.True(!isLeader)
	is.NoErr(p.advance(t.Context())) // the store deletes the key with its lease
	kind, _ = takeNotifications(is, p)
	is.Equal(kind, ownership.KindPlannerGained)
}

// Guards against a planner that gives up its lease at the first failed call, or that keeps planning although its lease
// must have expired.
func TestUnreachableStoreEndsPlannerLeaseAfterTTL(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	p := newTestPlannerLease(f)
	is.NoErr(p.advance(t.Context()))
	takeNotifications(is, p)
	f.keepAliveErr = types.NewFault(types.CodeTimeout, "test")
	is.NoErr(p.advance(t.Context()))
	is.Equal(p.out.Depth(), 0)
	p.renewedAt = telemetry.Now().Add(-plannerTTL)
	is.NoErr(p.advance(t.Context()))
	kind, _ := takeNotifications(is, p)
	is.Equal(kind, ownership.KindPlannerLost)
	is.NoErr(p.advance(t.Context()))
	is.Equal(p.out.Depth(), 0) // it waits for the watch to show that the key is absent
}

// Guards against a second planner, and against a store lease that is not revoked after a lost race for the planner key.
func TestConflictRevokesPlannerLease(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{casErr: types.NewFault(types.CodeConflict, "test")}
	p := newTestPlannerLease(f)
	is.NoErr(p.advance(t.Context()))
	is.Equal(p.out.Depth(), 0)
	is.Equal(f.revokedLeases, []store.LeaseID{5})
	is.True(!p.available)
}
