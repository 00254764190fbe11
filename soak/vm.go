package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/types"
)

// commandCapacity is the number of commands that can wait for a VM's duty.
const commandCapacity = 64

// Commands to the duty of a VM.
type (
	pauseVM  struct{}
	resumeVM struct{}
	// killVM kills the process. It is restarted after restartDelay.
	killVM struct{ restartDelay time.Duration }
	// stopVM sends SIGTERM, kills the process if it has not exited after the stop grace period, and restarts it after
	// restartDelay.
	stopVM struct{ restartDelay time.Duration }
	// reloadVM rewrites the settings file and sends SIGHUP.
	reloadVM struct{}
	// measureVM reports the largest memory that the process has had if it is more than its settings allow.
	measureVM struct{}
)

// processExit reports that a process has exited.
type processExit struct {
	process *os.Process
	state   *os.ProcessState
}

// vm starts, signals and restarts the daemon process of one VM.
type vm struct {
	index    int
	settings standin.VM
	binary   string
	dir      string
	commands *ring.Ring[any]
	exits    *ring.Ring[processExit]
	events   *ring.Ring[any]

	group   *duty.Group
	process *os.Process
	// starts counts the started processes.
	starts int
	// stopRequestedAt is when SIGTERM was sent, or zero. exitExpected is true once the process was killed on purpose, or
	// was paused during its stop grace period, so that any exit is accepted.
	stopRequestedAt time.Time
	exitExpected    bool
	// outputAtStart is the size of the log file when the process was started.
	outputAtStart int64
	paused        bool
	restartDelay  time.Duration
	// timer fires when the process must be started, or killed at the end of its stop grace period.
	timer *time.Timer
}

func newVM(index int, s standin.VM, binary, dir string, events *ring.Ring[any]) *vm {
	return &vm{
		index: index, settings: s, binary: binary, dir: dir, events: events,
		commands: ring.New[any](commandCapacity), exits: ring.New[processExit](1), group: duty.NewGroup(),
	}
}

func (v *vm) duty() duty.Duty { return duty.Duty{Name: "vm-" + strconv.Itoa(v.index), Run: v.run} }

func (v *vm) run(ctx context.Context) error {
	v.timer = time.NewTimer(0)
	defer v.timer.Stop()
	defer v.killProcess()
	for {
		var err error
		select {
		case <-v.commands.Ready():
			v.commands.Drain(func(m any) { v.handle(ctx, m) })
		case <-v.exits.Ready():
			v.exits.Drain(func(e processExit) { v.processExited(ctx, e) })
		case <-v.timer.C:
			err = v.onTimer(ctx)
		case <-ctx.Done():
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// onTimer starts the process if none runs, or kills one that has not exited within its stop grace period.
func (v *vm) onTimer(ctx context.Context) error {
	if v.process == nil {
		return v.start(ctx)
	}
	if !v.stopRequestedAt.IsZero() && time.Since(v.stopRequestedAt) >= v.settings.StopGracePeriod {
		v.signal(syscall.SIGKILL)
	}
	return nil
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, string(v.settings.Name)+".json") }

func (v *vm) start(ctx context.Context) error {
	if err := os.WriteFile(v.settingsFile(), v.settings.SettingsFile(), 0o600); err != nil {
		return types.WrapFault(types.CodeInternal, err, "write settings file")
	}
	output, err := os.OpenFile(filepath.Join(v.dir, string(v.settings.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "open log file")
	}
	defer output.Close()
	v.outputAtStart = size(output)
	c := exec.Command(v.binary)
	c.Env = append(os.Environ(), standin.SettingsEnvironment(v.settingsFile()))
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return types.WrapFault(types.CodeInternal, err, "start %s", v.binary)
	}
	v.starts++
	v.process, v.stopRequestedAt, v.exitExpected, v.paused = c.Process, time.Time{}, false, false
	p := c.Process
	return v.group.Launch(ctx, duty.Duty{Name: "wait-" + strconv.Itoa(v.starts), Run: func(ctx context.Context) error {
		state, err := p.Wait()
		if err != nil {
			return types.WrapFault(types.CodeInternal, err, "wait for process")
		}
		return v.exits.Put(ctx, processExit{process: p, state: state})
	}})
}

func (v *vm) signal(s syscall.Signal) {
	if v.process != nil {
		// Signalling a process that has already exited fails. Its exit is reported by Wait.
		_ = v.process.Signal(s)
	}
}

func (v *vm) handle(ctx context.Context, m any) {
	if v.process == nil {
		return
	}
	switch m := m.(type) {
	case pauseVM:
		v.exitExpected, v.paused = v.exitExpected || !v.stopRequestedAt.IsZero(), true
		v.signal(syscall.SIGSTOP)
	case resumeVM:
		v.paused = false
		v.signal(syscall.SIGCONT)
	case killVM:
		v.exitExpected, v.restartDelay = true, m.restartDelay
		v.signal(syscall.SIGKILL)
	case stopVM:
		if v.stopRequestedAt.IsZero() {
			// A paused process loses part of its stop grace period.
			v.stopRequestedAt, v.restartDelay, v.exitExpected = time.Now(), m.restartDelay, v.exitExpected || v.paused
			v.signal(syscall.SIGTERM)
			v.timer.Reset(v.settings.StopGracePeriod)
		}
	case reloadVM:
		if err := os.WriteFile(v.settingsFile(), v.settings.SettingsFile(), 0o600); err == nil {
			v.signal(syscall.SIGHUP)
		}
	case measureVM:
		if mb := peakMemoryMB(v.process.Pid); mb > v.settings.MemoryMB {
			_ = v.events.Put(ctx, check.MemoryExceeded{VM: v.index, MB: mb, Limit: v.settings.MemoryMB})
		}
	}
}

// peakMemoryMB returns the largest resident memory that a process has had, in MiB, 0 if it has ended.
func peakMemoryMB(pid int) float64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kib, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0
	}
	return kib / 1024
}

// processExited reports an unexpected exit of the process and schedules its restart.
func (v *vm) processExited(ctx context.Context, e processExit) {
	if e.process != v.process {
		return
	}
	expected := v.exitExpected || (!v.stopRequestedAt.IsZero() && (e.state.ExitCode() == 0 || v.stoppedBeforeMain(e.state)))
	if !expected {
		_ = v.events.Put(ctx, check.VMExited{VM: v.index, Planned: !v.stopRequestedAt.IsZero(), Status: e.state.String()})
	}
	v.process = nil
	v.timer.Reset(v.restartDelay)
}

// stoppedBeforeMain reports whether SIGTERM ended a process that had written nothing: until the Go runtime has started and the
// handler is installed, for about 5 ms on a busy machine, the signal has its default effect. Such a process has read no request.
func (v *vm) stoppedBeforeMain(state *os.ProcessState) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		return false
	}
	output, err := os.Open(filepath.Join(v.dir, string(v.settings.Name)+".log"))
	if err != nil {
		return false
	}
	defer output.Close()
	return v.outputAtStart >= 0 && size(output) == v.outputAtStart
}

// size returns the size of a file, or -1 if it can't be read.
func size(f *os.File) int64 {
	info, err := f.Stat()
	if err != nil {
		return -1
	}
	return info.Size()
}

// killProcess kills the running process and waits for it.
func (v *vm) killProcess() {
	v.signal(syscall.SIGKILL)
	_ = v.group.Abort(context.Background())
}
