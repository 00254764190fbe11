// Package exchange performs single HTTP exchanges and says how far a failed one came.
//
// An exchange is attempted once: net/http repeats some requests on reused connections by itself, which would run a
// request twice, so the connection of a repetition is closed before anything is written. A request of which nothing was written may be
// repeated. A Client owns its connections.
package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Defaults of Options.
const (
	// DefaultDialTimeout covers a lost SYN packet between data centres, which is sent again after 1 s.
	DefaultDialTimeout = 2 * time.Second
	// DefaultMaxAnswer is in bytes.
	DefaultMaxAnswer = 16 << 20
)

// maxAnswerHeader bounds the header of an answer, in bytes.
const maxAnswerHeader = 64 << 10

// Options bounds a Client.
type Options struct {
	// Connections is the number of connections to one address.
	Connections int
	// MaxAnswer is the largest answer body, in bytes. Default DefaultMaxAnswer.
	MaxAnswer int64
	// DialTimeout bounds the opening of a connection. Default DefaultDialTimeout.
	DialTimeout time.Duration
}

// Request is one HTTP request. Header is owned by the exchange after the call.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Answer is a complete HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client performs exchanges over a bounded number of connections. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	maxAnswer int64
}

// New returns a client that has no connection yet.
func New(o Options) *Client {
	if o.MaxAnswer == 0 {
		o.MaxAnswer = DefaultMaxAnswer
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	t := &http.Transport{
		DialContext:            dialer(o.DialTimeout),
		MaxConnsPerHost:        o.Connections,
		MaxIdleConnsPerHost:    o.Connections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
	return &Client{transport: t, maxAnswer: o.MaxAnswer}
}

// CloseIdle closes the connections that no exchange uses.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Do performs one exchange. It returns nil or a complete answer; every error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var p progress
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { p.got(i.Conn) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return Answer{}, &Error{Stage: StageConnect, Cause: err}
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		written := p.stop()
		return Answer{}, failure(ctx, stageOf(written), written, err)
	}
	defer res.Body.Close()
	body, err := c.read(r.Method, res)
	if err != nil {
		p.stop()
		return Answer{}, failure(ctx, StageBody, true, err)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// newRequest sets no GetBody, so that net/http can't repeat a request that has a body.
func newRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, err
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	return req, nil
}

// read returns the whole body. A body that ends with the connection is refused, because a cut would go unnoticed.
func (c *Client) read(method string, res *http.Response) ([]byte, error) {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && method != http.MethodHead {
		return nil, errNoLength
	}
	if res.ContentLength > c.maxAnswer {
		return nil, errTooLong
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, errTooLong
	}
	return body, nil
}
