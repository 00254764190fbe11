package operator

import (
	"context"
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// readBackInterval is the time between attempts to read back a write whose answer was lost, and the delay before a
// watch lists its prefix again. The store normally answers within milliseconds, so a shorter interval would only add
// load to a store that is failing.
const readBackInterval = 200 * time.Millisecond

// writeResult is the result of a write to the store.
type writeResult uint8

const (
	// resultApplied means that the write took effect and is the newest one of its key.
	resultApplied writeResult = iota
	// resultReplaced means that the write took effect and a later write has replaced it.
	resultReplaced
	// resultConflict means that another write came first and this one did not take effect.
	resultConflict
)

// historyLookup reports whether a write whose answer was lost took effect before a later write replaced it. newest is
// the entry that the key now holds.
type historyLookup func(ctx context.Context, newest store.Entry) (bool, error)

// write performs w. If the store's answer is lost, it reads the key back and repeats the write if it has not arrived.
// From then on every error is resolved by reading back: a conflict can mean that the first copy of the write arrived
// late. It returns an answer-lost fault when ctx ends before the result is known.
func (o *Operator) write(ctx context.Context, w store.Write, inHistory historyLookup) (writeResult, types.Revision, error) {
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
			return resultConflict, 0, nil
		default:
			return resultConflict, 0, err // for other codes, the store guarantees that nothing was written
		}
		result, revision, again, err := o.resolveLostAnswer(ctx, w, inHistory)
		if err != nil || !again {
			return result, revision, err
		}
	}
}

// resolveLostAnswer finds out whether w took effect, by reading its key and, if needed, the history. again is true when the
// key still has the expected revision, so the write has not arrived. Repeating it is safe: at most one of the two can
// match that revision.
func (o *Operator) resolveLostAnswer(ctx context.Context, w store.Write, inHistory historyLookup) (result writeResult, at types.Revision, again bool, err error) {
	e, err := o.readBack(ctx, w.Key)
	if err != nil {
		return resultConflict, 0, false, answerLostFault(w, err)
	}
	if e.WriteID == w.WriteID {
		return resultApplied, e.Revision, false, nil
	}
	if e.Revision == w.Expected {
		if err := sleep(ctx, readBackInterval); err != nil {
			return resultConflict, 0, false, answerLostFault(w, err)
		}
		return resultConflict, 0, true, nil
	}
	found, err := inHistory(ctx, e)
	if err != nil {
		return resultConflict, 0, false, answerLostFault(w, err)
	}
	if found {
		return resultReplaced, e.Revision, false, nil
	}
	return resultConflict, 0, false, nil
}

// readBack reads key, and tries again until the store answers. It returns the zero Entry for a missing key.
func (o *Operator) readBack(ctx context.Context, key string) (store.Entry, error) {
	for {
		e, err := o.Store.Get(ctx, key)
		if err == nil {
			return e, nil
		}
		if isNotFound(err) {
			return store.Entry{}, nil
		}
		if err := sleep(ctx, readBackInterval); err != nil {
			return store.Entry{}, err
		}
	}
}

// answerLostFault returns the fault for a write whose result could not be determined.
func answerLostFault(w store.Write, cause error) error {
	return types.WrapFault(types.CodeAnswerLost, cause,
		"the store did not confirm or refuse write %s to %s; check the history of the key when the store answers again", w.WriteID, w.Key)
}
