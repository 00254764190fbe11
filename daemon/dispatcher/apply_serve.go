package dispatcher

import (
	"context"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// pendingDrain waits until no request outside keySet is in flight at a target.
type pendingDrain struct {
	target types.TargetID
	// number is the number of the ownership.Serve that started the drain.
	number uint64
	keySet *ownership.KeySet
	keyed  bool
	// stopped is true if no request at all may be in flight.
	stopped bool
	// handovers must finish before the end of the drain is reported.
	handovers []*handover
}

// allows reports whether a request may stay in flight.
func (d *pendingDrain) allows(slot types.Slot, key types.KeyHash) bool {
	return !d.stopped && (!d.keyed || d.keySet.HasKey(key, slot))
}

// applyServe tells the dispatch core which requests it may send to a target, and starts the drain of the others.
func (w *worker) applyServe(ctx context.Context, c *serveChange) {
	if c.keysChanged {
		w.beginDrain(c)
		w.applyReleased(ctx, c)
	}
	if c.stopped {
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageStopServing, Target: c.target})
		w.checkDrains()
		return
	}
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageServe, Target: c.target, Lease: w.dispatchLease(c)})
	if c.keysChanged {
		w.applyOwned(ctx, c)
		w.checkDrains()
	}
	w.lastEpoch[c.target] = c.epoch
}

func (w *worker) beginDrain(c *serveChange) {
	var unfinished []*handover
	if before := w.pendingDrains[c.target]; before != nil {
		unfinished = before.handovers
	}
	w.pendingDrains[c.target] = &pendingDrain{
		target:    c.target,
		number:    c.number,
		keySet:    c.keySet,
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
	// A hot key that is known but not owned takes precedence over its slot, so that requests for it are refused.
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
		w.step(ctx, slotMessage(dispatch.MessageSlotOwned, c.target, row, w.coveredSince(c, row)))
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

// dispatchLease describes the lease to the dispatch core. WallMs is the time since which the deduplication table covers
// the target: the time from the handover if the dispatcher that handed over was the last holder, unchanged (0) if this
// dispatcher was the last holder, and now otherwise.
func (w *worker) dispatchLease(c *serveChange) dispatch.Lease {
	l := dispatch.Lease{
		Epoch:       c.epoch,
		ValidUntil:  c.validUntil,
		WallMs:      wallClockMs(),
		Incarnation: c.incarnation,
		Warm:        c.incarnation != 0 && w.warm[c.target] == c.incarnation,
	}
	handedOver, ok := w.handedOver[handoverKey{target: c.target}]
	switch {
	case w.servedLast(c):
		l.WallMs = 0
	case ok && c.previousEpoch != 0 && handedOver.epoch == c.previousEpoch:
		l.WallMs = handedOver.sinceMs
	}
	return l
}

// servedLast reports whether this dispatcher was the last to serve the target before c.
func (w *worker) servedLast(c *serveChange) bool {
	last := w.lastEpoch[c.target]
	return last != 0 && (last == c.epoch || last == c.previousEpoch)
}

// coveredSince returns the wall-clock time since which the deduplication table covers a row that was just taken over.
func (w *worker) coveredSince(c *serveChange, row ownedRow) int64 {
	handedOver, ok := w.handedOver[handoverKey{target: types.TargetID{Service: c.target.Service}, row: row.slotRow}]
	switch {
	case ok && row.previousEpoch != 0 && handedOver.epoch == row.previousEpoch:
		return handedOver.sinceMs
	case ok && handedOver.leaseEpoch != 0 && handedOver.leaseEpoch == c.previousEpoch && handedOver.epoch == row.epoch:
		return handedOver.sinceMs
	case row.hot && row.previousEpoch == 0 && row.slotEpoch != 0:
		// The hot-key row was just created: until now the key was part of its slot.
		since, covered := w.core.SlotCoveredSince(c.target, dispatch.SlotRow{Slot: row.slot, Epoch: row.slotEpoch})
		if covered {
			return since
		}
	}
	if since, covered := w.ownCoverage(c, row); covered {
		return since
	}
	return wallClockMs()
}

// ownCoverage returns the coverage of a row that this dispatcher keeps across a new lease epoch of the target.
func (w *worker) ownCoverage(c *serveChange, row ownedRow) (int64, bool) {
	if !w.servedLast(c) {
		return 0, false
	}
	return w.core.SlotCoveredSince(c.target, dispatch.SlotRow{Slot: row.slot, Hot: row.hot, Key: row.key, Epoch: row.epoch})
}

// checkDrains starts the handovers of each drain that no longer waits for a request in flight, and reports the drains
// whose handovers have finished.
func (w *worker) checkDrains() {
	for target, d := range w.pendingDrains {
		if w.inFlightOutside(d) {
			continue
		}
		w.startHandovers(d)
		if len(d.handovers) > 0 {
			continue
		}
		if w.drained(ownership.Drained{Target: target, Number: d.number}) {
			delete(w.pendingDrains, target)
		}
	}
}

func (w *worker) inFlightOutside(d *pendingDrain) bool {
	for _, p := range w.payloads.byHandle {
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
