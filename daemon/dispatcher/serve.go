package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// drainWatch asks the dispatch duty to report when nothing outside areas is in flight at a target.
type drainWatch struct {
	target types.TargetID
	number uint64
	areas  *ownership.Areas
	// stopped is true when nothing at all may be in flight.
	stopped bool
}

// allows reports whether a request may stay in flight. A nil area belongs to a service without keys.
func (d drainWatch) allows(slot types.Slot, key types.KeyHash) bool {
	if d.stopped {
		return false
	}
	return d.areas == nil || ownsKey(d.areas, slot, key)
}

func ownsKey(a *ownership.Areas, slot types.Slot, key types.KeyHash) bool {
	for _, k := range a.Keys {
		if k.Key == key {
			return true
		}
	}
	for _, k := range a.Except {
		if k == key {
			return false
		}
	}
	for _, s := range a.Slots {
		if slot >= s.First && slot < s.First+types.Slot(s.Count) {
			return true
		}
	}
	return false
}

// serve tells the dispatch duty what it may send.
func (k *keeper) serve(ctx context.Context, s ownership.Serve) {
	before, known := k.served[s.Target]
	k.served[s.Target] = s
	wall := time.Now().UnixMilli()
	out := workerControl{messages: []dispatch.Message{{
		Kind:   dispatch.MessageServe,
		Target: s.Target,
		Lease: dispatch.Lease{
			Epoch:       s.Epoch,
			ValidUntil:  s.ValidUntil,
			WallMs:      wall,
			Incarnation: k.incarnations[s.Target],
		},
	}}}
	if !known || before.Number != s.Number {
		out.messages = append(out.messages, exceptionChanges(s.Target, before.Areas, s.Areas)...)
		out.messages = append(out.messages, slotChanges(s.Target, before.Areas, s.Areas, wall)...)
		out.drain = &drainWatch{target: s.Target, number: s.Number, areas: s.Areas}
		k.publish()
	}
	_ = k.worker.controls.Put(ctx, out)
}

func (k *keeper) stopServing(ctx context.Context, s ownership.Serve) {
	before := k.served[s.Target]
	delete(k.served, s.Target)
	messages := exceptionChanges(s.Target, before.Areas, nil)
	messages = append(messages, slotChanges(s.Target, before.Areas, nil, time.Now().UnixMilli())...)
	messages = append(messages, dispatch.Message{Kind: dispatch.MessageStopServing, Target: s.Target})
	_ = k.worker.controls.Put(ctx, workerControl{
		messages: messages,
		drain:    &drainWatch{target: s.Target, number: s.Number, stopped: true},
	})
	k.publish()
}

// slotRow identifies a slot or hot key without its epoch.
type slotRow struct {
	slot types.Slot
	key  types.KeyHash
	hot  bool
}

// slotChanges returns what the dispatch core must learn when a target's areas change.
func slotChanges(target types.TargetID, before, after *ownership.Areas, wallMs int64) []dispatch.Message {
	old, current := rowsOf(before), rowsOf(after)
	var out []dispatch.Message
	for row, epoch := range old {
		if _, kept := current[row]; !kept {
			out = append(out, slotMessage(dispatch.MessageSlotReleased, target, row, epoch, wallMs))
		}
	}
	for row, epoch := range current {
		if previous, kept := old[row]; !kept || previous != epoch {
			out = append(out, slotMessage(dispatch.MessageSlotOwned, target, row, epoch, wallMs))
		}
	}
	return out
}

func rowsOf(a *ownership.Areas) map[slotRow]types.Epoch {
	rows := make(map[slotRow]types.Epoch)
	if a == nil {
		return rows
	}
	for _, s := range a.Slots {
		for i := range s.Count {
			rows[slotRow{slot: s.First + types.Slot(i)}] = s.Epoch
		}
	}
	for _, k := range a.Keys {
		rows[slotRow{key: k.Key, hot: true}] = k.Epoch
	}
	return rows
}

func slotMessage(
	kind dispatch.MessageKind, target types.TargetID, row slotRow, epoch types.Epoch, wallMs int64,
) dispatch.Message {
	return dispatch.Message{Kind: kind, Target: target, Slot: dispatch.SlotRow{
		Slot:          row.slot,
		Hot:           row.hot,
		Key:           row.key,
		Epoch:         epoch,
		MemorySinceMs: wallMs,
	}}
}

// exceptionChanges makes the core refuse keys that lie in the target's slots but belong to another target. A hot key
// that is known but not owned goes before its slot.
func exceptionChanges(target types.TargetID, before, after *ownership.Areas) []dispatch.Message {
	old, current := exceptionsOf(before), exceptionsOf(after)
	var out []dispatch.Message
	for key := range current {
		if old[key] {
			continue
		}
		row := slotRow{key: key, hot: true}
		out = append(out, slotMessage(dispatch.MessageSlotOwned, target, row, 0, 0))
		out = append(out, slotMessage(dispatch.MessageSlotReleased, target, row, 0, 0))
	}
	for key := range old {
		if current[key] {
			continue
		}
		message := slotMessage(dispatch.MessageSlotReleased, target, slotRow{key: key, hot: true}, 0, 0)
		message.Slot.Removed = true
		out = append(out, message)
	}
	return out
}

func exceptionsOf(a *ownership.Areas) map[types.KeyHash]bool {
	out := make(map[types.KeyHash]bool)
	if a == nil {
		return out
	}
	for _, key := range a.Except {
		out[key] = true
	}
	return out
}

// checkDrains reports targets at which nothing outside their areas is in flight any more.
func (w *worker) checkDrains() {
	for target, d := range w.drains {
		if w.busyOutside(d) {
			continue
		}
		if w.drained(ownership.Drained{Target: target, Number: d.number}) {
			delete(w.drains, target)
		}
	}
}

func (w *worker) busyOutside(d drainWatch) bool {
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
