package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// Progress deadlines. A connection is silent when its request in flight has passed the deadline without an answer.
const (
	// progressFactor times the recent average is how long an attempt may be without progress. An exponentially
	// distributed service time exceeds 16 times its mean once in 9 million requests.
	progressFactor = 16
	// progressMin is the least time for idempotent requests. Otherwise a lost packet and its retransmission would close
	// the connection when the average is short.
	progressMin = 250 * time.Millisecond
	// progressDefault is the least time before the first answer and for non-idempotent requests.
	progressDefault = 2 * time.Second
)

// progressDeadline returns how long an attempt may be without an answer before its connection counts as silent.
// Closing the connection of a non-idempotent request loses its answer, so these get at least progressDefault.
func (t *target) progressDeadline(r *request) time.Duration {
	l := &t.byClass[r.Class]
	if l.samples == 0 || !r.Idempotent {
		return max(progressFactor*l.mean(), progressDefault)
	}
	return max(progressFactor*l.mean(), progressMin)
}

// mayBeBroken reports whether an open connection must not be reused, because it was opened before another one went
// silent.
func (t *target) mayBeBroken(conn *connection) bool {
	return t.silent > 0 && conn.openedAt <= t.silentSince
}

// progressOverdue marks the connection of request i as silent. An idempotent request is sent again on a new one. Any
// other waits until a new connection has answered, or for its deadline.
func (c *Core) progressOverdue(i int32) {
	r := c.requests.at(i)
	t := c.targets[r.target]
	conn := &t.connections[r.connection]
	if conn.silent {
		return
	}
	conn.silent = true
	t.silent++
	t.silentSince = c.now
	c.countIfUnresponsive(t, r)
	if r.Idempotent && t.budget.tokens >= 1 {
		c.closeConnection(r, conn)
	}
}

// countIfUnresponsive counts a failure of a target that has answered nothing since request r was sent. The target may be
// frozen, and without a backoff one queued request after another would be sent to it and time out.
func (c *Core) countIfUnresponsive(t *target, r *request) {
	if t.lastAnswer <= r.sentAt && c.now.Sub(r.sentAt) >= progressMin {
		t.backoff.fail(c.now, c.random)
	}
}

// closeSilent closes the silent connections whose requests were sent before openedAt, when a connection was opened that
// has now answered. It also closes the idle connections that were opened before the last one went silent.
func (c *Core) closeSilent(t *target, openedAt types.Instant) {
	if t.silent == 0 {
		return
	}
	c.closeIdle(t, t.silentSince)
	for n := range t.connections {
		conn := &t.connections[n]
		if conn.silent && c.requests.at(conn.request).sentAt <= openedAt {
			c.closeConnection(c.requests.at(conn.request), conn)
		}
	}
}

// closeIdle closes the connections without a request in flight that were opened at the given instant or earlier.
func (c *Core) closeIdle(t *target, opened types.Instant) {
	for n := range t.connections {
		conn := &t.connections[n]
		if conn.request == none && conn.open && conn.openedAt <= opened {
			conn.open = false
			c.emit(Action{Kind: ActionCloseConnection, Target: t.id, Connection: n})
		}
	}
}

// closeConnection ends the attempt on a silent connection. Its result still follows.
func (c *Core) closeConnection(r *request, conn *connection) {
	if conn.closing {
		return
	}
	conn.closing = true
	c.cancelSend(r)
	c.logDecision(r, failure{reason: ReasonSilentConnection}, types.OutcomeUnknown)
}
