package dispatcher

import (
	"context"
	"strconv"
	"time"

	"sequoiasail.example/daemon/process"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	writerRingCapacity = 256
	writeTimeout       = time.Second
	// revisionReadInterval is half of the default duration of a renewal permit (500 ms), so that one lost read does not
	// end the permit.
	revisionReadInterval = 250 * time.Millisecond
	revisionReadTimeout  = 400 * time.Millisecond
	// revisionReadPrefix is a prefix without keys: a list of it returns only the revision of the store.
	revisionReadPrefix = "freshness/"
)

// writer makes the compare-and-swap and read calls to the store that the ownership core requests.
type writer struct {
	store store.Store
	in    *ring.Ring[ownership.Action]
	out   *ring.Ring[leaseInput]
}

func (w *writer) duty() duty.Duty {
	return duty.Duty{
		Name: "store-writer",
		Run:  w.run,
		Stop: func(context.Context) error { w.in.Close(); return nil },
	}
}

func (w *writer) run(ctx context.Context) error {
	w.in.Serve(ctx, func(a ownership.Action) error {
		message := w.readBack
		if a.Kind == ownership.ActWrite {
			message = w.write
		}
		return w.out.Put(ctx, leaseInput{message: message(ctx, a.Write)})
	})
	return nil
}

func (w *writer) write(ctx context.Context, write ownership.Write) ownership.Message {
	result := ownership.WriteResult{Key: write.Document.Key, ID: write.ID, Status: ownership.WriteNotSent}
	value, err := process.EncodeDocument(write.Document)
	if err == nil {
		result.Store, err = w.cas(ctx, write, value)
		result.Status = writeStatus(err)
	}
	return ownership.Message{Kind: ownership.KindWriteResult, Write: result}
}

func (w *writer) cas(ctx context.Context, write ownership.Write, value []byte) (types.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return w.store.CAS(ctx, store.Write{
		Key:      write.Document.Key.String(),
		Expected: write.Document.Store,
		Value:    value,
		WriteID:  encodeWriteID(write.ID),
	})
}

func encodeWriteID(id ownership.WriteID) string {
	return string(id.Peer.VM) + "-" + strconv.FormatUint(uint64(id.Peer.Incarnation), 36) + "-w" + strconv.FormatUint(id.Number, 36)
}

func writeStatus(err error) ownership.WriteStatus {
	if err == nil {
		return ownership.WriteConfirmed
	}
	switch types.CodeOf(err) {
	case types.CodeConflict:
		return ownership.WriteConflict
	case types.CodeStoreUnavailable, types.CodeBadRequest, types.CodeNotFound:
		return ownership.WriteNotSent
	default:
		return ownership.WriteUnknown
	}
}

func (w *writer) readBack(ctx context.Context, write ownership.Write) ownership.Message {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := write.Document.Key
	result := ownership.ReadBackResult{Document: ownership.Document{Key: key}}
	entry, err := w.store.Get(ctx, key.String())
	if err == nil {
		result.Document, _, err = process.DecodeDocument(store.Event{Entry: entry})
	}
	result.Failed = err != nil && types.CodeOf(err) != types.CodeNotFound
	if result.Failed {
		result.Document = ownership.Document{Key: key}
	}
	return ownership.Message{Kind: ownership.KindReadBack, ReadBack: result}
}

// revisionReader reads the store's revision every revisionReadInterval. An answered read shows that this dispatcher can
// reach the store, and can extend the renewal permit.
type revisionReader struct {
	store store.Store
	out   *ring.Ring[leaseInput]
}

func (r *revisionReader) duty() duty.Duty {
	return duty.Duty{Name: "store-freshness", Run: r.run}
}

func (r *revisionReader) run(ctx context.Context) error {
	tick := time.NewTicker(revisionReadInterval)
	defer tick.Stop()
	for {
		if err := r.out.Put(ctx, r.read(ctx)); err != nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *revisionReader) read(ctx context.Context) leaseInput {
	ctx, cancel := context.WithTimeout(ctx, revisionReadTimeout)
	defer cancel()
	sentAt := telemetry.Now()
	_, revision, err := r.store.List(ctx, revisionReadPrefix)
	if err != nil {
		return leaseInput{message: ownership.Message{Kind: ownership.KindStoreFailed}}
	}
	return leaseInput{storeRead: &revisionRead{sentAt: sentAt, revision: revision}}
}
