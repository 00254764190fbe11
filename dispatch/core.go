package dispatch

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Random is the source of jitter. *rand.PCG of math/rand/v2 implements it.
type Random interface{ Uint64() uint64 }

// Core decides for all requests to the targets whose lease this dispatcher holds. It is not safe for concurrent use.
type Core struct {
	vm     types.VM
	random Random
	cfg    *config.Configuration
}

// New returns a core that holds no lease.
func New(cfg *config.Configuration, vm types.VM, random Random) *Core {
	return &Core{vm: vm, random: random, cfg: cfg}
}

// Step applies one message at time now and appends the actions to out. It allocates nothing in steady state.
func (c *Core) Step(now types.Instant, m Message, out []Action) []Action { return out }

// Tick advances timers to now.
func (c *Core) Tick(now types.Instant, out []Action) []Action { return out }

// NextWake returns the earliest instant at which Tick has work. It returns false when no timer is set.
func (c *Core) NextWake() (types.Instant, bool) { return 0, false }

// InFlight returns the number of sends without a result.
func (c *Core) InFlight() int { return 0 }
