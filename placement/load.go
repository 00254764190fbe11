package placement

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// smoothingFactor is the weight of a new report in the exponentially smoothed load.
	smoothingFactor = 0.5
	// reportGracePeriod is how long after a change of owner the reports on a slot are ignored: they cover only part of
	// the reporting interval of 10 s.
	reportGracePeriod = 12 * time.Second
	// baseLoadShare is the load that is added to every slot, as a share of the average slot load. It spreads slots
	// without measured load evenly.
	baseLoadShare = 0.1
	// lowLoad is the load of an average target, in requests per second, below which all slots are assumed to have
	// similar load. A report that covers 10 s of less load is mostly sampling noise.
	lowLoad = 25
)

// smooth returns the new estimate of a load. A change of more than hotKeyShare of an average target's load is not
// noise and applies at once: if the load of a former hot key decayed slowly, its target would seem loaded and the next
// hot key would not move there.
func (s *service) smooth(old, reported float32) float32 {
	change := reported - old
	if old == 0 || float64(max(change, -change)) > hotKeyShare*s.meanLoad {
		return reported
	}
	return old + change*smoothingFactor
}

// installLoad applies a dispatcher's report. Hot-key rows of the target whose key is not listed count as without
// load.
func (s *service) installLoad(now types.Instant, m *Load) {
	t, ok := s.byName[m.Target]
	if !ok {
		return
	}
	reported := s.scratch.zeroedReport(int(s.slots))
	for i, slot := range m.Slots {
		if int(slot) < len(reported) && i < len(m.Loads) {
			reported[slot] = max(m.Loads[i], 0) + listedOffset
		}
	}
	owned := s.slotsOf(t)
	unlistedLoad := unlistedSlotLoad(owned, m.Rest, reported)
	for _, slot := range owned {
		if now.Sub(s.ownerSince[slot]) < reportGracePeriod {
			continue
		}
		load := unlistedLoad
		if reported[slot] > 0 {
			load = reported[slot] - listedOffset
		}
		s.loads[slot] = s.smooth(s.loads[slot], load)
	}
	for _, slot := range m.Slots {
		if int(slot) < len(reported) {
			reported[slot] = 0
		}
	}
	s.installKeyLoads(now, t, m.Keys)
}

// listedOffset is added to reported loads, to distinguish a listed slot without load from a slot that is not listed.
const listedOffset = 1

// unlistedSlotLoad returns the load of each owned slot that a report does not list: an equal part of their total load.
func unlistedSlotLoad(owned []int32, unlisted float32, reported []float32) float32 {
	if unlisted <= 0 {
		return 0
	}
	n := 0
	for _, slot := range owned {
		if reported[slot] == 0 {
			n++
		}
	}
	return unlisted / float32(max(n, 1))
}

// slotIndex lists the slots by owner. Reports arrive far more often than owners change, so it is rebuilt on
// the first use after a change.
type slotIndex struct {
	valid bool
	first []int32 // per target: start of its slots in slots
	slots []int32
}

// slotsOf returns the slots that a target owns, in order.
func (s *service) slotsOf(t uint16) []int32 {
	x := &s.slotIndex
	if !x.valid || len(x.first) != len(s.targets)+1 {
		x.build(s.owners, len(s.targets))
	}
	return x.slots[x.first[t]:x.first[t+1]]
}

func (x *slotIndex) build(owners []uint16, targets int) {
	x.valid = true
	x.first = resized(x.first, targets+1)
	x.slots = resized(x.slots, len(owners))
	clear(x.first)
	for _, o := range owners {
		if o != NoOwner {
			x.first[o]++
		}
	}
	end := int32(0)
	for i, n := range x.first {
		end += n
		x.first[i] = end
	}
	// Filling each range from its end turns the end position into the start position.
	for slot := len(owners) - 1; slot >= 0; slot-- {
		if o := owners[slot]; o != NoOwner {
			x.first[o]--
			x.slots[x.first[o]] = int32(slot)
		}
	}
}

// installKeyLoads applies the key loads in the report on target t.
func (s *service) installKeyLoads(now types.Instant, t uint16, keys []KeyLoad) {
	for i := range s.hotRows {
		h := &s.hotRows[i]
		if h.owner == t && !containsKey(keys, h.key) && now.Sub(h.ownerSince) >= reportGracePeriod {
			h.load = s.smooth(h.load, 0)
		}
	}
	for _, k := range keys {
		if s.keyOwner(k.Key) == t && s.reportsComplete(now, k.Key) {
			s.recordKeyLoad(now, k)
		}
	}
}

