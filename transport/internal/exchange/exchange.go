// Package exchange performs single HTTP exchanges and reports the stage at which a failed one ended.
//
// A request is written at most once. net/http retries some requests by itself when a reused connection breaks, which
// would run a request twice, so the connection of such a retry is closed before anything is written. A request of which
// nothing was written may be retried. A Client owns its connections.
package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"sequoiasail.example/transport/forward"
)

// Defaults of Options.
const (
	// DefaultDialTimeout covers one lost SYN packet between data centres, which is retransmitted after 1 s.
	DefaultDialTimeout = 2 * time.Second
	// DefaultMaxResponseBytes bounds a response body, in bytes.
	DefaultMaxResponseBytes = 16 << 20
)

// maxResponseHeaderBytes bounds the header of a response, in bytes.
const maxResponseHeaderBytes = 64 << 10

// Options configures a Client.
type Options struct {
	// Connections is the maximum number of connections to one address.
	Connections int
	// MaxResponseBytes bounds a response body, in bytes. The default is DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// DialTimeout bounds the opening of a connection. The default is DefaultDialTimeout.
	DialTimeout time.Duration
	// Budget bounds the bodies that all clients which share it are reading. There is no bound without one.
	Budget *forward.Budget
}

// Request is one HTTP request. The caller must not use Header after it has passed the request to Do.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client performs exchanges over a bounded number of connections. It is safe for concurrent use.
type Client struct {
	transport        *http.Transport
	maxResponseBytes int64
	budget           *forward.Budget
}

// New returns a client. It opens connections when exchanges need them.
func New(o Options) *Client {
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	t := &http.Transport{
		DialContext:            countingDialer(o.DialTimeout),
		MaxConnsPerHost:        o.Connections,
		MaxIdleConnsPerHost:    o.Connections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &Client{transport: t, maxResponseBytes: o.MaxResponseBytes, budget: o.Budget}
}

// CloseIdle closes the connections that no exchange uses.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Do performs one exchange and returns the complete response. Every error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var p writeTracker
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { p.gotConn(i.Conn) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return Answer{}, &Error{Stage: StageConnect, Cause: err}
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		written := p.abortConn()
		return Answer{}, newError(ctx, failedStage(written), written, err)
	}
	defer res.Body.Close()
	if !forward.IsFinal(res.StatusCode) {
		p.abortConn()
		return Answer{}, newError(ctx, StageResponse, true, errInvalidStatus)
	}
	body, err := c.readBody(r.Method, res)
	if err != nil {
		p.abortConn()
		return Answer{}, newError(ctx, StageBody, true, err)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// newRequest does not set GetBody, so that net/http cannot retry a request that has a body.
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

// readBody returns the complete body. A body that is delimited by the end of the connection is refused, because its
// truncation could not be detected.
func (c *Client) readBody(method string, res *http.Response) ([]byte, error) {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && method != http.MethodHead {
		return nil, errNoContentLength
	}
	return forward.ReadBody(res.Body, res.ContentLength, c.maxResponseBytes, c.budget)
}
