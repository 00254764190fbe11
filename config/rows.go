package config

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// OpsRows holds the operators' rows by key, see DataCentreKey, VMKey and TargetKey.
type OpsRows map[string]OpsRow

// State returns the state of the row at key. A missing row means in service.
func (r OpsRows) State(key string) OpsState {
	if row, ok := r[key]; ok {
		return row.State
	}
	return OpsIn
}

// TargetInService reports whether operators let t of service s take new work.
func (r OpsRows) TargetInService(s types.Service, t Target) bool {
	id := types.TargetID{Service: s, Target: t.Name}
	return r.State(DataCentreKey(t.DataCentre)).AcceptsNewWork() && r.State(TargetKey(id)).AcceptsNewWork()
}

// CheckOps reports what would be left without any target if key went to state, as settings.Problems with code
// bad-configuration. Bringing something back is never refused.
func CheckOps(c Configuration, rows OpsRows, key string, state OpsState) error {
	if state.AcceptsNewWork() {
		return nil
	}
	after := OpsRows{key: OpsRow{OpsChange: OpsChange{State: state}}}
	for k, row := range rows {
		if k != key {
			after[k] = row
		}
	}
	var p settings.Problems
	for _, s := range c.Services {
		before, left := rows.targetsInService(s), after.targetsInService(s)
		if before > 0 && left == 0 {
			p.Add(types.CodeBadConfiguration, "services."+string(s.Name), "none of %d targets would be left in service", len(s.Targets))
		}
	}
	return p.Err()
}

func (r OpsRows) targetsInService(s Service) int {
	n := 0
	for _, t := range s.Targets {
		if r.TargetInService(s.Name, t) {
			n++
		}
	}
	return n
}

// KnowsOps returns a not-found fault when key names a data centre or target that c does not have. VMs are not part of
// the configuration.
func KnowsOps(c Configuration, key string) error {
	kind, name, err := SplitOpsKey(key)
	if err != nil {
		return err
	}
	for _, known := range opsNames(c, kind) {
		if known == name {
			return nil
		}
	}
	if kind == OpsVM {
		return nil
	}
	return types.NewFault(types.CodeNotFound, "no %s named %q in version %d", kind, name, c.Version)
}

func opsNames(c Configuration, kind OpsKind) []string {
	var names []string
	if kind == OpsDataCentre {
		for _, d := range c.DataCentres {
			names = append(names, string(d.Name))
		}
		return names
	}
	for _, s := range c.Services {
		for _, t := range s.Targets {
			names = append(names, types.TargetID{Service: s.Name, Target: t.Name}.String())
		}
	}
	return names
}
