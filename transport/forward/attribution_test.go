package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusal returns the response with which a target refuses a request. The ID header is left out when id is empty.
func refusal(id string) string {
	a := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
	if id != "" {
		a += "X-Id: " + id + "\r\n"
	}
	return a + "Content-Length: 4\r\n\r\nfull"
}

// segment is what a target writes after a pause.
type segment struct {
	pause time.Duration
	text  string
}

// serveSegments starts a target that answers the n-th request of each connection with the segments of answers[n], and closes
// the connection after the last. Every segment is one write.
func serveSegments(t *testing.T, answers ...[]segment) *Host {
	t.Helper()
	return serveConnections(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for _, segments := range answers {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			for _, s := range segments {
				time.Sleep(s.pause)
				_, _ = io.WriteString(c, s.text)
			}
		}
		// The connection stays open until the client closes it.
		_, _ = io.Copy(io.Discard, in)
	})
}

// serveConnections starts a target that handles each connection with handle, and returns a Host for it.
func serveConnections(t *testing.T, handle func(net.Conn)) *Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			handled := make(chan struct{})
			go func() {
				defer close(handled)
				defer c.Close()
				handle(c)
			}()
			defer func() { <-handled }()
		}
	}()
	h := NewHost(Options{Address: l.Addr().String(), IDHeader: "X-Id", MaxIdle: 2})
	t.Cleanup(func() {
		h.Close()
		l.Close()
		<-done
	})
	return h
}

// secondExchange is what a target writes in response to the second request of a connection, whose ID is 2, and whether the
// caller gets the response to that request.
type secondExchange struct {
	segments []segment
	answered bool
}

// gap separates segments, so that they are read one by one.
const gap = 10 * time.Millisecond

// own is the response to the second request.
var own = segment{pause: gap, text: response("2", "own")}

// checkSecondExchanges fails the test when a second request gets any response but its own, or when its failure says that the
// target has not run it.
func checkSecondExchanges(t *testing.T, cases map[string]secondExchange) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := serveSegments(t, []segment{{0, response("1", "first")}}, c.segments)
			_, err := do(t, h, "1")
			is.NoErr(err)
			a, err := do(t, h, "2")
			if err == nil {
				is.Equal(a.Status, http.StatusOK)
				is.Equal(a.Header["X-Id"], []string{"2"})
				is.Equal(string(a.Body), "own")
			} else {
				is.True(AsError(err).Written) // the target may have run it
			}
			is.Equal(err == nil, c.answered)
		})
	}
}

// Guards against a repeated response being taken for the response to the next request. In the incident of issue 20 a target
// repeated a refusal on a kept connection: callers were told that requests had not run, or they ran at a second target,
// while the first target was running them.
func TestRepeatedResponseIsNotTakenForTheNextOne(t *testing.T) {
	checkSecondExchanges(t, map[string]secondExchange{
		"earlier ID":                  {[]segment{{0, refusal("1")}, own}, true},
		"earlier ID, twice":           {[]segment{{0, refusal("1") + refusal("1")}, own}, true},
		"earlier ID, nothing more":    {[]segment{{0, refusal("1")}}, false},
		"no ID":                       {[]segment{{0, refusal("")}, own}, true},
		"no ID, twice":                {[]segment{{0, refusal("")}, {gap, refusal("")}, own}, true},
		"no ID, nothing more":         {[]segment{{0, refusal("")}}, false},
		"no ID and no X-Not-Executed": {[]segment{{0, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}, own}, true},
		"misdirected, no ID":          {[]segment{{0, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}, own}, true},
		"success, no ID":              {[]segment{{0, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"}, own}, true},
		"success, earlier ID":         {[]segment{{0, response("1", "first")}, own}, true},
		"after an informational one":  {[]segment{{0, "HTTP/1.1 100 Continue\r\n\r\n" + refusal("")}, own}, true},
		"split in the head":           {[]segment{{0, refusal("")[:40]}, {gap, refusal("")[40:]}, own}, true},
		"split in the body":           {[]segment{{0, refusal("1")[:len(refusal("1"))-2]}, {gap, "ll"}, own}, true},
		"in one segment with the own": {[]segment{{0, refusal("") + own.text}}, true},
		"after the own":               {[]segment{{0, own.text + refusal("")}}, true},
		"closed after it, no ID":      {[]segment{{0, strings.Replace(refusal(""), "\r\n", "\r\nConnection: close\r\n", 1)}}, false},
	})
}

// SPLICE
// Guards against a response that arrives in the idle time of a connection and is read as the response to the next request.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	for name, late := range map[string]string{"whole": refusal(""), "part of a head": refusal("")[:20], "endless line": strings.Repeat("a", 1<<16)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := serveConnections(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, response(r.Header.Get("X-Id"), "own"))
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(c, late)
				_, _ = io.Copy(io.Discard, c)
			})
			_, err := do(t, h, "1")
			is.NoErr(err)
			time.Sleep(30 * time.Millisecond)
			a, err := do(t, h, "2")
			is.NoErr(err)
			is.Equal(string(a.Body), "own")
			is.Equal(h.Opened(), uint64(2))
		})
	}
}

