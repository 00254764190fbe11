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

// findCandidates lists the targets whose lease has been active for the suspicion timeout and that are not reported
// without a grant. The delay keeps slots from targets that have never answered.
func (a *Assigner) findCandidates() {
	n := 0
	same := true
	for i := range a.cfg.Services {
		s := &a.cfg.Services[i]
		for j := range s.Targets {
			c, ok := a.candidate(s, &s.Targets[j])
			if !ok {
				continue
			}
			if n < len(a.candidates) && a.candidates[n] != c || n >= len(a.candidates) {
				a.candidates = append(a.candidates[:n], c)
				same = false
			}
			n++
		}
	}
	if !same || n != len(a.candidates) {
		a.inputVersion++
	}
	a.candidates = a.candidates[:n]
}

func (a *Assigner) candidate(s *config.Service, t *config.Target) (candidate, bool) {
	id := types.TargetID{Service: s.Name, Target: t.Name}
	l, ok := a.table.lease(id)
	if !ok || l.State != LeaseActive {
		return candidate{}, false
	}
	if a.now.Sub(a.terms[id].at) < a.timing.suspicionTimeout || a.now.Sub(a.plannerSince) < 2*a.timing.confirmEvery {
		return candidate{}, false
	}
	if _, ungranted := a.ungrantedSince[id]; ungranted {
		return candidate{}, false
	}
	c := candidate{id: id, term: l.Term, weight: t.Weight}
	if c.weight <= 0 {
		c.weight = 1
	}
	return c, true
}

func (a *Assigner) findCandidate(id types.TargetID) (candidate, bool) {
	i := slices.IndexFunc(a.candidates, func(c candidate) bool { return c.id == id })
	if i < 0 {
		return candidate{}, false
	}
	return a.candidates[i], true
}

// editSlots adds the changes of the planner to one slot document.
func (a *Assigner) editSlots(s *config.Service, e *slotEdit) {
	now := scanInputs{version: a.table.version, inputVersion: a.inputVersion, completed: a.writer.completed}
	if a.lastScans[e.key] == now {
		return
	}
	a.lastScans[e.key] = now
	if e.base.Epoch == 0 {
		a.create(s, e)
	}
	a.assignFree(s, e)
	if e.base.Epoch == 0 && e.next != nil && !slices.ContainsFunc(e.next.Runs, func(r Run) bool { return r.State != SlotFree }) {
		e.next = nil
		return
	}
	a.startMoves(s, e)
	a.editHotKeys(s, e)
}

// create starts the document of an empty table with free slots.
func (a *Assigner) create(s *config.Service, e *slotEdit) {
	first := types.Slot(e.key.Part) * SlotsPerDocument
	count := min(s.Slots-uint32(first), SlotsPerDocument)
	e.document().Runs = []Run{{First: first, Count: count}}
}

// ownerless reports whether a row may be given to any target: it is free, or the term of its owner has ended.
func (a *Assigner) ownerless(s *config.Service, o Ownership) bool {
	if o.State == SlotFree {
		return true
	}
	l, ok := a.table.lease(types.TargetID{Service: s.Name, Target: o.Owner})
	return !ok || l.Term > o.Term
}

// assignFree distributes the slots and hot keys without an owner among the candidates, by weight.
func (a *Assigner) assignFree(s *config.Service, e *slotEdit) {
	free := slices.DeleteFunc(slices.Clone(e.current().Runs), func(r Run) bool { return !a.ownerless(s, r.Ownership) })
	keys := slices.DeleteFunc(slices.Clone(e.current().HotKeys), func(h HotKey) bool { return !a.ownerless(s, h.Ownership) })
	loads := a.loads(s)
	if len(free)+len(keys) == 0 || len(loads) == 0 {
		return
	}
	n := 0
	for _, r := range free {
		n += int(r.Count)
	}
	a.distribute(e, free, quotas(loads, n))
	for _, k := range keys {
		e.setKey(k.Key, a.keyOwner(s, e, k.Key, loads))
	}
	reason := ReasonSlotsReassigned
	if e.base.Epoch == 0 {
		reason = ReasonSlotsSpread
	}
	e.addDecision(reason, "", n+len(keys))
}

