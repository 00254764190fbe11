package dispatch

import (
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

const (
	// defaultDedupWindow is how long entries of a class are kept when the configuration sets no time.
	defaultDedupWindow = 10 * time.Minute
	// defaultQueueLimit is the queue limit of a class that the configuration doesn't list.
	defaultQueueLimit = 64
	// defaultSlots is the size of a service's slot table when the configuration sets none.
	defaultSlots = 1024
)

// configure puts a configuration in force. Targets that it no longer has refuse new work and finish the requests in
// flight.
func (c *Core) configure(cfg *config.Configuration) {
	if cfg == nil {
		return
	}
	c.homesLagMs = homesLagMs(cfg.Ownership)
	for _, t := range c.targets {
		t.removed = true
	}
	for i := range cfg.Services {
		c.configureService(&cfg.Services[i])
	}
	for _, t := range c.targets {
		if t.removed {
			c.refuseQueued(t)
		}
		c.sendQueued(t)
	}
}

func (c *Core) configureService(s *config.Service) {
	svc := c.service(s.Name)
	svc.keyed = s.Keyed
	if s.Keyed {
		svc.resizeSlots(s.Slots)
	}
	svc.setClasses(s.Classes)
	for i := range s.Targets {
		c.configureTarget(svc, s, &s.Targets[i])
	}
}

// service returns the service called name, adding it when it is new.
func (c *Core) service(name types.Service) *service {
	if i, found := c.serviceByID[name]; found {
		return c.services[i]
	}
	svc := &service{index: int32(len(c.services)), name: name, hot: map[types.KeyHash]slotRow{}}
	c.services = append(c.services, svc)
	c.serviceByID[name] = svc.index
	return svc
}

func (s *service) resizeSlots(slots uint32) {
	if slots == 0 {
		slots = defaultSlots
	}
	if len(s.rows) == int(slots) {
		return
	}
	// Slots of a table of another size hold other keys, so no ownership carries over.
	s.rows = make([]slotRow, slots)
}

func (s *service) setClasses(policies []config.ClassPolicy) {
	for k := range s.classes {
		s.classes[k] = classPolicy{queueLimit: defaultQueueLimit, dedupWindow: defaultDedupWindow}
	}
	for i := range policies {
		class, err := types.ParseClass(policies[i].Class)
		if err != nil {
			continue // rejected by the validation of the configuration
		}
		p := &s.classes[class]
		p.queueLimit = policies[i].QueueLimit
		if policies[i].RememberMs > 0 {
			p.dedupWindow = time.Duration(policies[i].RememberMs) * time.Millisecond
		}
	}
}

func (c *Core) configureTarget(svc *service, s *config.Service, def *config.Target) {
	id := types.TargetID{Service: s.Name, Target: def.Name}
	i, found := c.targetByID[id]
	if !found {
		i = c.addTarget(svc, id)
	}
	t := c.targets[i]
	t.removed = false
	t.ramp.duration = time.Duration(s.Limits.ColdStartMs) * time.Millisecond
	t.budget.share = s.Limits.RetryShare
	t.resize(max(def.Slots, 1))
	for k := range t.classes {
		t.classes[k].limit = svc.classes[k].queueLimit
	}
}

func (c *Core) addTarget(svc *service, id types.TargetID) int32 {
	t := &target{index: int32(len(c.targets)), id: id, service: svc, budget: newRetryBudget(0), probe: noProbe}
	for k := range t.classes {
		t.classes[k].head = none
	}
	c.targets = append(c.targets, t)
	c.targetByID[id] = t.index
	svc.targets = append(svc.targets, t.index)
	svc.scratch = slices.Grow(svc.scratch, len(svc.targets))
	return t.index
}

// resize changes the number of slots. Connections beyond it are not used after their request in flight.
func (t *target) resize(slots int) {
	t.slots = slots
	for len(t.connections) < slots {
		t.connections = append(t.connections, connection{request: none})
	}
	t.brokenRequests = slices.Grow(t.brokenRequests, maxBrokenRequests)
}
