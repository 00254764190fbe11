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
	// watchSpacing is the pause between two calls of a watch. Each answer costs a call, and changes come in groups.
	watchSpacing = 400 * time.Millisecond
	// storeRetry is how long a watch waits after a call that failed.
	storeRetry = 250 * time.Millisecond
	// storeRetryJitter keeps VMs from retrying at the same time.
	storeRetryJitter = 250 * time.Millisecond
)

// update is a message to the store cache with entries or changes of a prefix. It comes from a watch, the auditor or the
// mirror client.
type update struct {
	prefix string
	// snapshot is true when entries holds all keys of the prefix.
	snapshot bool
	// audit is true for a read by the auditor.
	audit bool
	// mirrored is true if the entries come from another VM and not from the store.
	mirrored bool
	// graceLeft is how long missing registrations are still kept according to the other VM.
	graceLeft time.Duration
	entries   []store.Entry
	// revision is the store's revision of a snapshot.
	revision types.Revision
	events   []store.Event
	// err is the fault of a failed call.
	err error
}

// watch follows the changes of one prefix of the store while it is enabled.
type watch struct {
	name   string
	prefix string
	// spacing is the pause between two watch calls.
	spacing time.Duration
	// toggle carries true to enable the watch and false to disable it. A watch starts disabled.
	toggle  *ring.Ring[bool]
	enabled bool
	store   store.Store
	out     *ring.Ring[any]
	log     *telemetry.Log
	jitter  func(time.Duration) time.Duration
}

func (w *watch) duty() duty.Duty { return duty.Duty{Name: "watch-" + w.name, Run: w.run} }

func (w *watch) run(ctx context.Context) error {
	unavailable := false
	for ctx.Err() == nil {
		if err := w.waitUntilEnabled(ctx); err != nil {
			return nil
		}
		err := w.follow(ctx, &unavailable)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			continue
		}
		if types.CodeOf(err) != types.CodeNotFound && !unavailable {
			unavailable = true
			w.log.Warn("store does not answer", log.Fields{"prefix": w.prefix, "error": err.Error()})
		}
		if w.out.Put(ctx, update{prefix: w.prefix, err: err}) != nil {
			return nil
		}
		duty.Pause(ctx, storeRetry+w.jitter(storeRetryJitter))
	}
	return nil
}

// waitUntilEnabled waits until the watch is enabled.
func (w *watch) waitUntilEnabled(ctx context.Context) error {
	w.toggle.Drain(func(enabled bool) { w.enabled = enabled })
	for !w.enabled {
		enabled, err := w.toggle.Get(ctx)
		if err != nil {
			return err
		}
		w.enabled = enabled
	}
	return nil
}

// follow lists the prefix and watches it from that revision until a call fails or the watch is disabled. unavailable tells
// whether the previous call failed; follow resets it.
func (w *watch) follow(ctx context.Context, unavailable *bool) error {
	// The store client limits the time of each page; a limit for all pages would keep a long list from ever being read.
	entries, revision, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	if *unavailable {
		*unavailable = false
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
		duty.Pause(ctx, w.spacing)
		if w.toggle.Drain(func(enabled bool) { w.enabled = enabled }); !w.enabled {
			return nil
		}
	}
}
