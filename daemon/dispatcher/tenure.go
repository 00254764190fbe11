package dispatcher

import (
	"context"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// drainWatch waits until nothing outside areas is in flight at a target.
type drainWatch struct {
	target types.TargetID
	number uint64
	areas  *ownership.KeySet
	keyed  bool
	// stopped is true when nothing at all may be in flight.
	stopped bool
	// handovers are to be sent before the drain is reported.
	handovers []*handover
}

// allows reports whether a request may stay in flight.
func (d *drainWatch) allows(slot types.Slot, key types.KeyHash) bool {
	return !d.stopped && (!d.keyed || d.areas.HasKey(key, slot))
}

// applyServe brings the dispatch core up to date with what the ownership core allows.
func (w *worker) applyServe(ctx context.Context, c *serveChange) {
	if c.areasChanged {
		w.watchDrain(c)
		w.applyReleased(ctx, c)
	}
	if c.stopped {
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageStopServing, Target: c.target})
		w.checkDrains()
		return
	}
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageServe, Target: c.target, Lease: w.leaseOf(c)})
	if c.areasChanged {
		w.applyOwned(ctx, c)
		w.checkDrains()
	}
	w.lastEpoch[c.target] = c.epoch
}

func (w *worker) watchDrain(c *serveChange) {
	var unfinished []*handover
	if before := w.drains[c.target]; before != nil {
		unfinished = before.handovers
	}
	w.drains[c.target] = &drainWatch{
		target:    c.target,
		number:    c.number,
		areas:     c.areas,
		keyed:     w.keyed[c.target.Service],
		stopped:   c.stopped,
		handovers: append(unfinished, w.prepareHandovers(c)...),
	}
}

func (w *worker) applyReleased(ctx context.Context, c *serveChange) {
	for _, row := range c.released {
		message := slotMessage(dispatch.MessageSlotReleased, c.target, row, 0)
		message.Slot.Removed = row.removed
		w.step(ctx, message)
	}
	// A hot key that is known but not owned goes before its slot, so that requests for it are refused.
	for _, key := range c.excepted {
		row := ownedRow{slotRow: slotRow{key: key, hot: true}}
		w.step(ctx, slotMessage(dispatch.MessageSlotOwned, c.target, row, 0))
		w.step(ctx, slotMessage(dispatch.MessageSlotReleased, c.target, row, 0))
	}
	for _, key := range c.unexcepted {
		message := slotMessage(dispatch.MessageSlotReleased, c.target, ownedRow{slotRow: slotRow{key: key, hot: true}}, 0)
		message.Slot.Removed = true
		w.step(ctx, message)
	}
}

func (w *worker) applyOwned(ctx context.Context, c *serveChange) {
	for _, row := range c.owned {
		w.step(ctx, slotMessage(dispatch.MessageSlotOwned, c.target, row, w.memorySince(c, row)))
	}
}

func slotMessage(kind dispatch.MessageKind, target types.TargetID, row ownedRow, sinceMs int64) dispatch.Message {
	return dispatch.Message{Kind: kind, Target: target, Slot: dispatch.SlotRow{
		Slot:           row.slot,
		Hot:            row.hot,
		Key:            row.key,
		Epoch:          row.epoch,
		CoveredSinceMs: sinceMs,
	}}
}

// leaseOf describes the lease to the dispatch core. Its wall time says since when the deduplication table covers the
// target: from the former dispatcher's handover if that dispatcher was the last to hold the lease, unchanged (0) if it
// was this one, and from now on otherwise.
func (w *worker) leaseOf(c *serveChange) dispatch.Lease {
	l := dispatch.Lease{
		Epoch:       c.epoch,
		ValidUntil:  c.validUntil,
		WallMs:      wallMs(),
		Incarnation: c.incarnation,
		Warm:        c.incarnation != 0 && w.warm[c.target] == c.incarnation,
	}
	given, ok := w.given[handoverKey{target: c.target}]
	switch {
	case w.continues(c):
		l.WallMs = 0
	case ok && c.former != 0 && given.epoch == c.former:
		l.WallMs = given.sinceMs
	}
	return l
}

// continues reports whether this dispatcher was also the last to serve the target before c.
func (w *worker) continues(c *serveChange) bool {
	last := w.lastEpoch[c.target]
	return last != 0 && (last == c.epoch || last == c.former)
}

// memorySince returns the wall time since which the deduplication table covers a row that was just taken over.
func (w *worker) memorySince(c *serveChange, row ownedRow) int64 {
	given, ok := w.given[handoverKey{target: types.TargetID{Service: c.target.Service}, row: row.slotRow}]
	switch {
	case ok && row.former != 0 && given.epoch == row.former:
		return given.sinceMs
	case ok && given.lease != 0 && given.lease == c.former && given.epoch == row.epoch:
		return given.sinceMs
	case row.hot && row.former == 0 && row.slotEpoch != 0:
		// The row was just created: until now the key was part of its slot.
		since, covered := w.core.SlotCoveredSince(c.target, dispatch.SlotRow{Slot: row.slot, Epoch: row.slotEpoch})
		if covered {
			return since
		}
	}
	if since, covered := w.ownTenure(c, row); covered {
		return since
	}
	return wallMs()
}

// ownTenure covers rows that this dispatcher keeps over a new lease epoch of the same target.
func (w *worker) ownTenure(c *serveChange, row ownedRow) (int64, bool) {
	if !w.continues(c) {
		return 0, false
	}
	return w.core.SlotCoveredSince(c.target, dispatch.SlotRow{Slot: row.slot, Hot: row.hot, Key: row.key, Epoch: row.epoch})
}

// checkDrains reports targets at which nothing outside their areas is in flight any more.
func (w *worker) checkDrains() {
	for target, d := range w.drains {
		if w.busyOutside(d) {
			continue
		}
		w.startHandovers(d)
		if len(d.handovers) > 0 {
			continue
		}
		if w.drained(ownership.Drained{Target: target, Number: d.number}) {
			delete(w.drains, target)
		}
	}
}

func (w *worker) busyOutside(d *drainWatch) bool {
	for _, p := range w.payloads {
		if len(p.cancels) == 0 || p.request == nil {
			continue
		}
		r := p.request
		same := r.Service == d.target.Service && r.Target == d.target.Target
		if same && !d.allows(r.Slot, r.KeyHash) {
			return true
		}
	}
	return false
}
