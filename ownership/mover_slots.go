package ownership

import (
	"cmp"
	"container/heap"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// candidate is a target that may be given slots.
type candidate struct {
	id     types.TargetID
	term   types.Epoch
	weight float64
}

// findCandidates lists the targets whose lease has been active for the suspicion time and that are not reported
// without a grant. The delay keeps slots from targets that were never heard.
func (m *Mover) findCandidates() {
	n := 0
	same := true
	for i := range m.cfg.Services {
		s := &m.cfg.Services[i]
		for j := range s.Targets {
			c, ok := m.candidate(s, &s.Targets[j])
			if !ok {
				continue
			}
			if n < len(m.candidates) && m.candidates[n] != c || n >= len(m.candidates) {
				m.candidates = append(m.candidates[:n], c)
				same = false
			}
			n++
		}
	}
	if !same || n != len(m.candidates) {
		m.inputs++
	}
	m.candidates = m.candidates[:n]
}

func (m *Mover) candidate(s *config.Service, t *config.Target) (candidate, bool) {
	id := types.TargetID{Service: s.Name, Target: t.Name}
	l, ok := m.table.lease(id)
	if !ok || l.State != LeaseActive {
		return candidate{}, false
	}
	if m.now.Sub(m.terms[id].at) < m.timing.suspicion || m.now.Sub(m.gainedAt) < 2*m.timing.confirmEvery {
		return candidate{}, false
	}
	if _, silent := m.silentSince[id]; silent {
		return candidate{}, false
	}
	c := candidate{id: id, term: l.Term, weight: t.Weight}
	if c.weight <= 0 {
		c.weight = 1
	}
	return c, true
}

func (m *Mover) findCandidate(id types.TargetID) (candidate, bool) {
	i := slices.IndexFunc(m.candidates, func(c candidate) bool { return c.id == id })
	if i < 0 {
		return candidate{}, false
	}
	return m.candidates[i], true
}

// editSlots changes one slot document, as the planner.
func (m *Mover) editSlots(s *config.Service, e *slotEdit) {
	now := scan{changes: m.table.changes, inputs: m.inputs, settled: m.writer.settled}
	if m.scanned[e.key] == now {
		return
	}
	m.scanned[e.key] = now
	if e.base.Epoch == 0 {
		m.create(s, e)
	}
	m.assignFree(s, e)
	if e.base.Epoch == 0 && e.next != nil && !slices.ContainsFunc(e.next.Runs, func(r Run) bool { return r.State != SlotFree }) {
		e.next = nil
		return
	}
	m.startMoves(s, e)
	m.editHotKeys(s, e)
}

// create starts the document of an empty table with free slots.
func (m *Mover) create(s *config.Service, e *slotEdit) {
	first := types.Slot(e.key.Part) * SlotsPerDocument
	count := min(s.Slots-uint32(first), SlotsPerDocument)
	e.document().Runs = []Run{{First: first, Count: count}}
}

// ownerless reports whether a row may be given to any target: it is free, or its owner's term has ended.
func (m *Mover) ownerless(s *config.Service, o Ownership) bool {
	if o.State == SlotFree {
		return true
	}
	l, ok := m.table.lease(types.TargetID{Service: s.Name, Target: o.Owner})
	return !ok || l.Term > o.Term
}

// assignFree gives the slots and hot keys without an owner to the candidates, by weight.
func (m *Mover) assignFree(s *config.Service, e *slotEdit) {
	free := slices.DeleteFunc(slices.Clone(e.current().Runs), func(r Run) bool { return !m.ownerless(s, r.Ownership) })
	keys := slices.DeleteFunc(slices.Clone(e.current().HotKeys), func(h HotKey) bool { return !m.ownerless(s, h.Ownership) })
	loads := m.loads(s)
	if len(free)+len(keys) == 0 || len(loads) == 0 {
		return
	}
	n := 0
	for _, r := range free {
		n += int(r.Count)
	}
	m.carve(e, free, quotas(loads, n))
	for _, k := range keys {
		e.setKey(k.Key, m.keyOwner(s, e, k.Key, loads))
	}
	reason := ReasonSlotsReassigned
	if e.base.Epoch == 0 {
		reason = ReasonSlotsSpread
	}
	e.note(reason, "", n+len(keys))
}

// carve hands the ranges out in order, each candidate's quota in one piece where possible.
func (m *Mover) carve(e *slotEdit, free []Run, quota []quota) {
	i := 0
	for _, r := range free {
		for first := r.First; first < r.End(); {
			for quota[i].slots == 0 {
				i++
			}
			n := min(quota[i].slots, int(r.End()-first))
			end := first + types.Slot(n)
			e.setSlots(first, end, quota[i].owner.owned())
			quota[i].slots -= n
			first = end
		}
	}
}

func (c candidate) owned() Ownership {
	return Ownership{State: SlotOwned, Owner: c.id.Target, Term: c.term}
}

// keyOwner returns the owner of the key's slot, or the least loaded candidate if that is not one.
func (m *Mover) keyOwner(s *config.Service, e *slotEdit, key types.KeyHash, loads loadHeap) Ownership {
	run, _ := e.current().Find(types.SlotOf(key, s.Slots))
	if c, ok := m.findCandidate(types.TargetID{Service: s.Name, Target: run.Owner}); ok && run.Term == c.term {
		return c.owned()
	}
	return loads[0].candidate.owned()
}

// startMoves marks what placement wants moved as releasing.
func (m *Mover) startMoves(s *config.Service, e *slotEdit) {
	for _, w := range m.moves[s.Name] {
		to, ok := m.findCandidate(types.TargetID{Service: s.Name, Target: w.To})
		if !ok || w.From == w.To {
			continue
		}
		n := m.startMove(s, e, w, to)
		if n > 0 {
			e.note(ReasonMoveStarted, w.From, n)
		}
	}
}

func (m *Mover) startMove(s *config.Service, e *slotEdit, w Move, to candidate) (n int) {
	if w.Count == 0 {
		if h, ok := e.current().FindKey(w.Key); ok && m.movable(s, h.Ownership, w.From) {
			e.setKey(w.Key, releasing(h.Ownership, to))
			n++
		}
		return n
	}
	for _, r := range slices.Clone(e.current().Runs) {
		first, end := max(r.First, w.First), min(r.End(), w.First+types.Slot(w.Count))
		if first < end && m.movable(s, r.Ownership, w.From) {
			e.setSlots(first, end, releasing(r.Ownership, to))
			n += int(end - first)
		}
	}
	return n
}

func (m *Mover) movable(s *config.Service, o Ownership, from types.Target) bool {
	return o.State == SlotOwned && o.Owner == from && !m.ownerless(s, o)
}

func releasing(o Ownership, to candidate) Ownership {
	o.State, o.Next = SlotReleasing, to.id.Target
	return o
}

// editHotKeys adds rows for wanted keys with the owner of their slot, and removes unwanted rows once they are with
// the owner of their slot.
func (m *Mover) editHotKeys(s *config.Service, e *slotEdit) {
	wanted, ok := m.hotKeys[s.Name]
	if !ok {
		return
	}
	n := 0
	for _, key := range wanted {
		run, inPart := e.current().Find(types.SlotOf(key, s.Slots))
		_, exists := e.current().FindKey(key)
		if inPart && !exists && run.State == SlotOwned && !m.ownerless(s, run.Ownership) {
			e.setKey(key, run.Ownership)
			n++
		}
	}
	for _, h := range slices.Clone(e.current().HotKeys) {
		if _, keep := slices.BinarySearch(wanted, h.Key); !keep {
			n += m.removeHotKey(s, e, h)
		}
	}
	if n > 0 {
		e.note(ReasonHotKeys, "", n)
	}
}

func (m *Mover) removeHotKey(s *config.Service, e *slotEdit, h HotKey) (n int) {
	run, _ := e.current().Find(types.SlotOf(h.Key, s.Slots))
	if h.State != SlotOwned || run.State != SlotOwned || m.ownerless(s, h.Ownership) {
		return 0
	}
	if h.Owner == run.Owner && h.Term == run.Term {
		e.dropKey(h.Key)
		return 1
	}
	if to, ok := m.findCandidate(types.TargetID{Service: s.Name, Target: run.Owner}); ok {
		e.setKey(h.Key, releasing(h.Ownership, to))
		return 1
	}
	return 0
}

// load is the number of slots that a candidate owns.
type load struct {
	candidate candidate
	slots     int
}

// loadHeap orders candidates by slots for their weight.
type loadHeap []load

func (l loadHeap) Len() int { return len(l) }

func (l loadHeap) Less(i, j int) bool {
	a, b := float64(l[i].slots+1)/l[i].candidate.weight, float64(l[j].slots+1)/l[j].candidate.weight
	if a != b {
		return a < b
	}
	return l[i].candidate.id.Target < l[j].candidate.id.Target
}

func (l loadHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push is not used: the heap only changes at its top.
func (l *loadHeap) Push(any) {}

// Pop is not used: the heap only changes at its top.
func (l *loadHeap) Pop() any { return nil }

// loads returns the candidates of a service with what they own, least loaded first.
func (m *Mover) loads(s *config.Service) loadHeap {
	var l loadHeap
	for _, c := range m.candidates {
		if c.id.Service == s.Name {
			l = append(l, load{candidate: c})
		}
	}
	for part := range parts(s) {
		doc := m.table.slots(s.Name, part)
		if doc == nil {
			continue
		}
		for _, r := range doc.Runs {
			i, ok := slices.BinarySearchFunc(l, r.Owner, func(x load, t types.Target) int {
				return cmp.Compare(x.candidate.id.Target, t)
			})
			if ok && r.Term == l[i].candidate.term {
				l[i].slots += int(r.Count)
			}
		}
	}
	heap.Init(&l)
	return l
}

// quota is the number of slots that a candidate is to be given.
type quota struct {
	owner candidate
	slots int
}

// quotas shares n slots so that the loads come as close to the weights as they can.
func quotas(l loadHeap, n int) []quota {
	given := make(map[types.Target]int, len(l))
	for range n {
		l[0].slots++
		given[l[0].candidate.id.Target]++
		heap.Fix(&l, 0)
	}
	out := make([]quota, 0, len(l))
	for _, x := range l {
		out = append(out, quota{owner: x.candidate, slots: given[x.candidate.id.Target]})
	}
	slices.SortFunc(out, func(a, b quota) int { return cmp.Compare(a.owner.id.Target, b.owner.id.Target) })
	return out
}
