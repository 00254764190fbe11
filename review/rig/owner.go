package main

import (
	"fmt"
	"strings"
	"time"
)

// The store's trouble in the owner case, counted from the write that it leaves unanswered.
const (
	// slowFactor is how many times as long as usual the store's answers take.
	slowFactor = 60
	// lateAfter is when the unanswered write is carried out.
	lateAfter = 2 * time.Second
	// busyFrom and busyUntil bound the time in which the store turns calls away.
	busyFrom  = 1180 * time.Millisecond
	busyUntil = 2500 * time.Millisecond
	// slowUntil is the end of the trouble.
	slowUntil = 4 * time.Second
	// rounds is how often the trouble may come.
	rounds = 3
	// sharedLimit is how long two upstreams may hold the same keys.
	sharedLimit = 500 * time.Millisecond
)

// ownerCase adds an upstream to a keyed service, so that keys move to it. The store, which is slow, leaves the write of the move
// unanswered, turns calls away for a moment, and carries the write out late.
func ownerCase(f *fleet, trouble bool) bool {
	f.addVMs(zones)
	const work = 160 * time.Millisecond
	for i := range 6 {
		f.start(fmt.Sprintf("i-map%d", i), "mapa", zones[i%3], f.upstreamAddress(i), true, work, "")
	}
	f.store.put("op/config", configuration("00000007",
		[]any{route("lookup", "/lookup/", "idempotent", "mapa", 1.5, 0.5, 2, 2)}, []any{service("mapa", true)}))
	f.awaitReady()
	w := &ownerWatch{fleet: f, since: make([]time.Time, keys)}
	every(50*time.Millisecond, f.done, func() { f.watching.hold(w.look) })
	stop := f.traffic(125, 4)
	for round := range rounds {
		pause(4 * time.Second)
		added := f.start(fmt.Sprintf("i-map%d", 6+round), "mapa", zones[round%3], f.upstreamAddress(6+round), true, work, "")
		f.record.say("the operator adds upstream %s", added.id)
		if trouble {
			f.ownerTrouble()
		}
		pause(12 * time.Second)
		seen := false
		f.watching.hold(func() { seen = len(w.shared) > 0 })
		if seen {
			break
		}
	}
	stop()
	return w.report()
}

// ownerTrouble makes the store slow. The answer to one write is lost: the next one after an upstream has released all keys of a
// grant.
func (f *fleet) ownerTrouble() {
	lost := false
	f.store.guard.hold(func() {
		f.store.slow = slowFactor
		f.store.loseNext = func(vm string, t transaction) time.Duration {
			if lost || !t.touches("sail-keys/") || !f.wholeReleased.Swap(false) {
				return 0
			}
			lost = true
			f.record.say("store: leaves a write of %s unanswered", vm)
			f.store.later(busyFrom, func() { f.store.busy = true })
			f.store.later(busyUntil, func() { f.store.busy = false })
			f.store.later(slowUntil, func() { f.store.slow = 1 })
			return lateAfter
		}
	})
	f.record.say("store: answers take %d ms", slowFactor*answerTime.Milliseconds())
}

// later changes the state of the store after d.
func (s *store) later(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		s.guard.hold(func() {
			change()
			s.record.say("store: busy %t, answers take %.0f ms", s.busy, s.slow*float64(answerTime.Milliseconds()))
			s.announce()
		})
	})
}

func (f *fleet) upstreamAddress(i int) string { return fmt.Sprintf("%s%d:8080", f.subnet, 10+i) }

// traffic sends lookups at a rate with keys spread evenly, over all VMs, until the returned function is called.
func (f *fleet) traffic(perSecond, spread int) (stop func()) {
	done := make(chan struct{})
	n := 0
	every(time.Second/time.Duration(perSecond), done, func() {
		n++
		v, key := f.vms[n%len(f.vms)], (n*7919*spread)%keys
		background(func() { f.send(v, "GET", fmt.Sprintf("/lookup/%d", key), "", key, 3*time.Second) })
	})
	return func() { close(done) }
}

// ownerWatch looks for keys that two upstreams hold at the same time.
type ownerWatch struct {
	fleet *fleet
	// since is when each key was first seen with two holders; zero while it has one at most.
	since []time.Time
	// longest is the longest time for which two upstreams held a key.
	longest time.Duration
	key     int
	shared  map[int]bool
	holders string
	told    bool
}

// look compares what the upstreams hold now.
func (w *ownerWatch) look() {
	var lives []*life
	w.fleet.guard.hold(func() { lives = append(lives, w.fleet.lives...) })
	now := time.Now()
	count := make([]uint8, keys)
	for _, u := range lives {
		u.guard.hold(func() {
			for k := range u.holds {
				if u.up && u.holdsKey(k, now) {
					count[k]++
				}
			}
		})
	}
	if w.shared == nil {
		w.shared = make(map[int]bool)
	}
	for k, n := range count {
		switch {
		case n < 2:
			w.since[k] = time.Time{}
		case w.since[k].IsZero():
			w.since[k] = now
		default:
			if d := now.Sub(w.since[k]); d > sharedLimit {
				w.shared[k] = true
				if d > w.longest {
					w.longest, w.key = d, k
				}
			}
		}
	}
	if len(w.shared) > 0 && !w.told {
		w.told = true
		w.holders = holdersOf(lives, w.key, now)
		w.fleet.record.say("key %d is held by %s for over %s", w.key, w.holders, sharedLimit)
	}
}

func holdersOf(lives []*life, key int, now time.Time) string {
	var list []string
	for _, u := range lives {
		u.guard.hold(func() {
			if u.up && u.holdsKey(key, now) {
				list = append(list, fmt.Sprintf("%s (fence %d, for %.1f s more)", u.id, u.holds[key].fence, u.holds[key].until.Sub(now).Seconds()))
			}
		})
	}
	return strings.Join(list, " and ")
}

func (w *ownerWatch) report() bool {
	w.fleet.record.say("%d keys were held by two upstreams for over %s, the longest for %.1f s", len(w.shared), sharedLimit, w.longest.Seconds())
	return len(w.shared) > 0
}
