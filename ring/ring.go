// Package ring provides the bounded queue that connects duties.
//
// A Ring has a fixed capacity. Producers choose what happens when it is full: Put blocks, TryPut returns ErrFull, and
// Replace discards the oldest element. A blocked goroutine is parked. After Close, producers get ErrClosed, and
// consumers get the remaining elements before ErrClosed, so no accepted element is lost.
//
// The package starts no goroutines and never polls.
package ring

import (
	"context"
	"sync"
	"sync/atomic"

	"sequoiasail.example/types"
)

// Faults returned by a Ring. Compare with errors.Is.
var (
	// ErrFull is returned by TryPut when the ring holds Cap elements.
	ErrFull = types.NewFault(types.CodeOverloaded, "ring is full")
	// ErrClosed is returned by producers after Close, and by consumers once the ring is closed and empty.
	ErrClosed = types.NewFault(types.CodeShuttingDown, "ring is closed")
)

// Ring is a bounded first-in first-out queue, safe for many producers and many consumers.
type Ring[T any] struct {
	mu  sync.Mutex
	buf []T
	// head is the index of the oldest element in buf, count the number of elements.
	head   int
	count  int
	closed bool

	// notEmpty and notFull hold at most one wake-up each. A goroutine that is woken signals again while the condition
	// still holds, so one signal is enough for any number of waiters.
	notEmpty chan struct{}
	notFull  chan struct{}
	done     chan struct{}

	refused  atomic.Uint64
	replaced atomic.Uint64
}

// New returns an empty ring for capacity elements. A capacity below one is raised to one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		buf:      make([]T, max(capacity, 1)),
		notEmpty: make(chan struct{}, 1),
		notFull:  make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Put appends v and waits while the ring is full. It returns ErrClosed, or a CodeCancelled fault when ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for {
		err := r.push(v)
		if err != ErrFull {
			return err
		}
		select {
		case <-r.notFull:
		case <-r.done:
		case <-ctx.Done():
			return types.WrapFault(types.CodeCancelled, ctx.Err(), "put cancelled")
		}
	}
}

// TryPut appends v without waiting. It returns ErrFull or ErrClosed.
func (r *Ring[T]) TryPut(v T) error {
	err := r.push(v)
	if err == ErrFull {
		r.refused.Add(1)
	}
	return err
}

// Replace appends v and discards the oldest element when the ring is full. It returns ErrClosed.
func (r *Ring[T]) Replace(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.count == len(r.buf) {
		r.removeOldest()
		r.replaced.Add(1)
	}
	r.append(v)
	return nil
}

// Get removes the oldest element and waits while the ring is empty. It returns ErrClosed once the ring is closed
// and empty, or a CodeCancelled fault when ctx ends.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		v, ok, err := r.pop()
		if ok || err != nil {
			return v, err
		}
		select {
		case <-r.notEmpty:
		case <-r.done:
		case <-ctx.Done():
			return v, types.WrapFault(types.CodeCancelled, ctx.Err(), "get cancelled")
		}
	}
}

// Serve removes elements one by one and passes each to do. It returns when ctx ends, when the ring is closed and empty,
// or when do returns an error. Serve discards the error, so do must handle it.
func (r *Ring[T]) Serve(ctx context.Context, do func(T) error) {
	for {
		v, err := r.Get(ctx)
		if err != nil || do(v) != nil {
			return
		}
	}
}

// TryGet removes the oldest element without waiting. ok is false when the ring is empty.
func (r *Ring[T]) TryGet() (v T, ok bool) {
	v, ok, _ = r.pop()
	return v, ok
}

// Drain removes elements without waiting and passes each to apply, until the ring is empty.
func (r *Ring[T]) Drain(apply func(T)) {
	for {
		v, ok := r.TryGet()
		if !ok {
			return
		}
		apply(v)
	}
}

// Ready returns a channel that receives a value when the ring may hold an element. It lets one consumer wait on
// several rings and timers; after a receive the consumer calls Drain, or TryGet until it reports false.
func (r *Ring[T]) Ready() <-chan struct{} { return r.notEmpty }

// Done returns a channel that is closed by Close.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Close makes the ring reject further elements. Closing twice has no effect.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
}

// Cap returns the capacity in elements.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// Depth returns the number of elements held.
func (r *Ring[T]) Depth() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Refused returns how many elements TryPut refused because the ring was full.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// Replaced returns how many elements Replace discarded.
func (r *Ring[T]) Replaced() uint64 { return r.replaced.Load() }

func (r *Ring[T]) push(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.count == len(r.buf) {
		return ErrFull
	}
	r.append(v)
	return nil
}

func (r *Ring[T]) pop() (v T, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		if r.closed {
			return v, false, ErrClosed
		}
		return v, false, nil
	}
	v = r.removeOldest()
	if r.count > 0 {
		signal(r.notEmpty)
	}
	signal(r.notFull)
	return v, true, nil
}

func (r *Ring[T]) append(v T) {
	r.buf[(r.head+r.count)%len(r.buf)] = v
	r.count++
	signal(r.notEmpty)
	if r.count < len(r.buf) {
		signal(r.notFull)
	}
}

func (r *Ring[T]) removeOldest() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.count--
	return v
}

// signal leaves a wake-up in c unless one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
