package forward

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
	"syscall"
	"time"

	"sequoiasail.example/types"
)

const (
	// maxResponseBytes bounds the body of a response, in bytes.
	maxResponseBytes = 32 << 20
	// maxResponses bounds the responses that are read in one exchange. All but the last may be informational or belong to
	// other requests.
	maxResponses = 4
)

// Request is one HTTP request. Header must contain neither hop-by-hop headers nor Host and Content-Length.
type Request struct {
	Method string
	// URI is the path and query of the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value of the ID header that the response must repeat. Empty when responses are not checked.
	ID string
	// Connection is the ID of the only connection that may carry the request; 0 for any.
	Connection uint64
}

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Connection is the ID of the connection that carried the exchange.
	Connection uint64
}

// Do performs one exchange. It returns when the context ends. Every error is an *Error.
func (h *Host) Do(ctx context.Context, r Request) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, &Error{TimedOut: timedOut(ctx, err), Cause: err}
	}
	c, err := h.acquire(ctx, r.Connection)
	if err != nil {
		return Answer{}, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), TimedOut: timedOut(ctx, err), Cause: err}
	}
	detach := context.AfterFunc(ctx, c.reset)
	defer detach()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	n, err := c.Write(encode(r))
	if err != nil {
		c.reset()
		return Answer{}, &Error{Written: n > 0, Reused: c.used, TimedOut: timedOut(ctx, err), Cause: err}
	}
	a, idle, err := h.readResponse(c, r)
	if err != nil {
		c.reset()
		if timedOut(ctx, err) {
			// The other idle connections to the address may be unresponsive too.
			h.CloseIdle()
		}
		return Answer{}, &Error{Written: true, Reused: c.used, TimedOut: timedOut(ctx, err), Cause: err}
	}
	if !detach() {
		return a, nil
	}
	if idle > 0 {
		h.targetIdleTimeout.Store(int64(idle))
		h.release(c, idle)
		return a, nil
	}
	_ = c.Close()
	if h.options.ReopenOnClose {
		h.reopen(ctx, c.id)
	}
	return a, nil
}

// reopen replaces a connection that the target has closed by a new one with the same ID. A dial failure is ignored; the
// next exchange fails instead.
func (h *Host) reopen(ctx context.Context, id uint64) {
	c, err := h.dial(ctx)
	if err != nil {
		return
	}
	c.id = id
	idle := time.Duration(h.targetIdleTimeout.Load())
	if idle <= 0 {
		idle = h.options.IdleTimeout
	}
	h.release(c, idle)
}

func timedOut(ctx context.Context, err error) bool {
	var n net.Error
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}

// encode returns the whole request, so that it is sent by a single write.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer accepts every write.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readResponse reads the response to r. The duration is how long the connection may stay idle; if it is not positive,
// the connection must be closed.
func (h *Host) readResponse(c *conn, r Request) (Answer, time.Duration, error) {
	for range maxResponses {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{}, 0, err
		}
		if res.StatusCode < http.StatusContinue || res.StatusCode == http.StatusSwitchingProtocols {
			return Answer{}, 0, errInvalidStatus
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(res)
		if err != nil {
			return Answer{}, 0, err
		}
		if matched, err := h.matches(r, res); err != nil {
			return Answer{}, 0, err
		} else if !matched {
			continue
		}
		a := Answer{Status: res.StatusCode, Header: res.Header, Body: body, Connection: c.id}
		return a, h.idleTimeout(c, res), nil
	}
	return Answer{}, 0, errMismatchedResponse
}

// matches reports whether res is the response to r. A response without an ID and with a status below 300 cannot be
// attributed to a request and is an error. One with a higher status is taken as the response to r, unless the
// connection closes after it.
func (h *Host) matches(r Request, res *http.Response) (bool, error) {
	if r.ID == "" {
		return true, nil
	}
	switch res.Header.Get(h.options.IDHeader) {
	case r.ID:
		return true, nil
	case "":
		if res.StatusCode < http.StatusMultipleChoices || res.Close {
			return false, errMismatchedResponse
		}
		return true, nil
	}
	if res.Close {
		return false, errMismatchedResponse
	}
	return false, nil
}

func readBody(res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLong
	}
	return body, nil
}

// idleTimeout returns how long the connection may stay idle. It is 0 when the connection cannot be reused, also when
// bytes follow the response, because they belong to no request.
func (h *Host) idleTimeout(c *conn, res *http.Response) time.Duration {
	if res.Close || c.reader.Buffered() > 0 || (res.ContentLength < 0 && len(res.TransferEncoding) == 0) {
		return 0
	}
	for _, p := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return h.options.IdleTimeout
}

// AsError returns err as an *Error.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Written: true, Cause: types.WrapFault(types.CodeInternal, err, "exchange")}
}
