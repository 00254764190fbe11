package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func wait(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Guards against a later duty stopping before the duties that feed it have stopped.
func TestStopRunsInReverseOrder(t *testing.T) {
	is := is.New(t)
	var stopped []string
	g := duty.NewGroup()
	for _, name := range []string{"a", "b", "c"} {
		g.Add(duty.Duty{Name: name, Run: func(ctx context.Context) error {
			<-ctx.Done()
			stopped = append(stopped, name)
			return nil
		}})
	}
	is.NoErr(g.Start(context.Background()))
	is.Equal(g.Names(), []string{"a", "b", "c"})
	is.NoErr(g.Stop(context.Background()))
	is.Equal(stopped, []string{"c", "b", "a"})
}

// Guards against an abort that waits for the planned stop of a duty, or that leaves a duty running.
func TestAbortEndsDutiesWithoutTheirStop(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	stops := 0
	for _, name := range []string{"a", "b"} {
		g.Add(duty.Duty{Name: name, Run: wait, Stop: func(context.Context) error { stops++; return nil }})
	}
	is.NoErr(g.Start(context.Background()))
	is.NoErr(g.Abort(context.Background()))
	is.Equal(stops, 0)
	is.Equal(len(g.Names()), 0)
}

// Guards against a panic that kills the process without naming the duty.
func TestPanicIsReportedWithName(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	g.Add(duty.Duty{Name: "broken", Run: func(context.Context) error { panic("boom") }})
	is.NoErr(g.Start(context.Background()))
	f := <-g.Failed()
	is.Equal(f.Duty, "broken")
	is.Equal(types.CodeOf(f.Err), types.CodePanic)
	is.NoErr(g.Stop(context.Background()))
}

// Guards against a duty that ignores its stop and blocks the process for ever.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	g := duty.NewGroup()
	g.Add(duty.Duty{
		Name:        "stuck",
		StopTimeout: time.Millisecond,
		Run:         func(context.Context) error { <-release; return nil },
	})
	is.NoErr(g.Start(context.Background()))
	err := g.Stop(context.Background())
	is.Equal(types.CodeOf(err), types.CodeTimeout)
	close(release)
}

// Guards against half a process running after one duty failed to provision.
func TestNothingStartsWhenProvisionFails(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	g.Add(duty.Duty{Name: "first", Run: wait})
	g.Add(duty.Duty{
		Name:      "second",
		Provision: func(context.Context) error { return types.NewFault(types.CodeBadSettings, "no address") },
		Run:       wait,
	})
	err := g.Start(context.Background())
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
	is.Equal(len(g.Names()), 0)
}

// Guards against retired duties that keep running.
func TestLaunchAndRetire(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	is.NoErr(g.Launch(context.Background(), duty.Duty{Name: "link", Run: wait}))
	is.NoErr(g.Retire(context.Background(), "link"))
	is.Equal(types.CodeOf(g.Retire(context.Background(), "link")), types.CodeNotFound)
}

// Guards against a wait that outlasts its caller, or that parks when there is nothing to wait for.
func TestPause(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!duty.Pause(ctx, time.Hour))
	is.True(duty.Pause(ctx, 0))
	is.True(duty.Pause(t.Context(), time.Millisecond))
}
