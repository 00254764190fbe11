package operator

import (
	"context"
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// settlePause is the time between attempts to read back a write whose answer was lost. The store answers within
// milliseconds, so a shorter pause only adds calls to a store that is in trouble.
const settlePause = 200 * time.Millisecond

// writeResult is what became of a write.
type writeResult uint8

const (
	// resultApplied means that the write took effect and is the newest one of its key.
	resultApplied writeResult = iota
	// resultReplaced means that the write took effect and another one followed.
	resultReplaced
	// resultRefused means that another write came first. This one never took effect.
	resultRefused
)

// recordLookup reports whether the history of a key holds the write. newest is the entry that is there instead.
type recordLookup func(ctx context.Context, newest store.Entry) (bool, error)

// put performs w and settles a lost answer. It returns an answer-lost fault when ctx ends before the fate is known.
func (o *Operator) put(ctx context.Context, w store.Write, known recordLookup) (writeResult, types.Revision, error) {
	lost := false
	for {
		revision, err := o.Store.CAS(ctx, w)
		code := types.CodeOf(err)
		switch {
		case err == nil:
			return resultApplied, revision, nil
		case lost || code == types.CodeAnswerLost:
			lost = true
		case code == types.CodeConflict:
			return resultRefused, 0, nil
		default:
			return resultRefused, 0, err // the store promises that nothing was written
		}
		f, revision, again, err := o.settle(ctx, w, known)
		if err != nil || !again {
			return f, revision, err
		}
	}
}

// settle reads back a write whose answer was lost. again is true when the key still has the expected revision: the write
// has not arrived, and sending it once more is safe, since at most one of both can match that revision.
func (o *Operator) settle(ctx context.Context, w store.Write, known recordLookup) (r writeResult, at types.Revision, again bool, err error) {
	e, err := o.readBack(ctx, w.Key)
	if err != nil {
		return resultRefused, 0, false, lostFault(w, err)
	}
	if e.WriteID == w.WriteID {
		return resultApplied, e.Revision, false, nil
	}
	if e.Revision == w.Expected {
		if err := waitFor(ctx, settlePause); err != nil {
			return resultRefused, 0, false, lostFault(w, err)
		}
		return resultRefused, 0, true, nil
	}
	held, err := known(ctx, e)
	if err != nil {
		return resultRefused, 0, false, lostFault(w, err)
	}
	if held {
		return resultReplaced, e.Revision, false, nil
	}
	return resultRefused, 0, false, nil
}

// readBack reads key until the store answers. A missing key has revision 0.
func (o *Operator) readBack(ctx context.Context, key string) (store.Entry, error) {
	for {
		e, err := o.Store.Get(ctx, key)
		if err == nil {
			return e, nil
		}
		if isNotFound(err) {
			return store.Entry{}, nil
		}
		if err := waitFor(ctx, settlePause); err != nil {
			return store.Entry{}, err
		}
	}
}

func lostFault(w store.Write, cause error) error {
	return types.WrapFault(types.CodeAnswerLost, cause,
		"the store did not say whether it took write %s to %s; look at the key's history once it answers", w.WriteID, w.Key)
}
