package target

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/standin/httpserve"
)

// relistenInterval is the time between attempts to reopen the listener after an outage.
const relistenInterval = 20 * time.Millisecond

// listenPeriod is the time between two outages. The end of its context closes the listener and all its connections.
type listenPeriod struct {
	ctx      context.Context
	end      context.CancelFunc
	listener net.Listener
	// down is the length of the outage after the period. It is set before end is called.
	down atomic.Int64 // nanoseconds
}

// crashListener is a listener that can be taken down for some time, with all its connections, as the crash of a
// process does. It closes connections above a limit at once.
type crashListener struct {
	address     string
	limit       int64
	connections atomic.Int64
	ctx         context.Context
	close       context.CancelFunc
	current     atomic.Pointer[listenPeriod]
}

func newCrashListener(ctx context.Context, address string, limit int) (*crashListener, error) {
	cl := &crashListener{limit: int64(limit)}
	cl.ctx, cl.close = context.WithCancel(context.WithoutCancel(ctx))
	p, err := cl.listen(address)
	if err != nil {
		cl.close()
		return nil, err
	}
	cl.address = p.listener.Addr().String()
	return cl, nil
}

func (cl *crashListener) listen(address string) (*listenPeriod, error) {
	l, err := httpserve.Listen(cl.ctx, address)
	if err != nil {
		return nil, err
	}
	p := &listenPeriod{listener: l}
	p.ctx, p.end = context.WithCancel(context.Background())
	context.AfterFunc(p.ctx, func() { _ = l.Close() })
	cl.current.Store(p)
	return p, nil
}

// TakeDown closes the listener and all connections, and reopens the listener after the time down.
func (cl *crashListener) TakeDown(down time.Duration) {
	p := cl.current.Load()
	p.down.Store(int64(down))
	p.end()
}

// Accept implements net.Listener. It blocks during an outage.
func (cl *crashListener) Accept() (net.Conn, error) {
	for {
		p := cl.current.Load()
		c, err := p.listener.Accept()
		switch {
		case err == nil && cl.connections.Add(1) <= cl.limit:
			return cl.track(p, c), nil
		case err == nil:
			cl.connections.Add(-1)
			_ = c.Close()
		case p.ctx.Err() == nil:
			return nil, err
		case !cl.reopen(time.Duration(p.down.Load())):
			return nil, net.ErrClosed
		}
	}
}

// reopen waits for the end of the outage and listens again. It returns false if the listener is closed meanwhile.
func (cl *crashListener) reopen(down time.Duration) bool {
	for duty.Pause(cl.ctx, down) {
		if _, err := cl.listen(cl.address); err == nil {
			return true
		}
		down = relistenInterval
	}
	return false
}

// Close implements net.Listener. Open connections stay open.
func (cl *crashListener) Close() error {
	cl.close()
	return cl.current.Load().listener.Close()
}

// Addr implements net.Listener.
func (cl *crashListener) Addr() net.Addr { return cl.current.Load().listener.Addr() }

// trackedConn counts against the connection limit and is closed at the end of its listen period.
type trackedConn struct {
	net.Conn
	crashListener *crashListener
	detach        func() bool
	closed        atomic.Bool
}

// track returns c as a trackedConn of the period p. Accept has already counted the connection.
func (cl *crashListener) track(p *listenPeriod, c net.Conn) net.Conn {
	t := &trackedConn{Conn: c, crashListener: cl}
	t.detach = context.AfterFunc(p.ctx, func() { _ = c.Close() })
	return t
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.detach()
	c.crashListener.connections.Add(-1)
	return c.Conn.Close()
}
