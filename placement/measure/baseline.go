package measure

import (
	"sort"
	"strconv"

	"sequoiasail.example/types"
)

// assignment maps every slot to the index of its owner in names.
type assignment func(slots int, names []types.Target) []int

// moduloHash is static hashing: slot modulo number of targets.
func moduloHash(slots int, names []types.Target) []int {
	out := make([]int, slots)
	for s := range out {
		out[s] = s % len(names)
	}
	return out
}

// ringPoints is the number of points of each target on the hash ring.
const ringPoints = 100

// consistentHash is plain consistent hashing with ringPoints points for each target.
func consistentHash(slots int, names []types.Target) []int {
	type point struct {
		at     uint64
		target int
	}
	var ring []point
	for t, name := range names {
		for p := range ringPoints {
			ring = append(ring, point{uint64(types.HashKey(string(name) + "#" + strconv.Itoa(p))), t})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].at < ring[j].at })
	out := make([]int, slots)
	for s := range out {
		at := uint64(types.HashKey("slot-" + strconv.Itoa(s)))
		i := sort.Search(len(ring), func(i int) bool { return ring[i].at >= at })
		out[s] = ring[i%len(ring)].target
	}
	return out
}

// staticImbalance returns the peak-to-mean load ratio of a static assignment.
func staticImbalance(w *Workload, owner []int, targets int) float64 {
	loads := make([]float64, targets)
	for rank, key := range w.keys {
		loads[owner[types.SlotOf(key, uint32(len(owner)))]] += w.Share(rank)
	}
	return peakToMean(loads)
}

// peakToMean returns the highest load divided by the mean load.
func peakToMean(loads []float64) float64 {
	sum, peak := 0.0, 0.0
	for _, l := range loads {
		sum += l
		peak = max(peak, l)
	}
	return peak * float64(len(loads)) / sum
}

// countChangedOwners counts the slots whose owner has another name in b than in a.
func countChangedOwners(a []int, namesA []types.Target, b []int, namesB []types.Target) int {
	n := 0
	for s := range a {
		if namesA[a[s]] != namesB[b[s]] {
			n++
		}
	}
	return n
}

// targetNames returns the names t-0 to t-(n-1).
func targetNames(n int) []types.Target {
	out := make([]types.Target, n)
	for i := range out {
		out[i] = types.Target("t-" + strconv.Itoa(i))
	}
	return out
}
