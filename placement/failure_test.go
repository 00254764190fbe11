package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/placement"
	"sequoiasail.example/placement/measure"
	"sequoiasail.example/types"
)

const slots = 1024

func targetName(i int) types.Target {
	return types.Target("t-" + string(rune('0'+i/10)) + string(rune('0'+i%10)))
}

// testPlanner drives a Core step by step. Proposed moves stay unconfirmed unless the test confirms them.
type testPlanner struct {
	*placement.Core
	now  types.Instant
	rows []placement.Target
}

// newTestPlanner returns a Core that holds the planner lease and has n targets. Target i owns the slots whose number
// modulo n is i.
func newTestPlanner(n int) *testPlanner {
	b := &testPlanner{Core: placement.New(), now: types.Instant(time.Hour)}
	for i := range n {
		b.rows = append(b.rows, placement.Target{Name: targetName(i), Weight: 1})
	}
	b.step(placement.Message{Kind: placement.KindLeader, Leader: true})
	b.installTargets()
	b.installOwners(func(slot int) int { return slot % n })
	return b
}

// step applies one message at the present time.
func (b *testPlanner) step(m placement.Message) { b.Step(b.now, &m, nil) }

// installTargets sends the rows of b to the Core.
func (b *testPlanner) installTargets() {
	b.step(placement.Message{Kind: placement.KindTargets, Targets: &placement.Targets{
		Service: measure.Service, Slots: slots, Rows: b.rows,
	}})
}

// installOwners installs a slot table in which each slot has the owner with index of(slot).
func (b *testPlanner) installOwners(of func(slot int) int) {
	m := &placement.Owners{Service: measure.Service}
	for i := range b.rows {
		m.Targets = append(m.Targets, b.rows[i].Name)
	}
	for slot := range slots {
		m.Owners = append(m.Owners, uint16(of(slot)))
	}
	b.step(placement.Message{Kind: placement.KindOwners, Owners: m})
}

// confirm installs the initial slot table of newTestPlanner with the moves in actions applied.
func (b *testPlanner) confirm(actions []placement.Action) {
	b.installOwners(func(slot int) int {
		owner := slot % len(b.rows)
		for _, a := range actions {
			if int(a.First) <= slot && slot <= int(a.Last) {
				owner = slices.IndexFunc(b.rows, func(r placement.Target) bool { return r.Name == a.To })
			}
		}
		return owner
	})
}

// reportLoad reports the load of every slot of target i.
func (b *testPlanner) reportLoad(i int, of func(slot int) float32) {
	m := &placement.Load{Service: measure.Service, Target: targetName(i)}
	for slot := i; slot < slots; slot += len(b.rows) {
		m.Slots = append(m.Slots, types.Slot(slot))
		m.Loads = append(m.Loads, of(slot))
	}
	b.step(placement.Message{Kind: placement.KindLoad, Load: m})
}

// reportLoads reports the load of every slot of all targets.
func (b *testPlanner) reportLoads(of func(slot int) float32) {
	for i := range b.rows {
		b.reportLoad(i, of)
	}
}

// run ticks the Core for d and returns what it proposed.
func (b *testPlanner) run(d time.Duration) []placement.Action {
	var out []placement.Action
	for end := b.now.Add(d); b.now < end; b.now = b.now.Add(placement.UrgentInterval) {
		out = b.Tick(b.now, out)
	}
	return out
}

// movedSlots returns the number of slots that the actions move.
func movedSlots(actions []placement.Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == placement.ActionMoveSlots {
			n += int(a.Last-a.First) + 1
		}
	}
	return n
}

func equalLoad(int) float32 { return 1 }

// Guards against repeated moves when one slot has more load than the fair load of any target.
func TestUnrepairableImbalanceCausesNoMove(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(16)
	b.reportLoads(func(slot int) float32 {
		if slot == 5 {
			return 500 // of 1523 in all; a fair share is 95
		}
		return 1
	})
	actions := b.run(5 * time.Second)
	is.Equal(movedSlots(actions), 63) // the other slots of target 5 leave it once
	b.confirm(actions)
	is.Equal(movedSlots(b.run(time.Minute)), 0)
}

// Guards against moves for load differences below the threshold at which balancing starts.
func TestSmallDifferenceCausesNoMove(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(16)
	b.reportLoads(func(slot int) float32 {
		if slot%16 == 3 {
			return 1.12
		}
		return 1
	})
	is.Equal(len(b.run(time.Minute)), 0)
}

