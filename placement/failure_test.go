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

func name(i int) types.Target {
	return types.Target("t-" + string(rune('0'+i/10)) + string(rune('0'+i%10)))
}

// bench drives a Core by hand: nothing is confirmed unless the test does so.
type bench struct {
	*placement.Core
	now  types.Instant
	rows []placement.Target
}

// newBench returns a Core in charge of n targets, of which target i owns each slot whose number modulo n is i.
func newBench(n int) *bench {
	b := &bench{Core: placement.New(), now: types.Instant(time.Hour)}
	for i := range n {
		b.rows = append(b.rows, placement.Target{Name: name(i), Weight: 1})
	}
	b.step(placement.Message{Kind: placement.KindLead, Lead: true})
	b.targets()
	b.owners(func(slot int) int { return slot % n })
	return b
}

func (b *bench) step(m placement.Message) { b.Step(b.now, &m, nil) }

func (b *bench) targets() {
	b.step(placement.Message{Kind: placement.KindTargets, Targets: &placement.Targets{
		Service: measure.Service, Slots: slots, Rows: b.rows,
	}})
}

func (b *bench) owners(of func(slot int) int) {
	m := &placement.Owners{Service: measure.Service}
	for i := range b.rows {
		m.Targets = append(m.Targets, b.rows[i].Name)
	}
	for slot := range slots {
		m.Owners = append(m.Owners, uint16(of(slot)))
	}
	b.step(placement.Message{Kind: placement.KindOwners, Owners: m})
}

// confirm carries out moves of a table in which target i owned each slot whose number modulo the targets is i.
func (b *bench) confirm(actions []placement.Action) {
	b.owners(func(slot int) int {
		owner := slot % len(b.rows)
		for _, a := range actions {
			if int(a.First) <= slot && slot <= int(a.Last) {
				owner = slices.IndexFunc(b.rows, func(r placement.Target) bool { return r.Name == a.To })
			}
		}
		return owner
	})
}

// load reports the load of every slot of target i.
func (b *bench) load(i int, of func(slot int) float32) {
	m := &placement.Load{Service: measure.Service, Target: name(i)}
	for slot := i; slot < slots; slot += len(b.rows) {
		m.Slots = append(m.Slots, types.Slot(slot))
		m.Loads = append(m.Loads, of(slot))
	}
	b.step(placement.Message{Kind: placement.KindLoad, Load: m})
}

func (b *bench) loadAll(of func(slot int) float32) {
	for i := range b.rows {
		b.load(i, of)
	}
}

func (b *bench) run(d time.Duration) []placement.Action {
	var out []placement.Action
	for end := b.now.Add(d); b.now < end; b.now = b.now.Add(placement.UrgentInterval) {
		out = b.Tick(b.now, out)
	}
	return out
}

func moved(actions []placement.Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == placement.ActionMoveSlots {
			n += int(a.Last-a.First) + 1
		}
	}
	return n
}

func even(int) float32 { return 1 }

// Guards against endless moves of a load that is too large for any target.
func TestDifferenceThatNoMoveRepairsCausesNoMove(t *testing.T) {
	is := is.New(t)
	b := newBench(16)
	b.loadAll(func(slot int) float32 {
		if slot == 5 {
			return 500 // of 1523 in all; a fair share is 95
		}
		return 1
	})
	actions := b.run(5 * time.Second)
	is.Equal(moved(actions), 63) // the other slots of target 5 leave it once
	b.confirm(actions)
	is.Equal(moved(b.run(time.Minute)), 0)
}

// Guards against moves for differences within the hysteresis.
func TestSmallDifferenceCausesNoMove(t *testing.T) {
	is := is.New(t)
	b := newBench(16)
	b.loadAll(func(slot int) float32 {
		if slot%16 == 3 {
			return 1.12
		}
		return 1
	})
	is.Equal(len(b.run(time.Minute)), 0)
}

