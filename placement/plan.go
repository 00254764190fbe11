package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"sequoiasail.example/types"
)

// plan proposes the next moves of a service.
func (s *service) plan(now types.Instant, out []Action) []Action {
	s.urgent = false
	if s.slots == 0 || !s.targetsInstalled {
		return out
	}
	s.expireMoves(now)
	fairLoad := s.computeLoads(now)
	if fairLoad == 0 {
		return out
	}
	s.meanLoad = fairLoad * s.meanWeight()
	moved := false
	out, moved = s.reassign(now, fairLoad, out)
	if moved {
		s.urgent = true
		return out
	}
	out = s.planKeys(now, s.meanLoad, out)
	if s.awaitsRowCreation(now) {
		return out
	}
	return s.balance(now, fairLoad, out)
}

// meanWeight returns the average weight of targets in service.
func (s *service) meanWeight() float64 {
	sum, n := 0.0, 0
	for i := range s.targets {
		if !s.targets[i].state.evacuating() {
			sum += s.targets[i].weight
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// reassign moves slots and hot-key rows whose owner is lost, draining or missing. It reports whether it proposed a
// move.
func (s *service) reassign(now types.Instant, fairLoad float64, out []Action) ([]Action, bool) {
	s.scratch.fillReceivers(s.targets)
	if len(s.scratch.heap.list) == 0 {
		return out, false
	}
	start := len(out)
	out = s.reassignKeys(now, out)
	out = s.reassignSlots(now, fairLoad, ReasonLost, MaxLostMoves, out)
	out = s.reassignSlots(now, fairLoad, ReasonFree, MaxLostMoves, out)
	out = s.reassignSlots(now, fairLoad, ReasonDraining, MaxDrainingMoves, out)
	return out, len(out) > start
}

// reassignReason returns why an owner must be replaced, or 0 if it may stay.
func (s *service) reassignReason(owner uint16) Reason {
	if owner == NoOwner {
		return ReasonFree
	}
	switch s.targets[owner].state {
	case StateLost:
		return ReasonLost
	case StateDraining:
		return ReasonDraining
	}
	return 0
}

// reassignKeys moves the hot-key rows whose owner must be replaced.
func (s *service) reassignKeys(now types.Instant, out []Action) []Action {
	for i := range s.hotRows {
		h := &s.hotRows[i]
		reason := s.reassignReason(h.owner)
		if reason == 0 || h.pending != NoOwner {
			continue
		}
		to := s.scratch.heap.assignLeastLoaded(float64(h.load))
		out = s.moveKey(now, h, to, reason, out)
	}
	return out
}

// Limits for reassigning slots. Neighbouring slots go to the same target where possible: a table document lists runs of
// slots with one owner, and every process receives the whole document with each change.
const (
	// heavySlotShare is the share of an average target's load from which a slot is assigned on its own, unless it has
	// no more than heavySlotRatio times the load of an average slot.
	heavySlotShare = 0.02
	heavySlotRatio = 1.5
	// maxFillRatio is the relative load up to which a target is given neighbouring slots. It is below balanceStopRatio,
	// so that reassigning slots triggers no balancing.
	maxFillRatio = 1.03
)

// reassignSlots moves the slots that reason applies to: heavy ones first, each to the target with the lowest load
// relative to its capacity, then the others in slot order.
func (s *service) reassignSlots(now types.Instant, fairLoad float64, reason Reason, limit int, out []Action) []Action {
	selected := s.scratch.selected[:0]
	for slot, owner := range s.owners {
		if s.pending[slot] == NoOwner && s.reassignReason(owner) == reason {
			selected = append(selected, int32(slot))
		}
	}
	s.scratch.selected = selected
	weight := s.scratch.weight
	heavy := float32(max(heavySlotShare*s.meanLoad, heavySlotRatio*s.meanSlotLoad()))
	slices.SortFunc(selected, func(a, b int32) int {
		if c := cmp.Compare(max(weight[b], heavy), max(weight[a], heavy)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	selected = selected[:max(0, min(len(selected), limit-s.pendingSlots))]
	maxLoadPerCapacity := fairLoad * maxFillRatio
	if reason == ReasonFree {
		maxLoadPerCapacity = fairLoad // all targets are filled at once, and the last ones must still get their fair share
	}
	for i, slot := range selected {
		load := float64(weight[slot])
		neighbour := i > 0 && weight[slot] <= heavy && selected[i-1]+1 == slot
		s.setPending(now, int(slot), s.scratch.heap.assign(load, maxLoadPerCapacity, neighbour))
	}
	return s.appendMoves(selected, reason, out)
}

// appendMoves appends the proposed moves of slots, one action for each run of neighbouring slots with the same
// old and new owner.
func (s *service) appendMoves(slots []int32, reason Reason, out []Action) []Action {
	slices.Sort(slots)
	for i := 0; i < len(slots); {
		first := slots[i]
		from, to := s.owners[first], s.pending[first]
		j := i + 1
		for j < len(slots) && slots[j] == slots[j-1]+1 && s.owners[slots[j]] == from && s.pending[slots[j]] == to {
			j++
		}
		a := Action{
			Kind: ActionMoveSlots, Service: s.name, First: types.Slot(first), Last: types.Slot(slots[j-1]),
			To: s.targets[to].name, Reason: reason,
		}
		if from != NoOwner {
			a.From = s.targets[from].name
		}
		out = append(out, a)
		i = j
	}
	return out
}

// receiverHeap is a min-heap of the targets that can receive slots, by load relative to capacity.
type receiverHeap struct {
	targets []target
	list    []uint16
}

// fillReceivers builds the heap from the targets that have capacity.
func (b *scratch) fillReceivers(targets []target) {
	b.heap.targets = targets
	b.heap.list = b.heap.list[:0]
	for i := range targets {
		if targets[i].capacity > 0 {
			b.heap.list = append(b.heap.list, uint16(i))
		}
	}
	heap.Init(&b.heap)
}

// assignLeastLoaded returns the least loaded target and adds load to it. The target stays at the head of the heap
// until the next call.
func (r *receiverHeap) assignLeastLoaded(load float64) uint16 {
	heap.Fix(r, 0)
	i := r.list[0]
	r.targets[i].load += load
	return i
}

// meanSlotLoad returns the mean load of the slots, including the base load.
func (s *service) meanSlotLoad() float64 {
	sum := 0.0
	for _, w := range s.scratch.weight {
		sum += float64(w)
	}
	return sum / float64(len(s.scratch.weight))
}

// assign returns the target that was assigned last if sameTarget is true and its load stays within maxLoadPerCapacity
// times its capacity, else the least loaded one. It adds load to the returned target.
func (r *receiverHeap) assign(load, maxLoadPerCapacity float64, sameTarget bool) uint16 {
	if t := &r.targets[r.list[0]]; sameTarget && t.load+load <= t.capacity*maxLoadPerCapacity {
		t.load += load
		return r.list[0]
	}
	return r.assignLeastLoaded(load)
}

// Len implements heap.Interface.
func (r *receiverHeap) Len() int { return len(r.list) }

// Less implements heap.Interface.
func (r *receiverHeap) Less(a, b int) bool {
	x, y := &r.targets[r.list[a]], &r.targets[r.list[b]]
	return x.load*y.capacity < y.load*x.capacity
}

// Swap implements heap.Interface.
func (r *receiverHeap) Swap(a, b int) { r.list[a], r.list[b] = r.list[b], r.list[a] }

// Push implements heap.Interface. The list is filled before the heap is built.
func (r *receiverHeap) Push(any) {}

// Pop implements heap.Interface. Targets are never removed.
func (r *receiverHeap) Pop() any { return nil }
