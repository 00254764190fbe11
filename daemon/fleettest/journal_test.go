package fleettest

import (
	"cmp"
	"slices"

	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/types"
)

// run is one execution of a request at a target.
type run struct {
	standintarget.JournalEntry
	target types.TargetID
}

// succeeded reports whether the target answered the request as done.
func (r run) succeeded() bool { return r.Outcome == standintarget.OutcomeCompleted }

// journal returns the runs of a target in the order of its journal.
func (f *fleet) journal(id types.TargetID) []run {
	f.t.Helper()
	var answer standintarget.JournalAnswer
	f.NoErr(f.caller.getJSON(f.ctx, "http://"+f.targets[id]+standintarget.PathJournal, &answer))
	f.Equal(answer.Dropped, uint64(0))
	out := make([]run, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		out = append(out, run{JournalEntry: e, target: id})
	}
	return out
}

// journals returns the runs of all targets, ordered by start time.
func (f *fleet) journals() []run {
	f.t.Helper()
	var all []run
	for id := range f.targets {
		all = append(all, f.journal(id)...)
	}
	slices.SortFunc(all, func(a, b run) int { return cmp.Compare(a.StartNs, b.StartNs) })
	return all
}

// runsOf returns the runs of the order with the given identifier.
func runsOf(all []run, id string) []run {
	return slices.DeleteFunc(slices.Clone(all), func(r run) bool { return string(r.RequestID) != id })
}

// audit checks the replies and the journals of the targets against the invariants on orders, lease epochs and owners.
func (f *fleet) audit(replies []reply) {
	f.t.Helper()
	all := f.journals()
	f.auditOrders(all, replies)
	f.auditEpochs(all)
	f.auditOwners(all)
}

// auditOrders checks that each order completed at most once, and that the outcomes in the replies match the journals.
func (f *fleet) auditOrders(all []run, replies []reply) {
	f.t.Helper()
	started, completed := map[string]int{}, map[string]int{}
	for _, r := range all {
		started[string(r.RequestID)]++
		if r.succeeded() {
			completed[string(r.RequestID)]++
		}
	}
	for _, r := range replies {
		id := r.job.id
		if r.done() && r.state.Key != r.job.key {
			f.t.Errorf("request for key %s got the answer for key %s", r.job.key, r.state.Key)
		}
		switch {
		case id == "":
		case completed[id] > 1:
			f.t.Errorf("order %s ran %d times", id, completed[id])
		case r.done() && completed[id] != 1:
			f.t.Errorf("order %s was acknowledged and ran %d times", id, completed[id])
		case r.notRun() && started[id] != 0:
			f.t.Errorf("order %s was answered not-run (%s) and started %d times", id, r.code, started[id])
		}
	}
}

// auditEpochs checks that the lease epochs of the requests for one key never decrease at a target.
func (f *fleet) auditEpochs(all []run) {
	f.t.Helper()
	type targetKey struct {
		target types.TargetID
		key    string
	}
	highest := map[targetKey]types.Epoch{}
	for _, r := range all {
		at := targetKey{target: r.target, key: r.Key}
		if r.LeaseEpoch < highest[at] {
			f.t.Errorf("%s ran key %s under lease epoch %d after %d", r.target, r.Key, r.LeaseEpoch, highest[at])
		}
		highest[at] = max(highest[at], r.LeaseEpoch)
	}
}

// auditOwners checks that no two targets ran requests for one key of the keyed service at the same time. Only successful
// runs count, because a fenced request has no effect.
func (f *fleet) auditOwners(all []run) {
	f.t.Helper()
	last := map[string]run{}
	for _, r := range all {
		if r.target.Service != keyedService || !r.succeeded() {
			continue
		}
		previous, known := last[r.Key]
		if known && previous.target != r.target && r.StartNs < previous.EndNs {
			f.t.Errorf("key %s had two owners: %s until %d, %s from %d", r.Key, previous.target, previous.EndNs, r.target, r.StartNs)
		}
		if !known || r.EndNs > previous.EndNs {
			last[r.Key] = r
		}
	}
}
