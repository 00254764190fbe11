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

// logDirectoryVariable is an environment variable that names a directory for the logs of all processes. If it is not set,
// the logs are discarded.
const logDirectoryVariable = "FLEETTEST_LOGS"

// vm is a simulated VM with its two processes.
type vm struct {
	name   types.VM
	centre types.DataCentre
	// peerAddress is the address of the dispatcher's net/rpc server.
	peerAddress string
	// callerAddress is the address of the gateway's listener for callers.
	callerAddress       string
	gateway, dispatcher *daemon
}

// runner is a gateway or a dispatcher.
type runner interface {
	Run(ctx context.Context) error
}

// daemon is a process of a VM, run on goroutines of the test process. After it ended, it can be started again on the same
// addresses.
type daemon struct {
	f          *fleet
	name       string
	opsAddress string
	// listeners holds the listeners that the daemon has not used yet, by address.
	listeners map[string]net.Listener
	// newRunner creates the gateway or dispatcher for a start.
	newRunner func(process.Options) (runner, error)
	// cancel cancels the context of Run. It is nil while the daemon does not run.
	cancel context.CancelCauseFunc
	// ended is closed when Run has returned and the log is closed.
	ended chan struct{}
	// err is the result of Run, valid once ended is closed.
	err error
}

// newVM creates a VM and opens the listeners of its processes. It starts no process.
func (f *fleet) newVM(name types.VM, centre types.DataCentre) *vm {
	v := &vm{name: name, centre: centre}
	v.gateway = &daemon{f: f, name: string(name) + "-gateway", listeners: map[string]net.Listener{}}
	v.dispatcher = &daemon{f: f, name: string(name) + "-dispatcher", listeners: map[string]net.Listener{}}
	v.callerAddress = v.gateway.reserve()
	v.gateway.opsAddress = v.gateway.reserve()
	v.peerAddress = v.dispatcher.reserve()
	v.dispatcher.opsAddress = v.dispatcher.reserve()
	v.gateway.newRunner = func(o process.Options) (runner, error) {
		s := &gateway.Settings{Settings: f.commonSettings(v, v.gateway), CallerAddress: settings.Address(v.callerAddress)}
		s.SetDefaults()
		return gateway.New(s, o), s.Validate()
	}
	v.dispatcher.newRunner = func(o process.Options) (runner, error) {
		s := &dispatcher.Settings{Settings: f.commonSettings(v, v.dispatcher), PeerAddress: settings.Address(v.peerAddress)}
		s.SetDefaults()
		if err := s.Validate(); err != nil {
			return nil, err
		}
		return dispatcher.New(s, o)
	}
	return v
}

// commonSettings returns the settings that both processes have. The peers are the first dispatcher of each data centre, as
// in a typical installation.
func (f *fleet) commonSettings(v *vm, d *daemon) process.Settings {
	s := process.Settings{VM: v.name, DataCentre: v.centre, StoreAddress: settings.Address(f.storeAddress)}
	s.OpsAddress = settings.Address(d.opsAddress)
	for _, centre := range []types.DataCentre{centreA, centreB} {
		s.Peers = append(s.Peers, settings.Address(f.vmsIn(centre)[0].peerAddress))
	}
	return s
}

// reserve opens a listener for the first start of the daemon and returns its address.
func (d *daemon) reserve() string {
	l := listen(d.f.t)
	address := l.Addr().String()
	d.listeners[address] = l
	return address
}

// listen returns the reserved listener of address on the first start, and opens a new one on a restart.
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
	run, err := d.newRunner(process.Options{Listen: d.listen, LogOutput: output})
	d.f.NoErr(err)
	ctx, cancel := context.WithCancelCause(context.Background())
	d.cancel, d.ended = cancel, make(chan struct{})
	go func() {
		defer close(d.ended)
		d.err = run.Run(ctx)
		closeLog()
	}()
}

// log returns the writer of the daemon's log and a function that closes it.
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

// stop performs a planned stop, as on SIGTERM, and returns the result of Run.
func (d *daemon) stop() error { return d.end(nil) }

// abort stops the process as a crash would, and closes the listeners that it did not use.
func (d *daemon) abort() {
	if d.running() {
		_ = d.end(process.ErrAbort)
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	clear(d.listeners)
}

// end cancels the process with a cause, waits for it and returns the result of Run.
func (d *daemon) end(cause error) error {
	d.cancel(cause)
	<-d.ended
	d.cancel = nil
	return d.err
}

// status reads the status page of the process. ok is false when the process does not run or does not answer.
func (d *daemon) status() (s telemetry.Status, ok bool) {
	return s, d.running() && d.f.caller.getJSON(d.f.ctx, "http://"+d.opsAddress+"/status", &s) == nil
}
