package keyspace

import (
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Observed reports how an answer came, to measure the speed of targets.
type Observed struct {
	Target types.Target
	// Slowness is what the target said of its machine; 0 when it said nothing.
	Slowness float64
	// Took is the time of the request, 0 for a probe.
	Took time.Duration
}

func (Observed) message() {}

// speed is what is known of one life of a target.
type speed struct {
	slowness float64
	seen     int
	// took is the average time of requests, with their time in the target's queue; tookAt is when it last changed.
	took   time.Duration
	tookAt types.Instant
	// askedAt is when the target was last probed.
	askedAt types.Instant
}

// slowness is the usual slowness of a target, without the bursts that come from its neighbours. A target whose requests
// keep taking much longer than its machine explains counts as slower.
func (c *Core) slowness(o Owner) float64 {
	s := c.speeds[o]
	if s == nil {
		return 1
	}
	usual := 1.0
	if s.seen > 0 {
		usual = s.slowness
	}
	return max(usual, lastingShare*s.took.Seconds()/c.work.Seconds())
}

// observe follows the usual slowness: down at once, up slowly, and hardly at all for short bursts.
func (c *Core) observe(now types.Instant, m Observed) {
	member, ok := c.members[m.Target]
	if !ok {
		return
	}
	if m.Took > 0 && m.Slowness > 0 {
		took := time.Duration(float64(m.Took) / m.Slowness)
		// A few slow targets must not make slowness look usual.
		c.work += (min(took, 2*c.work) - c.work) / workSamples
	}
	s := c.speedOf(member.Owner)
	if m.Took > 0 {
		s.took += (m.Took - s.took) / tookSamples
		s.tookAt = now
	}
	if m.Slowness <= 0 {
		return
	}
	s.seen++
	switch ratio := m.Slowness / s.slowness; {
	case s.seen == 1:
		s.slowness = m.Slowness
	case ratio < 0.8:
		s.slowness += 0.6 * (m.Slowness - s.slowness)
	case ratio > 2:
		s.slowness += 0.02 * (m.Slowness - s.slowness)
	default:
		s.slowness += 0.2 * (m.Slowness - s.slowness)
	}
}

func (c *Core) speedOf(o Owner) *speed {
	s := c.speeds[o]
	if s == nil {
		s = &speed{slowness: 1}
		c.speeds[o] = s
	}
	return s
}

// forgive lets the time of requests fade at targets that get none any more, so that they are tried again.
func (c *Core) forgive(now types.Instant) {
	for _, s := range c.speeds {
		if now.Sub(s.tookAt) > tookLife {
			s.took -= s.took / tookSamples
		}
	}
}

// probe asks the targets of which little is known, so that the first table already prefers the fast ones.
func (c *Core) probe(now types.Instant) {
	for _, t := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[t]
		s := c.speedOf(m.Owner)
		if !m.Usable || s.seen >= probes || c.outstanding[m.Owner] > 0 || now.Before(s.askedAt.Add(probeInterval)) {
			continue
		}
		s.askedAt = now
		c.ask(m.Owner)
	}
}
