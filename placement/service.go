package placement

import (
	"time"

	"sequoiasail.example/types"
)

// maxSlots bounds a slot table.
const maxSlots = 1 << 20

// maxTargets bounds the targets of a service, so that an index fits the table's 16 bits.
const maxTargets = int(NoOwner)

// service is the planner's state of one service.
type service struct {
	name    types.Service
	slots   uint32
	targets []target
	byName  map[types.Target]uint16
	listed  bool // targets were listed at least once

	// Per slot: owner and proposed owner (indices into targets or NoOwner), smoothed load, last change of owner.
	owners  []uint16
	pending []uint16
	loads   []float32
	changed []types.Instant
	// expires is when the proposed move of a slot is forgotten.
	expires   []types.Instant
	parts     map[types.Slot]types.Revision
	inMotion  int
	balancing bool
	mean      float64 // load of an average target in the last plan
	urgent    bool

	hot     []hotRow
	hotAt   types.Revision
	keys    []candidate
	scratch scratch
	index   index
}

// target is the planner's view of one target.
type target struct {
	name   types.Target
	weight float64
	state  State
	since  types.Instant
	// freshSince is when the target began to take load after having none, or never.
	freshSince types.Instant

	// Of the plan under way.
	capacity float64
	load     float64
	fresh    int
}

func newService(name types.Service) *service {
	return &service{name: name, byName: map[types.Target]uint16{}, parts: map[types.Slot]types.Revision{}}
}

// intern returns the index of the named target and adds it as lost if it is new.
func (s *service) intern(name types.Target) uint16 {
	if i, ok := s.byName[name]; ok {
		return i
	}
	i := s.vacant()
	if i < 0 {
		if len(s.targets) >= maxTargets {
			return NoOwner
		}
		i = len(s.targets)
		s.targets = append(s.targets, target{})
	}
	s.targets[i] = target{name: name, state: StateLost, freshSince: never}
	s.byName[name] = uint16(i)
	return uint16(i)
}

// vacant returns the index of a lost target that owns nothing, or -1. Reuse keeps memory bounded while targets are
// replaced.
func (s *service) vacant() int {
	for i := range s.targets {
		if s.targets[i].state != StateLost || s.refers(uint16(i)) {
			continue
		}
		delete(s.byName, s.targets[i].name)
		return i
	}
	return -1
}

func (s *service) refers(i uint16) bool {
	for slot := range s.owners {
		if s.owners[slot] == i || s.pending[slot] == i {
			return true
		}
	}
	for _, h := range s.hot {
		if h.owner == i || h.pending == i {
			return true
		}
	}
	return false
}

func (s *service) installTargets(now types.Instant, m *Targets) {
	s.resize(int(min(m.Slots, maxSlots)))
	seen := make([]bool, maxTargets)
	for _, r := range m.Rows {
		i := s.intern(r.Name)
		if i == NoOwner {
			continue
		}
		seen[i] = true
		s.targets[i].install(now, r, s.listed)
	}
	for i := range s.targets {
		if !seen[i] && s.targets[i].state != StateLost {
			s.targets[i].state = StateLost
			s.targets[i].since = now
		}
	}
	s.listed = s.listed || len(m.Rows) > 0
}

// install applies a listed row. A target counts as fresh when it is cold, and when it enters service after the first
// list: a planner that has just started must not take a warm fleet for a fresh one.
func (t *target) install(now types.Instant, r Target, listedBefore bool) {
	t.weight = max(r.Weight, 0)
	entered := listedBefore && t.state.leaving()
	if (r.State == StateCold && t.state != StateCold) || (entered && !r.State.leaving()) {
		t.freshSince = now
	}
	if r.State.leaving() {
		t.freshSince = never
	}
	if r.State != t.state {
		t.state = r.State
		t.since = now
	}
}

func (s *service) resize(n int) {
	s.slots = uint32(n)
	s.index.valid = false
	for len(s.owners) < n {
		s.owners = append(s.owners, NoOwner)
		s.pending = append(s.pending, NoOwner)
		s.loads = append(s.loads, 0)
		s.changed = append(s.changed, 0)
		s.expires = append(s.expires, 0)
	}
	s.owners = s.owners[:n]
	s.pending = s.pending[:n]
	s.loads = s.loads[:n]
	s.changed = s.changed[:n]
	s.expires = s.expires[:n]
}

func (s *service) installOwners(now types.Instant, m *Owners) {
	if m.Revision < s.parts[m.FirstSlot] {
		return
	}
	_, installed := s.parts[m.FirstSlot]
	s.parts[m.FirstSlot] = m.Revision
	changed := now
	if !installed {
		changed = now.Add(-MoveHold) // rows that were there before this planner have been held for long enough
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
		s.setOwner(changed, slot, owner)
	}
}

func (s *service) setOwner(changed types.Instant, slot int, owner uint16) {
	if s.owners[slot] == owner {
		return
	}
	s.owners[slot] = owner
	s.index.valid = false
	s.changed[slot] = changed
	if owner == s.pending[slot] {
		s.settle(slot)
	}
}

func (s *service) settle(slot int) {
	if s.pending[slot] != NoOwner {
		s.pending[slot] = NoOwner
		s.inMotion--
	}
}

// propose records a move of a slot.
func (s *service) propose(now types.Instant, slot int, to uint16) {
	if s.pending[slot] == NoOwner {
		s.inMotion++
	}
	s.pending[slot] = to
	s.expires[slot] = now.Add(MoveTimeout)
}

// expireMoves forgets moves that were not confirmed in time or lead to a target that is leaving.
func (s *service) expireMoves(now types.Instant) {
	for slot, to := range s.pending {
		if to != NoOwner && (now >= s.expires[slot] || s.targets[to].state.leaving()) {
			s.settle(slot)
		}
	}
	for i := range s.hot {
		h := &s.hot[i]
		if h.pending != NoOwner && (now >= h.expires || s.targets[h.pending].state.leaving()) {
			h.pending = NoOwner
		}
	}
}

func (s *service) forgetMoves() {
	for slot := range s.pending {
		s.settle(slot)
	}
	for i := range s.hot {
		s.hot[i].pending = NoOwner
	}
}

// expected returns who owns a slot once its proposed move is carried out.
func (s *service) expected(slot int) uint16 {
	if s.pending[slot] != NoOwner {
		return s.pending[slot]
	}
	return s.owners[slot]
}

// Shares of a target's weight.
const (
	// freshShare is the share of a target that has just started. It takes some load, because it never warms up
	// without any.
	freshShare = 0.1
	// stragglerShare is the share of a target that stays slow.
	stragglerShare = 0.5
)

// share returns the part of its weight that a target can bear at time now.
func (t *target) share(now types.Instant) float64 {
	if t.state.leaving() {
		return 0
	}
	share := 1.0
	if t.freshSince != never {
		share = min(1, freshShare+(1-freshShare)*float64(now.Sub(t.freshSince))/float64(RampTime))
	}
	if t.state == StateStraggler && now.Sub(t.since) >= StragglerHold {
		share = min(share, stragglerShare)
	}
	return share
}

// isFresh reports whether the ramp of a target has not ended.
func (t *target) isFresh(now types.Instant) bool {
	return t.freshSince != never && now.Sub(t.freshSince) < time.Duration(RampTime)
}

// leaving returns the number of targets that must be emptied.
func (s *service) leaving() int {
	n := 0
	for i := range s.targets {
		if s.targets[i].state.leaving() {
			n++
		}
	}
	return n
}
