package fleettest

import (
	"fmt"
	"sync"
	"testing"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Guards against new work in a data centre after its decision was confirmed, and against keys that nobody serves then.
func TestDataCentreTakenOut(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	revision, err := f.decide(f.ctx, "jana", config.DataCentreKey(centreB), config.OpsOut)
	f.NoErr(err)
	f.eventually("every process confirms the decision", func() bool { return f.confirmed(revision) })
	f.eventually("the data centre's targets own nothing", func() bool { return !f.ownsIn(centreB) })
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

	revision, err = f.decide(f.ctx, "jana", config.DataCentreKey(centreB), config.OpsIn)
	f.NoErr(err)
	f.eventually("every process confirms the return", func() bool { return f.confirmed(revision) })
	f.eventually("the data centre works again", func() bool {
		f.caller.call(f.ctx, f.in(centreB)[0], job{service: unkeyed, key: "returned"})
		return f.runsIn(centreB) > before
	})
	f.awaitServed(f.vms...)
	f.audit(replies)
}

// ownsIn reports whether a target of a data centre owns a slot.
func (f *fleet) ownsIn(centre types.DataCentre) bool {
	for name := range f.owners() {
		if f.centreOf(types.TargetID{Service: keyed, Target: name}) == centre {
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

// Guards against two operators who are both told that their decision holds, and against processes that follow different
// ones.
func TestRacingOperators(t *testing.T) {
	f := startFleet(t)
	key := config.TargetKey(types.TargetID{Service: unkeyed, Target: types.Target(unkeyed) + "-2"})
	const operators, rounds = 4, 5
	accepted := 0
	for round := range rounds {
		revisions := make([]types.Revision, operators)
		errs := make([]error, operators)
		var racing sync.WaitGroup
		for n := range operators {
			state := []config.OpsState{config.OpsDraining, config.OpsIn}[n%2]
			racing.Go(func() {
				revisions[n], errs[n] = f.decide(f.ctx, fmt.Sprintf("operator-%d-%d", round, n), key, state)
			})
		}
		racing.Wait()
		var won types.Revision
		for n := range operators {
			if errs[n] != nil {
				f.Equal(types.CodeOf(errs[n]), types.CodeConflict)
				continue
			}
			won = max(won, revisions[n])
			accepted++
		}
		f.True(won > 0)
		f.eventually("every process follows the last decision", func() bool { return f.confirmed(won) })
	}
	f.awaitServed(f.vms...)
	entry, err := f.operator.Get(f.ctx, key)
	f.NoErr(err)
	row, err := config.ParseOpsRow(entry.Value)
	f.NoErr(err)
	f.Equal(int(row.Version), accepted) // each accepted decision followed the ones before
	f.audit(nil)
}
