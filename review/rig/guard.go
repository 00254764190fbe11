package main

import "time"

// guard lets one goroutine at a time use what it protects.
type guard chan struct{}

func newGuard() guard {
	g := make(guard, 1)
	g <- struct{}{}
	return g
}

// hold runs f while no other goroutine holds the guard.
func (g guard) hold(f func()) {
	<-g
	defer func() { g <- struct{}{} }()
	f()
}

// background runs f in a goroutine of its own.
func background(f func()) { time.AfterFunc(0, f) }

// pause waits for d.
func pause(d time.Duration) { <-time.After(d) }

// every runs f each d until done is closed.
func every(d time.Duration, done <-chan struct{}, f func()) {
	background(func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f()
			case <-done:
				return
			}
		}
	})
}
