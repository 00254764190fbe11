package placement

import (
	"cmp"
	"slices"

	"sequoiasail.example/types"
)

// Thresholds of balancing. Loads are relative to the fair share.
const (
	// startRatio is the highest relative load at which balancing starts.
	startRatio = 1.15
	// stopRatio is the highest relative load at which it stops. The distance to startRatio keeps steady noise from
	// causing moves.
	stopRatio = 1.05
	// startLow and stopLow are the corresponding bounds of the lowest relative load, as shares of the median one. A
	// target that joins n others raises their relative load to (n+1)/n only, which never exceeds startRatio for n above
	// 6. The median is the measure because one overloaded target lowers the relative load of all others.
	startLow = 0.75
	stopLow  = 0.9
	// minGap is the smallest difference between two targets for which a move is worth it.
	minGap = 0.05
	// minGain is the smallest reduction of the higher load, as a share of the fair load.
	minGain = 0.002
)

// balance proposes moves from the most to the least loaded targets. A difference that no move can repair, for example one
// hot key that exceeds a fair share by itself, causes no move.
func (s *service) balance(now types.Instant, fair float64, out []Action) []Action {
	high, median, low := s.spread(fair)
	unbalanced := high > startRatio || low < startLow*median
	uneven := high > stopRatio || low < stopLow*median
	s.balancing = unbalanced || (s.balancing && uneven)
	if !s.balancing {
		return out
	}
	s.group()
	start := len(out)
	moved := s.scratch.todo[:0]
	for s.inMotion < MaxBalancing {
		slot, ok := s.improve(now, fair, median, &out)
		if !ok {
			break
		}
		if slot >= 0 {
			moved = append(moved, slot)
		}
	}
	s.scratch.todo = moved
	out = s.emitBalancing(now, moved, out)
	if len(out) == start && s.inMotion == 0 {
		s.balancing = false
	}
	return out
}

