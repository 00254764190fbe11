package ownership

import (
	"sequoiasail.example/types"
)

// editLeases adds the lease changes that only the holder may write: a new epoch after a lost grant, a planned handover
// after the drain, and a vacant lease once the target has no grant left.
func (h *Holder) editLeases(e *leaseEdit) {
	for _, x := range h.held {
		if x.id.Service != e.key.Service {
			continue
		}
		row := x.lease
		switch {
		case h.mayVacate(x), h.vacatePending(x):
			x.vacateEpoch = e.base.Epoch
			h.stop(x)
			e.vacate(row, ReasonLeaseVacated)
		case row.State == LeaseActive && x.grantLost && !h.unresponsive(x):
			e.put(row, ReasonGrantLost)
		case row.State == LeaseRevoked && row.NextHolder != (Peer{}) && !row.EndsTerm && x.drained >= x.served.Number:
			row.State, row.Holder, row.NextHolder = LeaseActive, row.NextHolder, Peer{}
			e.put(row, ReasonDispatcherMoved)
		}
	}
}

// mayVacate reports whether the target certainly has no grant and should lose its slots: its lease is being ended, or
// it owns slots and is unresponsive.
func (h *Holder) mayVacate(x *heldLease) bool {
	expired := h.now >= x.grantEndsBy
	if !x.checksGrants {
		expired = x.drained >= x.served.Number && h.now >= h.timing.grantEnd(later(x.learnedAt, x.served.ValidUntil))
	}
	if x.lease.State == LeaseRevoked {
		return x.lease.EndsTerm && (x.grantEnded || expired)
	}
	return expired && h.unresponsive(x) && ownsRows(&h.table, h.service(x.id.Service), x.id.Target, x.lease.Term)
}

// editSlots writes the next owner of the slots and hot keys that the held targets have released. It requires the
// permit: without it another dispatcher may hold the lease by now and may have granted the slot again.
func (h *Holder) editSlots(e *slotEdit) {
	for _, x := range h.held {
		if x.id.Service != e.key.Service || !x.releasing || !h.grantConfirmed(x) || !h.permit.held(x.group) {
			continue
		}
		n := 0
		for _, r := range e.base.Runs {
			if h.awaitsRelease(x, r.Ownership) {
				e.setSlots(r.First, r.End(), h.successor(x, r.Ownership))
				n += int(r.Count)
			}
		}
		for _, k := range e.base.HotKeys {
			if h.awaitsRelease(x, k.Ownership) {
				e.setKey(k.Key, h.successor(x, k.Ownership))
				n++
			}
		}
		if n > 0 {
			e.addDecision(ReasonReleased, x.id.Target, n)
		}
	}
}

// awaitsRelease reports whether the held target must release a row with this ownership.
func (h *Holder) awaitsRelease(x *heldLease, o Ownership) bool {
	return o.State == SlotReleasing && o.Owner == x.id.Target && o.Term == x.lease.Term
}

// successor returns the ownership after a release: the next owner if its lease is active, otherwise free.
func (h *Holder) successor(x *heldLease, o Ownership) Ownership {
	next, ok := h.table.lease(types.TargetID{Service: x.id.Service, Target: o.NextOwner})
	if !ok || next.State != LeaseActive {
		return Ownership{State: SlotFree}
	}
	return Ownership{State: SlotOwned, Owner: o.NextOwner, Term: next.Term}
}
