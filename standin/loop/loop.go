// Package loop runs the duty that owns a stand-in's state: it takes messages from a ring, applies each to the state
// and wakes up when the state's next timer is due.
package loop

import (
	"context"
	"errors"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// State is the state machine of a stand-in, owned by one duty. Its methods take the current time, so that tests can
// control it.
type State[M any] interface {
	// Step applies one message.
	Step(now time.Time, m M)
	// Tick performs all actions that are due at now.
	Tick(now time.Time)
	// Next returns the time at which Tick is due next, or false if no action is scheduled.
	Next() (time.Time, bool)
	// Finish answers every caller that still waits. It is called last.
	Finish()
}

// Duty returns the duty that applies the messages of in to s until the ring is closed and empty. It must be added after
// the front end, so that it stops first: waiting callers are then answered, and the front end can finish.
func Duty[M any](name string, in *ring.Ring[M], s State[M]) duty.Duty {
	return duty.Duty{
		Name: name,
		Run:  func(ctx context.Context) error { return run(ctx, in, s) },
		Stop: func(context.Context) error { in.Close(); return nil },
	}
}

func run[M any](ctx context.Context, in *ring.Ring[M], s State[M]) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer s.Finish()
	for {
		timer.Reset(tickDue(s))
		select {
		case <-in.Ready():
			drain(in, s)
		case now := <-timer.C:
			s.Tick(now)
		case <-in.Done():
			drain(in, s)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// idleWait is how long the duty sleeps if no action is scheduled.
const idleWait = time.Hour

// tickDue calls Tick if it is due and returns how long to sleep until the next one. Calling Tick at once
// keeps a request with a service time of zero from waiting for a timer.
func tickDue[M any](s State[M]) time.Duration {
	at, ok := s.Next()
	if !ok {
		return idleWait
	}
	wait := time.Until(at)
	if wait > 0 {
		return wait
	}
	s.Tick(time.Now())
	return 0
}

func drain[M any](in *ring.Ring[M], s State[M]) {
	for m, ok := in.TryGet(); ok; m, ok = in.TryGet() {
		s.Step(time.Now(), m)
	}
}

// Ask puts a message into the ring and waits for the reply. The reply channel must have a capacity of one, so that the
// duty never blocks on a caller whose context was cancelled.
func Ask[M, R any](ctx context.Context, in *ring.Ring[M], m M, reply <-chan R) (R, error) {
	var zero R
	if err := in.Put(ctx, m); err != nil {
		return zero, err
	}
	return Wait(ctx, reply)
}

// Wait waits for a reply or the end of the context.
func Wait[R any](ctx context.Context, reply <-chan R) (R, error) {
	var zero R
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, types.WrapFault(types.CodeCancelled, ctx.Err(), "caller cancelled")
	}
}

// CallerCancelled reports whether err was caused by the cancellation of the caller's context.
func CallerCancelled(err error) bool { return errors.Is(err, context.Canceled) }
