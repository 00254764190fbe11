package process

import (
	"context"
	stdlog "log"
	"os"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
)

// Base is what every process has: its log, metrics and group of duties.
type Base struct {
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
	Group   *duty.Group
}

// NewBase returns the base of a process with the given role. Lines of the standard logger, which net/http and net/rpc
// write, go to the same log.
func NewBase(s Settings, role string) *Base {
	l := telemetry.NewLog(os.Stdout, log.Fields{"vm": s.VM, "role": role, "dataCentre": s.DataCentre})
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{log: l})
	b := &Base{Log: l, Metrics: telemetry.NewMetrics(), Group: duty.NewGroup()}
	b.Group.Add(l.Duty())
	b.Metrics.Gauge("sail_log_dropped_total", func() float64 { return float64(l.Dropped()) })
	b.Metrics.Gauge("sail_log_depth", func() float64 { return float64(l.Depth()) })
	return b
}

// Run starts the duties, waits for the end of ctx or the failure of a duty, and stops the duties in reverse order.
func (b *Base) Run(ctx context.Context) error {
	if err := b.Group.Start(ctx); err != nil {
		return err
	}
	b.Log.Info("started", log.Fields{"duties": b.Group.Names()})
	var failure error
	select {
	case <-ctx.Done():
		b.Log.Info("stopping", nil)
	case f := <-b.Group.Failed():
		failure = f.Err
		b.Log.Warn("duty failed, stopping", log.Fields{"duty": f.Duty, "error": f.Err.Error()})
	}
	if err := b.Group.Stop(context.WithoutCancel(ctx)); err != nil && failure == nil {
		failure = err
	}
	return failure
}

// lineWriter passes lines of the standard logger on.
type lineWriter struct {
	log *telemetry.Log
}

func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Info("library message", log.Fields{"text": string(p)})
	return len(p), nil
}
