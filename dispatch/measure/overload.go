package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// Settings of the overload measurement.
const (
	overloadTargets     = 4
	overloadSlots       = 4
	overloadServiceTime = 10 * time.Millisecond
	overloadFactor      = 2 // load divided by capacity
	overloadRequests    = 60_000
	overloadTimeout     = 500 * time.Millisecond
)

// Overload is the result of one variant of the overload measurement: what callers observe at twice the capacity.
type Overload struct {
	// Variant names the policy.
	Variant string
	// Goodput is the rate of answers within the deadline divided by the capacity. The goal is at least 0.95.
	Goodput float64
	// Failed is the share of requests that were refused or timed out.
	Failed float64
	// FailureP99 and FailureMax are the times until the callers of failed requests got a reply. The goal is at most 5 ms.
	FailureP99, FailureMax time.Duration
	// Late is the share of failures that took longer than 5 ms.
	Late float64
}

// refusalGoal is the time within which refusals are to be returned.
const refusalGoal = 5 * time.Millisecond

// String returns one line for a report.
func (r Overload) String() string {
	return fmt.Sprintf("overload %-28s goodput %.1f%% of capacity, failed %.1f%%, told after p99 %v, max %v, over %v: %.2f%%",
		r.Variant, 100*r.Goodput, 100*r.Failed, r.FailureP99.Round(time.Microsecond), r.FailureMax.Round(time.Microsecond),
		refusalGoal, 100*r.Late)
}

// MeasureOverload compares the core with one unbounded queue per target.
func MeasureOverload(source Source, seed uint64) []Overload {
	return []Overload{
		runOverload(source(seed), "dispatch core", true),
		runOverload(source(seed), "baseline unbounded queue", false),
	}
}

func runOverload(random dispatch.Random, variant string, useCorePolicy bool) Overload {
	f := fleet{
		service: "mapa-skvrn", keyed: true, targets: overloadTargets, slots: overloadSlots, meanServiceTime: overloadServiceTime,
		coldStart: 3 * time.Second, queueLimit: 64,
	}
	s := f.buildSim(random)
	if useCorePolicy {
		f.useCorePolicy(s)
	} else {
		s.policy = newFIFOPolicy(s, false)
	}
	sentAt := map[dispatch.Handle]types.Instant{}
	var failures []time.Duration
	done := 0
	s.onReply = func(a dispatch.Action) {
		if a.Outcome == types.OutcomeDone {
			done++
		} else {
			failures = append(failures, s.now.Sub(sentAt[a.Handle]))
		}
	}
	var next dispatch.Handle
	rate := overloadFactor * f.capacity()
	s.poisson(overloadRequests, rate, func() {
		next++
		sentAt[next] = s.now
		s.policy.request(next, f.lookupRequest(s, s.intn(overloadTargets), overloadTimeout))
	})
	s.runFor(time.Duration(overloadRequests / rate * float64(time.Second)))
	seconds := s.now.Sub(simStart).Seconds()
	return summarizeOverload(variant, failures, float64(done)/seconds/f.capacity(), int(next))
}

func summarizeOverload(variant string, failures []time.Duration, goodput float64, requests int) Overload {
	late := 0
	for _, d := range failures {
		if d > refusalGoal {
			late++
		}
	}
	r := Overload{Variant: variant, Goodput: goodput, Failed: float64(len(failures)) / float64(requests)}
	if len(failures) > 0 {
		r.Late = float64(late) / float64(len(failures))
	}
	r.FailureP99 = percentile(failures, 0.99)
	r.FailureMax = percentile(failures, 1)
	return r
}
