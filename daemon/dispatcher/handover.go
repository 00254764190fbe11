package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// handoverTimeout bounds each call. A handover that fails costs answers, not the rule that a request runs at most
	// once: the next dispatcher then answers unknown for older identifiers.
	handoverTimeout = 500 * time.Millisecond
	// handoverBatch is the number of entries in one call, so that other calls on the link pass in between.
	handoverBatch = 2048
)

// handover passes the deduplication entries of keys or of a whole target to the dispatcher that takes them over.
type handover struct {
	to      types.VM
	target  types.TargetID
	message peer.HandoverRequest
	rows    map[slotRow]bool
	// started is true once calls were made, pending is the number of calls without an answer.
	started bool
	pending int
	failed  bool
}

// handoverKey names a row, or a target's lease when row is zero and the target is named.
type handoverKey struct {
	target types.TargetID
	row    slotRow
}

// givenTenure says since when the table covers what was handed over.
type givenTenure struct {
	// epoch is that of the row, or of the lease, under which the former dispatcher served.
	epoch types.Epoch
	// lease is the former lease epoch when the whole target was handed over, else 0.
	lease   types.Epoch
	sinceMs int64
}

// prepareHandovers groups what is released by the dispatcher that takes it over.
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
		next := row.next
		if c.stopped {
			next = c.next
		}
		if next != "" {
			w.addRow(to(next), c, row)
		}
	}
	if c.stopped && c.next != "" {
		h := to(c.next)
		h.message.LeaseEpoch = c.epoch
		h.message.SinceMs, _ = w.core.TargetCoveredSince(c.target)
		h.message.State = w.stateOf(c.target)
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

// startHandovers sends the entries first and the rows last, because only the rows make the next dispatcher rely on the
// entries.
func (w *worker) startHandovers(d *drainWatch) {
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

func (w *worker) sendEntries(h *handover) {
	if h.to == w.vm {
		w.takeHandover(&h.message)
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

func (w *worker) sendRows(h *handover) {
	message := h.message
	h.message.Rows, h.message.LeaseEpoch = nil, 0
	if len(message.Rows) > 0 || message.LeaseEpoch != 0 {
		w.callHandover(h, &message)
	}
}

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
		var kept *answer
		if p := w.payloads[r.Handle]; p != nil {
			kept = p.answer
		}
		out = append(out, *memoryEntry(r.Entry, kept))
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
			answered := &handoverAnswer{handover: h, stored: c.Err == nil && reply.Stored}
			_ = w.controls.Put(context.Background(), workerControl{handover: answered})
		},
	})
	if err != nil {
		h.failed = true
		return
	}
	h.pending++
}

// handoverAnswer reports one call.
type handoverAnswer struct {
	handover *handover
	stored   bool
}

func (w *worker) handoverAnswered(a *handoverAnswer) {
	h := a.handover
	h.pending--
	h.failed = h.failed || !a.stored
	if h.pending == 0 && !h.failed {
		w.sendRows(h)
	}
	w.checkDrains()
}

// takeHandover keeps what another dispatcher, or another target of this one, hands over.
func (w *worker) takeHandover(m *peer.HandoverRequest) {
	for _, row := range m.Rows {
		key := handoverKey{
			target: types.TargetID{Service: m.Target.Service},
			row:    slotRow{slot: row.Slot, key: row.Key, hot: row.Hot},
		}
		w.given[key] = givenTenure{epoch: row.Epoch, lease: m.LeaseEpoch, sinceMs: row.SinceMs}
	}
	if m.LeaseEpoch != 0 {
		w.learnState(m.State)
		w.given[handoverKey{target: m.Target}] = givenTenure{epoch: m.LeaseEpoch, sinceMs: m.SinceMs}
	}
}
