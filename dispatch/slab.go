package dispatch

// none marks the absence of an index.
const none = int32(-1)

// slab stores values at stable indexes and reuses freed indexes. A pointer from at is valid until the next call of add.
type slab[T any] struct {
	items []T
	free  []int32
}

func newSlab[T any](size int) slab[T] {
	return slab[T]{items: make([]T, 0, size), free: make([]int32, 0, size)}
}

// add stores v and returns its index.
func (s *slab[T]) add(v T) int32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		s.items[i] = v
		return i
	}
	s.items = append(s.items, v)
	return int32(len(s.items) - 1)
}

func (s *slab[T]) at(i int32) *T { return &s.items[i] }

// remove frees index i and clears its value, so that its strings can be garbage collected.
func (s *slab[T]) remove(i int32) {
	var zero T
	s.items[i] = zero
	s.free = append(s.free, i)
}

// used returns the number of values stored.
func (s *slab[T]) used() int { return len(s.items) - len(s.free) }
