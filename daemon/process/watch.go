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
	listTimeout = 2 * time.Second
	// watchTimeoutMargin is how much longer the timeout of a watch call is than store.MaxWatchWait, the longest time for
	// which the store holds the call.
	watchTimeoutMargin = 2 * time.Second
	// watchRetryDelay is the first delay after a failed call. It doubles up to maxWatchRetryDelay.
	watchRetryDelay    = 100 * time.Millisecond
	maxWatchRetryDelay = 2 * time.Second
)

// Update is the result of a list or watch call to the store.
type Update struct {
	// Snapshot is true when Events holds all entries of the store, so that keys that are absent do not exist.
	Snapshot bool
	Events   []store.Event
	// Revision is the store revision after Events.
	Revision types.Revision
	// Err is set when the store could not be read; Events is empty then.
	Err error
}

// Watch reads all keys of the store and follows their changes with a single long-polling call.
type Watch struct {
	Store store.Store
	// StoreCache decodes the updates.
	StoreCache *StoreCache
	// Mirror keeps the entries for other processes. Optional.
	Mirror *Mirror
	// Peers are the addresses of the processes from which the entries are fetched if the store does not answer at first.
	Peers []settings.Address
	// Identity secures the connections to peers. Nil for plain TCP.
	Identity *identity.Source
	// Deliver is called with each change. It may block.
	Deliver func(ctx context.Context, c Change) error

	// loaded is true once the store or a peer has returned the entries.
	loaded bool
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
			err = w.watchChanges(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		if types.CodeOf(err) == types.CodeNotFound { // list again at once, see watchChanges
			continue
		}
		if err := w.deliver(ctx, Update{Err: err}); err != nil {
			return nil
		}
		if err := w.loadFromPeers(ctx); err != nil {
			return nil
		}
		duty.Pause(ctx, delay)
		delay = min(2*delay, maxWatchRetryDelay)
	}
	return nil
}

// list reads all keys and delivers them as a snapshot. It returns the revision to watch from.
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

// watchChanges delivers the changes after revision until a call fails. A not-found fault means that the store no longer
// has the changes since revision, and that the keys must be listed again.
func (w *Watch) watchChanges(ctx context.Context, revision types.Revision) error {
	for {
		watchCtx, cancel := context.WithTimeout(ctx, store.MaxWatchWait+watchTimeoutMargin)
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

// loadFromPeers fetches the store's entries from peers if none were read yet, so that a process that starts while the
// store is unavailable can serve. What the peers return may be old; versions and epochs keep it from replacing newer state.
func (w *Watch) loadFromPeers(ctx context.Context) error {
	if w.loaded {
		return nil
	}
	u, ok := fetchFromPeers(ctx, w.Identity, w.Peers)
	if !ok {
		return nil
	}
	return w.deliver(ctx, u)
}

// deliver passes u to the mirror, and through the cache to Deliver.
func (w *Watch) deliver(ctx context.Context, u Update) error {
	w.loaded = w.loaded || u.Err == nil
	if w.Mirror != nil {
		w.Mirror.apply(u)
	}
	return w.Deliver(ctx, w.StoreCache.Apply(u))
}
