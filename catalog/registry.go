package catalog

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Registry tracks the registrations and evacuated data centres read from the store. It must be used by one goroutine
// only.
type Registry struct {
	entries map[types.Target]registryEntry
	// evacuated holds the data centres that are out of service.
	evacuated map[types.DataCentre]bool
	// returning holds the data centres whose evacuation has ended, with when that was learnt; see RegistrationsCurrent.
	returning map[types.DataCentre]types.Instant
	// contact tells when the store has answered.
	contact storeContact
	// services holds the configured services, nil until they are known.
	services map[types.Service]Service
	// era holds what is known from before the store went back to a snapshot; see registry_era.go.
	era registryEra
}

type registryEntry struct {
	Registration
	coldUntil types.Instant
	// missing is true for an entry that is gone from the store and kept for the grace period after an outage.
	missing bool
}

// Listing is a registration with the warm-up end of its target and the state of its data centre.
type Listing struct {
	Registration
	Evacuated bool
	ColdUntil types.Instant
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries: make(map[types.Target]registryEntry), evacuated: make(map[types.DataCentre]bool),
		returning: make(map[types.DataCentre]types.Instant),
		era:       registryEra{removed: make(map[types.Target]removedRegistration)},
	}
}

// Put adds or replaces a registration, unless it is older than one known before the store went back to a snapshot.
func (r *Registry) Put(now types.Instant, g Registration) {
	if r.outdated(now, g) {
		return
	}
	r.entries[g.Target] = registryEntry{Registration: g, coldUntil: now.Add(g.ColdFor)}
}

// Removal is a registration that has gone missing.
type Removal struct {
	Target types.Target
	// KeptFor is how much longer the target is used, 0 if it is not.
	KeptFor time.Duration
}

// Remove removes a registration. During the grace period after a store outage it is kept for the rest of that period,
// because it may have expired while its target could not renew it. A draining target is removed at once.
func (r *Registry) Remove(now types.Instant, t types.Target) Removal {
	e, ok := r.entries[t]
	if !ok {
		return Removal{Target: t}
	}
	left := r.GraceLeft(now)
	if e.Draining || left == 0 {
		r.drop(now, e)
		return Removal{Target: t}
	}
	e.missing = true
	r.entries[t] = e
	return Removal{Target: t, KeptFor: left}
}

// Discard removes the registration of a target whose entry no longer names it. Unlike one that has expired, it is removed at
// once.
func (r *Registry) Discard(t types.Target) { delete(r.entries, t) }

// SetServices sets the configured services. The map must not change afterwards.
func (r *Registry) SetServices(services map[types.Service]Service) { r.services = services }

// holdsAddress reports whether an entry shows that no older target has its address. An entry for a service that is not
// configured names no target, so it shows nothing.
func (r *Registry) holdsAddress(e registryEntry) bool {
	_, ok := r.services[e.Service]
	return ok || r.services == nil
}

// Replace applies a complete list: registrations that are not in it are removed. It returns those that were not missing before,
// in no order.
func (r *Registry) Replace(now types.Instant, list []Registration) (removed []Removal) {
	present := make(map[types.Target]bool, len(list))
	for _, g := range list {
		present[g.Target] = true
		e, ok := r.entries[g.Target]
		if !ok || e.missing || !e.sameContent(g) {
			r.Put(now, g)
			continue
		}
		e.Sequence = max(e.Sequence, g.Sequence)
		r.entries[g.Target] = e
	}
	for t, e := range r.entries {
		if present[t] {
			continue
		}
		if removal := r.Remove(now, t); !e.missing {
			removed = append(removed, removal)
		}
	}
	return removed
}

// Expire deletes missing registrations and evacuations whose grace period has ended, and puts data centres back into service
// returnLimit after the end of their evacuation. It reports whether there were any.
func (r *Registry) Expire(now types.Instant) bool {
	dropped := r.expireEra(now)
	if r.returnEndedBy(now.Add(-returnLimit)) {
		dropped = true
	}
	for _, e := range r.entries {
		if e.missing && r.contact.graceEnded() {
			r.drop(now, e)
			dropped = true
		}
	}
	return dropped
}

// newestByAddress returns the start of the newest target at each address.
func (r *Registry) newestByAddress() map[string]int64 {
	newest := make(map[string]int64, len(r.entries))
	for _, e := range r.entries {
		if r.holdsAddress(e) {
			newest[e.Address] = max(newest[e.Address], e.Incarnation)
		}
	}
	return newest
}

// List returns the registrations ordered by target. Of several with the same address it returns only the newest: the
// other targets have ended.
func (r *Registry) List() []Listing {
	newest := r.newestByAddress()
	var list []Listing
	for _, e := range r.entries {
		if e.Incarnation < newest[e.Address] {
			continue
		}
		list = append(list, Listing{Registration: e.Registration, Evacuated: r.outOfService(e.DataCentre), ColdUntil: e.coldUntil})
	}
	slices.SortFunc(list, func(a, b Listing) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Superseded returns the registrations whose address belongs to a newer target, which shows that they have ended, ordered by
// target.
func (r *Registry) Superseded() []Registration {
	newest := r.newestByAddress()
	var list []Registration
	for _, e := range r.entries {
		if e.Incarnation < newest[e.Address] {
			list = append(list, e.Registration)
		}
	}
	slices.SortFunc(list, func(a, b Registration) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
