package httpserver

import (
	"github.com/apex/log"

	"sequoiasail.example/telemetry"
)

// Publish adds the metrics of the server, whose callers are those of the process.
func (s *Server) Publish(m *telemetry.Metrics) {
	count := func(name string, read func() uint64) { m.Gauge(name, func() float64 { return float64(read()) }) }
	count("sail_headers_refused_total", s.headersRefused.Load)
	count("sail_headers_without_memory_total", s.headersWithoutMemory.Load)
	count("sail_connections_evicted_total", s.evictions.Load)
	count("sail_connections_unanswered_total", s.unanswered.Load)
	count("sail_slow_readers_reset_total", s.slowReaders.Load)
	m.Gauge("sail_caller_connections", func() float64 { return float64(s.Connections()) })
	if s.Headers != nil {
		m.Gauge("sail_header_memory_left_bytes", func() float64 { return float64(s.Headers.Left()) })
	}
}

// LogShortage makes the server log when its connections, which are those of callers, run short and when they no longer do.
func (s *Server) LogShortage(l *telemetry.Log) {
	s.ShortChanged = func(short bool) {
		fields := log.Fields{"connections": s.Connections(), "limit": s.MaxConnections}
		if short {
			l.Warn("connections of callers run short, idle ones are closed", fields)
			return
		}
		l.Info("connections of callers no longer run short", fields)
	}
}
