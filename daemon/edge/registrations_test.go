package edge

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// removalCase describes a fleet of which some VMs, the watching ones and the coordinator among them, get no answers of the store for
// a while. The store removes the registration of a target that leaves without announcing it around the time at which they are
// answered again.
type removalCase struct {
	// refused is true if the store refuses the VMs instead of not answering.
	refused bool
	// outage is how long the VMs get no answer, removedAfter when the registration is removed, counted from the end of the outage.
	outage       time.Duration
	removedAfter time.Duration
}

const (
	removalDeadline = 2500 * time.Millisecond
	// contactTime is how long after the end of an outage the platform's bounds do not hold for a VM yet.
	contactTime = 3 * time.Second
)

// remove removes the registration of a target.
func (f *simFleet) remove(ctx context.Context, t *testing.T, id types.Target) {
	t.Helper()
	key, _ := standin.Registration(standin.TargetSettings{Target: id}, "", false, 0)
	if err := standin.Replace(ctx, f.store.Client("operator"), store.Write{Key: key, Delete: true}); err != nil {
		t.Fatal(err)
	}
}

// run plays the case and returns for how much longer than allowed a VM uses the removed target, for the worst VM that the store
// answered all the time and for the worst of the others.
func (c removalCase) run(ctx context.Context, t *testing.T, f *simFleet) (calm, returned time.Duration) {
	duty.Pause(ctx, simSettleTime)
	away := f.watchingVMs(ctx, t)
	away["vm-07"] = true
	f.refuses = c.refused
	f.silence(ctx, t, away)
	duty.Pause(ctx, c.outage+min(0, c.removedAfter))
	var removedAt, endedAt time.Duration
	remove := func() { f.remove(ctx, t, "leaving"); removedAt = time.Since(f.began) }
	end := func() { f.silent.Store(nil); endedAt = time.Since(f.began) }
	if c.removedAfter < 0 {
		remove()
		duty.Pause(ctx, -c.removedAfter)
		end()
	} else {
		end()
		duty.Pause(ctx, c.removedAfter)
		remove()
	}
	duty.Pause(ctx, simPatience)
	calm, returned = -simPatience, -simPatience
	for name, v := range f.vms {
		learntAt := time.Duration(v.learntAt.Load())
		if learntAt == 0 {
			learntAt = time.Since(f.began)
		}
		bound := removedAt + removalDeadline - forwardingReserve
		if away[name] {
			returned = max(returned, learntAt-max(bound, endedAt+contactTime))
		} else {
			calm = max(calm, learntAt-bound)
		}
	}
	return calm, returned
}

// Guards against requests to a target that has left without announcing it, whose registration a VM keeps because it takes the
// removal for one that lapsed in an outage of the store: the VM itself was not answered for a while, or a neighbour told it so.
func TestRemovedTargetIsNotKeptAfterOthersWereCutOff(t *testing.T) {
	for _, refused := range []bool{false, true} {
		for _, outage := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
			for _, after := range []time.Duration{-500, -100, 0, 100, 300, 600, 1000, 1500} {
				c := removalCase{refused: refused, outage: outage, removedAfter: after * time.Millisecond}
				t.Run(fmt.Sprintf("refused=%v/%v/%v", refused, outage, c.removedAfter), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newSimFleet(t.Context(), t, propagationCase{deadline: removalDeadline, revoke: true})
						defer f.stop(context.Background(), t)
						calm, returned := c.run(t.Context(), t, f)
						t.Logf("used for longer than allowed: %v and %v", calm, returned)
						if calm > 0 || returned > 0 {
							t.Errorf("used for longer than allowed: %v by a VM that was answered all the time, %v by one that was cut off", calm, returned)
						}
					})
				})
			}
		}
	}
}

// Guards against the target of a missing registration that is used until the registrations change the next time, because a read
// beside the watch has failed while the registration was kept after an outage of the store.
func TestFailedReadDoesNotKeepMissingRegistration(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	sc := newRegistryCache(now)
	sc.now = func() types.Instant { return now }
	sc.noteStoreAnswer(now)
	targets := func(u update) { u.prefix = platform.TargetPrefix; sc.apply(t.Context(), u) }
	targets(update{snapshot: true, revision: 6, entries: []store.Entry{goodRegistration("i-1", 6)}})
	now = now.Add(time.Minute)
	targets(update{snapshot: true, revision: 7})
	is.Equal(len(sc.registry.List()), 1)
	targets(update{audit: true, err: types.NewFault(types.CodeTimeout, "no answer")})
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		sc.noteStoreAnswer(now)
	}
	sc.registry.Expire(now)
	is.Equal(len(sc.registry.List()), 0)
}

// Guards against requests to targets that have turned cold before the end of the evacuation of their data centre, but whose
// registrations arrive after it: the watches of both pause on their own.
func TestEndOfEvacuationWaitsForRegistrations(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	sc := newRegistryCache(now)
	sc.now = func() types.Instant { return now }
	followAll(sc, now)
	answered := func() { sc.handle(t.Context(), storeAnswered{sentAt: now}) }
	sc.handle(t.Context(), update{prefix: platform.TargetPrefix, snapshot: true, revision: 6, entries: []store.Entry{goodRegistration("i-1", 6)}})
	sc.handle(t.Context(), update{prefix: platform.OperatorPrefix, events: []store.Event{{Entry: evacuation(0)}}})
	is.True(sc.evacuated())
	now = now.Add(8 * time.Second)
	answered()
	sc.handle(t.Context(), update{prefix: platform.OperatorPrefix, events: []store.Event{{Entry: evacuation(0), Deleted: true}}})
	answered()
	is.True(sc.evacuated())
	now = now.Add(watchSpacing)
	answered()
	is.True(sc.evacuated())
	now = now.Add(watchCallReserve)
	answered()
	is.True(!sc.evacuated())
}
