// Package duty runs named long-lived goroutines.
//
// A Duty is one goroutine with one job. A Group starts duties in order and stops them in reverse order, each within a
// time limit. Production code contains no go statement outside this package. A panic in a duty is reported through
// Group.Failed with the duty's name, so that the process can stop cleanly.
//
// The package manages goroutines and their life cycle. It never owns a duty's state.
package duty

import (
	"context"
	"runtime/debug"
	"time"

	"sequoiasail.example/types"
)

// DefaultStopTimeout is how long a duty without a StopTimeout may take to stop.
const DefaultStopTimeout = 5 * time.Second

// Duty describes one named goroutine.
type Duty struct {
	// Name appears in logs, metrics and faults. It must be unique within the group.
	Name string
	// Provision acquires what Run needs, for example a listener. Optional.
	Provision func(ctx context.Context) error
	// Validate checks the provisioned duty before anything starts. Optional.
	Validate func() error
	// Run is the body of the goroutine. It returns nil when ctx ends or after Stop.
	Run func(ctx context.Context) error
	// Stop asks Run to finish its current work and return. Optional; when nil, or when it returns an error, the context
	// of Run is cancelled.
	Stop func(ctx context.Context) error
	// StopTimeout is how long the duty may take to stop. Zero means DefaultStopTimeout.
	StopTimeout time.Duration
}

// Failure reports a duty that failed while it was not being stopped.
type Failure struct {
	Duty string
	Err  error
}

// runningDuty is a started duty; done is closed when its Run has returned.
type runningDuty struct {
	duty   Duty
	cancel context.CancelFunc
	done   chan struct{}
}

// Group is an ordered set of duties. It is owned by one goroutine and not safe for concurrent use, except for
// Failed.
type Group struct {
	// pending holds the duties that Start will start, active those that were started and not removed.
	pending []Duty
	active  []*runningDuty
	failed  chan Failure
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{failed: make(chan Failure, 1)}
}

// Add registers a duty for Start.
func (g *Group) Add(d Duty) { g.pending = append(g.pending, d) }

// Start provisions and validates all registered duties, then starts them in order. If any of them fails to provision or
// validate, none is started.
func (g *Group) Start(ctx context.Context) error {
	for _, d := range g.pending {
		if err := prepare(ctx, d); err != nil {
			return err
		}
	}
	for _, d := range g.pending {
		g.launch(ctx, d)
	}
	g.pending = nil
	return nil
}

// Launch provisions, validates and starts one duty of a running group.
func (g *Group) Launch(ctx context.Context, d Duty) error {
	if err := prepare(ctx, d); err != nil {
		return err
	}
	g.launch(ctx, d)
	return nil
}

// Remove stops the named duty and removes it from the group. It returns a CodeNotFound or CodeTimeout fault.
func (g *Group) Remove(ctx context.Context, name string) error {
	for i, r := range g.active {
		if r.duty.Name != name {
			continue
		}
		g.active = append(g.active[:i], g.active[i+1:]...)
		return r.stop(ctx)
	}
	return types.NewFault(types.CodeNotFound, "no duty named %s", name)
}

// Stop stops all duties in reverse order of their start and returns the first fault.
func (g *Group) Stop(ctx context.Context) error {
	var first error
	for i := len(g.active) - 1; i >= 0; i-- {
		if err := g.active[i].stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	g.active = nil
	return first
}

// Abort cancels the contexts of all duties at once, without calling their Stop, and waits for all of them. It returns a
// CodeTimeout fault that names the first duty that did not end within DefaultStopTimeout.
func (g *Group) Abort(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultStopTimeout)
	defer cancel()
	for _, r := range g.active {
		r.cancel()
	}
	for _, r := range g.active {
		select {
		case <-r.done:
		case <-ctx.Done():
			return types.NewFault(types.CodeTimeout, "duty %s did not end within %s", r.duty.Name, DefaultStopTimeout)
		}
	}
	g.active = nil
	return nil
}

// Failed delivers the first duty that ended with an error or a panic.
func (g *Group) Failed() <-chan Failure { return g.failed }

// Names returns the names of the running duties in order of their start.
func (g *Group) Names() []string {
	names := make([]string, 0, len(g.active))
	for _, r := range g.active {
		names = append(names, r.duty.Name)
	}
	return names
}

func prepare(ctx context.Context, d Duty) error {
	if d.Name == "" || d.Run == nil {
		return types.NewFault(types.CodeInternal, "duty %q needs a name and a Run function", d.Name)
	}
	if d.Provision != nil {
		if err := d.Provision(ctx); err != nil {
			return types.WrapFault(types.CodeOf(err), err, "provision %s", d.Name)
		}
	}
	if d.Validate != nil {
		if err := d.Validate(); err != nil {
			return types.WrapFault(types.CodeOf(err), err, "validate %s", d.Name)
		}
	}
	return nil
}

// launch starts the goroutine of a prepared duty. Its context keeps the values of ctx, but not the cancellation.
func (g *Group) launch(ctx context.Context, d Duty) {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &runningDuty{duty: d, cancel: cancel, done: make(chan struct{})}
	g.active = append(g.active, r)
	go g.run(runCtx, r)
}

func (g *Group) run(ctx context.Context, r *runningDuty) {
	defer close(r.done)
	defer func() {
		if p := recover(); p != nil {
			g.report(r.duty.Name, types.NewFault(types.CodePanic, "%v\n%s", p, debug.Stack()))
		}
	}()
	if err := r.duty.Run(ctx); err != nil && ctx.Err() == nil {
		g.report(r.duty.Name, err)
	}
}

func (g *Group) report(name string, err error) {
	select {
	case g.failed <- Failure{Duty: name, Err: err}:
	default:
	}
}

// stop asks the duty to finish, and cancels its context if it does not finish in time.
func (r *runningDuty) stop(ctx context.Context) error {
	defer r.cancel()
	limit := r.duty.StopTimeout
	if limit == 0 {
		limit = DefaultStopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if r.duty.Stop == nil || r.duty.Stop(ctx) != nil {
		r.cancel()
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return types.NewFault(types.CodeTimeout, "duty %s did not stop within %s", r.duty.Name, limit)
	}
}
