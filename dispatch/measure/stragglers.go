package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// Settings of the straggler measure. The fleet is that of the joint venture's keyed service.
const (
	stragglerTargets  = 16
	stragglerSlots    = 4
	stragglerService  = 10 * time.Millisecond
	stragglerLoad     = 0.5 // share of the capacity
	stragglerRequests = 60_000
	stragglerTimeout  = time.Second
	stragglerFactor   = 10
)

// Stragglers is the latency while a quarter of the targets is slowed tenfold.
type Stragglers struct {
	Variant string
	// Undisturbed is the p99 of all answers in a run without stragglers.
	Undisturbed time.Duration
	// Healthy is the p99 of answers from targets that are not slowed.
	Healthy time.Duration
	// HealthyDone and SlowedDone are the shares of requests that were answered in time.
	HealthyDone, SlowedDone float64
}

// Ratio is the p99 of healthy targets by the undisturbed p99. The goal is at most 2.
func (r Stragglers) Ratio() float64 { return float64(r.Healthy) / float64(r.Undisturbed) }

// String returns one line for a report.
func (r Stragglers) String() string {
	return fmt.Sprintf("stragglers %-22s p99 undisturbed %v, healthy targets %v (x%.2f), done: healthy %.1f%%, slowed %.1f%%",
		r.Variant, r.Undisturbed.Round(time.Microsecond), r.Healthy.Round(time.Microsecond), r.Ratio(),
		100*r.HealthyDone, 100*r.SlowedDone)
}

// MeasureStragglers compares the core with one shared queue and limit for all targets.
func MeasureStragglers(source Source, seed uint64) []Stragglers {
	var results []Stragglers
	for _, variant := range []string{"dispatch core", "baseline shared queue"} {
		shared := variant != "dispatch core"
		calm := runStragglers(source(seed), shared, 1)
		slowed := runStragglers(source(seed), shared, stragglerFactor)
		results = append(results, Stragglers{
			Variant: variant, Undisturbed: percentile(calm.all(), 0.99), Healthy: percentile(slowed.latency[0], 0.99),
			HealthyDone: slowed.done(0), SlowedDone: slowed.done(1),
		})
	}
	return results
}

// stragglerRun holds the answers of healthy (0) and slowed (1) targets.
type stragglerRun struct {
	latency [2][]time.Duration
	asked   [2]int
}

func (r *stragglerRun) all() []time.Duration { return append(r.latency[0], r.latency[1]...) }

func (r *stragglerRun) done(group int) float64 {
	return float64(len(r.latency[group])) / float64(r.asked[group])
}

type sample struct {
	at    types.Instant
	group int
}

func runStragglers(random dispatch.Random, shared bool, factor float64) *stragglerRun {
	f := fleet{
		service: "mapa-skvrn", keyed: true, targets: stragglerTargets, slots: stragglerSlots,
		mean: stragglerService, coldStart: 3 * time.Second, queueLimit: 64,
	}
	s := f.build(random)
	if shared {
		s.policy = newFIFOPolicy(s, true)
	} else {
		f.useCore(s)
	}
	for n := range stragglerTargets / 4 {
		s.targets[f.id(n)].slow = factor
	}
	run := &stragglerRun{}
	asked := map[dispatch.Handle]sample{}
	s.onReply = func(a dispatch.Action) {
		if a.Outcome == types.OutcomeDone {
			q := asked[a.Handle]
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
		asked[next] = sample{s.now, group}
		run.asked[group]++
		s.policy.request(next, f.lookup(s, n, stragglerTimeout))
	})
	s.runFor(time.Duration(stragglerRequests/(stragglerLoad*f.capacity())*float64(time.Second)) + 10*time.Second)
	return run
}
