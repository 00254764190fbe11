package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	standinstore "sequoiasail.example/standin/store"
	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// storeFaults replaces the faults that the stand-in store injects.
func (f *fleet) storeFaults(faults standinstore.Faults) {
	f.t.Helper()
	f.NoErr(f.caller.postJSON(f.ctx, "http://"+f.storeAddress+standinstore.PathFaults, faults))
}

// targetFaults replaces the faults that a stand-in target injects.
func (f *fleet) targetFaults(id types.TargetID, faults standintarget.Faults) {
	f.t.Helper()
	f.NoErr(f.caller.postJSON(f.ctx, "http://"+f.targets[id]+standintarget.PathFaults, faults))
}

// setOpsState writes the next version of an operators' row. It does not retry: when another write changed the row after it
// was read, it returns the conflict fault of the store.
func (f *fleet) setOpsState(ctx context.Context, operatorName, key string, state config.OpsState) (types.Revision, error) {
	var row config.OpsRow
	entry, err := f.operator.Get(ctx, key)
	if err == nil {
		row, err = config.ParseOpsRow(entry.Value)
	}
	if err != nil && types.CodeOf(err) != types.CodeNotFound {
		return 0, err
	}
	change := config.OpsChange{State: state, Operator: operatorName, At: "2026-12-04T11:00:00Z", WriteID: operatorName + "-" + key}
	value, err := json.Marshal(row.Next(change))
	if err != nil {
		return 0, err
	}
	return f.operator.CAS(ctx, store.Write{Key: key, Expected: entry.Revision, Value: value, WriteID: change.WriteID})
}

// statuses returns the status pages of the running processes. ok is false when one of them does not answer.
func (f *fleet) statuses() (out []telemetry.Status, ok bool) {
	for _, v := range f.vms {
		for _, d := range []*daemon{v.gateway, v.dispatcher} {
			if !d.running() {
				continue
			}
			s, answered := d.status()
			if !answered {
				return nil, false
			}
			out = append(out, s)
		}
	}
	return out, true
}

// confirmed reports whether every running process has installed the operators' rows up to revision.
func (f *fleet) confirmed(revision types.Revision) bool {
	statuses, ok := f.statuses()
	for _, s := range statuses {
		ok = ok && types.Revision(s.OpsRevision) >= revision
	}
	return ok
}

// documents reads the ownership documents of the keyed service from the store.
func (f *fleet) documents() []ownership.Document {
	f.t.Helper()
	entries, _, err := f.operator.List(f.ctx, "")
	f.NoErr(err)
	var out []ownership.Document
	for _, e := range entries {
		d, ok, err := process.DecodeDocument(store.Event{Entry: e})
		f.NoErr(err)
		if ok && d.Key.Service == keyedService {
			out = append(out, d)
		}
	}
	return out
}

// groups reads the members of each quorum group from the store.
func (f *fleet) groups() map[ownership.GroupKey][]ownership.Peer {
	f.t.Helper()
	entries, _, err := f.operator.List(f.ctx, "group/")
	f.NoErr(err)
	out := map[ownership.GroupKey][]ownership.Peer{}
	for _, e := range entries {
		d, ok, err := process.DecodeDocument(store.Event{Entry: e})
		f.NoErr(err)
		if ok && d.Group != nil {
			out[d.Key.Group] = d.Group.Members
		}
	}
	return out
}

// groupsComplete reports whether every quorum group has its full size: the largest odd number that is at most the number
// of its VMs and at most ownership.MaxGroupMembers.
func (f *fleet) groupsComplete() bool {
	groups := f.groups()
	perCentre := len(f.vmsIn(centreA))
	size := func(vms int) int {
		return min(vms, ownership.MaxGroupMembers) - (min(vms, ownership.MaxGroupMembers)+1)%2
	}
	return len(groups[ownership.GroupAll]) == size(len(f.vms)) &&
		len(groups[ownership.GroupOf(config.ScopeDataCentre, centreA)]) == size(perCentre) &&
		len(groups[ownership.GroupOf(config.ScopeDataCentre, centreB)]) == size(perCentre)
}

// owners counts the slots of each target in the stored slot documents. A slot that is being moved counts for its old
// owner.
func (f *fleet) owners() map[types.Target]int {
	f.t.Helper()
	out := map[types.Target]int{}
	for _, d := range f.documents() {
		if d.Slots == nil {
			continue
		}
		for _, r := range d.Slots.Runs {
			out[r.Owner] += int(r.Count)
		}
	}
	return out
}

// leases returns the stored lease of each target of the keyed service.
func (f *fleet) leases() map[types.Target]ownership.Lease {
	f.t.Helper()
	out := map[types.Target]ownership.Lease{}
	for _, d := range f.documents() {
		if d.Leases == nil {
			continue
		}
		for _, l := range d.Leases.Leases {
			out[l.Target] = l
		}
	}
	return out
}

// leaseHolder returns a VM whose dispatcher holds an active lease of the keyed service.
func (f *fleet) leaseHolder() *vm {
	f.t.Helper()
	for _, l := range f.leases() {
		for _, v := range f.vms {
			if l.State == ownership.LeaseActive && l.Holder.VM == v.name {
				return v
			}
		}
	}
	f.t.Fatal("no dispatcher holds a lease")
	return nil
}

// describe returns the status of each process, for the message of a failed wait.
func (f *fleet) describe() string {
	var b strings.Builder
	for _, v := range f.vms {
		for _, d := range []*daemon{v.gateway, v.dispatcher} {
			if !d.running() {
				fmt.Fprintf(&b, "%s does not run: %v\n", d.name, d.err)
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), pollInterval*10)
			var s telemetry.Status
			err := f.caller.getJSON(ctx, "http://"+d.opsAddress+"/status", &s)
			cancel()
			fmt.Fprintf(&b, "%s: %+v %v\n", d.name, s, err)
		}
	}
	return b.String()
}
