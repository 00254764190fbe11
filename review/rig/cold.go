package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The warm-up of an upstream: warmup_s, and the requests that a cold one may get in a second, which is warmup_per_s times
// warmup_overshoot plus warmup_slack.
const (
	warmupTime = 3 * time.Second
	coldLimit  = 7.3*1.5 + 5
	// crashRate is the number of requests in a second, well above warmup_per_s, from which a cold upstream crashes.
	crashRate = 20
)

// coldCase evacuates a zone under load. Its upstreams have become cold when the operator takes the evacuation back.
func coldCase(f *fleet, trouble bool) bool {
	f.addVMs([]string{zones[0], zones[1], zones[2], zones[0], zones[1], zones[2], zones[0], zones[1], zones[0]})
	const work = 210 * time.Millisecond
	w := &coldWatch{fleet: f, coldAt: make(map[string]time.Time)}
	f.onArrival = w.arrived
	var evacuated []*life
	for i := range 8 {
		u := f.start(fmt.Sprintf("i-ord%d", i), "objednavky", zones[i%3], f.upstreamAddress(i), false, work, "")
		if u.zone == zones[0] {
			evacuated = append(evacuated, u)
		}
	}
	f.store.put("op/config", configuration("00000007",
		[]any{route("order", "/order/", "non_idempotent", "objednavky", 2, 0.6, 1, 2)}, []any{service("objednavky", false)}))
	f.awaitReady()
	done := make(chan struct{})
	n := 0
	every(9*time.Millisecond, done, func() {
		n++
		v := f.vms[n%len(f.vms)]
		background(func() { w.order(f.send(v, "POST", "/order/1", "square 7", -1, 4*time.Second)) })
	})
	pause(4 * time.Second)
	f.store.put("op/evacuate/"+zones[0], map[string]any{})
	f.record.say("the operator evacuates %s", zones[0])
	pause(8 * time.Second)
	for _, u := range evacuated {
		if trouble {
			u.registerCold("ready", warmupTime)
			w.cold(u)
		}
		pause(20 * time.Millisecond)
	}
	f.store.drop("op/evacuate/" + zones[0])
	f.record.say("the operator takes the evacuation back")
	pause(4 * time.Second)
	close(done)
	pause(3 * time.Second)
	return w.report()
}

// arrival is a request that reached a cold upstream.
type arrival struct {
	target   string
	sent, at time.Time
}

// coldWatch counts the requests that reach cold upstreams.
type coldWatch struct {
	fleet    *fleet
	coldAt   map[string]time.Time
	arrivals []arrival
	// orders counts the orders, lost those that have no answer of an upstream and no promise that they have not run.
	orders, lost atomic.Int64
}

func (w *coldWatch) order(a result) {
	w.orders.Add(1)
	if !a.signed && a.status != http.StatusServiceUnavailable {
		w.lost.Add(1)
	}
}

// cold notes that the store has acknowledged that an upstream is cold.
func (w *coldWatch) cold(u *life) {
	w.fleet.guard.hold(func() { w.coldAt[u.id] = time.Now() })
	w.fleet.record.say("%s is cold, as its entry says", u.id)
}

// arrived notes a request that reaches a cold upstream, which crashes at a rate far above the one that it tolerates.
func (w *coldWatch) arrived(u *life, id string, _ *http.Request, at time.Time) {
	recent := 0
	w.fleet.guard.hold(func() {
		if c, ok := w.coldAt[u.id]; !ok || !at.Before(c.Add(warmupTime)) {
			return
		}
		w.arrivals = append(w.arrivals, arrival{target: u.id, sent: w.fleet.sentAt[id], at: at})
		for _, a := range w.arrivals {
			if a.target == u.id && at.Sub(a.at) < time.Second {
				recent++
			}
		}
	})
	w.fleet.record.add("%s reaches %s", id, u.id)
	if recent > crashRate {
		w.fleet.record.say("cold %s crashes after %d requests in a second", u.id, recent)
		u.crash()
		panic(http.ErrAbortHandler)
	}
}

// report finds for each upstream the second in which most requests were sent by their clients and arrived.
func (w *coldWatch) report() bool {
	most := make(map[string]int)
	for _, first := range w.arrivals {
		n := 0
		for _, a := range w.arrivals {
			if a.target == first.target && !a.sent.Before(first.sent) && a.at.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		most[first.target] = max(most[first.target], n)
	}
	broken := false
	for id, n := range most {
		w.fleet.record.say("cold %s got %d requests that were sent and arrived in one second; the limit is %.2f", id, n, coldLimit)
		broken = broken || float64(n) > coldLimit
	}
	w.fleet.record.say("%d of %d orders have no answer of an upstream, and no promise that they have not run", w.lost.Load(), w.orders.Load())
	return broken
}
