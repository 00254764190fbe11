package process

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"os"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// ErrAbort is the cause to end the context of Run with when nothing may be said to anyone any more: the registration
// and the leases lapse by themselves, as after a crash.
var ErrAbort = types.NewFault(types.CodeCancelled, "process aborted")

// Options replaces what a process takes from its host.
type Options struct {
	// Listen opens the listeners. Default peer.ListenTCP.
	Listen peer.Listen
	// LogOutput receives the log lines. Default os.Stdout.
	LogOutput io.Writer
}

func (o Options) withDefaults() Options {
	if o.Listen == nil {
		o.Listen = peer.ListenTCP
	}
	if o.LogOutput == nil {
		o.LogOutput = os.Stdout
	}
	return o
}

// Base is what every process has: its log, metrics, group of duties, identity and way to listen.
type Base struct {
	Listen  peer.Listen
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
	Group   *duty.Group
	// Identity is nil when the settings have no TLS.
	Identity *identity.Source
}

// NewBase returns the base of a process with the given role. Lines of the standard logger, which net/http and net/rpc
// write, go to the same log.
func NewBase(s Settings, role string, o Options) *Base {
	o = o.withDefaults()
	l := telemetry.NewLog(o.LogOutput, log.Fields{"vm": s.VM, "role": role, "dataCentre": s.DataCentre})
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{log: l})
	b := &Base{Listen: o.Listen, Log: l, Metrics: telemetry.NewMetrics(), Group: duty.NewGroup()}
	b.Group.Add(l.Duty())
	b.Metrics.Gauge("sail_log_dropped_total", func() float64 { return float64(l.Dropped()) })
	b.Metrics.Gauge("sail_log_depth", func() float64 { return float64(l.Depth()) })
	b.addIdentity(s)
	return b
}

// Run starts the duties, waits for the end of ctx or the failure of a duty, and stops the duties in reverse order. When
// the cause of the end is ErrAbort, the duties end at once.
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
	stop := b.Group.Stop
	if errors.Is(context.Cause(ctx), ErrAbort) {
		stop = b.Group.Abort
	}
	if err := stop(context.WithoutCancel(ctx)); err != nil && failure == nil {
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
