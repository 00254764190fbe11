package process

import (
	"context"
	"time"

	"sequoiasail.example/duty"
)

// ShutdownHook returns a duty that calls hook when the process stops without being aborted, and does nothing before. Duties
// stop in reverse order, so this duty must be added last: hook then runs while all other duties still work. limit is the
// timeout of hook.
func ShutdownHook(limit time.Duration, hook func(ctx context.Context)) duty.Duty {
	hookDone := make(chan struct{})
	return duty.Duty{
		Name:        "departure",
		StopTimeout: limit + duty.DefaultStopTimeout,
		Run: func(ctx context.Context) error {
			select {
			case <-hookDone:
			case <-ctx.Done():
			}
			return nil
		},
		Stop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			hook(ctx)
			close(hookDone)
			return nil
		},
	}
}
