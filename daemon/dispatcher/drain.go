package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// drainGrace is how long a keyed target that was taken out goes on serving the keys it still owns while they move
// away. Keys that could not be moved by then wait for their next owner.
const drainGrace = 3 * time.Second

// applyTaken follows operators' decisions about targets. Targets of services without keys stop at once, because any
// other target can take their work.
func (w *worker) applyTaken(ctx context.Context, taken map[types.TargetID]bool) {
	now := telemetry.Now()
	for id, out := range taken {
		_, waiting := w.drainAt[id]
		switch {
		case !out:
			delete(w.drainAt, id)
			w.setDrain(ctx, id, false)
		case waiting:
		case w.keyed[id.Service]:
			w.drainAt[id] = now.Add(drainGrace)
		default:
			w.setDrain(ctx, id, true)
		}
	}
}

// startDrains ends the grace of targets that were taken out.
func (w *worker) startDrains(ctx context.Context) {
	now := telemetry.Now()
	for id, at := range w.drainAt {
		if now.Before(at) {
			continue
		}
		delete(w.drainAt, id)
		w.setDrain(ctx, id, true)
	}
}

func (w *worker) setDrain(ctx context.Context, id types.TargetID, on bool) {
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageDrain, Drain: dispatch.Drain{Target: id, Off: !on}})
}
