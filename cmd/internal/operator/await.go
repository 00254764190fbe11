package operator

import (
	"context"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// DefaultPollInterval is the time between two status polls while an operator waits. A change is in force within 2 s on
// the current fleet, so a few polls show progress.
const DefaultPollInterval = 300 * time.Millisecond

// Progress counts the processes that have confirmed a change.
type Progress struct {
	// Done is the number of processes, out of Total, that have confirmed.
	Done  int `json:"done"`
	Total int `json:"total"`
	// Pending lists the processes that answer but have not confirmed, as "vm/role: reason".
	Pending []string `json:"pending,omitempty"`
	// Unreachable lists the processes that do not answer, as "vm/role".
	Unreachable []string `json:"unreachable,omitempty"`
}

// Complete reports whether every process has confirmed.
func (p Progress) Complete() bool { return p.Done == p.Total }

// sameCounts reports whether p and q have the same numbers of confirmed, pending and unreachable processes.
func (p Progress) sameCounts(q Progress) bool {
	return p.Done == q.Done && len(p.Pending) == len(q.Pending) && len(p.Unreachable) == len(q.Unreachable)
}

// pendingCheck returns the reason why a process has not confirmed yet, or "" when it has. before is the status of the
// process in the previous poll, or the zero value; now is its current status.
type pendingCheck func(before, now telemetry.Status) string

// await polls the fleet until every process has confirmed or ctx ends, and calls show when the progress changes. It
// returns the last progress, with a deadline-exceeded fault if some processes have not confirmed. A poll during which
// ctx ends is discarded unless it is the first or every process has confirmed, because processes that had no time left
// to answer count as unreachable in it.
func (o *Operator) await(ctx context.Context, poll time.Duration, check pendingCheck, show func(Progress)) (Progress, error) {
	before := map[string]telemetry.Status{}
	last, first := Progress{}, true
	for {
		p := o.pollFleet(ctx, before, check)
		if ctx.Err() != nil && !p.Complete() && !first {
			return last, unconfirmedFault(last)
		}
		if first || !p.sameCounts(last) {
			show(p)
		}
		last, first = p, false
		if p.Complete() {
			return p, nil
		}
		if sleep(ctx, poll) != nil {
			return p, unconfirmedFault(p)
		}
	}
}

// unconfirmedFault returns the fault for a wait that ended before every process confirmed.
func unconfirmedFault(p Progress) error {
	return types.NewFault(types.CodeDeadlineExceeded, "%d of %d processes have not confirmed: %d answer, %d are silent",
		p.Total-p.Done, p.Total, len(p.Pending), len(p.Unreachable))
}

// pollFleet queries the fleet once and applies check to each answer. It updates before to the new statuses.
func (o *Operator) pollFleet(ctx context.Context, before map[string]telemetry.Status, check pendingCheck) Progress {
	reports := o.Fleet.Query(ctx)
	p := Progress{Total: len(reports)}
	for _, r := range reports {
		name := r.Process.Name()
		if r.Err != nil {
			p.Unreachable = append(p.Unreachable, name)
			continue
		}
		reason := check(before[name], r.Status)
		before[name] = r.Status
		if reason == "" {
			p.Done++
			continue
		}
		p.Pending = append(p.Pending, name+": "+reason)
	}
	return p
}

// AwaitVersion waits until every process follows configuration version v or a higher one.
func (o *Operator) AwaitVersion(ctx context.Context, v types.Version, poll time.Duration, show func(Progress)) (Progress, error) {
	return o.await(ctx, poll, func(_, now telemetry.Status) string {
		if types.Version(now.ConfigVersion) >= v {
			return ""
		}
		return "follows version " + formatUint(now.ConfigVersion)
	}, show)
}

// AwaitDecision waits until every process has seen the row of d. If d takes something out of service, it also waits until
// no process has waiting or running requests for it and none has admitted new ones between two polls.
func (o *Operator) AwaitDecision(
	ctx context.Context, d DecisionResult, poll time.Duration, show func(Progress),
) (Progress, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return Progress{}, err
	}
	affected := affectedTargets(current.Configuration, d)
	return o.await(ctx, poll, func(before, current telemetry.Status) string {
		if types.Revision(current.OpsRevision) < d.Revision {
			return "has not seen the decision"
		}
		if d.State.AcceptsNewWork() {
			return ""
		}
		return remainingWork(affected, d.Key, before, current)
	}, show)
}

// affectedTargets returns the targets whose state the decision changes, as "service/target". It is empty for a decision
// about a VM, which changes the state of no target.
func affectedTargets(c config.Configuration, d DecisionResult) map[string]bool {
	out := map[string]bool{}
	for _, s := range c.Services {
		for _, t := range s.Targets {
			id := types.TargetID{Service: s.Name, Target: t.Name}
			if d.Key == config.DataCentreKey(t.DataCentre) || d.Key == config.TargetKey(id) {
				out[id.String()] = true
			}
		}
	}
	return out
}

// remainingWork describes the work that a process still has for the affected targets, or for all targets when key names
// the process's own VM. It returns "" when there is none.
func remainingWork(affected map[string]bool, key string, before, now telemetry.Status) string {
	ownVM := key == config.VMKey(types.VM(now.VM))
	queues, waiting, inFlight := 0, 0, 0
	var admitted uint64
	for _, q := range now.Queues {
		if !ownVM && !affected[q.Service+"/"+q.Target] {
			continue
		}
		queues++
		waiting += q.Waiting
		inFlight += q.InFlight
		admitted += q.Admitted - previousAdmitted(before, now, q)
	}
	switch {
	case waiting+inFlight > 0:
		return formatUint(uint64(waiting)) + " requests wait, " + formatUint(uint64(inFlight)) + " are running"
	case ownVM && len(now.Leases) > 0:
		return "holds " + formatUint(uint64(len(now.Leases))) + " target leases"
	case queues > 0 && before.VM == "":
		return "no work in hand; asking again whether it admits any"
	case admitted > 0:
		return "requests admitted since it was last asked: " + formatUint(admitted)
	}
	return ""
}

// previousAdmitted returns the admission counter of queue q in the previous poll. It is 0 if the process has restarted
// since, because the counter then starts at 0 again.
func previousAdmitted(before, now telemetry.Status, q telemetry.QueueStatus) uint64 {
	if before.Incarnation != now.Incarnation {
		return 0
	}
	for _, b := range before.Queues {
		if b.Service == q.Service && b.Target == q.Target {
			return min(b.Admitted, q.Admitted)
		}
	}
	return 0
}
