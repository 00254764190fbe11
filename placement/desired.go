package placement

import "sequoiasail.example/types"

// Moves appends all proposed moves of a service that are not confirmed. Each list is complete, so a later list
// may replace an earlier one that was not read yet.
func (c *Core) Moves(name types.Service, out []Action) []Action {
	s := c.services[name]
	if s == nil {
		return out
	}
	selected := s.scratch.selected[:0]
	for slot, to := range s.pending {
		if to != NoOwner && to != s.owners[slot] {
			selected = append(selected, int32(slot))
		}
	}
	s.scratch.selected = selected
	for _, reason := range []Reason{ReasonLost, ReasonFree, ReasonDraining, ReasonBalance} {
		out = s.appendMovesFor(selected, reason, out)
	}
	for i := range s.hotRows {
		if h := &s.hotRows[i]; h.pending != NoOwner {
			out = append(out, s.keyAction(h, h.pending, s.moveReason(h.owner)))
		}
	}
	return out
}

// appendMovesFor appends the moves of those slots whose pending move has the given reason, see moveReason.
func (s *service) appendMovesFor(slots []int32, reason Reason, out []Action) []Action {
	some := s.scratch.order[:0]
	for _, slot := range slots {
		if s.moveReason(s.owners[slot]) == reason {
			some = append(some, slot)
		}
	}
	s.scratch.order = some
	return s.appendMoves(some, reason, out)
}

// moveReason returns the reason of a pending move away from owner: ReasonBalance if the owner need not be replaced.
func (s *service) moveReason(owner uint16) Reason {
	if r := s.reassignReason(owner); r != 0 {
		return r
	}
	return ReasonBalance
}

// DesiredHotKeys appends the keys that should have hot-key rows: those of existing rows that are not being dropped, and
// those of proposed rows.
func (c *Core) DesiredHotKeys(now types.Instant, name types.Service, out []types.KeyHash) []types.KeyHash {
	s := c.services[name]
	if s == nil {
		return out
	}
	for i := range s.hotRows {
		if !s.hotRows[i].dropProposed {
			out = append(out, s.hotRows[i].key)
		}
	}
	for i := range s.candidates {
		if k := &s.candidates[i]; k.proposedAt != 0 && now.Sub(k.proposedAt) < MoveTimeout {
			out = append(out, k.key)
		}
	}
	return out
}
