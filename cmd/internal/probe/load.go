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
	// jobRingCapacity is the capacity of the rings of jobs and of results.
	jobRingCapacity = 1024
	// writeShare is the fraction of writes among the requests to services that accept them.
	writeShare = 0.3
)

// Load describes a run of requests at a fixed rate.
type Load struct {
	Configuration config.Configuration
	// Gateways lists host:port of the gateways. Each request goes to one chosen at random.
	Gateways []string
	// PerSecond is the rate over all services.
	PerSecond int
	// Duration is how long requests are sent.
	Duration time.Duration
	// Workers is the largest number of requests in progress at once.
	Workers int
	// Keys is the number of keys of each service.
	Keys int
	// Seed initialises the random choice of gateways, keys and reads or writes.
	Seed uint64
	// Name is the prefix of all request identifiers. Runs with different names share no identifier.
	Name string
}

// Run sends the requests and returns the summary of their results.
func (l Load) Run(ctx context.Context) (*Summary, error) {
	jobs := ring.New[job](jobRingCapacity)
	results := ring.New[result](jobRingCapacity)
	summary := newSummary()
	client := newGatewayClient(l.Workers)
	defer client.close()

	collector := duty.NewGroup()
	collector.Add(duty.Duty{Name: "collector", Run: summary.collector(results), Stop: closeRing(results)})
	workers := duty.NewGroup()
	for i := range l.Workers {
		workers.Add(duty.Duty{
			Name:        fmt.Sprintf("caller-%d", i),
			Run:         callWorker(client, jobs, results),
			Stop:        closeRing(jobs),
			StopTimeout: 2 * callTimeout,
		})
	}
	if err := collector.Start(ctx); err != nil {
		return nil, err
	}
	if err := workers.Start(ctx); err != nil {
		return nil, err
	}
	l.schedule(ctx, jobs, summary)
	if err := workers.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	return summary, collector.Stop(context.WithoutCancel(ctx))
}

// closeRing returns the stop function of a duty, which closes r.
func closeRing[T any](r *ring.Ring[T]) func(context.Context) error {
	return func(context.Context) error {
		r.Close()
		return nil
	}
}

// callWorker returns the run function of a worker, which makes the requests in the ring one at a time.
func callWorker(client *gatewayClient, jobs *ring.Ring[job], results *ring.Ring[result]) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			j, err := jobs.Get(ctx)
			if err != nil {
				return nil
			}
			if err := results.Put(ctx, client.call(ctx, j)); err != nil {
				return nil
			}
		}
	}
}

// schedule puts jobs into the ring at the rate of the load. A job that finds the ring full is counted as skipped.
func (l Load) schedule(ctx context.Context, jobs *ring.Ring[job], s *Summary) {
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

// job returns the n-th request. It uses the services in turn, and a random gateway and key.
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
