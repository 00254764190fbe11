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
	// noticeCapacity bounds the changes that wait to be shown. A full ring holds the watch back; the store keeps the
	// history meanwhile.
	noticeCapacity = 256
	// retryPause is the time between attempts to reach a store that is down.
	retryPause = time.Second
)

// Notice is one thing that a watch has seen.
type Notice struct {
	At  time.Time `json:"at"`
	Key string    `json:"key,omitempty"`
	// Revision is the store revision of the change.
	Revision types.Revision `json:"revision,omitempty"`
	// Version of the configuration or row.
	Version types.Version `json:"version,omitempty"`
	// Text says what happened.
	Text string `json:"text"`
}

// Watch shows every change of configuration and operators' rows until ctx ends. It starts with what is there.
func (o *Operator) Watch(ctx context.Context, show func(Notice)) error {
	notices := ring.New[Notice](noticeCapacity)
	duties := duty.NewGroup()
	for _, prefix := range []string{config.KeyCurrent, config.PrefixOps} {
		f := &watcher{o: o, prefix: prefix, notices: notices}
		duties.Add(duty.Duty{Name: "watch-" + prefix, Run: f.run})
	}
	if err := duties.Start(ctx); err != nil {
		return err
	}
	for {
		n, err := notices.Get(ctx)
		if err != nil {
			return duties.Stop(context.WithoutCancel(ctx))
		}
		show(n)
	}
}

// watcher is the duty that watches one prefix.
type watcher struct {
	o       *Operator
	prefix  string
	notices *ring.Ring[Notice]
	// listed is false when the prefix must be listed before it can be watched.
	listed bool
	// after is the revision up to which changes were shown. An empty store has revision 0.
	after types.Revision
	// seen holds the revision of each key that was shown, so that listing again repeats nothing.
	seen map[string]types.Revision
	down bool
}

func (f *watcher) run(ctx context.Context) error {
	f.seen = map[string]types.Revision{}
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case isNotFound(err): // the store has forgotten the changes since f.after
			f.listed = false
			_ = waitFor(ctx, settlePause)
		case err != nil:
			_ = f.outage(ctx, err) // fails only when ctx ends, which the loop sees
		}
	}
	return nil
}

// step lists the prefix or waits for its next changes.
func (f *watcher) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	events, after, err := f.o.Store.Watch(ctx, f.prefix, f.after)
	if err != nil {
		return err
	}
	if err := f.recovered(ctx); err != nil {
		return err
	}
	for _, e := range events {
		if err := f.notify(ctx, e); err != nil {
			return err
		}
	}
	f.after = after
	return nil
}

func (f *watcher) list(ctx context.Context) error {
	entries, at, err := f.o.Store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	if err := f.recovered(ctx); err != nil {
		return err
	}
	for _, e := range entries {
		if err := f.notify(ctx, store.Event{Entry: e}); err != nil {
			return err
		}
	}
	f.listed, f.after = true, at
	return nil
}

func (f *watcher) notify(ctx context.Context, e store.Event) error {
	if f.seen[e.Key] >= e.Revision {
		return nil
	}
	f.seen[e.Key] = e.Revision
	n := Notice{At: f.o.Now(), Key: e.Key, Revision: e.Revision}
	n.Version, n.Text = describe(e)
	return f.notices.Put(ctx, n)
}

func describe(e store.Event) (types.Version, string) {
	if e.Deleted {
		return 0, "deleted"
	}
	if e.Key == config.KeyCurrent {
		c, err := config.Parse(e.Value)
		if err != nil {
			return 0, "damaged; processes keep the configuration they have"
		}
		return c.Version, "in force"
	}
	row, err := config.ParseOpsRow(e.Value)
	if err != nil {
		return 0, "damaged; processes keep the state they know"
	}
	text := string(row.State) + " by " + row.Operator
	if row.Note != "" {
		text += ": " + row.Note
	}
	return row.Version, text
}

// outage reports once that the store is down, and waits before the next attempt. That one lists: a watch would answer only
// after the next change, so the end of the outage would be reported up to store.MaxWatchWait late.
func (f *watcher) outage(ctx context.Context, cause error) error {
	f.listed = false
	if !f.down {
		f.down = true
		n := Notice{At: f.o.Now(), Text: f.prefix + ": the store does not answer: " + cause.Error()}
		if err := f.notices.Put(ctx, n); err != nil {
			return err
		}
	}
	return waitFor(ctx, retryPause)
}

func (f *watcher) recovered(ctx context.Context) error {
	if !f.down {
		return nil
	}
	f.down = false
	return f.notices.Put(ctx, Notice{At: f.o.Now(), Text: f.prefix + ": the store answers again"})
}
