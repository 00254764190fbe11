package fleettest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sequoiasail.example/types"
)

const (
	loadWorkers = 4
	// loadKeys is the number of keys of each service that the tests use.
	loadKeys = 24
	// loadInterval is the time between two requests of a worker.
	loadInterval = 5 * time.Millisecond
)

// keyName returns the name of key n.
func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// awaitServed waits until the gateways of vms serve every key of both services.
func (f *fleet) awaitServed(vms ...*vm) {
	f.t.Helper()
	for _, v := range vms {
		for n := range loadKeys {
			for _, service := range []types.Service{keyedService, unkeyedService} {
				j := job{service: service, key: keyName(n)}
				var last reply
				f.eventually(fmt.Sprintf("%s serves %s/%s", v.name, service, j.key), func() bool {
					last = f.caller.call(f.ctx, v, j)
					return last.done()
				})
				f.Equal(last.state.Key, j.key)
			}
		}
	}
}

// load sends requests through some gateways until it is stopped. Each key is used by one worker only, which sends one
// request at a time, so that runs for a key overlap only when the key has two owners.
type load struct {
	f      *fleet
	cancel context.CancelFunc
	// number distinguishes the identifiers of its orders from those of the fleet's other loads.
	number  int
	workers sync.WaitGroup
	replies [loadWorkers][]reply
}

func (f *fleet) startLoad(vms ...*vm) *load {
	ctx, cancel := context.WithCancel(f.ctx)
	f.loads++
	l := &load{f: f, cancel: cancel, number: f.loads}
	for w := range loadWorkers {
		l.workers.Go(func() { l.work(ctx, w, vms) })
	}
	f.t.Cleanup(func() { l.stop() })
	return l
}

// work sends the requests of one worker: lookups and orders for both services in turn.
func (l *load) work(ctx context.Context, worker int, vms []*vm) {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		j := job{service: keyedService, key: keyName(worker + loadWorkers*(n%(loadKeys/loadWorkers))), createdAt: time.Now()}
		if n%4 >= 2 {
			j.service = unkeyedService
		}
		if n%2 == 0 {
			j.id = fmt.Sprintf("load-%d-%d-%d", l.number, worker, n)
		}
		// The call uses the context of the fleet, so that a request in flight still gets its answer after stop.
		l.replies[worker] = append(l.replies[worker], l.f.caller.call(l.f.ctx, vms[n%len(vms)], j))
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// stop stops the load and returns all replies.
func (l *load) stop() []reply {
	l.cancel()
	l.workers.Wait()
	var all []reply
	for _, r := range l.replies {
		all = append(all, r...)
	}
	return all
}