// distribute assigns the free ranges in order, the quota of each candidate in one piece where possible.
func (a *Assigner) distribute(e *slotEdit, free []Run, quota []quota) {
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

// owned returns the ownership of a row that the candidate owns.
func (c candidate) owned() Ownership {
	return Ownership{State: SlotOwned, Owner: c.id.Target, Term: c.term}
}

// keyOwner returns the owner of the slot of the key, or the least loaded candidate if that owner is not a candidate.
func (a *Assigner) keyOwner(s *config.Service, e *slotEdit, key types.KeyHash, loads loadHeap) Ownership {
	run, _ := e.current().Find(types.SlotOf(key, s.Slots))
	if c, ok := a.findCandidate(types.TargetID{Service: s.Name, Target: run.Owner}); ok && run.Term == c.term {
		return c.owned()
	}
	return loads[0].candidate.owned()
}

// startMoves marks the rows that placement moves as releasing.
func (a *Assigner) startMoves(s *config.Service, e *slotEdit) {
	for _, m := range a.moves[s.Name] {
		to, ok := a.findCandidate(types.TargetID{Service: s.Name, Target: m.To})
		if !ok || m.From == m.To {
			continue
		}
		n := a.startMove(s, e, m, to)
		if n > 0 {
			e.addDecision(ReasonMoveStarted, m.From, n)
		}
	}
}

// startMove marks the rows of one move as releasing and returns the number of slots or hot keys.
func (a *Assigner) startMove(s *config.Service, e *slotEdit, m Move, to candidate) (n int) {
	if m.Count == 0 {
		if h, ok := e.current().FindKey(m.Key); ok && a.movable(s, h.Ownership, m.From) {
			e.setKey(m.Key, releasing(h.Ownership, to))
			n++
		}
		return n
	}
	for _, r := range slices.Clone(e.current().Runs) {
		first, end := max(r.First, m.First), min(r.End(), m.First+types.Slot(m.Count))
		if first < end && a.movable(s, r.Ownership, m.From) {
			e.setSlots(first, end, releasing(r.Ownership, to))
			n += int(end - first)
		}
	}
	return n
}

// movable reports whether a row is owned by from and not being released yet.
func (a *Assigner) movable(s *config.Service, o Ownership, from types.Target) bool {
	return o.State == SlotOwned && o.Owner == from && !a.ownerless(s, o)
}

// releasing returns the ownership of a row that is being released to another target.
func releasing(o Ownership, to candidate) Ownership {
	o.State, o.NextOwner = SlotReleasing, to.id.Target
	return o
}

// editHotKeys adds rows for requested keys with the owner of their slot, and removes rows that are no longer requested
// once the owner of their slot owns them.
func (a *Assigner) editHotKeys(s *config.Service, e *slotEdit) {
	wanted, ok := a.hotKeys[s.Name]
	if !ok {
		return
	}
	n := 0
	for _, key := range wanted {
		run, inPart := e.current().Find(types.SlotOf(key, s.Slots))
		_, exists := e.current().FindKey(key)
		if inPart && !exists && run.State == SlotOwned && !a.ownerless(s, run.Ownership) {
			e.setKey(key, run.Ownership)
			n++
		}
	}
	for _, h := range slices.Clone(e.current().HotKeys) {
		if _, keep := slices.BinarySearch(wanted, h.Key); !keep {
			n += a.removeHotKey(s, e, h)
		}
	}
	if n > 0 {
		e.addDecision(ReasonHotKeys, "", n)
	}
}

// removeHotKey removes a row that has the same owner as its slot, or starts to release the key to that owner. It
// returns the number of rows changed.
func (a *Assigner) removeHotKey(s *config.Service, e *slotEdit, h HotKey) (n int) {
	run, _ := e.current().Find(types.SlotOf(h.Key, s.Slots))
	if h.State != SlotOwned || run.State != SlotOwned || a.ownerless(s, h.Ownership) {
		return 0
	}
	if h.Owner == run.Owner && h.Term == run.Term {
		e.dropKey(h.Key)
		return 1
	}
	if to, ok := a.findCandidate(types.TargetID{Service: s.Name, Target: run.Owner}); ok {
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

// loadHeap orders candidates by the ratio of slots to weight, with one slot more than they own.
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

// Push is not used: only the top element of the heap changes.
func (l *loadHeap) Push(any) {}

// Pop is not used: only the top element of the heap changes.
func (l *loadHeap) Pop() any { return nil }

// loads returns the candidates of a service with the number of slots they own, least loaded first.
func (a *Assigner) loads(s *config.Service) loadHeap {
	var l loadHeap
	for _, c := range a.candidates {
		if c.id.Service == s.Name {
			l = append(l, load{candidate: c})
		}
	}
	for part := range parts(s) {
		doc := a.table.slots(s.Name, part)
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

// quotas divides n slots so that the loads come as close to the weights as possible.
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
