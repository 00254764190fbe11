package dispatcher

import (
	"context"
	"slices"
	"time"

	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// slotRow identifies a slot or hot key of a service.
type slotRow struct {
	slot types.Slot
	key  types.KeyHash
	hot  bool
}

// ownedRow is a slot or hot key that a target owns or owned.
type ownedRow struct {
	slotRow
	epoch types.Epoch
	// previousEpoch is the epoch under which the row was owned before.
	previousEpoch types.Epoch
	// slotEpoch is the epoch of a hot key's slot if the target owns that too, else 0.
	slotEpoch types.Epoch
	// nextHolder is the VM of the dispatcher that takes a released row over, empty if unknown.
	nextHolder types.VM
	// removed is true for a released hot key that has no row in the ownership documents any more.
	removed bool
}

// serveChange tells the dispatch duty which requests it may send to one target, and until when.
type serveChange struct {
	target types.TargetID
	epoch  types.Epoch
	// number is the number of the ownership.Serve, which the report of the end of the drain repeats.
	number      uint64
	validUntil  types.Instant
	incarnation types.Incarnation
	// keysChanged is true when the lists below and keySet are set.
	keysChanged bool
	keySet      *ownership.KeySet
	released    []ownedRow
	owned       []ownedRow
	// excepted and unexcepted are keys in the target's slots that belong to another target, or no longer do.
	excepted   []types.KeyHash
	unexcepted []types.KeyHash
	// previousEpoch is the epoch under which the lease was active before.
	previousEpoch types.Epoch
	// stopped is true if nothing more may be sent. nextHolder is then the VM of the dispatcher that takes the lease
	// over.
	stopped    bool
	nextHolder types.VM
}

// serve passes an ActServe on to the dispatch duty.
func (lm *leaseManager) serve(ctx context.Context, s ownership.Serve) {
	before, known := lm.served[s.Target]
	lm.served[s.Target] = s
	change := &serveChange{
		target:      s.Target,
		epoch:       s.Epoch,
		number:      s.Number,
		validUntil:  s.ValidUntil,
		incarnation: lm.incarnations[s.Target],
	}
	if !known || before.Number != s.Number {
		lm.fillChanges(change, before.KeySet, s.KeySet)
		lm.publish()
	}
	_ = lm.worker.controls.Put(ctx, workerControl{serve: change})
}

// stopServing passes an ActStop on to the dispatch duty.
func (lm *leaseManager) stopServing(ctx context.Context, s ownership.Serve) {
	before := lm.served[s.Target]
	delete(lm.served, s.Target)
	change := &serveChange{target: s.Target, epoch: before.Epoch, number: s.Number, stopped: true}
	lm.fillChanges(change, before.KeySet, nil)
	if l, ok := lm.lease(s.Target); ok && l.State == ownership.LeaseRevoked {
		change.nextHolder = l.NextHolder.VM
	}
	_ = lm.worker.controls.Put(ctx, workerControl{serve: change})
	lm.publish()
}

// fillChanges fills in what changed between two key sets and which dispatcher takes the released rows over.
func (lm *leaseManager) fillChanges(c *serveChange, before, after *ownership.KeySet) {
	c.keysChanged = true
	c.keySet = after
	find := lm.rowLookup(c.target.Service)
	old, current := epochsOf(before), epochsOf(after)
	for row, epoch := range old {
		if _, kept := current[row]; !kept {
			released := ownedRow{slotRow: row, epoch: epoch}
			stored := find(row)
			released.nextHolder = lm.nextHolderVM(c.target, stored)
			released.removed = row.hot && stored == ownership.Ownership{}
			c.released = append(c.released, released)
		}
	}
	for row, epoch := range current {
		if previous, kept := old[row]; kept && previous == epoch {
			continue
		}
		c.owned = append(c.owned, lm.owned(c.target.Service, row, epoch, find(row), after))
	}
	c.excepted, c.unexcepted = exceptionChanges(before, after)
	if l, ok := lm.lease(c.target); ok {
		c.previousEpoch = l.PreviousEpoch
	}
}

// owned describes a row that a target takes over. stored is the row in the ownership documents.
func (lm *leaseManager) owned(
	service types.Service, row slotRow, epoch types.Epoch, stored ownership.Ownership, keySet *ownership.KeySet,
) ownedRow {
	out := ownedRow{slotRow: row, epoch: epoch}
	if stored.Epoch == epoch {
		out.previousEpoch = stored.PreviousEpoch
	}
	if row.hot {
		out.slot = types.SlotOf(row.key, lm.slots[service])
		out.slotEpoch = epochsOf(keySet)[slotRow{slot: out.slot}]
	}
	return out
}

// nextHolderVM returns the VM of the dispatcher that takes over a row that target from releases.
func (lm *leaseManager) nextHolderVM(from types.TargetID, row ownership.Ownership) types.VM {
	if row.State != ownership.SlotReleasing || row.Owner != from.Target {
		return ""
	}
	l, ok := lm.lease(types.TargetID{Service: from.Service, Target: row.NextOwner})
	if !ok || l.State != ownership.LeaseActive {
		return ""
	}
	return l.Holder.VM
}

func (lm *leaseManager) lease(id types.TargetID) (ownership.Lease, bool) {
	for _, d := range lm.documents() {
		if d.Leases != nil && d.Key.Service == id.Service {
			return d.Leases.Find(id.Target)
		}
	}
	return ownership.Lease{}, false
}

// rowLookup returns a function that finds the row of a slot or hot key in the ownership documents.
func (lm *leaseManager) rowLookup(service types.Service) func(slotRow) ownership.Ownership {
	var parts []*ownership.SlotDocument
	for _, d := range lm.documents() {
		if d.Slots != nil && d.Key.Service == service {
			parts = append(parts, d.Slots)
		}
	}
	return func(row slotRow) ownership.Ownership {
		for _, part := range parts {
			if o, ok := findRow(part, row); ok {
				return o
			}
		}
		return ownership.Ownership{}
	}
}

func findRow(d *ownership.SlotDocument, row slotRow) (ownership.Ownership, bool) {
	if row.hot {
		h, ok := d.FindKey(row.key)
		return h.Ownership, ok
	}
	r, ok := d.Find(row.slot)
	return r.Ownership, ok
}

func (lm *leaseManager) documents() []ownership.Document {
	lm.documentBuffer = lm.core.Documents(lm.documentBuffer[:0])
	return lm.documentBuffer
}

// epochsOf returns the epoch of each slot and hot key in keySet.
func epochsOf(keySet *ownership.KeySet) map[slotRow]types.Epoch {
	rows := make(map[slotRow]types.Epoch)
	if keySet == nil {
		return rows
	}
	for _, s := range keySet.Slots {
		for i := range s.Count {
			rows[slotRow{slot: s.First + types.Slot(i)}] = s.Epoch
		}
	}
	for _, key := range keySet.Keys {
		rows[slotRow{key: key.Key, hot: true}] = key.Epoch
	}
	return rows
}

// exceptionChanges returns the keys that are excepted in after but not in before, and those that are no longer excepted
// although the target does not own them as hot keys.
func exceptionChanges(before, after *ownership.KeySet) (added, removed []types.KeyHash) {
	old, current := exceptionsOf(before), exceptionsOf(after)
	for _, key := range current {
		if !slices.Contains(old, key) {
			added = append(added, key)
		}
	}
	owned := epochsOf(after)
	for _, key := range old {
		_, isOwned := owned[slotRow{key: key, hot: true}] // hot keys that the target owns are excepted from its slots too
		if !isOwned && !slices.Contains(current, key) {
			removed = append(removed, key)
		}
	}
	return added, removed
}

func exceptionsOf(keySet *ownership.KeySet) []types.KeyHash {
	if keySet == nil {
		return nil
	}
	return keySet.Except
}

// wallClockMs returns the wall-clock time in Unix milliseconds.
func wallClockMs() int64 { return time.Now().UnixMilli() }
