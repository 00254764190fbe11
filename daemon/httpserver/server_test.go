package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
)

// startServer runs a server that answers each request with its path after the given time.
func startServer(t *testing.T, work time.Duration) *Server {
	t.Helper()
	s := &Server{Name: "test", Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	g := duty.NewGroup()
	g.Add(s.Duty())
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Abort(context.Background()) })
	return s
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

// isUnread reports whether an error shows that the server closed the connection without reading the request: closing a
// connection with unread bytes resets it.
func isUnread(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }

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
	_, err := fresh.get("/late")
	is.True(err == nil || isUnread(err)) // a clean end shows that the request was read
	is.NoErr(<-answered)
	is.NoErr(<-done)
}
