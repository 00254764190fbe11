package types

import "github.com/cespare/xxhash/v2"

// Identifiers that appear in settings, configuration and messages.
type (
	// VM names a machine that runs the project's daemons.
	VM string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a group of data centres.
	Region string
	// Service names a service, for example mapa-skvrn.
	Service string
	// Target names a target within its service.
	Target string
	// Customer names the holder of API keys and of a quota.
	Customer string
	// Caller names the sender of a request.
	Caller string
	// RequestID identifies a request across resends. The caller chooses it for non-idempotent requests.
	RequestID string
)

// Counters that only rise.
type (
	// Epoch is a fencing token: calls with a lower epoch than one already seen are refused.
	Epoch uint64
	// Incarnation identifies one run of a process.
	Incarnation uint64
	// Revision is a store revision: the store raises it with each write. Its upper 16 bits are the era of the store, so that a
	// revision of a later era is higher than all of earlier ones; see NewRevision.
	Revision uint64
	// Era counts how often the store has come back from an older snapshot. Revisions and leases go back and are reused then.
	Era uint16
	// Version is the version of an accepted configuration.
	Version uint64
)

// KeyHash is the 64-bit hash of a request key.
type KeyHash uint64

// Slot is the index of a hash slot of a service: SlotOf maps keys to slots, and each slot is owned by a target.
type Slot uint32

// TargetID names a target across all services.
type TargetID struct {
	Service Service
	Target  Target
}

// String returns "service/target".
func (t TargetID) String() string { return string(t.Service) + "/" + string(t.Target) }

// HashKey returns the 64-bit xxHash of key. All processes must use the same function.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// SlotOf maps a key hash to one of the given number of slots. It returns 0 when slots is 0.
func SlotOf(h KeyHash, slots uint32) Slot {
	if slots == 0 {
		return 0
	}
	return Slot(uint64(h) % uint64(slots))
}

// RendezvousScore returns the rendezvous-hashing score of a candidate for key. The candidate with the highest score
// is chosen.
func RendezvousScore(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
