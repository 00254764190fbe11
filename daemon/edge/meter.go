package edge

import (
	"github.com/VictoriaMetrics/metrics"

	"sequoiasail.example/telemetry"
)

// meter holds the counters that requests touch.
type meter struct {
	requests *metrics.Counter
	answered *metrics.Counter
	refused  *metrics.Counter
	failed   *metrics.Counter
	duration *metrics.Histogram
}

func newMeter(m *telemetry.Metrics) *meter {
	return &meter{
		requests: m.Counter("sail_requests_total"),
		answered: m.Counter(`sail_answers_total{outcome="answered"}`),
		refused:  m.Counter(`sail_answers_total{outcome="refused"}`),
		failed:   m.Counter(`sail_answers_total{outcome="failed"}`),
		duration: m.Histogram("sail_request_duration_seconds"),
	}
}
