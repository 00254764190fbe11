package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// connectionState is how far the request on a connection has come.
type connectionState = uint32

const (
	// awaitingRequest: no byte of a request has been read since the last answer.
	awaitingRequest connectionState = iota
	// requestRead: a byte of a request has been read, and none of its answer has been written.
	requestRead
	// answering: a byte of the answer has been written.
	answering
)

// connection is an accepted connection that tracks whether it owes its caller an answer.
type connection struct {
	net.Conn
	server *Server
	state  atomic.Uint32
	// callerClosed is true once reading has shown that the caller closed the connection.
	callerClosed atomic.Bool
	closed       atomic.Bool
}

// Read reads from the connection.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.state.CompareAndSwap(awaitingRequest, requestRead)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.callerClosed.Store(true)
	}
	return n, err
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.state.CompareAndSwap(requestRead, answering)
	}
	return n, err
}

// ReadFrom keeps net/http from writing to the embedded connection directly, which would not be tracked.
func (c *connection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close closes the connection and reports it when a request that was read has no answer.
func (c *connection) Close() error {
	err := c.Conn.Close()
	if c.closed.Swap(true) {
		return err
	}
	c.server.connections.remove(c)
	if c.state.Load() == requestRead && !c.callerClosed.Load() {
		c.server.unanswered.Add(1)
		if c.server.Unanswered != nil {
			c.server.Unanswered(c.RemoteAddr().String())
		}
	}
	return err
}

// connections is the set of the open connections of a Server.
type connections struct {
	open  sync.Map
	count atomic.Int64
}

func (s *connections) add(c *connection) {
	s.open.Store(c, struct{}{})
	s.count.Add(1)
}

func (s *connections) remove(c *connection) {
	s.open.Delete(c)
	s.count.Add(-1)
}

// trackingListener adds the connections that it accepts to those of its server.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: inner, server: l.server}
	l.server.connections.add(c)
	return c, nil
}
