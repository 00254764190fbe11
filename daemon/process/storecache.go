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

// PlannerKey is the store key of the planner lease. Its value is the name of the VM that holds the lease.
const PlannerKey = "planner"

// Change is a decoded Update. Parts that the update does not change are nil, except that a snapshot always sets Ops,
// Members and Planner.
type Change struct {
	// Config is the newly installed configuration.
	Config *config.Configuration
	// Ops holds the operators' states of all data centres, VMs and targets.
	Ops *Operations
	// Members holds all registered processes, ordered by key.
	Members []Member
	// Documents holds the ownership documents of the update.
	Documents []ownership.Document
	// Planner is the VM that holds the planner lease, or empty when no VM holds it.
	Planner *types.VM
	// Revision is the store revision of the update.
	Revision types.Revision
	// Err is set when the store could not be read.
	Err error
}

// Operations holds the states that operators set, except config.OpsIn: whatever is not listed is in service.
type Operations struct {
	// Revision is the store revision up to which the operators' rows are included.
	Revision    types.Revision
	DataCentres map[types.DataCentre]config.OpsState
	VMs         map[types.VM]config.OpsState
	Targets     map[types.TargetID]config.OpsState
}

// StoreCache decodes updates of the store. It holds the configuration, the operators' rows and the members to tell whether
// an update changes them, and never replaces a configuration or an operators' row by an older one. It is owned by the watch
// duty.
type StoreCache struct {
	log       *telemetry.Log
	installed config.Installed
	// ops and members are keyed by store key.
	ops     map[string]config.OpsRow
	members map[string]Member
}

// NewStoreCache returns an empty store cache.
func NewStoreCache(log *telemetry.Log) *StoreCache {
	return &StoreCache{log: log, ops: make(map[string]config.OpsRow), members: make(map[string]Member)}
}

// Apply decodes u and returns the changes. A value that cannot be decoded is logged and skipped, and the cache keeps the
// previous value of its key.
func (sc *StoreCache) Apply(u Update) Change {
	change := Change{Revision: u.Revision, Err: u.Err}
	if u.Snapshot {
		change.Planner = new(types.VM)
	}
	membersChanged := u.Snapshot && sc.removeMissing(u.Events)
	opsChanged := false
	for _, e := range u.Events {
		switch {
		case e.Key == config.KeyCurrent:
			sc.applyConfig(e, &change)
		case strings.HasPrefix(e.Key, config.PrefixOps):
			opsChanged = sc.applyOps(e) || opsChanged
		case e.Key == PlannerKey:
			change.Planner = plannerOf(e)
		case strings.HasPrefix(e.Key, memberPrefix):
			membersChanged = sc.applyMember(e) || membersChanged
		default:
			sc.applyDocument(e, &change)
		}
	}
	if opsChanged || u.Snapshot {
		change.Ops = sc.operations(u.Revision)
	}
	if membersChanged || u.Snapshot {
		change.Members = sc.memberList()
	}
	return change
}

// plannerOf returns the holder of the planner lease after an event of PlannerKey.
func plannerOf(e store.Event) *types.VM {
	var vm types.VM
	if !e.Deleted {
		vm = types.VM(e.Value)
	}
	return &vm
}

// removeMissing removes the members that are not in the events of a snapshot, and reports whether it removed any.
func (sc *StoreCache) removeMissing(events []store.Event) bool {
	present := make(map[string]bool, len(events))
	for _, e := range events {
		present[e.Key] = true
	}
	before := len(sc.members)
	maps.DeleteFunc(sc.members, func(key string, _ Member) bool { return !present[key] })
	return len(sc.members) != before
}

func (sc *StoreCache) applyConfig(e store.Event, change *Change) {
	if e.Deleted {
		return
	}
	c, err := config.Parse(e.Value)
	if err != nil {
		sc.logInvalid(e.Key, err)
		return
	}
	installed, err := sc.installed.Install(c)
	if err != nil {
		sc.logInvalid(e.Key, err)
		return
	}
	if installed {
		sc.log.Info("configuration installed", map[string]any{"version": c.Version})
		change.Config = &c
	}
}

// applyOps reports whether the event changes an operators' row.
func (sc *StoreCache) applyOps(e store.Event) bool {
	if e.Deleted {
		return false
	}
	row, err := config.ParseOpsRow(e.Value)
	if err != nil {
		sc.logInvalid(e.Key, err)
		return false
	}
	if current, known := sc.ops[e.Key]; known && !row.Supersedes(current) {
		return false
	}
	sc.ops[e.Key] = row
	sc.log.Info("operators' row installed", map[string]any{"key": e.Key, "state": row.State, "version": row.Version})
	return true
}

// applyMember reports whether the event changes a member.
func (sc *StoreCache) applyMember(e store.Event) bool {
	if e.Deleted {
		delete(sc.members, e.Key)
		return true
	}
	m, _, err := ParseMember(e.Key, e.Value)
	if err != nil {
		sc.logInvalid(e.Key, err)
		return false
	}
	if sc.members[e.Key] == m {
		return false
	}
	sc.members[e.Key] = m
	return true
}

func (sc *StoreCache) applyDocument(e store.Event, change *Change) {
	d, ok, err := DecodeDocument(e)
	if err != nil {
		sc.logInvalid(e.Key, err)
		return
	}
	if ok {
		change.Documents = append(change.Documents, d)
	}
}

func (sc *StoreCache) logInvalid(key string, err error) {
	sc.log.Warn("invalid stored value skipped", map[string]any{"key": key, "error": err.Error()})
}

// memberList returns the members, ordered by key.
func (sc *StoreCache) memberList() []Member {
	list := make([]Member, 0, len(sc.members))
	for _, key := range slices.Sorted(maps.Keys(sc.members)) {
		list = append(list, sc.members[key])
	}
	return list
}

func (sc *StoreCache) operations(revision types.Revision) *Operations {
	o := &Operations{
		Revision:    revision,
		DataCentres: make(map[types.DataCentre]config.OpsState),
		VMs:         make(map[types.VM]config.OpsState),
		Targets:     make(map[types.TargetID]config.OpsState),
	}
	for key, row := range sc.ops {
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

// VMState returns the state that operators set for a VM. It is config.OpsIn if they set none or the receiver is nil.
func (o *Operations) VMState(vm types.VM) config.OpsState {
	if o == nil || o.VMs[vm] == "" {
		return config.OpsIn
	}
	return o.VMs[vm]
}

// DataCentreState returns the state that operators set for a data centre. It is config.OpsIn if they set none or the
// receiver is nil.
func (o *Operations) DataCentreState(dc types.DataCentre) config.OpsState {
	if o == nil || o.DataCentres[dc] == "" {
		return config.OpsIn
	}
	return o.DataCentres[dc]
}

// TargetState returns the state that operators set for a target. It is config.OpsIn if they set none or the receiver is
// nil.
func (o *Operations) TargetState(id types.TargetID) config.OpsState {
	if o == nil || o.Targets[id] == "" {
		return config.OpsIn
	}
	return o.Targets[id]
}
