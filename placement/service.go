package placement

import (
	"time"

	"sequoiasail.example/types"
)

// maxSlots bounds a slot table.
const maxSlots = 1 << 20

// maxTargets bounds the targets of a service, so that an index fits into the 16 bits that the slot table has for it.
const maxTargets = int(NoOwner)

// service is the planner's state of one service.
type service struct {
	name             types.Service
	slots            uint32
	targets          []target
	byName           map[types.Target]uint16 // index into targets
	targetsInstalled bool                    // at least one non-empty target list was installed

	// Per slot: owner and proposed owner (indices into targets or NoOwner), smoothed load, time of the last owner
	// change.
	owners     []uint16
	pending    []uint16
	loads      []float32
	ownerSince []types.Instant
	// expires is when the proposed move of a slot is discarded.
	expires []types.Instant
	// partRevisions holds the installed revision of each part of the slot table, by first slot.
	partRevisions map[types.Slot]types.Revision
	pendingSlots  int     // slots with a proposed move
	balancing     bool    // load balancing is in progress, see balanceStartRatio and balanceStopRatio
	meanLoad      float64 // load of a target of average weight in the last plan
	urgent        bool    // the last plan reassigned slots or rows, so the next one follows after UrgentInterval

	hotRows     []hotRow
	hotRevision types.Revision
	candidates  []candidate
	scratch     scratch
	slotIndex   slotIndex
}

// target is the planner's state of one target.
type target struct {
	name       types.Target
	weight     float64
	state      State
	stateSince types.Instant
	// warmupStart is when the target became cold or entered service, or never if it needs no warm-up.
	warmupStart types.Instant

	// Recomputed for each plan: capacity is the weight that applies at present, load the load once all pending moves
	// are done, incomingMoves the number of slots that move to the target.
	capacity      float64
	load          float64
	incomingMoves int
}

// newService returns the state of a service without targets and slots.
func newService(name types.Service) *service {
	return &service{name: name, byName: map[types.Target]uint16{}, partRevisions: map[types.Slot]types.Revision{}}
}

// intern returns the index of the named target and adds it as lost if it is new.
func (s *service) intern(name types.Target) uint16 {
	if i, ok := s.byName[name]; ok {
		return i
	}
	i := s.reclaimIndex()
	if i < 0 {
		if len(s.targets) >= maxTargets {
			return NoOwner
		}
		i = len(s.targets)
		s.targets = append(s.targets, target{})
	}
	s.targets[i] = target{name: name, state: StateLost, warmupStart: never}
	s.byName[name] = uint16(i)
	return uint16(i)
}

// reclaimIndex removes the name of a lost target that owns nothing and returns its index, or -1 if there is none. Reuse
// of indices bounds memory while targets are replaced.
func (s *service) reclaimIndex() int {
	for i := range s.targets {
		if s.targets[i].state != StateLost || s.isReferenced(uint16(i)) {
			continue
		}
		delete(s.byName, s.targets[i].name)
		return i
	}
	return -1
}

// isReferenced reports whether a slot or hot-key row is owned by target i or moves to it.
func (s *service) isReferenced(i uint16) bool {
	for slot := range s.owners {
		if s.owners[slot] == i || s.pending[slot] == i {
			return true
		}
	}
	for _, h := range s.hotRows {
		if h.owner == i || h.pending == i {
			return true
		}
	}
	return false
}

// installTargets replaces the list of targets. Targets that are no longer listed become lost.
func (s *service) installTargets(now types.Instant, m *Targets) {
	s.resize(int(min(m.Slots, maxSlots)))
	seen := make([]bool, maxTargets)
	for _, r := range m.Rows {
		i := s.intern(r.Name)
		if i == NoOwner {
			continue
		}
		seen[i] = true
		s.targets[i].update(now, r, s.targetsInstalled)
	}
	for i := range s.targets {
		if !seen[i] && s.targets[i].state != StateLost {
			s.targets[i].state = StateLost
			s.targets[i].stateSince = now
		}
	}
	s.targetsInstalled = s.targetsInstalled || len(m.Rows) > 0
}

// update applies a listed row. The warm-up of a target starts when it becomes cold, and when it enters service after
// the first list: a planner that has just started must not treat a warm fleet as new.
func (t *target) update(now types.Instant, r Target, listedBefore bool) {
	t.weight = max(r.Weight, 0)
	entered := listedBefore && t.state.evacuating()
	if (r.State == StateCold && t.state != StateCold) || (entered && !r.State.evacuating()) {
		t.warmupStart = now
	}
	if r.State.evacuating() {
		t.warmupStart = never
	}
	if r.State != t.state {
		t.state = r.State
		t.stateSince = now
	}
}

