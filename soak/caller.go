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
	// patience is how long a caller waits for an answer.
	patience = 1500 * time.Millisecond
	// longestPause is the longest time between two requests of a caller.
	longestPause = 120 * time.Millisecond
	// leaveChance is the chance that a caller leaves its connection after an answer.
	leaveChance = 0.03
	// hotKeys and hotShare are the number of busy keys and the share of requests for them.
	hotKeys  = 8
	hotShare = 0.3
)

// caller sends one request after the other and keeps its connection while it can.
type caller struct {
	name   string
	routes []standin.Route
	// doors are the addresses of the VMs' links.
	doors []string
	// rotation holds a bit for each VM that takes new connections.
	rotation *atomic.Uint64
	events   *ring.Ring[any]
	random   *rand.Rand
	sent     int

	vm     int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) duty() duty.Duty { return duty.Duty{Name: "caller-" + c.name, Run: c.run} }

func (c *caller) run(ctx context.Context) error {
	defer c.leave()
	for ctx.Err() == nil {
		if c.conn != nil || c.connect(ctx) {
			c.send(ctx)
		}
		duty.Pause(ctx, time.Duration(c.random.Int64N(int64(longestPause))))
	}
	return nil
}

// connect chooses a VM among those that take connections, or any if there is none.
func (c *caller) connect(ctx context.Context) bool {
	var open []int
	mask := c.rotation.Load()
	for i := range c.doors {
		if mask&(1<<i) != 0 {
			open = append(open, i)
		}
	}
	c.vm = c.random.IntN(len(c.doors))
	if len(open) > 0 {
		c.vm = open[c.random.IntN(len(open))]
	}
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.doors[c.vm])
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) leave() {
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
		ID: id, Host: r.Host, URI: r.Prefix + strconv.Itoa(c.sent) + "?q=" + c.name, Timeout: patience, Method: http.MethodGet,
		Key: uint16(c.random.IntN(1 << 16)),
	}
	if c.random.Float64() < hotShare {
		call.Key = uint16(c.random.IntN(hotKeys))
	}
	if !r.Idempotent {
		call.Method, call.Body = http.MethodPost, "body of "+string(id)
	}
	now := time.Now()
	_ = c.events.Put(ctx, check.Sent{
		ID: id, VM: c.vm, Method: call.Method, URI: call.URI, Body: call.Body, Route: r.Name, Idempotent: r.Idempotent, At: now,
	})
	got := c.exchange(call, now.Add(patience+time.Second))
	if ctx.Err() != nil {
		return
	}
	_ = c.events.Put(ctx, got)
	if got.Closed || c.random.Float64() < leaveChance {
		c.leave()
	}
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(call standin.CallerRequest, deadline time.Time) check.Got {
	got := check.Got{ID: call.ID, Closed: true}
	_ = c.conn.SetDeadline(deadline)
	res, body, err := c.converse(call)
	got.At = time.Now()
	if err != nil {
		return got
	}
	got.Closed, got.Status, got.Body, got.Signature = false, res.StatusCode, string(body), standin.ResponseSignature(res.Header)
	if res.Close {
		c.leave()
	}
	return got
}

func (c *caller) converse(call standin.CallerRequest) (*http.Response, []byte, error) {
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
