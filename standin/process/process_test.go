package process

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a requested stop with the exit code of a failure, and against failures with the exit code of a stop.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	failStart := func(code types.Code) func(context.Context, *duty.Group) error {
		return func(context.Context, *duty.Group) error { return types.NewFault(code, "refused") }
	}
	is.Equal(Run(failStart(types.CodeBadSettings)), ExitBadSettings)
	is.Equal(Run(failStart(types.CodeInternal)), ExitFailed)

	var stopped bool
	serve := func(end error) func(context.Context, *duty.Group) error {
		return func(ctx context.Context, g *duty.Group) error {
			return g.Launch(ctx, duty.Duty{Name: "d", Run: func(ctx context.Context) error {
				if end != nil {
					return end
				}
				_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
				<-ctx.Done()
				stopped = true
				return nil
			}})
		}
	}
	is.Equal(Run(serve(nil)), ExitOK)
	is.True(stopped)
	is.Equal(Run(serve(types.NewFault(types.CodeInternal, "broken"))), ExitFailed)
}
