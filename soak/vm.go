package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/types"
)

// commandCapacity bounds the commands that wait for a VM's duty.
const commandCapacity = 64

// Commands to the duty of a VM.
type (
	pauseVM  struct{}
	resumeVM struct{}
	// killVM kills the process and starts it anew after a time.
	killVM struct{ restart time.Duration }
	// stopVM asks the process to stop, kills it after the stop time and starts it anew.
	stopVM struct{ restart time.Duration }
	// reloadVM writes the settings file again and tells the process.
	reloadVM struct{}
)

// exited reports the end of a process.
type exited struct {
	process *os.Process
	state   *os.ProcessState
}

// vm owns the process of one VM.
type vm struct {
	index    int
	settings standin.VM
	binary   string
	dir      string
	in       *ring.Ring[any]
	exits    *ring.Ring[exited]
	events   *ring.Ring[any]

	group   *duty.Group
	process *os.Process
	starts  int
	// planned is when the process was asked to stop, killed is true once it was killed on purpose or paused meanwhile.
	planned time.Time
	killed  bool
	paused  bool
	restart time.Duration
	timer   *time.Timer
}

func newVM(index int, s standin.VM, binary, dir string, events *ring.Ring[any]) *vm {
	return &vm{
		index: index, settings: s, binary: binary, dir: dir, events: events,
		in: ring.New[any](commandCapacity), exits: ring.New[exited](1), group: duty.NewGroup(),
	}
}

func (v *vm) duty() duty.Duty { return duty.Duty{Name: "vm-" + strconv.Itoa(v.index), Run: v.run} }

func (v *vm) run(ctx context.Context) error {
	v.timer = time.NewTimer(0)
	defer v.timer.Stop()
	defer v.finish()
	for {
		var err error
		select {
		case <-v.in.Ready():
			v.in.Drain(func(m any) { v.command(m) })
		case <-v.exits.Ready():
			v.exits.Drain(func(e exited) { v.ended(ctx, e) })
		case <-v.timer.C:
			err = v.due(ctx)
		case <-ctx.Done():
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// due starts the process, or kills one that has not stopped in time.
func (v *vm) due(ctx context.Context) error {
	if v.process == nil {
		return v.start(ctx)
	}
	if !v.planned.IsZero() && time.Since(v.planned) >= v.settings.StopGracePeriod {
		v.signal(syscall.SIGKILL)
	}
	return nil
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, string(v.settings.Name)+".json") }

func (v *vm) start(ctx context.Context) error {
	if err := os.WriteFile(v.settingsFile(), v.settings.SettingsFile(), 0o600); err != nil {
		return types.WrapFault(types.CodeInternal, err, "write settings")
	}
	output, err := os.OpenFile(filepath.Join(v.dir, string(v.settings.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "open log")
	}
	defer output.Close()
	c := exec.Command(v.binary)
	c.Env = append(os.Environ(), standin.SettingsEnvironment(v.settingsFile()))
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return types.WrapFault(types.CodeInternal, err, "start %s", v.binary)
	}
	v.starts++
	v.process, v.planned, v.killed, v.paused = c.Process, time.Time{}, false, false
	p := c.Process
	return v.group.Launch(ctx, duty.Duty{Name: "wait-" + strconv.Itoa(v.starts), Run: func(ctx context.Context) error {
		state, err := p.Wait()
		if err != nil {
			return types.WrapFault(types.CodeInternal, err, "wait for the process")
		}
		return v.exits.Put(ctx, exited{process: p, state: state})
	}})
}

func (v *vm) signal(s syscall.Signal) {
	if v.process != nil {
		// A process that has ended can't be signalled; its end is reported.
		_ = v.process.Signal(s)
	}
}

func (v *vm) command(m any) {
	if v.process == nil {
		return
	}
	switch m := m.(type) {
	case pauseVM:
		v.killed, v.paused = v.killed || !v.planned.IsZero(), true
		v.signal(syscall.SIGSTOP)
	case resumeVM:
		v.paused = false
		v.signal(syscall.SIGCONT)
	case killVM:
		v.killed, v.restart = true, m.restart
		v.signal(syscall.SIGKILL)
	case stopVM:
		if v.planned.IsZero() {
			// A process that is paused loses a part of its stop time.
			v.planned, v.restart, v.killed = time.Now(), m.restart, v.killed || v.paused
			v.signal(syscall.SIGTERM)
			v.timer.Reset(v.settings.StopGracePeriod)
		}
	case reloadVM:
		if err := os.WriteFile(v.settingsFile(), v.settings.SettingsFile(), 0o600); err == nil {
			v.signal(syscall.SIGHUP)
		}
	}
}

// ended judges the end of a process and plans its next start.
func (v *vm) ended(ctx context.Context, e exited) {
	if e.process != v.process {
		return
	}
	ok := v.killed || (!v.planned.IsZero() && e.state.ExitCode() == 0)
	if !ok {
		_ = v.events.Put(ctx, check.Exited{VM: v.index, Planned: !v.planned.IsZero(), How: e.state.String()})
	}
	v.process = nil
	v.timer.Reset(v.restart)
}

// finish ends the process that this duty has started.
func (v *vm) finish() {
	v.signal(syscall.SIGKILL)
	_ = v.group.Abort(context.Background())
}
