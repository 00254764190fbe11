package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// newServer returns a server that answers each request with its path after the given time.
func newServer(work time.Duration) *Server {
	return &Server{Name: "test", Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(work):
			_, _ = io.WriteString(w, r.URL.Path)
		case <-r.Context().Done():
			_, _ = io.WriteString(w, "the caller has left")
		}
	})}
}

// startServer runs a server that answers each request with its path after the given time.
func startServer(t *testing.T, work time.Duration) *Server {
	t.Helper()
	s := newServer(work)
	run(t, s)
	return s
}

func run(t *testing.T, s *Server) {
	t.Helper()
	g := duty.NewGroup()
	g.Add(s.Duty())
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Abort(context.Background()) })
}

// client is a connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, s *Server) client {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return client{Conn: c, reader: bufio.NewReader(c)}
}

// get sends a request for path and returns the body of its answer.
func (c client) get(path string) (string, error) {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// isOpen reports whether the server has not closed the connection yet.
func (c client) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// isReset reports whether an error shows that the server closed the connection without reading the request: closing a
// connection with unread bytes resets it.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Guards against a request that is read and dropped because it arrives after the beginning of a shutdown, on a connection that
// has carried no request yet.
func TestShutdownReadsNoRequestWithoutAnsweringIt(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 300*time.Millisecond)
	busy := dial(t, s)
	answered := make(chan error, 1)
	go func() {
		_, err := busy.get("/busy")
		answered <- err
	}()
	fresh := dial(t, s)
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	if fresh.isOpen() {
		_, err := fresh.get("/late")
		is.True(err == nil || isReset(err)) // a clean end shows that the request was read
	}
	is.NoErr(<-answered)
	is.NoErr(<-done)
}

// Guards against a shutdown that drops one of the requests that race with it, on connections that have carried others before.
func TestRequestsThatRaceWithAShutdownAreAnsweredOrNotRead(t *testing.T) {
	is := is.New(t)
	for range 20 {
		s := startServer(t, 0)
		const callers = 40
		lost := make(chan error, callers)
		for range callers {
			c := dial(t, s)
			go func() { lost <- c.sendUntilClosed() }()
		}
		time.Sleep(5 * time.Millisecond)
		is.NoErr(s.Shutdown(t.Context()))
		for range callers {
			is.NoErr(<-lost)
		}
		is.Equal(s.UnansweredRequests(), uint64(0))
	}
}

// sendUntilClosed sends requests until the connection is closed. It returns an error when a request was read and not answered.
func (c client) sendUntilClosed() error {
	for c.isOpen() {
		if _, err := c.get("/"); err != nil {
			if isReset(err) || err == io.ErrUnexpectedEOF {
				// The close may have crossed the request. UnansweredRequests tells whether it was read.
				return nil
			}
			return err
		}
	}
	return nil
}

// Guards against a shutdown that waits for a caller who never finishes its request, and against a connection that stays open
// after it.
func TestShutdownClosesConnectionsWithUnfinishedRequestsAtItsLimit(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 0)
	c := dial(t, s)
	_, err := io.WriteString(c, "GET /half HTTP/1.1\r\nHo")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(types.CodeOf(s.Shutdown(ctx)), types.CodeTimeout)
	is.True(!c.isOpen())
}

