package fleettest

import (
	"fmt"
	"sync"
	"testing"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Guards against requests that reach a data centre after all processes confirmed that it is out of service, and against
// keys that no target serves then.
func TestDataCentreTakenOutOfService(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	revision, err := f.setOpsState(f.ctx, "jana", config.DataCentreKey(centreB), config.OpsOut)
	f.NoErr(err)
	f.eventually("every process confirms the decision", func() bool { return f.confirmed(revision) })
	f.eventually("the data centre's targets own nothing", func() bool { return !f.ownsSlotsIn(centreB) })
	f.eventually("a round of all keys reaches no target of the data centre", func() bool {
		before := f.runsIn(centreB)
		f.awaitServed(f.vms...)
		return f.runsIn(centreB) == before
	})
	replies := l.stop()

	before := f.runsIn(centreB)
	second := f.startLoad(f.vms...)
	f.awaitServed(f.vms...)
	replies = append(replies, second.stop()...)
	f.Equal(f.runsIn(centreB), before)

	revision, err = f.setOpsState(f.ctx, "jana", config.DataCentreKey(centreB), config.OpsIn)
	f.NoErr(err)
	f.eventually("every process confirms the return", func() bool { return f.confirmed(revision) })
	f.eventually("the data centre works again", func() bool {
		f.caller.call(f.ctx, f.vmsIn(centreB)[0], job{service: unkeyedService, key: "returned"})
		return f.runsIn(centreB) > before
	})
	f.awaitServed(f.vms...)
	f.audit(replies)
}

// ownsSlotsIn reports whether a target of a data centre owns a slot of the keyed service.
func (f *fleet) ownsSlotsIn(centre types.DataCentre) bool {
	for name := range f.owners() {
		if f.centreOf(types.TargetID{Service: keyedService, Target: name}) == centre {
			return true
		}
	}
	return false
}

// runsIn counts the runs at the targets of a data centre.
func (f *fleet) runsIn(centre types.DataCentre) int {
	f.t.Helper()
	n := 0
	for id := range f.targets {
		if f.centreOf(id) == centre {
			n += len(f.journal(id))
		}
	}
	return n
}

// Guards against concurrent writes of one operators' row that are both accepted, and against processes that apply
// different ones.
func TestConcurrentOperators(t *testing.T) {
	f := startFleet(t)
	key := config.TargetKey(types.TargetID{Service: unkeyedService, Target: types.Target(unkeyedService) + "-2"})
	const operators, rounds = 4, 5
	accepted := 0
	for round := range rounds {
		revisions := make([]types.Revision, operators)
		errs := make([]error, operators)
		var writers sync.WaitGroup
		for n := range operators {
			state := []config.OpsState{config.OpsDraining, config.OpsIn}[n%2]
			writers.Go(func() {
				revisions[n], errs[n] = f.setOpsState(f.ctx, fmt.Sprintf("operator-%d-%d", round, n), key, state)
			})
		}
		writers.Wait()
		var last types.Revision
		for n := range operators {
			if errs[n] != nil {
				f.Equal(types.CodeOf(errs[n]), types.CodeConflict)
				continue
			}
			last = max(last, revisions[n])
			accepted++
		}
		f.True(last > 0)
		f.eventually("every process follows the last decision", func() bool { return f.confirmed(last) })
	}
	f.awaitServed(f.vms...)
	entry, err := f.operator.Get(f.ctx, key)
	f.NoErr(err)
	row, err := config.ParseOpsRow(entry.Value)
	f.NoErr(err)
	f.Equal(int(row.Version), accepted) // each accepted write raised the version by one
	f.audit(nil)
}
