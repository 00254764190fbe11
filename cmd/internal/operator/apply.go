package operator

import (
	"context"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// MaxRecords is the number of versions that the history keeps. A record of today's users takes 5 KB, so the history
// takes 0.5 MB; processes that list the whole store on start read it, so it must stay small.
const MaxRecords = 100

// Revision is a configuration that an operator wants in force.
type Revision struct {
	Configuration config.Configuration
	// Expect is the version in force that the operator has seen. 0 means none.
	Expect types.Version
	// Note says why. Optional.
	Note string
	// ReapplyOf is the earlier version that the revision repeats, or 0.
	ReapplyOf types.Version
}

// ApplyResult says what became of a revision.
type ApplyResult struct {
	Version types.Version `json:"version"`
	WriteID string        `json:"writeId,omitempty"`
	// Unchanged is true when the content was in force already and nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	// ReplacedBy is the version that followed before the answer arrived, or 0.
	ReplacedBy types.Version `json:"replacedBy,omitempty"`
	// RecordMissing is true when the history could not be written. The next accepted version writes the record.
	RecordMissing bool `json:"recordMissing,omitempty"`
}

// Apply puts r in force if the version in force is r.Expect. It returns a conflict fault when it is another, and an
// answer-lost fault when the store does not tell in time whether it took the write.
func (o *Operator) Apply(ctx context.Context, r Revision) (ApplyResult, error) {
	was, err := o.Current(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	have := was.Configuration.Version
	if have != r.Expect {
		return ApplyResult{}, o.conflict(ctx, r.Expect, have)
	}
	if have > 0 && config.Diff(was.Configuration, r.Configuration).Empty() {
		return ApplyResult{Version: have, Unchanged: true}, nil
	}
	if err := o.ensureRecord(ctx, was); err != nil {
		return ApplyResult{}, err
	}
	next, err := o.nextVersion(ctx, have)
	if err != nil {
		return ApplyResult{}, err
	}
	return o.replace(ctx, was, r, next)
}

func (o *Operator) replace(ctx context.Context, was StoredConfiguration, r Revision, next types.Version) (ApplyResult, error) {
	record := config.Record{
		Version: next, Operator: o.Name, Note: r.Note, At: o.timestamp(), WriteID: o.NewWriteID(), ReapplyOf: r.ReapplyOf,
		Configuration: r.Configuration.WithVersion(next),
	}
	w := store.Write{
		Key: config.KeyCurrent, Expected: was.Revision, Value: config.Canonical(record.Configuration), WriteID: record.WriteID,
	}
	out := ApplyResult{Version: next, WriteID: record.WriteID}
	f, _, err := o.put(ctx, w, func(ctx context.Context, newest store.Entry) (bool, error) {
		out.ReplacedBy = versionOf(newest)
		return o.recorded(ctx, next, record.WriteID)
	})
	if err != nil {
		return ApplyResult{}, err
	}
	switch f {
	case resultRefused:
		return ApplyResult{}, o.conflictNow(ctx, r.Expect)
	case resultApplied:
		out.ReplacedBy = 0
	}
	out.RecordMissing = o.writeRecord(ctx, record) != nil
	o.prune(ctx, next)
	return out, nil
}

// versionOf returns the version of a stored configuration, or 0.
func versionOf(e store.Entry) types.Version {
	c, err := config.Parse(e.Value)
	if err != nil {
		return 0
	}
	return c.Version
}

// conflictNow reads the version in force and names it in the conflict.
func (o *Operator) conflictNow(ctx context.Context, expect types.Version) error {
	now, err := o.Current(ctx)
	if err != nil {
		return types.WrapFault(types.CodeConflict, err, "another operator replaced version %d first", expect)
	}
	return o.conflict(ctx, expect, now.Configuration.Version)
}

// conflict names the version in force and who applied it.
func (o *Operator) conflict(ctx context.Context, expect, have types.Version) error {
	by := ""
	if r, err := o.Record(ctx, have); err == nil && r.Operator != "" {
		by = ", applied by " + r.Operator + " at " + r.At
	}
	return types.NewFault(types.CodeConflict, "version %d is in force%s, not %d; nothing was changed", have, by, expect)
}

// nextVersion returns the first version above have that neither the history holds nor a process follows. Those are ahead
// only if the store lost data or was restored from an older copy: processes refuse versions that they have seen with
// another content.
func (o *Operator) nextVersion(ctx context.Context, have types.Version) (types.Version, error) {
	for _, r := range o.ask(ctx) {
		have = max(have, types.Version(r.Status.ConfigVersion))
	}
	for v := have + 1; ; v++ {
		_, err := o.Store.Get(ctx, config.HistoryKey(v))
		if isNotFound(err) {
			return v, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// ask returns the reports of the processes that answer.
func (o *Operator) ask(ctx context.Context) []Report {
	if o.Fleet == nil {
		return nil
	}
	return slices.DeleteFunc(o.Fleet.Query(ctx), func(r Report) bool { return r.Err != nil })
}