// Guards against more unconfirmed moves than the bound, and against expired moves that are not planned again.
func TestMovesInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(16)
	b.reportLoads(func(slot int) float32 {
		if slot%16 < 4 {
			return 10
		}
		return 1
	})
	is.Equal(movedSlots(b.run(placement.MoveTimeout)), placement.MaxBalancingMoves)
	is.Equal(movedSlots(b.run(placement.MoveTimeout)), placement.MaxBalancingMoves)
}

// Guards against balancing before the slots of lost and draining owners are reassigned, and against receivers that are
// themselves lost or draining.
func TestLostThenDrainingOwnersComeFirst(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(64)
	b.reportLoads(func(slot int) float32 { return float32(1 + slot%16) })
	b.rows[15].State = placement.StateDraining
	b.rows[2].State = placement.StateLost
	b.installTargets()
	actions := b.Tick(b.now, nil)
	is.Equal(movedSlots(actions), 32)
	for i, a := range actions {
		is.True(a.To != targetName(15) && a.To != targetName(2))
		want := placement.ReasonDraining
		if a.From == targetName(2) {
			want = placement.ReasonLost
		}
		is.Equal(a.Reason, want)
		is.True(i == 0 || actions[i-1].Reason <= a.Reason)
	}
}

// Guards against moves that stay pending when their receiver is lost before they are confirmed.
func TestMoveToLostReceiverIsPlannedAnew(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(4)
	b.reportLoads(equalLoad)
	b.rows[0].State = placement.StateDraining
	b.installTargets()
	is.Equal(movedSlots(b.run(time.Second)), 256)
	b.rows[1].State = placement.StateLost
	b.installTargets()
	again := b.run(time.Second)
	is.True(movedSlots(again) > 256)
	for _, a := range again {
		is.True(a.To == targetName(2) || a.To == targetName(3))
	}
}

// Guards against a new target that gets its full share at once.
func TestNewTargetIsFilledGradually(t *testing.T) {
	is := is.New(t)
	w := measure.NewWorkload(100_000, 0.5, rand.NewPCG(1, 1))
	f := measure.NewFleet(slots, 8)
	f.Run(time.Minute, 1000, w)
	f.Add("new", placement.StateCold)
	f.Run(6*time.Second, 1000, w)
	is.True(f.OwnedSlots("new") > 0)
	is.True(f.OwnedSlots("new") <= slots/9/4) // a tenth of WarmupTime has passed; a fair share is a ninth of the slots
	f.Run(2*time.Minute, 1000, w)
	t.Logf("owns %d slots, imbalance %.3f", f.OwnedSlots("new"), f.Imbalance(w))
	is.True(f.OwnedSlots("new") >= slots/9/2)
	is.True(f.Imbalance(w) <= 1.15) // the highest relative load at which balancing need not start
}

// Guards against a new planner that treats a running fleet as warming up and limits the moves to it.
func TestNewPlannerTreatsFleetAsWarm(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(8)
	b.reportLoads(func(slot int) float32 {
		if slot%8 == 0 {
			return 20
		}
		return 1
	})
	is.Equal(movedSlots(b.Tick(b.now, nil)), placement.MaxBalancingMoves)
}

// Guards against moves away from targets that are slow for a short time only, and against persistent stragglers that
// keep their load.
func TestOnlyPersistentStragglersLoseSlots(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(8)
	b.reportLoads(equalLoad)
	b.rows[3].State = placement.StateStraggler
	b.installTargets()
	is.Equal(len(b.run(placement.StragglerDelay-time.Second)), 0)
	actions := b.run(3 * time.Second)
	is.True(movedSlots(actions) > 0)
	for _, a := range actions {
		is.Equal(a.From, targetName(3))
		is.Equal(a.Reason, placement.ReasonStraggler)
	}
}

// Guards against proposals by a process that does not hold the planner lease.
func TestOnlyTheLeaderProposes(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(4)
	b.step(placement.Message{Kind: placement.KindLeader, Leader: false})
	b.rows[0].State = placement.StateLost
	b.installTargets()
	is.Equal(len(b.run(time.Minute)), 0)
	_, ok := b.NextTick()
	is.True(!ok)
	b.step(placement.Message{Kind: placement.KindLeader, Leader: true})
	is.Equal(movedSlots(b.run(time.Second)), 256)
}

// Guards against rows that remain when their key is no longer hot, and against dropping a row whose owner does not own
// the slot of the key: the key would change its owner without a release.
func TestHotKeyRowsAreCreatedAndDropped(t *testing.T) {
	is := is.New(t)
	w := measure.NewWorkload(100_000, 1.1, rand.NewPCG(1, 1))
	f := measure.NewFleet(slots, 16)
	f.Log = func(_ types.Instant, a placement.Action) {
		if a.Kind == placement.ActionDropKey {
			is.Equal(f.Owner(a.Key), a.From)
			is.Equal(f.SlotOwner(a.Key), a.From)
		}
	}
	f.Run(2*time.Minute, 2000, w)
	was := w.Hottest(1)[0]
	is.True(f.HasRow(was))
	w.ChangeHottest(13)
	f.Run(6*time.Minute, 2000, w)
	is.True(!f.HasRow(was))
	for _, key := range w.Hottest(13) {
		is.True(f.HasRow(key))
	}
}

