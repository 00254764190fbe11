package process

import (
	"maps"
	"slices"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// PlannerKey is the store key of the planner lease.
const PlannerKey = "planner"

// Change is what an update of the store means to the process. Parts that did not change are nil.
type Change struct {
	Config *config.Configuration
	Ops    *Operations
	// Members holds all registered processes, ordered by key.
	Members   []Member
	Documents []ownership.Document
	// Planner is set when the holder of the planner lease changed. It is empty when nobody holds it.
	Planner  *types.VM
	Revision types.Revision
	// Err is set when the store could not be read.
	Err error
}

// Operations is what operators took out of service. What is not listed is in service.
type Operations struct {
	Revision    types.Revision
	DataCentres map[types.DataCentre]config.OpsState
	VMs         map[types.VM]config.OpsState
	Targets     map[types.TargetID]config.OpsState
}

// Knowledge decodes updates and keeps what is needed to tell changes. It is owned by the watch duty. It never
// installs a configuration or an operators' row that is older than the one it has.
type Knowledge struct {
	log       *telemetry.Log
	installed config.Installed
	ops       map[string]config.OpsRow
	members   map[string]Member
}

// NewKnowledge returns an empty knowledge.
func NewKnowledge(log *telemetry.Log) *Knowledge {
	return &Knowledge{log: log, ops: make(map[string]config.OpsRow), members: make(map[string]Member)}
}

// Apply decodes u. A value that cannot be decoded is reported and skipped; what was known of its key stays.
func (k *Knowledge) Apply(u Update) Change {
	change := Change{Revision: u.Revision, Err: u.Err}
	if u.Snapshot {
		change.Planner = new(types.VM)
	}
	membersChanged := u.Snapshot && k.forgetMissing(u.Events)
	opsChanged := false
	for _, e := range u.Events {
		switch {
		case e.Key == config.KeyCurrent:
			k.applyConfig(e, &change)
		case strings.HasPrefix(e.Key, config.PrefixOps):
			opsChanged = k.applyOps(e) || opsChanged
		case e.Key == PlannerKey:
			change.Planner = plannerOf(e)
		case strings.HasPrefix(e.Key, memberPrefix):
			membersChanged = k.applyMember(e) || membersChanged
		default:
			k.applyDocument(e, &change)
		}
	}
	if opsChanged || u.Snapshot {
		change.Ops = k.operations(u.Revision)
	}
	if membersChanged || u.Snapshot {
		change.Members = k.memberList()
	}
	return change
}

func plannerOf(e store.Event) *types.VM {
	var vm types.VM
	if !e.Deleted {
		vm = types.VM(e.Value)
	}
	return &vm
}

func (k *Knowledge) forgetMissing(events []store.Event) bool {
	present := make(map[string]bool, len(events))
	for _, e := range events {
		present[e.Key] = true
	}
	before := len(k.members)
	maps.DeleteFunc(k.members, func(key string, _ Member) bool { return !present[key] })
	return len(k.members) != before
}

func (k *Knowledge) applyConfig(e store.Event, change *Change) {
	if e.Deleted {
		return
	}
	c, err := config.Parse(e.Value)
	if err != nil {
		k.refuse(e.Key, err)
		return
	}
	installed, err := k.installed.Install(c)
	if err != nil {
		k.refuse(e.Key, err)
		return
	}
	if installed {
		k.log.Info("configuration installed", map[string]any{"version": c.Version})
		change.Config = &c
	}
}

func (k *Knowledge) applyOps(e store.Event) bool {
	if e.Deleted {
		return false
	}
	row, err := config.ParseOpsRow(e.Value)
	if err != nil {
		k.refuse(e.Key, err)
		return false
	}
	if old, known := k.ops[e.Key]; known && !row.Supersedes(old) {
		return false
	}
	k.ops[e.Key] = row
	k.log.Info("operators' decision installed", map[string]any{"key": e.Key, "state": row.State, "version": row.Version})
	return true
}

func (k *Knowledge) applyMember(e store.Event) bool {
	if e.Deleted {
		delete(k.members, e.Key)
		return true
	}
	m, _, err := ParseMember(e.Key, e.Value)
	if err != nil {
		k.refuse(e.Key, err)
		return false
	}
	if k.members[e.Key] == m {
		return false
	}
	k.members[e.Key] = m
	return true
}

func (k *Knowledge) applyDocument(e store.Event, change *Change) {
	d, ok, err := DecodeDocument(e)
	if err != nil {
		k.refuse(e.Key, err)
		return
	}
	if ok {
		change.Documents = append(change.Documents, d)
	}
}

func (k *Knowledge) refuse(key string, err error) {
	k.log.Warn("stored value refused", map[string]any{"key": key, "error": err.Error()})
}

func (k *Knowledge) memberList() []Member {
	list := make([]Member, 0, len(k.members))
	for _, key := range slices.Sorted(maps.Keys(k.members)) {
		list = append(list, k.members[key])
	}
	return list
}

func (k *Knowledge) operations(revision types.Revision) *Operations {
	o := &Operations{
		Revision:    revision,
		DataCentres: make(map[types.DataCentre]config.OpsState),
		VMs:         make(map[types.VM]config.OpsState),
		Targets:     make(map[types.TargetID]config.OpsState),
	}
	for key, row := range k.ops {
		kind, name, err := config.SplitOpsKey(key)
		if err != nil || row.State == config.OpsIn {
			continue
		}
		switch kind {
		case config.OpsDataCentre:
			o.DataCentres[types.DataCentre(name)] = row.State
		case config.OpsVM:
			o.VMs[types.VM(name)] = row.State
		case config.OpsTarget:
			service, target, _ := strings.Cut(name, "/")
			o.Targets[types.TargetID{Service: types.Service(service), Target: types.Target(target)}] = row.State
		}
	}
	return o
}

// VMState returns the operators' decision about a VM. A nil receiver knows none.
func (o *Operations) VMState(vm types.VM) config.OpsState {
	if o == nil || o.VMs[vm] == "" {
		return config.OpsIn
	}
	return o.VMs[vm]
}

// DataCentreState returns the operators' decision about a data centre. A nil receiver knows none.
func (o *Operations) DataCentreState(dc types.DataCentre) config.OpsState {
	if o == nil || o.DataCentres[dc] == "" {
		return config.OpsIn
	}
	return o.DataCentres[dc]
}

// TargetState returns the operators' decision about a target. A nil receiver knows none.
func (o *Operations) TargetState(id types.TargetID) config.OpsState {
	if o == nil || o.Targets[id] == "" {
		return config.OpsIn
	}
	return o.Targets[id]
}
