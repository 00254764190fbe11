package dispatch

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Initial sizes. They are grown when needed, so they bound nothing.
const (
	initialRequests = 1024
	initialCallers  = 256
)

// Random is the source of jitter. *rand.PCG of math/rand/v2 implements it.
type Random interface{ Uint64() uint64 }

// Core decides for all requests to the targets whose lease this dispatcher holds. It is not safe for concurrent use.
type Core struct {
	vm     types.VM
	random Random

	services    []*service
	serviceByID map[types.Service]int32
	targets     []*target
	targetByID  map[types.TargetID]int32

	requests slab[request]
	byHandle map[Handle]int32
	callers  slab[callerQueue]
	byCaller map[callerKey]int32
	memory   memory
	suspects suspects

	requestTimers timers
	targetTimers  timers
	draining      bool
	homeLagMs     int64

	hotRow slotRow // result of rowOf
	now    types.Instant
	out    []Action
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
		memory:      newMemory(),
		suspects:    newSuspects(),
	}
	c.configure(cfg)
	return c
}

// Step applies one message at time now and appends the actions to out. It allocates nothing in steady state.
func (c *Core) Step(now types.Instant, m Message, out []Action) []Action {
	c.begin(now, out)
	c.tick()
	switch m.Kind {
	case MessageRequest:
		c.admit(m.Handle, &m.Request)
	case MessageCancel:
		c.cancel(m.Handle)
	case MessageResult:
		c.result(m.Handle, &m.Result)
	case MessageCopyDone:
		c.copyReported(m.Handle, m.Stored)
	default:
		c.control(&m)
	}
	return c.end()
}

// control applies the messages that are not part of a request's own path.
func (c *Core) control(m *Message) {
	switch m.Kind {
	case MessageServe:
		c.serve(m.Target, &m.Lease)
	case MessageStopServing:
		c.stopServing(m.Target)
	case MessageSlotOwned:
		c.slotOwned(m.Target, &m.Slot)
	case MessageSlotReleased:
		c.slotReleased(m.Target, &m.Slot)
	case MessageMemoryReset:
		c.memoryReset(m.Target, m.Lease.WallMs)
	case MessageHomes:
		c.homesChanged(m.Target.Service, m.Homes, m.Lease.WallMs)
	case MessageCopyStored:
		c.copyStored(m.Handle, &m.Entry)
	case MessageQuarantined:
		c.quarantined(&m.Quarantine)
	case MessageDrain:
		c.drain(&m.Drain)
	case MessageConfiguration:
		c.configure(m.Configuration)
	}
}

// Tick advances timers to now.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	c.begin(now, out)
	c.tick()
	return c.end()
}

// NextWake returns the earliest instant at which Tick has work. It returns false when no timer is set.
func (c *Core) NextWake() (types.Instant, bool) {
	var first types.Instant
	found := false
	for _, t := range []*timers{&c.requestTimers, &c.targetTimers, &c.memory.timers} {
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

// begin takes over the output slice. An instant before the last one counts as the last one.
func (c *Core) begin(now types.Instant, out []Action) {
	c.now = max(c.now, now)
	c.out = out
}

func (c *Core) end() []Action {
	out := c.out
	c.out = nil
	return out
}

// tick handles everything that is due.
func (c *Core) tick() {
	for {
		i, due := c.requestTimers.due(c.now)
		if !due {
			break
		}
		c.requestDue(i)
	}
	for {
		i, due := c.targetTimers.due(c.now)
		if !due {
			break
		}
		c.targetTimers.clear(i)
		c.pump(c.targets[i])
	}
	c.forgetExpired()
}
