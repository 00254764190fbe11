package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"sequoiasail.example/placement"
	"sequoiasail.example/types"
)

// newPlanner returns a Core that holds the planner lease and has n targets with slots of equal load.
func newPlanner(slots uint32, n int) (*placement.Core, *placement.Targets, types.Instant) {
	now := types.Instant(time.Hour)
	c := placement.New()
	t := &placement.Targets{Service: "catalogo", Slots: slots}
	o := &placement.Owners{Service: "catalogo", Owners: make([]uint16, slots)}
	for i := range n {
		name := types.Target(fmt.Sprintf("t-%d", i))
		t.Rows = append(t.Rows, placement.Target{Name: name, Weight: 1})
		o.Targets = append(o.Targets, name)
	}
	loads := make([]*placement.Load, n)
	for i := range loads {
		loads[i] = &placement.Load{Service: "catalogo", Target: t.Rows[i].Name}
	}
	for slot := range o.Owners {
		owner := slot % n
		o.Owners[slot] = uint16(owner)
		loads[owner].Slots = append(loads[owner].Slots, types.Slot(slot))
		loads[owner].Loads = append(loads[owner].Loads, 1)
	}
	c.Step(now, &placement.Message{Kind: placement.KindLeader, Leader: true}, nil)
	c.Step(now, &placement.Message{Kind: placement.KindTargets, Targets: t}, nil)
	c.Step(now, &placement.Message{Kind: placement.KindOwners, Owners: o}, nil)
	for _, l := range loads {
		c.Step(now, &placement.Message{Kind: placement.KindLoad, Load: l}, nil)
	}
	return c, t, now
}

// forEachSize runs a sub-benchmark for each combination of slot and target counts.
func forEachSize(b *testing.B, run func(b *testing.B, slots uint32, targets int)) {
	for _, slots := range []uint32{4096, 16384, 65536} {
		for _, targets := range []int{20, 100, 430} {
			b.Run(fmt.Sprintf("slots=%d/targets=%d", slots, targets), func(b *testing.B) { run(b, slots, targets) })
		}
	}
}

// BenchmarkPlan measures one plan that finds nothing to move.
func BenchmarkPlan(b *testing.B) {
	forEachSize(b, func(b *testing.B, slots uint32, targets int) {
		c, _, now := newPlanner(slots, targets)
		var out []placement.Action
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(placement.PlanInterval)
			out = c.Tick(now, out[:0])
		}
	})
}

// BenchmarkPlanDraining measures the plan that reassigns the slots of a draining target.
func BenchmarkPlanDraining(b *testing.B) {
	forEachSize(b, func(b *testing.B, slots uint32, targets int) {
		c, t, now := newPlanner(slots, targets)
		out := c.Tick(now, nil)
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			t.Rows[i%targets].State = placement.StateDraining
			t.Rows[(i+1)%targets].State = placement.StateActive
			c.Step(now, &placement.Message{Kind: placement.KindTargets, Targets: t}, nil)
			now = now.Add(2 * placement.MoveTimeout)
			b.StartTimer()
			out = c.Tick(now, out[:0])
		}
	})
}

// BenchmarkSketch measures one request of a Zipf-like stream over many keys.
func BenchmarkSketch(b *testing.B) {
	s := placement.NewSketch(placement.DefaultSketchSize)
	random := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 1<<28)
	keys := make([]types.KeyHash, 1<<16)
	for i := range keys {
		keys[i] = types.KeyHash(random.Uint64() * 0x9E3779B97F4A7C15)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Add(keys[i%len(keys)], 1)
	}
}

// BenchmarkReport measures one report on one target.
func BenchmarkReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, slots uint32, targets int) {
		c, t, now := newPlanner(slots, targets)
		m := placement.Message{Kind: placement.KindLoad, Load: &placement.Load{
			Service: "catalogo", Target: t.Rows[0].Name, Rest: 100,
		}}
		for b.Loop() {
			c.Step(now, &m, nil)
		}
	})
}

// BenchmarkMemory reports the heap of a planner after its first plan, and of a sketch in use.
func BenchmarkMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, slots uint32, targets int) {
		var bytes uint64
		for b.Loop() {
			bytes = heapUsedBy(func() any {
				c, _, now := newPlanner(slots, targets)
				c.Tick(now, nil)
				return c
			})
		}
		b.ReportMetric(float64(bytes), "B/core")
	})
	for _, n := range []int{128, 512, 2048} {
		b.Run(fmt.Sprintf("sketch=%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				bytes = heapUsedBy(func() any { return placement.NewSketch(n) })
			}
			b.ReportMetric(float64(bytes), "B/sketch")
		})
	}
}

// heapUsedBy returns the heap memory in use by the value that build returns.
func heapUsedBy(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return after.HeapAlloc - before.HeapAlloc
}
