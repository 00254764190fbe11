package probe

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
)

const (
	jobRingCapacity = 1024
	// writeShare is the share of requests that are not idempotent.
	writeShare = 0.3
)

// Load describes a run of requests at a fixed rate.
type Load struct {
	Configuration config.Configuration
	// Gateways lists host:port of the gateways to use in turn.
	Gateways []string
	// PerSecond is the rate over all services.
	PerSecond int
	// Duration is how long requests are sent.
	Duration time.Duration
	// Workers is the number of requests in progress at once.
	Workers int
	// Keys is the number of keys of each service.
	Keys int
	// Seed makes the choice of services, keys and kinds repeatable.
	Seed uint64
	// Name starts every request identifier, so that runs do not share any.
	Name string
}

// Run sends the requests and returns what came of them.
func (l Load) Run(ctx context.Context) (*Summary, error) {
	jobs := ring.New[job](jobRingCapacity)
	reports := ring.New[report](jobRingCapacity)
	summary := newSummary()
	client := newCaller(l.Workers)
	defer client.close()

	collect := duty.NewGroup()
	collect.Add(duty.Duty{Name: "collector", Run: summary.collect(reports), Stop: closing(reports)})
	workers := duty.NewGroup()
	for i := range l.Workers {
		workers.Add(duty.Duty{
			Name:        fmt.Sprintf("caller-%d", i),
			Run:         work(client, jobs, reports),
			Stop:        closing(jobs),
			StopTimeout: 2 * callTimeout,
		})
	}
	if err := collect.Start(ctx); err != nil {
		return nil, err
	}
	if err := workers.Start(ctx); err != nil {
		return nil, err
	}
	l.pace(ctx, jobs, summary)
	if err := workers.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	return summary, collect.Stop(context.WithoutCancel(ctx))
}

func closing[T any](r *ring.Ring[T]) func(context.Context) error {
	return func(context.Context) error {
		r.Close()
		return nil
	}
}

func work(client *caller, jobs *ring.Ring[job], reports *ring.Ring[report]) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			j, err := jobs.Get(ctx)
			if err != nil {
				return nil
			}
			if err := reports.Put(ctx, client.call(ctx, j)); err != nil {
				return nil
			}
		}
	}
}

// pace adds jobs at the wanted rate. A job that finds the ring full is counted as skipped.
func (l Load) pace(ctx context.Context, jobs *ring.Ring[job], s *Summary) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	tick := time.NewTicker(time.Second / time.Duration(l.PerSecond))
	defer tick.Stop()
	end := time.NewTimer(l.Duration)
	defer end.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			if err := jobs.TryPut(l.job(random, n)); err != nil {
				s.skipped.Add(1)
			}
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (l Load) job(random *rand.Rand, n int) job {
	service := l.Configuration.Services[n%len(l.Configuration.Services)]
	return job{
		gateway: l.Gateways[random.IntN(len(l.Gateways))],
		service: service.Name,
		key:     fmt.Sprintf("%s-%d", service.Name, random.IntN(l.Keys)),
		write:   service.WriteClass != "" && random.Float64() < writeShare,
		id:      fmt.Sprintf("%s-%d", l.Name, n),
	}
}
