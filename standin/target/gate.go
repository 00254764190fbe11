package target

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/standin/httpserve"
)

// relistenPause separates attempts to open the listener again after an outage.
const relistenPause = 20 * time.Millisecond

// period is the time between two outages. Its context ends with it.
type period struct {
	ctx      context.Context
	end      context.CancelFunc
	listener net.Listener
	// down is set before end.
	down atomic.Int64 // nanoseconds
}

// gate is a listener that can go away for some time, with all its connections, as a crashed process does. It also
// closes connections above a limit at once.
type gate struct {
	address string
	limit   int64
	open    atomic.Int64
	ctx     context.Context
	close   context.CancelFunc
	current atomic.Pointer[period]
}

func newGate(ctx context.Context, address string, limit int) (*gate, error) {
	g := &gate{limit: int64(limit)}
	g.ctx, g.close = context.WithCancel(context.WithoutCancel(ctx))
	p, err := g.listen(address)
	if err != nil {
		g.close()
		return nil, err
	}
	g.address = p.listener.Addr().String()
	return g, nil
}

func (g *gate) listen(address string) (*period, error) {
	l, err := httpserve.Listen(g.ctx, address)
	if err != nil {
		return nil, err
	}
	p := &period{listener: l}
	p.ctx, p.end = context.WithCancel(context.Background())
	context.AfterFunc(p.ctx, func() { _ = l.Close() })
	g.current.Store(p)
	return p, nil
}

// Fail closes the listener and all connections for the time down.
func (g *gate) Fail(down time.Duration) {
	p := g.current.Load()
	p.down.Store(int64(down))
	p.end()
}

// Accept implements net.Listener. It waits while the gate is down.
func (g *gate) Accept() (net.Conn, error) {
	for {
		p := g.current.Load()
		c, err := p.listener.Accept()
		switch {
		case err == nil && g.open.Add(1) <= g.limit:
			return g.track(p, c), nil
		case err == nil:
			g.open.Add(-1)
			_ = c.Close()
		case p.ctx.Err() == nil:
			return nil, err
		case !g.reopen(time.Duration(p.down.Load())):
			return nil, net.ErrClosed
		}
	}
}

// reopen waits for the outage to pass and listens again. It returns false when the gate is closed.
func (g *gate) reopen(down time.Duration) bool {
	for duty.Pause(g.ctx, down) {
		if _, err := g.listen(g.address); err == nil {
			return true
		}
		down = relistenPause
	}
	return false
}

// Close implements net.Listener. Open connections stay open.
func (g *gate) Close() error {
	g.close()
	return g.current.Load().listener.Close()
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr { return g.current.Load().listener.Addr() }

// gateConn closes with its period.
type gateConn struct {
	net.Conn
	gate   *gate
	forget func() bool
	closed atomic.Bool
}

func (g *gate) track(p *period, c net.Conn) net.Conn {
	t := &gateConn{Conn: c, gate: g}
	t.forget = context.AfterFunc(p.ctx, func() { _ = c.Close() })
	return t
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.forget()
	c.gate.open.Add(-1)
	return c.Conn.Close()
}
