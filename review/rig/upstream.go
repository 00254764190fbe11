package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	keys = 1 << 16
	// beat is the time between two beats. An entry lapses after three.
	beat = 870 * time.Millisecond
	// queueLimit is how many requests wait for a slot.
	queueLimit = 16
)

// hold is what an upstream knows of one key.
type hold struct {
	fence uint64
	until time.Time
}

// life is one incarnation of an upstream.
type life struct {
	id, service, zone, address string
	born                       int64
	keyed                      bool
	work                       time.Duration
	crashPath                  string
	fleet                      *fleet
	server                     *http.Server
	slots                      chan struct{}
	waiting                    atomic.Int64
	// guard protects holds, running and up.
	guard   guard
	holds   []hold
	running map[int]int
	// granted holds the ranges of the calls by which the upstream holds its keys.
	granted map[[2]int]bool
	up      bool
	down    chan struct{}
	// beats counts the writes of the entry.
	beats int
}

// slotCount is the number of slots of an upstream.
const slotCount = 4

// start opens the upstream and registers it.
func (f *fleet) start(id, service, zone, address string, keyed bool, work time.Duration, crashPath string) *life {
	u := &life{
		id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), keyed: keyed, work: work, crashPath: crashPath,
		fleet: f, slots: make(chan struct{}, slotCount), guard: newGuard(), holds: make([]hold, keys), running: map[int]int{}, granted: map[[2]int]bool{}, up: true,
		down: make(chan struct{}),
	}
	h := http.NewServeMux()
	h.HandleFunc("POST /api/grant", u.grant)
	h.HandleFunc("POST /api/release", u.release)
	h.HandleFunc("GET /health", u.health)
	h.HandleFunc("/", u.run)
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rid := r.Header.Get("X-Request-Id"); rid != "" {
			w.Header().Set("X-Request-Id", rid)
		}
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != u.id {
			w.Header().Set("X-Instance-Id", u.id)
			u.reject(w, http.StatusMisdirectedRequest)
			return
		}
		h.ServeHTTP(w, r)
	})}
	l := listen(address)
	background(func() { _ = u.server.Serve(l) })
	u.register("ready")
	f.guard.hold(func() { f.lives = append(f.lives, u) })
	f.record.add("upstream %s of %s starts at %s in %s", id, service, address, zone)
	return u
}

func (u *life) register(state string) { u.registerCold(state, 0) }

// registerCold writes the entry of the upstream. cold is how long it stays cold.
func (u *life) registerCold(state string, cold time.Duration) {
	u.beats++
	u.fleet.store.put("servers/"+u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": slotCount, "state": state,
		"warmup_left_s": cold.Seconds(), "seq_no": u.beats, "born": u.born,
	})
}

// crash ends the upstream without notice. Its entry lapses after three beats.
func (u *life) crash() {
	first := false
	u.guard.hold(func() {
		if u.up {
			first, u.up = true, false
			close(u.down)
		}
	})
	if !first {
		return
	}
	_ = u.server.Close()
	time.AfterFunc(3*beat, func() { u.fleet.store.drop("servers/" + u.id) })
}

func (u *life) load() string {
	running := len(u.slots)
	return fmt.Sprintf("%d,%d,%d,100", running, u.waiting.Load(), slotCount)
}

func (u *life) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Server-Load", u.load())
	w.WriteHeader(status)
}

func (u *life) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", u.id)
	w.Header().Set("X-Server-Load", u.load())
}

