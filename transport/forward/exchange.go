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
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 32 << 20
	// maxForeign bounds the answers to other requests that are dropped in one exchange.
	maxForeign = 4
)

// Request is one HTTP request. Header holds no hop-by-hop headers, Host and length.
type Request struct {
	Method string
	// URI is the path and query as they stand in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value of the identifying header. Empty when the answer need not repeat it.
	ID string
	// Connection is the serial of the only connection that may carry the request; 0 for any.
	Connection uint64
}

// Answer is a complete HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Connection is the serial of the connection that carried the exchange.
	Connection uint64
}

// Do performs one exchange. It ends with the context. Every error is an *Error.
func (h *Host) Do(ctx context.Context, r Request) (Answer, error) {
	c, err := h.take(ctx, r.Connection)
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
	a, idle, err := h.receive(c, r)
	if err != nil {
		c.reset()
		if timedOut(ctx, err) {
			// Other idle connections to the address may have gone silent with this one.
			h.CloseIdle()
		}
		return Answer{}, &Error{Written: true, Reused: c.used, TimedOut: timedOut(ctx, err), Cause: err}
	}
	if !detach() {
		return a, nil
	}
	if idle > 0 {
		h.stated.Store(int64(idle))
		h.put(c, idle)
		return a, nil
	}
	_ = c.Close()
	if h.options.Continuous {
		h.replace(ctx, c.serial)
	}
	return a, nil
}

// replace opens a connection in the place of one that the target has closed. A failure shows at the next exchange.
func (h *Host) replace(ctx context.Context, serial uint64) {
	c, err := h.dial(ctx)
	if err != nil {
		return
	}
	c.serial = serial
	idle := time.Duration(h.stated.Load())
	if idle <= 0 {
		idle = h.options.Idle
	}
	h.put(c, idle)
}

func timedOut(ctx context.Context, err error) bool {
	var n net.Error
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}

// encode returns the request in one piece, so that one write sends it whole.
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

// receive reads the answer to r and returns for how long the connection may be reused, 0 for not at all.
func (h *Host) receive(c *conn, r Request) (Answer, time.Duration, error) {
	for range maxForeign {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{}, 0, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(res)
		if err != nil {
			return Answer{}, 0, err
		}
		if own, err := h.matches(r, res); err != nil {
			return Answer{}, 0, err
		} else if !own {
			continue
		}
		a := Answer{Status: res.StatusCode, Header: res.Header, Body: body, Connection: c.serial}
		return a, h.reusable(c, res), nil
	}
	return Answer{}, 0, errForeign
}

// matches reports whether res answers r. A good answer without an identifier belongs to nobody.
func (h *Host) matches(r Request, res *http.Response) (bool, error) {
	if r.ID == "" {
		return true, nil
	}
	switch res.Header.Get(h.options.IDHeader) {
	case r.ID:
		return true, nil
	case "":
		if res.StatusCode < http.StatusMultipleChoices || res.Close {
			return false, errForeign
		}
		return true, nil
	}
	if res.Close {
		return false, errForeign
	}
	return false, nil
}

func readBody(res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errTooLong
	}
	return body, nil
}

// reusable returns for how long the connection may stay idle. Bytes behind the answer belong to no request.
func (h *Host) reusable(c *conn, res *http.Response) time.Duration {
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
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return h.options.Idle
}

// AsError returns err as an *Error.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Written: true, Cause: types.WrapFault(types.CodeInternal, err, "exchange")}
}
