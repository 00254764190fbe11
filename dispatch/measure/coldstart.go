package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
)

// Settings of the cold-start measure.
const (
	coldTargets  = 4
	coldSlots    = 4
	coldService  = 10 * time.Millisecond
	coldWarmUp   = 3 * time.Second
	coldOutage   = time.Second
	coldLoad     = 0.8
	coldRequests = 40_000
	coldFactor   = 5 // latency of a target that turned cold without restarting
)

// ColdStart is the load that a cold target received.
type ColdStart struct {
	Variant string
	// Received is the number of requests that reached the target while it was cold.
	Received int
	// OverAdmitted is how many of them exceeded what it could handle, Worst the largest excess at once.
	OverAdmitted, Worst int
}

// String returns one line for a report.
func (r ColdStart) String() string {
	return fmt.Sprintf("cold start %-36s received %d while cold, over-admitted %d, worst excess %d",
		r.Variant, r.Received, r.OverAdmitted, r.Worst)
}

// MeasureColdStart compares the core with and without its ramp: for a target that restarts, and for one that turns cold
// while its connections and its incarnation stay.
func MeasureColdStart(source Source, seed uint64) []ColdStart {
	return []ColdStart{
		runColdStart(source(seed), "restart, dispatch core", coldWarmUp, restartCold),
		runColdStart(source(seed), "restart, baseline without ramp", 0, restartCold),
		runColdStart(source(seed), "no restart, dispatch core", coldWarmUp, turnCold),
		runColdStart(source(seed), "no restart, baseline without ramp", 0, turnCold),
	}
}

func restartCold(s *sim, t *target) { t.crash(s, coldOutage) }

func turnCold(s *sim, t *target) {
	t.coldAt = s.now
	t.slow = coldFactor
	s.after(coldWarmUp, func() { t.slow = 1 })
}

func runColdStart(random dispatch.Random, variant string, ramp time.Duration, event func(*sim, *target)) ColdStart {
	f := fleet{
		service: "mapa-skvrn", keyed: true, targets: coldTargets, slots: coldSlots, mean: coldService,
		coldStart: ramp, queueLimit: 64,
	}
	s := f.build(random)
	f.useCore(s)
	s.onReply = func(dispatch.Action) {}
	cold := s.targets[f.id(0)]
	cold.warmUp = coldWarmUp
	var next dispatch.Handle
	rate := coldLoad * f.capacity()
	s.poisson(coldRequests, rate, func() {
		next++
		s.policy.request(next, f.lookup(s, s.intn(coldTargets), time.Second))
	})
	s.after(10*time.Second, func() { event(s, cold) })
	s.runFor(time.Duration(coldRequests / rate * float64(time.Second)))
	return ColdStart{Variant: variant, Received: cold.admittedCold, OverAdmitted: cold.overAdmitted, Worst: cold.worst}
}
