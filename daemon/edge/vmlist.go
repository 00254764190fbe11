package edge

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/quota"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// applyDaemonEntries takes changes of the VM entries and of the coordinator entry.
func (sc *storeCache) applyDaemonEntries(ctx context.Context, u update) {
	if u.snapshot {
		earlier := sc.vms
		sc.vms = make(map[types.VM]vmEntry, len(u.entries))
		coordinator := coordinatorState{revision: u.revision}
		for _, e := range u.entries {
			if e.Key == coordinatorKey {
				coordinator = sc.decodeCoordinator(e)
				continue
			}
			sc.applyVMEntry(e)
		}
		sc.keepVMs(earlier)
		sc.setCoordinator(coordinator)
	}
	for _, e := range u.events {
		switch {
		case e.Key == coordinatorKey && e.Deleted:
			sc.setCoordinator(coordinatorState{revision: e.Revision})
		case e.Key == coordinatorKey:
			sc.setCoordinator(sc.decodeCoordinator(e.Entry))
		case e.Deleted:
			delete(sc.vms, types.VM(strings.TrimPrefix(e.Key, vmPrefix)))
		default:
			sc.applyVMEntry(e.Entry)
		}
	}
	sc.publishVMs(ctx)
}

// setCoordinator records which VM is the coordinator and passes it to the session.
func (sc *storeCache) setCoordinator(s coordinatorState) {
	if s.present && s.entry.VM == sc.vm && sc.coordinatorVM != sc.vm {
		sc.queryOwners(sc.now())
	}
	sc.coordinatorVM = s.entry.VM
	s.vmCount = len(sc.vms)
	s.rank = sc.rank(slices.Collect(maps.Values(sc.vms)))
	sc.lastCoordinator = &s
	sc.notifySession()
}

// notifySession tells the session which VM is the coordinator and whether this VM watches the store. It does nothing until
// the store has been read.
func (sc *storeCache) notifySession() {
	if sc.lastCoordinator == nil {
		return
	}
	sc.lastCoordinator.watching = sc.watchState.active
	_ = sc.session.Replace(*sc.lastCoordinator)
}

// decodeCoordinator is coordinatorStateOf, and records whether the entry is valid.
func (sc *storeCache) decodeCoordinator(e store.Entry) coordinatorState {
	s, err := coordinatorStateOf(e)
	if err != nil {
		sc.invalid.add(coordinatorKind, e, err)
	} else {
		sc.invalid.remove(e.Key)
	}
	return s
}

// applyVMEntry takes the entry of a VM. An invalid one removes the VM: its earlier entry no longer holds.
func (sc *storeCache) applyVMEntry(e store.Entry) {
	name, ok := strings.CutPrefix(e.Key, vmPrefix)
	if !ok {
		return
	}
	m, err := decodeVMEntry(types.VM(name), e.Value)
	if err != nil {
		sc.invalid.add(vmKind, e, err)
		delete(sc.vms, types.VM(name))
		return
	}
	sc.invalid.remove(e.Key)
	sc.vms[m.VM] = m
}

// vmNames returns the names of all known VMs in order.
func (sc *storeCache) vmNames() []types.VM {
	return slices.Sorted(maps.Keys(sc.vms))
}

// logListing logs when the entry of this VM has left the list of VMs or is back. While it is missing, other VMs report to this one
// only in reply to its own reports.
func (sc *storeCache) logListing(listed, neighbours int) {
	_, self := sc.vms[sc.vm]
	if self == sc.selfListed {
		return
	}
	sc.selfListed = self
	f := log.Fields{"listed": self, "vms": listed, "neighbours": neighbours}
	if self {
		sc.log.Info("this VM is in the list of VMs", f)
	} else {
		sc.log.Warn("this VM is not in the list of VMs", f)
	}
}

// publishVMs passes the known VMs to admission and the peer sender.
func (sc *storeCache) publishVMs(ctx context.Context) {
	names := sc.vmNames()
	var neighbours []types.VM
	for _, m := range sc.neighbours() {
		neighbours = append(neighbours, m.VM)
	}
	var list []vmEntry
	for _, name := range names {
		list = append(list, sc.vms[name])
	}
	sc.logListing(len(names), len(neighbours))
	sc.deliver(ctx, sc.admission, admission.Peers{VMs: names, Neighbours: neighbours})
	_ = sc.quotaFleets.Replace(quota.Fleet{
		VMs: names, Neighbours: neighbours, Relays: relaysOf(list)[sc.entry.DataCentre], NearInterval: loadReportInterval(len(names)), FarInterval: quota.FarInterval(len(names)),
	})
	_ = sc.memberships.Replace(membership{vms: list, coordinator: sc.coordinatorVM})
}
