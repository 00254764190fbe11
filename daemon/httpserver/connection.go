package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// States of a connection: how far its current request has come.
const (
	// awaitingRequest: no byte of a request has been read since the last answer.
	awaitingRequest uint32 = iota
	// readingRequest: a read is in progress that may return the first bytes of a request.
	readingRequest
	// waitingForRequest: a read is waiting for the first bytes of a request. A deadline ends the wait.
	waitingForRequest
	// requestRead: a byte of a request has been read, and none of its answer has been written.
	requestRead
	// answering: a byte of the answer has been written.
	answering
	// refusingRequests: no further request is read.
	refusingRequests
)

// expired is a deadline in the past, which ends a pending read.
var expired = time.Unix(1, 0)

// connection is an accepted connection of a Server. During a shutdown it reads no byte of a further request: what arrives then
// stays unread, and the connection is reset when it is closed, which tells the caller that its request has not run.
type connection struct {
	net.Conn
	// raw is nil if the connection is not a socket, for example with TLS.
	raw    syscall.RawConn
	server *Server
	state  atomic.Uint32
	// readAhead is true if the first byte of the next request has been read before the answer to the current one was complete.
	readAhead atomic.Bool
	// waitEnded is closed once the deadline is set that ends a waiting read. It is nil if the connection is a socket.
	waitEnded chan struct{}
	// callerClosed is true once a read has shown that the caller closed the connection.
	callerClosed atomic.Bool
	closed       atomic.Bool
	// handled is true while the handler has the current request. What is written without it is an answer of net/http.
	handled atomic.Bool

	// stream follows the bytes that Read returns. rest holds bytes that were received and not returned yet, because they follow
	// the end of a header section or of a body.
	stream stream
	rest   []byte
	// failed is the error of all further reads once a request was refused. refused is true if the connection has answered that
	// request itself or was closed: nothing more is written then.
	failed  error
	refused bool
	// headerHeld is what the header section of the current request took from the budget of all.
	headerHeld atomic.Int64
	// headerSince is when the current header section has begun, in Unix nanoseconds, if it is incomplete. It is 0 if there is
	// none, and evicted once the connection has been closed to make room.
	headerSince atomic.Int64
	// idleSince is when the connection was accepted or its last answer was complete, in Unix nanoseconds.
	idleSince atomic.Int64
	// writeDeadline is the deadline of writes. writeSince is when the write in progress has begun, in Unix nanoseconds, or 0.
	writeDeadline time.Time
	writeSince    atomic.Int64
}

// Read reads from the connection. It returns io.EOF instead of the first bytes of a request during a shutdown. It passes no more
// than a header section or a body at a time.
func (c *connection) Read(p []byte) (n int, err error) {
	for n == 0 && err == nil && len(p) > 0 {
		n, err = c.readPiece(p)
	}
	return n, err
}

// readPiece reads the next piece. It returns 0 if all bytes that were received are dropped.
func (c *connection) readPiece(p []byte) (n int, err error) {
	if c.failed != nil {
		return 0, c.failed
	}
	// While a handler runs, net/http reads a single byte behind the body, to detect that the caller has gone.
	ahead := c.handled.Load() && c.stream.part == framingHeader
	if ahead && len(p) > 1 {
		return 0, c.failRead(errBodyEnded)
	}
	received, fromRest := c.rest, len(c.rest) > 0
	if !fromRest {
		if n, err = c.receive(p); n == 0 || err != nil {
			return n, err
		}
		received = p[:n]
	}
	received = received[:min(len(received), len(p))]
	next, err := c.pass(received, ahead)
	if err != nil {
		return 0, err
	}
	used := next.skip + next.n
	switch {
	case fromRest:
		c.rest = c.rest[used:]
	case used < len(received):
		c.rest = bytes.Clone(received[used:])
	}
	if len(c.rest) == 0 {
		c.rest = nil
	}
	copy(p, received[next.skip:used])
	switch {
	case ahead && next.n > 0:
		c.readAhead.Store(true)
	case !ahead && next.n == 0:
		c.awaitRequest()
	}
	return next.n, nil
}

