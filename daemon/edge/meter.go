package edge

import (
	"github.com/VictoriaMetrics/metrics"

	"sequoiasail.example/telemetry"
)

// requestMetrics holds the metrics of callers' requests.
type requestMetrics struct {
	requests *metrics.Counter
	answered *metrics.Counter
	refused  *metrics.Counter
	failed   *metrics.Counter
	duration *metrics.Histogram
}

func newRequestMetrics(m *telemetry.Metrics) *requestMetrics {
	return &requestMetrics{
		requests: m.Counter("sail_requests_total"),
		answered: m.Counter(`sail_answers_total{outcome="answered"}`),
		refused:  m.Counter(`sail_answers_total{outcome="refused"}`),
		failed:   m.Counter(`sail_answers_total{outcome="failed"}`),
		duration: m.Histogram("sail_request_duration_seconds"),
	}
}
