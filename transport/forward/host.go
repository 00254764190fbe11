package forward

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Timeouts of connections.
const (
	// DefaultDialTimeout is many round trips between data centres, and less than the retransmission time of a lost SYN
	// packet.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the idle timeout when the target sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the target's Keep-Alive timeout, because the target starts its timer earlier.
	idleTimeoutMargin = 700 * time.Millisecond
)

// Options configures a Host.
type Options struct {
	// Address is host:port.
	Address string
	// IDHeader is the name of the ID header, which a target copies from the request to the response.
	IDHeader string
	// IDOptional allows a target that does not echo IDs at all: the first response on a new connection may lack the ID,
	// and then also later ones with status 200.
	IDOptional bool
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// IdleTimeout is the idle timeout when the target sends no Keep-Alive timeout. The default is 4 s.
	IdleTimeout time.Duration
	// ReopenOnClose opens a new connection at once when the target closes one after a response. It gets the same ID as
	// the closed one: the target cannot have restarted in between.
	ReopenOnClose bool
	// DialTimeout bounds the opening of a connection. The default is DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxResponseBytes bounds the body of a response that declares its length, in bytes. The default is DefaultMaxResponseBytes,
	// which bounds all other bodies too.
	MaxResponseBytes int64
	// Budget bounds the bodies that are being read at all hosts that share it, and those of answers that are not released. There
	// is no bound without one.
	Budget *Budget
	// Idle bounds the number of idle connections of all hosts that share it. There is no bound without one.
	Idle *Budget
}

// DefaultMaxResponseBytes bounds the body of a response, in bytes.
const DefaultMaxResponseBytes = 4 << 20

// Host is one target address with its pool of idle connections.
type Host struct {
	options Options
	idle    *ring.Ring[*conn]
	opened  atomic.Uint64
	// targetIdleTimeout is the idle timeout of the last connection that was kept after an exchange, in nanoseconds. It is
	// used for connections that replace closed ones.
	targetIdleTimeout atomic.Int64
	// omitsID is true when the first response on the last new connection had no ID.
	omitsID atomic.Bool
}

// lastConnectionID is the ID of the newest connection. IDs are unique in the process.
var lastConnectionID atomic.Uint64

// conn is one connection to the target.
type conn struct {
	net.Conn
	id     uint64
	reader *bufio.Reader
	// expires is the end of the idle timeout, after which the connection must not be reused.
	expires time.Time
	// used is true once the connection has carried an exchange.
	used bool
	// refused holds the hashes of the request IDs that were answered with another status than success. Such a request
	// may be sent again under its ID. On the same connection, a repeat of the first response could not be told from the
	// response to the second attempt.
	refused []uint64
}

// maxRefused is the number of entries of conn.refused at which a connection is closed.
const maxRefused = 32

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

// recordRefusal notes that the request with the given ID was not answered with success.
func (c *conn) recordRefusal(id string) { c.refused = append(c.refused, maphash.String(idSeed, id)) }

// hasRefused reports whether a request with the given ID was refused on this connection.
func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, maphash.String(idSeed, id))
}

// reset closes a connection whose exchange has failed with a TCP RST. This discards bytes that are not delivered yet: a
// grant whose call was abandoned must not arrive seconds later.
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
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Host{options: o, idle: ring.New[*conn](max(o.MaxIdle, 1))}
}

// Opened returns the number of connections opened so far.
func (h *Host) Opened() uint64 { return h.opened.Load() }

// OmitsID reports whether the target is known not to echo IDs. It is always false without Options.IDOptional.
func (h *Host) OmitsID() bool { return h.omitsID.Load() }

// CloseIdle closes the idle connections.
func (h *Host) CloseIdle() {
	h.idle.Drain(func(c *conn) {
		h.options.Idle.GiveBack(1)
		_ = c.Close()
	})
}

// Close closes the idle connections; those in use are closed after their exchange.
func (h *Host) Close() {
	h.idle.Close()
	h.CloseIdle()
}

// acquire returns a usable idle connection for r or a new one. A request without an ID gets a new one. If r is bound to a
// connection, acquire returns only that one, or ErrReconnect when that one is closed.
func (h *Host) acquire(ctx context.Context, r Request) (*conn, error) {
	if r.ID == "" && r.Connection == 0 {
		return h.dial(ctx)
	}
	for {
		c, ok := h.idle.TryGet()
		if !ok && r.Connection != 0 {
			return nil, ErrReconnect
		}
		if !ok {
			return h.dial(ctx)
		}
		h.options.Idle.GiveBack(1)
		if r.mayUse(c) && time.Now().Before(c.expires) && openAndEmpty(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

// mayUse reports whether r may be sent over the idle connection c.
func (r Request) mayUse(c *conn) bool {
	return (r.Connection == 0 || c.id == r.Connection) && !c.hasRefused(r.ID)
}

func (h *Host) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: h.options.DialTimeout}
	n, err := d.DialContext(ctx, "tcp", h.options.Address)
	if err != nil {
		return nil, err
	}
	h.opened.Add(1)
	return newConn(n), nil
}

func newConn(n net.Conn) *conn {
	return &conn{Conn: n, id: lastConnectionID.Add(1), reader: bufio.NewReaderSize(n, maxHeadBytes)}
}

// release makes a connection available for the next exchange. It closes the connection when MaxIdle is reached.
func (h *Host) release(c *conn, idle time.Duration) {
	// A deadline in the past would make the check of openAndEmpty fail.
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(idle)
	if !h.options.Idle.Take(1) {
		_ = c.Close()
		return
	}
	if h.idle.TryPut(c) != nil {
		h.options.Idle.GiveBack(1)
		_ = c.Close()
	}
}

// openAndEmpty reports whether an idle connection is open and has no unread bytes. Unread bytes belong to an earlier
// request.
func openAndEmpty(c *conn) bool {
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
	// Refused is true when the connection was refused (ECONNREFUSED).
	Refused bool
	// Reused is true when the exchange failed on a connection that had carried an earlier one.
	Reused bool
	// TimedOut is true when the deadline passed.
	TimedOut bool
	Cause    error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Causes of an Error other than network errors.
var (
	errResponseTooLong = types.NewFault(types.CodeBodyTooLarge, "answer is too long")
	errHeadTooLong     = types.NewFault(types.CodeBodyTooLarge, "head of the answer is too long")
	errBudgetExceeded  = types.NewFault(types.CodeBodyTooLarge, "no memory left for the answer beside other long answers")
	// ErrReconnect is the cause when Request.Connection names a connection that is closed. Nothing was sent.
	ErrReconnect = types.NewFault(types.CodePeerUnavailable, "the connection is gone")

	// errInvalidStatus is the cause when a status is below 100, or announces another protocol, which no request asks for.
	errInvalidStatus      = types.NewFault(types.CodeTargetFailed, "invalid status")
	errNoResponse         = types.NewFault(types.CodeTargetFailed, "answer is not HTTP/1")
	errMismatchedResponse = types.NewFault(types.CodeTargetFailed, "answer belongs to another request")
	errTooManyResponses   = types.NewFault(types.CodeTargetFailed, "too many answers that do not belong to the request")
	errSplicedHead        = types.NewFault(types.CodeTargetFailed, "answer contains the start of another one")
)
