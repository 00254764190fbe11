package dispatch

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Initial sizes of the tables, which grow when needed.
const (
	initialRequests = 1024
	initialCallers  = 256
)

// Random is the source of jitter. *rand.PCG of math/rand/v2 implements it.
type Random interface{ Uint64() uint64 }

// Core schedules all requests to the targets whose lease this dispatcher holds. It is not safe for concurrent use.
type Core struct {
	vm     types.VM // of this dispatcher
	random Random   // source of jitter

	services    []*service
	serviceByID map[types.Service]int32
	targets     []*target
	targetByID  map[types.TargetID]int32

	requests   slab[request]
	byHandle   map[Handle]int32 // indexes of requests
	callers    slab[callerQueue]
	byCaller   map[callerKey]int32 // indexes of callers
	dedupTable dedupTable
	suspects   suspects

	requestTimers timers // by index of requests
	targetTimers  timers // by index of targets
	draining      bool   // the whole process drains
	homesLagMs    int64  // how long other dispatchers may send by an older set of homes

	hotRow slotRow       // the row that rowOf returned for a hot key, whose map element has no address
	now    types.Instant // time of the present step
	out    []Action      // actions of the present step
}

// New returns a core that holds no lease.
func New(cfg *config.Configuration, vm types.VM, random Random) *Core {
	c := &Core{
		vm: vm, random: random,
		serviceByID: map[types.Service]int32{},
		targetByID:  map[types.TargetID]int32{},
		requests:    newSlab[request](initialRequests),
		byHandle:    make(map[Handle]int32, initialRequests),
		callers:     newSlab[callerQueue](initialCallers),
		byCaller:    make(map[callerKey]int32, initialCallers),
		dedupTable:  newDedupTable(),
		suspects:    newSuspects(),
	}
	c.configure(cfg)
	return c
}

// Step applies one message at time now and appends the actions to out. It allocates nothing in steady state.
func (c *Core) Step(now types.Instant, m Message, out []Action) []Action {
	c.beginStep(now, out)
	c.expireTimers()
	switch m.Kind {
	case MessageRequest:
		c.admit(m.Handle, &m.Request)
	case MessageCancel:
		c.cancel(m.Handle)
	case MessageResult:
		c.result(m.Handle, &m.Result)
	case MessageCopyDone:
		c.handleCopyDone(m.Handle, m.Stored)
	default:
		c.applyControl(&m)
	}
	return c.endStep()
}

// applyControl applies the messages about targets, slots, copies and configuration.
func (c *Core) applyControl(m *Message) {
	switch m.Kind {
	case MessageServe:
		c.serve(m.Target, &m.Lease)
	case MessageStopServing:
		c.stopServing(m.Target)
	case MessageSlotOwned:
		c.slotOwned(m.Target, &m.Slot)
	case MessageSlotReleased:
		c.slotReleased(m.Target, &m.Slot)
	case MessageCoverageReset:
		c.resetCoverage(m.Target, m.Lease.WallMs)
	case MessageHomes:
		c.setHomes(m.Target.Service, m.Homes, m.Lease.WallMs)
	case MessageCopyStored:
		c.applyCopy(m.Handle, &m.Entry)
	case MessageQuarantined:
		c.applyQuarantine(&m.Quarantine)
	case MessageDrain:
		c.drain(&m.Drain)
	case MessageConfiguration:
		c.configure(m.Configuration)
	}
}

// Tick handles the timers that are due at now and appends the actions to out.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	c.beginStep(now, out)
	c.expireTimers()
	return c.endStep()
}

// NextWake returns the earliest instant at which Tick has work. It returns false when no timer is set.
func (c *Core) NextWake() (types.Instant, bool) {
	var first types.Instant
	found := false
	for _, t := range []*timers{&c.requestTimers, &c.targetTimers, &c.dedupTable.timers} {
		if at, set := t.next(); set && (!found || at < first) {
			first, found = at, true
		}
	}
	return first, found
}

// InFlight returns the number of sends without a result.
func (c *Core) InFlight() int {
	n := 0
	for _, t := range c.targets {
		n += t.inFlight
	}
	return n
}

// Idle reports whether no request is left, so that a draining process may stop.
func (c *Core) Idle() bool { return c.requests.used() == 0 }

// beginStep stores the output slice and the time, which never goes back.
func (c *Core) beginStep(now types.Instant, out []Action) {
	c.now = max(c.now, now)
	c.out = out
}

// endStep returns the actions of the step.
func (c *Core) endStep() []Action {
	out := c.out
	c.out = nil
	return out
}

// expireTimers handles all timers that are due.
func (c *Core) expireTimers() {
	for {
		i, due := c.requestTimers.due(c.now)
		if !due {
			break
		}
		c.requestTimerExpired(i)
	}
	for {
		i, due := c.targetTimers.due(c.now)
		if !due {
			break
		}
		c.targetTimers.clear(i)
		c.sendQueued(c.targets[i])
	}
	c.removeExpired()
}
