package fleettest

import (
	"cmp"
	"slices"

	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/types"
)

// run is one request that started at a target.
type run struct {
	standintarget.JournalEntry
	target types.TargetID
}

// tookEffect reports whether the target answered the request as done.
func (r run) tookEffect() bool { return r.Outcome == standintarget.OutcomeCompleted }

func (f *fleet) journal(id types.TargetID) []run {
	f.t.Helper()
	var answer standintarget.JournalAnswer
	f.NoErr(f.caller.readJSON(f.ctx, "http://"+f.targets[id]+standintarget.PathJournal, &answer))
	f.Equal(answer.Dropped, uint64(0))
	out := make([]run, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		out = append(out, run{JournalEntry: e, target: id})
	}
	return out
}

// journals returns the runs of all targets in the order of their starts.
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

// audit checks the invariants of requests and owners against the targets' journals.
func (f *fleet) audit(replies []reply) {
	f.t.Helper()
	all := f.journals()
	f.auditOrders(all, replies)
	f.auditEpochs(all)
	f.auditOwners(all)
}

// auditOrders checks that orders ran at most once, and that the callers were told the truth.
func (f *fleet) auditOrders(all []run, replies []reply) {
	f.t.Helper()
	started, completed := map[string]int{}, map[string]int{}
	for _, r := range all {
		started[string(r.RequestID)]++
		if r.tookEffect() {
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

// auditEpochs checks that at each target the lease epochs of each key's requests never go back.
func (f *fleet) auditEpochs(all []run) {
	f.t.Helper()
	type place struct {
		target types.TargetID
		key    string
	}
	highest := map[place]types.Epoch{}
	for _, r := range all {
		at := place{target: r.target, key: r.Key}
		if r.LeaseEpoch < highest[at] {
			f.t.Errorf("%s ran key %s under lease epoch %d after %d", r.target, r.Key, r.LeaseEpoch, highest[at])
		}
		highest[at] = max(highest[at], r.LeaseEpoch)
	}
}

// auditOwners checks that no two targets ran requests for one key of the keyed service at the same time. A request that
// was fenced had no effect.
func (f *fleet) auditOwners(all []run) {
	f.t.Helper()
	last := map[string]run{}
	for _, r := range all {
		if r.target.Service != keyed || !r.tookEffect() {
			continue
		}
		before, known := last[r.Key]
		if known && before.target != r.target && r.StartNs < before.EndNs {
			f.t.Errorf("key %s had two owners: %s until %d, %s from %d", r.Key, before.target, before.EndNs, r.target, r.StartNs)
		}
		if !known || r.EndNs > before.EndNs {
			last[r.Key] = r
		}
	}
}