// awaitRequest notes that no byte of a request has been read, after empty lines were dropped.
func (c *connection) awaitRequest() {
	if c.stream.part != framingHeader || c.stream.started || !c.state.CompareAndSwap(requestRead, awaitingRequest) {
		return
	}
	if c.server.shuttingDown.Load() {
		c.refuseRequests()
	}
}

// receive reads from the socket.
func (c *connection) receive(p []byte) (n int, err error) {
	switch c.state.Load() {
	case refusingRequests:
		return 0, io.EOF
	case awaitingRequest, waitingForRequest:
		n, err = c.readFirst(p)
		for errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
			n, err = c.readFirst(p)
		}
	default:
		n, err = c.Conn.Read(p)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && c.state.Load() != refusingRequests {
		c.callerClosed.Store(true)
	}
	return n, err
}

// extendIdle sets a later end of the wait for a request if the limit has been raised since the wait began: callers go by the limit in
// force. It reports whether it has. A shutdown meanwhile ends the next read.
func (c *connection) extendIdle() bool {
	if c.server.Current == nil || c.state.Load() != waitingForRequest {
		return false
	}
	end := time.Unix(0, c.idleSince.Load()).Add(c.server.limits().IdleTime)
	return time.Now().Before(end) && c.Conn.SetReadDeadline(end) == nil
}

