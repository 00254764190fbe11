package placement

import (
	"cmp"
	"slices"

	"sequoiasail.example/types"
)

// Thresholds of load balancing. Loads are relative to the fair load of a target, which is proportional to its capacity.
const (
	// balanceStartRatio is the relative load of the most loaded target above which balancing starts.
	balanceStartRatio = 1.15
	// balanceStopRatio is the relative load of the most loaded target at which balancing stops. The distance to
	// balanceStartRatio keeps steady noise from causing moves.
	balanceStopRatio = 1.05
	// balanceStartLow and balanceStopLow are the corresponding bounds of the lowest relative load, as shares of the
	// median one. A target that joins n others raises their relative load to (n+1)/n only, which never exceeds
	// balanceStartRatio for n above 6. The comparison is with the median, because one overloaded target lowers the
	// relative load of all others.
	balanceStartLow = 0.75
	balanceStopLow  = 0.9
	// minLoadGap is the smallest difference in relative load between two targets for which a slot moves.
	minLoadGap = 0.05
	// minLoadReduction is how much a move must at least lower the higher relative load of the two targets.
	minLoadReduction = 0.002
)

// balance proposes moves from the most to the least loaded targets. A difference that no move can reduce, for example
// one hot key that exceeds the fair load of a target by itself, causes no move.
func (s *service) balance(now types.Instant, fairLoad float64, out []Action) []Action {
	high, median, low := s.loadSpread(fairLoad)
	aboveStart := high > balanceStartRatio || low < balanceStartLow*median
	aboveStop := high > balanceStopRatio || low < balanceStopLow*median
	s.balancing = aboveStart || (s.balancing && aboveStop)
	if !s.balancing {
		return out
	}
	s.groupSlotsByOwner()
	start := len(out)
	moved := s.scratch.selected[:0]
	for s.pendingSlots < MaxBalancingMoves {
		slot, ok := s.planBalancingMove(now, fairLoad, median, &out)
		if !ok {
			break
		}
		if slot >= 0 {
			moved = append(moved, slot)
		}
	}
	s.scratch.selected = moved
	out = s.appendBalancingMoves(now, moved, out)
	if len(out) == start && s.pendingSlots == 0 {
		s.balancing = false
	}
	return out
}

