package catalog

import (
	"maps"
	"time"

	"sequoiasail.example/types"
)

// A store that comes back from an older snapshot shows entries that have changed or gone since, and lacks others. Operators and
// targets write their entries again within seconds.
const (
	// evacuationGrace is how long an evacuation that the snapshot lacks is kept, so that the operator can write it again.
	evacuationGrace = 5 * time.Second
	// outdatedTime is how long registrations are compared with those known before, and how long those of removed targets are
	// remembered for that. Later, the leases in the snapshot have ended, and what is left was written by a target.
	outdatedTime = time.Minute
	// maxRemoved bounds the removed registrations that are remembered. A fleet has fewer targets.
	maxRemoved = 4096
)

// registryEra is what a Registry knows from before the store went back to a snapshot.
type registryEra struct {
	// began is when the present era was first seen, 0 in the first one.
	began types.Instant
	// earlier holds the latest version of each registration before the present era, also of removed ones.
	earlier map[types.Target]registrationVersion
	// removed holds the registrations that were removed lately.
	removed map[types.Target]removedRegistration
	// keepsEvacuations is true while evacuations that the store lacks are kept; missing holds those.
	keepsEvacuations bool
	missing          []types.DataCentre
}

// registrationVersion orders the registrations of a target. removed is true if the target has gone with this version.
type registrationVersion struct {
	incarnation, sequence int64
	removed               bool
}

type removedRegistration struct {
	registrationVersion
	at types.Instant
}

func versionOf(g Registration) registrationVersion {
	return registrationVersion{incarnation: g.Incarnation, sequence: g.Sequence}
}

// BeginEra records that the store was first seen at now after it went back to a snapshot. Registrations and evacuations that the
// snapshot lacks are kept for their grace periods.
func (r *Registry) BeginEra(now types.Instant) {
	if r.era.earlier == nil {
		r.era.earlier = make(map[types.Target]registrationVersion)
	}
	for t, g := range r.era.removed {
		version := g.registrationVersion
		version.removed = true
		r.era.earlier[t] = version
	}
	for t, e := range r.entries {
		r.era.earlier[t] = versionOf(e.Registration)
	}
	r.era.began, r.era.keepsEvacuations = now, true
	r.contact.recoveredAt = now
}

// outdated reports whether a registration comes from the snapshot and not from its target: a later version was known before, or the
// target had gone. The version that was known last is the present one: a target whose entry has not changed writes it again as it was.
// Registrations without the start of their target can't be compared.
func (r *Registry) outdated(now types.Instant, g Registration) bool {
	known, ok := r.era.earlier[g.Target]
	if !ok || g.Incarnation == 0 || now.Sub(r.era.began) >= outdatedTime {
		return false
	}
	if g.Incarnation != known.incarnation {
		return g.Incarnation < known.incarnation
	}
	return g.Sequence < known.sequence || (known.removed && g.Sequence == known.sequence)
}

// drop removes an entry and remembers its version.
func (r *Registry) drop(now types.Instant, e registryEntry) {
	delete(r.entries, e.Target)
	if len(r.era.removed) < maxRemoved {
		r.era.removed[e.Target] = removedRegistration{registrationVersion: versionOf(e.Registration), at: now}
	}
}

// expireEra ends the grace period of evacuations and forgets versions that are no longer needed. It reports whether evacuations
// ended.
func (r *Registry) expireEra(now types.Instant) bool {
	maps.DeleteFunc(r.era.removed, func(_ types.Target, g removedRegistration) bool { return now.Sub(g.at) >= outdatedTime })
	if r.era.earlier != nil && now.Sub(r.era.began) >= outdatedTime {
		r.era.earlier = nil
	}
	if !r.era.keepsEvacuations || now.Sub(r.era.began) < evacuationGrace {
		return false
	}
	ended := len(r.era.missing) > 0
	for _, d := range r.era.missing {
		delete(r.evacuated, d)
	}
	r.era.keepsEvacuations, r.era.missing = false, nil
	return ended
}
