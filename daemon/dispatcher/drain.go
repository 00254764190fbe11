package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// drainGrace is how long a keyed target that was taken out of service still receives requests for the keys that it owns
// while they move to other targets. Requests for keys that have not moved by then wait for the next owner.
const drainGrace = 3 * time.Second

// applyOutOfService applies operators' decisions about targets. Targets of services without keys are drained at once,
// because any other target can take their requests.
func (w *worker) applyOutOfService(ctx context.Context, outOfService map[types.TargetID]bool) {
	now := telemetry.Now()
	for id, out := range outOfService {
		_, waiting := w.drainStarts[id]
		switch {
		case !out:
			delete(w.drainStarts, id)
			w.setDrain(ctx, id, false)
		case waiting:
		case w.keyed[id.Service]:
			w.drainStarts[id] = now.Add(drainGrace)
		default:
			w.setDrain(ctx, id, true)
		}
	}
}

// startDueDrains drains the targets whose drainGrace has passed.
func (w *worker) startDueDrains(ctx context.Context) {
	now := telemetry.Now()
	for id, at := range w.drainStarts {
		if now.Before(at) {
			continue
		}
		delete(w.drainStarts, id)
		w.setDrain(ctx, id, true)
	}
}

func (w *worker) setDrain(ctx context.Context, id types.TargetID, on bool) {
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageDrain, Drain: dispatch.Drain{Target: id, Off: !on}})
}
