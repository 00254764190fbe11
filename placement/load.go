package placement

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// loadGain is the weight of a new report in a smoothed load.
	loadGain = 0.5
	// reportGrace is how long after a change of owner a slot's reports are ignored: they cover part of the reporting
	// interval of 10 s only.
	reportGrace = 12 * time.Second
	// baseShare is the load that every slot is taken to have, as a share of the average slot. It spreads slots
	// without measured load evenly.
	baseShare = 0.1
	// quietLoad is the load of an average target, in requests per second, below which slots count as evenly loaded. A
	// report that covers 10 s of less load is mostly sampling noise.
	quietLoad = 25
)

// smooth returns the new estimate of a load. A change of more than hotShare of an average target's load is no noise and
// is taken over at once: a former hot key that fades slowly hides the best place for its successor.
func (s *service) smooth(old, reported float32) float32 {
	change := reported - old
	if old == 0 || float64(max(change, -change)) > hotShare*s.mean {
		return reported
	}
	return old + change*loadGain
}

// installLoad applies a dispatcher's report. Hot keys of the target that are not listed have no load.
func (s *service) installLoad(now types.Instant, m *Load) {
	t, ok := s.byName[m.Target]
	if !ok {
		return
	}
	reported := s.scratch.reportOf(int(s.slots))
	for i, slot := range m.Slots {
		if int(slot) < len(reported) && i < len(m.Loads) {
			reported[slot] = max(m.Loads[i], 0) + listed
		}
	}
	owned := s.slotsOf(t)
	each := restOfEach(owned, m.Rest, reported)
	for _, slot := range owned {
		if now.Sub(s.changed[slot]) < reportGrace {
			continue
		}
		load := each
		if reported[slot] > 0 {
			load = reported[slot] - listed
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

// listed is added to reported loads, so that a listed slot without load differs from one that is not listed.
const listed = 1

// restOfEach returns the load of each slot of a target that a report does not list.
func restOfEach(owned []int32, rest float32, reported []float32) float32 {
	if rest <= 0 {
		return 0
	}
	n := 0
	for _, slot := range owned {
		if reported[slot] == 0 {
			n++
		}
	}
	return rest / float32(max(n, 1))
}

// index lists the slots by owner. Reports arrive far more often than owners change, so it is built when it is needed
// after a change.
type index struct {
	valid bool
	first []int32 // per target: start of its slots in slots
	slots []int32
}

// slotsOf returns the slots that a target owns, in order.
func (s *service) slotsOf(t uint16) []int32 {
	x := &s.index
	if !x.valid || len(x.first) != len(s.targets)+1 {
		x.build(s.owners, len(s.targets))
	}
	return x.slots[x.first[t]:x.first[t+1]]
}

func (x *index) build(owners []uint16, targets int) {
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
	// Filling from the back turns each end into the start.
	for slot := len(owners) - 1; slot >= 0; slot-- {
		if o := owners[slot]; o != NoOwner {
			x.first[o]--
			x.slots[x.first[o]] = int32(slot)
		}
	}
}

func (s *service) installKeyLoads(now types.Instant, t uint16, keys []KeyLoad) {
	for i := range s.hot {
		h := &s.hot[i]
		if h.owner == t && !contains(keys, h.key) && now.Sub(h.changed) >= reportGrace {
			h.load = s.smooth(h.load, 0)
		}
	}
	for _, k := range keys {
		if s.ownerOf(k.Key) == t && s.settledFor(now, k.Key) {
			s.noteKey(now, k)
		}
	}
}

// settledFor reports whether a key has had its owner long enough for its report to be complete. A report on a key must
// not count before the one on its slot does: against an unknown total load every key looks hot.
func (s *service) settledFor(now types.Instant, key types.KeyHash) bool {
	changed := s.changed[types.SlotOf(key, s.slots)]
	if i := s.findHot(key); i >= 0 {
		changed = s.hot[i].changed
	}
	return now.Sub(changed) >= reportGrace
}

// ownerOf returns the owner of a key. A target also reports keys that it has handed over, until its sketch forgets them.
func (s *service) ownerOf(key types.KeyHash) uint16 {
	if i := s.findHot(key); i >= 0 {
		return s.hot[i].owner
	}
	if s.slots == 0 {
		return NoOwner
	}
	return s.owners[types.SlotOf(key, s.slots)]
}

func contains(keys []KeyLoad, key types.KeyHash) bool {
	for _, k := range keys {
		if k.Key == key {
			return true
		}
	}
	return false
}

// scratch holds buffers that plans and reports use again and again. It carries nothing from one use to the next.
type scratch struct {
	report []float32
	weight []float32 // load of each slot with the base load
	first  []int32   // per target: start of its slots in items
	size   []int32   // per target: number of its slots in items
	items  []int32
	order  []int32
	todo   []int32
	heap   receivers
}

// reportOf returns a zeroed buffer of n loads. Users zero it again.
func (b *scratch) reportOf(n int) []float32 {
	if len(b.report) < n {
		b.report = make([]float32, n)
	}
	return b.report[:n]
}

// measure computes the expected load and the capacity of each target, and returns the load of an average target.
func (s *service) measure(now types.Instant) (mean float64) {
	capacity := 0.0
	for i := range s.targets {
		t := &s.targets[i]
		t.load = 0
		t.fresh = 0
		t.capacity = t.weight * t.share(now)
		capacity += t.capacity
	}
	total := s.weigh()
	for slot, w := range s.scratch.weight {
		if o := s.expected(slot); o != NoOwner {
			s.targets[o].load += float64(w)
		}
		if p := s.pending[slot]; p != NoOwner {
			s.targets[p].fresh++
		}
	}
	for i := range s.hot {
		h := &s.hot[i]
		total += float64(h.load)
		if o := h.expected(); o != NoOwner {
			s.targets[o].load += float64(h.load)
		}
	}
	if capacity == 0 {
		return 0
	}
	return total / capacity
}

// weigh fills the scratch weights of the slots and returns their sum.
func (s *service) weigh() float64 {
	measured := 0.0
	for _, l := range s.loads {
		measured += float64(l)
	}
	base := float32(1)
	if measured > 0 {
		base = float32(max(measured*baseShare, s.quietTotal()-measured) / float64(len(s.loads)))
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

// quietTotal returns the load of a service whose targets have quietLoad each.
func (s *service) quietTotal() float64 {
	n := 0
	for i := range s.targets {
		if !s.targets[i].state.leaving() {
			n++
		}
	}
	return quietLoad * float64(n)
}

// relative returns the load of a target as a multiple of its fair share, where fair is the load for each unit of
// capacity.
func (t *target) relative(fair float64) float64 {
	if t.capacity <= 0 {
		return 0
	}
	return t.load / (t.capacity * fair)
}
