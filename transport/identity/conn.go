package identity

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"sequoiasail.example/types"
)

// handshakeTimeout bounds a handshake on both sides. A link allows less.
const handshakeTimeout = 2 * time.Second

// acceptedByte is sent by a peer listener after it has verified the client. In TLS 1.3 the client's handshake ends
// before the server has looked at the client's certificate, so without this byte a refused client would already have
// written a call and could not tell that it was not run.
const acceptedByte = 1

// Dial opens a connection.
type Dial = func(ctx context.Context) (net.Conn, error)

// Dial returns a Dial that secures what dial opens, to a peer listener of vm. An empty vm accepts any process.
func (s *Source) Dial(dial Dial, vm types.VM) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context) (net.Conn, error) { return s.connect(ctx, dial, vm, awaitAccepted) }
}

// DialPage is Dial for a page listener.
func (s *Source) DialPage(dial Dial, vm types.VM) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context) (net.Conn, error) {
		return s.connect(ctx, dial, vm, func(net.Conn) error { return nil })
	}
}

// PeerListener secures the connections of l for net/rpc. Only processes are accepted.
func (s *Source) PeerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return &listener{Listener: l, source: s, config: s.ServerConfig(true), greet: sendAccepted}
}

// PageListener secures the connections of l for HTTP/1.1. Processes and operators are accepted.
func (s *Source) PageListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return &listener{Listener: l, source: s, config: s.ServerConfig(false), greet: func(net.Conn) error { return nil }}
}

// connect opens a connection and runs the handshake. after is the last step of it.
func (s *Source) connect(ctx context.Context, dial Dial, vm types.VM, after func(net.Conn) error) (net.Conn, error) {
	raw, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c := conn{Conn: tls.Client(raw, s.ClientConfig(ctx, vm)), raw: raw}
	if err := c.handshake(ctx, after); err != nil {
		_ = raw.Close()
		return nil, s.fail(SideConnect, raw, err)
	}
	return c, nil
}

// conn is a TLS connection that closes without a farewell: the close_notify alert of crypto/tls can wait 5 s for a
// silent peer, and the duty that closes a silent link must not wait. Both protocols on top delimit their messages
// themselves, so a connection that was cut off is not taken for a whole answer.
type conn struct {
	*tls.Conn
	raw net.Conn
}

func (c conn) Close() error { return c.raw.Close() }

func (c conn) handshake(ctx context.Context, after func(net.Conn) error) error {
	// The end of ctx closes the connection, because Read and Write know no context.
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	err := c.HandshakeContext(ctx)
	if err == nil {
		err = after(c.Conn)
	}
	if !stop() && err == nil {
		return ctx.Err()
	}
	return err
}

func sendAccepted(c net.Conn) error {
	_, err := c.Write([]byte{acceptedByte})
	return err
}

func awaitAccepted(c net.Conn) error {
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// listener accepts connections without waiting for their handshakes, so that a slow client delays nobody else.
type listener struct {
	net.Listener
	source *Source
	config *tls.Config
	greet  func(net.Conn) error
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{conn: conn{Conn: tls.Server(raw, l.config), raw: raw}, listener: l}, nil
}

// serverConn runs the handshake in the first Read, on the goroutine that serves the connection.
type serverConn struct {
	conn
	listener *listener
	// accepted belongs to the goroutine that reads.
	accepted bool
}

func (c *serverConn) Read(b []byte) (int, error) {
	if !c.accepted {
		if err := c.accept(); err != nil {
			return 0, err
		}
	}
	return c.conn.Read(b)
}

func (c *serverConn) accept() error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := c.handshake(ctx, c.listener.greet); err != nil {
		return c.listener.source.fail(SideAccept, c.raw, err)
	}
	c.accepted = true
	return nil
}

// fail reports a failed handshake. A client that closes without an alert, as a balancer's TCP check does, is not
// reported.
func (s *Source) fail(side Side, raw net.Conn, err error) error {
	fault := types.WrapFault(types.CodePeerUnavailable, err, "TLS handshake with %s", raw.RemoteAddr())
	if side == SideAccept && errors.Is(err, io.EOF) {
		return fault
	}
	s.options.Observer.HandshakeFailed(HandshakeFailure{Side: side, Remote: raw.RemoteAddr().String(), Err: fault})
	return fault
}
