package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// Settings of the straggler measurement. The fleet has the size of the joint venture's keyed service.
const (
	stragglerTargets     = 16
	stragglerSlots       = 4
	stragglerServiceTime = 10 * time.Millisecond
	stragglerLoad        = 0.5 // share of the capacity
	stragglerRequests    = 60_000
	stragglerTimeout     = time.Second
	stragglerSlowdown    = 10
)

// Stragglers is the result of one variant of the straggler measurement: latencies while a quarter of the targets is
// slowed tenfold.
type Stragglers struct {
	// Variant names the policy.
	Variant string
	// Undisturbed is the p99 of all answers in a run without stragglers.
	Undisturbed time.Duration
	// Healthy is the p99 of answers from targets that are not slowed.
	Healthy time.Duration
	// HealthyDone and SlowedDone are the shares of requests that were answered in time.
	HealthyDone, SlowedDone float64
}

// Ratio is the p99 of healthy targets divided by the undisturbed p99. The goal is at most 2.
func (r Stragglers) Ratio() float64 { return float64(r.Healthy) / float64(r.Undisturbed) }

// String returns one line for a report.
func (r Stragglers) String() string {
	return fmt.Sprintf("stragglers %-22s p99 undisturbed %v, healthy targets %v (x%.2f), done: healthy %.1f%%, slowed %.1f%%",
		r.Variant, r.Undisturbed.Round(time.Microsecond), r.Healthy.Round(time.Microsecond), r.Ratio(),
		100*r.HealthyDone, 100*r.SlowedDone)
}

// MeasureStragglers compares the core with one queue and limit that all targets share.
func MeasureStragglers(source Source, seed uint64) []Stragglers {
	var results []Stragglers
	for _, variant := range []string{"dispatch core", "baseline shared queue"} {
		shared := variant != "dispatch core"
		undisturbed := runStragglers(source(seed), shared, 1)
		slowed := runStragglers(source(seed), shared, stragglerSlowdown)
		results = append(results, Stragglers{
			Variant: variant, Undisturbed: percentile(undisturbed.allLatencies(), 0.99), Healthy: percentile(slowed.latency[0], 0.99),
			HealthyDone: slowed.doneShare(0), SlowedDone: slowed.doneShare(1),
		})
	}
	return results
}

// stragglerRun holds the latencies of answers from, and the numbers of requests to, healthy (0) and slowed (1) targets.
type stragglerRun struct {
	latency [2][]time.Duration
	sent    [2]int
}

func (r *stragglerRun) allLatencies() []time.Duration { return append(r.latency[0], r.latency[1]...) }

// doneShare returns the share of the requests to a group that were answered within their deadline.
func (r *stragglerRun) doneShare(group int) float64 {
	return float64(len(r.latency[group])) / float64(r.sent[group])
}

// sentRequest is the arrival time of a request and the group of its target: 0 healthy, 1 slowed.
type sentRequest struct {
	at    types.Instant
	group int
}

func runStragglers(random dispatch.Random, shared bool, factor float64) *stragglerRun {
	f := fleet{
		service: "mapa-skvrn", keyed: true, targets: stragglerTargets, slots: stragglerSlots,
		meanServiceTime: stragglerServiceTime, coldStart: 3 * time.Second, queueLimit: 64,
	}
	s := f.buildSim(random)
	if shared {
		s.policy = newFIFOPolicy(s, true)
	} else {
		f.useCorePolicy(s)
	}
	for n := range stragglerTargets / 4 {
		s.targets[f.targetID(n)].slowdown = factor
	}
	run := &stragglerRun{}
	sent := map[dispatch.Handle]sentRequest{}
	s.onReply = func(a dispatch.Action) {
		if a.Outcome == types.OutcomeDone {
			q := sent[a.Handle]
			run.latency[q.group] = append(run.latency[q.group], s.now.Sub(q.at))
		}
	}
	var next dispatch.Handle
	s.poisson(stragglerRequests, stragglerLoad*f.capacity(), func() {
		n := s.intn(stragglerTargets)
		group := 0
		if n < stragglerTargets/4 {
			group = 1
		}
		next++
		sent[next] = sentRequest{s.now, group}
		run.sent[group]++
		s.policy.request(next, f.lookupRequest(s, n, stragglerTimeout))
	})
	s.runFor(time.Duration(stragglerRequests/(stragglerLoad*f.capacity())*float64(time.Second)) + 10*time.Second)
	return run
}