type order struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold_s"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.To < o.From || o.To >= keys {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// grant takes keys for a time that counts from the arrival of the call.
func (u *life) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	until := arrived.Add(time.Duration(o.Hold * float64(time.Second)))
	refused, first := false, false
	u.guard.hold(func() {
		for k := o.From; k <= o.To; k++ {
			refused = refused || u.holds[k].fence > o.Fence
		}
		for k := o.From; k <= o.To && !refused; k++ {
			first = first || u.holds[k].fence != o.Fence || !arrived.Before(u.holds[k].until)
			u.holds[k] = hold{fence: o.Fence, until: until}
		}
		u.granted[[2]int{o.From, o.To}] = u.granted[[2]int{o.From, o.To}] || !refused
	})
	switch {
	case refused:
		u.fleet.record.add("%s refuses a grant of keys %d-%d, fence %d", u.id, o.From, o.To, o.Fence)
		w.WriteHeader(http.StatusConflict)
	case first:
		u.fleet.record.add("%s is granted keys %d-%d, fence %d, for %.1f s", u.id, o.From, o.To, o.Fence, o.Hold)
	}
}

// release stops new work on keys at once and answers when the work that runs on them has ended.
func (u *life) release(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	whole := false
	u.guard.hold(func() {
		whole = u.granted[[2]int{o.From, o.To}]
		for k := o.From; k <= o.To; k++ {
			u.holds[k].until = time.Time{}
		}
	})
	u.fleet.record.add("%s releases keys %d-%d, fence %d", u.id, o.From, o.To, o.Fence)
	for busy := true; busy; {
		busy = false
		u.guard.hold(func() {
			for k := range u.running {
				busy = busy || (o.From <= k && k <= o.To)
			}
		})
		if busy {
			pause(2 * time.Millisecond)
		}
	}
	w.Header().Set("X-Handover", fmt.Sprintf("%016x", o.Fence))
	if whole {
		u.fleet.wholeReleased.Store(true)
	}
}

func (u *life) holdsKey(k int, now time.Time) bool { return now.Before(u.holds[k].until) }

// run queues a request, runs it in a slot and answers it.
func (u *life) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rid := r.Header.Get("X-Request-Id")
	arrived := time.Now()
	u.fleet.arrived(u, rid, r, arrived)
	deadline := arrived.Add(30 * time.Second)
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	key, _ := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if !u.mayRun(key) {
		u.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if u.waiting.Add(1) > queueLimit {
		u.waiting.Add(-1)
		u.reject(w, http.StatusServiceUnavailable)
		return
	}
	expired := time.NewTimer(time.Until(deadline))
	defer expired.Stop()
	select {
	case u.slots <- struct{}{}:
		u.waiting.Add(-1)
	case <-expired.C:
		u.waiting.Add(-1)
		u.reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		u.waiting.Add(-1)
		panic(http.ErrAbortHandler)
	case <-u.down:
		panic(http.ErrAbortHandler)
	}
	defer func() { <-u.slots }()
	if !u.mayRun(key) {
		u.reject(w, http.StatusMisdirectedRequest)
		return
	}
	u.guard.hold(func() { u.running[key]++ })
	defer u.guard.hold(func() {
		if u.running[key]--; u.running[key] == 0 {
			delete(u.running, key)
		}
	})
	u.fleet.ran(u, rid, r, key)
	if u.crashPath != "" && r.URL.Path == u.crashPath {
		u.crash()
		u.fleet.crashed(u, rid)
		panic(http.ErrAbortHandler)
	}
	work := time.NewTimer(u.work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-expired.C:
		u.answer(w, http.StatusGatewayTimeout, rid, len(body))
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-u.down:
		panic(http.ErrAbortHandler)
	}
	u.answer(w, http.StatusOK, rid, len(body))
}

// mayRun reports whether the upstream holds the key of a request.
func (u *life) mayRun(key int) (ok bool) {
	if !u.keyed {
		return true
	}
	u.guard.hold(func() { ok = u.holdsKey(key, time.Now()) })
	return ok
}

func (u *life) answer(w http.ResponseWriter, status int, rid string, size int) {
	text := fmt.Sprintf("%s ran %s of %d bytes\n", u.id, rid, size)
	w.Header().Set("X-Response-Signature", u.id+"."+rid)
	w.Header().Set("X-Server-Load", u.load())
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
