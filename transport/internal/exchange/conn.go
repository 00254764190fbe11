package exchange

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// conn counts the writes that were started, so that a failed exchange can tell whether any byte may have been sent.
type conn struct {
	net.Conn
	startedWrites atomic.Uint64
	// aborted makes further writes fail.
	aborted atomic.Bool
}

// Write increments the count before it reads aborted, and abort sets aborted before it reads the count. A write that is
// missing from the count that abort returns therefore fails here.
func (c *conn) Write(b []byte) (int, error) {
	c.startedWrites.Add(1)
	if c.aborted.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// abort makes further writes fail, closes the connection and returns the number of writes started before.
func (c *conn) abort() uint64 {
	c.aborted.Store(true)
	n := c.startedWrites.Load()
	_ = c.Close()
	return n
}

// countingDialer returns a DialContext function whose connections count their writes.
func countingDialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// writeTracker records which connection an exchange uses and whether the exchange wrote to it. writesBefore is the
// write count of the connection before the exchange.
type writeTracker struct {
	conn         *conn
	writesBefore uint64
	written      bool
}

// gotConn is called before the first write. net/http calls it again when a reused connection broke and it retries the
// request on another one. If bytes were written on the first, the second is aborted, so that the retry fails before
// anything is written.
func (p *writeTracker) gotConn(c net.Conn) {
	p.abortConn()
	p.conn, _ = c.(*conn)
	if p.conn == nil {
		return
	}
	p.writesBefore = p.conn.startedWrites.Load()
	if p.written {
		p.conn.abort()
	}
}

// abortConn aborts the connection and reports whether any byte of the exchange may have been written.
func (p *writeTracker) abortConn() bool {
	if p.conn != nil && p.conn.abort() > p.writesBefore {
		p.written = true
	}
	return p.written
}
