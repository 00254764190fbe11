package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// fdLimit is max_fds of the settings.
	fdLimit = 4100
	// keepIdle is how long a client keeps an idle connection: four fifths of idle_timeout_s.
	keepIdle = 12 * time.Second
	// unreadLimit is how long a client waits for a connection, and for a sign that its request has been read.
	unreadLimit = time.Second
	// crowdRate is the number of requests in a second.
	crowdRate = 750
	// clientRetries is how often a client repeats a request.
	clientRetries = 2
	// wantedTries is the number of new connections that have to be tried while none is taken.
	wantedTries = 7
)

// crowdCase loses two of three VMs. The clients go to the third, with a new connection for each repeat.
func crowdCase(f *fleet, trouble bool) bool {
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) != nil || own.Cur < 2*fdLimit {
		unable("the clients need %d descriptors", 2*fdLimit)
	}
	f.fdLimit = fdLimit
	f.addVMs(zones)
	for i := range 36 {
		f.start(fmt.Sprintf("i-map%d", i), "mapa", zones[i%3], f.upstreamAddress(i), false, 160*time.Millisecond, "")
	}
	f.store.put("op/config", configuration("00000007",
		[]any{route("lookup", "/lookup/", "idempotent", "mapa", 1.5, 0.5, 2, 2)}, []any{service("mapa", false)}))
	f.awaitReady()
	c := &crowd{fleet: f, idle: make(map[*vm][]*kept)}
	c.rotation = slices.Clone(f.vms)
	done := make(chan struct{})
	every(time.Second, done, c.poll)
	every(time.Second/crowdRate, done, func() { background(c.request) })
	pause(5 * time.Second)
	if trouble {
		f.record.say("two of three VMs are lost")
		for _, v := range f.vms[1:] {
			_ = v.process.Kill()
		}
	}
	pause(18 * time.Second)
	close(done)
	pause(4 * time.Second)
	return c.report(f.vms[0])
}

// kept is an open connection of a client.
type kept struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

// try is a new connection to a VM. taken is true if the VM sent any answer on it.
type try struct {
	to    *vm
	at    time.Time
	taken bool
}

// crowd is all clients, and the platform's choice of a VM for their connections.
type crowd struct {
	fleet    *fleet
	rotation []*vm
	idle     map[*vm][]*kept
	tries    []try
	// ready holds when each VM was found ready.
	ready map[*vm][]time.Time
	next  atomic.Int64
	// served, refused and failed count the requests.
	served, refused, failed, open atomic.Int64
	pollers                       map[*vm]*http.Client
	misses                        map[*vm]int
}

// poll asks each VM once whether it is ready, over a connection that it keeps. Two misses take a VM out.
func (c *crowd) poll() {
	if c.pollers == nil {
		c.pollers, c.misses, c.ready = make(map[*vm]*http.Client), make(map[*vm]int), make(map[*vm][]time.Time)
		for _, v := range c.fleet.vms {
			c.pollers[v] = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{}}
		}
	}
	for _, v := range c.fleet.vms {
		background(func() {
			res, err := c.pollers[v].Get("http://" + v.ip + ":" + strconv.Itoa(readyPort) + "/api/ready")
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
			ready := err == nil && res.StatusCode == http.StatusOK
			c.fleet.record.add("%s ready %t, open connections of clients %d", v.name, ready, c.open.Load())
			c.fleet.watching.hold(func() { c.note(v, ready) })
		})
	}
}

func (c *crowd) note(v *vm, ready bool) {
	if ready {
		c.misses[v] = 0
		c.ready[v] = append(c.ready[v], time.Now())
	} else {
		c.misses[v]++
	}
	var in []*vm
	for _, v := range c.fleet.vms {
		if c.misses[v] < 2 {
			in = append(in, v)
		}
	}
	if len(in) == 0 {
		in = c.fleet.vms
	}
	c.rotation = in
}