// Guards against a kept connection that stops serving requests, or that counts as open after its caller has closed it.
func TestKeptConnectionServesRequests(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 0)
	c := dial(t, s)
	for _, path := range []string{"/a", "/b", "/c"} {
		body, err := c.get(path)
		is.NoErr(err)
		is.Equal(body, path)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(s.Connections(), 1)
	is.NoErr(c.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(s.WaitClosed(ctx))
	is.Equal(s.UnansweredRequests(), uint64(0))
}

// Guards against two requests sent at once of which the second is dropped by a shutdown, because its first byte was read with
// the first request.
func TestPipelinedRequestIsAnsweredDuringShutdown(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 100*time.Millisecond)
	c := dial(t, s)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for _, path := range []string{"/1", "/2"} {
		res, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
	is.NoErr(<-done)
}

// delayedDeadlines is a socket on which the end of a pending read at the beginning of a shutdown takes effect late, and falls
// between two requests.
type delayedDeadlines struct {
	*net.TCPConn
	idle, refused chan struct{}
	isIdle        atomic.Bool
	idleOnce      sync.Once
	releaseOnce   sync.Once
}

// release lets net/http go on to the next request.
func (c *delayedDeadlines) release() { c.releaseOnce.Do(func() { close(c.refused) }) }

func (c *delayedDeadlines) SetReadDeadline(t time.Time) error {
	switch {
	case t.After(time.Now()): // net/http begins to wait for the next request
		c.idleOnce.Do(func() {
			c.isIdle.Store(true)
			close(c.idle)
			<-c.refused
		})
	case t.Equal(expired) && c.isIdle.CompareAndSwap(true, false):
		c.release()
		time.Sleep(50 * time.Millisecond)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// delayedListener accepts one connection with delayedDeadlines.
type delayedListener struct {
	net.Listener
	conn delayedDeadlines
}

func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conn.TCPConn = c.(*net.TCPConn)
	return &l.conn, nil
}

// Guards against a shutdown that ends the wait for a further request late, when that request, sent together with the one before,
// is already being handled: its context would end and its answer be lost.
func TestShutdownDoesNotInterruptAPipelinedRequest(t *testing.T) {
	is := is.New(t)
	var l delayedListener
	l.conn.idle, l.conn.refused = make(chan struct{}), make(chan struct{})
	s := newServer(200 * time.Millisecond)
	s.Limits.IdleTime = time.Minute
	s.Listen = func(ctx context.Context, address string) (net.Listener, error) {
		inner, err := peer.ListenTCP(ctx, address)
		l.Listener = inner
		return &l, err
	}
	run(t, s)
	c := dial(t, s)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-l.conn.idle
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	time.AfterFunc(20*time.Millisecond, l.conn.release)
	for _, path := range []string{"/1", "/2"} {
		res, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
	is.NoErr(<-done)
}

// Guards against a caller that learns only half a second after the answer to an unfinished request that its connection is
// closed: net/http closes the two directions of such a connection one after the other.
func TestEarlyAnswerEndsItsConnectionAtOnce(t *testing.T) {
	is := is.New(t)
	s := &Server{Name: "test", Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNotFound)
	})}
	run(t, s)
	c := dial(t, s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nabc")
	is.NoErr(err)
	answered, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.Equal(answered.StatusCode, http.StatusNotFound)
	_ = answered.Body.Close()
	is.NoErr(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
}

// slowReader is a connection that is no socket. Its reads return a while after they have taken their data.
type slowReader struct{ net.Conn }

func (c slowReader) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(100 * time.Millisecond)
	return n, err
}

type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowReader{c}, err
}

// Guards against a request that is read and dropped at the beginning of a shutdown on a connection that is no socket, for
// example with TLS: it can't be checked there whether a read has taken data.
func TestRequestReadAsTheShutdownBeginsIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newServer(200 * time.Millisecond)
	s.Secure = func(l net.Listener) net.Listener { return slowListener{l} }
	run(t, s)
	c := dial(t, s)
	answered := make(chan error, 1)
	go func() {
		_, err := c.get("/1")
		answered <- err
	}()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(s.Shutdown(t.Context()))
	is.NoErr(<-answered)
}

// Guards against a request of which net/http has read the first byte while the one before was answered, and that a shutdown then
// drops; the reset of its connection can also take the answer before with it.
func TestRequestSentBeforeTheAnswerIsAnsweredDuringShutdown(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 150*time.Millisecond)
	c := dial(t, s)
	for _, path := range []string{"/1", "/2"} {
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		time.Sleep(30 * time.Millisecond)
	}
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for _, path := range []string{"/1", "/2"} {
		res, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
	is.NoErr(<-done)
}

// Guards against a connection that is taken for one with a further request after a request whose header line filled the buffer of
// net/http but for one byte: it would make no room for others, and a shutdown would wait for it.
func TestFullBufferIsNoFurtherRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 0)
	c := dial(t, s)
	for _, text := range []string{"GET /1 HTTP/1.1\r\nHost: h\r\n", "X: " + strings.Repeat("a", 4092), "aa", "\r\n\r\n"} {
		_, err := io.WriteString(c, text)
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	_, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
}
