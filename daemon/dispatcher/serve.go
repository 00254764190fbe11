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
	// former is the epoch under which the row was owned before.
	former types.Epoch
	// slotEpoch is the epoch of a hot key's slot if the target owns that too, else 0.
	slotEpoch types.Epoch
	// next is the VM of the dispatcher that takes a released row over, empty when it is not known.
	next types.VM
	// removed is true for a released hot key whose row is gone from the table.
	removed bool
}

// serveChange tells the dispatch duty what it may send to one target.
type serveChange struct {
	target      types.TargetID
	epoch       types.Epoch
	number      uint64
	validUntil  types.Instant
	incarnation types.Incarnation
	// areasChanged is true when the lists below and areas are set.
	areasChanged bool
	areas        *ownership.KeySet
	released     []ownedRow
	owned        []ownedRow
	// excepted and unexcepted are keys in the target's slots that belong to another target, or no longer do.
	excepted   []types.KeyHash
	unexcepted []types.KeyHash
	// former is the epoch under which the lease was active before.
	former types.Epoch
	// stopped is true when nothing more may be sent. next is then the VM of the dispatcher that takes the lease over.
	stopped bool
	next    types.VM
}

// serve passes an ActServe on.
func (k *leaseManager) serve(ctx context.Context, s ownership.Serve) {
	before, known := k.served[s.Target]
	k.served[s.Target] = s
	change := &serveChange{
		target:      s.Target,
		epoch:       s.Epoch,
		number:      s.Number,
		validUntil:  s.ValidUntil,
		incarnation: k.incarnations[s.Target],
	}
	if !known || before.Number != s.Number {
		k.describe(change, before.KeySet, s.KeySet)
		k.publish()
	}
	_ = k.worker.controls.Put(ctx, workerControl{serve: change})
}

// stopServing passes an ActStop on.
func (k *leaseManager) stopServing(ctx context.Context, s ownership.Serve) {
	before := k.served[s.Target]
	delete(k.served, s.Target)
	change := &serveChange{target: s.Target, epoch: before.Epoch, number: s.Number, stopped: true}
	k.describe(change, before.KeySet, nil)
	if l, ok := k.lease(s.Target); ok && l.State == ownership.LeaseRevoked {
		change.next = l.NextHolder.VM
	}
	_ = k.worker.controls.Put(ctx, workerControl{serve: change})
	k.publish()
}

// describe fills in what changed between two areas and who follows on what was released.
func (k *leaseManager) describe(c *serveChange, before, after *ownership.KeySet) {
	c.areasChanged = true
	c.areas = after
	rows := k.rowsOf(c.target.Service)
	old, current := epochsOf(before), epochsOf(after)
	for row, epoch := range old {
		if _, kept := current[row]; !kept {
			released := ownedRow{slotRow: row, epoch: epoch}
			stored := rows(row)
			released.next = k.successor(c.target, stored)
			released.removed = row.hot && stored == ownership.Ownership{}
			c.released = append(c.released, released)
		}
	}
	for row, epoch := range current {
		if previous, kept := old[row]; kept && previous == epoch {
			continue
		}
		c.owned = append(c.owned, k.owned(c.target.Service, row, epoch, rows(row), after))
	}
	c.excepted, c.unexcepted = exceptionChanges(before, after)
	if l, ok := k.lease(c.target); ok {
		c.former = l.PreviousEpoch
	}
}

func (k *leaseManager) owned(
	service types.Service, row slotRow, epoch types.Epoch, stored ownership.Ownership, areas *ownership.KeySet,
) ownedRow {
	out := ownedRow{slotRow: row, epoch: epoch}
	if stored.Epoch == epoch {
		out.former = stored.PreviousEpoch
	}
	if row.hot {
		out.slot = types.SlotOf(row.key, k.slots[service])
		out.slotEpoch = epochsOf(areas)[slotRow{slot: out.slot}]
	}
	return out
}

// successor returns the VM whose dispatcher takes a row over that from releases.
func (k *leaseManager) successor(from types.TargetID, row ownership.Ownership) types.VM {
	if row.State != ownership.SlotReleasing || row.Owner != from.Target {
		return ""
	}
	l, ok := k.lease(types.TargetID{Service: from.Service, Target: row.NextOwner})
	if !ok || l.State != ownership.LeaseActive {
		return ""
	}
	return l.Holder.VM
}

func (k *leaseManager) lease(id types.TargetID) (ownership.Lease, bool) {
	for _, d := range k.documents() {
		if d.Leases != nil && d.Key.Service == id.Service {
			return d.Leases.Find(id.Target)
		}
	}
	return ownership.Lease{}, false
}

// rowsOf returns a function that finds the stored row of a slot or hot key.
func (k *leaseManager) rowsOf(service types.Service) func(slotRow) ownership.Ownership {
	var parts []*ownership.SlotDocument
	for _, d := range k.documents() {
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

func (k *leaseManager) documents() []ownership.Document {
	k.known = k.core.Documents(k.known[:0])
	return k.known
}

func epochsOf(a *ownership.KeySet) map[slotRow]types.Epoch {
	rows := make(map[slotRow]types.Epoch)
	if a == nil {
		return rows
	}
	for _, s := range a.Slots {
		for i := range s.Count {
			rows[slotRow{slot: s.First + types.Slot(i)}] = s.Epoch
		}
	}
	for _, key := range a.Keys {
		rows[slotRow{key: key.Key, hot: true}] = key.Epoch
	}
	return rows
}

func exceptionChanges(before, after *ownership.KeySet) (added, removed []types.KeyHash) {
	old, current := exceptionsOf(before), exceptionsOf(after)
	for _, key := range current {
		if !slices.Contains(old, key) {
			added = append(added, key)
		}
	}
	owned := epochsOf(after)
	for _, key := range old {
		_, own := owned[slotRow{key: key, hot: true}] // a key of the target's own is excepted from its slots too
		if !own && !slices.Contains(current, key) {
			removed = append(removed, key)
		}
	}
	return added, removed
}

func exceptionsOf(a *ownership.KeySet) []types.KeyHash {
	if a == nil {
		return nil
	}
	return a.Except
}

// wallMs returns the wall time in Unix milliseconds.
func wallMs() int64 { return time.Now().UnixMilli() }
