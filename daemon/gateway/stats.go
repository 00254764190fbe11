package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// stats holds the gateway's own metrics. It is used by the router duty only, except for countRefusal, which any
// goroutine may call.
type stats struct {
	metrics   *telemetry.Metrics
	outcomes  map[outcomeKey]*metrics.Counter
	latencies map[latencyKey]*metrics.Histogram
}

type outcomeKey struct {
	service types.Service
	outcome types.Outcome
}

type latencyKey struct {
	service types.Service
	class   types.Class
}

func newStats(m *telemetry.Metrics) *stats {
	return &stats{
		metrics:   m,
		outcomes:  make(map[outcomeKey]*metrics.Counter),
		latencies: make(map[latencyKey]*metrics.Histogram),
	}
}

// countAnswer counts an answer and records the time since the request's arrival.
func (s *stats) countAnswer(service types.Service, class types.Class, outcome types.Outcome, latency time.Duration) {
	s.outcome(outcomeKey{service, outcome}).Inc()
	s.latencyHistogram(latencyKey{service, class}).Update(latency.Seconds())
}

// outcome caches counters, because a lookup by name would format a string for each request.
func (s *stats) outcome(k outcomeKey) *metrics.Counter {
	c, known := s.outcomes[k]
	if !known {
		c = s.metrics.Counter(fmt.Sprintf("sail_gateway_outcomes_total{service=%q,outcome=%q}", k.service, k.outcome))
		s.outcomes[k] = c
	}
	return c
}

func (s *stats) latencyHistogram(k latencyKey) *metrics.Histogram {
	h, known := s.latencies[k]
	if !known {
		h = s.metrics.Histogram(fmt.Sprintf("sail_gateway_request_seconds{service=%q,class=%q}", k.service, k.class))
		s.latencies[k] = h
	}
	return h
}

func (s *stats) countRefusal(code types.Code) {
	s.metrics.Counter(fmt.Sprintf("sail_gateway_refused_total{code=%q}", code)).Inc()
}
