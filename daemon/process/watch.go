package process

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/settings"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	listTimeout       = 2 * time.Second
	watchSlack        = 2 * time.Second
	watchRetryDelay   = 100 * time.Millisecond
	watchRetryCeiling = 2 * time.Second
)

// Update is one answer of the store.
type Update struct {
	// Snapshot is true when Events holds every key and replaces all that was known.
	Snapshot bool
	Events   []store.Event
	Revision types.Revision
	// Err is set when the store could not be read; Events is empty then.
	Err error
}

// Watch keeps one process informed of all keys of the store with a single waiting call.
type Watch struct {
	Store store.Store
	// Knowledge decodes what the store holds.
	Knowledge *Knowledge
	// Mirror keeps what was read for other processes. Optional.
	Mirror *Mirror
	// Peers are asked for the newest state as long as the store has not answered since the start.
	Peers []settings.Address
	// Identity secures the connections to peers. Nil for plain TCP.
	Identity *identity.Source
	// Deliver hands a change to its owner. It may block.
	Deliver func(ctx context.Context, c Change) error

	// informed is true once the store or a peer has answered.
	informed bool
}

// Duty returns the duty that watches the store.
func (w *Watch) Duty() duty.Duty {
	return duty.Duty{Name: "store-watch", Run: w.run}
}

func (w *Watch) run(ctx context.Context) error {
	delay := watchRetryDelay
	for ctx.Err() == nil {
		revision, err := w.list(ctx)
		if err == nil {
			delay = watchRetryDelay
			err = w.follow(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		if types.CodeOf(err) == types.CodeNotFound {
			continue
		}
		if err := w.deliver(ctx, Update{Err: err}); err != nil {
			return nil
		}
		if err := w.learnFromPeers(ctx); err != nil {
			return nil
		}
		duty.Pause(ctx, delay)
		delay = min(2*delay, watchRetryCeiling)
	}
	return nil
}

func (w *Watch) list(ctx context.Context) (types.Revision, error) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := w.Store.List(listCtx, "")
	if err != nil {
		return 0, err
	}
	events := make([]store.Event, len(entries))
	for i, e := range entries {
		events[i] = store.Event{Entry: e}
	}
	return revision, w.deliver(ctx, Update{Snapshot: true, Events: events, Revision: revision})
}

func (w *Watch) follow(ctx context.Context, revision types.Revision) error {
	for {
		watchCtx, cancel := context.WithTimeout(ctx, store.MaxWatchWait+watchSlack)
		events, next, err := w.Store.Watch(watchCtx, "", revision)
		cancel()
		if err != nil {
			return err
		}
		revision = next
		if err := w.deliver(ctx, Update{Events: events, Revision: revision}); err != nil {
			return err
		}
	}
}

// learnFromPeers lets a process that starts during an outage of the store work with what others know. Versions and
// epochs keep it from installing anything older than it has.
func (w *Watch) learnFromPeers(ctx context.Context) error {
	if w.informed {
		return nil
	}
	u, ok := askPeers(ctx, w.Identity, w.Peers)
	if !ok {
		return nil
	}
	return w.deliver(ctx, u)
}

func (w *Watch) deliver(ctx context.Context, u Update) error {
	w.informed = w.informed || u.Err == nil
	if w.Mirror != nil {
		w.Mirror.apply(u)
	}
	return w.Deliver(ctx, w.Knowledge.Apply(u))
}
