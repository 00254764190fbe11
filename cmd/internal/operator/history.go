package operator

import (
	"context"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Record reads the history record of version v. It returns a not-found fault when the history does not hold it.
func (o *Operator) Record(ctx context.Context, v types.Version) (config.Record, error) {
	e, err := o.Store.Get(ctx, config.HistoryKey(v))
	if err != nil {
		return config.Record{}, err
	}
	return config.ParseRecord(e.Value)
}

// History returns the newest count records, newest first. Versions without a record are left out.
func (o *Operator) History(ctx context.Context, count int) ([]config.Record, error) {
	now, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	records := []config.Record{}
	lowest := int64(now.Configuration.Version) - int64(min(count, MaxRecords))
	for v := int64(now.Configuration.Version); v > max(lowest, 0); v-- {
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

// Reapply puts the content of an earlier version in force as a new version.
func (o *Operator) Reapply(ctx context.Context, v, expect types.Version, note string) (ApplyResult, error) {
	r, err := o.Record(ctx, v)
	if isNotFound(err) {
		return ApplyResult{}, types.WrapFault(types.CodeNotFound, err, "the history does not hold version %d", v)
	}
	if err != nil {
		return ApplyResult{}, err
	}
	return o.Apply(ctx, Revision{Configuration: r.Configuration, Expect: expect, Note: note, ReapplyOf: v})
}

// ensureRecord writes the record of the version in force if its writer failed before it could. Otherwise the content and
// the fate of that write would be lost with the next version.
func (o *Operator) ensureRecord(ctx context.Context, s StoredConfiguration) error {
	if s.Configuration.Version == 0 {
		return nil
	}
	return o.writeRecord(ctx, config.Record{
		Version: s.Configuration.Version, WriteID: s.WriteID, Configuration: s.Configuration,
	})
}

// writeRecord stores r, or completes the record that another operator had to write without knowing who decided.
func (o *Operator) writeRecord(ctx context.Context, r config.Record) error {
	e, err := o.Store.Get(ctx, config.HistoryKey(r.Version))
	if err != nil && !isNotFound(err) {
		return err
	}
	if err == nil && !completesRecord(r, e) {
		return nil
	}
	w := store.Write{Key: config.HistoryKey(r.Version), Expected: e.Revision, Value: r.Encode(), WriteID: o.NewWriteID()}
	f, _, err := o.put(ctx, w, func(context.Context, store.Entry) (bool, error) { return true, nil })
	if err == nil && f == resultRefused && r.Operator != "" {
		return o.writeRecord(ctx, r)
	}
	return err
}

// completesRecord reports whether r names the operator that the stored record of the same write lacks.
func completesRecord(r config.Record, e store.Entry) bool {
	old, err := config.ParseRecord(e.Value)
	return err == nil && old.WriteID == r.WriteID && old.Operator == "" && r.Operator != ""
}

// recorded reports whether the record of version v belongs to the write writeID.
func (o *Operator) recorded(ctx context.Context, v types.Version, writeID string) (bool, error) {
	r, err := o.Record(ctx, v)
	if isNotFound(err) {
		return false, nil
	}
	return err == nil && r.WriteID == writeID, err
}

// prune deletes the record that the newest version pushes out of the history. Failures leave it for a later version
// with the same distance; they cost space only.
func (o *Operator) prune(ctx context.Context, newest types.Version) {
	if newest <= MaxRecords {
		return
	}
	key := config.HistoryKey(newest - MaxRecords)
	e, err := o.Store.Get(ctx, key)
	if err != nil {
		return
	}
	_, _ = o.Store.CAS(ctx, store.Write{Key: key, Expected: e.Revision, Delete: true, WriteID: o.NewWriteID()})
}
