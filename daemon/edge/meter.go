package edge

import (
	"github.com/VictoriaMetrics/metrics"

	"sequoiasail.example/admission/hedge"
	"sequoiasail.example/telemetry"
)

// requestMetrics holds the metrics of callers' requests.
type requestMetrics struct {
	requests *metrics.Counter
	// answers counts the requests that have ended, by outcome.
	answers  map[outcome]*metrics.Counter
	duration *metrics.Histogram
	set      *telemetry.Metrics
}

func newRequestMetrics(m *telemetry.Metrics) *requestMetrics {
	r := &requestMetrics{
		requests: m.Counter("sail_requests_total"),
		answers:  make(map[outcome]*metrics.Counter),
		duration: m.Histogram("sail_request_duration_seconds"),
		set:      m,
	}
	for _, o := range outcomes {
		r.answers[o] = m.Counter(`sail_answers_total{outcome="` + string(o) + `"}`)
	}
	m.Gauge("sail_requests_unanswered", r.unanswered)
	return r
}

// secondSendMetrics holds the metrics of second sends.
type secondSendMetrics struct {
	// sent counts second sends, won those whose answer was used.
	sent, won *metrics.Counter
	// refused counts the requests that were not sent a second time, by the first reason.
	refused map[hedge.Refusal]*metrics.Counter
}

func newSecondSendMetrics(m *telemetry.Metrics) *secondSendMetrics {
	s := &secondSendMetrics{
		sent: m.Counter("sail_second_sends_total"), won: m.Counter("sail_second_sends_won_total"),
		refused: make(map[hedge.Refusal]*metrics.Counter),
	}
	for _, r := range hedge.Refusals {
		s.refused[r] = m.Counter(`sail_second_sends_refused_total{reason="` + string(r) + `"}`)
	}
	return s
}

// rejected counts a request that was rejected with the given code.
func (r *requestMetrics) rejected(code string) {
	r.set.Counter(`sail_requests_rejected_total{code="` + code + `"}`).Inc()
}

// unanswered returns the number of requests that have been received and have not ended.
func (r *requestMetrics) unanswered() float64 {
	// The requests are read last: a request that ends in between must not make the difference negative.
	ended := uint64(0)
	for _, c := range r.answers {
		ended += c.Get()
	}
	return float64(r.requests.Get() - ended)
}
