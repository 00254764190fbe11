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

// runUntilCancelled is the Run of a duty that only waits for its context to end.
func runUntilCancelled(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Guards against a duty being stopped before the duties that were started after it and send to it.
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

// Guards against an abort that waits for a duty's Stop, or that leaves a duty running.
func TestAbortSkipsStop(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	stops := 0
	for _, name := range []string{"a", "b"} {
		g.Add(duty.Duty{Name: name, Run: runUntilCancelled, Stop: func(context.Context) error { stops++; return nil }})
	}
	is.NoErr(g.Start(context.Background()))
	is.NoErr(g.Abort(context.Background()))
	is.Equal(stops, 0)
	is.Equal(len(g.Names()), 0)
}

// Guards against a panic that ends the process without naming the duty.
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

// Guards against a duty that ignores the request to stop and blocks the process forever.
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

// Guards against some duties running although another one failed to provision.
func TestNothingStartsWhenProvisionFails(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	g.Add(duty.Duty{Name: "first", Run: runUntilCancelled})
	g.Add(duty.Duty{
		Name:      "second",
		Provision: func(context.Context) error { return types.NewFault(types.CodeBadSettings, "no address") },
		Run:       runUntilCancelled,
	})
	err := g.Start(context.Background())
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
	is.Equal(len(g.Names()), 0)
}

// Guards against removed duties that keep running or stay listed in their group.
func TestLaunchAndRemove(t *testing.T) {
	is := is.New(t)
	g := duty.NewGroup()
	is.NoErr(g.Launch(context.Background(), duty.Duty{Name: "link", Run: runUntilCancelled}))
	is.NoErr(g.Remove(context.Background(), "link"))
	is.Equal(types.CodeOf(g.Remove(context.Background(), "link")), types.CodeNotFound)
}

// Guards against a pause that outlasts its context, or that waits when the duration is zero.
func TestPause(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!duty.Pause(ctx, time.Hour))
	is.True(duty.Pause(ctx, 0))
	is.True(duty.Pause(t.Context(), time.Millisecond))
}
