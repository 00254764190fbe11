package load

import (
	"context"
	"fmt"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Capacities of the rings. A call that finds its ring full is skipped and counted. A worker that finds the ring of
// results full waits.
const (
	callRingCapacity   = 4096
	resultRingCapacity = 4096
)

// Options sets the rate, the duration and the concurrency of a run.
type Options struct {
	// PerSecond is the number of calls scheduled per second.
	PerSecond int
	// Duration is the time over which calls are scheduled.
	Duration time.Duration
	// Workers is the largest number of calls in progress at once.
	Workers int
	// Timeout bounds each call.
	Timeout time.Duration
}

func (o Options) validate() error {
	if o.PerSecond < 1 || o.Workers < 1 || o.Duration <= 0 || o.Timeout <= 0 {
		return types.NewFault(types.CodeBadSettings, "rate, workers, duration and timeout must be above 0")
	}
	return nil
}

// callSource returns the next call, scheduled for due.
type callSource func(due time.Time) call

// run makes the calls of next and returns their statistics.
func run(ctx context.Context, o Options, c *client, next callSource) (*Stats, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	calls := ring.New[call](callRingCapacity)
	results := ring.New[result](resultRingCapacity)
	stats := newStats(time.Now())
	collector := duty.NewGroup()
	collector.Add(duty.Duty{Name: "collector", Run: collectResults(results, stats), Stop: closeRing(results)})
	workers := duty.NewGroup()
	for i := range o.Workers {
		workers.Add(duty.Duty{
			Name:        fmt.Sprintf("caller-%d", i),
			Run:         callWorker(c, calls, results),
			Stop:        closeRing(calls),
			StopTimeout: 2 * o.Timeout,
		})
	}
	if err := startGroups(ctx, collector, workers); err != nil {
		return nil, err
	}
	skipped := scheduleCalls(ctx, o, calls, next)
	if err := workers.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	if err := collector.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	stats.Skipped = skipped
	return stats, nil
}

func startGroups(ctx context.Context, groups ...*duty.Group) error {
	for _, g := range groups {
		if err := g.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// closeRing returns the stop function of a duty, which closes r.
func closeRing[T any](r *ring.Ring[T]) func(context.Context) error {
	return func(context.Context) error {
		r.Close()
		return nil
	}
}

// callWorker returns the run function of a worker, which makes the calls in the ring one at a time.
func callWorker(c *client, calls *ring.Ring[call], results *ring.Ring[result]) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			x, err := calls.Get(ctx)
			if err != nil {
				return nil
			}
			if results.Put(ctx, c.do(ctx, x)) != nil {
				return nil
			}
		}
	}
}

// collectResults returns the run function of the collector, which adds each result to s.
func collectResults(results *ring.Ring[result], s *Stats) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			r, err := results.Get(ctx)
			if err != nil {
				return nil
			}
			s.add(r)
		}
	}
}

// scheduleCalls puts each call into the ring when it is due and returns the number of calls skipped because the ring
// was full.
func scheduleCalls(ctx context.Context, o Options, calls *ring.Ring[call], next callSource) uint64 {
	skipped := uint64(0)
	interval := time.Second / time.Duration(o.PerSecond)
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for offset := time.Duration(0); offset < o.Duration; offset += interval {
		due := begin.Add(offset)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return skipped
		}
		if calls.TryPut(next(due)) != nil {
			skipped++
		}
	}
	return skipped
}