// Guards against more unconfirmed moves than the bound, and against moves that are never planned again.
func TestMovesInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(16)
	b.loadAll(func(slot int) float32 {
		if slot%16 < 4 {
			return 10
		}
		return 1
	})
	is.Equal(moved(b.run(placement.MoveTimeout)), placement.MaxBalancing)
	is.Equal(moved(b.run(placement.MoveTimeout)), placement.MaxBalancing)
}

// Guards against balancing while keys of a lost or leaving owner wait, and against a receiver that leaves as well.
func TestLostThenLeavingOwnersComeFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(64)
	b.loadAll(func(slot int) float32 { return float32(1 + slot%16) })
	b.rows[15].State = placement.StateDraining
	b.rows[2].State = placement.StateLost
	b.targets()
	actions := b.Tick(b.now, nil)
	is.Equal(moved(actions), 32)
	for i, a := range actions {
		is.True(a.To != name(15) && a.To != name(2))
		want := placement.ReasonDraining
		if a.From == name(2) {
			want = placement.ReasonLost
		}
		is.Equal(a.Reason, want)
		is.True(i == 0 || actions[i-1].Reason <= a.Reason)
	}
}

// Guards against slots that stay with a receiver that is lost before it takes them.
func TestMoveToLostReceiverIsPlannedAnew(t *testing.T) {
	is := is.New(t)
	b := newBench(4)
	b.loadAll(even)
	b.rows[0].State = placement.StateDraining
	b.targets()
	is.Equal(moved(b.run(time.Second)), 256)
	b.rows[1].State = placement.StateLost
	b.targets()
	again := b.run(time.Second)
	is.True(moved(again) > 256)
	for _, a := range again {
		is.True(a.To == name(2) || a.To == name(3))
	}
}

// Guards against a fresh target that gets its full share at once.
func TestFreshTargetIsFilledSlowly(t *testing.T) {
	is := is.New(t)
	w := measure.NewWorkload(100_000, 0.5, rand.NewPCG(1, 1))
	f := measure.NewFleet(slots, 8)
	f.Run(time.Minute, 1000, w)
	f.Add("new", placement.StateCold)
	f.Run(6*time.Second, 1000, w)
	is.True(f.Owned("new") > 0)
	is.True(f.Owned("new") <= slots/9/4) // a tenth of the ramp has passed; a fair share is a ninth of the slots
	f.Run(2*time.Minute, 1000, w)
	t.Logf("owns %d slots, imbalance %.3f", f.Owned("new"), f.Imbalance(w))
	is.True(f.Owned("new") >= slots/9/2)
	is.True(f.Imbalance(w) <= 1.15) // the highest relative load at which balancing may rest
}

// Guards against a new planner that takes a running fleet for a fresh one and moves nothing to it.
func TestNewPlannerTakesFleetAsWarm(t *testing.T) {
	is := is.New(t)
	b := newBench(8)
	b.loadAll(func(slot int) float32 {
		if slot%8 == 0 {
			return 20
		}
		return 1
	})
	is.Equal(moved(b.Tick(b.now, nil)), placement.MaxBalancing)
}

// Guards against churn for targets that are slow for a short time, and against stragglers that keep their load.
func TestOnlyLastingStragglersAreRelieved(t *testing.T) {
	is := is.New(t)
	b := newBench(8)
	b.loadAll(even)
	b.rows[3].State = placement.StateStraggler
	b.targets()
	is.Equal(len(b.run(placement.StragglerHold-time.Second)), 0)
	actions := b.run(3 * time.Second)
	is.True(moved(actions) > 0)
	for _, a := range actions {
		is.Equal(a.From, name(3))
		is.Equal(a.Reason, placement.ReasonStraggler)
	}
}

