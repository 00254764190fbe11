package routing_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

// completion is a forwarded attempt with the time at which it will be answered.
type completion struct {
	at types.Instant
	f  routing.Forward
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(a, b int) bool { return e[a].at < e[b].at }
func (e completionHeap) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulateLoad sends 20,000 requests, one every 500 us, and returns the 99th percentile of the time to the reply and the
// number of forwards. The first slow targets take ten times as long as the others.
func simulateLoad(slow int) (p99 time.Duration, forwards int) {
	d := newDriver(newReadyCore(fleetSize{slots: 64, targets: 12, vms: 4}))
	random := rand.New(rand.NewPCG(7, 7))
	var running completionHeap
	began := map[uint64]types.Instant{}
	var times []time.Duration
	const requests = 20_000
	for i := uint64(0); len(times) < requests; {
		if i < requests {
			began[i] = d.now
			d.request(i, unkeyedService, true)
			i++
		}
		for _, f := range d.forwards {
			duration := 5*time.Millisecond + time.Duration(random.Uint64N(uint64(5*time.Millisecond)))
			if slices.Contains(targetNames(slow), f.Target.Target) {
				duration *= 10
			}
			heap.Push(&running, completion{d.now.Add(duration), f})
		}
		forwards += len(d.forwards)
		d.forwards = d.forwards[:0]
		next := d.now.Add(500 * time.Microsecond)
		for len(running) > 0 && running[0].at <= next {
			e := heap.Pop(&running).(completion)
			d.now = max(d.now, e.at)
			d.answer(e.f, types.OutcomeDone, "")
		}
		d.now = next
		d.record(d.Tick(d.now, nil))
		for _, r := range d.replies {
			times = append(times, d.now.Sub(began[r.Handle]))
		}
		d.replies = d.replies[:0]
	}
	slices.Sort(times)
	return times[len(times)*99/100], forwards
}

// Guards against slow targets that keep receiving their full share of requests: with a quarter of the targets slowed
// tenfold, the 99th percentile may at most double, and hedges stay within their share.
func TestStragglersDoNotDoubleP99(t *testing.T) {
	undisturbed, _ := simulateLoad(0)
	disturbed, forwards := simulateLoad(3)
	t.Logf("p99 undisturbed %v, with 3 of 12 targets slowed tenfold %v, %d forwards", undisturbed, disturbed, forwards)
	if disturbed > 2*undisturbed {
		t.Errorf("p99 rose from %v to %v", undisturbed, disturbed)
	}
	if forwards > 20_000*105/100+10 {
		t.Errorf("%d forwards for 20000 requests exceed HedgeShare 0.05", forwards)
	}
}

// Guards against hedges that double the load when all targets are slow.
func TestHedgesAreBudgeted(t *testing.T) {
	d := newDriver(newReadyCore(smallFleet))
	for i := range uint64(2000) {
		d.request(i, unkeyedService, true)
		d.wait(5 * time.Millisecond)
	}
	hedges := len(d.forwards) - 2000
	if hedges == 0 || hedges > 2000*5/100+10 {
		t.Errorf("%d hedges for 2000 requests, HedgeShare is 0.05 and the initial budget 10", hedges)
	}
}

// Guards against a target that never answers but looks idle, because its attempts are cancelled after a hedge.
func TestSilentTargetIsAvoided(t *testing.T) {
	d := newDriver(newReadyCore(fleetSize{slots: 64, targets: 12, vms: 4}))
	silent, first := targetName(0), 0
	for i := range uint64(1000) {
		d.request(i, unkeyedService, true)
		d.wait(5 * time.Millisecond)
		for _, f := range d.forwards {
			if f.Target.Target != silent {
				d.answer(f, types.OutcomeDone, "")
			} else if f.Attempt == 1 {
				first++
			}
		}
		d.forwards = d.forwards[:0]
	}
	if first > 1000/12/4 {
		t.Errorf("the silent target receives %d of 1000 requests, more than a quarter of a fair share", first)
	}
}
