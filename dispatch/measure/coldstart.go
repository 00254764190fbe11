package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
)

// Settings of the cold-start measurement: four targets at 80 % load, one of which is cold for coldWarmUp.
const (
	coldTargets     = 4
	coldSlots       = 4
	coldServiceTime = 10 * time.Millisecond
	coldWarmUp      = 3 * time.Second
	coldOutage      = time.Second // until a crashed target restarts
	coldLoad        = 0.8         // share of the capacity
	coldRequests    = 40_000
	coldSlowdown    = 5 // slowdown of a target that becomes cold without restarting
)

// ColdStart is the result of one variant of the cold-start measurement: the load that a cold target received.
type ColdStart struct {
	// Variant names the kind of cold start and the policy.
	Variant string
	// Received is the number of requests that reached the target while it was cold.
	Received int
	// OverAdmitted is how many of them exceeded its capacity, WorstExcess the largest excess at one time.
	OverAdmitted, WorstExcess int
}

// String returns one line for a report.
func (r ColdStart) String() string {
	return fmt.Sprintf("cold start %-36s received %d while cold, over-admitted %d, worst excess %d",
		r.Variant, r.Received, r.OverAdmitted, r.WorstExcess)
}

// MeasureColdStart compares the core with and without its warm-up ramp, for a target that restarts and for one that
// becomes cold while it keeps its connections and incarnation.
func MeasureColdStart(source Source, seed uint64) []ColdStart {
	return []ColdStart{
		runColdStart(source(seed), "restart, dispatch core", coldWarmUp, crashAndRestart),
		runColdStart(source(seed), "restart, baseline without ramp", 0, crashAndRestart),
		runColdStart(source(seed), "no restart, dispatch core", coldWarmUp, becomeCold),
		runColdStart(source(seed), "no restart, baseline without ramp", 0, becomeCold),
	}
}

// crashAndRestart restarts the target, which is then cold.
func crashAndRestart(s *sim, t *target) { t.crash(s, coldOutage) }

// becomeCold slows the target and lowers its capacity without a restart.
func becomeCold(s *sim, t *target) {
	t.coldSince = s.now
	t.slowdown = coldSlowdown
	s.after(coldWarmUp, func() { t.slowdown = 1 })
}

func runColdStart(random dispatch.Random, variant string, ramp time.Duration, event func(*sim, *target)) ColdStart {
	f := fleet{
		service: "mapa-skvrn", keyed: true, targets: coldTargets, slots: coldSlots, meanServiceTime: coldServiceTime,
		coldStart: ramp, queueLimit: 64,
	}
	s := f.buildSim(random)
	f.useCorePolicy(s)
	s.onReply = func(dispatch.Action) {}
	cold := s.targets[f.targetID(0)]
	cold.warmUp = coldWarmUp
	var next dispatch.Handle
	rate := coldLoad * f.capacity()
	s.poisson(coldRequests, rate, func() {
		next++
		s.policy.request(next, f.lookupRequest(s, s.intn(coldTargets), time.Second))
	})
	s.after(10*time.Second, func() { event(s, cold) })
	s.runFor(time.Duration(coldRequests / rate * float64(time.Second)))
	return ColdStart{Variant: variant, Received: cold.admittedCold, OverAdmitted: cold.overAdmitted, WorstExcess: cold.worstExcess}
}
