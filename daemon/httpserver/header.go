package httpserver

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"sequoiasail.example/types"
)

const (
	// headerByteCost and headerLineCost estimate the memory of a header section while its request is handled, in bytes: each byte
	// is in the parsed header and in the copy that is forwarded, and each line has an entry of a map and a slice in both.
	headerByteCost = 2
	headerLineCost = 400
	// ordinaryHeaderCost is the estimated memory of a header section up to which it is always accepted, in bytes. It has room for 32
	// lines of 56 bytes; ordinary clients send about a dozen lines.
	ordinaryHeaderCost = 16 << 10
	// minHeaderAge is how long the header section of a connection must have been incomplete before the connection may be closed
	// to make room for others. Ordinary header sections arrive in one piece or shortly after their first byte. With 250 ms, 50
	// connections did not suffice to answer a new caller beside 800 others within 3 s.
	minHeaderAge = 100 * time.Millisecond
	// headerRetryAfter is the Retry-After, in seconds, of a request whose header section finds no memory. Unfinished header
	// sections make room after minHeaderAge, complete ones with the end of their requests.
	headerRetryAfter = 1
)

// evicted is the value of connection.headerSince once the connection has been closed to make room.
const evicted = -1

// Faults of requests for whose header sections there is no memory.
var (
	errEvicted        = types.NewFault(types.CodeOverloaded, "connection closed to make room for others")
	errNoHeaderMemory = types.NewFault(types.CodeOverloaded, "no memory left beside the header sections of other requests")
)

// pass returns what becomes of the bytes in data, which come next on the connection. It fails if the request is refused or the
// connection was closed to make room. ahead is true if the request before is still being handled.
func (c *connection) pass(data []byte, ahead bool) (piece, error) {
	p, err := c.stream.next(data, c.server.limits().headerBytes())
	if err == nil && c.stream.part == framingHeader && !ahead && c.stream.started {
		err = c.holdHeader(p.headerEnds)
	}
	if p.headerEnds {
		c.stream.beginHeader()
	}
	switch err {
	case nil:
		return p, nil
	case errHeaderTooLarge:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case errEmptyLines:
		c.refuse(http.StatusBadRequest)
	case errNoHeaderMemory:
		c.refuse(http.StatusServiceUnavailable)
	case errEvicted:
		c.refused = true
	}
	return piece{}, c.failRead(err)
}

// failRead makes this read and all further ones fail. net/http answers nothing after an error of a read, and may read again.
func (c *connection) failRead(err error) error {
	c.failed = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	return c.failed
}

// refuse answers a request that net/http does not get to see, so it does not run.
func (c *connection) refuse(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		c.server.headersWithoutMemory.Add(1)
		retry = fmt.Sprintf("Retry-After: %d\r\n", headerRetryAfter)
	} else {
		c.server.headersRefused.Add(1)
	}
	c.releaseHeader()
	// An error means that the caller has gone.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	c.refused = true
}

// holdHeader counts the header section against the budget of all, and notes whether it is still incomplete. It is not called while
// a request is being handled: its connection must not be closed to make room.
func (c *connection) holdHeader(complete bool) error {
	if added := c.stream.cost() - c.headerHeld.Load(); added > 0 {
		if err := c.takeHeader(added); err != nil {
			return err
		}
		c.headerHeld.Add(added)
		if c.closed.Load() {
			c.releaseHeader()
		}
	}
	since := c.headerSince.Load()
	switch {
	case since == evicted:
		return errEvicted
	case complete && since != 0:
		if !c.headerSince.CompareAndSwap(since, 0) {
			return errEvicted
		}
	case !complete && since == 0:
		c.beginHeaderTime()
	}
	return nil
}

// takeHeader takes bytes of the budget of all for the header section. An ordinary section always gets them, so that only others are
// refused when memory is short: unfinished sections first, those with the highest cost before the others, and then this one. A
// section that doesn't fit into the whole budget is over the limit.
func (c *connection) takeHeader(bytes int64) error {
	budget, cost := c.server.Headers, c.headerHeld.Load()+bytes
	switch {
	case budget == nil:
		return nil
	case cost <= ordinaryHeaderCost:
		budget.Overdraw(bytes)
		if short := -budget.Left(); short > 0 {
			c.server.connections.evictHeaders(short, c)
		}
		return nil
	case cost > budget.Size():
		return errHeaderTooLarge
	}
	for !budget.Take(bytes) {
		if !c.server.connections.evictHeaders(bytes-budget.Left(), c) {
			return errNoHeaderMemory
		}
	}
	return nil
}

// beginHeaderTime starts the time within which the header section must be complete.
func (c *connection) beginHeaderTime() {
	now := time.Now()
	c.headerSince.Store(now.UnixNano())
	if d := c.server.limits().HeaderTime; d > 0 && c.server.Current != nil {
		_ = c.Conn.SetReadDeadline(now.Add(d))
	}
}

// releaseHeader gives back what the header section of the last request took from the budget.
func (c *connection) releaseHeader() {
	c.server.Headers.GiveBack(c.headerHeld.Swap(0))
}

// evict closes the connection if its header section has been incomplete since the given time.
func (c *connection) evict(since int64) bool {
	if !c.headerSince.CompareAndSwap(since, evicted) {
		return false
	}
	c.server.evictions.Add(1)
	// The goroutine that serves the connection may close it at the same time. Who asks for room must find it all the same.
	c.releaseHeader()
	c.reset()
	return true
}

// reset closes the connection and discards what the caller has not received.
func (c *connection) reset() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// evictHeaders closes connections with incomplete header sections until the given number of bytes has come back, those with the
// highest cost first, except for one that asks for room. It reports whether any bytes may have come back.
func (s *connections) evictHeaders(bytes int64, except *connection) (freed bool) {
	if bytes <= 0 {
		return true
	}
	type candidate struct {
		c           *connection
		held, since int64
	}
	var list []candidate
	oldEnough := time.Now().Add(-minHeaderAge).UnixNano()
	s.open.Range(func(k, _ any) bool {
		c := k.(*connection)
		if since := c.headerSince.Load(); since > 0 && since < oldEnough && c != except {
			list = append(list, candidate{c, c.headerHeld.Load(), since})
		}
		return true
	})
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.held, a.held), cmp.Compare(a.since, b.since))
	})
	for _, l := range list {
		if bytes <= 0 {
			break
		}
		if l.c.evict(l.since) {
			bytes, freed = bytes-l.held, true
		}
	}
	return freed
}

// headerBytes is the effective limit of a header section.
func (l Limits) headerBytes() int { return cmp.Or(l.HeaderBytes, http.DefaultMaxHeaderBytes) }