// appendBalancingMoves appends the moves with ReasonStraggler if the former owner is a persistent straggler, else with
// ReasonBalance.
func (s *service) appendBalancingMoves(now types.Instant, moved []int32, out []Action) []Action {
	slow := func(slot int32) bool {
		t := &s.targets[s.owners[slot]]
		return t.state == StateStraggler && now.Sub(t.stateSince) >= StragglerDelay
	}
	slices.SortFunc(moved, func(a, b int32) int { return compareBool(slow(a), slow(b)) })
	n := 0
	for n < len(moved) && !slow(moved[n]) {
		n++
	}
	out = s.appendMoves(moved[:n], ReasonBalance, out)
	return s.appendMoves(moved[n:], ReasonStraggler, out)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// loadSpread returns the highest, the median and the lowest relative load of targets in service.
func (s *service) loadSpread(fairLoad float64) (high, median, low float64) {
	order := s.targetsByLoad(fairLoad)
	n := 0
	for _, i := range order {
		if s.targets[i].capacity > 0 {
			order[n] = i
			n++
		}
	}
	order = order[:n]
	at := func(k int) float64 { return s.targets[order[k]].relativeLoad(fairLoad) }
	return at(0), at(n / 2), at(n - 1)
}

// groupSlotsByOwner lists the slots of each target that have no pending move.
func (s *service) groupSlotsByOwner() {
	b := &s.scratch
	b.slotsStart = resized(b.slotsStart, len(s.targets)+1)
	b.slotsLen = resized(b.slotsLen, len(s.targets))
	b.slots = resized(b.slots, len(s.owners))
	clear(b.slotsStart)
	clear(b.slotsLen)
	for slot, o := range s.owners {
		if o != NoOwner && s.pending[slot] == NoOwner {
			b.slotsStart[o+1]++
		}
	}
	for i := range s.targets {
		b.slotsStart[i+1] += b.slotsStart[i]
	}
	for slot, o := range s.owners {
		if o != NoOwner && s.pending[slot] == NoOwner {
			b.slots[b.slotsStart[o]+b.slotsLen[o]] = int32(slot)
			b.slotsLen[o]++
		}
	}
}

// resized returns a slice of length n that reuses b if its capacity allows. Its contents are undefined.
func resized(b []int32, n int) []int32 {
	if cap(b) < n {
		return make([]int32, n)
	}
	return b[:n]
}

// planBalancingMove proposes one move to the least loaded target, from the most loaded one whose load a move can
// reduce. It returns the slot that moves, or -1 for a hot-key row.
func (s *service) planBalancingMove(now types.Instant, fairLoad, median float64, out *[]Action) (slot int32, ok bool) {
	to, ok := s.leastLoadedReceiver(now, fairLoad)
	if !ok {
		return 0, false
	}
	for _, from := range s.targetsByLoad(fairLoad) {
		if !s.justifiesMove(uint16(from), to, fairLoad, median) {
			return 0, false
		}
		if slot, ok = s.planMoveBetween(now, uint16(from), to, fairLoad, out); ok {
			return slot, true
		}
	}
	return 0, false
}

// targetsByLoad returns the targets in descending order of relative load.
func (s *service) targetsByLoad(fairLoad float64) []int32 {
	order := resized(s.scratch.order, len(s.targets))
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int {
		if c := cmp.Compare(s.targets[b].relativeLoad(fairLoad), s.targets[a].relativeLoad(fairLoad)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	s.scratch.order = order
	return order
}

// justifiesMove reports whether the load difference between two targets is large enough for a move.
func (s *service) justifiesMove(from, to uint16, fairLoad, median float64) bool {
	high, low := s.targets[from].relativeLoad(fairLoad), s.targets[to].relativeLoad(fairLoad)
	return high-low > minLoadGap && (high > balanceStopRatio || low < balanceStopLow*median)
}

// leastLoadedReceiver returns the least loaded target that may receive one more slot.
func (s *service) leastLoadedReceiver(now types.Instant, fairLoad float64) (uint16, bool) {
	best, found := uint16(0), false
	for i := range s.targets {
		t := &s.targets[i]
		if t.capacity <= 0 || t.state == StateStraggler || (t.warmingUp(now) && t.incomingMoves >= MaxMovesToWarming) {
			continue
		}
		if !found || t.relativeLoad(fairLoad) < s.targets[best].relativeLoad(fairLoad) {
			best, found = uint16(i), true
		}
	}
	return best, found
}

// planMoveBetween proposes the move between two targets that lowers the higher of their loads most.
func (s *service) planMoveBetween(now types.Instant, from, to uint16, fairLoad float64, out *[]Action) (slot int32, ok bool) {
	a, b := &s.targets[from], &s.targets[to]
	bestGain := minLoadReduction
	bestIndex, bestKey := int32(-1), -1
	start := s.scratch.slotsStart[from]
	for k := range s.scratch.slotsLen[from] {
		item := s.scratch.slots[start+k]
		if now.Sub(s.ownerSince[item]) < MoveCooldown {
			continue
		}
		if g := loadReduction(a, b, float64(s.scratch.weight[item]), fairLoad); g > bestGain {
			bestGain, bestIndex = g, k
		}
	}
	for i := range s.hotRows {
		h := &s.hotRows[i]
		if h.owner != from || h.pending != NoOwner || now.Sub(h.ownerSince) < MoveCooldown {
			continue
		}
		if g := loadReduction(a, b, float64(h.load), fairLoad); g > bestGain {
			bestGain, bestKey = g, i
		}
	}
	switch {
	case bestKey >= 0:
		s.transferLoad(a, b, float64(s.hotRows[bestKey].load))
		*out = s.moveKey(now, &s.hotRows[bestKey], to, ReasonBalance, *out)
		return -1, true
	case bestIndex >= 0:
		return s.planSlotMove(now, from, to, bestIndex), true
	}
	return 0, false
}

// planSlotMove proposes the move of the k-th slot in the list of target from.
func (s *service) planSlotMove(now types.Instant, from, to uint16, k int32) int32 {
	b := &s.scratch
	last := b.slotsStart[from] + b.slotsLen[from] - 1
	pos := b.slotsStart[from] + k
	slot := b.slots[pos]
	b.slots[pos] = b.slots[last]
	b.slotsLen[from]--
	s.transferLoad(&s.targets[from], &s.targets[to], float64(b.weight[slot]))
	s.targets[to].incomingMoves++
	s.setPending(now, int(slot), to)
	return slot
}

// transferLoad accounts for a proposed move of load from one target to another.
func (s *service) transferLoad(from, to *target, load float64) {
	from.load -= load
	to.load += load
}

// loadReduction returns by how much a move of load from a to b lowers the higher of their relative loads.
func loadReduction(a, b *target, load, fairLoad float64) float64 {
	before := a.relativeLoad(fairLoad)
	after := max((a.load-load)/(a.capacity*fairLoad), (b.load+load)/(b.capacity*fairLoad))
	return before - after
}
