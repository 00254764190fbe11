package measure

import (
	"sort"
	"strconv"

	"sequoiasail.example/types"
)

// assign maps every slot to an index into names.
type assign func(slots int, names []types.Target) []int

// modulo is static hashing: slot modulo number of targets.
func modulo(slots int, names []types.Target) []int {
	out := make([]int, slots)
	for s := range out {
		out[s] = s % len(names)
	}
	return out
}

// ringPoints is the number of points of each target on the hash ring.
const ringPoints = 100

// consistent is plain consistent hashing with ringPoints points for each target.
func consistent(slots int, names []types.Target) []int {
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

// imbalance returns the peak to mean load of a static assignment.
func imbalance(w *Workload, owner []int, targets int) float64 {
	loads := make([]float64, targets)
	for rank, key := range w.keys {
		loads[owner[types.SlotOf(key, uint32(len(owner)))]] += w.Share(rank)
	}
	return peakToMean(loads)
}

func peakToMean(loads []float64) float64 {
	sum, peak := 0.0, 0.0
	for _, l := range loads {
		sum += l
		peak = max(peak, l)
	}
	return peak * float64(len(loads)) / sum
}

// changed counts the slots whose owner differs by name.
func changed(a []int, namesA []types.Target, b []int, namesB []types.Target) int {
	n := 0
	for s := range a {
		if namesA[a[s]] != namesB[b[s]] {
			n++
		}
	}
	return n
}

func targetNames(n int) []types.Target {
	out := make([]types.Target, n)
	for i := range out {
		out[i] = types.Target("t-" + strconv.Itoa(i))
	}
	return out
}