// resize sets the size of the slot table. New slots have no owner.
func (s *service) resize(n int) {
	s.slots = uint32(n)
	s.slotIndex.valid = false
	for len(s.owners) < n {
		s.owners = append(s.owners, NoOwner)
		s.pending = append(s.pending, NoOwner)
		s.loads = append(s.loads, 0)
		s.ownerSince = append(s.ownerSince, 0)
		s.expires = append(s.expires, 0)
	}
	s.owners = s.owners[:n]
	s.pending = s.pending[:n]
	s.loads = s.loads[:n]
	s.ownerSince = s.ownerSince[:n]
	s.expires = s.expires[:n]
}

// installOwners installs one part of the slot table unless a newer revision is installed.
func (s *service) installOwners(now types.Instant, m *Owners) {
	if m.Revision < s.partRevisions[m.FirstSlot] {
		return
	}
	_, installed := s.partRevisions[m.FirstSlot]
	s.partRevisions[m.FirstSlot] = m.Revision
	ownerSince := now
	if !installed {
		ownerSince = now.Add(-MoveCooldown) // the first table shows owners of unknown age: MoveCooldown does not apply
	}
	index := make([]uint16, len(m.Targets))
	for i, name := range m.Targets {
		index[i] = s.intern(name)
	}
	end := min(int(m.FirstSlot)+len(m.Owners), int(s.slots))
	for slot := int(m.FirstSlot); slot < end; slot++ {
		owner := NoOwner
		if o := m.Owners[slot-int(m.FirstSlot)]; int(o) < len(index) {
			owner = index[o]
		}
		s.setOwner(ownerSince, slot, owner)
	}
}

// setOwner installs the owner of a slot, which confirms a proposed move to it.
func (s *service) setOwner(ownerSince types.Instant, slot int, owner uint16) {
	if s.owners[slot] == owner {
		return
	}
	s.owners[slot] = owner
	s.slotIndex.valid = false
	s.ownerSince[slot] = ownerSince
	if owner == s.pending[slot] {
		s.clearPending(slot)
	}
}

// clearPending ends the proposed move of a slot, confirmed or not.
func (s *service) clearPending(slot int) {
	if s.pending[slot] != NoOwner {
		s.pending[slot] = NoOwner
		s.pendingSlots--
	}
}

// setPending records a proposed move of a slot to the target with index to.
func (s *service) setPending(now types.Instant, slot int, to uint16) {
	if s.pending[slot] == NoOwner {
		s.pendingSlots++
	}
	s.pending[slot] = to
	s.expires[slot] = now.Add(MoveTimeout)
}

// expireMoves discards moves that were not confirmed in time or whose receiver must be evacuated.
func (s *service) expireMoves(now types.Instant) {
	for slot, to := range s.pending {
		if to != NoOwner && (now >= s.expires[slot] || s.targets[to].state.evacuating()) {
			s.clearPending(slot)
		}
	}
	for i := range s.hotRows {
		h := &s.hotRows[i]
		if h.pending != NoOwner && (now >= h.expires || s.targets[h.pending].state.evacuating()) {
			h.pending = NoOwner
		}
	}
}

// discardMoves discards all proposed moves.
func (s *service) discardMoves() {
	for slot := range s.pending {
		s.clearPending(slot)
	}
	for i := range s.hotRows {
		s.hotRows[i].pending = NoOwner
	}
}

// plannedOwner returns the owner of a slot after its proposed move, if it has one.
func (s *service) plannedOwner(slot int) uint16 {
	if s.pending[slot] != NoOwner {
		return s.pending[slot]
	}
	return s.owners[slot]
}

// Shares of a target's weight that count as its capacity.
const (
	// warmupStartShare is the share of a target that has just started. It is above 0 because a target without load
	// never warms up.
	warmupStartShare = 0.1
	// stragglerShare is the share of a target that stays slow.
	stragglerShare = 0.5
)

// capacityShare returns the share of the target's weight that counts as its capacity at time now.
func (t *target) capacityShare(now types.Instant) float64 {
	if t.state.evacuating() {
		return 0
	}
	capacityShare := 1.0
	if t.warmupStart != never {
		capacityShare = min(1, warmupStartShare+(1-warmupStartShare)*float64(now.Sub(t.warmupStart))/float64(WarmupTime))
	}
	if t.state == StateStraggler && now.Sub(t.stateSince) >= StragglerDelay {
		capacityShare = min(capacityShare, stragglerShare)
	}
	return capacityShare
}

// warmingUp reports whether the target is within WarmupTime of its start.
func (t *target) warmingUp(now types.Instant) bool {
	return t.warmupStart != never && now.Sub(t.warmupStart) < time.Duration(WarmupTime)
}

// evacuating returns the number of targets from which all slots and hot-key rows must move away.
func (s *service) evacuating() int {
	n := 0
	for i := range s.targets {
		if s.targets[i].state.evacuating() {
			n++
		}
	}
	return n
}
