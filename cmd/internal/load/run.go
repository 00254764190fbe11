package load

import (
	"context"
	"fmt"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Capacities of the rings. When the ring of calls is full a call is skipped and counted; results block.
const (
	callRing   = 4096
	resultRing = 4096
)

// Pace says when calls are made and by how many workers.
type Pace struct {
	// PerSecond is the rate of calls.
	PerSecond int
	// Duration is how long calls are made.
	Duration time.Duration
	// Workers is the number of calls in progress at once.
	Workers int
	// Timeout bounds one call.
	Timeout time.Duration
}

func (p Pace) validate() error {
	if p.PerSecond < 1 || p.Workers < 1 || p.Duration <= 0 || p.Timeout <= 0 {
		return types.NewFault(types.CodeBadSettings, "rate, workers, duration and timeout must be above 0")
	}
	return nil
}

// source returns the call that is due at a time.
type source func(due time.Time) call

// run makes calls from next at the pace and returns the figures.
func run(ctx context.Context, p Pace, c *caller, next source) (*Figures, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	calls := ring.New[call](callRing)
	results := ring.New[result](resultRing)
	figures := newFigures(time.Now())
	collector := duty.NewGroup()
	collector.Add(duty.Duty{Name: "collector", Run: collect(results, figures), Stop: closing(results)})
	workers := duty.NewGroup()
	for i := range p.Workers {
		workers.Add(duty.Duty{
			Name:        fmt.Sprintf("caller-%d", i),
			Run:         work(c, calls, results),
			Stop:        closing(calls),
			StopTimeout: 2 * p.Timeout,
		})
	}
	if err := start(ctx, collector, workers); err != nil {
		return nil, err
	}
	skipped := pace(ctx, p, calls, next)
	if err := workers.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	if err := collector.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	figures.Skipped = skipped
	return figures, nil
}

func start(ctx context.Context, groups ...*duty.Group) error {
	for _, g := range groups {
		if err := g.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func closing[T any](r *ring.Ring[T]) func(context.Context) error {
	return func(context.Context) error {
		r.Close()
		return nil
	}
}

func work(c *caller, calls *ring.Ring[call], results *ring.Ring[result]) func(context.Context) error {
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

func collect(results *ring.Ring[result], f *Figures) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			r, err := results.Get(ctx)
			if err != nil {
				return nil
			}
			f.add(r)
		}
	}
}

// pace puts each call into the ring when it is due and returns the number of calls that the full ring refused.
func pace(ctx context.Context, p Pace, calls *ring.Ring[call], next source) uint64 {
	skipped := uint64(0)
	interval := time.Second / time.Duration(p.PerSecond)
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for offset := time.Duration(0); offset < p.Duration; offset += interval {
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
