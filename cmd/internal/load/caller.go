package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// Headers of the HTTP interface between callers and gateways.
const (
	headerOutcome        = "Sail-Outcome"
	headerServedBy       = "Sail-Target"
	headerCaller         = "Sail-Caller"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTime    = "Request-Time"
)

// codeNoAnswer is the code of calls without a complete answer, and of failures whose body cannot be decoded.
const codeNoAnswer = "no-answer"

// result is the outcome of a call, with its times.
type result struct {
	call    call
	outcome string
	code    string // error code; empty when the call was done
	// servedBy is the target that a gateway names in its answer.
	servedBy string
	sent     time.Time
	ended    time.Time
}

// client makes calls over a bounded number of connections to each address.
type client struct {
	name       string
	timeout    time.Duration
	transports [pathCount]*http.Transport
}

// newClient returns a client that opens at most connections[p] connections to each address of path p.
func newClient(name string, connections [pathCount]int, timeout time.Duration) *client {
	c := &client{name: name, timeout: timeout}
	for p, n := range connections {
		c.transports[p] = &http.Transport{MaxConnsPerHost: n, MaxIdleConnsPerHost: n}
	}
	return c
}

func (c *client) close() {
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// do makes one call. A call without a complete answer has the outcome unknown.
func (c *client) do(ctx context.Context, x call) result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r := result{call: x, outcome: types.OutcomeUnknown.String(), code: codeNoAnswer, sent: time.Now()}
	response, body, err := c.exchange(ctx, x)
	r.ended = time.Now()
	if err != nil {
		return r
	}
	r.code = ""
	r.servedBy = response.Header.Get(headerServedBy)
	r.outcome = outcomeOf(x.path, response)
	if r.outcome != types.OutcomeDone.String() {
		r.code = errorCode(body)
	}
	return r
}

// exchange sends the request of a call and reads the whole answer.
func (c *client) exchange(ctx context.Context, x call) (*http.Response, []byte, error) {
	request, err := c.request(ctx, x)
	if err != nil {
		return nil, nil, err
	}
	response, err := c.transports[x.path].RoundTrip(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// request builds the HTTP request of a call. It sets Body without GetBody, so that net/http never sends the request
// twice.
func (c *client) request(ctx context.Context, x call) (*http.Request, error) {
	method, body := http.MethodGet, []byte(nil)
	if !x.class.Idempotent() {
		method, body = http.MethodPost, []byte(`{"note":"`+x.id+`"}`)
	}
	url := "http://" + x.address + "/v1/" + string(x.service) + "/" + x.key
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	if x.path == PathDirect {
		r.Header.Set(target.HeaderRequestID, x.id)
		r.Header.Set(target.HeaderKey, x.key)
		return r, nil
	}
	r.Header.Set(headerCaller, c.name)
	if !x.class.Idempotent() {
		r.Header.Set(headerIdempotencyKey, x.id)
		r.Header.Set(headerRequestTime, time.Now().Format(time.RFC3339Nano))
	}
	return r, nil
}

// outcomeOf returns the outcome that a gateway reports, or derives it from the answer of a target called directly.
func outcomeOf(p Path, r *http.Response) string {
	switch {
	case p == PathGateway:
		return r.Header.Get(headerOutcome)
	case r.StatusCode == http.StatusOK:
		return types.OutcomeDone.String()
	case r.Header.Get(target.HeaderNotRun) == "true":
		return types.OutcomeNotRun.String()
	}
	return types.OutcomeUnknown.String()
}

// errorCode returns the code in the body of a failure, or codeNoAnswer if the body cannot be decoded.
func errorCode(body []byte) string {
	var failure struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &failure) != nil {
		return codeNoAnswer
	}
	return failure.Code
}
