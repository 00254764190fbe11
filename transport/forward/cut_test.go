package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response that is taken for complete although its target stopped in the middle of it and closed: callers of
// other systems got a 200 with an empty or short body after a cut in the head. Each response is cut after each of its bytes. Only
// a body that ends with its connection can't be told from a cut one.
func TestResponseCutAfterAnyByteIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Response-Signature: 3e1b.07.5a2\r\n"
	cases := map[string]struct {
		text string
		// untilClose is true if the body ends with the connection.
		untilClose bool
	}{
		"length":             {text: head + "Content-Length: 5\r\n\r\nwhole"},
		"length first":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\nwhole"},
		"empty":              {text: head + "Content-Length: 0\r\n\r\n"},
		"two digits":         {text: head + "Content-Length: 12\r\n\r\nwhole answer"},
		"bare line feeds":    {text: "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nwhole"},
		"chunked":            {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\na\r\n0123456789\r\n0\r\n\r\n"},
		"chunk extension":    {text: head + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\n\r\n"},
		"trailers":           {text: head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 7\r\n\r\n"},
		"until close":        {text: head + "Connection: close\r\n\r\nwhole", untilClose: true},
		"version 1.0":        {text: strings.Replace(head, "1.1", "1.0", 1) + "\r\nwhole", untilClose: true},
		"1.0 with length":    {text: strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 5\r\n\r\nwhole"},
		"after 100 Continue": {text: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole"},
		"failure":            {text: "HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cut := 0
			h := serve(t, func(int, *http.Request) (string, bool) { return c.text[:cut], false })
			headLength := strings.LastIndex(c.text, "\r\n\r\n") + len("\r\n\r\n")
			for cut = range len(c.text) + 1 {
				a, err := exchangeOnce(t, h)
				complete := cut == len(c.text) || (c.untilClose && cut >= headLength)
				switch {
				case complete && err != nil:
					t.Errorf("%d of %d bytes: %v", cut, len(c.text), err)
				case !complete && err == nil:
					t.Errorf("%d of %d bytes are taken for a response with status %d and body %q", cut, len(c.text), a.Status, a.Body)
				case err != nil && !AsError(err).Written:
					t.Errorf("%d of %d bytes: the request counts as not written", cut, len(c.text))
				}
			}
		})
	}
}

// exchangeOnce sends the request with ID 1 over a new connection.
func exchangeOnce(t *testing.T, h *Host) (Answer, error) {
	t.Helper()
	h.CloseIdle()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return h.Do(ctx, Request{Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}}, Body: []byte("b"), ID: "1"})
}
