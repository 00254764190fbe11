package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, h http.HandlerFunc) (*Client, string) {
	s := httptest.NewServer(h)
	c := New(Options{Connections: 1, MaxAnswer: 16})
	t.Cleanup(func() {
		c.CloseIdle()
		s.Close()
	})
	return c, s.URL
}

func failed(t *testing.T, c *Client, url string) *Error {
	t.Helper()
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, URL: url})
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v", err)
	}
	return e
}

// Guards against a write that was counted as never started reaching the network after all.
func TestSealedConnectionWritesNothing(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near}
	is.Equal(c.seal(), uint64(0))
	_, err := c.Write([]byte("late"))
	is.True(errors.Is(err, net.ErrClosed))
	n, err := far.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.Equal(err, io.EOF)
}

// Guards against earlier requests on a reused connection being taken for bytes of a later one.
func TestProgressCountsOnlyItsOwnWrites(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near}
	c.writes.Store(3)
	var p progress
	p.got(c)
	is.True(!p.stop())
	c.writes.Store(4)
	is.True(p.stop())
}

// Guards against a repetition after bytes were written, and against refusing one when an idle connection was closed.
func TestRepetitionOnlyWhenNothingWasWritten(t *testing.T) {
	is := is.New(t)
	pair := func(written bool) (p progress, second *conn) {
		first, far1 := net.Pipe()
		other, far2 := net.Pipe()
		t.Cleanup(func() { far1.Close(); far2.Close(); other.Close() })
		c := &conn{Conn: first}
		p.got(c)
		if written {
			c.writes.Add(1)
		}
		second = &conn{Conn: other}
		p.got(second)
		return p, second
	}
	p, second := pair(true)
	is.True(second.sealed.Load())
	is.True(p.stop())
	p, second = pair(false)
	is.True(!second.sealed.Load())
	is.True(!p.stop())
}

// Guards against a connection that is opened for each exchange.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	c, url := serve(t, func(_ http.ResponseWriter, r *http.Request) { seen[r.RemoteAddr] = true })
	for range 3 {
		_, err := c.Do(t.Context(), Request{Method: http.MethodGet, URL: url})
		is.NoErr(err)
	}
	is.Equal(len(seen), 1)
}

// Guards against following a redirect, which would send the request twice.
func TestRedirectIsAnAnswer(t *testing.T) {
	is := is.New(t)
	c, url := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTemporaryRedirect) })
	a, err := c.Do(t.Context(), Request{Method: http.MethodPost, URL: url, Body: []byte("x")})
	is.NoErr(err)
	is.Equal(a.Status, http.StatusTemporaryRedirect)
}

// Guards against an answer over the limit filling the memory, with and without a declared length.
func TestLongAnswer(t *testing.T) {
	is := is.New(t)
	c, url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/chunked" {
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 17))
	})
	is.True(failed(t, c, url).TooLong())
	is.True(failed(t, c, url+"/chunked").TooLong())
}

// Guards against an answer whose end can't be told from a cut.
func TestAnswerWithoutLength(t *testing.T) {
	is := is.New(t)
	c, url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		_ = conn.Close()
	})
	is.Equal(failed(t, c, url).Stage, StageBody)
}

// Guards against a cancelled exchange that reports bytes it never sent.
func TestCancelledBeforeConnecting(t *testing.T) {
	is := is.New(t)
	c, url := serve(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Do(ctx, Request{Method: http.MethodGet, URL: url})
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Stage, StageConnect)
	is.True(e.Cancelled)
	is.True(!e.Written)
}

// Guards against net/http repeating a request by itself when a reused connection breaks after the request was written.
func TestBrokenConnectionDoesNotRepeat(t *testing.T) {
	is := is.New(t)
	calls := make(chan string, 4)
	c, url := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		calls <- r.URL.Path
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
	})
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, URL: url + "/first"})
	is.NoErr(err)
	e := failed(t, c, url+"/break")
	is.True(e.Written)
	is.Equal(e.Stage, StageAnswer)
	_, err = c.Do(t.Context(), Request{Method: http.MethodGet, URL: url + "/last"})
	is.NoErr(err)
	is.Equal(len(calls), 3)
}
