package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// allowedRetries is the number of retries in which the request may still reach upstreams.
const allowedRetries = 3

// poisonCase sends a request that crashes each upstream that begins to run it, again and again, beside orders of other clients.
func poisonCase(f *fleet, trouble bool) bool {
	f.addVMs(zones)
	const work = 210 * time.Millisecond
	poison := "/lookup/crash"
	if !trouble {
		poison = ""
	}
	type seat struct {
		zone, address string
		lives         int
	}
	var up func(i int)
	seats := make([]*seat, 8)
	for i := range seats {
		seats[i] = &seat{zone: zones[i%3], address: f.upstreamAddress(i)}
	}
	at := make(map[string]int)
	up = func(i int) {
		s := seats[i]
		s.lives++
		id := fmt.Sprintf("i-ord%d-%d", i, s.lives)
		f.guard.hold(func() { at[id] = i })
		f.start(id, "objednavky", s.zone, s.address, false, work, poison)
	}
	p := &poisonWatch{fleet: f, attempts: make(map[string]bool)}
	f.onRun = func(_ *life, id string, r *http.Request, _ int) { p.ran(id, r.URL.Path) }
	f.onCrash = func(u *life, _ string) {
		p.crashed()
		i := 0
		f.guard.hold(func() { i = at[u.id] })
		// The upstream is back after some seconds.
		time.AfterFunc(3*time.Second, func() { up(i) })
	}
	for i := range seats {
		up(i)
	}
	f.store.put("op/config", configuration("00000007", []any{
		route("lookup", "/lookup/", "idempotent", "objednavky", 1.5, 0.5, 2, 2),
		route("order", "/order/", "non_idempotent", "objednavky", 2, 0.6, 1, 2),
	}, []any{service("objednavky", false)}))
	f.awaitReady()
	done := make(chan struct{})
	n := 0
	every(50*time.Millisecond, done, func() {
		n++
		v := f.vms[n%len(f.vms)]
		background(func() { p.order(f.send(v, "POST", "/order/1", "square 7", -1, 4*time.Second)) })
	})
	pause(3 * time.Second)
	f.record.say("a client sends the request that crashes upstreams")
	for i := range 25 {
		f.send(f.vms[i%len(f.vms)], "GET", "/lookup/crash", "", -1, 3*time.Second)
		pause(time.Second)
	}
	close(done)
	pause(3 * time.Second)
	return p.report()
}

// poisonWatch counts what the request that crashes upstreams does.
type poisonWatch struct {
	fleet   *fleet
	crashes atomic.Int64
	// thirdAt is the Unix time of the third crash in nanoseconds.
	thirdAt atomic.Int64
	// runs counts the runs later than contact_s after the third crash, attempts the client attempts that they belong to.
	runs     atomic.Int64
	attempts map[string]bool
	// orders counts the orders of other clients, lost those that were passed on and got no answer of an upstream.
	orders, lost atomic.Int64
}

func (p *poisonWatch) crashed() {
	if p.crashes.Add(1) == 3 {
		p.thirdAt.Store(time.Now().UnixNano())
		p.fleet.record.say("the third upstream has crashed")
	}
}

func (p *poisonWatch) ran(id, path string) {
	third := p.thirdAt.Load()
	if path != "/lookup/crash" || third == 0 || time.Now().UnixNano()-third < contactSeconds*int64(time.Second) {
		return
	}
	p.runs.Add(1)
	p.fleet.guard.hold(func() { p.attempts[id] = true })
}

func (p *poisonWatch) order(a result) {
	p.orders.Add(1)
	if !a.signed && a.status != http.StatusServiceUnavailable {
		p.lost.Add(1)
	}
}

func (p *poisonWatch) report() bool {
	p.fleet.record.say("%d crashes in all", p.crashes.Load())
	p.fleet.record.say("later than %d s after the third, %d attempts of the client reached upstreams, in %d runs", contactSeconds, len(p.attempts), p.runs.Load())
	p.fleet.record.say("%d of %d orders of other clients have no answer of an upstream, and no promise that they have not run", p.lost.Load(), p.orders.Load())
	// The rule counts retries. The client's are its attempts, the VMs' own are the runs beyond the first of each attempt. The rule
	// counts as broken only if there are too many of both.
	return len(p.attempts) > allowedRetries && p.runs.Load()-int64(len(p.attempts)) > allowedRetries
}
