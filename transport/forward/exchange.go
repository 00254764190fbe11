package forward

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"sequoiasail.example/types"
)

// Request is one HTTP request. Header must contain neither hop-by-hop headers nor Host and Content-Length.
type Request struct {
	Method string
	// URI is the path and query of the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Segments is the rest of a large body. They are sent without a copy.
	Segments [][]byte
	// ID is the value of the ID header that the response must repeat. A request without an ID gets a connection of its
	// own, on which no other response can arrive.
	ID string
	// Connection is the ID of the only connection that may carry the request; 0 for any.
	Connection uint64
}

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Segments is the rest of a large body. Hosts without a Budget return none.
	Segments [][]byte
	// Connection is the ID of the connection that carried the exchange.
	Connection uint64
	// Dropped is the number of responses to other requests that were read before this one.
	Dropped int

	// held is what the body has taken from budget.
	held   int64
	budget *Budget
}

// Length returns the length of the body.
func (a Answer) Length() int { return len(a.Body) + total(a.Segments) }

// total returns the number of bytes of all segments.
func total(segments [][]byte) (n int) {
	for _, s := range segments {
		n += len(s)
	}
	return n
}

// Release gives the memory of the body back to the budget of the Host. The owner of an answer calls it once, when the body is no
// longer used.
func (a Answer) Release() { a.budget.GiveBack(a.held) }

// Do performs one exchange. It returns when the context ends. Every error is an *Error.
func (h *Host) Do(ctx context.Context, r Request) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, &Error{TimedOut: timedOut(ctx, err), Cause: err}
	}
	c, err := h.acquire(ctx, r)
	if err != nil {
		return Answer{}, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), TimedOut: timedOut(ctx, err), Cause: err}
	}
	detach := context.AfterFunc(ctx, c.reset)
	defer detach()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	n, err := c.send(r)
	if err != nil {
		c.reset()
		return Answer{}, &Error{Written: n > 0, Reused: c.used, TimedOut: timedOut(ctx, err), Cause: err}
	}
	a, idle, err := h.readResponse(ctx, c, r)
	if err != nil {
		c.reset()
		if timedOut(ctx, err) {
			// The other idle connections to the address may be unresponsive too.
			h.CloseIdle()
		}
		return Answer{}, &Error{Written: true, Reused: c.used, TimedOut: timedOut(ctx, err), Cause: err}
	}
	c.used = true
	if !detach() {
		return a, nil
	}
	if idle > 0 {
		h.targetIdleTimeout.Store(int64(idle))
		h.release(c, idle)
		return a, nil
	}
	_ = c.Close()
	if h.options.ReopenOnClose && r.ID != "" {
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

// maxSingleWrite bounds the requests that are sent by a single write, and copied for it.
const maxSingleWrite = 64 << 10

// send writes the request. It returns the number of bytes that were written.
func (c *conn) send(r Request) (n int, err error) {
	first, rest := encode(r)
	n, err = c.Write(first)
	for i := 0; i < len(rest) && err == nil; i++ {
		var m int
		m, err = c.Write(rest[i])
		n += m
	}
	return n, err
}

// encode returns the request up to the segments that are written on their own.
func encode(r Request) (first []byte, rest [][]byte) {
	length := len(r.Body) + total(r.Segments)
	var b bytes.Buffer
	b.Grow(512 + min(length, maxSingleWrite))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer accepts every write.
	_ = r.Header.Write(&b)
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if length > maxSingleWrite {
		return b.Bytes(), r.Segments
	}
	for _, s := range r.Segments {
		b.Write(s)
	}
	return b.Bytes(), nil
}

// AsError returns err as an *Error.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Written: true, Cause: types.WrapFault(types.CodeInternal, err, "exchange")}
}