// Guards against proposals by a process that does not hold the planner lease.
func TestOnlyTheLeaderProposes(t *testing.T) {
	is := is.New(t)
	b := newBench(4)
	b.step(placement.Message{Kind: placement.KindLead, Lead: false})
	b.rows[0].State = placement.StateLost
	b.targets()
	is.Equal(len(b.run(time.Minute)), 0)
	_, ok := b.NextTick()
	is.True(!ok)
	b.step(placement.Message{Kind: placement.KindLead, Lead: true})
	is.Equal(moved(b.run(time.Second)), 256)
}

// Guards against rows that outlive the heat of their key, and against a row that is removed while its key would change
// hands without a release.
func TestHotKeyRowsComeAndGo(t *testing.T) {
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

// Guards against a sketch that grows with the number of keys, hangs on to former hot keys or overstates a key.
func TestSketchFollowsTheHottestKeys(t *testing.T) {
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

// Guards against moves that are lost when the list for the ownership module replaces an earlier one.
func TestListOfMovesIsComplete(t *testing.T) {
	is := is.New(t)
	b := newBench(16)
	b.loadAll(even)
	b.rows[3].State = placement.StateDraining
	b.targets()
	first := moved(b.Tick(b.now, nil))
	b.rows[4].State = placement.StateLost
	b.targets()
	second := moved(b.run(time.Second))
	list := b.Moves(measure.Service, nil)
	is.Equal(moved(list), 128)
	is.True(first == 64 && second >= 64)
	b.confirm(list)
	is.Equal(len(b.Moves(measure.Service, nil)), 0)
}

// Guards against whole slots that move just before the keys in them get rows and move as well, and against a key that
// stays with an overloaded owner for MoveHold because its row is new.
func TestHotKeyMovesSoonAfterItsRow(t *testing.T) {
	is := is.New(t)
	b := newBench(16)
	b.loadAll(even)
	m := &placement.Load{Service: measure.Service, Target: name(5)}
	rows := &placement.HotKeys{Service: measure.Service, Revision: 1}
	for slot := 5; slot < slots; slot += 16 {
		m.Slots = append(m.Slots, types.Slot(slot))
		m.Loads = append(m.Loads, 1)
	}
	m.Loads[0], m.Loads[1] = 61, 61
	for _, key := range []types.KeyHash{5, 21} { // in slots of target 5
		m.Keys = append(m.Keys, placement.KeyLoad{Key: key, Load: 60})
		rows.Rows = append(rows.Rows, placement.HotKey{Key: key, Owner: name(5)})
	}
	b.step(placement.Message{Kind: placement.KindLoad, Load: m})
	for _, a := range b.Tick(b.now, nil) {
		is.Equal(a.Kind, placement.ActionCreateKey)
	}
	b.step(placement.Message{Kind: placement.KindHotKeys, HotKeys: rows})
	b.now = b.now.Add(placement.PlanInterval)
	is.Equal(b.Tick(b.now, nil)[0].Kind, placement.ActionMoveKey)
}

// Guards against a stored table with one entry for each slot, of which every process receives a part with each change.
func TestNeighbouringSlotsStayTogether(t *testing.T) {
	is := is.New(t)
	f := measure.NewFleet(8192, 64)
	f.Second()
	is.True(f.Runs() <= 2*64)
	f.SetState("t-9", placement.StateLost)
	f.Second()
	is.Equal(f.Owned("t-9"), 0)
	is.True(f.Runs() <= 3*64) // 128 slots move to at most 63 targets
}

// Guards against slots that lose their load because a report sums up those that do not stand out.
func TestReportsMaySumUpSlots(t *testing.T) {
	is := is.New(t)
	b := newBench(16)
	b.loadAll(func(slot int) float32 { return 2 })
	m := &placement.Load{Service: measure.Service, Target: name(5), Slots: []types.Slot{5}, Loads: []float32{2}, Rest: 63 * 2}
	for range 5 {
		b.step(placement.Message{Kind: placement.KindLoad, Load: m})
	}
	is.Equal(len(b.run(time.Minute)), 0)
}
