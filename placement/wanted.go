package placement

import "sequoiasail.example/types"

// Moves appends all proposed moves of a service that are not confirmed. A ring that replaces older state can carry the
// list, because each list is complete.
func (c *Core) Moves(name types.Service, out []Action) []Action {
	s := c.services[name]
	if s == nil {
		return out
	}
	todo := s.scratch.todo[:0]
	for slot, to := range s.pending {
		if to != NoOwner && to != s.owners[slot] {
			todo = append(todo, int32(slot))
		}
	}
	s.scratch.todo = todo
	for _, reason := range []Reason{ReasonLost, ReasonFree, ReasonDraining, ReasonBalance} {
		out = s.emitOnly(todo, reason, out)
	}
	for i := range s.hot {
		if h := &s.hot[i]; h.pending != NoOwner {
			out = append(out, s.keyAction(h, h.pending, s.whyMoved(h.owner)))
		}
	}
	return out
}

// emitOnly emits the slots whose present owner gives the reason.
func (s *service) emitOnly(slots []int32, reason Reason, out []Action) []Action {
	some := s.scratch.order[:0]
	for _, slot := range slots {
		if s.whyMoved(s.owners[slot]) == reason {
			some = append(some, slot)
		}
	}
	s.scratch.order = some
	return s.emit(some, reason, out)
}

// whyMoved returns why a row moves away from an owner that may stay as it is.
func (s *service) whyMoved(owner uint16) Reason {
	if r := s.emptyReason(owner); r != 0 {
		return r
	}
	return ReasonBalance
}

// WantedKeys appends the keys that should have rows of their own: present rows that are not being dropped, and rows
// that were proposed.
func (c *Core) WantedKeys(now types.Instant, name types.Service, out []types.KeyHash) []types.KeyHash {
	s := c.services[name]
	if s == nil {
		return out
	}
	for i := range s.hot {
		if !s.hot[i].dropping {
			out = append(out, s.hot[i].key)
		}
	}
	for i := range s.keys {
		if k := &s.keys[i]; k.asked != 0 && now.Sub(k.asked) < MoveTimeout {
			out = append(out, k.key)
		}
	}
	return out
}
