// Package process runs the duties of a stand-in process until a signal asks it to stop or a duty fails.
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sequoiasail.example/duty"
	"sequoiasail.example/types"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadSettings = 2
)

// Run starts the duties with start, waits for SIGTERM, SIGINT or a failed duty, stops the duties and returns the exit
// code.
func Run(start func(context.Context, *duty.Group) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g := duty.NewGroup()
	if err := start(ctx, g); err != nil {
		report(err)
		return exitCode(err)
	}
	code := wait(ctx, g)
	if err := g.Stop(context.WithoutCancel(ctx)); err != nil {
		report(err)
		return ExitFailed
	}
	return code
}

func wait(ctx context.Context, g *duty.Group) int {
	select {
	case <-ctx.Done():
		return ExitOK
	case f := <-g.Failed():
		report(types.WrapFault(types.CodeOf(f.Err), f.Err, "duty %s", f.Duty))
		return ExitFailed
	}
}

func exitCode(err error) int {
	if types.CodeOf(err) == types.CodeBadSettings {
		return ExitBadSettings
	}
	return ExitFailed
}

func report(err error) { fmt.Fprintln(os.Stderr, err) }
