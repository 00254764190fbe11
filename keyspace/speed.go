package keyspace

import (
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// SpeedSample reports a response of a target, to measure the target's speed.
type SpeedSample struct {
	Target types.Target
	// Slowness is how much longer than usual work takes on the target's machine, as the target reported it; 1 is
	// normal, 0 means that it reported nothing.
	Slowness float64
	// ResponseTime is the time from the request to its response; 0 for a probe.
	ResponseTime time.Duration
}

func (SpeedSample) message() {}

// speed holds the measured speed of one incarnation of a target.
type speed struct {
	// slowness is the usual slowness that the target reports, relative to the average.
	slowness float64
	// samples is the number of samples with a reported slowness.
	samples int
	// responseTime is the average response time of requests, with their time in the target's queue; responseTimeAt is
	// when a request last updated it.
	responseTime   time.Duration
	responseTimeAt types.Instant
	// probedAt is when the target was last probed.
	probedAt types.Instant
}

// slowness returns the usual slowness of a target, without bursts caused by its neighbours. A target whose
// response times stay much longer than its reported slowness explains counts as slower.
func (c *Core) slowness(o Owner) float64 {
	s := c.speeds[o]
	if s == nil {
		return 1
	}
	usual := 1.0
	if s.samples > 0 {
		usual = s.slowness
	}
	return max(usual, responseTimeShare*s.responseTime.Seconds()/c.serviceTime.Seconds())
}

// addSpeedSample updates the service time and the speed of a target. The usual slowness follows falling values
// quickly and rising values slowly, and ignores short bursts almost entirely.
func (c *Core) addSpeedSample(now types.Instant, m SpeedSample) {
	member, ok := c.members[m.Target]
	if !ok {
		return
	}
	if m.ResponseTime > 0 && m.Slowness > 0 {
		// The response time that the target would have had at its normal speed.
		responseTime := time.Duration(float64(m.ResponseTime) / m.Slowness)
		// The cap keeps a few slow targets from raising the fleet's average.
		c.serviceTime += (min(responseTime, 2*c.serviceTime) - c.serviceTime) / serviceTimeSamples
	}
	s := c.speedOf(member.Owner)
	if m.ResponseTime > 0 {
		s.responseTime += (m.ResponseTime - s.responseTime) / responseTimeSamples
		s.responseTimeAt = now
	}
	if m.Slowness <= 0 {
		return
	}
	s.samples++
	switch ratio := m.Slowness / s.slowness; {
	case s.samples == 1:
		s.slowness = m.Slowness
	case ratio < 0.8:
		s.slowness += 0.6 * (m.Slowness - s.slowness)
	case ratio > 2:
		s.slowness += 0.02 * (m.Slowness - s.slowness)
	default:
		s.slowness += 0.2 * (m.Slowness - s.slowness)
	}
}

// speedOf returns the speed of an owner, and starts to measure it when there is none yet.
func (c *Core) speedOf(o Owner) *speed {
	s := c.speeds[o]
	if s == nil {
		s = &speed{slowness: 1}
		c.speeds[o] = s
	}
	return s
}

// decayResponseTimes reduces the average response time of targets that get no requests any more, so that they are
// tried again.
func (c *Core) decayResponseTimes(now types.Instant) {
	for _, s := range c.speeds {
		if now.Sub(s.responseTimeAt) > responseTimeValidity {
			s.responseTime -= s.responseTime / responseTimeSamples
		}
	}
}

// probeNewTargets probes the targets of which few samples exist, so that the first table already prefers the fast
// ones.
func (c *Core) probeNewTargets(now types.Instant) {
	if now.Before(c.nextProbeCheckAt) {
		return
	}
	c.nextProbeCheckAt = now.Add(probeCheckInterval)
	for _, t := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[t]
		s := c.speedOf(m.Owner)
		if !m.Usable || s.samples >= newTargetProbes || c.batchesInFlight[m.Owner] > 0 || now.Before(s.probedAt.Add(newTargetProbeInterval)) {
			continue
		}
		s.probedAt = now
		c.sendProbe(m.Owner)
	}
}
