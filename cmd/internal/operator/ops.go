package operator

import (
	"context"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Decision sets the service state of a data centre, VM or target. It is stored as a row of the operators' table in the
// store.
type Decision struct {
	// Key is the key of the row; see config.DataCentreKey, VMKey and TargetKey.
	Key string
	// State is the new state.
	State config.OpsState
	// Note is the reason. Optional.
	Note string
	// Force skips the check that every service keeps a target in service, and always writes the row, with a version above
	// any that processes may have seen. It is meant for damaged rows and for a store that lost data.
	Force bool
}

// DecisionResult is the result of Decide.
type DecisionResult struct {
	Key     string          `json:"key"`
	Version types.Version   `json:"version"`
	State   config.OpsState `json:"state"`
	// Revision is the store revision of the row.
	Revision types.Revision `json:"revision"`
	// Unchanged is true when the row already had the state and nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	// ReplacedBy is a later decision that replaced this one before its result was known, if any.
	ReplacedBy *config.OpsChange `json:"replacedBy,omitempty"`
}

// Decide writes the row of d. It returns a not-found fault for an unknown name, settings.Problems when a service would
// have no target left, and a conflict fault that names the other operator when a different decision was written first.
func (o *Operator) Decide(ctx context.Context, d Decision) (DecisionResult, error) {
	if err := o.checkDecision(ctx, d); err != nil {
		return DecisionResult{}, err
	}
	row, at, err := o.row(ctx, d.Key)
	damaged := d.Force && at > 0 && err != nil
	if err != nil && !damaged {
		return DecisionResult{}, err
	}
	if !d.Force && (row.State == d.State || row.Version == 0 && d.State == config.OpsIn) {
		return DecisionResult{Key: d.Key, Version: row.Version, State: d.State, Revision: at, Unchanged: true}, nil
	}
	next := row.Next(config.OpsChange{State: d.State, Operator: o.Name, Note: d.Note, At: o.historyTime(), WriteID: o.NewWriteID()})
	if d.Force {
		next.Version = max(next.Version, o.forcedVersion())
	}
	return o.writeRow(ctx, d, next, at)
}

// forcedVersion returns the wall-clock time in Unix seconds. Other versions count single decisions and never get that
// high, and a later forced version is above an earlier one.
func (o *Operator) forcedVersion() types.Version { return types.Version(max(o.Now().Unix(), 0)) }

// checkDecision checks that the name of d exists and, unless d is forced, that every service keeps a target in service.
func (o *Operator) checkDecision(ctx context.Context, d Decision) error {
	current, err := o.Current(ctx)
	if err != nil {
		return err
	}
	if err := config.CheckOpsKey(current.Configuration, d.Key); err != nil {
		return err
	}
	if d.Force {
		return nil
	}
	rows, err := o.Rows(ctx)
	if err != nil {
		return err
	}
	return config.CheckRemainingTargets(current.Configuration, rows, d.Key, d.State)
}

// writeRow writes next if the row still has the store revision at.
func (o *Operator) writeRow(ctx context.Context, d Decision, next config.OpsRow, at types.Revision) (DecisionResult, error) {
	var newest config.OpsRow
	w := store.Write{Key: d.Key, Expected: at, Value: next.Encode(), WriteID: next.WriteID}
	result, revision, err := o.write(ctx, w, func(_ context.Context, e store.Entry) (bool, error) {
		var err error
		newest, err = config.ParseOpsRow(e.Value)
		_, found := newest.Find(next.WriteID)
		return found, err
	})
	if err != nil {
		return DecisionResult{}, err
	}
	out := DecisionResult{Key: d.Key, Version: next.Version, State: d.State, Revision: revision}
	switch result {
	case resultConflict:
		return o.resolveConflict(ctx, d)
	case resultReplaced:
		out.ReplacedBy = &newest.OpsChange
	}
	return out, nil
}

// resolveConflict returns the result after another operator's write came first: a conflict fault that names that operator,
// or success when both wrote the same state.
func (o *Operator) resolveConflict(ctx context.Context, d Decision) (DecisionResult, error) {
	row, at, err := o.row(ctx, d.Key)
	if err != nil {
		return DecisionResult{}, types.WrapFault(types.CodeConflict, err, "another operator changed %s first", d.Key)
	}
	if row.State == d.State {
		return DecisionResult{Key: d.Key, Version: row.Version, State: d.State, Revision: at, Unchanged: true}, nil
	}
	return DecisionResult{}, types.NewFault(types.CodeConflict, "%s set %s to %s at %s first; nothing was changed",
		row.Operator, d.Key, row.State, row.At)
}

// row reads one row and its store revision. Both are zero when there is none. For a damaged row it returns a fault
// together with the store revision.
func (o *Operator) row(ctx context.Context, key string) (config.OpsRow, types.Revision, error) {
	e, err := o.Store.Get(ctx, key)
	if isNotFound(err) {
		return config.OpsRow{}, 0, nil
	}
	if err != nil {
		return config.OpsRow{}, 0, err
	}
	r, err := config.ParseOpsRow(e.Value)
	if err != nil {
		return config.OpsRow{}, e.Revision, types.WrapFault(types.CodeBadConfiguration, err, "the row %s is damaged", key)
	}
	return r, e.Revision, nil
}

// Rows reads all operators' rows. A damaged row is an error, because it may have taken something out of service.
func (o *Operator) Rows(ctx context.Context) (config.OpsRows, error) {
	entries, _, err := o.Store.List(ctx, config.PrefixOps)
	if err != nil {
		return nil, err
	}
	rows := config.OpsRows{}
	for _, e := range entries {
		row, err := config.ParseOpsRow(e.Value)
		if err != nil {
			return nil, types.WrapFault(types.CodeBadConfiguration, err, "the row %s is damaged", e.Key)
		}
		rows[e.Key] = row
	}
	return rows, nil
}
