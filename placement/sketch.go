package placement

import (
	"cmp"
	"slices"

	"sequoiasail.example/types"
)

// DefaultSketchSize is the number of counters of a Sketch. A key is guaranteed to have a counter if its share of the
// stream exceeds 1/size; the 13th key of a Zipf 1.1 stream over 400 M keys has a share of 0.6%.
const DefaultSketchSize = 512

// Sketch counts the heaviest keys of a stream with the space-saving algorithm: a key that has no counter replaces
// the key of the smallest one and inherits its count. It is not safe for concurrent use.
type Sketch struct {
	counters []counter // min-heap by count
	index    map[types.KeyHash]int32
	size     int
}

// counter is the approximate weight of one key.
type counter struct {
	key types.KeyHash
	// count overestimates the weight of key by at most maxError.
	count, maxError float32
}

// NewSketch returns an empty sketch with size counters.
func NewSketch(size int) *Sketch {
	size = max(size, 1)
	return &Sketch{
		counters: make([]counter, 0, size), index: make(map[types.KeyHash]int32, size), size: size,
	}
}

// Add counts weight for key.
func (s *Sketch) Add(key types.KeyHash, weight float32) {
	if i, ok := s.index[key]; ok {
		s.counters[i].count += weight
		s.siftDown(int(i))
		return
	}
	if len(s.counters) < s.size {
		s.counters = append(s.counters, counter{key: key, count: weight})
		s.siftUp(len(s.counters) - 1)
		return
	}
	least := &s.counters[0]
	delete(s.index, least.key)
	least.key = key
	least.maxError = least.count
	least.count += weight
	s.index[key] = 0
	s.siftDown(0)
}

// Reset removes all counters. A dispatcher resets its sketch after each report, so that the loads of a key and of its
// slot cover the same time.
func (s *Sketch) Reset() {
	s.counters = s.counters[:0]
	clear(s.index)
}

// Decay multiplies all counts by factor, which lies between 0 and 1. It is for callers that need a smoothed rate; the
// planner smooths reports itself.
func (s *Sketch) Decay(factor float32) {
	for i := range s.counters {
		s.counters[i].count *= factor
		s.counters[i].maxError *= factor
	}
}

// Top appends the n heaviest keys to out, heaviest first, with the guaranteed weight (the count minus its maximum
// error) multiplied by scale. Keys whose guaranteed weight is 0 are left out.
func (s *Sketch) Top(n int, scale float32, out []KeyLoad) []KeyLoad {
	from := len(out)
	for _, c := range s.counters {
		guaranteed := c.count - c.maxError
		if guaranteed <= 0 {
			continue
		}
		out = append(out, KeyLoad{Key: c.key, Load: guaranteed * scale})
	}
	found := out[from:]
	slices.SortFunc(found, heavierFirst)
	return out[:from+min(n, len(found))]
}

// heavierFirst orders by descending load, then by key.
func heavierFirst(a, b KeyLoad) int {
	if c := cmp.Compare(b.Load, a.Load); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// setCounter stores c at heap position i.
func (s *Sketch) setCounter(i int, c counter) {
	s.counters[i] = c
	s.index[c.key] = int32(i)
}

func (s *Sketch) siftUp(i int) {
	c := s.counters[i]
	for i > 0 {
		parent := (i - 1) / 2
		if s.counters[parent].count <= c.count {
			break
		}
		s.setCounter(i, s.counters[parent])
		i = parent
	}
	s.setCounter(i, c)
}

func (s *Sketch) siftDown(i int) {
	c := s.counters[i]
	for {
		child := 2*i + 1
		if child >= len(s.counters) {
			break
		}
		if right := child + 1; right < len(s.counters) && s.counters[right].count < s.counters[child].count {
			child = right
		}
		if c.count <= s.counters[child].count {
			break
		}
		s.setCounter(i, s.counters[child])
		i = child
	}
	s.setCounter(i, c)
}
