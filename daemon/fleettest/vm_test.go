package fleettest

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"

	"sequoiasail.example/daemon/dispatcher"
	"sequoiasail.example/daemon/gateway"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/settings"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// logDirectoryVariable names a directory that gets the log of every process. Without it the logs are dropped.
const logDirectoryVariable = "FLEETTEST_LOGS"

// vm is one VM with its two processes.
type vm struct {
	name                types.VM
	centre              types.DataCentre
	peer                string
	callers             string
	gateway, dispatcher *daemon
}

// runner is what the gateway and the dispatcher have in common.
type runner interface {
	Run(ctx context.Context) error
}

// daemon is one process of a VM. It can be started again after it ended, on the same addresses.
type daemon struct {
	f         *fleet
	name      string
	ops       string
	listeners map[string]net.Listener
	assemble  func(process.Options) (runner, error)
	cancel    context.CancelCauseFunc
	ended     chan struct{}
	// err is valid once ended is closed.
	err error
}

func (f *fleet) newVM(name types.VM, centre types.DataCentre) *vm {
	v := &vm{name: name, centre: centre}
	v.gateway = &daemon{f: f, name: string(name) + "-gateway", listeners: map[string]net.Listener{}}
	v.dispatcher = &daemon{f: f, name: string(name) + "-dispatcher", listeners: map[string]net.Listener{}}
	v.callers = v.gateway.reserve()
	v.gateway.ops = v.gateway.reserve()
	v.peer = v.dispatcher.reserve()
	v.dispatcher.ops = v.dispatcher.reserve()
	v.gateway.assemble = func(o process.Options) (runner, error) {
		s := &gateway.Settings{Settings: f.common(v, v.gateway), CallerAddress: settings.Address(v.callers)}
		s.SetDefaults()
		return gateway.New(s, o), s.Validate()
	}
	v.dispatcher.assemble = func(o process.Options) (runner, error) {
		s := &dispatcher.Settings{Settings: f.common(v, v.dispatcher), PeerAddress: settings.Address(v.peer)}
		s.SetDefaults()
		if err := s.Validate(); err != nil {
			return nil, err
		}
		return dispatcher.New(s, o)
	}
	return v
}

// common names the first dispatcher of each data centre as peers, as an installation would.
func (f *fleet) common(v *vm, d *daemon) process.Settings {
	s := process.Settings{VM: v.name, DataCentre: v.centre, StoreAddress: settings.Address(f.storeAddress)}
	s.OpsAddress = settings.Address(d.ops)
	for _, centre := range []types.DataCentre{centreA, centreB} {
		s.Peers = append(s.Peers, settings.Address(f.in(centre)[0].peer))
	}
	return s
}

// reserve opens a listener that the daemon gets when it starts.
func (d *daemon) reserve() string {
	l := listen(d.f.t)
	address := l.Addr().String()
	d.listeners[address] = l
	return address
}

// listen hands out the reserved listener, or opens the address again after a restart.
func (d *daemon) listen(ctx context.Context, address string) (net.Listener, error) {
	if l, reserved := d.listeners[address]; reserved {
		delete(d.listeners, address)
		return l, nil
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

func (d *daemon) start() {
	d.f.t.Helper()
	output, closeLog := d.log()
	run, err := d.assemble(process.Options{Listen: d.listen, LogOutput: output})
	d.f.NoErr(err)
	ctx, cancel := context.WithCancelCause(context.Background())
	d.cancel, d.ended = cancel, make(chan struct{})
	go func() {
		defer close(d.ended)
		d.err = run.Run(ctx)
		closeLog()
	}()
}

func (d *daemon) log() (io.Writer, func()) {
	directory := os.Getenv(logDirectoryVariable)
	if directory == "" {
		return io.Discard, func() {}
	}
	name := strings.ReplaceAll(d.f.t.Name(), "/", "-") + "-" + d.name + ".log"
	file, err := os.OpenFile(filepath.Join(directory, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.f.NoErr(err)
	return file, func() { _ = file.Close() }
}

func (d *daemon) running() bool { return d.cancel != nil }

// stop is a planned stop, as on SIGTERM.
func (d *daemon) stop() error { return d.end(nil) }

// abort ends the process without notice to anyone.
func (d *daemon) abort() {
	if d.running() {
		_ = d.end(process.ErrAbort)
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	clear(d.listeners)
}

func (d *daemon) end(cause error) error {
	d.cancel(cause)
	<-d.ended
	d.cancel = nil
	return d.err
}

// status asks the process for its status page. ok is false when it does not answer.
func (d *daemon) status() (s telemetry.Status, ok bool) {
	return s, d.running() && d.f.caller.readJSON(d.f.ctx, "http://"+d.ops+"/status", &s) == nil
}
