package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/types"
)

// replyTimeout bounds the wait of a stop for the replies of running calls. It leaves time to close the connections within
// duty.DefaultStopTimeout.
const replyTimeout = duty.DefaultStopTimeout - 500*time.Millisecond

// minSilentAge is how long a connection may have been open without a reply before it may be closed to make room for another one.
// A peer sends its first call as soon as it is connected.
const minSilentAge = 100 * time.Millisecond

// expired is a deadline in the past, which ends a pending read.
var expired = time.Unix(1, 0)

// Listen is a function that opens a listener on address, which is host:port.
type Listen func(ctx context.Context, address string) (net.Listener, error)

// ListenTCP opens a TCP listener.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Server serves net/rpc calls from peers.
type Server struct {
	// Listen opens the listener. The default is ListenTCP.
	Listen Listen
	// MaxConnections is the number of connections that may be open, 0 for no limit. A full server closes the connection that has
	// been open for longest without a reply, or else the new one.
	MaxConnections int

	address      string
	rpc          *rpc.Server
	wrapListener func(net.Listener) net.Listener
	listener     *trackingListener
}

// NewServer returns a server for address, which is host:port.
func NewServer(address string) *Server {
	return &Server{
		Listen: ListenTCP, address: address, rpc: rpc.NewServer(), wrapListener: unwrapped,
		listener: &trackingListener{removed: make(chan struct{}, 1)},
	}
}

func unwrapped(l net.Listener) net.Listener { return l }

// WrapListener sets a function that wraps the listener, for example with TLS. Without it connections are plain TCP. It
// must be called before Provision.
func (s *Server) WrapListener(wrap func(net.Listener) net.Listener) { s.wrapListener = wrap }

// Register exposes the methods of service under name.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return types.WrapFault(types.CodeInternal, err, "register %s", name)
	}
	return nil
}

// Address returns the address that the server listens on. It is valid after Provision.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.listener.count.Load()) }

// Evictions returns the number of connections that were closed because there were too many.
func (s *Server) Evictions() uint64 { return s.listener.evictions.Load() }

// Duty returns the duty that accepts connections.
func (s *Server) Duty() duty.Duty {
	return duty.Duty{
		Name:      "peer-server",
		Provision: s.provision,
		Run:       s.run,
		Stop:      s.stop,
	}
}

func (s *Server) provision(ctx context.Context) error {
	l, err := s.Listen(ctx, s.address)
	if err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "listen on %s", s.address)
	}
	s.listener.Listener, s.listener.limit = s.wrapListener(l), s.MaxConnections
	return nil
}

// run serves until the listener is closed. When ctx ends it closes the connections without waiting for replies.
func (s *Server) run(ctx context.Context) error {
	detach := context.AfterFunc(ctx, func() {
		_ = s.listener.Close()
		s.listener.closeConnections()
	})
	defer detach()
	s.rpc.Accept(s.listener)
	return nil
}

// stop closes the listener, reads no further calls and waits until the replies of those that were read have been written:
// net/rpc then closes the connection.
func (s *Server) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	_ = s.listener.Close()
	s.listener.endReading()
	s.listener.waitClosed(ctx)
	s.listener.closeConnections()
	return nil
}

// trackingListener tracks its open connections, so that stop can end and close them.
type trackingListener struct {
	net.Listener
	// limit is the number of connections that may be open, 0 for no limit.
	limit     int
	open      sync.Map
	count     atomic.Int64
	evictions atomic.Uint64
	// removed holds a wake-up for waitClosed.
	removed chan struct{}
	// stopping is true once endReading has been called.
	stopping atomic.Bool
}

func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limit == 0 || l.count.Load() < int64(l.limit) || l.evictSilent() {
			return l.track(conn), nil
		}
		l.evictions.Add(1)
		_ = conn.Close()
	}
}

// evictSilent closes the connection that has been open for longest without a reply. It returns false if there is none.
func (l *trackingListener) evictSilent() bool {
	var oldest *trackedConn
	l.open.Range(func(k, _ any) bool {
		c := k.(*trackedConn)
		if !c.replied.Load() && time.Since(c.accepted) > minSilentAge && (oldest == nil || c.accepted.Before(oldest.accepted)) {
			oldest = c
		}
		return true
	})
	if oldest == nil {
		return false
	}
	l.evictions.Add(1)
	_ = oldest.Close()
	return true
}

func (l *trackingListener) track(conn net.Conn) *trackedConn {
	tracked := &trackedConn{Conn: conn, listener: l, accepted: time.Now()}
	l.count.Add(1)
	l.open.Store(tracked, struct{}{})
	if l.stopping.Load() {
		_ = tracked.SetReadDeadline(expired)
	}
	return tracked
}

// endReading makes all connections read nothing more.
func (l *trackingListener) endReading() {
	l.stopping.Store(true)
	l.open.Range(func(conn, _ any) bool {
		_ = conn.(*trackedConn).SetReadDeadline(expired)
		return true
	})
}

// waitClosed waits until no connection is open or ctx ends.
func (l *trackingListener) waitClosed(ctx context.Context) {
	for l.count.Load() > 0 {
		select {
		case <-l.removed:
		case <-ctx.Done():
			return
		}
	}
}

func (l *trackingListener) closeConnections() {
	l.open.Range(func(conn, _ any) bool {
		_ = conn.(*trackedConn).Close()
		return true
	})
}

// trackedConn removes itself from the open connections of its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
	accepted time.Time
	// replied is true once a reply has been written.
	replied atomic.Bool
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.replied.Store(true)
	return c.Conn.Write(p)
}

func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	if _, open := c.listener.open.LoadAndDelete(c); open {
		c.listener.count.Add(-1)
		select {
		case c.listener.removed <- struct{}{}:
		default:
		}
	}
	return err
}
