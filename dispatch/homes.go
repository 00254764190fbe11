package dispatch

import (
	"math/bits"
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

// Home returns which target's dispatcher remembers an identifier of a service without keys. Without a fixed home, a
// resend could reach a dispatcher that knows nothing of the first send. All processes must agree on it. It returns "" for
// no targets.
func Home(targets []types.Target, caller types.Caller, id types.RequestID) types.Target {
	best, bestScore := types.Target(""), uint64(0)
	identifier := identifierHash(caller, id)
	for _, t := range targets {
		score := homeScore(identifier, uint64(types.HashKey(string(t))))
		if best == "" || score > bestScore || (score == bestScore && t < best) {
			best, bestScore = t, score
		}
	}
	return best
}

func identifierHash(caller types.Caller, id types.RequestID) uint64 {
	return bits.RotateLeft64(uint64(types.HashKey(string(caller))), 1) ^ uint64(types.HashKey(string(id)))
}

// homeScore mixes two hashes with the finalizer of splitmix64, so that each identifier orders the targets differently.
func homeScore(identifier, target uint64) uint64 {
	z := identifier ^ target
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// homeSet is the targets among which identifiers were divided since a time.
type homeSet struct {
	sinceMs int64
	targets []types.Target
}

// homesChanged takes over a set of homes.
func (c *Core) homesChanged(name types.Service, targets []types.Target, wallMs int64) {
	i, known := c.serviceByID[name]
	if !known {
		return
	}
	s := c.services[i]
	if n := len(s.homes); n > 0 && slices.Equal(s.homes[n-1].targets, targets) {
		return
	}
	if len(s.homes) == homeHistory {
		s.homes = slices.Delete(s.homes, 0, 1)
	}
	s.homes = append(s.homes, homeSet{sinceMs: wallMs, targets: targets})
}

// atHome reports whether target t is the home of the request's identifier. Until homes are told, every target is.
func (t *target) atHome(r *request) bool {
	s := t.service
	if s.keyed || r.Idempotent || len(s.homes) == 0 {
		return true
	}
	return Home(s.homes[len(s.homes)-1].targets, r.Caller, r.ID) == t.id.Target
}

// homeSinceMs returns the wall time since which t is the home of the request's identifier, and no dispatcher may hold
// another view any more.
func (t *target) homeSinceMs(r *request, lagMs int64) int64 {
	sets := t.service.homes
	if len(sets) == 0 {
		return 0
	}
	k := len(sets) - 1
	for k > 0 && Home(sets[k-1].targets, r.Caller, r.ID) == t.id.Target {
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
