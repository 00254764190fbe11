package gateway

import (
	"fmt"

	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// stats holds the gateway's own metrics.
type stats struct {
	metrics *telemetry.Metrics
}

func (s *stats) countOutcome(service types.Service, outcome types.Outcome) {
	s.metrics.Counter(fmt.Sprintf("sail_gateway_outcomes_total{service=%q,outcome=%q}", service, outcome)).Inc()
}

func (s *stats) countRefusal(code types.Code) {
	s.metrics.Counter(fmt.Sprintf("sail_gateway_refused_total{code=%q}", code)).Inc()
}
