package admission

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// chooseTarget returns the target for a request, or the code to refuse it with. When it returns neither, the request
// waits.
func (c *Core) chooseTarget(now types.Instant, req *request) (*target, types.Code) {
	if req.service.Keyed {
		return c.chooseOwner(now, req)
	}
	return c.chooseFastest(now, req)
}

// estimate is a target and the time in which it is expected to answer.
type estimate struct {
	target *target
	time   time.Duration
}

// chooseFastest returns one of the targets that are expected to answer first.
func (c *Core) chooseFastest(now types.Instant, req *request) (*target, types.Code) {
	c.estimates = c.estimates[:0]
	usable, untried := false, false
	for _, t := range req.service.targets {
		if t.leavingSince != 0 || now.Before(t.unreachable) {
			continue
		}
		usable = true
		if slices.Contains(req.tried, t.Target) {
			continue
		}
		untried = true
		if !c.hasRoom(now, t, t.Slots+queuedBeyondSlots) {
			continue
		}
		e := estimate{target: t, time: t.expectedTime(now) + c.remotePenalty(t)}
		// Up to 5 % of jitter keeps VMs with the same information from all choosing the same target.
		e.time += time.Duration(c.random.Int64N(int64(e.time/20) + 1))
		c.estimates = append(c.estimates, e)
	}
	if len(c.estimates) > 0 {
		return c.drawEstimate(now, req.service), ""
	}
	if usable && !untried {
		return nil, types.CodeTargetRefused
	}
	if usable && c.wouldFinishTooLate(now, req, nil) {
		return nil, types.CodeOverloaded
	}
	return nil, c.waitOrRefuse(now, req, usable)
}

// drawEstimate returns one of the best targets in c.estimates. Each request that the neighbours have sent and not reported yet
// has taken one of the best targets, so the choice is drawn from as many more.
func (c *Core) drawEstimate(now types.Instant, s *service) *target {
	best := slices.MinFunc(c.estimates, func(a, b estimate) int { return cmp.Compare(a.time, b.time) })
	unreported := int(c.unreportedSends(now, s))
	if unreported == 0 {
		return best.target
	}
	limit := time.Duration(spreadFactor * float64(best.time))
	similar := slices.DeleteFunc(c.estimates, func(e estimate) bool { return e.time > limit })
	if unreported+1 < len(similar) {
		slices.SortFunc(similar, func(a, b estimate) int { return cmp.Compare(a.time, b.time) })
		similar = similar[:unreported+1]
	}
	return similar[c.random.IntN(len(similar))].target
}

// unreportedSends estimates how many requests for a service the neighbours have sent since their last reports.
func (c *Core) unreportedSends(now types.Instant, s *service) float64 {
	return s.neighbourRate.perSecond(now) * (c.reportInterval/2 + reportTransit).Seconds()
}

// chooseOwner returns the owner of the request's key.
func (c *Core) chooseOwner(now types.Instant, req *request) (*target, types.Code) {
	s := req.service
	if !req.keyed {
		return nil, types.CodeMissingKey
	}
	i := s.owners.Index(req.key)
	if i < 0 {
		return nil, types.CodeNoOwner
	}
	owner := s.owners.Ranges[i].Owner
	t := c.targets[owner.Target]
	if s.isMoving(now, req.key) {
		return nil, c.waitOrRefuse(now, req, now.Sub(req.arrived) < max(maxMoveWait, req.route.LatencyObjective))
	}
	if now.Before(req.notBefore) {
		return nil, c.waitOrRefuse(now, req, true)
	}
	if t == nil || t.Incarnation != owner.Incarnation || t.unusableAsOwner(now) {
		return nil, c.waitOrRefuse(now, req, now.Sub(req.arrived) < ownerUnavailableWait)
	}
	if c.hasRoom(now, t, ownerDepthLimit(now, req, t)) && !c.defersToTimely(now, req, t) && c.isColdTurn(now, req, t) {
		return t, ""
	}
	if c.wouldFinishTooLate(now, req, t) {
		return nil, types.CodeOverloaded
	}
	return nil, c.waitOrRefuse(now, req, true)
}

// wouldFinishTooLate reports whether a request that has to wait would be answered too long after its objective, judging
// by the number of requests ahead of it and the rate at which they are served. Refusing it at once lets its caller try
// again instead of waiting until the deadline. t is the owner of the request's key, nil when any target will do.
func (c *Core) wouldFinishTooLate(now types.Instant, req *request, t *target) bool {
	if req.waiting || req.attempts > 0 {
		return false
	}
	var rate float64
	var ahead int
	if t == nil {
		rate, ahead = c.serviceRate(now, req)
	} else {
		rate, ahead = c.ownerRate(now, req, t)
	}
	return isTooLate(now, req, rate, ahead)
}

// isTooLate reports whether a request that is served at the given rate, after those ahead of it, is answered too long after its
// objective.
func isTooLate(now types.Instant, req *request, rate float64, ahead int) bool {
	wait := time.Duration(min(float64(ahead+1)/rate*float64(time.Second), float64(maxExpectedTime)))
	limit := req.route.LatencyObjective + time.Duration(lateWaitShare*float64(req.deadline.Sub(req.arrived)-req.route.LatencyObjective))
	return now.Add(wait+req.service.typicalDuration()).Sub(req.arrived) > max(limit, 2*req.service.typicalDuration())
}

