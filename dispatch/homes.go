package dispatch

import (
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

const (
	// homeHistory bounds the remembered sets of homes. Identifiers whose home moved before the oldest one are not covered.
	homeHistory = 16
	// defaultHomeLagMs is the permit and the margin of the ownership protocol, for a configuration without them.
	defaultHomeLagMs = 600
)

// Homes divides the identifiers of a service without keys among targets.
type Homes = types.Homes

// NewHomes returns homes among targets, which must not change afterwards. Their order does not matter.
func NewHomes(targets []types.Target) Homes { return types.NewHomes(targets) }

// homeSet is the homes since a time.
type homeSet struct {
	Homes
	sinceMs int64
}

// homesChanged takes over a set of homes.
func (c *Core) homesChanged(name types.Service, targets []types.Target, wallMs int64) {
	i, known := c.serviceByID[name]
	if !known {
		return
	}
	s := c.services[i]
	if n := len(s.homes); n > 0 && slices.Equal(s.homes[n-1].Targets(), targets) {
		return
	}
	if len(s.homes) == homeHistory {
		s.homes = slices.Delete(s.homes, 0, 1)
	}
	s.homeVersion++
	s.homes = append(s.homes, homeSet{Homes: NewHomes(targets), sinceMs: wallMs})
}

// atHome reports whether target t is the home of the request's identifier. Until homes are told, every target is.
func (t *target) atHome(r *request) bool {
	s := t.service
	if s.keyed || r.Idempotent || len(s.homes) == 0 {
		return true
	}
	if r.homeVersion != s.homeVersion {
		r.homeVersion = s.homeVersion
		r.atHome = s.homes[len(s.homes)-1].Of(r.Caller, r.ID) == t.id.Target
	}
	return r.atHome
}

// homeSinceMs returns the wall time since which t is the home of the request's identifier, and no dispatcher may hold
// another view any more.
func (t *target) homeSinceMs(r *request, lagMs int64) int64 {
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

// homeLagMs returns how long other dispatchers may send by an older set of homes.
func homeLagMs(o config.Ownership) int64 {
	if lag := o.PermitMs + o.MarginMs; lag > 0 {
		return lag
	}
	return defaultHomeLagMs
}
