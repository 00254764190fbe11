package catalog

import (
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

// Guards against targets being given up because their registrations lapsed while the store was away, and against ones
// that do not come back being kept.
func TestLapsedRegistrationsMayComeBackAfterTheStore(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	a, b := Registration{Target: "a", Address: "a"}, Registration{Target: "b", Address: "b"}
	r := NewRegistry()
	r.Replace(now, []Registration{a, b})
	r.StoreAway()
	is.True(!r.Expire(now.Add(time.Minute)))
	now = now.Add(time.Minute)
	r.StoreBack()
	r.Returned(now)
	r.Replace(now, nil)
	is.Equal(names(r), []types.Target{"a", "b"})
	r.Put(now.Add(time.Second), a)
	is.True(r.Expire(now.Add(returnGrace)))
	is.Equal(names(r), []types.Target{"a"})
}

// Guards against VMs that prolong each other's grace: one told by another keeps a missing registration no longer than
// that one. Replays zcsp-brana-grown trouble-2, where requests reached a target 2.5 s after its removal.
func TestGraceIsNotProlongedByTelling(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	first, second := NewRegistry(), NewRegistry()
	first.Returned(now)
	second.Replace(now, []Registration{{Target: "a", Address: "a"}})
	now = now.Add(returnGrace - time.Millisecond)
	second.Grace(now, first.GraceLeft(now))
	second.Replace(now, nil)
	is.Equal(len(names(second)), 1)
	is.True(second.Expire(now.Add(time.Millisecond)))
	now = now.Add(time.Second)
	second.Grace(now, first.GraceLeft(now))
	is.Equal(second.GraceLeft(now), time.Duration(0))
}

// Guards against a removal being delayed while the store is sound, or for a target that had announced its end.
func TestRemovalIsImmediate(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := NewRegistry()
	r.Replace(now, []Registration{{Target: "a", Address: "a"}, {Target: "b", Address: "b", Draining: true}})
	r.Remove(now, "a")
	is.Equal(names(r), []types.Target{"b"})
	r.Returned(now)
	r.Remove(now, "b")
	is.Equal(len(names(r)), 0)
}

// Guards against a former target at an address that a younger one has.
func TestYoungestTargetOfAnAddressCounts(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Put(1, Registration{Target: "old", Address: "x", Life: 1})
	r.Put(1, Registration{Target: "new", Address: "x", Life: 2})
	is.Equal(names(r), []types.Target{"new"})
	is.Equal(r.Superseded()[0].Target, types.Target("old"))
}

// Guards against an evacuation that hides registrations, or outlasts its end.
func TestEvacuationMarksTargets(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Put(1, Registration{Target: "a", Address: "a", DataCentre: "north"})
	r.Evacuate("north", true)
	is.True(r.List()[0].Evacuated)
	r.ReplaceEvacuations(nil)
	is.True(!r.List()[0].Evacuated)
}
