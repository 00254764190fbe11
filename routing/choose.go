package routing

import (
	"time"

	"sequoiasail.example/types"
)

// resolution is the result of resolving a route. code is empty when route can be used.
type resolution struct {
	route  route
	reason Reason
	code   types.Code
	// unroutable is true when waiting up to TakeoverWait for a row change would not help.
	unroutable bool
}

// resolve finds a route for the request, or the code of the reason why there is none.
func (c *Core) resolve(now types.Instant, req *pendingRequest) resolution {
	s := req.service
	switch {
	case s.keyed:
		return c.resolveKey(now, req)
	case !req.request.Idempotent && len(s.homes.Targets()) > 0:
		return c.resolveHome(now, req)
	case req.request.Pinned != "":
		return c.resolvePinned(now, req)
	}
	return c.resolveAny(now, req)
}

// resolveKey looks up the slot or hot-key row of the key, its owner and the owner's dispatcher.
func (c *Core) resolveKey(now types.Instant, req *pendingRequest) resolution {
	s := req.service
	owner, slot, epoch, reason := s.lookup(req.request.Key)
	p := resolution{route: route{target: noIndex, vm: noIndex, slot: slot, slotEpoch: epoch}, reason: reason}
	if owner == NoOwner {
		p.code = types.CodeNoOwner
		return p
	}
	return c.completeRoute(now, s, int32(owner), p)
}

// resolveHome routes to the home of the request's identifier. The dispatcher of the home remembers the identifier, so
// that a resend through another gateway does not run it again.
func (c *Core) resolveHome(now types.Instant, req *pendingRequest) resolution {
	s := req.service
	p := resolution{route: noRoute, reason: ReasonHome}
	i, ok := s.byName[s.homes.Of(req.request.Caller, req.request.ID)]
	if !ok {
		p.code = types.CodeNoRoute
		return p
	}
	return c.completeRoute(now, s, i, p)
}

// resolvePinned routes to the target that the request is pinned to.
func (c *Core) resolvePinned(now types.Instant, req *pendingRequest) resolution {
	s := req.service
	p := resolution{route: noRoute, reason: ReasonPinned}
	i, ok := s.byName[req.request.Pinned]
	if !ok || now >= s.targets[i].outAt {
		p.code = types.CodeNoRoute
		p.unroutable = true
		return p
	}
	return c.completeRoute(now, s, i, p)
}

// resolveAny routes to the better of two random targets.
func (c *Core) resolveAny(now types.Instant, req *pendingRequest) resolution {
	s := req.service
	p := resolution{route: noRoute, reason: ReasonTwoChoices}
	i := c.chooseTarget(now, s, req)
	if i == noIndex {
		p.code = types.CodeNoRoute
		p.unroutable = !s.hasTargetInService()
		return p
	}
	return c.completeRoute(now, s, i, p)
}

// completeRoute completes p with target i and its dispatcher.
func (c *Core) completeRoute(now types.Instant, s *service, i int32, p resolution) resolution {
	t := &s.targets[i]
	p.route.target = i
	p.route.leaseEpoch = t.leaseEpoch
	if t.vm == noIndex || now >= t.outAt || now >= c.cluster.dispatchers[t.vm].outAt {
		p.code = types.CodeNoRoute
		return p
	}
	p.route.vm = t.vm
	return p
}

// hasTargetInService reports whether some configured target is in service, so that a route may appear once its
// dispatcher can be reached.
func (s *service) hasTargetInService() bool {
	for i := range s.targets {
		if s.targets[i].configured && s.targets[i].outAt == never {
			return true
		}
	}
	return false
}

// remotePenalty multiplies the score of targets in other data centres, because links between data centres are costly.
// A remote target is chosen only if its score is this many times lower than that of a local one.
const remotePenalty = 2

