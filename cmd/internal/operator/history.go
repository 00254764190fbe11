package operator

import (
	"context"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Record reads the history record of version v. It returns a not-found fault if there is none.
func (o *Operator) Record(ctx context.Context, v types.Version) (config.Record, error) {
	e, err := o.Store.Get(ctx, config.HistoryKey(v))
	if err != nil {
		return config.Record{}, err
	}
	return config.ParseRecord(e.Value)
}

// History returns the records of the newest count versions, at most MaxHistoryRecords, newest first. Versions without a
// record are left out.
func (o *Operator) History(ctx context.Context, count int) ([]config.Record, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	records := []config.Record{}
	lowest := int64(current.Configuration.Version) - int64(min(count, MaxHistoryRecords))
	for v := int64(current.Configuration.Version); v > max(lowest, 0); v-- {
		r, err := o.Record(ctx, types.Version(v))
		if isNotFound(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Reapply puts the content of the earlier version v in force as a new version, if the version in force is expect.
func (o *Operator) Reapply(ctx context.Context, v, expect types.Version, note string) (ApplyResult, error) {
	r, err := o.Record(ctx, v)
	if isNotFound(err) {
		return ApplyResult{}, types.WrapFault(types.CodeNotFound, err, "the history does not hold version %d", v)
	}
	if err != nil {
		return ApplyResult{}, err
	}
	return o.Apply(ctx, ApplyRequest{Configuration: r.Configuration, Expect: expect, Note: note, ReapplyOf: v})
}

// ensureRecord writes the history record of the version in force if it is missing, because its writer failed before
// writing it. Without the record, the next version would erase the content and the result of that write.
func (o *Operator) ensureRecord(ctx context.Context, s StoredConfiguration) error {
	if s.Configuration.Version == 0 {
		return nil
	}
	return o.writeRecord(ctx, config.Record{
		Version: s.Configuration.Version, WriteID: s.WriteID, Configuration: s.Configuration,
	})
}

// writeRecord stores r if the history has no record of its version. If another operator wrote the record without knowing
// who applied the version (see ensureRecord), it is replaced by r, which names that operator.
func (o *Operator) writeRecord(ctx context.Context, r config.Record) error {
	e, err := o.Store.Get(ctx, config.HistoryKey(r.Version))
	if err != nil && !isNotFound(err) {
		return err
	}
	if err == nil && !completesRecord(r, e) {
		return nil
	}
	w := store.Write{Key: config.HistoryKey(r.Version), Expected: e.Revision, Value: r.Encode(), WriteID: o.NewWriteID()}
	result, _, err := o.write(ctx, w, func(context.Context, store.Entry) (bool, error) { return true, nil })
	if err == nil && result == resultConflict && r.Operator != "" {
		return o.writeRecord(ctx, r)
	}
	return err
}

// completesRecord reports whether the stored record e belongs to the same write as r and lacks the operator that r names.
func completesRecord(r config.Record, e store.Entry) bool {
	old, err := config.ParseRecord(e.Value)
	return err == nil && old.WriteID == r.WriteID && old.Operator == "" && r.Operator != ""
}

// hasRecord reports whether the history record of version v has the write identifier writeID.
func (o *Operator) hasRecord(ctx context.Context, v types.Version, writeID string) (bool, error) {
	r, err := o.Record(ctx, v)
	if isNotFound(err) {
		return false, nil
	}
	return err == nil && r.WriteID == writeID, err
}

// pruneHistory deletes the record that is MaxHistoryRecords versions older than newest. Errors are ignored: a record that
// stays only takes up space.
func (o *Operator) pruneHistory(ctx context.Context, newest types.Version) {
	if newest <= MaxHistoryRecords {
		return
	}
	key := config.HistoryKey(newest - MaxHistoryRecords)
	e, err := o.Store.Get(ctx, key)
	if err != nil {
		return
	}
	_, _ = o.Store.CAS(ctx, store.Write{Key: key, Expected: e.Revision, Delete: true, WriteID: o.NewWriteID()})
}
