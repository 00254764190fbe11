package operator

import (
	"context"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// DefaultPoll is the time between two rounds of questions while an operator waits. A change is in force within 2 s on
// today's fleet, so a few rounds show progress.
const DefaultPoll = 300 * time.Millisecond

// Progress is how far a change has come.
type Progress struct {
	// Done of Total processes have confirmed.
	Done  int `json:"done"`
	Total int `json:"total"`
	// Pending names the processes that answer but have not confirmed, each with what it still does.
	Pending []string `json:"pending,omitempty"`
	// Unreachable names the processes that do not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}

// Complete reports whether every process has confirmed.
func (p Progress) Complete() bool { return p.Done == p.Total }

// same reports whether p shows nothing new after q.
func (p Progress) same(q Progress) bool {
	return p.Done == q.Done && len(p.Pending) == len(q.Pending) && len(p.Unreachable) == len(q.Unreachable)
}

// condition returns what the process still lacks, or "" when it has confirmed. before is its last report.
type condition func(before, now telemetry.Status) string

// await asks the fleet until every process has confirmed or ctx ends, and calls show when there is progress. It returns
// the last progress, and a deadline-exceeded fault when processes are missing.
func (o *Operator) await(ctx context.Context, poll time.Duration, j condition, show func(Progress)) (Progress, error) {
	before := map[string]telemetry.Status{}
	last, first := Progress{}, true
	for {
		p := o.round(ctx, before, j)
		if ctx.Err() != nil && !p.Complete() && !first {
			return last, unconfirmed(last)
		}
		if first || !p.same(last) {
			show(p)
		}
		last, first = p, false
		if p.Complete() {
			return p, nil
		}
		if waitFor(ctx, poll) != nil {
			return p, unconfirmed(p)
		}
	}
}

func unconfirmed(p Progress) error {
	return types.NewFault(types.CodeDeadlineExceeded, "%d of %d processes have not confirmed: %d answer, %d are silent",
		p.Total-p.Done, p.Total, len(p.Pending), len(p.Unreachable))
}

func (o *Operator) round(ctx context.Context, before map[string]telemetry.Status, j condition) Progress {
	reports := o.Fleet.Query(ctx)
	p := Progress{Total: len(reports)}
	for _, r := range reports {
		name := r.Process.Name()
		if r.Err != nil {
			p.Unreachable = append(p.Unreachable, name)
			continue
		}
		lacks := j(before[name], r.Status)
		before[name] = r.Status
		if lacks == "" {
			p.Done++
			continue
		}
		p.Pending = append(p.Pending, name+": "+lacks)
	}
	return p
}

// AwaitVersion waits until every process follows version v or a higher one.
func (o *Operator) AwaitVersion(ctx context.Context, v types.Version, poll time.Duration, show func(Progress)) (Progress, error) {
	return o.await(ctx, poll, func(_, now telemetry.Status) string {
		if types.Version(now.ConfigVersion) >= v {
			return ""
		}
		return "follows version " + number(now.ConfigVersion)
	}, show)
}

// AwaitDecision waits until every process has seen the row of d, and if d takes something out of service, until no
// process has work in hand for it and none admitted new work between two rounds.
func (o *Operator) AwaitDecision(
	ctx context.Context, d DecisionResult, poll time.Duration, show func(Progress),
) (Progress, error) {
	now, err := o.Current(ctx)
	if err != nil {
		return Progress{}, err
	}
	affected := affectedBy(now.Configuration, d)
	return o.await(ctx, poll, func(before, now telemetry.Status) string {
		if types.Revision(now.OpsRevision) < d.Revision {
			return "has not seen the decision"
		}
		if d.State.AcceptsNewWork() {
			return ""
		}
		return workLeft(affected, d.Key, before, now)
	}, show)
}

// affectedBy returns the targets that the decision is about, as "service/target". A VM's row concerns no target as such.
func affectedBy(c config.Configuration, d DecisionResult) map[string]bool {
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

// workLeft returns what a process still does for affected targets, or for any target when key is about the process's VM.
func workLeft(affected map[string]bool, key string, before, now telemetry.Status) string {
	own := key == config.VMKey(types.VM(now.VM))
	queues, waiting, inFlight := 0, 0, 0
	var admitted uint64
	for _, q := range now.Queues {
		if !own && !affected[q.Service+"/"+q.Target] {
			continue
		}
		queues++
		waiting += q.Waiting
		inFlight += q.InFlight
		admitted += q.Admitted - admittedBefore(before, now, q)
	}
	switch {
	case waiting+inFlight > 0:
		return number(uint64(waiting)) + " requests wait, " + number(uint64(inFlight)) + " are running"
	case own && len(now.Leases) > 0:
		return "holds " + number(uint64(len(now.Leases))) + " target leases"
	case queues > 0 && before.VM == "":
		return "no work in hand; asking again whether it admits any"
	case admitted > 0:
		return "requests admitted since it was last asked: " + number(admitted)
	}
	return ""
}

// admittedBefore returns the counter of the last round. A process that restarted since counts from 0.
func admittedBefore(before, now telemetry.Status, q telemetry.QueueStatus) uint64 {
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
