package catalog

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// returnGrace is how long after the return of the store a registration that went missing may come back.
const returnGrace = 2200 * time.Millisecond

// Registry keeps the registrations and evacuations that the store has told. It is owned by one goroutine.
type Registry struct {
	entries map[types.Target]entry
	// evacuated holds the data centres that are out of service.
	evacuated map[types.DataCentre]bool
	// returnedAt is when the store last answered again after it had been away for long; 0 for never.
	returnedAt types.Instant
	away       bool
}

type entry struct {
	Registration
	coldUntil types.Instant
	// missing entries are kept until goneAt.
	missing bool
	goneAt  types.Instant
}

// Listing is a registration with the state of its data centre.
type Listing struct {
	Registration
	Evacuated bool
	ColdUntil types.Instant
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: make(map[types.Target]entry), evacuated: make(map[types.DataCentre]bool)}
}

// StoreAway notes that the store did not answer. Missing registrations are kept until it answers.
func (r *Registry) StoreAway() { r.away = true }

// StoreBack notes that the store answers.
func (r *Registry) StoreBack() { r.away = false }

// Returned notes that the store answered at a time after it had been away for so long that registrations lapse. Those
// that went missing may come back for a while from then.
func (r *Registry) Returned(at types.Instant) {
	if r.returnedAt.Before(at) {
		r.returnedAt = at
	}
}

// GraceLeft returns how long registrations that are missing may still come back.
func (r *Registry) GraceLeft(now types.Instant) time.Duration {
	if r.returnedAt == 0 {
		return 0
	}
	return max(0, r.returnedAt.Add(returnGrace).Sub(now))
}

// Grace notes that another VM keeps missing registrations for a time from now.
func (r *Registry) Grace(now types.Instant, left time.Duration) {
	if left > 0 {
		r.Returned(now.Add(left - returnGrace))
	}
}

// Put records a registration.
func (r *Registry) Put(now types.Instant, g Registration) {
	r.entries[g.Target] = entry{Registration: g, coldUntil: now.Add(g.ColdFor)}
}

// Remove records that a registration is gone. Shortly after the return of the store it is kept for a moment, because
// it may have lapsed while its target could not renew it.
func (r *Registry) Remove(now types.Instant, t types.Target) {
	e, ok := r.entries[t]
	if !ok {
		return
	}
	if e.Draining || r.GraceLeft(now) == 0 {
		delete(r.entries, t)
		return
	}
	e.missing, e.goneAt = true, r.returnedAt.Add(returnGrace)
	r.entries[t] = e
}

// Replace records a complete list: registrations that are not in it are removed.
func (r *Registry) Replace(now types.Instant, list []Registration) {
	present := make(map[types.Target]bool, len(list))
	for _, g := range list {
		present[g.Target] = true
		if e, ok := r.entries[g.Target]; !ok || e.missing || e.Registration != g {
			r.Put(now, g)
		}
	}
	for t := range r.entries {
		if !present[t] {
			r.Remove(now, t)
		}
	}
}

// Evacuate records whether a data centre is out of service.
func (r *Registry) Evacuate(d types.DataCentre, out bool) {
	if out {
		r.evacuated[d] = true
	} else {
		delete(r.evacuated, d)
	}
}

// ReplaceEvacuations records the complete set of data centres out of service.
func (r *Registry) ReplaceEvacuations(list []types.DataCentre) {
	clear(r.evacuated)
	for _, d := range list {
		r.evacuated[d] = true
	}
}

// Expire drops the missing registrations that did not come back. It reports whether there were any.
func (r *Registry) Expire(now types.Instant) bool {
	dropped := false
	for t, e := range r.entries {
		if e.missing && !r.away && !now.Before(e.goneAt) {
			delete(r.entries, t)
			dropped = true
		}
	}
	return dropped
}

// List returns all registrations ordered by name. Of several with one address only the youngest is listed: the others
// have ended.
func (r *Registry) List() []Listing {
	youngest := make(map[string]int64, len(r.entries))
	for _, e := range r.entries {
		youngest[e.Address] = max(youngest[e.Address], e.Life)
	}
	var list []Listing
	for _, e := range r.entries {
		if e.Life < youngest[e.Address] {
			continue
		}
		list = append(list, Listing{Registration: e.Registration, Evacuated: r.evacuated[e.DataCentre], ColdUntil: e.coldUntil})
	}
	slices.SortFunc(list, func(a, b Listing) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Superseded returns the registrations whose address a younger target has: they have ended.
func (r *Registry) Superseded() []Registration {
	var list []Registration
	for _, e := range r.entries {
		for _, o := range r.entries {
			if o.Address == e.Address && o.Life > e.Life {
				list = append(list, e.Registration)
				break
			}
		}
	}
	return list
}
