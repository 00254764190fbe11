package catalog

import (
	"time"

	"sequoiasail.example/types"
)

// Registration is what a target says of itself in the store.
type Registration struct {
	Target types.Target
	// Life tells one start of the target from the next: the Unix time of its start in milliseconds.
	Life    int64
	Service types.Service
	// Address is host:port.
	Address    string
	DataCentre types.DataCentre
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Draining is true once the target has announced its end. It gets no new requests.
	Draining bool
	// ColdFor is how much longer the target stays cold, counted from the writing of the registration.
	ColdFor time.Duration
}

// SameLife reports whether both registrations come from the same start of the same target.
func (r Registration) SameLife(o Registration) bool {
	return r.Target == o.Target && r.Life == o.Life && r.Address == o.Address
}
