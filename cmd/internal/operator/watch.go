package operator

import (
	"context"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// watchEventCapacity is the number of events that can wait to be shown. When the ring is full, the watch pauses and the
	// store keeps the changes.
	watchEventCapacity = 256
	// outageRetryInterval is the time between attempts to reach a store that does not answer.
	outageRetryInterval = time.Second
)

// WatchEvent is a change of a key, or the start or end of a store outage.
type WatchEvent struct {
	// At is the time when the event was seen.
	At time.Time `json:"at"`
	// Key is the changed key. It is empty for an outage.
	Key string `json:"key,omitempty"`
	// Revision is the store revision of the change.
	Revision types.Revision `json:"revision,omitempty"`
	// Version is the version of the changed configuration or row.
	Version types.Version `json:"version,omitempty"`
	// Text describes the event.
	Text string `json:"text"`
}

// Watch calls show for the configuration in force and each operators' row, and then for every change of them, until ctx
// ends.
func (o *Operator) Watch(ctx context.Context, show func(WatchEvent)) error {
	events := ring.New[WatchEvent](watchEventCapacity)
	duties := duty.NewGroup()
	for _, prefix := range []string{config.KeyCurrent, config.PrefixOps} {
		w := &watcher{o: o, prefix: prefix, events: events}
		duties.Add(duty.Duty{Name: "watch-" + prefix, Run: w.run})
	}
	if err := duties.Start(ctx); err != nil {
		return err
	}
	for {
		event, err := events.Get(ctx)
		if err != nil {
			return duties.Stop(context.WithoutCancel(ctx))
		}
		show(event)
	}
}

// watcher is the duty that watches one prefix.
type watcher struct {
	o      *Operator
	prefix string
	events *ring.Ring[WatchEvent]
	// listed is false until the prefix has been listed, which must be done before it can be watched.
	listed bool
	// after is the store revision up to which changes have been shown. An empty store has revision 0.
	after types.Revision
	// shown holds the last revision shown for each key, so that listing again repeats no event.
	shown map[string]types.Revision
	// storeDown is true from the report of an outage to the report of its end.
	storeDown bool
}

// run is the duty. It lists the prefix and watches it until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	w.shown = map[string]types.Revision{}
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case isNotFound(err): // the store no longer holds the changes since w.after
			w.listed = false
			_ = sleep(ctx, readBackInterval)
		case err != nil:
			_ = w.reportOutage(ctx, err) // fails only when ctx ends, which the loop checks
		}
	}
	return nil
}

// step lists the prefix or waits for its next changes.
func (w *watcher) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	events, after, err := w.o.Store.Watch(ctx, w.prefix, w.after)
	if err != nil {
		return err
	}
	if err := w.reportRecovery(ctx); err != nil {
		return err
	}
	for _, e := range events {
		if err := w.notify(ctx, e); err != nil {
			return err
		}
	}
	w.after = after
	return nil
}

// list reports all entries of the prefix that have not been shown yet.
func (w *watcher) list(ctx context.Context) error {
	entries, at, err := w.o.Store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	if err := w.reportRecovery(ctx); err != nil {
		return err
	}
	for _, e := range entries {
		if err := w.notify(ctx, store.Event{Entry: e}); err != nil {
			return err
		}
	}
	w.listed, w.after = true, at
	return nil
}

// notify reports e unless this or a later revision of its key has been shown.
func (w *watcher) notify(ctx context.Context, e store.Event) error {
	if w.shown[e.Key] >= e.Revision {
		return nil
	}
	w.shown[e.Key] = e.Revision
	event := WatchEvent{At: w.o.Now(), Key: e.Key, Revision: e.Revision}
	event.Version, event.Text = describeEvent(e)
	return w.events.Put(ctx, event)
}

// describeEvent returns the version and the text for a change.
func describeEvent(e store.Event) (types.Version, string) {
	if e.Deleted {
		return 0, "deleted"
	}
	if e.Key == config.KeyCurrent {
		c, err := config.Parse(e.Value)
		if err != nil {
			return 0, "damaged; processes keep their current configuration"
		}
		return c.Version, "in force"
	}
	row, err := config.ParseOpsRow(e.Value)
	if err != nil {
		return 0, "damaged; processes keep the last valid state"
	}
	text := string(row.State) + " by " + row.Operator
	if row.Note != "" {
		text += ": " + row.Note
	}
	return row.Version, text
}

// reportOutage reports an outage of the store once, and waits before the next attempt. The next attempt lists the prefix
// instead of watching it: a watch call returns only after the next change, so the end of the outage would be reported up
// to store.MaxWatchWait late.
func (w *watcher) reportOutage(ctx context.Context, cause error) error {
	w.listed = false
	if !w.storeDown {
		w.storeDown = true
		event := WatchEvent{At: w.o.Now(), Text: w.prefix + ": the store does not answer: " + cause.Error()}
		if err := w.events.Put(ctx, event); err != nil {
			return err
		}
	}
	return sleep(ctx, outageRetryInterval)
}

// reportRecovery reports the end of an outage.
func (w *watcher) reportRecovery(ctx context.Context) error {
	if !w.storeDown {
		return nil
	}
	w.storeDown = false
	return w.events.Put(ctx, WatchEvent{At: w.o.Now(), Text: w.prefix + ": the store answers again"})
}
