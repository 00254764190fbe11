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

// callTimeout bounds one request of the probe.
const callTimeout = 5 * time.Second

// job is one request to make.
type job struct {
	gateway string
	service types.Service
	key     string
	write   bool
	id      string
}

// report is what came of a job.
type report struct {
	job     job
	outcome string
	code    string
	target  string
	// wrong is set when the answer does not belong to the request.
	wrong   string
	at      time.Time
	latency time.Duration
}

// keyState is the part of a stand-in target's answer that names the request.
type keyState struct {
	Key        string `json:"key"`
	LastWriter string `json:"lastWriter"`
}

type failureBody struct {
	Code string `json:"code"`
}

type caller struct {
	client *http.Client
}

func newCaller(connections int) *caller {
	return &caller{client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections},
	}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// call makes one request. A request that got no answer at all counts as unknown.
func (c *caller) call(ctx context.Context, j job) (r report) {
	started := time.Now()
	r = report{job: j, outcome: types.OutcomeUnknown.String()}
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
	r.check(body)
	return r
}

func (c *caller) send(ctx context.Context, j job) (*http.Response, error) {
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

// check compares a target's answer with the request.
func (r *report) check(body []byte) {
	if r.outcome != types.OutcomeDone.String() {
		var failure failureBody
		_ = json.Unmarshal(body, &failure)
		r.code = failure.Code
		return
	}
	var state keyState
	switch err := json.Unmarshal(body, &state); {
	case err != nil:
		r.wrong = "the answer is not whole"
	case state.Key != r.job.key:
		r.wrong = "answer for key " + state.Key
	case r.job.write && state.LastWriter != r.job.id:
		r.wrong = "answer for request " + state.LastWriter
	}
}

// loadConfiguration parses a configuration as sailctl generate prints it. It has no version until it is applied.
func loadConfiguration(data []byte) (config.Configuration, error) {
	var c config.Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return c, types.WrapFault(types.CodeBadConfiguration, err, "decode configuration")
	}
	c.Version = max(c.Version, 1)
	return config.Parse(config.Canonical(c))
}
