package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// watchPause spaces the calls of a watch, because each answer costs a call and changes come in groups.
	watchPause = 400 * time.Millisecond
	// storeRetry is how long a watch waits after a call that failed.
	storeRetry = 250 * time.Millisecond
	// storeRetryJitter keeps VMs from calling together.
	storeRetryJitter = 250 * time.Millisecond
	// listTimeout bounds the reading of a prefix.
	listTimeout = 2 * time.Second
)

// update is what a watch tells the knowledge duty.
type update struct {
	prefix string
	// snapshot is true when entries holds all keys of the prefix.
	snapshot bool
	// audit is true for a read beside the watch.
	audit bool
	// mirrored is true for an answer of another VM in place of the store.
	mirrored bool
	// graceLeft is how long, by such an answer, missing registrations may still come back.
	graceLeft time.Duration
	entries   []store.Entry
	// revision is the store's revision of a snapshot.
	revision types.Revision
	events   []store.Event
	// err is the fault of a call that failed.
	err error
}

// watch follows one prefix of the store.
type watch struct {
	name   string
	prefix string
	pause  time.Duration
	// gate opens and closes the watch. It starts closed.
	gate   *ring.Ring[bool]
	open   bool
	store  store.Store
	out    *ring.Ring[any]
	log    *telemetry.Log
	jitter func(time.Duration) time.Duration
}

func (w *watch) duty() duty.Duty { return duty.Duty{Name: "watch-" + w.name, Run: w.run} }

func (w *watch) run(ctx context.Context) error {
	away := false
	for ctx.Err() == nil {
		if err := w.admitted(ctx); err != nil {
			return nil
		}
		err := w.follow(ctx, &away)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			continue
		}
		if types.CodeOf(err) != types.CodeNotFound && !away {
			away = true
			w.log.Warn("store does not answer", log.Fields{"prefix": w.prefix, "error": err.Error()})
		}
		if w.out.Put(ctx, update{prefix: w.prefix, err: err}) != nil {
			return nil
		}
		duty.Pause(ctx, storeRetry+w.jitter(storeRetryJitter))
	}
	return nil
}

// admitted waits until the gate is open.
func (w *watch) admitted(ctx context.Context) error {
	w.gate.Drain(func(open bool) { w.open = open })
	for !w.open {
		open, err := w.gate.Get(ctx)
		if err != nil {
			return err
		}
		w.open = open
	}
	return nil
}

// follow lists the prefix and watches from there until a call fails or the gate closes.
func (w *watch) follow(ctx context.Context, away *bool) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	entries, revision, err := w.store.List(listCtx, w.prefix)
	cancel()
	if err != nil {
		return err
	}
	if *away {
		*away = false
		w.log.Info("store answers again", log.Fields{"prefix": w.prefix, "revision": revision})
	}
	if err := w.out.Put(ctx, update{prefix: w.prefix, snapshot: true, entries: entries, revision: revision}); err != nil {
		return err
	}
	for {
		events, next, err := w.store.Watch(ctx, w.prefix, revision)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		if len(events) > 0 {
			if err := w.out.Put(ctx, update{prefix: w.prefix, events: events}); err != nil {
				return err
			}
		}
		duty.Pause(ctx, w.pause)
		if w.gate.Drain(func(open bool) { w.open = open }); !w.open {
			return nil
		}
	}
}
