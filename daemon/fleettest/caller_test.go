package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/types"
)

// requestTimeout is longer than the configured deadline for answers, so that the gateway answers before the client gives up.
const requestTimeout = 2 * lateAfterMs * time.Millisecond

// caller is an HTTP client that sends requests to gateways.
type caller struct{ client *http.Client }

func newCaller() *caller {
	const connections = 16
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return &caller{client: &http.Client{Timeout: requestTimeout, Transport: transport}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// job describes a request: a lookup, or an order if it has an identifier.
type job struct {
	service types.Service
	key     string
	// id is the idempotency key of an order. It is empty for a lookup.
	id string
	// createdAt is when the caller created the request.
	createdAt time.Time
}

// reply is the result of a request.
type reply struct {
	job job
	// outcome is the outcome that the gateway returned. A request without an answer has the outcome unknown.
	outcome string
	// code is the fault code of a request that was not done. It is no-answer when the call failed, and cut-answer when the
	// body could not be read completely.
	code string
	// replayed is true when the answer is that of an earlier request with the same identifier.
	replayed bool
	body     []byte
	// state is decoded from the body of a request that was done.
	state standintarget.KeyState
}

func (r reply) done() bool { return r.outcome == types.OutcomeDone.String() }

func (r reply) notRun() bool { return r.outcome == types.OutcomeNotRun.String() }

// call sends j to the gateway of v.
func (c *caller) call(ctx context.Context, v *vm, j job) reply {
	r := reply{job: j, outcome: types.OutcomeUnknown.String()}
	response, err := c.client.Do(c.request(ctx, v, j))
	if err != nil {
		r.code = "no-answer"
		return r
	}
	defer response.Body.Close()
	if r.body, err = io.ReadAll(response.Body); err != nil {
		r.code = "cut-answer"
		return r
	}
	r.outcome = response.Header.Get("Sail-Outcome")
	r.replayed = response.Header.Get("Sail-Replayed") != ""
	if r.done() {
		_ = json.Unmarshal(r.body, &r.state)
		return r
	}
	var failure struct{ Code string }
	_ = json.Unmarshal(r.body, &failure)
	r.code = failure.Code
	return r
}

func (c *caller) request(ctx context.Context, v *vm, j job) *http.Request {
	method, body := http.MethodGet, []byte(nil)
	if j.id != "" {
		method, body = http.MethodPost, []byte(`{"note":"`+j.key+`"}`)
	}
	url := "http://" + v.callerAddress + "/v1/" + string(j.service) + "/" + j.key
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Sail-Caller", "fleettest")
	if j.id != "" {
		request.Header.Set("Idempotency-Key", j.id)
		request.Header.Set("Request-Time", j.createdAt.Format(time.RFC3339Nano))
	}
	return request
}

// getJSON decodes the answer to a GET request into v.
func (c *caller) getJSON(ctx context.Context, url string, v any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return c.doJSON(request, v)
}

// postJSON posts the JSON encoding of v.
func (c *caller) postJSON(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return c.doJSON(request, &struct{}{})
}

// doJSON sends a request and decodes its answer into v. It returns an error unless the status is 200.
func (c *caller) doJSON(request *http.Request, v any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return types.NewFault(types.CodeInternal, "%s answers %s", request.URL, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(v)
}
