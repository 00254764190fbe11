package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// Guards against sending a request to a target when it may outlive a planned stop, and against refusing one that ends in time.
func TestStoppingRefusesRequestsThatMayOutliveTheStop(t *testing.T) {
	is := is.New(t)
	c := newTestCore("v", listing("orders", "o-1", "a"))
	c.step(Stopping{AcceptUntil: c.now.Add(time.Second), End: c.now.Add(3 * time.Second)})
	_, early := c.arrive(orders, 1) // its deadline is 1.2 s away
	is.Equal(len(find[Send](early)), 1)
	c.now = c.now.Add(1700 * time.Millisecond)
	_, inTime := c.arrive(orders, 1)
	is.Equal(len(find[Send](inTime)), 1)
	c.now = c.now.Add(200 * time.Millisecond)
	_, late := c.arrive(orders, 1)
	is.Equal(len(find[Send](late)), 0)
	is.Equal(find[Refuse](late)[0].Code, types.CodeShuttingDown)
	is.Equal(find[Refuse](late)[0].RetryAfter, time.Duration(0))
}

// Guards against a request that was sent before a planned stop, or early in it, and has no answer when the process ends.
func TestRequestsInFlightAreAnsweredByTheEndOfTheStop(t *testing.T) {
	is := is.New(t)
	c := newTestCore("v", listing("orders", "o-1", "a"))
	before, _ := c.arrive(orders, 1)
	c.step(Stopping{AcceptUntil: c.now.Add(300 * time.Millisecond), End: c.now.Add(900 * time.Millisecond)})
	during, sent := c.arrive(orders, 1)
	is.Equal(len(find[Send](sent)), 1)
	failed := find[Fail](c.advance(900 * time.Millisecond))
	is.Equal(len(failed), 2)
	is.Equal(failed[0].ID+failed[1].ID, before+during)
}

// Guards against a request that waits until the end of a planned stop although it can't be sent any more, and against its retry.
func TestStoppingRefusesWaitingRequestsThatMayOutliveTheStop(t *testing.T) {
	is := is.New(t)
	c := newTestCore("v", listing("orders", "o-1", "a"))
	for range 4 {
		c.arrive(orders, 1)
	}
	waiting := len(c.services["orders"].waiting)
	is.True(waiting > 0)
	c.step(Stopping{AcceptUntil: c.now.Add(100 * time.Millisecond), End: c.now.Add(900 * time.Millisecond)})
	refused := find[Refuse](c.advance(200 * time.Millisecond))
	is.Equal(len(refused), waiting)
	is.Equal(refused[0].Code, types.CodeShuttingDown)
	notRun := c.step(AttemptFinished{ID: 1, Attempt: 1, Result: ResultNotRun})
	is.Equal(len(find[Send](notRun)), 0)
	is.Equal(find[Refuse](notRun)[0].ID, LocalRequestID(1))
}
