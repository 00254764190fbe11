package process

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"os"

	"github.com/apex/log"

	"sequoiasail.example/daemon/capacity"
	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// ErrAbort is a cancellation cause for the context of Run. It makes the process stop as in a crash: it notifies nobody,
// and its registration and leases expire.
var ErrAbort = types.NewFault(types.CodeCancelled, "process aborted")

// Options overrides how a process opens its listeners and where it writes its log.
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

// Base holds the components that every process has.
type Base struct {
	Listen  peer.Listen
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
	// Group holds the duties of the process.
	Group *duty.Group
	// Identity holds the TLS certificate of the process. It is nil when the settings have no TLS.
	Identity *identity.Source

	// headers bounds the header sections of all HTTP servers of the process, callerConnections the connections of callers, 0 for no
	// limit.
	headers           *forward.Budget
	callerConnections int
}

// NewBase returns the base of a process with the given role. It redirects the standard logger, to which net/http and
// net/rpc write, to the log of the process.
func NewBase(s Settings, role string, o Options) *Base {
	o = o.withDefaults()
	l := telemetry.NewLog(o.LogOutput, log.Fields{"vm": s.VM, "role": role, "dataCentre": s.DataCentre})
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{log: l})
	s.limitRuntime()
	b := &Base{
		Listen: o.Listen, Log: l, Metrics: telemetry.NewMetrics(), Group: duty.NewGroup(),
		headers: forward.NewBudget(capacity.HeaderMemory(s.memory())), callerConnections: s.callerConnections(),
	}
	b.Group.Add(l.Duty())
	b.Metrics.Gauge("sail_log_dropped_total", func() float64 { return float64(l.Dropped()) })
	b.Metrics.Gauge("sail_log_depth", func() float64 { return float64(l.Depth()) })
	b.addIdentity(s)
	return b
}

// Run starts the duties, waits until ctx ends or a duty fails, and stops the duties in reverse order. When ctx ends with
// the cause ErrAbort, the duties are aborted instead. Run returns the failure of the duty, or else the error of the stop.
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

// lineWriter writes each line of the standard logger to log.
type lineWriter struct {
	log *telemetry.Log
}

func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Info("library message", log.Fields{"text": string(p)})
	return len(p), nil
}
