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
	// firstStoreRetry is how long a watch waits after the first call that failed, storeRetry the longest wait. Up to the same
	// time is added, so that VMs do not retry at the same time.
	firstStoreRetry = 60 * time.Millisecond
	storeRetry      = 250 * time.Millisecond
	// firstListTimeout bounds the first read of a prefix, listTimeout is the longest bound. A prefix with many pages needs more
	// than the first. The store client bounds each page, so that a silent store is noticed sooner.
	firstListTimeout = 500 * time.Millisecond
	listTimeout      = 30 * time.Second
)

// update is a message to the store cache with entries or changes of a prefix. It comes from a watch, the auditor or the
// mirror client.
type update struct {
	prefix string
	// order is the number of the order of a watch, 0 for other sources.
	order int
	// snapshot is true when entries holds all keys of the prefix.
	snapshot bool
	// audit is true for a read by the auditor.
	audit bool
	// mirrored is true if the entries come from another VM and not from the store.
	mirrored bool
	// changes is true if events holds all changes of another VM's copy up to revision, which then has the given hash.
	changes bool
	hash    uint64
	// same is true if the other VM's copy is the same as this VM's was at the given revision. No entries are sent then.
	same bool
	// age is how long ago the other VM's copy was proved to be current, graceLeft how long it still keeps missing registrations.
	age       time.Duration
	graceLeft time.Duration
	entries   []store.Entry
	// revision is the store's revision of a snapshot.
	revision types.Revision
	events   []store.Event
	// err is the fault of a failed call.
	err error
}

// watchOrder makes a watch follow its prefix until ctx ends.
type watchOrder struct {
	ctx context.Context
	// number identifies the order in the updates that result from it.
	number int
}

// watch follows the changes of one prefix of the store on the orders of the store cache.
type watch struct {
	name   string
	prefix string
	// spacing is the pause between two watch calls.
	spacing time.Duration
	// orders holds the latest order.
	orders *ring.Ring[watchOrder]
	store  store.Store
	out    *ring.Ring[any]
	log    *telemetry.Log
	jitter func(time.Duration) time.Duration
}

func (w *watch) duty() duty.Duty { return duty.Duty{Name: "watch-" + w.name, Run: w.run} }

func (w *watch) run(ctx context.Context) error {
	w.orders.Serve(ctx, func(o watchOrder) error {
		orderCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(o.ctx, cancel)()
		w.perform(orderCtx, o.number)
		return nil
	})
	return nil
}

// perform follows the prefix until ctx ends. After failures it starts again, first at once and then with longer timeouts and
// pauses, because every call costs money.
func (w *watch) perform(ctx context.Context, order int) {
	unavailable := false
	timeout, retry := firstListTimeout, firstStoreRetry
	for ctx.Err() == nil {
		listed, err := w.follow(ctx, order, timeout, &unavailable)
		if ctx.Err() != nil {
			return
		}
		if listed {
			timeout, retry = firstListTimeout, firstStoreRetry
		}
		if types.CodeOf(err) != types.CodeNotFound && !unavailable {
			unavailable = true
			w.log.Warn("store does not answer", log.Fields{"prefix": w.prefix, "error": err.Error()})
		}
		if w.out.Put(ctx, update{prefix: w.prefix, order: order, err: err}) != nil {
			return
		}
		duty.Pause(ctx, retry+w.jitter(retry))
		timeout, retry = min(2*timeout, listTimeout), min(2*retry, storeRetry)
	}
}

// follow lists the prefix and watches it from that revision until a call fails. unavailable tells whether the previous call
// failed; follow resets it. listed is true if the list was answered.
func (w *watch) follow(ctx context.Context, order int, timeout time.Duration, unavailable *bool) (listed bool, err error) {
	listCtx, cancel := context.WithTimeout(ctx, timeout)
	entries, revision, err := w.store.List(listCtx, w.prefix)
	cancel()
	if err != nil {
		return false, err
	}
	if *unavailable {
		*unavailable = false
		w.log.Info("store answers again", log.Fields{"prefix": w.prefix, "revision": revision})
	}
	u := update{prefix: w.prefix, order: order, snapshot: true, entries: entries, revision: revision}
	if err := w.out.Put(ctx, u); err != nil {
		return true, err
	}
	for {
		events, next, err := w.store.Watch(ctx, w.prefix, revision)
		if err != nil {
			return true, err
		}
		revision = max(revision, next)
		if err := w.out.Put(ctx, update{prefix: w.prefix, order: order, events: events}); err != nil {
			return true, err
		}
		if !duty.Pause(ctx, w.spacing) {
			return true, types.WrapFault(types.CodeCancelled, ctx.Err(), "watch")
		}
	}
}
