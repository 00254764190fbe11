package admission

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/admission/hedge"
	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/types"
)

// service is the state of one service on this VM.
type service struct {
	catalog.Service
	targets []*target
	owners  keyspace.Table
	// moving holds the key ranges that are being moved, with the time until which their requests wait.
	moving []movingRange
	// waiting holds the queued requests, the most urgent first, then by arrival.
	waiting     []*request
	retryBudget retryBudget
	hedge       hedge.Policy
	// slowness is reportedSlowness at the last review of the requests in flight.
	slowness float64
	// awaitsSender is true if a waiting request could have been sent with a free sender.
	awaitsSender bool
	// neighbourRate is the rate of the requests that the neighbours report.
	neighbourRate rateMeter
	// open counts the requests that the core holds. removed is true once the service has left the configuration: it is kept
	// while it has open requests, so that its targets can still answer them.
	open    int
	removed bool
}

// movingRange is a range of keys whose requests wait until the given time.
type movingRange struct {
	keyspace.Range
	until types.Instant
}

func (c *Core) setServices(m Services) {
	for name, conf := range m.Services {
		s := c.services[name]
		if s == nil {
			s = &service{retryBudget: newRetryBudget(c.settings), hedge: hedge.New(c.settings.SecondSendLimit)}
			c.services[name] = s
		}
		s.Service = conf
	}
	for name, s := range c.services {
		_, configured := m.Services[name]
		s.removed = !configured
		if s.removed && s.open == 0 {
			delete(c.services, name)
		}
	}
	c.groupTargets()
}

// groupTargets adds each target to its service.
func (c *Core) groupTargets() {
	for _, s := range c.services {
		s.targets = s.targets[:0]
	}
	for _, t := range c.targets {
		if s := c.services[t.Service]; s != nil {
			s.targets = append(s.targets, t)
		}
	}
	for _, s := range c.services {
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.Target, b.Target) })
	}
}

func (c *Core) setOwners(now types.Instant, m Owners) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	s.owners = m.Table
	s.dropMoved(now)
	for n := range s.moving {
		r := &s.moving[n]
		if i := s.owners.Index(r.From); i >= 0 && s.owners.Ranges[i].Fence != r.Fence {
			// The range has a new owner, which receives its grant about now.
			r.until = min(r.until, now.Add(grantDelay))
		}
	}
	c.sendWaiting(now, s)
}

// dropMoved drops the ranges whose wait has ended.
func (s *service) dropMoved(now types.Instant) {
	s.moving = slices.DeleteFunc(s.moving, func(r movingRange) bool { return !now.Before(r.until) })
}

func (c *Core) setMoving(now types.Instant, m KeysMoving) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	s.dropMoved(now)
	for _, r := range m.Ranges {
		i := s.owners.Index(r.From)
		if i >= 0 && s.owners.Ranges[i].Fence <= r.Fence {
			s.addMoving(movingRange{Range: r, until: now.Add(maxMoveWait)})
		}
	}
}

// addMoving adds a range, or prolongs its wait if it is known.
func (s *service) addMoving(r movingRange) {
	for i, known := range s.moving {
		if known.From == r.From && known.To == r.To && known.Fence == r.Fence {
			s.moving[i].until = r.until
			return
		}
	}
	s.moving = append(s.moving, r)
}

// ownerOf returns the owner of a key, or "" when there is none.
func (s *service) ownerOf(k keyspace.Key) types.Target {
	i := s.owners.Index(k)
	if i < 0 {
		return ""
	}
	return s.owners.Ranges[i].Owner.Target
}

// typicalDuration is the average work time of the service's targets, defaultWorkTime before the first answer.
func (s *service) typicalDuration() time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range s.targets {
		if t.workTime > 0 {
			sum += t.workTime
			n++
		}
	}
	if n == 0 {
		return defaultWorkTime
	}
	return sum / time.Duration(n)
}

// isMoving reports whether a key is being moved.
func (s *service) isMoving(now types.Instant, k keyspace.Key) bool {
	for _, r := range s.moving {
		if r.From <= k && k <= r.To && now.Before(r.until) {
			return true
		}
	}
	return false
}

// compareUrgency orders requests by priority, then by arrival.
func compareUrgency(a, b *request) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.id, b.id))
}

// countWaiting returns how many requests wait, and how many of them go before one that arrives now. Less urgent ones don't: the
// waiting requests are sent in the order of compareUrgency. With an owner, only the requests for its keys count.
func (s *service) countWaiting(req *request, owner types.Target) (ahead, all int) {
	for _, w := range s.waiting {
		if owner != "" && s.ownerOf(w.key) != owner {
			continue
		}
		all++
		if w.priority <= req.priority {
			ahead++
		}
	}
	return ahead, all
}

func (s *service) enqueue(req *request) {
	if req.waiting {
		return
	}
	req.waiting = true
	i, _ := slices.BinarySearchFunc(s.waiting, req, compareUrgency)
	s.waiting = slices.Insert(s.waiting, i, req)
}

func (s *service) dequeue(req *request) {
	if !req.waiting {
		return
	}
	req.waiting = false
	s.waiting = slices.DeleteFunc(s.waiting, func(o *request) bool { return o == req })
}

// sendWaiting sends, keeps or refuses each waiting request of a service.
func (c *Core) sendWaiting(now types.Instant, s *service) {
	if s == nil || len(s.waiting) == 0 {
		return
	}
	s.awaitsSender = false
	for _, req := range slices.Clone(s.waiting) {
		c.sendOrQueue(now, req)
	}
}

// sendFreed sends waiting requests after an attempt of a service has ended. Other services may have waited for its sender: the one
// with the most urgent request goes first.
func (c *Core) sendFreed(now types.Instant, freed *service) {
	var list []*service
	for _, s := range c.services {
		if len(s.waiting) > 0 && (s == freed || s.awaitsSender) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *service) int { return compareUrgency(a.waiting[0], b.waiting[0]) })
	for _, s := range list {
		if c.senders.Allows(s.Name) {
			c.sendWaiting(now, s)
		}
	}
}