// chooseTarget compares two random targets of the gateway's data centre and one of the others. It returns noIndex if no
// target can be chosen.
func (c *Core) chooseTarget(now types.Instant, s *service, req *pendingRequest) int32 {
	r := c.options.Random.Uint64()
	best := c.pickUsable(now, s, req, s.local, uint32(r))
	if best == noIndex {
		return c.chooseRemote(now, s, req, r)
	}
	score := s.score(now, best)
	if i := c.pickUsable(now, s, req, s.local, uint32(r>>32)); i != best {
		if other := s.score(now, i); other < score {
			best, score = i, other
		}
	}
	if i := c.pickUsable(now, s, req, s.remote, uint32(r>>16)); i != noIndex && s.score(now, i)*remotePenalty < score {
		best = i
	}
	return best
}

func (c *Core) chooseRemote(now types.Instant, s *service, req *pendingRequest, r uint64) int32 {
	a := c.pickUsable(now, s, req, s.remote, uint32(r))
	if a == noIndex {
		return noIndex
	}
	b := c.pickUsable(now, s, req, s.remote, uint32(r>>32))
	if s.score(now, b) < s.score(now, a) {
		return b
	}
	return a
}

// pickUsable returns the first usable target of list from a random position on, or noIndex.
func (c *Core) pickUsable(now types.Instant, s *service, req *pendingRequest, list []int32, random uint32) int32 {
	n := len(list)
	if n == 0 {
		return noIndex
	}
	start := int(uint64(random) * uint64(n) >> 32)
	for k := range n {
		i := list[(start+k)%n]
		if c.usable(now, s, req, i) {
			return i
		}
	}
	return noIndex
}

// usable reports whether a target may be chosen for the request. The target of the request's latest attempt is not
// chosen again unless it is the only one.
func (c *Core) usable(now types.Instant, s *service, req *pendingRequest, i int32) bool {
	t := &s.targets[i]
	if now < t.ejectedUntil || now >= c.cluster.dispatchers[t.vm].outAt {
		return false
	}
	if i == req.lastTried.target && len(s.local)+len(s.remote) > 1 {
		return false
	}
	return true
}

// score estimates the time that one more request would take at target i, divided by the target's weight.
func (s *service) score(now types.Instant, i int32) float64 {
	t := &s.targets[i]
	return float64(t.outstanding+1) * t.latency.estimate(now) / t.weight
}

// Ejection thresholds.
const (
	// ejectFailures is the number of failures in a row after which a target is ejected.
	ejectFailures = 5
	// ejectTime is the duration of a target's first ejection. It doubles with each further one.
	ejectTime = time.Second
	// ejectDoublings bounds the doubling, so that a repaired target is tried again within 32 s.
	ejectDoublings = 5
)

// observe records the latency and outcome of one attempt at target i. It reports whether the target should be
// ejected.
func (s *service) observe(now types.Instant, i int32, l time.Duration, o types.Outcome) bool {
	t := &s.targets[i]
	t.latency.observe(now, l)
	if o != types.OutcomeUnknown {
		t.failures = 0
		t.ejections = 0
		s.latency.observe(l)
		return false
	}
	t.failures = min(t.failures+1, ejectFailures)
	return t.failures == ejectFailures && now >= t.ejectedUntil
}

// eject stops choosing a target for a while, unless the share of ejected targets would exceed maxEjectedShare. It
// reports whether the target was ejected.
func (s *service) eject(now types.Instant, i int32) bool {
	if s.keyed || float64(s.ejectedCount(now)+1) > s.maxEjectedShare*float64(s.configuredCount()) {
		return false
	}
	t := &s.targets[i]
	t.ejectedUntil = now.Add(ejectTime << t.ejections)
	t.ejections = min(t.ejections+1, ejectDoublings)
	t.failures = 0
	return true
}

func (s *service) ejectedCount(now types.Instant) int {
	n := 0
	for i := range s.targets {
		if s.targets[i].configured && now < s.targets[i].ejectedUntil {
			n++
		}
	}
	return n
}

func (s *service) configuredCount() int {
	n := 0
	for i := range s.targets {
		if s.targets[i].configured {
			n++
		}
	}
	return n
}
