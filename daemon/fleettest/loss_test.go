package fleettest

import (
	"fmt"
	"testing"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/ownership"
	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/types"
)

// Guards against targets that stay without a dispatcher, keys with two owners and orders that run twice after a dispatcher
// crashed.
func TestDispatcherCrash(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	crashed := f.leaseHolder()
	before := f.leases()
	crashed.dispatcher.abort()
	f.eventually("another dispatcher holds the leases", func() bool {
		for _, lease := range f.leases() {
			if lease.State != ownership.LeaseActive || lease.Holder.VM == crashed.name {
				return false
			}
		}
		return true
	})
	f.awaitServed(f.vms...)
	for name, lease := range f.leases() {
		f.True(lease.Epoch >= before[name].Epoch)
		if before[name].Holder.VM == crashed.name {
			f.True(lease.Epoch > before[name].Epoch) // a new holder needs a new epoch
		}
	}
	f.audit(l.stop())
}

// Guards against a planned stop of a VM that fails, or that makes requests fail or end with an unknown outcome.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	f := startFleet(t)
	f.stopAsPlanned(f.leaseHolder())
}

// Guards against a planned stop that loses requests because the VM is the only member of its data centre's quorum group.
func TestPlannedStopOfOnlyGroupMember(t *testing.T) {
	f := startFleetOf(t, 2)
	member := f.groups()[ownership.GroupOf(config.ScopeDataCentre, centreA)][0]
	for _, v := range f.vms {
		if v.name == member.VM {
			f.stopAsPlanned(v)
		}
	}
}

// stopAsPlanned stops a VM while the others get requests. All requests must be done, and the VM may keep no lease.
func (f *fleet) stopAsPlanned(leaving *vm) {
	f.t.Helper()
	var others []*vm
	for _, v := range f.vms {
		if v != leaving {
			others = append(others, v)
		}
	}
	l := f.startLoad(others...)
	f.NoErr(leaving.gateway.stop())
	f.NoErr(leaving.dispatcher.stop())
	f.awaitServed(others...)
	replies := l.stop()
	for _, r := range replies {
		if !r.done() {
			f.t.Errorf("%s %s %q: %s %s", r.job.service, r.job.key, r.job.id, r.outcome, r.code)
		}
	}
	for _, lease := range f.leases() {
		f.True(lease.Holder.VM != leaving.name)
	}
	f.audit(replies)
}

// Guards against a target that lost its keys while it was frozen and still runs requests for them afterwards.
func TestFrozenTargetReturns(t *testing.T) {
	f := startFleet(t)
	frozen := types.TargetID{Service: keyedService, Target: types.Target(keyedService) + "-1"}
	l := f.startLoad(f.vms...)
	epoch := f.leases()[frozen.Target].Epoch
	f.targetFaults(frozen, standintarget.Faults{Frozen: true})
	f.eventually("the frozen target owns no slot", func() bool { return f.owners()[frozen.Target] == 0 })
	f.awaitServed(f.vms...)
	f.targetFaults(frozen, standintarget.Faults{})
	f.eventually("the target owns slots again", func() bool { return f.owners()[frozen.Target] > 0 })
	f.awaitServed(f.vms...)
	f.audit(l.stop())

	// runsElsewhere holds, for each key, the first run at another target under a newer lease epoch.
	runsElsewhere := map[string]run{}
	for _, r := range f.journals() {
		if r.target.Service != keyedService || !r.succeeded() {
			continue
		}
		if r.target != frozen {
			if _, known := runsElsewhere[r.Key]; !known && r.LeaseEpoch > epoch {
				runsElsewhere[r.Key] = r
			}
			continue
		}
		if other, known := runsElsewhere[r.Key]; known && r.LeaseEpoch <= epoch {
			t.Errorf("the frozen target ran key %s under its old lease epoch %d after %s ran it", r.Key, r.LeaseEpoch, other.target)
		}
	}
}

// Guards against an order of the keyed service that runs twice because its caller repeats it through another gateway.
func TestRepeatedKeyedOrderRunsOnce(t *testing.T) { startFleet(t).repeatOrders(keyedService) }

// Guards against an order of the unkeyed service that runs twice because its caller repeats it through another gateway,
// which chooses another target.
func TestRepeatedUnkeyedOrderRunsOnce(t *testing.T) { startFleet(t).repeatOrders(unkeyedService) }

// repeatOrders sends each order twice, through gateways of different data centres, and expects the answer to be replayed.
func (f *fleet) repeatOrders(service types.Service) {
	f.t.Helper()
	var replies []reply
	const orders = 12
	for n := range orders {
		j := job{service: service, key: keyName(n), id: fmt.Sprintf("repeated-%d", n), createdAt: time.Now()}
		first := f.caller.call(f.ctx, f.vms[0], j)
		second := f.caller.call(f.ctx, f.vms[len(f.vms)-1], j)
		f.True(first.done())
		f.True(second.done())
		f.True(second.replayed)
		f.Equal(string(second.body), string(first.body))
		f.Equal(len(runsOf(f.journals(), j.id)), 1)
		replies = append(replies, first, second)
	}
	f.audit(replies)
}
