package ownership

import (
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// TickInterval is how often Tick is to be called. It bounds how late a timer fires.
const TickInterval = 20 * time.Millisecond

// Self identifies the process that runs the core.
type Self struct {
	Peer
	DataCentre types.DataCentre
}

// Core decides about ownership for one dispatcher process. It is used by one goroutine.
type Core struct {
	self Self
	cfg  *config.Configuration
}

// New returns a core without any knowledge: it serves nothing until it has read the store.
// A process that lost its memory or its registration starts a new core with a higher incarnation.
func New(self Self, cfg *config.Configuration) *Core {
	return &Core{self: self, cfg: cfg}
}

// Step applies one message at time now and appends the actions to out.
func (c *Core) Step(now types.Instant, m Message, out []Action) []Action {
	return out
}

// Tick advances timers to now.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	return out
}
