package catalog

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

func names(r *Registry) (list []types.Target) {
	for _, l := range r.List() {
		list = append(list, l.Target)
	}
	return list
}

// newAnsweredRegistry returns a registry with the given registrations, read at now from a store that answers.
func newAnsweredRegistry(now types.Instant, list ...Registration) *Registry {
	r := NewRegistry()
	r.StoreAnswered(now)
	r.Replace(now, list)
	return r
}

// Fails if a target is removed because its registration expired during a store outage, or if one that does not
// register again is kept.
func TestLapsedRegistrationsMayReturnAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	a, b := Registration{Target: "a", Address: "a"}, Registration{Target: "b", Address: "b"}
	r := newAnsweredRegistry(now, a, b)
	is.True(!r.Expire(now.Add(time.Minute)))
	now = now.Add(time.Minute)
	is.Equal(r.StoreAnswered(now), time.Minute)
	r.Replace(now, nil)
	is.Equal(names(r), []types.Target{"a", "b"})
	r.Put(now.Add(time.Second), a)
	r.StoreAnswered(now.Add(time.Second))
	r.StoreAnswered(now.Add(recoveryGrace))
	is.True(r.Expire(now.Add(recoveryGrace)))
	is.Equal(names(r), []types.Target{"a"})
}

// Fails if targets that had no time to register again, because the store went away once more, are removed; or if they are kept
// although they do not register after that outage either.
func TestLapsedRegistrationsMayReturnAfterFurtherOutage(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := newAnsweredRegistry(now, Registration{Target: "a", Address: "a"})
	now = now.Add(time.Minute)
	r.StoreAnswered(now)
	r.Replace(now, nil)
	is.True(!r.Expire(now.Add(time.Minute)))
	now = now.Add(time.Minute)
	r.StoreAnswered(now)
	r.Replace(now, nil)
	r.StoreAnswered(now.Add(time.Second))
	is.True(!r.Expire(now.Add(recoveryGrace - time.Millisecond)))
	r.StoreAnswered(now.Add(recoveryGrace))
	is.True(r.Expire(now.Add(recoveryGrace)))
	is.Equal(len(names(r)), 0)
}

// Fails if VMs extend each other's grace period: a VM that adopts it from another must not keep a missing
// registration longer than that VM does. Reproduces the test run zcsp-brana-grown trouble-2, where requests
// reached a target 2.5 s after its removal.
func TestAdoptedGraceIsNotExtended(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	first, second := NewRegistry(), NewRegistry()
	for _, r := range []*Registry{first, second} {
		r.StoreAnswered(now.Add(-time.Minute))
	}
	first.StoreAnswered(now)
	second.Replace(now, []Registration{{Target: "a", Address: "a"}})
	now = now.Add(recoveryGrace - time.Millisecond)
	second.StoreAnsweredOther(now, 0, first.GraceLeft(now))
	second.Replace(now, nil)
	is.Equal(len(names(second)), 1)
	now = now.Add(time.Millisecond)
	second.StoreAnsweredOther(now, 0, first.GraceLeft(now))
	is.True(second.Expire(now))
	now = now.Add(time.Second)
	second.StoreAnsweredOther(now, 0, first.GraceLeft(now))
	is.Equal(second.GraceLeft(now), time.Duration(0))
}

// Fails if a VM keeps the target of a removed registration because a neighbour does so after the store did not answer that
// neighbour: the store has answered this VM all the time.
func TestGraceOfAnotherVMIsNotAdoptedWithoutOutage(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := newAnsweredRegistry(now, Registration{Target: "a", Address: "a"})
	now = now.Add(lapseTime - time.Millisecond)
	is.Equal(r.StoreAnsweredOther(now, 0, recoveryGrace), time.Duration(0))
	is.Equal(r.Remove(now, "a"), Removal{Target: "a"})
	is.Equal(len(names(r)), 0)
}

// Fails if a VM that the store alone has not answered takes removals after that for registrations that expired in an outage,
// although answers to its neighbours show that there was none.
func TestAnswersToOthersShowThatThereWasNoOutage(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := newAnsweredRegistry(now, Registration{Target: "a", Address: "a"})
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		is.Equal(r.StoreAnsweredOther(now, 300*time.Millisecond, 0), time.Duration(0))
	}
	is.Equal(r.StoreAnswered(now), time.Duration(0))
	r.Replace(now, nil)
	is.Equal(len(names(r)), 0)
}

// Fails if a removal is delayed without a preceding store outage, or for a draining target.
func TestRemovalIsImmediate(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := NewRegistry()
	r.Replace(now, []Registration{{Target: "a", Address: "a"}, {Target: "b", Address: "b", Draining: true}})
	r.Remove(now, "a")
	is.Equal(names(r), []types.Target{"b"})
	r.StoreAnswered(now)
	now = now.Add(time.Minute)
	r.StoreAnswered(now)
	is.Equal(r.GraceLeft(now), recoveryGrace)
	r.Remove(now, "b")
	is.Equal(len(names(r)), 0)
}

