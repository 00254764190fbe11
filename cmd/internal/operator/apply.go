package operator

import (
	"context"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// MaxHistoryRecords is the number of versions that the history keeps. The record of a present customer's configuration
// takes 5 KB, so the history takes 0.5 MB. It must stay small, because a process lists the whole store, history
// included, when it starts.
const MaxHistoryRecords = 100

// ApplyRequest is a request to put a configuration in force.
type ApplyRequest struct {
	Configuration config.Configuration
	// Expect is the version that must be in force for the request to succeed. 0 means none.
	Expect types.Version
	// Note is the reason, for the history. Optional.
	Note string
	// ReapplyOf is the earlier version whose content the request puts in force again, or 0.
	ReapplyOf types.Version
}

// ApplyResult is the result of Apply.
type ApplyResult struct {
	// Version is the new version, or the version in force when Unchanged is true.
	Version types.Version `json:"version"`
	// WriteID identifies the write of the configuration. It is empty when Unchanged is true.
	WriteID string `json:"writeId,omitempty"`
	// Unchanged is true when the content was already in force and nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	// ReplacedBy is a later version that replaced this one before its result was known, or 0.
	ReplacedBy types.Version `json:"replacedBy,omitempty"`
	// RecordMissing is true when the history record could not be written. The next accepted version writes it.
	RecordMissing bool `json:"recordMissing,omitempty"`
}

// Apply puts r.Configuration in force if the version in force is r.Expect. It returns a conflict fault if another
// version is in force, and an answer-lost fault if it cannot find out in time whether the write took effect.
func (o *Operator) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	inForce := current.Configuration.Version
	if inForce != r.Expect {
		return ApplyResult{}, o.conflictFault(ctx, r.Expect, inForce)
	}
	if inForce > 0 && config.Diff(current.Configuration, r.Configuration).Empty() {
		return ApplyResult{Version: inForce, Unchanged: true}, nil
	}
	if err := o.ensureRecord(ctx, current); err != nil {
		return ApplyResult{}, err
	}
	next, err := o.nextVersion(ctx, inForce)
	if err != nil {
		return ApplyResult{}, err
	}
	return o.writeConfiguration(ctx, current, r, next)
}

// writeConfiguration stores r.Configuration as version next in place of current, and updates the history.
func (o *Operator) writeConfiguration(ctx context.Context, current StoredConfiguration, r ApplyRequest, next types.Version) (ApplyResult, error) {
	record := config.Record{
		Version: next, Operator: o.Name, Note: r.Note, At: o.historyTime(), WriteID: o.NewWriteID(), ReapplyOf: r.ReapplyOf,
		Configuration: r.Configuration.WithVersion(next),
	}
	w := store.Write{
		Key: config.KeyCurrent, Expected: current.Revision, Value: config.Canonical(record.Configuration), WriteID: record.WriteID,
	}
	out := ApplyResult{Version: next, WriteID: record.WriteID}
	result, _, err := o.write(ctx, w, func(ctx context.Context, newest store.Entry) (bool, error) {
		out.ReplacedBy = storedVersion(newest)
		return o.hasRecord(ctx, next, record.WriteID)
	})
	if err != nil {
		return ApplyResult{}, err
	}
	switch result {
	case resultConflict:
		return ApplyResult{}, o.readConflict(ctx, r.Expect)
	case resultApplied:
		out.ReplacedBy = 0
	}
	out.RecordMissing = o.writeRecord(ctx, record) != nil
	o.pruneHistory(ctx, next)
	return out, nil
}

// storedVersion returns the version of a stored configuration, or 0 if it cannot be parsed.
func storedVersion(e store.Entry) types.Version {
	c, err := config.Parse(e.Value)
	if err != nil {
		return 0
	}
	return c.Version
}

// readConflict reads the version in force and returns the conflict fault for it.
func (o *Operator) readConflict(ctx context.Context, expect types.Version) error {
	current, err := o.Current(ctx)
	if err != nil {
		return types.WrapFault(types.CodeConflict, err, "another operator replaced version %d first", expect)
	}
	return o.conflictFault(ctx, expect, current.Configuration.Version)
}

// conflictFault returns a conflict fault that names the version in force and, if known, who applied it.
func (o *Operator) conflictFault(ctx context.Context, expect, inForce types.Version) error {
	by := ""
	if r, err := o.Record(ctx, inForce); err == nil && r.Operator != "" {
		by = ", applied by " + r.Operator + " at " + r.At
	}
	return types.NewFault(types.CodeConflict, "version %d is in force%s, not %d; nothing was changed", inForce, by, expect)
}

// nextVersion returns the first version above inForce that is not in the history and above every version that a process
// follows. The history or a process is ahead of inForce only if the store lost data or was restored from an older copy.
// Such versions must not be reused, because processes refuse a version that they have seen with other content.
func (o *Operator) nextVersion(ctx context.Context, inForce types.Version) (types.Version, error) {
	for _, r := range o.queryReachable(ctx) {
		inForce = max(inForce, types.Version(r.Status.ConfigVersion))
	}
	for v := inForce + 1; ; v++ {
		_, err := o.Store.Get(ctx, config.HistoryKey(v))
		if isNotFound(err) {
			return v, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// queryReachable returns the reports of the processes that answer. It returns none when there is no fleet.
func (o *Operator) queryReachable(ctx context.Context) []StatusReport {
	if o.Fleet == nil {
		return nil
	}
	return slices.DeleteFunc(o.Fleet.Query(ctx), func(r StatusReport) bool { return r.Err != nil })
}
