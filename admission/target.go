package admission

import (
	"math"
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/types"
)

// target is what this VM knows of one target.
type target struct {
	catalog.Listing
	// own is the number of this VM's requests under way; peers that of all other VMs.
	own   int
	peers int
	// peersWaiting is the number of requests that wait for the target at VMs of this data centre.
	peersWaiting int
	// remote is the estimated number of requests of VMs in other data centres at remoteAt, from the target's reports.
	remote   float64
	remoteAt types.Instant
	// work is the average time of a request when the target is as fast as usual; 0 before the first answer.
	work time.Duration
	// slowness is the last reported one, believed until slownessLife after slowAt.
	slowness float64
	slowAt   types.Instant
	// failures is the average share of failed attempts.
	failures    float64
	unreachable types.Instant
	// closingAt is when the target was first seen to drain or its data centre to be evacuated; 0 when neither.
	closingAt types.Instant
	// recent holds the requests of this data centre's VMs to the target.
	recent sends
	// mine holds those of this VM alone.
	mine sends
}

func (c *Core) setTargets(now types.Instant, m Targets) {
	seen := make(map[types.Target]bool, len(m.Targets))
	for _, n := range m.Targets {
		name := n.Target
		seen[name] = true
		t := c.targets[name]
		if t == nil || !t.SameIncarnation(n.Registration) {
			t = &target{}
			c.targets[name] = t
		}
		t.Listing = n
		switch closing := n.Draining || n.Evacuated; {
		case !closing:
			t.closingAt = 0
		case t.closingAt == 0:
			t.closingAt = now
		}
	}
	for name := range c.targets {
		if !seen[name] {
			delete(c.targets, name)
		}
	}
	c.attach()
	c.countPeers(now)
	for _, s := range c.services {
		c.serve(now, s)
	}
}

// load is the number of requests at the target, as far as this VM knows: those of its data centre, which it is told of,
// and an estimate for the others.
func (t *target) load(now types.Instant) float64 {
	return float64(t.own+t.peers) + t.others(now)
}

// others is the estimate of the requests from other data centres. It fades, because it comes from past answers.
func (t *target) others(now types.Instant) float64 {
	return t.remote * math.Exp(-now.Sub(t.remoteAt).Seconds()/othersLife.Seconds())
}

// learn updates the averages after an attempt and keeps the observation for the other VMs.
func (c *Core) learn(now types.Instant, f *flight, t *target, m Finished) {
	s := Sample{Target: t.Target, Load: -1, Failed: m.Result == ResultLost || m.Failed || m.Unreachable}
	if m.Report != nil {
		s.Slowness = m.Report.Slowness
		s.Load = m.Report.Running + m.Report.Waiting
	}
	if m.Result == ResultAnswered && !m.Failed {
		s.Took = now.Sub(f.sentAt)
	}
	if m.Unreachable {
		t.unreachable = now.Add(reachableWait)
	}
	if f.answered && m.Result == ResultLost {
		// The attempt was aborted: this says only that the target has taken at least this long.
		s.Failed = false
		if s.Took = now.Sub(f.sentAt); s.Took < abortedFactor*t.expectedIdle() {
			return
		}
	}
	t.observe(now, s)
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, s)
	}
}

// maxSamples bounds the observations kept for one report to the other VMs.
const maxSamples = 64

func (t *target) observe(now types.Instant, s Sample) {
	if s.Slowness > 0 {
		t.slowness, t.slowAt = s.Slowness, now
	}
	if s.Load >= 0 {
		seen := max(0, float64(s.Load-t.own-t.peers))
		t.remote = t.others(now) + othersWeight*(seen-t.others(now))
		t.remoteAt = now
	}
	failed := 0.0
	if s.Failed {
		failed = 1
	}
	t.failures += sampleWeight * (failed - t.failures)
	if s.Took <= 0 {
		return
	}
	took := s.Took
	if s.Slowness > 0 {
		took = time.Duration(float64(took) / s.Slowness)
	}
	if t.work == 0 {
		t.work = usualWork
	}
	t.work += time.Duration(sampleWeight * float64(took-t.work))
}

// expectedIdle is the time of a request at the target without a queue.
func (t *target) expectedIdle() time.Duration {
	work := t.work
	if work == 0 {
		work = usualWork
	}
	if t.slowness > 0 {
		work = time.Duration(float64(work) * t.slowness)
	}
	return max(work, time.Millisecond)
}

// expected is the time that a request at the target is expected to take from now.
func (t *target) expected(now types.Instant) time.Duration {
	work := t.work
	if work == 0 {
		work = usualWork
	}
	slow := 1.2
	if t.slowness > 0 && now.Before(t.slowAt.Add(slownessLife)) {
		slow = t.slowness
	}
	queue := 1 + max(0, t.load(now)+1-float64(t.Slots))/float64(max(t.Slots, 1))
	return time.Duration(float64(work) * slow * queue * (1 + 3*t.failures))
}
