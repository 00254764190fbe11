package admission

import (
	"maps"
	"math"
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/types"
)

// target is this VM's view of one target.
type target struct {
	catalog.Listing
	// ownInFlight is the number of this VM's requests in flight, peerRequests that of the VMs that report to this one.
	ownInFlight  int
	peerRequests int
	// peerWaiting is the number of requests that wait for the target at other VMs of this data centre.
	peerWaiting int
	// remoteInFlight is the number of requests from other data centres at remoteAt, estimated from the target's
	// reports.
	remoteInFlight float64
	remoteAt       types.Instant
	// workTime is the average time of a request when the target runs at its normal speed; 0 before the first answer.
	workTime time.Duration
	// slowness is the Slowness that the target last reported, at slownessAt. expectedTime uses it for slownessTTL.
	slowness   float64
	slownessAt types.Instant
	// failureRate is the moving average of the share of failed attempts.
	failureRate float64
	// unreachable is the time until which the target gets no requests, because a connection to it failed.
	unreachable types.Instant
	// leavingSince is when the target was first seen to drain or its data centre to be evacuated; 0 when neither.
	leavingSince types.Instant
	// leavingUntil is Targets.LeavingUntil of the list with which it began to leave.
	leavingUntil types.Instant
	// dataCentreSends holds the requests that the VMs of this data centre sent to the target.
	dataCentreSends sendWindow
	// ownSends holds the requests that this VM sent.
	ownSends sendWindow
	// heardAt is when the last answer of the target was known, if requests in flight are reviewed.
	heardAt types.Instant
	// delistedAt is when the target left the list, for one in Core.delisted.
	delistedAt types.Instant
}

// delistedTTL is how long the state of a target is kept after it has left the list. Registrations that lapsed while the store
// was away come back within about 2 s.
const delistedTTL = 5 * time.Second

// setTargets replaces the list of targets. A registration that is missing for a moment must not make this VM forget what it
// has sent to the target: a cold one would get what it tolerates twice.
func (c *Core) setTargets(now types.Instant, m Targets) {
	maps.DeleteFunc(c.delisted, func(_ types.Target, t *target) bool { return now.Sub(t.delistedAt) >= delistedTTL })
	seen := make(map[types.Target]bool, len(m.Targets))
	for _, n := range m.Targets {
		name := n.Target
		seen[name] = true
		t := c.knownTarget(name)
		if t == nil || !t.SameIncarnation(n.Registration) {
			t = &target{}
		}
		c.targets[name] = t
		delete(c.delisted, name)
		t.Listing = n
		switch leaving := n.Draining || n.Evacuated; {
		case !leaving:
			t.leavingSince = 0
		case t.leavingSince == 0:
			t.leavingSince, t.leavingUntil = now, m.LeavingUntil
		}
	}
	for name, t := range c.targets {
		if !seen[name] {
			t.delistedAt = now
			c.delisted[name] = t
			delete(c.targets, name)
		}
	}
	c.groupTargets()
	c.sumPeerReports(now)
	for _, s := range c.services {
		c.sendWaiting(now, s)
	}
}

// knownTarget returns a target that is listed or has left the list less than delistedTTL ago, nil for any other.
func (c *Core) knownTarget(name types.Target) *target {
	if t := c.targets[name]; t != nil {
		return t
	}
	return c.delisted[name]
}

// load is the number of requests at the target as known to this VM: those that the VMs of its data centre report, and
// an estimate for the other data centres.
func (t *target) load(now types.Instant) float64 {
	return float64(t.ownInFlight+t.peerRequests) + t.estimateRemote(now)
}

// estimateRemote estimates the requests from other data centres. The estimate decays, because it comes from past
// answers.
func (t *target) estimateRemote(now types.Instant) float64 {
	return t.remoteInFlight * math.Exp(-now.Sub(t.remoteAt).Seconds()/remoteDecay.Seconds())
}

// recordOutcome updates the averages after an attempt and keeps the observation for the next report.
func (c *Core) recordOutcome(now types.Instant, req *request, f flight, m AttemptFinished) {
	t := f.target
	s := Sample{Target: t.Target, Load: -1, Failed: m.Result == ResultLost || m.Failed || m.Unreachable}
	if m.Report != nil {
		s.Slowness = m.Report.Slowness
		s.Load = m.Report.Running + m.Report.Waiting
	}
	if m.Result == ResultAnswered && !m.Failed {
		s.ResponseTime = now.Sub(f.sentAt)
	}
	if m.Unreachable {
		t.unreachable = now.Add(unreachableDelay)
	}
	if m.Result == ResultMisdirected && !req.service.Keyed {
		// Another target has the address: this one has ended, and its registration lapses later.
		t.unreachable = now.Add(endedTargetDelay)
		s.Failed = true
	}
	if req.finished && m.Result == ResultLost {
		// The attempt was aborted: its duration is only a lower bound of the target's time.
		s.Failed = false
		if s.ResponseTime = now.Sub(f.sentAt); s.ResponseTime < abortedTimeFactor*t.unqueuedTime() {
			return
		}
	}
	s = s.withinLimits()
	t.applySample(now, s)
	c.noteSample(now, t, s, m.Result == ResultAnswered || s.Load >= 0, f.sentAt)
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, s)
	}
}

// maxSamples bounds the observations kept for one report.
const maxSamples = 64

// applySample updates the target's load estimate and averages with one observation, which is within the limits of reports.
func (t *target) applySample(now types.Instant, s Sample) {
	if s.Slowness > 0 {
		t.slowness, t.slownessAt = s.Slowness, now
	}
	if s.Load >= 0 {
		remote := max(0, float64(s.Load-t.ownInFlight-t.peerRequests))
		t.remoteInFlight = t.estimateRemote(now) + remoteWeight*(remote-t.estimateRemote(now))
		t.remoteAt = now
	}
	failed := 0.0
	if s.Failed {
		failed = 1
	}
	t.failureRate += sampleWeight * (failed - t.failureRate)
	if s.ResponseTime <= 0 {
		return
	}
	duration := s.ResponseTime
	if s.Slowness > 0 {
		duration = time.Duration(min(float64(duration)/s.Slowness, float64(maxExpectedTime)))
	}
	if t.workTime == 0 {
		t.workTime = defaultWorkTime
	}
	t.workTime += time.Duration(sampleWeight * float64(duration-t.workTime))
}

// unqueuedTime is the expected time of a request at the target without a queue.
func (t *target) unqueuedTime() time.Duration {
	workTime := t.workTime
	if workTime == 0 {
		workTime = defaultWorkTime
	}
	if t.slowness > 0 {
		workTime = time.Duration(min(float64(workTime)*t.slowness, float64(maxExpectedTime)))
	}
	return max(workTime, time.Millisecond)
}

// expectedTime is the expected time of a request that is sent to the target now. Without a recent report, the target
// is assumed to be 1.2 times as slow as usual.
func (t *target) expectedTime(now types.Instant) time.Duration {
	workTime := t.workTime
	if workTime == 0 {
		workTime = defaultWorkTime
	}
	slow := 1.2
	if t.slowness > 0 && now.Before(t.slownessAt.Add(slownessTTL)) {
		slow = t.slowness
	}
	queue := 1 + max(0, t.load(now)+1-float64(t.Slots))/float64(max(t.Slots, 1))
	return time.Duration(min(float64(workTime)*slow*queue*(1+3*t.failureRate), float64(maxExpectedTime)))
}

// maxExpectedTime bounds an estimate, so that sums of estimates don't overflow.
const maxExpectedTime = time.Hour