// readFirst reads the first bytes of a request. refuseRequests may end it at any time but while it is reading them.
func (c *connection) readFirst(p []byte) (n int, err error) {
	if c.raw == nil {
		return c.readFirstWithoutSocket(p)
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		if !c.claim(readingRequest) {
			n, err = 0, io.EOF
			return true
		}
		n, err = readSocket(int(fd), p)
		if n > 0 {
			c.state.Store(requestRead)
			return true
		}
		c.state.Store(waitingForRequest)
		if c.server.shuttingDown.Load() {
			c.state.Store(refusingRequests)
			n, err = 0, io.EOF
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err == nil || err == io.EOF:
		return n, err
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
}

// readFirstWithoutSocket is readFirst for a connection of which only the result of a read shows whether it has taken data. A
// request that was read as the shutdown began is answered.
func (c *connection) readFirstWithoutSocket(p []byte) (int, error) {
	if !c.claim(waitingForRequest) {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.claim(requestRead) {
		<-c.waitEnded
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.state.Store(requestRead)
	}
	return n, err
}

// claim changes the state of a connection on which no byte of a request has been read. It fails if requests are refused.
func (c *connection) claim(state uint32) bool {
	return c.state.CompareAndSwap(awaitingRequest, state) || c.state.CompareAndSwap(waitingForRequest, state)
}

// readSocket reads from a non-blocking socket. The end of the stream is io.EOF.
func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// refuseRequests makes the connection read no further request. net/http then closes it, unless it has a request to answer. The
// deadline is set only if a read waits: it would else end a later read for a request that was read together with the one before.
func (c *connection) refuseRequests() {
	if c.state.CompareAndSwap(awaitingRequest, refusingRequests) {
		return
	}
	// A connection gets here only once: it waits for no further request during a shutdown.
	if c.state.CompareAndSwap(waitingForRequest, refusingRequests) {
		_ = c.Conn.SetReadDeadline(expired)
		if c.waitEnded != nil {
			close(c.waitEnded)
		}
	}
}

// SetReadDeadline sets the deadline of reads. The times that net/http sets for a header section and between two requests are
// replaced by those in force now.
func (c *connection) SetReadDeadline(t time.Time) error {
	if c.server.Current == nil || t.IsZero() || !t.After(expired) || c.stream.part != framingHeader {
		return c.Conn.SetReadDeadline(t)
	}
	limits, state := c.server.limits(), c.state.Load()
	wait := limits.HeaderTime
	if state == awaitingRequest || state == waitingForRequest {
		wait = limits.IdleTime
	}
	if wait == 0 {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return c.Conn.SetReadDeadline(time.Now().Add(wait))
}

// Write writes to the connection. It replaces an answer that net/http gives by itself, which is written in one piece.
func (c *connection) Write(p []byte) (int, error) {
	if c.refused {
		// net/http takes the end of what it has read for a malformed request. That request is answered already.
		return 0, c.failed
	}
	if c.server.Rejected != nil && !c.handled.Load() {
		status, text := statusLine(p)
		if _, err := c.write(c.server.Rejected(c.RemoteAddr().String(), status, text)); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	return c.write(p)
}

// statusLine returns the status of a response and the text that follows it in its first line.
func statusLine(response []byte) (status int, text string) {
	line, _, _ := strings.Cut(string(response), "\r\n")
	_, line, _ = strings.Cut(line, " ")
	code, text, _ := strings.Cut(line, " ")
	status, _ = strconv.Atoi(code)
	return status, text
}

func (c *connection) write(p []byte) (int, error) {
	n, err := c.writePieces(p)
	if n > 0 {
		c.state.CompareAndSwap(requestRead, answering)
	}
	return n, err
}

// CloseWrite closes the writing direction of a socket. net/http uses it to end a connection whose request it does not read to its
// end.
func (c *connection) CloseWrite() error {
	socket, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return socket.CloseWrite()
}

// Close closes the connection and reports it if a request that was read has no answer. A header section that was cut off to make
// room is no such request.
func (c *connection) Close() error {
	err := c.Conn.Close()
	if c.closed.Swap(true) {
		return err
	}
	c.server.connections.remove(c)
	c.server.connectionEnded()
	c.releaseHeader()
	if c.state.Load() == requestRead && !c.callerClosed.Load() && c.headerSince.Load() != evicted {
		c.server.unanswered.Add(1)
		if c.server.Unanswered != nil {
			c.server.Unanswered(c.RemoteAddr().String())
		}
	}
	return err
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// withConnection is the http.Server.ConnContext of a Server.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// trackState is the http.Server.ConnState of a Server.
func trackState(n net.Conn, state http.ConnState) {
	c := n.(*connection)
	switch state {
	case http.StateActive:
		if c.failed != nil {
			return
		}
		// A request that was read together with the one before has changed no state yet. It is answered also if the
		// connection refuses further ones.
		c.state.Store(requestRead)
	case http.StateIdle:
		c.releaseHeader()
		c.handled.Store(false)
		c.rest = c.stream.trimEmptyLines(c.rest)
		if c.readAhead.Swap(false) || len(c.rest) > 0 {
			c.state.Store(requestRead)
			return
		}
		c.idleSince.Store(time.Now().UnixNano())
		c.state.Store(awaitingRequest)
		if c.server.shuttingDown.Load() {
			c.refuseRequests()
		}
	}
}

// connections is the set of the open connections of a Server.
type connections struct {
	open  sync.Map
	count atomic.Int64
	// removed holds a wake-up for a goroutine that waits until no connection is open.
	removed chan struct{}
}

func (s *connections) add(c *connection) {
	s.open.Store(c, struct{}{})
	s.count.Add(1)
}

func (s *connections) remove(c *connection) {
	s.open.Delete(c)
	s.count.Add(-1)
	select {
	case s.removed <- struct{}{}:
	default:
	}
}

// refuseRequests makes all connections read no further request.
func (s *connections) refuseRequests() {
	s.open.Range(func(c, _ any) bool {
		c.(*connection).refuseRequests()
		return true
	})
}

// trackingListener adds the connections that it accepts to those of its server.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	l.server.makeRoom()
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: inner, server: l.server}
	c.idleSince.Store(time.Now().UnixNano())
	if socket, ok := inner.(syscall.Conn); ok {
		if c.raw, err = socket.SyscallConn(); err != nil {
			_ = inner.Close()
			return nil, err
		}
	} else {
		c.waitEnded = make(chan struct{})
	}
	l.server.connections.add(c)
	if l.server.shuttingDown.Load() {
		c.refuseRequests()
	}
	return c, nil
}
