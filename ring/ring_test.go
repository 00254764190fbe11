package ring_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Guards against elements that are lost or delivered twice under many producers and consumers.
func TestEveryElementIsDeliveredOnce(t *testing.T) {
	is := is.New(t)
	const producers, each, consumers = 8, 5000, 4
	r := ring.New[int](16)
	var in, out sync.WaitGroup
	seen := make([]map[int]int, consumers)
	for c := range consumers {
		seen[c] = map[int]int{}
		out.Go(func() {
			for {
				v, err := r.Get(context.Background())
				if err != nil {
					return
				}
				seen[c][v]++
			}
		})
	}
	for p := range producers {
		in.Go(func() {
			for i := range each {
				_ = r.Put(context.Background(), p*each+i)
			}
		})
	}
	in.Wait()
	r.Close()
	out.Wait()
	total := map[int]int{}
	for _, m := range seen {
		for v, n := range m {
			total[v] += n
		}
	}
	is.Equal(len(total), producers*each)
	for _, n := range total {
		is.Equal(n, 1)
	}
}

// Guards against a full ring that blocks a TryPut.
func TestTryPutRefusesWhenFull(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](2)
	is.NoErr(r.TryPut(1))
	is.NoErr(r.TryPut(2))
	is.True(errors.Is(r.TryPut(3), ring.ErrFull))
	is.Equal(r.Refused(), uint64(1))
	is.Equal(r.Depth(), 2)
}

// Guards against a full ring that keeps older states and drops the newest one.
func TestReplaceDiscardsOldest(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](2)
	for i := 1; i <= 3; i++ {
		is.NoErr(r.Replace(i))
	}
	v, ok := r.TryGet()
	is.True(ok)
	is.Equal(v, 2)
	is.Equal(r.Replaced(), uint64(1))
}

// Guards against accepted elements being lost by Close.
func TestCloseKeepsAcceptedElements(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](2)
	is.NoErr(r.TryPut(7))
	r.Close()
	r.Close()
	is.True(errors.Is(r.TryPut(8), ring.ErrClosed))
	is.True(errors.Is(r.Replace(8), ring.ErrClosed))
	v, err := r.Get(context.Background())
	is.NoErr(err)
	is.Equal(v, 7)
	_, err = r.Get(context.Background())
	is.True(errors.Is(err, ring.ErrClosed))
}

// Guards against a consumer that leaves elements in the ring after one wake-up.
func TestDrainRemovesAllElements(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](4)
	for i := range 3 {
		is.NoErr(r.TryPut(i))
	}
	var got []int
	r.Drain(func(v int) { got = append(got, v) })
	is.Equal(got, []int{0, 1, 2})
	is.Equal(r.Depth(), 0)
}

// Guards against a Put or Get that goes on waiting after its context has ended.
func TestCancelledContextEndsWaiting(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := ring.New[int](1)
	_, err := r.Get(ctx)
	is.Equal(types.CodeOf(err), types.CodeCancelled)
	is.NoErr(r.TryPut(1))
	is.Equal(types.CodeOf(r.Put(ctx, 2)), types.CodeCancelled)
}

func BenchmarkRing(b *testing.B) {
	r := ring.New[int](1024)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			if _, err := r.Get(context.Background()); err != nil {
				return
			}
		}
	})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = r.Put(context.Background(), 1)
		}
	})
	r.Close()
	wg.Wait()
}

// BenchmarkChannel is the baseline for BenchmarkRing.
func BenchmarkChannel(b *testing.B) {
	c := make(chan int, 1024)
	var wg sync.WaitGroup
	wg.Go(func() {
		for range c {
		}
	})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c <- 1
		}
	})
	close(c)
	wg.Wait()
}

// Guards against a consumer that loses the remaining elements of a closed ring, or goes on after an error.
func TestServeStopsOnErrorAndDrainsClosedRing(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](4)
	for v := range 4 {
		is.NoErr(r.TryPut(v))
	}
	failed := errors.New("failed")
	r.Serve(t.Context(), func(v int) error {
		if v == 1 {
			return failed
		}
		return nil
	})
	is.Equal(r.Depth(), 2)
	r.Close()
	rest := []int{}
	r.Serve(t.Context(), func(v int) error {
		rest = append(rest, v)
		return nil
	})
	is.Equal(rest, []int{2, 3})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ring.New[int](1).Serve(ctx, func(int) error { return nil })
}
