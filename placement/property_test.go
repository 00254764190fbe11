package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoiasail.example/placement"
	"sequoiasail.example/placement/measure"
	"sequoiasail.example/types"
)

// checkedPlanner applies proposed moves at once and checks that each is valid.
type checkedPlanner struct {
	*testPlanner
	t     *rapid.T
	owner []int // index into rows, by slot
}

// index returns the index of the named target in rows.
func (w *checkedPlanner) index(n types.Target) int {
	for i := range w.rows {
		if w.rows[i].Name == n {
			return i
		}
	}
	w.t.Fatalf("unknown target %q", n)
	return 0
}

// tick applies what the Core proposes, advances the time by PlanInterval and returns the number of slots that moved.
func (w *checkedPlanner) tick() int {
	actions := w.Tick(w.now, nil)
	for _, a := range actions {
		if a.Kind != placement.ActionMoveSlots {
			continue
		}
		to := w.index(a.To)
		if s := w.rows[to].State; s == placement.StateDraining || s == placement.StateLost {
			w.t.Fatalf("slots %d to %d move to %s, which is %s", a.First, a.Last, a.To, s)
		}
		for slot := a.First; slot <= a.Last; slot++ {
			if from := w.rows[w.owner[slot]].Name; from != a.From || a.From == a.To {
				w.t.Fatalf("slot %d of %s moves from %s to %s", slot, from, a.From, a.To)
			}
			w.owner[slot] = to
		}
	}
	if len(actions) > 0 {
		w.installOwners(func(slot int) int { return w.owner[slot] })
	}
	w.now = w.now.Add(placement.PlanInterval)
	return movedSlots(actions)
}

// report reports the given load of each slot to the Core.
func (w *checkedPlanner) report(loads []float32) {
	for i := range w.rows {
		m := &placement.Load{Service: "catalogo", Target: w.rows[i].Name}
		for slot, o := range w.owner {
			if o == i {
				m.Slots = append(m.Slots, types.Slot(slot))
				m.Loads = append(m.Loads, loads[slot])
			}
		}
		w.step(placement.Message{Kind: placement.KindLoad, Load: m})
	}
}

// Guards against moves to draining or lost targets, moves that do not end at steady load, and slots that stay with
// draining or lost targets, for any loads, weights and states.
func TestMovesAreValidAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "targets")
		w := &checkedPlanner{testPlanner: newTestPlanner(n), t: t, owner: make([]int, slots)}
		for slot := range w.owner {
			w.owner[slot] = slot % n
		}
		loads := make([]float32, slots)
		for slot := range loads {
			loads[slot] = rapid.Float32Range(0, 1).Draw(t, "load")
		}
		loads[rapid.IntRange(0, slots-1).Draw(t, "hot slot")] = rapid.Float32Range(0, 1000).Draw(t, "hot load")
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "target")
			w.rows[i].State = placement.State(rapid.IntRange(0, 4).Draw(t, "state"))
			w.rows[i].Weight = rapid.Float64Range(0.5, 2).Draw(t, "weight")
			w.installTargets()
			for s := range rapid.IntRange(1, 30).Draw(t, "seconds") {
				w.tick()
				if s%10 == 0 {
					w.report(loads)
				}
			}
		}
		w.checkConvergence(loads)
	})
}

// checkConvergence runs five minutes at steady load and checks that no slot moves in the last two, and that no slot
// stays with a draining or lost target.
func (w *checkedPlanner) checkConvergence(loads []float32) {
	last := 0
	for s := range 300 {
		if w.tick() > 0 {
			last = s
		}
		if s%10 == 0 {
			w.report(loads)
		}
	}
	if last > 180 {
		w.t.Fatalf("slots still move after %d s of steady load", last)
	}
	for slot, o := range w.owner {
		if s := w.rows[o].State; (s == placement.StateDraining || s == placement.StateLost) && w.anyActive() {
			w.t.Fatalf("slot %d stays with %s, which is %s", slot, w.rows[o].Name, s)
		}
	}
}

// anyActive reports whether a target is left that may receive slots.
func (w *checkedPlanner) anyActive() bool {
	for _, r := range w.rows {
		if r.State != placement.StateDraining && r.State != placement.StateLost {
			return true
		}
	}
	return false
}

// Guards against oscillation: sampling noise of a steady load must not move slots. With 250 requests for each
// target and report, the load of one of 16 targets exceeds balanceStartRatio every few reports.
func TestNoiseDoesNotMoveSlots(t *testing.T) {
	for seed := range uint64(4) {
		w := measure.NewWorkload(10_000, 0, rand.NewPCG(seed, 1))
		f := measure.NewFleet(slots, 16)
		f.Run(3*time.Minute, 400, w)
		before := f.MovedSlots
		f.Run(10*time.Minute, 400, w)
		if f.MovedSlots > before {
			t.Errorf("seed %d: %d slots move in ten minutes of steady load", seed, f.MovedSlots-before)
		}
	}
}

// Guards against slot moves and hot-key rows that the few requests of a service with a low request rate cause.
func TestLowRateServiceCausesNoMoves(t *testing.T) {
	for _, rate := range []int{1, 20, 100} {
		w := measure.NewWorkload(10_000, 0, rand.NewPCG(1, uint64(rate)))
		f := measure.NewFleet(slots, 16)
		f.Run(10*time.Minute, rate, w)
		if f.MovedSlots > slots || f.HotRows() > 0 {
			t.Errorf("at %d requests a second %d slots move and %d rows exist", rate, f.MovedSlots-slots, f.HotRows())
		}
	}
}
