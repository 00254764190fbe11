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

func newTestPlanner(f *fakeStore) *plannerLease {
	out := ring.New[leaseInput](8)
	return &plannerLease{
		store: f, self: testSelf(), out: out, log: quietLog(), free: true,
		placer:  newPlacer(out, quietLog(), telemetry.NewMetrics()),
		writeID: func() string { return "w" },
	}
}

// told returns what the ownership duty and the placement core were told about the lease, in this order.
func told(is *is.I, p *plannerLease) (ownership.MessageKind, bool) {
	is.Helper()
	m, ok := p.out.TryGet()
	is.True(ok)
	lead, ok := p.placer.in.TryGet()
	is.True(ok)
	return m.message.Kind, *lead.lead
}

// Guards against a planner that goes on after its lease ended, and against one that never competes again.
func TestLostPlannerLease(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	p := newTestPlanner(f)
	is.NoErr(p.advance(t.Context()))
	kind, lead := told(is, p)
	is.Equal(kind, ownership.KindPlannerGained)
	is.True(lead)
	is.Equal(string(f.entry.Value), string(testVM))

	f.keepAliveErr = types.NewFault(types.CodeNotFound, "test")
	is.NoErr(p.advance(t.Context()))
	kind, lead = told(is, p)
	is.Equal(kind, ownership.KindPlannerLost)
	is.True(!lead)
	is.NoErr(p.advance(t.Context())) // the key is gone with the lease
	kind, _ = told(is, p)
	is.Equal(kind, ownership.KindPlannerGained)
}

// Guards against a planner that gives up at the first failed call, or that goes on although its lease has certainly
// ended.
func TestUnreachableStoreEndsTheLeaseAfterItsTime(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	p := newTestPlanner(f)
	is.NoErr(p.advance(t.Context()))
	told(is, p)
	f.keepAliveErr = types.NewFault(types.CodeTimeout, "test")
	is.NoErr(p.advance(t.Context()))
	is.Equal(p.out.Depth(), 0)
	p.renewedAt = telemetry.Now().Add(-plannerTTL)
	is.NoErr(p.advance(t.Context()))
	kind, _ := told(is, p)
	is.Equal(kind, ownership.KindPlannerLost)
	is.NoErr(p.advance(t.Context()))
	is.Equal(p.out.Depth(), 0) // it waits for the watch to show that the key is absent
}

// Guards against a second planner, and against a lease of the store that is left behind by the one that lost the race.
func TestConflictLeavesThePlannerToTheOther(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{casErr: types.NewFault(types.CodeConflict, "test")}
	p := newTestPlanner(f)
	is.NoErr(p.advance(t.Context()))
	is.Equal(p.out.Depth(), 0)
	is.Equal(f.revokedLeases, []store.LeaseID{5})
	is.True(!p.free)
}