// reportsComplete reports whether a key has had its owner long enough for a report to cover a full interval. A report
// on a key must not count before the one on its slot does: compared with an unknown total load, every key looks hot.
func (s *service) reportsComplete(now types.Instant, key types.KeyHash) bool {
	ownerSince := s.ownerSince[types.SlotOf(key, s.slots)]
	if i := s.findHot(key); i >= 0 {
		ownerSince = s.hotRows[i].ownerSince
	}
	return now.Sub(ownerSince) >= reportGracePeriod
}

// keyOwner returns the owner of a key. The report on a target may also list keys that have moved to another
// target, until the sketch is reset.
func (s *service) keyOwner(key types.KeyHash) uint16 {
	if i := s.findHot(key); i >= 0 {
		return s.hotRows[i].owner
	}
	if s.slots == 0 {
		return NoOwner
	}
	return s.owners[types.SlotOf(key, s.slots)]
}

// containsKey reports whether keys lists key.
func containsKey(keys []KeyLoad, key types.KeyHash) bool {
	for _, k := range keys {
		if k.Key == key {
			return true
		}
	}
	return false
}

// scratch holds buffers that plans and reports reuse. Their contents are not kept from one use to the next.
type scratch struct {
	reported   []float32
	weight     []float32 // load of each slot, including the base load
	slotsStart []int32   // per target: start of its range in slots
	slotsLen   []int32   // per target: length of its range in slots
	slots      []int32   // slots without a pending move, grouped by owner
	order      []int32   // in balancing: targets by descending load; in appendMovesFor: selected slots
	selected   []int32   // slots to move
	heap       receiverHeap
}

// zeroedReport returns a buffer of n zero loads. The caller must reset it to zero after use.
func (b *scratch) zeroedReport(n int) []float32 {
	if len(b.reported) < n {
		b.reported = make([]float32, n)
	}
	return b.reported[:n]
}

// computeLoads computes the capacity of each target and its load after all pending moves. It returns the fair
// load: the total load for each unit of capacity.
func (s *service) computeLoads(now types.Instant) (fairLoad float64) {
	capacity := 0.0
	for i := range s.targets {
		t := &s.targets[i]
		t.load = 0
		t.incomingMoves = 0
		t.capacity = t.weight * t.capacityShare(now)
		capacity += t.capacity
	}
	total := s.computeSlotLoads()
	for slot, w := range s.scratch.weight {
		if o := s.plannedOwner(slot); o != NoOwner {
			s.targets[o].load += float64(w)
		}
		if p := s.pending[slot]; p != NoOwner {
			s.targets[p].incomingMoves++
		}
	}
	for i := range s.hotRows {
		h := &s.hotRows[i]
		total += float64(h.load)
		if o := h.plannedOwner(); o != NoOwner {
			s.targets[o].load += float64(h.load)
		}
	}
	if capacity == 0 {
		return 0
	}
	return total / capacity
}

// computeSlotLoads computes the load of each slot including the base load, and returns the sum.
func (s *service) computeSlotLoads() float64 {
	measured := 0.0
	for _, l := range s.loads {
		measured += float64(l)
	}
	base := float32(1)
	if measured > 0 {
		base = float32(max(measured*baseLoadShare, s.lowLoadTotal()-measured) / float64(len(s.loads)))
	}
	if cap(s.scratch.weight) < len(s.loads) {
		s.scratch.weight = make([]float32, len(s.loads))
	}
	s.scratch.weight = s.scratch.weight[:len(s.loads)]
	total := 0.0
	for i, l := range s.loads {
		s.scratch.weight[i] = l + base
		total += float64(l + base)
	}
	return total
}

// lowLoadTotal returns the total load at which each target in service has lowLoad.
func (s *service) lowLoadTotal() float64 {
	n := 0
	for i := range s.targets {
		if !s.targets[i].state.evacuating() {
			n++
		}
	}
	return lowLoad * float64(n)
}

// relativeLoad returns the load of a target as a multiple of its fair share, where fairLoad is the load for each
// unit of capacity.
func (t *target) relativeLoad(fairLoad float64) float64 {
	if t.capacity <= 0 {
		return 0
	}
	return t.load / (t.capacity * fairLoad)
}