// request sends one request of a client and repeats it as PROTOCOL.md says.
func (c *crowd) request() {
	deadline := time.Now().Add(3 * time.Second)
	for n := range clientRetries + 1 {
		status, after := c.attempt(n > 0, time.Until(deadline))
		switch {
		case status >= 200 && status < 300:
			c.served.Add(1)
			return
		case status == http.StatusServiceUnavailable:
			c.refused.Add(1)
		default:
			c.failed.Add(1)
		}
		left := time.Until(deadline)
		if left < 100*time.Millisecond {
			return
		}
		pause(min(after, left/3))
	}
}

// attempt sends a request on an idle connection, or on a new one, and keeps the connection after an answer.
func (c *crowd) attempt(fresh bool, timeout time.Duration) (status int, after time.Duration) {
	k, v := c.take(fresh)
	n := -1
	if k == nil {
		at := time.Now()
		conn, err := net.DialTimeout("tcp", v.front(), unreadLimit)
		c.fleet.watching.hold(func() {
			c.tries = append(c.tries, try{to: v, at: at})
			n = len(c.tries) - 1
		})
		if err != nil {
			return 0, 0
		}
		c.open.Add(1)
		k = &kept{Conn: conn, reader: bufio.NewReader(conn)}
	}
	id := fmt.Sprintf("%016x", 0x1c41000000000000+c.fleet.lastID.Add(1))
	_ = k.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(k, "GET /lookup/7 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", host, id, timeout.Milliseconds())
	res, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		_ = k.Close()
		c.open.Add(-1)
		c.fleet.record.add("%s to %s, new connection %t: %v", id, v.name, n >= 0, err)
		return 0, 0
	}
	if n >= 0 {
		c.fleet.watching.hold(func() { c.tries[n].taken = true })
	}
	c.fleet.record.add("%s to %s, new connection %t: status %d", id, v.name, n >= 0, res.StatusCode)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if res.Close {
		_ = k.Close()
		c.open.Add(-1)
	} else {
		c.keep(v, k)
	}
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

// take returns an idle connection, or the VM for a new one.
func (c *crowd) take(fresh bool) (k *kept, v *vm) {
	c.fleet.watching.hold(func() {
		v = c.rotation[int(c.next.Add(1))%len(c.rotation)]
		list := c.idle[v]
		for !fresh && len(list) > 0 && k == nil {
			k, list = list[len(list)-1], list[:len(list)-1]
		}
		c.idle[v] = list
	})
	return k, v
}

// keep puts a connection among the idle ones until it has been idle for keepIdle.
func (c *crowd) keep(v *vm, k *kept) {
	_ = k.SetDeadline(time.Time{})
	since := time.Now()
	k.since = since
	c.fleet.watching.hold(func() { c.idle[v] = append(c.idle[v], k) })
	time.AfterFunc(keepIdle, func() {
		c.fleet.watching.hold(func() {
			i := slices.Index(c.idle[v], k)
			if i < 0 || !k.since.Equal(since) {
				return
			}
			c.idle[v] = slices.Delete(c.idle[v], i, i+1)
			_ = k.Close()
			c.open.Add(-1)
		})
	})
}

// report finds the longest time in which a VM that said it was ready took none of the new connections that were tried.
func (c *crowd) report(v *vm) bool {
	var longest time.Duration
	most := 0
	c.fleet.watching.hold(func() {
		var list []try
		for _, t := range c.tries {
			if t.to == v {
				list = append(list, t)
			}
		}
		slices.SortFunc(list, func(a, b try) int { return a.at.Compare(b.at) })
		for i := 0; i < len(list); i++ {
			j := i
			for j < len(list) && !list[j].taken {
				j++
			}
			if j > i+wantedTries {
				span := list[j-1].at.Sub(list[i].at)
				ready := 0
				for _, at := range c.ready[v] {
					if at.After(list[i].at) && at.Before(list[j-1].at) {
						ready++
					}
				}
				if span > longest && ready >= int(span.Seconds())-1 {
					longest, most = span, j-i
				}
			}
			i = j
		}
	})
	c.fleet.record.say("requests: %d served, %d refused, %d failed", c.served.Load(), c.refused.Load(), c.failed.Load())
	c.fleet.record.say("%s said it was ready and took none of %d new connections in %.1f s", v.name, most, longest.Seconds())
	return longest > contactSeconds*time.Second
}
