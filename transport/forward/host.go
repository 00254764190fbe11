package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Times of connections.
const (
	// DefaultDialTimeout is many round trips between data centres, and less than the resend of a lost SYN packet.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is reused when the target states no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off a stated time, because the target's clock started earlier.
	idleMargin = 700 * time.Millisecond
)

// Options describes the connections to a Host.
type Options struct {
	// Address is host:port.
	Address string
	// IDHeader names the header that a target repeats in its answer.
	IDHeader string
	// MaxIdle is the number of idle connections kept.
	MaxIdle int
	// Idle is how long a connection is reused when the target states no time. Default 4 s.
	Idle time.Duration
	// Continuous hosts open another connection at once when the target closes one after an answer. It counts as the same
	// connection: a target can't end and start again in between.
	Continuous bool
	// DialTimeout bounds the opening of a connection. Default DefaultDialTimeout.
	DialTimeout time.Duration
}

// Host is one address that requests are sent to.
type Host struct {
	options Options
	idle    *ring.Ring[*conn]
	opened  atomic.Uint64
	// stated is the last idle time that the target stated, in nanoseconds.
	stated atomic.Int64
}

// serials numbers the connections of the process, so that a connection can be told from any other.
var serials atomic.Uint64

type conn struct {
	net.Conn
	serial uint64
	reader *bufio.Reader
	// expires is when the connection must not be used any more.
	expires time.Time
	// used is true once the connection has carried an exchange.
	used bool
}

// reset ends a connection whose exchange has failed. Bytes that are still held up on the way are lost with it: a grant that
// has been given up must not be delivered seconds later.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// NewHost returns a host without connections.
func NewHost(o Options) *Host {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Idle == 0 {
		o.Idle = defaultIdle
	}
	return &Host{options: o, idle: ring.New[*conn](max(o.MaxIdle, 1))}
}

// Opened returns the number of connections opened so far.
func (h *Host) Opened() uint64 { return h.opened.Load() }

// CloseIdle closes the connections that no exchange uses.
func (h *Host) CloseIdle() { h.idle.Drain(func(c *conn) { _ = c.Close() }) }

// Close closes the idle connections; those in use close after their exchange.
func (h *Host) Close() {
	h.idle.Close()
	h.CloseIdle()
}

// take returns an idle connection that is still sound, or a new one. With a serial only that connection will do, and
// ErrReconnect is returned when it is gone.
func (h *Host) take(ctx context.Context, serial uint64) (*conn, error) {
	for {
		c, ok := h.idle.TryGet()
		if !ok && serial != 0 {
			return nil, ErrReconnect
		}
		if !ok {
			return h.dial(ctx)
		}
		if time.Now().Before(c.expires) && quiet(c) && (serial == 0 || c.serial == serial) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (h *Host) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: h.options.DialTimeout}
	n, err := d.DialContext(ctx, "tcp", h.options.Address)
	if err != nil {
		return nil, err
	}
	h.opened.Add(1)
	return &conn{Conn: n, serial: serials.Add(1), reader: bufio.NewReader(n)}, nil
}

// put keeps a connection for the next exchange. It is closed when there are enough.
func (h *Host) put(c *conn, idle time.Duration) {
	c.used = true
	// A deadline that has passed would make the connection look broken.
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(idle)
	if h.idle.TryPut(c) != nil {
		_ = c.Close()
	}
}

// quiet reports whether an idle connection is open and the target has sent nothing on it. Anything that it sent belongs
// to an earlier request.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Error is the failure of an exchange.
type Error struct {
	// Written is true when a byte of the request may have reached the target.
	Written bool
	// Refused is true when nothing listens at the address.
	Refused bool
	// Reused is true when the exchange failed on a connection that had carried another one before.
	Reused bool
	// TimedOut is true when the deadline passed.
	TimedOut bool
	Cause    error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Faults that an exchange can end with besides those of the network.
var (
	errTooLong = types.NewFault(types.CodeBodyTooLarge, "answer is too long")
	// ErrReconnect is the cause when a request needs a connection that is gone. Nothing was sent.
	ErrReconnect = types.NewFault(types.CodePeerUnavailable, "the connection is gone")

	errForeign = types.NewFault(types.CodeTargetFailed, "answer belongs to another request")
)
