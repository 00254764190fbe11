package dispatcher

import (
	"fmt"

	"sequoiasail.example/telemetry"
)

// publish puts the state of each target's queue on the status page once per publishInterval.
func (w *worker) publish() {
	now := telemetry.Now()
	if now.Sub(w.lastPublished) < publishInterval {
		return
	}
	w.lastPublished = now
	w.statusBuffer = w.core.Targets(now, w.statusBuffer[:0])
	queues := make([]telemetry.QueueStatus, len(w.statusBuffer))
	for i, s := range w.statusBuffer {
		queues[i] = telemetry.QueueStatus{
			Service:   string(s.ID.Service),
			Target:    string(s.ID.Target),
			Waiting:   s.Waiting,
			InFlight:  s.InFlight,
			Limit:     s.Limit,
			Admitted:  w.sendCounts[s.ID],
			Condition: s.Condition.String(),
		}
	}
	w.statusPage.Publish(telemetry.Status{Queues: queues})
	w.publishLoad()
}

// publishLoad sets the counters of sends per target, which show how evenly the load is spread.
func (w *worker) publishLoad() {
	for id, n := range w.sendCounts {
		w.metrics.Counter(fmt.Sprintf("sail_dispatch_sent_total{service=%q,target=%q}", id.Service, id.Target)).Set(n)
	}
}
