package soak

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/soak/link"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// endpoint is a link address that successive incarnations of targets serve. The operator owns it.
type endpoint struct {
	link     *link.Link
	settings standin.TargetSettings
	events   *ring.Ring[any]
	// group holds the duties of the current incarnation, nil if no target runs.
	group     *duty.Group
	startedAt time.Time
	// changing is true while a crash, a drain or a reassignment is in progress.
	changing bool
}

// start starts a new incarnation of a target on a port of its own and points the link to it.
func (e *endpoint) start(ctx context.Context, id types.Target) error {
	l, err := standin.Listen(ctx)
	if err != nil {
		return err
	}
	e.startedAt = time.Now()
	e.settings.Target, e.settings.Incarnation = id, e.startedAt.UnixMilli()
	e.group = duty.NewGroup()
	for _, d := range standin.TargetDuties(l, e.settings, e.eventSink(ctx)) {
		e.group.Add(d)
	}
	if err := e.group.Start(ctx); err != nil {
		return err
	}
	e.link.SetServer(l.Addr().String())
	return nil
}

// eventSink returns the function that passes a target's events to the checker.
func (e *endpoint) eventSink(ctx context.Context) func(any) {
	return func(event any) { _ = e.events.Put(ctx, event) }
}

// stop aborts the current incarnation. The link resets its connections and new ones.
func (e *endpoint) stop(ctx context.Context) {
	if e.group == nil {
		return
	}
	e.link.SetServer("")
	e.link.Reset()
	_ = e.group.Abort(ctx)
	e.group = nil
	_ = e.events.Put(ctx, check.TargetStopped{Target: e.settings.Target, Incarnation: e.settings.Incarnation, At: time.Now()})
}

// registration returns the write that registers the current incarnation in the store.
func (e *endpoint) registration(draining bool) store.Write {
	coldFor := max(0, e.settings.ColdFor-time.Since(e.startedAt))
	key, value := standin.Registration(e.settings, e.link.Address(), draining, coldFor)
	return store.Write{Key: key, Value: value}
}
