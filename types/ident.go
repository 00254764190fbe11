package types

import "github.com/cespare/xxhash/v2"

// Identifiers that appear in settings, configuration and messages.
type (
	// VM names an entry VM.
	VM string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a group of data centres.
	Region string
	// Service names a service, for example mapa-skvrn.
	Service string
	// Target names a back end within its service.
	Target string
	// Caller names who sent a request.
	Caller string
	// RequestID identifies a request across resends. Callers choose it for non-idempotent requests.
	RequestID string
)

// Counters that only rise.
type (
	// Epoch is a fencing token. A holder with a lower epoch is refused.
	Epoch uint64
	// Incarnation tells one run of a process from the next.
	Incarnation uint64
	// Revision is the store's modification counter.
	Revision uint64
	// Version numbers accepted configurations.
	Version uint64
)

// KeyHash is the 64-bit hash of a request key.
type KeyHash uint64

// Slot is an index into a service's slot table.
type Slot uint32

// TargetID names a target across services.
type TargetID struct {
	Service Service
	Target  Target
}

// String returns "service/target".
func (t TargetID) String() string { return string(t.Service) + "/" + string(t.Target) }

// HashKey returns the hash of key. All processes must agree on it.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// SlotOf maps a key hash to one of slots slots. It returns 0 when slots is 0.
func SlotOf(h KeyHash, slots uint32) Slot {
	if slots == 0 {
		return 0
	}
	return Slot(uint64(h) % uint64(slots))
}

// RendezvousScore orders candidates for key: the candidate with the highest score is chosen.
func RendezvousScore(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
