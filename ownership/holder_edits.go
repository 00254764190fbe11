package ownership

import (
	"sequoiasail.example/types"
)

// editLeases writes what only the holder may write: a new epoch after a lost grant, a planned hand-over after the
// drain, and a vacant lease once no grant is left at the target.
func (h *Holder) editLeases(e *leaseEdit) {
	for _, x := range h.held {
		if x.id.Service != e.key.Service {
			continue
		}
		row := x.lease
		switch {
		case h.mayVacate(x), h.vacating(x):
			x.vacatingAt = e.base.Epoch
			h.stop(x)
			e.vacate(row, ReasonLeaseVacated)
		case row.State == LeaseActive && x.lost && !h.silentNow(x):
			e.put(row, ReasonGrantLost)
		case row.State == LeaseRevoked && row.Next != (Peer{}) && !row.Ending && x.drained >= x.served.Number:
			row.State, row.Holder, row.Next = LeaseActive, row.Next, Peer{}
			e.put(row, ReasonDispatcherMoved)
		}
	}
}

// mayVacate reports whether the target certainly holds no grant and should lose its slots: its lease is being ended,
// or it owns slots and is silent.
func (h *Holder) mayVacate(x *holding) bool {
	expired := h.now >= x.endsBy
	if !x.checks {
		expired = x.drained >= x.served.Number && h.now >= h.timing.grantEnd(later(x.learnedAt, x.served.ValidUntil))
	}
	if x.lease.State == LeaseRevoked {
		return x.lease.Ending && (x.ended || expired)
	}
	return expired && h.silentNow(x) && holds(&h.table, h.service(x.id.Service), x.id.Target, x.lease.Term)
}

// editSlots writes the next owner of the slots and hot keys that the held targets have released. It needs the permit: the
// lease may have gone to another dispatcher, which has granted the slot again in the meantime.
func (h *Holder) editSlots(e *slotEdit) {
	for _, x := range h.held {
		if x.id.Service != e.key.Service || !x.releasing || !h.confirmed(x) || !h.permit.held(x.group) {
			continue
		}
		n := 0
		for _, r := range e.base.Runs {
			if h.released(x, r.Ownership) {
				e.setSlots(r.First, r.End(), h.successor(x, r.Ownership))
				n += int(r.Count)
			}
		}
		for _, k := range e.base.HotKeys {
			if h.released(x, k.Ownership) {
				e.setKey(k.Key, h.successor(x, k.Ownership))
				n++
			}
		}
		if n > 0 {
			e.note(ReasonReleased, x.id.Target, n)
		}
	}
}

func (h *Holder) released(x *holding, o Ownership) bool {
	return o.State == SlotReleasing && o.Owner == x.id.Target && o.Term == x.lease.Term
}

// successor returns the ownership after a release: the next owner if its lease is active, otherwise free.
func (h *Holder) successor(x *holding, o Ownership) Ownership {
	next, ok := h.table.lease(types.TargetID{Service: x.id.Service, Target: o.Next})
	if !ok || next.State != LeaseActive {
		return Ownership{State: SlotFree}
	}
	return Ownership{State: SlotOwned, Owner: o.Next, Term: next.Term}
}
