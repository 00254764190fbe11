package operator

import (
	"context"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Decision is an operator's decision about a data centre, VM or target.
type Decision struct {
	// Key is the row's key, see config.DataCentreKey, VMKey and TargetKey.
	Key   string
	State config.OpsState
	// Note says why. Optional.
	Note string
	// Force skips the check that every service keeps a target in service, and writes the row in any case, with a version
	// above all that processes may have seen: for a damaged row and for a store that lost data.
	Force bool
}

// DecisionResult says what became of a decision.
type DecisionResult struct {
	Key     string          `json:"key"`
	Version types.Version   `json:"version"`
	State   config.OpsState `json:"state"`
	// Revision is the store revision of the row.
	Revision types.Revision `json:"revision"`
	// Unchanged is true when the row had the state already and nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	// ReplacedBy is the decision that followed before the answer arrived, if any.
	ReplacedBy *config.OpsChange `json:"replacedBy,omitempty"`
}

// Decide writes the row of d. It returns a not-found fault for an unknown name, settings.Problems when a service would
// have no target left, and a conflict fault that names the other operator when a different decision came first.
func (o *Operator) Decide(ctx context.Context, d Decision) (DecisionResult, error) {
	if err := o.permitted(ctx, d); err != nil {
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
	next := row.Next(config.OpsChange{State: d.State, Operator: o.Name, Note: d.Note, At: o.timestamp(), WriteID: o.NewWriteID()})
	if d.Force {
		next.Version = max(next.Version, o.forcedVersion())
	}
	return o.writeRow(ctx, d, next, at)
}

// forcedVersion returns the wall clock in seconds. Versions count single decisions, so no row reaches it otherwise, and a
// later forced one is above an earlier one.
func (o *Operator) forcedVersion() types.Version { return types.Version(max(o.Now().Unix(), 0)) }

// permitted checks the name and what would be left in service.
func (o *Operator) permitted(ctx context.Context, d Decision) error {
	now, err := o.Current(ctx)
	if err != nil {
		return err
	}
	if err := config.CheckOpsKey(now.Configuration, d.Key); err != nil {
		return err
	}
	if d.Force {
		return nil
	}
	rows, err := o.Rows(ctx)
	if err != nil {
		return err
	}
	return config.CheckRemainingTargets(now.Configuration, rows, d.Key, d.State)
}

func (o *Operator) writeRow(ctx context.Context, d Decision, next config.OpsRow, at types.Revision) (DecisionResult, error) {
	var newest config.OpsRow
	w := store.Write{Key: d.Key, Expected: at, Value: next.Encode(), WriteID: next.WriteID}
	f, revision, err := o.put(ctx, w, func(_ context.Context, e store.Entry) (bool, error) {
		var err error
		newest, err = config.ParseOpsRow(e.Value)
		_, held := newest.Find(next.WriteID)
		return held, err
	})
	if err != nil {
		return DecisionResult{}, err
	}
	out := DecisionResult{Key: d.Key, Version: next.Version, State: d.State, Revision: revision}
	switch f {
	case resultRefused:
		return o.lostRace(ctx, d)
	case resultReplaced:
		out.ReplacedBy = &newest.OpsChange
	}
	return out, nil
}

// lostRace reports who came first. Both operators wanting the same is no conflict.
func (o *Operator) lostRace(ctx context.Context, d Decision) (DecisionResult, error) {
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

// row reads one row and its store revision. The version is 0 when there is none.
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

// Rows reads all operators' rows. A damaged row is an error, since it may hold that something is out of service.
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
