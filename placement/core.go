package placement

import (
	"math"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Intervals and timeouts of the Core.
const (
	// PlanInterval is the time between plans.
	PlanInterval = time.Second
	// UrgentInterval is the time between plans while slots or hot-key rows are being reassigned.
	UrgentInterval = 200 * time.Millisecond
	// MoveTimeout is how long a proposed move may stay unconfirmed. It exceeds the time it takes to reassign the
	// slots of a lost owner.
	MoveTimeout = 10 * time.Second
	// MoveCooldown is how long a slot stays with its owner before it may move again for load balancing.
	MoveCooldown = 30 * time.Second
	// WarmupTime is the time over which the load share of a new target rises to its full weight.
	WarmupTime = 60 * time.Second
	// StragglerDelay is how long a target must be slow before its load is reduced: most slow periods are shorter than
	// the time that moves take.
	StragglerDelay = 5 * time.Second
)

// Bounds on moves in progress, in slots and hot-key rows of one service.
const (
	// MaxLostMoves bounds the moves away from lost owners. Their slots are not served, so this is large.
	MaxLostMoves = 16384
	// MaxDrainingMoves bounds the moves away from draining owners, which still serve.
	MaxDrainingMoves = 4096
	// MaxBalancingMoves bounds the moves for load balancing.
	MaxBalancingMoves = 64
	// MaxMovesToWarming bounds the pending moves to one target that is warming up.
	MaxMovesToWarming = 8
	// MaxHotKeys is the number of hot-key rows that the table can hold.
	MaxHotKeys = 64
)

// never is a time that the clock does not reach.
const never = types.Instant(math.MaxInt64)

// Core holds the planner's state of all services and plans their moves.
type Core struct {
	leader       bool            // this process holds the planner lease
	nextPlan     types.Instant   // never while leader is false
	serviceOrder []types.Service // keys of services, sorted
	services     map[types.Service]*service
}

// New returns an empty Core that does not hold the planner lease.
func New() *Core { return &Core{services: map[types.Service]*service{}, nextPlan: never} }

// Step applies one message at time now. It returns out unchanged: only Tick proposes moves.
func (c *Core) Step(now types.Instant, m *Message, out []Action) []Action {
	switch m.Kind {
	case KindLeader:
		c.setLeader(now, m.Leader)
	case KindTargets:
		c.installTargets(now, m.Targets)
	case KindOwners:
		c.service(m.Owners.Service).installOwners(now, m.Owners)
	case KindHotKeys:
		c.service(m.HotKeys.Service).installHotKeys(now, m.HotKeys)
	case KindLoad:
		c.service(m.Load.Service).installLoad(now, m.Load)
	case KindRemoveService:
		c.removeService(m.Service)
	}
	return out
}

// installTargets replaces the targets of a service. When more targets must be evacuated than before, the next plan is
// due at once instead of after PlanInterval.
func (c *Core) installTargets(now types.Instant, m *Targets) {
	s := c.service(m.Service)
	before := s.evacuating()
	s.installTargets(now, m)
	if c.leader && s.evacuating() > before {
		c.nextPlan = min(c.nextPlan, now)
	}
}

// setLeader starts or stops planning. Moves proposed under an earlier lease are discarded: another planner may
// have replaced them.
func (c *Core) setLeader(now types.Instant, leader bool) {
	if leader == c.leader {
		return
	}
	c.leader = leader
	c.nextPlan = never
	if leader {
		c.nextPlan = now
	}
	for _, s := range c.services {
		s.discardMoves()
	}
}

// Tick proposes moves when a plan is due.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	if now < c.nextPlan {
		return out
	}
	urgent := false
	for _, name := range c.serviceOrder {
		s := c.services[name]
		out = s.plan(now, out)
		urgent = urgent || s.urgent
	}
	c.nextPlan = now.Add(PlanInterval)
	if urgent {
		c.nextPlan = now.Add(UrgentInterval)
	}
	return out
}

// NextTick returns the time of the next plan. ok is false while the planner lease is not held.
func (c *Core) NextTick() (at types.Instant, ok bool) { return c.nextPlan, c.nextPlan != never }

// service returns the state of the named service and creates it if needed.
func (c *Core) service(name types.Service) *service {
	s := c.services[name]
	if s != nil {
		return s
	}
	s = newService(name)
	c.services[name] = s
	c.serviceOrder = append(c.serviceOrder, name)
	slices.Sort(c.serviceOrder)
	return s
}

func (c *Core) removeService(name types.Service) {
	delete(c.services, name)
	c.serviceOrder = slices.DeleteFunc(c.serviceOrder, func(n types.Service) bool { return n == name })
}
