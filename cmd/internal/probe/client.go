package probe

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// callTimeout bounds each HTTP request of this package.
const callTimeout = 5 * time.Second

// job is one request to make.
type job struct {
	gateway string
	service types.Service
	key     string
	write   bool   // POST instead of GET
	id      string // request identifier
}

// result is the outcome of a job.
type result struct {
	job     job
	outcome string
	code    string // error code; empty when the request was done
	target  string // the target that answered
	// mismatch says how an answer with the outcome done contradicts the request. It is empty for a correct answer.
	mismatch string
	at       time.Time // end of the request
	latency  time.Duration
}

// keyState is the part of the answer of a stand-in target that identifies the request.
type keyState struct {
	Key        string `json:"key"`
	LastWriter string `json:"lastWriter"`
}

// failureBody is the body of an answer to a request that was not done.
type failureBody struct {
	Code string `json:"code"`
}

// gatewayClient sends requests to gateways.
type gatewayClient struct {
	client *http.Client
}

// newGatewayClient returns a client that opens at most that many connections to each gateway.
func newGatewayClient(connections int) *gatewayClient {
	return &gatewayClient{client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections},
	}}
}

func (c *gatewayClient) close() { c.client.CloseIdleConnections() }

// call makes one request. A request without a complete answer has the outcome unknown.
func (c *gatewayClient) call(ctx context.Context, j job) (r result) {
	started := time.Now()
	r = result{job: j, outcome: types.OutcomeUnknown.String()}
	defer func() {
		r.at = time.Now()
		r.latency = r.at.Sub(started)
	}()
	response, err := c.send(ctx, j)
	if err != nil {
		r.code = "no-answer"
		return r
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.code = "cut-answer"
		return r
	}
	r.outcome = response.Header.Get("Sail-Outcome")
	r.target = response.Header.Get("Sail-Target")
	r.checkAnswer(body)
	return r
}

// send sends the request of a job and returns the answer with its body unread.
func (c *gatewayClient) send(ctx context.Context, j job) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/v1/%s/%s", j.gateway, j.service, j.key)
	method, body := http.MethodGet, []byte(nil)
	if j.write {
		method, body = http.MethodPost, []byte(`{"note":"`+j.id+`"}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "build request")
	}
	request.Header.Set("Sail-Caller", "probe")
	if j.write {
		request.Header.Set("Idempotency-Key", j.id)
		request.Header.Set("Request-Time", time.Now().Format(time.RFC3339Nano))
	}
	return c.client.Do(request)
}

// checkAnswer compares the answer with the request. If the request was not done, it reads the code of the failure.
func (r *result) checkAnswer(body []byte) {
	if r.outcome != types.OutcomeDone.String() {
		var failure failureBody
		_ = json.Unmarshal(body, &failure)
		r.code = failure.Code
		return
	}
	var state keyState
	switch err := json.Unmarshal(body, &state); {
	case err != nil:
		r.mismatch = "the answer cannot be decoded"
	case state.Key != r.job.key:
		r.mismatch = "answer for key " + state.Key
	case r.job.write && state.LastWriter != r.job.id:
		r.mismatch = "answer for request " + state.LastWriter
	}
}

// decodeConfiguration parses a configuration in the form that sailctl generate prints. It sets a version, which a
// configuration gets only when it is applied.
func decodeConfiguration(data []byte) (config.Configuration, error) {
	var c config.Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return c, types.WrapFault(types.CodeBadConfiguration, err, "decode configuration")
	}
	c.Version = max(c.Version, 1)
	return config.Parse(config.Canonical(c))
}
