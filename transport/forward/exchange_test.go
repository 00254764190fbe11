package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script answers each request of a connection with the bytes that its function returns. A function that returns ok =
// false closes the connection after its bytes.
type script func(n int, r *http.Request) (answer string, ok bool)

func serve(t *testing.T, s script) *Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n = converse(c, s, n)
		}
	}()
	h := NewHost(Options{Address: l.Addr().String(), IDHeader: "X-Id", MaxIdle: 1})
	t.Cleanup(func() {
		h.Close()
		l.Close()
		<-done
	})
	return h
}

func converse(c net.Conn, s script, n int) int {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return n
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer, ok := s(n, r)
		n++
		_, _ = io.WriteString(c, answer)
		if !ok {
			return n
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, h *Host, id string) (Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	return h.Do(ctx, Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("b"), ID: id})
}

// Guards against the second copy of an answer being taken for the answer to the next request.
func TestExtraAnswerIsNotTakenForTheNext(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(_ int, r *http.Request) (string, bool) {
		a := answer(r.Header.Get("X-Id"), "own "+r.Header.Get("X-Id"))
		return a + a, true
	})
	for _, id := range []string{"1", "2", "3"} {
		a, err := do(t, h, id)
		is.NoErr(err)
		is.Equal(string(a.Body), "own "+id)
	}
}

// Guards against a late answer to an earlier request on a reused connection.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(n int, r *http.Request) (string, bool) {
		if n == 1 {
			return answer("1", "late") + answer("2", "own"), true
		}
		return answer(r.Header.Get("X-Id"), "first"), true
	})
	_, err := do(t, h, "1")
	is.NoErr(err)
	a, err := do(t, h, "2")
	is.NoErr(err)
	is.Equal(string(a.Body), "own")
}

// Guards against an answer that was cut short, or is no answer, being passed on as whole, and against calling such a
// request not sent.
func TestBrokenAnswersFailAsWritten(t *testing.T) {
	cases := map[string]string{
		"short body":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc",
		"short head":       "HTTP/1.1 200 OK\r\nX-I",
		"not http":         "garbage\r\n\r\n",
		"short chunk":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"foreign":          "HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
		"without identity": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"nothing":          "",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := serve(t, func(int, *http.Request) (string, bool) { return text, false })
			_, err := do(t, h, "1")
			is.True(err != nil)
			is.True(AsError(err).Written)
		})
	}
}

// Guards against an answer without a length being refused although its connection ended in order.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(int, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole", false
	})
	a, err := do(t, h, "1")
	is.NoErr(err)
	is.Equal(string(a.Body), "whole")
}

// Guards against a request being called sent when no connection could be made, which would lose an order for nothing.
func TestRefusedConnectionMeansNotWritten(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = do(t, NewHost(Options{Address: address, IDHeader: "X-Id", MaxIdle: 1}), "1")
	is.True(!AsError(err).Written)
	is.True(AsError(err).Refused)
}

// Guards against a request on a connection that the target has closed meanwhile: it would be lost although a new
// connection works.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(n int, r *http.Request) (string, bool) { return answer(r.Header.Get("X-Id"), "a"), n > 0 })
	_, err := do(t, h, "1")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	_, err = do(t, h, "2")
	is.NoErr(err)
	is.Equal(h.Opened(), uint64(2))
}

// Guards against a renewal on a connection other than the one that carried the grant.
func TestRequestBoundToAConnectionThatIsGone(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(n int, r *http.Request) (string, bool) { return answer(r.Header.Get("X-Id"), "a"), n != 1 })
	first, err := do(t, h, "1")
	is.NoErr(err)
	bound := Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{"X-Id": {"2"}}, ID: "2", Connection: first.Connection}
	second, err := h.Do(t.Context(), bound)
	is.NoErr(err)
	is.Equal(second.Connection, first.Connection)
	time.Sleep(20 * time.Millisecond)
	_, err = h.Do(t.Context(), bound)
	is.True(err != nil)
	is.True(!AsError(err).Written)
}

// Guards against an idle time stated by the target being exceeded.
func TestStatedIdleTimeIsKept(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(_ int, r *http.Request) (string, bool) {
		return strings.Replace(answer(r.Header.Get("X-Id"), "a"), "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1), true
	})
	for _, id := range []string{"1", "2"} {
		_, err := do(t, h, id)
		is.NoErr(err)
	}
	is.Equal(h.Opened(), uint64(2))
}

// Guards against an idle connection that counts as broken because the deadline of its last exchange has passed.
func TestIdleConnectionOutlivesTheDeadlineOfItsExchange(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(_ int, r *http.Request) (string, bool) { return answer(r.Header.Get("X-Id"), "a"), true })
	for _, id := range []string{"1", "2"} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := h.Do(ctx, Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id})
		cancel()
		is.NoErr(err)
		time.Sleep(70 * time.Millisecond)
	}
	is.Equal(h.Opened(), uint64(1))
}

// Guards against a request that is delivered after it has been given up: bytes held up by a partition stay on their way
// unless the connection is reset. Replays zcsp-brana scale-1, where a grant arrived 6 s late and gave keys a second owner.
func TestAbandonedExchangeResetsItsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	h := NewHost(Options{Address: l.Addr().String(), IDHeader: "X-Id", MaxIdle: 1})
	defer h.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = h.Do(ctx, Request{Method: "POST", URI: "/", Host: "t"})
	is.True(AsError(err).Written)
	is.True(errors.Is(<-ended, syscall.ECONNRESET)) // an orderly end would be no error
}
