package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// RingStats provides the figures of a ring that Metrics.Ring publishes.
type RingStats interface {
	Depth() int
	Cap() int
	Refused() uint64
	Replaced() uint64
}

// Metrics is the metrics set of one process.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Counter returns the counter with the given name, which may carry labels.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Histogram returns the histogram with the given name. Values are seconds.
func (m *Metrics) Histogram(name string) *metrics.Histogram { return m.set.GetOrCreateHistogram(name) }

// Gauge publishes the value returned by read, which must be safe to call from any goroutine. It replaces a gauge of the
// same name, so that a restarted link does not show its former ring.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.UnregisterMetric(name)
	m.set.GetOrCreateGauge(name, read)
}

// Ring publishes the depth, capacity, refusals and replacements of a ring.
func (m *Metrics) Ring(name string, r RingStats) {
	label := fmt.Sprintf("{ring=%q}", name)
	m.Gauge("sail_ring_depth"+label, func() float64 { return float64(r.Depth()) })
	m.Gauge("sail_ring_capacity"+label, func() float64 { return float64(r.Cap()) })
	m.Gauge("sail_ring_refused_total"+label, func() float64 { return float64(r.Refused()) })
	m.Gauge("sail_ring_replaced_total"+label, func() float64 { return float64(r.Replaced()) })
}

// Status publishes the versions and states of a process status as gauges.
func (m *Metrics) Status(read func() Status) {
	m.Gauge("sail_config_version", func() float64 { return float64(read().ConfigVersion) })
	m.Gauge("sail_ops_revision", func() float64 { return float64(read().OpsRevision) })
	m.Gauge("sail_store_revision", func() float64 { return float64(read().StoreRevision) })
	m.Gauge("sail_ready", func() float64 { return boolToFloat(read().Ready && !read().Draining) })
	m.Gauge("sail_planner", func() float64 { return boolToFloat(read().Planner) })
	m.Gauge("sail_leases_held", func() float64 { return float64(len(read().Leases)) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
