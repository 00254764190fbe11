package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// handoverTimeout bounds each call. After a failed handover a request still runs at most once: the next dispatcher
	// answers unknown for identifiers from before the takeover.
	handoverTimeout = 500 * time.Millisecond
	// handoverBatch is the number of entries in one call, so that other calls on the link can be sent in between.
	handoverBatch = 2048
)

// handover is the transfer of deduplication entries of slots and hot keys, or of a whole target, to the dispatcher that
// takes them over.
type handover struct {
	to     types.VM
	target types.TargetID
	// message is the final call: the rows and the lease whose entries were sent.
	message peer.HandoverRequest
	rows    map[slotRow]bool
	// started is true once calls were made; pending is the number of calls in flight.
	started bool
	pending int
	// failed is true if a call could not be made or was not confirmed. The rows are then not sent.
	failed bool
}

// handoverKey identifies what was handed over: a row of a service (target holds the service only), or the lease of a
// target (row is zero).
type handoverKey struct {
	target types.TargetID
	row    slotRow
}

// handedCoverage says since when the handed-over deduplication entries of a row or lease are complete.
type handedCoverage struct {
	// epoch is the epoch of the row, or of the lease, under which the previous dispatcher served.
	epoch types.Epoch
	// leaseEpoch is the previous lease epoch if the row came with the whole target, else 0.
	leaseEpoch types.Epoch
	sinceMs    int64
}

// prepareHandovers groups the released rows and lease by the dispatcher that takes them over.
func (w *worker) prepareHandovers(c *serveChange) []*handover {
	byVM := make(map[types.VM]*handover)
	to := func(vm types.VM) *handover {
		if byVM[vm] == nil {
			byVM[vm] = &handover{to: vm, target: c.target, rows: make(map[slotRow]bool)}
			byVM[vm].message = peer.HandoverRequest{From: w.vm, Target: c.target}
		}
		return byVM[vm]
	}
	for _, row := range c.released {
		nextHolder := row.nextHolder
		if c.stopped {
			nextHolder = c.nextHolder
		}
		if nextHolder != "" {
			w.addRow(to(nextHolder), c, row)
		}
	}
	if c.stopped && c.nextHolder != "" {
		h := to(c.nextHolder)
		h.message.LeaseEpoch = c.epoch
		h.message.SinceMs, _ = w.core.TargetCoveredSince(c.target)
		h.message.State = w.targetState(c.target)
	}
	out := make([]*handover, 0, len(byVM))
	for _, h := range byVM {
		out = append(out, h)
	}
	return out
}

func (w *worker) addRow(h *handover, c *serveChange, row ownedRow) {
	since, ok := w.core.SlotCoveredSince(c.target, dispatch.SlotRow{Slot: row.slot, Hot: row.hot, Key: row.key, Epoch: row.epoch})
	if !ok {
		return
	}
	h.rows[row.slotRow] = true
	h.message.Rows = append(h.message.Rows, peer.HandoverRow{
		Slot: row.slot, Hot: row.hot, Key: row.key, Epoch: row.epoch, SinceMs: since,
	})
}

// startHandovers starts the handovers of a drain and drops those that have finished.
func (w *worker) startHandovers(d *pendingDrain) {
	remaining := d.handovers[:0]
	for _, h := range d.handovers {
		if !h.started {
			h.started = true
			w.sendEntries(h)
		}
		if h.pending == 0 {
			continue
		}
		remaining = append(remaining, h)
	}
	d.handovers = remaining
}

// sendEntries sends the entries of a handover. The rows follow once all entries are stored, because the next dispatcher
// relies on the entries as soon as it has the rows.
func (w *worker) sendEntries(h *handover) {
	if h.to == w.vm {
		w.acceptHandover(&h.message)
		return
	}
	entries := w.handoverEntries(h)
	for len(entries) > 0 {
		n := min(len(entries), handoverBatch)
		w.callHandover(h, &peer.HandoverRequest{From: w.vm, Target: h.target, Entries: entries[:n]})
		entries = entries[n:]
	}
	if h.pending == 0 && !h.failed {
		w.sendRows(h)
	}
}

// sendRows sends the final call of a handover, once.
func (w *worker) sendRows(h *handover) {
	message := h.message
	h.message.Rows, h.message.LeaseEpoch = nil, 0
	if len(message.Rows) > 0 || message.LeaseEpoch != 0 {
		w.callHandover(h, &message)
	}
}

// handoverEntries returns the deduplication entries of the rows, or of the target of a service without keys.
func (w *worker) handoverEntries(h *handover) []peer.MemoryEntry {
	match := func(target types.Target, key types.KeyHash) bool {
		if !w.keyed[h.target.Service] {
			return target == h.target.Target
		}
		slot := slotRow{slot: types.SlotOf(key, w.slots[h.target.Service])}
		return h.rows[slot] || h.rows[slotRow{key: key, hot: true}]
	}
	remembered := w.core.EntriesOf(h.target.Service, match, nil)
	out := make([]peer.MemoryEntry, 0, len(remembered))
	for _, r := range remembered {
		var stored *targetResponse
		if p := w.payloads.byHandle[r.Handle]; p != nil {
			stored = p.targetResponse
		}
		out = append(out, *encodeEntry(r.Entry, stored))
	}
	return out
}

func (w *worker) callHandover(h *handover, message *peer.HandoverRequest) {
	link, ok := w.links[h.to]
	if !ok {
		h.failed = true
		return
	}
	reply := &peer.MemoryAnswer{}
	err := link.TryCall(&peer.Call{
		Method:  peer.MethodHandover,
		Args:    message,
		Reply:   reply,
		Timeout: handoverTimeout,
		Done: func(c *peer.Call) {
			result := &handoverResult{handover: h, stored: c.Err == nil && reply.Stored}
			_ = w.controls.Put(context.Background(), workerControl{handover: result})
		},
	})
	if err != nil {
		h.failed = true
		return
	}
	h.pending++
}

// handoverResult is the result of one handover call.
type handoverResult struct {
	handover *handover
	stored   bool
}

func (w *worker) applyHandoverResult(r *handoverResult) {
	h := r.handover
	h.pending--
	h.failed = h.failed || !r.stored
	if h.pending == 0 && !h.failed {
		w.sendRows(h)
	}
	w.checkDrains()
}

// acceptHandover records the coverage that is handed over by another dispatcher, or by this one when a row moves between
// two targets that it serves.
func (w *worker) acceptHandover(m *peer.HandoverRequest) {
	for _, row := range m.Rows {
		key := handoverKey{
			target: types.TargetID{Service: m.Target.Service},
			row:    slotRow{slot: row.Slot, key: row.Key, hot: row.Hot},
		}
		w.handedOver[key] = handedCoverage{epoch: row.Epoch, leaseEpoch: m.LeaseEpoch, sinceMs: row.SinceMs}
	}
	if m.LeaseEpoch != 0 {
		w.applyTargetState(m.State)
		w.handedOver[handoverKey{target: m.Target}] = handedCoverage{epoch: m.LeaseEpoch, sinceMs: m.SinceMs}
	}
}
