package process

import (
	"context"
	"time"

	"sequoiasail.example/duty"
)

// Departure returns a duty that does nothing until it is stopped. It is added last and so is stopped first: leave is
// what a planned stop does before anything else stops. limit bounds leave.
func Departure(limit time.Duration, leave func(ctx context.Context)) duty.Duty {
	left := make(chan struct{})
	return duty.Duty{
		Name:        "departure",
		StopTimeout: limit + duty.DefaultStopTimeout,
		Run: func(ctx context.Context) error {
			select {
			case <-left:
			case <-ctx.Done():
			}
			return nil
		},
		Stop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			leave(ctx)
			close(left)
			return nil
		},
	}
}