// Guards against a sketch that grows with the number of keys, keeps former hot keys or overestimates a key.
func TestSketchTracksHottestKeys(t *testing.T) {
	is := is.New(t)
	w := measure.NewWorkload(1_000_000, 1.1, rand.NewPCG(1, 1))
	s := placement.NewSketch(placement.DefaultSketchSize)
	count := map[types.KeyHash]float32{}
	for range 2 {
		w.ChangeHottest(13)
		for range 12 { // two minutes of reports
			s.Reset()
			clear(count)
			for range 40_000 {
				key := w.Sample()
				count[key]++
				s.Add(key, 1)
			}
		}
		found := map[types.KeyHash]bool{}
		for _, k := range s.Top(16, 1, nil) {
			found[k.Key] = true
		}
		for _, key := range w.Hottest(13) {
			is.True(found[key])
		}
	}
	all := s.Top(1<<20, 1, nil)
	is.True(len(all) <= placement.DefaultSketchSize)
	for _, k := range all {
		is.True(k.Load <= count[k.Key])
	}
}

// Guards against pending moves that are missing from the list for the ownership module, where each list replaces the
// earlier one.
func TestPendingMovesAreComplete(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(16)
	b.reportLoads(equalLoad)
	b.rows[3].State = placement.StateDraining
	b.installTargets()
	first := movedSlots(b.Tick(b.now, nil))
	b.rows[4].State = placement.StateLost
	b.installTargets()
	second := movedSlots(b.run(time.Second))
	list := b.Moves(measure.Service, nil)
	is.Equal(movedSlots(list), 128)
	is.True(first == 64 && second >= 64)
	b.confirm(list)
	is.Equal(len(b.Moves(measure.Service, nil)), 0)
}

// Guards against moves of whole slots shortly before the hot keys in them get rows and move again, and against a hot
// key that stays with an overloaded owner for MoveCooldown because its row is new.
func TestHotKeyMovesSoonAfterItsRow(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(16)
	b.reportLoads(equalLoad)
	m := &placement.Load{Service: measure.Service, Target: targetName(5)}
	rows := &placement.HotKeys{Service: measure.Service, Revision: 1}
	for slot := 5; slot < slots; slot += 16 {
		m.Slots = append(m.Slots, types.Slot(slot))
		m.Loads = append(m.Loads, 1)
	}
	m.Loads[0], m.Loads[1] = 61, 61
	for _, key := range []types.KeyHash{5, 21} { // in slots of target 5
		m.Keys = append(m.Keys, placement.KeyLoad{Key: key, Load: 60})
		rows.Rows = append(rows.Rows, placement.HotKey{Key: key, Owner: targetName(5)})
	}
	b.step(placement.Message{Kind: placement.KindLoad, Load: m})
	for _, a := range b.Tick(b.now, nil) {
		is.Equal(a.Kind, placement.ActionCreateKey)
	}
	b.step(placement.Message{Kind: placement.KindHotKeys, HotKeys: rows})
	b.now = b.now.Add(placement.PlanInterval)
	is.Equal(b.Tick(b.now, nil)[0].Kind, placement.ActionMoveKey)
}

// Guards against a fragmented slot table with one entry for each slot: every process receives a part of it with each
// change.
func TestNeighbouringSlotsStayTogether(t *testing.T) {
	is := is.New(t)
	f := measure.NewFleet(8192, 64)
	f.Second()
	is.True(f.Runs() <= 2*64)
	f.SetState("t-9", placement.StateLost)
	f.Second()
	is.Equal(f.OwnedSlots("t-9"), 0)
	is.True(f.Runs() <= 3*64) // 128 slots move to at most 63 targets
}

// Guards against slots that count as without load because a report gives only their sum in Rest.
func TestUnlistedSlotsKeepTheirLoad(t *testing.T) {
	is := is.New(t)
	b := newTestPlanner(16)
	b.reportLoads(func(slot int) float32 { return 2 })
	m := &placement.Load{Service: measure.Service, Target: targetName(5), Slots: []types.Slot{5}, Loads: []float32{2}, Rest: 63 * 2}
	for range 5 {
		b.step(placement.Message{Kind: placement.KindLoad, Load: m})
	}
	is.Equal(len(b.run(time.Minute)), 0)
}
