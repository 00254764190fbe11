package duty

import (
	"context"
	"time"
)

// Pause parks the goroutine for d. It returns false when ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
