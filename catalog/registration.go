package catalog

import (
	"time"

	"sequoiasail.example/types"
)

// Registration is the entry that a target writes to the store to announce itself.
type Registration struct {
	Target types.Target
	// Incarnation identifies one run of the target: the Unix time of its start in milliseconds.
	Incarnation int64
	// Sequence is the number of this version of the registration. The target raises it with each change.
	Sequence int64
	Service  types.Service
	// Address is host:port.
	Address    string
	DataCentre types.DataCentre
	// Slots is the number of requests that the target processes at once.
	Slots int
	// Draining is true once the target has announced that it will stop. It gets no new requests.
	Draining bool
	// ColdFor is how much longer the target stays cold, counted from the write of the registration.
	ColdFor time.Duration
}

// sameContent reports whether two registrations differ at most in their sequence numbers.
func (r Registration) sameContent(o Registration) bool {
	o.Sequence = r.Sequence
	return r == o
}

// SameIncarnation reports whether both registrations come from the same run of the same target.
func (r Registration) SameIncarnation(o Registration) bool {
	return r.Target == o.Target && r.Incarnation == o.Incarnation && r.Address == o.Address
}
