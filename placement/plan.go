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
	if s.slots == 0 || !s.listed {
		return out
	}
	s.expireMoves(now)
	fair := s.measure(now)
	if fair == 0 {
		return out
	}
	s.mean = fair * s.meanWeight()
	moved := false
	out, moved = s.empty(now, fair, out)
	if moved {
		s.urgent = true
		return out
	}
	out = s.planKeys(now, s.mean, out)
	if s.awaitsRows(now) {
		return out
	}
	return s.balance(now, fair, out)
}

// meanWeight returns the average weight of targets in service.
func (s *service) meanWeight() float64 {
	sum, n := 0.0, 0
	for i := range s.targets {
		if !s.targets[i].state.leaving() {
			sum += s.targets[i].weight
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// empty moves slots and hot-key rows whose owner is lost, leaving or missing.
func (s *service) empty(now types.Instant, fair float64, out []Action) ([]Action, bool) {
	s.scratch.fillReceivers(s.targets)
	if len(s.scratch.heap.list) == 0 {
		return out, false
	}
	start := len(out)
	out = s.emptyKeys(now, out)
	out = s.emptySlots(now, fair, ReasonLost, MaxLost, out)
	out = s.emptySlots(now, fair, ReasonFree, MaxLost, out)
	out = s.emptySlots(now, fair, ReasonDraining, MaxDraining, out)
	return out, len(out) > start
}

// emptyReason returns why an owner must be replaced, or 0.
func (s *service) emptyReason(owner uint16) Reason {
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

func (s *service) emptyKeys(now types.Instant, out []Action) []Action {
	for i := range s.hot {
		h := &s.hot[i]
		reason := s.emptyReason(h.owner)
		if reason == 0 || h.pending != NoOwner {
			continue
		}
		to := s.scratch.heap.take(float64(h.load))
		out = s.moveKey(now, h, to, reason, out)
	}
	return out
}

// Rules for the slots of owners that are emptied. Neighbouring slots go to the same target where they can: a table
// document lists runs of slots with one owner, and every process receives the whole document with each change.
const (
	// heavyShare is the share of an average target's load from which a slot is placed by its own load, unless it has no
	// more than heavyRatio times the load of an average slot.
	heavyShare = 0.02
	heavyRatio = 1.5
	// fillRatio is the relative load up to which a target is given neighbouring slots. It is below stopRatio, so that
	// filling causes no balancing.
	fillRatio = 1.03
)

// emptySlots moves the slots that must be moved for reason: heavy ones first, each to the target that is then loaded
// least for its capacity, then the others in order.
func (s *service) emptySlots(now types.Instant, fair float64, reason Reason, limit int, out []Action) []Action {
	todo := s.scratch.todo[:0]
	for slot, owner := range s.owners {
		if s.pending[slot] == NoOwner && s.emptyReason(owner) == reason {
			todo = append(todo, int32(slot))
		}
	}
	s.scratch.todo = todo
	weight := s.scratch.weight
	heavy := float32(max(heavyShare*s.mean, heavyRatio*s.averageSlot()))
	slices.SortFunc(todo, func(a, b int32) int {
		if c := cmp.Compare(max(weight[b], heavy), max(weight[a], heavy)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	todo = todo[:max(0, min(len(todo), limit-s.inMotion))]
	level := fair * fillRatio
	if reason == ReasonFree {
		level = fair // all targets are filled at once, and the last ones must not come short
	}
	for i, slot := range todo {
		load := float64(weight[slot])
		neighbour := i > 0 && weight[slot] <= heavy && todo[i-1]+1 == slot
		s.propose(now, int(slot), s.scratch.heap.place(load, level, neighbour))
	}
	return s.emit(todo, reason, out)
}

// emit appends the proposed moves of slots, and joins neighbouring slots with the same owners.
func (s *service) emit(slots []int32, reason Reason, out []Action) []Action {
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

// receivers is a heap of the targets that can take slots, least loaded for its capacity first.
type receivers struct {
	targets []target
	list    []uint16
}

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

// take returns the least loaded target and adds load to it. The target stays first until the next take.
func (r *receivers) take(load float64) uint16 {
	heap.Fix(r, 0)
	i := r.list[0]
	r.targets[i].load += load
	return i
}

// averageSlot returns the mean weight of the slots.
func (s *service) averageSlot() float64 {
	sum := 0.0
	for _, w := range s.scratch.weight {
		sum += float64(w)
	}
	return sum / float64(len(s.scratch.weight))
}

// place returns the target that was taken last if more is true and its relative load stays below level, else the least
// loaded one.
func (r *receivers) place(load, level float64, more bool) uint16 {
	if t := &r.targets[r.list[0]]; more && t.load+load <= t.capacity*level {
		t.load += load
		return r.list[0]
	}
	return r.take(load)
}

// Len implements heap.Interface.
func (r *receivers) Len() int { return len(r.list) }

// Less implements heap.Interface.
func (r *receivers) Less(a, b int) bool {
	x, y := &r.targets[r.list[a]], &r.targets[r.list[b]]
	return x.load*y.capacity < y.load*x.capacity
}

// Swap implements heap.Interface.
func (r *receivers) Swap(a, b int) { r.list[a], r.list[b] = r.list[b], r.list[a] }

// Push implements heap.Interface. The list is filled before the heap is built.
func (r *receivers) Push(any) {}

// Pop implements heap.Interface. Targets are never removed.
func (r *receivers) Pop() any { return nil }
