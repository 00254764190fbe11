package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// encodedPath has one segment after the prefix /order/, whose name contains an encoded slash.
const encodedPath = "/order/urgent%2F7"

// encodedCase adds a route with a longer prefix while clients send orders whose path that prefix doesn't begin.
func encodedCase(f *fleet, trouble bool) bool {
	f.addVMs(zones)
	var orders, foreign atomic.Int64
	f.onRun = func(u *life, id string, r *http.Request, _ int) {
		if r.RequestURI != encodedPath {
			return
		}
		if u.service == "objednavky" {
			orders.Add(1)
			return
		}
		foreign.Add(1)
		f.record.add("%s of %s runs %s, path %s", u.id, u.service, id, r.RequestURI)
	}
	for i := range 6 {
		f.start(fmt.Sprintf("i-ord%d", i), "objednavky", zones[i%3], f.upstreamAddress(i), false, 50*time.Millisecond, "")
		f.start(fmt.Sprintf("i-pay%d", i), "vyuctovani", zones[i%3], f.upstreamAddress(20+i), false, 50*time.Millisecond, "")
	}
	services := []any{service("objednavky", false), service("vyuctovani", false)}
	order := route("order", "/order/", "non_idempotent", "objednavky", 2, 0.6, 1, 2)
	pay := route("pay", "/pay/", "non_idempotent", "vyuctovani", 2, 0.6, 0, 2)
	f.store.put("op/config", configuration("00000007", []any{order, pay}, services))
	f.awaitReady()
	done := make(chan struct{})
	n := 0
	every(50*time.Millisecond, done, func() {
		n++
		v := f.vms[n%len(f.vms)]
		background(func() {
			a := f.send(v, "POST", encodedPath, "square 7", -1, 4*time.Second)
			if a.signed && !strings.HasPrefix(a.body, "i-ord") {
				f.record.add("client got the answer of another service for %s: %s", a.id, strings.TrimSpace(a.body))
			}
		})
	})
	pause(3 * time.Second)
	if trouble {
		urgent := route("urgent", "/order/urgent/", "non_idempotent", "vyuctovani", 2, 0.6, 0, 2)
		f.store.put("op/config", configuration("0000000a", []any{order, pay, urgent}, services))
		f.record.say("the operator adds a route with the prefix /order/urgent/")
	}
	pause(6 * time.Second)
	close(done)
	pause(2 * time.Second)
	f.record.say("orders with the path %s: %d were run by objednavky, %d by vyuctovani", encodedPath, orders.Load(), foreign.Load())
	return foreign.Load() > 0
}
