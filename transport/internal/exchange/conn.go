package exchange

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// conn counts the writes that were started, so that a failed exchange can tell whether any byte may have left.
type conn struct {
	net.Conn
	writes atomic.Uint64
	sealed atomic.Bool
}

// Write counts before it looks at sealed, and seal sets sealed before it reads the count. A write that is missing from
// the count of seal therefore fails here.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// seal refuses further writes, closes the connection and returns the number of writes started before.
func (c *conn) seal() uint64 {
	c.sealed.Store(true)
	n := c.writes.Load()
	_ = c.Close()
	return n
}

func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// progress remembers which connection an exchange uses and how many writes it had before.
type progress struct {
	conn    *conn
	before  uint64
	written bool
}

// got is called before the first write. net/http calls it again when it repeats a request by itself on another
// connection, because a reused one broke. If bytes were written on the first, the other connection is sealed, so that
// the repetition fails before it is written.
func (p *progress) got(c net.Conn) {
	p.stop()
	p.conn, _ = c.(*conn)
	if p.conn == nil {
		return
	}
	p.before = p.conn.writes.Load()
	if p.written {
		p.conn.seal()
	}
}

// stop closes the connection and reports whether any byte of the exchange may have been written.
func (p *progress) stop() bool {
	if p.conn != nil && p.conn.seal() > p.before {
		p.written = true
	}
	return p.written
}
