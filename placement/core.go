package placement

import (
	"math"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Times of the Core.
const (
	// PlanInterval is the time between plans.
	PlanInterval = time.Second
	// UrgentInterval is the time between plans while owners are being emptied.
	UrgentInterval = 200 * time.Millisecond
	// MoveTimeout is how long a proposed move may stay unconfirmed. It exceeds the takeover of a lost owner.
	MoveTimeout = 10 * time.Second
	// MoveHold is how long a slot stays with its owner before it may move again to even out load.
	MoveHold = 30 * time.Second
	// RampTime is the time over which a fresh target's share rises to its weight.
	RampTime = 60 * time.Second
	// StragglerHold is how long a target must be slow before it is relieved: most slow periods are shorter than the
	// time that moves take.
	StragglerHold = 5 * time.Second
)

// Bounds on moves in progress, in slots and hot-key rows of one service.
const (
	// MaxLost bounds the moves away from lost owners. Their slots are not served, so this is large.
	MaxLost = 16384
	// MaxDraining bounds the moves away from owners that are leaving, which still serve.
	MaxDraining = 4096
	// MaxBalancing bounds the moves that even out load.
	MaxBalancing = 64
	// MaxToFresh bounds the balancing moves to one fresh target.
	MaxToFresh = 8
	// MaxHotKeys is the number of hot-key rows that the table has room for.
	MaxHotKeys = 64
)

// never is later than every instant of the clock.
const never = types.Instant(math.MaxInt64)

// Core is the planner's state.
type Core struct {
	lead     bool
	next     types.Instant
	order    []types.Service
	services map[types.Service]*service
}

// New returns an empty Core that does not hold the planner lease.
func New() *Core { return &Core{services: map[types.Service]*service{}, next: never} }

// Step applies one message at time now. It proposes nothing; Tick does.
func (c *Core) Step(now types.Instant, m *Message, out []Action) []Action {
	switch m.Kind {
	case KindLead:
		c.setLead(now, m.Lead)
	case KindTargets:
		c.installTargets(now, m.Targets)
	case KindOwners:
		c.service(m.Owners.Service).installOwners(now, m.Owners)
	case KindHotKeys:
		c.service(m.HotKeys.Service).installHotKeys(now, m.HotKeys)
	case KindLoad:
		c.service(m.Load.Service).installLoad(now, m.Load)
	case KindRemove:
		c.remove(m.Service)
	}
	return out
}

// installTargets brings the next plan forward when a target starts to leave: its slots should not wait for the interval.
func (c *Core) installTargets(now types.Instant, m *Targets) {
	s := c.service(m.Service)
	before := s.leaving()
	s.installTargets(now, m)
	if c.lead && s.leaving() > before {
		c.next = min(c.next, now)
	}
}

// setLead starts or stops planning. Moves proposed under an earlier lease are forgotten: another planner may have
// replaced them.
func (c *Core) setLead(now types.Instant, lead bool) {
	if lead == c.lead {
		return
	}
	c.lead = lead
	c.next = never
	if lead {
		c.next = now
	}
	for _, s := range c.services {
		s.forgetMoves()
	}
}

// Tick proposes moves when a plan is due.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	if now < c.next {
		return out
	}
	urgent := false
	for _, name := range c.order {
		s := c.services[name]
		out = s.plan(now, out)
		urgent = urgent || s.urgent
	}
	c.next = now.Add(PlanInterval)
	if urgent {
		c.next = now.Add(UrgentInterval)
	}
	return out
}

// NextTick returns when Tick has something to do. ok is false while the planner lease is not held.
func (c *Core) NextTick() (at types.Instant, ok bool) { return c.next, c.next != never }

func (c *Core) service(name types.Service) *service {
	s := c.services[name]
	if s != nil {
		return s
	}
	s = newService(name)
	c.services[name] = s
	c.order = append(c.order, name)
	slices.Sort(c.order)
	return s
}

func (c *Core) remove(name types.Service) {
	delete(c.services, name)
	c.order = slices.DeleteFunc(c.order, func(n types.Service) bool { return n == name })
}
