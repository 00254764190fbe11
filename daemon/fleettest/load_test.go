package fleettest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sequoiasail.example/types"
)

const (
	loadWorkers  = 4
	loadKeys     = 24
	loadInterval = 5 * time.Millisecond
)

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// awaitServed waits until the gateways of vms serve every key.
func (f *fleet) awaitServed(vms ...*vm) {
	f.t.Helper()
	for _, v := range vms {
		for n := range loadKeys {
			for _, service := range []types.Service{keyed, unkeyed} {
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

// load sends requests through some gateways until it is stopped. Every worker owns its share of the keys, so that the
// requests for one key follow each other and only a second owner can make them overlap.
type load struct {
	f      *fleet
	cancel context.CancelFunc
	// number makes the identifiers of its orders unique.
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

func (l *load) work(ctx context.Context, worker int, vms []*vm) {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		j := job{service: keyed, key: keyName(worker + loadWorkers*(n%(loadKeys/loadWorkers))), minted: time.Now()}
		if n%4 >= 2 {
			j.service = unkeyed
		}
		if n%2 == 0 {
			j.id = fmt.Sprintf("load-%d-%d-%d", l.number, worker, n)
		}
		// The answer is awaited even after the load was stopped, so that every outcome is known.
		l.replies[worker] = append(l.replies[worker], l.f.caller.call(l.f.ctx, vms[n%len(vms)], j))
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// stop ends the load and returns all replies.
func (l *load) stop() []reply {
	l.cancel()
	l.workers.Wait()
	var all []reply
	for _, r := range l.replies {
		all = append(all, r...)
	}
	return all
}
