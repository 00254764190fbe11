package measure

import (
	"math"
	"sort"
	"strconv"

	"sequoiasail.example/types"
)

// Random is a source of random numbers.
type Random interface {
	Uint64() uint64
}

// uniform returns a number from 0 to 1, 1 excluded.
func uniform(r Random) float64 { return float64(r.Uint64()>>11) / (1 << 53) }

// Workload draws keys with Zipf-distributed popularity.
type Workload struct {
	random     Random
	keys       []types.KeyHash // by rank
	cumulative []float64       // share of the keys up to each rank
	// guideTable divides the range from 0 to 1 into guideParts equal parts and holds, for the start of each, the first
	// rank whose cumulative share reaches it. It narrows the binary search of Sample.
	guideTable []int
}

// guideParts is the number of parts in Workload.guideTable.
const guideParts = 1 << 16

// NewWorkload returns a workload over n keys, in which the key of rank r has a share proportional to r^-exponent.
func NewWorkload(n int, exponent float64, random Random) *Workload {
	w := &Workload{random: random, keys: make([]types.KeyHash, n), cumulative: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		w.cumulative[i] = sum
		w.keys[i] = types.HashKey("key-" + strconv.Itoa(i))
	}
	for i := range w.cumulative {
		w.cumulative[i] /= sum
	}
	w.guideTable = make([]int, guideParts+1)
	for i := range w.guideTable {
		w.guideTable[i] = min(sort.SearchFloat64s(w.cumulative, float64(i)/guideParts), n-1)
	}
	return w
}

// Sample draws the key of one request.
func (w *Workload) Sample() types.KeyHash {
	u := uniform(w.random)
	part := int(u * guideParts)
	low, high := w.guideTable[part], w.guideTable[part+1]
	return w.keys[low+sort.SearchFloat64s(w.cumulative[low:high], u)]
}

// Share returns the share of requests for the key of a rank, counted from 0.
func (w *Workload) Share(rank int) float64 {
	if rank == 0 {
		return w.cumulative[0]
	}
	return w.cumulative[rank] - w.cumulative[rank-1]
}

// Hottest returns the n most popular keys.
func (w *Workload) Hottest(n int) []types.KeyHash { return w.keys[:n] }

// ChangeHottest exchanges the n most popular keys with randomly chosen others.
func (w *Workload) ChangeHottest(n int) {
	for i := range n {
		j := n + int(w.random.Uint64()%uint64(len(w.keys)-n))
		w.keys[i], w.keys[j] = w.keys[j], w.keys[i]
	}
}
