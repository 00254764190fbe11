package types

import "math/bits"

// Homes assigns each request identifier of a service without keys to one of its targets, its home, by rendezvous
// hashing. The dispatcher of the home target remembers the identifier: without a fixed home, a resend could reach a
// dispatcher that does not know the first send. All processes must compute the same homes.
type Homes struct {
	targets []Target
	hashes  []uint64
}

// NewHomes returns the assignment to the given targets, which must not change afterwards. Their order does not
// matter.
func NewHomes(targets []Target) Homes {
	h := Homes{targets: targets}
	for _, t := range targets {
		h.hashes = append(h.hashes, uint64(HashKey(string(t))))
	}
	return h
}

// Targets returns the targets that serve as homes.
func (h Homes) Targets() []Target { return h.targets }

// Of returns the home target of an identifier, or "" when there are no targets.
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

// homeScore mixes two hashes with the finalizer of splitmix64, so that each identifier ranks the targets differently.
func homeScore(identifier, target uint64) uint64 {
	z := identifier ^ target
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
