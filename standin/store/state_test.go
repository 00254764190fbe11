package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// clockedState is a store whose clock is set by the test.
type clockedState struct {
	*state
	now time.Time
}

func (c *clockedState) ask(m message) answer {
	m.reply = make(chan answer, 1)
	c.Step(c.now, m)
	select {
	case a := <-m.reply:
		return a
	default:
		return failed(types.CodeTimeout, "no answer yet")
	}
}

// Guards against a lease that ends too early or too late, also after a renewal.
func TestLeaseExpiresAfterTTL(t *testing.T) {
	is := is.New(t)
	c := &clockedState{state: newState(8), now: time.Unix(0, 0)}
	id := c.ask(message{kind: kindLeaseGrant, ttl: time.Second}).lease
	c.ask(message{kind: kindCAS, write: store.Write{Key: "a", Lease: id}})
	c.now = c.now.Add(time.Second - 1)
	is.Equal(c.ask(message{kind: kindLeaseKeepAlive, lease: id}).fault, nil)
	c.now = c.now.Add(time.Second - 1)
	is.Equal(c.ask(message{kind: kindGet, key: "a"}).fault, nil)
	at, waits := c.Next()
	is.True(waits)
	is.Equal(at, c.now.Add(1))
	c.now = at
	is.Equal(c.ask(message{kind: kindGet, key: "a"}).fault.Code, types.CodeNotFound)
	is.Equal(c.ask(message{kind: kindLeaseKeepAlive, lease: id}).fault.Code, types.CodeNotFound)
}

// Guards against a watch that ends before store.MaxWatchWait, waits longer, or ends with a fault.
func TestWatchEndsWithoutEvents(t *testing.T) {
	is := is.New(t)
	c := &clockedState{state: newState(8), now: time.Unix(0, 0)}
	m := message{kind: kindWatch, wait: time.Hour, reply: make(chan answer, 1)}
	c.Step(c.now, m)
	c.Tick(c.now.Add(store.MaxWatchWait - 1))
	is.Equal(len(m.reply), 0)
	c.Tick(c.now.Add(store.MaxWatchWait))
	a := <-m.reply
	is.Equal(a.fault, nil)
	is.Equal(len(a.events), 0)
}