// emitBalancing emits the moves with the reason that each former owner gives.
func (s *service) emitBalancing(now types.Instant, moved []int32, out []Action) []Action {
	slow := func(slot int32) bool {
		t := &s.targets[s.owners[slot]]
		return t.state == StateStraggler && now.Sub(t.since) >= StragglerHold
	}
	slices.SortFunc(moved, func(a, b int32) int { return compareBool(slow(a), slow(b)) })
	n := 0
	for n < len(moved) && !slow(moved[n]) {
		n++
	}
	out = s.emit(moved[:n], ReasonBalance, out)
	return s.emit(moved[n:], ReasonStraggler, out)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// spread returns the highest, the median and the lowest relative load of targets in service.
func (s *service) spread(fair float64) (high, median, low float64) {
	order := s.byLoad(fair)
	n := 0
	for _, i := range order {
		if s.targets[i].capacity > 0 {
			order[n] = i
			n++
		}
	}
	order = order[:n]
	at := func(k int) float64 { return s.targets[order[k]].relative(fair) }
	return at(0), at(n / 2), at(n - 1)
}

// group lists the settled slots of each target.
func (s *service) group() {
	b := &s.scratch
	b.first = resized(b.first, len(s.targets)+1)
	b.size = resized(b.size, len(s.targets))
	b.items = resized(b.items, len(s.owners))
	clear(b.first)
	clear(b.size)
	for slot, o := range s.owners {
		if o != NoOwner && s.pending[slot] == NoOwner {
			b.first[o+1]++
		}
	}
	for i := range s.targets {
		b.first[i+1] += b.first[i]
	}
	for slot, o := range s.owners {
		if o != NoOwner && s.pending[slot] == NoOwner {
			b.items[b.first[o]+b.size[o]] = int32(slot)
			b.size[o]++
		}
	}
}

func resized(b []int32, n int) []int32 {
	if cap(b) < n {
		return make([]int32, n)
	}
	return b[:n]
}

// improve proposes one move from the most loaded target that a move can relieve to the least loaded one. It returns
// the slot that moves, or -1 for a hot-key row.
func (s *service) improve(now types.Instant, fair, median float64, out *[]Action) (slot int32, ok bool) {
	to, ok := s.receiver(now, fair)
	if !ok {
		return 0, false
	}
	for _, from := range s.byLoad(fair) {
		if !s.worthwhile(uint16(from), to, fair, median) {
			return 0, false
		}
		if slot, ok = s.relieve(now, uint16(from), to, fair, out); ok {
			return slot, true
		}
	}
	return 0, false
}

// byLoad returns the targets in descending order of relative load.
func (s *service) byLoad(fair float64) []int32 {
	order := resized(s.scratch.order, len(s.targets))
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int {
		if c := cmp.Compare(s.targets[b].relative(fair), s.targets[a].relative(fair)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	s.scratch.order = order
	return order
}

func (s *service) worthwhile(from, to uint16, fair, median float64) bool {
	high, low := s.targets[from].relative(fair), s.targets[to].relative(fair)
	return high-low > minGap && (high > stopRatio || low < stopLow*median)
}

// receiver returns the least loaded target that may take one more slot.
func (s *service) receiver(now types.Instant, fair float64) (uint16, bool) {
	best, found := uint16(0), false
	for i := range s.targets {
		t := &s.targets[i]
		if t.capacity <= 0 || t.state == StateStraggler || (t.isFresh(now) && t.fresh >= MaxToFresh) {
			continue
		}
		if !found || t.relative(fair) < s.targets[best].relative(fair) {
			best, found = uint16(i), true
		}
	}
	return best, found
}

// relieve proposes the move between two targets that lowers the higher of their loads most.
func (s *service) relieve(now types.Instant, from, to uint16, fair float64, out *[]Action) (slot int32, ok bool) {
	a, b := &s.targets[from], &s.targets[to]
	bestGain := minGain
	bestItem, bestKey := int32(-1), -1
	b0 := s.scratch.first[from]
	for k := range s.scratch.size[from] {
		item := s.scratch.items[b0+k]
		if now.Sub(s.changed[item]) < MoveHold {
			continue
		}
		if g := gain(a, b, float64(s.scratch.weight[item]), fair); g > bestGain {
			bestGain, bestItem = g, k
		}
	}
	for i := range s.hot {
		h := &s.hot[i]
		if h.owner != from || h.pending != NoOwner || now.Sub(h.changed) < MoveHold {
			continue
		}
		if g := gain(a, b, float64(h.load), fair); g > bestGain {
			bestGain, bestKey = g, i
		}
	}
	switch {
	case bestKey >= 0:
		s.shift(a, b, float64(s.hot[bestKey].load))
		*out = s.moveKey(now, &s.hot[bestKey], to, ReasonBalance, *out)
		return -1, true
	case bestItem >= 0:
		return s.relieveSlot(now, from, to, bestItem), true
	}
	return 0, false
}

// relieveSlot proposes the move of the k-th listed slot of from.
func (s *service) relieveSlot(now types.Instant, from, to uint16, k int32) int32 {
	b := &s.scratch
	last := b.first[from] + b.size[from] - 1
	pos := b.first[from] + k
	slot := b.items[pos]
	b.items[pos] = b.items[last]
	b.size[from]--
	s.shift(&s.targets[from], &s.targets[to], float64(b.weight[slot]))
	s.targets[to].fresh++
	s.propose(now, int(slot), to)
	return slot
}

func (s *service) shift(from, to *target, load float64) {
	from.load -= load
	to.load += load
}

// gain returns by how much a move of load from a to b lowers the higher of their relative loads.
func gain(a, b *target, load, fair float64) float64 {
	before := a.relative(fair)
	after := max((a.load-load)/(a.capacity*fair), (b.load+load)/(b.capacity*fair))
	return before - after
}
