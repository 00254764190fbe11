package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/types"
)

const (
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 1500 * time.Millisecond
	// patientRequestTimeout is the same in runs with planned work alone.
	patientRequestTimeout = 3 * time.Second
	// maxThinkTime is the longest pause between two requests of a caller, longThinkTime that of callers whose connections are
	// mostly idle.
	maxThinkTime  = 120 * time.Millisecond
	longThinkTime = 5 * time.Second
	// disconnectChance is the probability that a caller closes its connection after an answer.
	disconnectChance = 0.03
	// hotKeys is the number of hot keys, hotShare the share of the requests that use one of them.
	hotKeys  = 8
	hotShare = 0.3
)

// caller sends one request at a time and reuses its connection as long as it stays open.
type caller struct {
	name   string
	routes []standin.Route
	// callerLinks holds the addresses of the links to the VMs, by VM index.
	callerLinks []string
	// rotation is a bit mask: bit i is set while VM i receives new connections.
	rotation *atomic.Uint64
	events   *ring.Ring[any]
	random   *rand.Rand
	// timeout is how long the caller waits for an answer, maxThinkTime its longest pause between two requests.
	timeout, maxThinkTime time.Duration
	// sent counts the requests and numbers them.
	sent int

	// vm is the index of the VM that conn leads to.
	vm     int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) duty() duty.Duty { return duty.Duty{Name: "caller-" + c.name, Run: c.run} }

func (c *caller) run(ctx context.Context) error {
	defer c.disconnect()
	// A VM that has not started yet closes connections without an answer.
	for c.rotation.Load() == 0 && duty.Pause(ctx, readyInterval/10) {
	}
	for ctx.Err() == nil {
		if c.conn != nil || c.connect(ctx) {
			c.send(ctx)
		}
		duty.Pause(ctx, time.Duration(c.random.Int64N(int64(c.maxThinkTime))))
	}
	return nil
}

// connect connects to a random VM in rotation, or to any VM if none is in rotation.
func (c *caller) connect(ctx context.Context) bool {
	var candidates []int
	mask := c.rotation.Load()
	for i := range c.callerLinks {
		if mask&(1<<i) != 0 {
			candidates = append(candidates, i)
		}
	}
	c.vm = c.random.IntN(len(c.callerLinks))
	if len(candidates) > 0 {
		c.vm = candidates[c.random.IntN(len(candidates))]
	}
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.callerLinks[c.vm])
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) send(ctx context.Context) {
	r := c.routes[c.random.IntN(len(c.routes))]
	c.sent++
	id := types.RequestID(fmt.Sprintf("%s-%d", c.name, c.sent))
	call := standin.CallerRequest{
		ID: id, Host: r.Host, URI: r.Prefix + strconv.Itoa(c.sent) + "?q=" + c.name, Timeout: c.timeout, Method: http.MethodGet,
		Key: uint16(c.random.IntN(1 << 16)),
	}
	if c.random.Float64() < hotShare {
		call.Key = uint16(c.random.IntN(hotKeys))
	}
	if !r.Idempotent {
		call.Method, call.Body = http.MethodPost, "body of "+string(id)
	}
	now := time.Now()
	_ = c.events.Put(ctx, check.RequestSent{
		ID: id, VM: c.vm, Method: call.Method, URI: call.URI, Body: call.Body, Route: r.Name, Idempotent: r.Idempotent, At: now,
	})
	ended := c.exchange(call, now.Add(c.timeout+time.Second))
	if ctx.Err() != nil {
		return
	}
	_ = c.events.Put(ctx, ended)
	if ended.Closed || c.random.Float64() < disconnectChance {
		c.disconnect()
	}
}

// exchange sends a request, reads its answer and returns how the request ended.
func (c *caller) exchange(call standin.CallerRequest, deadline time.Time) check.RequestEnded {
	ended := check.RequestEnded{ID: call.ID, Closed: true}
	_ = c.conn.SetDeadline(deadline)
	res, body, err := c.roundTrip(call)
	ended.At = time.Now()
	if err != nil {
		return ended
	}
	ended.Closed, ended.Status, ended.Body, ended.Signature = false, res.StatusCode, string(body), standin.ResponseSignature(res.Header)
	if res.Close {
		c.disconnect()
	}
	return ended
}

func (c *caller) roundTrip(call standin.CallerRequest) (*http.Response, []byte, error) {
	if err := call.Write(c.conn); err != nil {
		return nil, nil, err
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}
