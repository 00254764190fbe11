package types

import "math/bits"

// Homes divides the identifiers of a service without keys among targets: the dispatcher of an identifier's home remembers
// it. Without a fixed home, a resend could reach a dispatcher that knows nothing of the first send. All processes must
// agree on it.
type Homes struct {
	targets []Target
	hashes  []uint64
}

// NewHomes returns homes among targets, which must not change afterwards. Their order does not matter.
func NewHomes(targets []Target) Homes {
	h := Homes{targets: targets}
	for _, t := range targets {
		h.hashes = append(h.hashes, uint64(HashKey(string(t))))
	}
	return h
}

// Targets returns the targets among which the identifiers are divided.
func (h Homes) Targets() []Target { return h.targets }

// Of returns the home of an identifier, or "" when there are no targets.
func (h Homes) Of(caller Caller, id RequestID) Target {
	best, bestScore := Target(""), uint64(0)
	identifier := identifierHash(caller, id)
	for n, t := range h.targets {
		score := homeScore(identifier, h.hashes[n])
		if best == "" || score > bestScore || (score == bestScore && t < best) {
			best, bestScore = t, score
		}
	}
	return best
}

func identifierHash(caller Caller, id RequestID) uint64 {
	return bits.RotateLeft64(uint64(HashKey(string(caller))), 1) ^ uint64(HashKey(string(id)))
}

// homeScore mixes two hashes with the finalizer of splitmix64, so that each identifier orders the targets differently.
func homeScore(identifier, target uint64) uint64 {
	z := identifier ^ target
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