// Guards against the rest of a refusal and the response to this request being read as one head, which has the status of the
// first and the ID of the second.
func TestSplicedHeadIsNoResponse(t *testing.T) {
	cut := strings.Split(refusal(""), "Content")[0]
	checkSecondExchanges(t, map[string]secondExchange{
		"cut in the status line":   {[]segment{{0, "HTTP/1.1 503 Serv"}, own}, false},
		"cut after the status":     {[]segment{{0, "HTTP/1.1 503 "}, own}, false},
		"cut in a header name":     {[]segment{{0, cut + "X-Ser"}, own}, false},
		"cut in a header value":    {[]segment{{0, cut + "Retry-After: 1"}, own}, false},
		"cut in a line end":        {[]segment{{0, cut + "Retry-After: 1\r"}, own}, false},
		"cut between two headers":  {[]segment{{0, cut}, own}, false},
		"cut in the earlier ID":    {[]segment{{0, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Id: "}, own}, false},
		"cut after the earlier ID": {[]segment{{0, "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Not-Executed: 1"}, own}, false},
		"cut in a dropped header":  {[]segment{{0, "HTTP/1.0 503 Full\r\nX-Not-Executed: 1\r\nTransfer-Encoding: "}, own}, false},
		"cut in the body":          {[]segment{{0, refusal("1")[:len(refusal("1"))-2]}, own}, false},
	})
}

// Guards against a repeated refusal being taken for the response to another attempt of the same request: the ID of both is
// the same, so an attempt must not use a connection on which an earlier one was refused.
func TestRefusedRequestIsRetriedOnAnotherConnection(t *testing.T) {
	is := is.New(t)
	h := serveConnections(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, refusal(r.Header.Get("X-Id")))
		}
	})
	_, err := do(t, h, "1")
	is.NoErr(err)
	_, err = do(t, h, "1")
	is.NoErr(err)
	is.Equal(h.Opened(), uint64(2))
	_, err = do(t, h, "2")
	is.NoErr(err)
	is.Equal(h.Opened(), uint64(2)) // other requests keep using the connection
}

// Guards against a request without an ID being answered with the response to another request.
func TestRequestWithoutIDHasItsOwnConnection(t *testing.T) {
	is := is.New(t)
	h := serveSegments(t, []segment{{0, response("1", "first")}}, []segment{{0, refusal("")}})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	for n := range uint64(3) {
		a, err := h.Do(ctx, Request{Method: "GET", URI: "/", Host: "h"})
		is.NoErr(err)
		is.Equal(string(a.Body), "first")
		is.Equal(h.Opened(), n+1)
	}
}

// Guards against the body of a repeated response being read as a response: a response to HEAD has a length and no body.
func TestConnectionIsNotReusedAfterHead(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(_ int, r *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Length: 90\r\n\r\n", true
	})
	for n, id := range []string{"1", "2"} {
		a, err := h.Do(t.Context(), Request{Method: "HEAD", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id})
		is.NoErr(err)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(h.Opened(), uint64(n+1))
	}
}
