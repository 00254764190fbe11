package dispatcher

import (
	"fmt"

	"sequoiasail.example/telemetry"
)

// publish shows the queues on the status page.
func (w *worker) publish() {
	now := telemetry.Now()
	if now.Sub(w.published) < publishInterval {
		return
	}
	w.published = now
	w.statuses = w.core.Targets(now, w.statuses[:0])
	queues := make([]telemetry.QueueStatus, len(w.statuses))
	for i, s := range w.statuses {
		queues[i] = telemetry.QueueStatus{
			Service:   string(s.ID.Service),
			Target:    string(s.ID.Target),
			Waiting:   s.Waiting,
			InFlight:  s.InFlight,
			Limit:     s.Limit,
			Admitted:  w.admitted[s.ID],
			Condition: s.Condition.String(),
		}
	}
	w.page.Publish(telemetry.Status{Queues: queues})
	w.publishLoad()
}

// publishLoad sets the counters from which operators see how evenly the load is spread.
func (w *worker) publishLoad() {
	for id, n := range w.admitted {
		w.metrics.Counter(fmt.Sprintf("sail_dispatch_sent_total{service=%q,target=%q}", id.Service, id.Target)).Set(n)
	}
}
