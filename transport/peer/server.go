package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/types"
)

// closeDelay is the time that net/rpc gets to write the last replies before connections are closed.
const closeDelay = 100 * time.Millisecond

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

	address      string
	rpc          *rpc.Server
	wrapListener func(net.Listener) net.Listener
	listener     *trackingListener
}

// NewServer returns a server for address, which is host:port.
func NewServer(address string) *Server {
	return &Server{Listen: ListenTCP, address: address, rpc: rpc.NewServer(), wrapListener: unwrapped}
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
	s.listener = &trackingListener{Listener: s.wrapListener(l)}
	return nil
}

// run serves until the listener is closed. When ctx ends it closes the connections without the delay of stop.
func (s *Server) run(ctx context.Context) error {
	detach := context.AfterFunc(ctx, func() {
		_ = s.listener.Close()
		s.listener.closeConnections()
	})
	defer detach()
	s.rpc.Accept(s.listener)
	return nil
}

func (s *Server) stop(ctx context.Context) error {
	_ = s.listener.Close()
	linger := time.NewTimer(closeDelay)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	s.listener.closeConnections()
	return nil
}

// trackingListener tracks its open connections so that stop can close them.
type trackingListener struct {
	net.Listener
	open sync.Map
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, open: &l.open}
	l.open.Store(tracked, struct{}{})
	return tracked, nil
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
	open *sync.Map
}

func (c *trackedConn) Close() error {
	c.open.Delete(c)
	return c.Conn.Close()
}
