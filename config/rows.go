package config

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// OpsRows holds the operators' rows by key, see DataCentreKey, VMKey and TargetKey.
type OpsRows map[string]OpsRow

// State returns the state of the row at key, or OpsIn when there is no row.
func (r OpsRows) State(key string) OpsState {
	if row, ok := r[key]; ok {
		return row.State
	}
	return OpsIn
}

// TargetInService reports whether target t of service s may get new work: neither its data centre nor the target itself
// has been taken out of service.
func (r OpsRows) TargetInService(s types.Service, t Target) bool {
	id := types.TargetID{Service: s, Target: t.Name}
	return r.State(DataCentreKey(t.DataCentre)).AcceptsNewWork() && r.State(TargetKey(id)).AcceptsNewWork()
}

// CheckRemainingTargets reports the services that would have no target in service if the row at key got the given state,
// as settings.Problems with code bad-configuration. Returning an object to service is always accepted.
func CheckRemainingTargets(c Configuration, rows OpsRows, key string, state OpsState) error {
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

// targetsInService returns the number of targets of s that may get new work.
func (r OpsRows) targetsInService(s Service) int {
	n := 0
	for _, t := range s.Targets {
		if r.TargetInService(s.Name, t) {
			n++
		}
	}
	return n
}

// CheckOpsKey returns a not-found fault when key names a data centre or target that c does not have. Any VM name is
// accepted, since VMs are not part of the configuration.
func CheckOpsKey(c Configuration, key string) error {
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

// opsNames returns the names of the data centres of c for OpsDataCentre, else those of its targets.
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