// waitForSender decides about a request that could be sent if a sender were free, like waitOrRefuse. The senders become free at
// the rate at which attempts end, and all of them within the time limit of the route.
func (c *Core) waitForSender(now types.Instant, req *request) types.Code {
	req.service.awaitsSender = true
	if !req.heldForSender {
		req.heldForSender = true
		c.actions = append(c.actions, AwaitsSender{ID: req.id})
	}
	if !req.waiting && req.attempts == 0 {
		ahead := 0
		for _, s := range c.services {
			if s.awaitsSender {
				n, _ := s.countWaiting(req, "")
				ahead += n
			}
		}
		rate := max(c.finishRate.perSecond(now), float64(c.senders.Total())/max(req.route.Timeout, time.Second).Seconds())
		if isTooLate(now, req, rate, ahead) {
			return types.CodeOverloaded
		}
	}
	return c.waitOrRefuse(now, req, true)
}

// serviceRate estimates how many requests per second this VM can send to the targets of a service, and returns how many
// wait for them and go first. For each target it takes the rate of recent sends or this VM's share of the target's capacity,
// whichever is higher.
func (c *Core) serviceRate(now types.Instant, req *request) (rate float64, ahead int) {
	for _, o := range req.service.targets {
		share := float64(o.Slots) / o.unqueuedTime().Seconds() / float64(len(c.neighbours.living)+1)
		rate += max(float64(o.ownSends.count(now))/coldWindow.Seconds(), share/float64(max(c.settings.DataCentres, 1)))
	}
	ahead, _ = req.service.countWaiting(req, "")
	return max(rate, minRate), ahead
}

// ownerRate returns how many requests per second the owner of a key serves for all VMs, and how many are ahead: those
// that wait for it at all VMs and go first, assuming that each other data centre has as many as this one, and those beyond its
// slots at the owner itself. The rate is derived from the slots and the work time, because one VM of many sends too few
// requests to an owner to measure its capacity. The requests of neighbours are taken to be as urgent as those of this VM.
func (c *Core) ownerRate(now types.Instant, req *request, t *target) (rate float64, ahead int) {
	first, all := req.service.countWaiting(req, t.Target)
	peers := t.peerWaiting
	if all > 0 {
		peers = t.peerWaiting * first / all
	}
	queued := max(0, int(t.load(now))-t.Slots)
	return max(float64(t.Slots)/t.unqueuedTime().Seconds(), minRate), (peers+first)*max(c.settings.DataCentres, 1) + queued
}

// minRate is the lowest rate that is assumed, in requests per second.
const minRate = 0.2

// ownerDepthLimit is the number of requests at the owner of a key up to which another one is sent: as many as the owner
// can serve within the request's objective, because no other target can serve it.
func ownerDepthLimit(now types.Instant, req *request, t *target) int {
	if req.priority == 0 {
		return t.Slots * urgentDepthFactor
	}
	left := req.arrived.Add(req.route.LatencyObjective).Sub(now)
	queue := int(float64(t.Slots) * (left.Seconds()/t.unqueuedTime().Seconds() - 1))
	return t.Slots + min(max(queue, queuedBeyondSlots), t.Slots*(ownerDepthFactor-1))
}

// defersToTimely reports whether a request that can no longer meet its objective should leave the slots of a busy
// target to requests that still can.
func (c *Core) defersToTimely(now types.Instant, req *request, t *target) bool {
	late := req.arrived.Add(req.route.LatencyObjective).Before(now.Add(t.expectedTime(now)))
	return late && t.load(now) >= float64(t.Slots)
}

// ownerUnavailableWait is how long a request waits while the owner of its key is unknown or unusable.
const ownerUnavailableWait = 200 * time.Millisecond

// unusableAsOwner reports whether an owner of keys gets no more requests, because it is unreachable or has been leaving
// for too long.
func (t *target) unusableAsOwner(now types.Instant) bool {
	if now.Before(t.unreachable) {
		return true
	}
	if t.leavingSince == 0 {
		return false
	}
	if !t.Draining {
		return now.Sub(t.leavingSince) > ownerEvacuationTime
	}
	return now.Sub(t.leavingSince) > ownerDrainTime || (t.leavingUntil != 0 && !now.Before(t.leavingUntil))
}

// hasRoom reports whether a target with fewer than depth requests can take another one. A cold target takes requests
// only up to its allowance.
func (c *Core) hasRoom(now types.Instant, t *target, depth int) bool {
	if t.load(now) >= float64(depth) || t.ownInFlight >= c.connectionLimit(t) {
		return false
	}
	if !now.Before(t.ColdUntil) {
		return true
	}
	s := c.services[t.Service]
	if s == nil || (!s.Keyed && !c.isWarmingVM(t)) || !c.knowsColdSends(now) {
		return false
	}
	return t.dataCentreSends.count(now) < c.coldAllowance(now, s)
}

// connectionLimit is this VM's share of the connections that a target accepts.
func (c *Core) connectionLimit(t *target) int {
	s := c.services[t.Service]
	if s == nil {
		return 0
	}
	return max(1, (s.MaxConnections-reservedConnections)/(c.fleetSize()+1))
}

// reservedConnections are left for grants, releases and connections that are being replaced.
const reservedConnections = 6

// remotePenalty is the extra time of a request to a target in another data centre.
func (c *Core) remotePenalty(t *target) time.Duration {
	if string(t.DataCentre) == c.settings.DataCentre {
		return 0
	}
	return c.settings.RemotePenalty
}

// waitOrRefuse returns "" while a request can still be answered in time and a target may become free, otherwise the
// code to refuse it with.
func (c *Core) waitOrRefuse(now types.Instant, req *request, usable bool) types.Code {
	if !usable {
		return types.CodeNoOwner
	}
	if !now.Before(req.deadline.Add(-req.service.typicalDuration() / 2)) {
		return types.CodeOverloaded
	}
	return ""
}