// Fails if a former target is listed at an address that a newer target has.
func TestNewestTargetOfAddressIsListed(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Put(1, Registration{Target: "old", Address: "x", Incarnation: 1})
	r.Put(1, Registration{Target: "new", Address: "x", Incarnation: 2})
	is.Equal(names(r), []types.Target{"new"})
	is.Equal(r.Superseded()[0].Target, types.Target("old"))
}

// Fails if an evacuation hides registrations or remains in effect after it was ended.
func TestEvacuationMarksTargets(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := NewRegistry()
	r.Put(1, Registration{Target: "a", Address: "a", DataCentre: "north"})
	r.SetEvacuated(now, "north", true)
	is.True(r.List()[0].Evacuated)
	r.ReplaceEvacuations(now, nil)
	is.True(r.RegistrationsCurrent(now))
	is.True(!r.List()[0].Evacuated)
}

// Fails if targets that have turned cold while their data centre was out of service get requests before their registrations are
// known as of the end of the evacuation; or if they get none without a proof of that, while the store does not answer.
func TestEvacuationEndsWithCurrentRegistrations(t *testing.T) {
	for _, event := range []bool{false, true} {
		is := is.New(t)
		now := types.Instant(time.Hour)
		r := NewRegistry()
		r.Put(1, Registration{Target: "a", Address: "a", DataCentre: "north"})
		r.SetEvacuated(now, "north", true)
		if event {
			r.SetEvacuated(now, "north", false)
		} else {
			r.ReplaceEvacuations(now, nil)
		}
		is.True(!r.RegistrationsCurrent(now.Add(-time.Millisecond)))
		is.True(r.List()[0].Evacuated)
		is.True(r.RegistrationsCurrent(now))
		is.True(!r.List()[0].Evacuated)
		is.True(!r.RegistrationsCurrent(now.Add(time.Second)))

		r.SetEvacuated(now, "north", true)
		r.SetEvacuated(now, "north", false)
		r.SetEvacuated(now, "north", true)
		is.True(!r.RegistrationsCurrent(now))
		is.True(r.List()[0].Evacuated)
		r.SetEvacuated(now, "north", false)
		is.True(!r.Expire(now.Add(returnLimit - time.Millisecond)))
		is.True(r.Expire(now.Add(returnLimit)))
		is.True(!r.List()[0].Evacuated)
	}
}

// Fails if a target is still listed after its registration was replaced by one that can't be read, also while missing
// registrations are kept after a store outage: the target has not expired, its entry names no target.
func TestDiscardedRegistrationIsNotKept(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := newAnsweredRegistry(now, Registration{Target: "a", Address: "a"}, Registration{Target: "b", Address: "b"})
	now = now.Add(time.Minute)
	r.StoreAnswered(now)
	r.Discard("a")
	is.Equal(names(r), []types.Target{"b"})
	r.Replace(now, nil)
	r.Discard("b")
	is.Equal(len(names(r)), 0)
}

// Fails if the order of superseded registrations differs from run to run: what the coordinator decides must depend on its
// messages only.
func TestSupersededRegistrationsAreOrdered(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	want := []types.Target{"a", "b", "c", "d", "e", "f"}
	for n, target := range []types.Target{"f", "c", "a", "e", "b", "d"} {
		r.Put(1, Registration{Target: target, Address: "x", Incarnation: int64(n)})
	}
	r.Put(1, Registration{Target: "new", Address: "x", Incarnation: 9})
	var got []types.Target
	for _, superseded := range r.Superseded() {
		got = append(got, superseded.Target)
	}
	is.Equal(got, want)
}

// Fails if an entry for a service that is not configured hides the target at the same address, or reports it as ended: its
// keys would be assigned to another target while it still holds them.
func TestEntryOfUnknownServiceSupersedesNoTarget(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Put(1, Registration{Target: "good", Service: "maps", Address: "x", Incarnation: 1})
	r.Put(1, Registration{Target: "odd", Service: "none", Address: "x", Incarnation: 2})
	r.SetServices(map[types.Service]Service{"maps": {Name: "maps"}, "orders": {Name: "orders"}})
	is.Equal(names(r), []types.Target{"good", "odd"}) // no route leads to the service of the odd one
	is.Equal(len(r.Superseded()), 0)
	r.Put(1, Registration{Target: "new", Service: "orders", Address: "x", Incarnation: 3})
	is.Equal(names(r), []types.Target{"new"})
	is.Equal(r.Superseded()[0].Target, types.Target("good"))
}

// Fails if the time to list the registrations grows with the square of their number: another writer's entries for services that
// are not configured are kept too, and the list is made at each change.
func TestManyRegistrationsAreListedInTime(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	const count = 20_000
	for n := range count {
		r.Put(1, Registration{Target: types.Target(strconv.Itoa(n)), Address: strconv.Itoa(n), Incarnation: int64(n)})
	}
	started := time.Now()
	is.Equal(len(r.List()), count)
	is.Equal(len(r.Superseded()), 0)
	is.True(time.Since(started) < 2*time.Second)
}
