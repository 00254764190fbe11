package dispatch

import (
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

const (
	// maxHomeSets bounds the history of home sets per service. The deduplication table doesn't cover identifiers whose
	// home moved before the oldest one.
	maxHomeSets = 16
	// defaultHomesLagMs is used when the configuration sets neither PermitMs nor MarginMs of config.Ownership. It is the
	// sum of their defaults.
	defaultHomesLagMs = 600
)

// Homes assigns each request identifier of a service without keys to one target, its home. Only the home's dispatcher
// sends non-idempotent requests with the identifier, so that resends find the entry of the first send.
type Homes = types.Homes

// NewHomes returns the assignment to the given targets, which must not change afterwards. Their order does not matter.
func NewHomes(targets []types.Target) Homes { return types.NewHomes(targets) }

// homeSet is an assignment of homes and the wall time, in Unix milliseconds, since which it has been in force.
type homeSet struct {
	Homes
	sinceMs int64
}

// setHomes puts a new set of homes in force for the service called name, unless it is the present one.
func (c *Core) setHomes(name types.Service, targets []types.Target, wallMs int64) {
	i, known := c.serviceByID[name]
	if !known {
		return
	}
	s := c.services[i]
	if n := len(s.homes); n > 0 && slices.Equal(s.homes[n-1].Targets(), targets) {
		return
	}
	if len(s.homes) == maxHomeSets {
		s.homes = slices.Delete(s.homes, 0, 1)
	}
	s.homeVersion++
	s.homes = append(s.homes, homeSet{Homes: NewHomes(targets), sinceMs: wallMs})
}

// isHome reports whether target t is the home of the request's identifier. Before the first set of homes, every
// target is.
func (t *target) isHome(r *request) bool {
	s := t.service
	if s.keyed || r.Idempotent || len(s.homes) == 0 {
		return true
	}
	if r.homeVersion != s.homeVersion {
		r.homeVersion = s.homeVersion
		r.isHome = s.homes[len(s.homes)-1].Of(r.Caller, r.ID) == t.id.Target
	}
	return r.isHome
}

// homeSince returns the wall time, in Unix milliseconds, since which t is the home of the request's identifier and no
// dispatcher sends by an older set of homes any more.
func (t *target) homeSince(r *request, lagMs int64) int64 {
	sets := t.service.homes
	if len(sets) == 0 {
		return 0
	}
	k := len(sets) - 1
	for k > 0 && sets[k-1].Of(r.Caller, r.ID) == t.id.Target {
		k--
	}
	return sets[k].sinceMs + lagMs
}

// homesLagMs returns how long other dispatchers may send by an older set of homes: until their renewal permit ends, plus
// the margin for clocks that run at different rates.
func homesLagMs(o config.Ownership) int64 {
	if lag := o.PermitMs + o.MarginMs; lag > 0 {
		return lag
	}
	return defaultHomesLagMs
}
