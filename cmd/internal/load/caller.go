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

// Headers of the callers' interface.
const (
	headerOutcome        = "Sail-Outcome"
	headerServedBy       = "Sail-Target"
	headerCaller         = "Sail-Caller"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTime    = "Request-Time"
)

// codeNoAnswer stands for calls that got no whole answer.
const codeNoAnswer = "no-answer"

// result is what came of a call.
type result struct {
	call    call
	outcome string
	code    string
	// servedBy names the target that answered through a gateway.
	servedBy string
	sent     time.Time
	ended    time.Time
}

// caller makes calls over a bounded number of connections to each address.
type caller struct {
	name       string
	timeout    time.Duration
	transports [pathCount]*http.Transport
}

// newCaller returns a caller that opens up to connections to each address of a path.
func newCaller(name string, connections [pathCount]int, timeout time.Duration) *caller {
	c := &caller{name: name, timeout: timeout}
	for p, n := range connections {
		c.transports[p] = &http.Transport{MaxConnsPerHost: n, MaxIdleConnsPerHost: n}
	}
	return c
}

func (c *caller) close() {
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

func (c *caller) do(ctx context.Context, x call) result {
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
		r.code = codeOf(body)
	}
	return r
}

func (c *caller) exchange(ctx context.Context, x call) (*http.Response, []byte, error) {
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

// request has a body and no GetBody, so that net/http never sends it twice.
func (c *caller) request(ctx context.Context, x call) (*http.Request, error) {
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

// outcomeOf reads the gateway's outcome, or derives it from a target's own answer.
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

func codeOf(body []byte) string {
	var failure struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &failure) != nil {
		return codeNoAnswer
	}
	return failure.Code
}
