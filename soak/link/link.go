// Package link passes TCP connections on, on loopback, and harms them: it delays bytes, loses them one way or both, and
// resets connections.
//
// A connection that has lost bytes stays silent for good, because what follows a gap is no TCP stream; new connections
// work once the fault is over.
package link

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// State is what a link does to bytes.
type State struct {
	// Delay holds each piece of bytes back.
	Delay time.Duration
	// LoseForth loses what the client sends, LoseBack what the server sends.
	LoseForth, LoseBack bool
}

const (
	// pieceSize is the largest number of bytes passed on at once.
	pieceSize = 16 << 10
	// dialTimeout bounds the connection to the server.
	dialTimeout = time.Second
	// connectionCapacity bounds the connections of a link whose end was not seen yet.
	connectionCapacity = 1024
)

// Link is a listener whose connections lead to a server.
type Link struct {
	name     string
	listener net.Listener
	server   atomic.Pointer[string]
	state    atomic.Pointer[State]
	resets   *ring.Ring[struct{}]
	ended    *ring.Ring[string]
	group    *duty.Group
	opened   int
	open     map[string]*pair
}

// pair is one connection with its continuation.
type pair struct {
	client, server *net.TCPConn
	// lost is true once bytes were lost.
	lost atomic.Bool
	// ended counts the directions that have ended.
	ended int
}

// New returns a link that listens on l. Its name is unique among the links of a process.
func New(name string, l net.Listener, server string) *Link {
	k := &Link{
		name: name, listener: l, resets: ring.New[struct{}](1), ended: ring.New[string](connectionCapacity),
		group: duty.NewGroup(), open: make(map[string]*pair),
	}
	k.state.Store(&State{})
	k.server.Store(&server)
	return k
}

// Address returns the address to connect to.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Set changes what the link does to bytes.
func (k *Link) Set(s State) { k.state.Store(&s) }

// Lead makes new connections lead to another server. The empty address refuses them.
func (k *Link) Lead(server string) { k.server.Store(&server) }

// Reset resets all connections.
func (k *Link) Reset() { _ = k.resets.Replace(struct{}{}) }

// Duties returns the duties of the link: the one that accepts connections and the one that owns them.
func (k *Link) Duties() []duty.Duty {
	accepted := ring.New[*net.TCPConn](1)
	return []duty.Duty{
		{Name: "link-own-" + k.name, Run: func(ctx context.Context) error { return k.own(ctx, accepted) }},
		{
			Name: "link-accept-" + k.name,
			Run:  func(ctx context.Context) error { return k.accept(ctx, accepted) },
			Stop: func(context.Context) error { return k.listener.Close() },
		},
	}
}

func (k *Link) accept(ctx context.Context, out *ring.Ring[*net.TCPConn]) error {
	detach := context.AfterFunc(ctx, func() { _ = k.listener.Close() })
	defer detach()
	for {
		c, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return types.WrapFault(types.CodeInternal, err, "accept on %s", k.name)
		}
		if out.Put(ctx, c.(*net.TCPConn)) != nil {
			return nil
		}
	}
}

func (k *Link) own(ctx context.Context, accepted *ring.Ring[*net.TCPConn]) error {
	defer k.finish()
	for {
		select {
		case <-accepted.Ready():
			accepted.Drain(func(c *net.TCPConn) { k.connect(ctx, c) })
		case <-k.resets.Ready():
			k.resets.Drain(func(struct{}) { k.resetAll() })
		case <-k.ended.Ready():
			k.ended.Drain(func(name string) { k.retire(name) })
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *Link) finish() {
	k.resetAll()
	_ = k.group.Abort(context.Background())
}

func (k *Link) resetAll() {
	for _, p := range k.open {
		p.reset()
	}
}

func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.client, p.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// connect starts to pass a connection on. A server that can't be reached resets it.
func (k *Link) connect(ctx context.Context, client *net.TCPConn) {
	server := *k.server.Load()
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", server)
	if server == "" || err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &pair{client: client, server: c.(*net.TCPConn)}
	k.opened++
	name := strconv.Itoa(k.opened)
	k.open[name] = p
	k.launch(ctx, name+"-forth", name, p, p.client, p.server, func(s *State) bool { return s.LoseForth })
	k.launch(ctx, name+"-back", name, p, p.server, p.client, func(s *State) bool { return s.LoseBack })
}

func (k *Link) launch(ctx context.Context, name, connection string, p *pair, from, to *net.TCPConn, loses func(*State) bool) {
	err := k.group.Launch(ctx, duty.Duty{Name: name, Run: func(ctx context.Context) error {
		k.pass(ctx, p, from, to, loses)
		return k.ended.Put(ctx, connection)
	}})
	if err != nil {
		p.reset()
	}
}

// retire forgets a connection both of whose directions have ended.
func (k *Link) retire(name string) {
	p := k.open[name]
	if p.ended++; p.ended < 2 {
		return
	}
	delete(k.open, name)
	_ = p.client.Close()
	_ = p.server.Close()
	_ = k.group.Remove(context.Background(), name+"-forth")
	_ = k.group.Remove(context.Background(), name+"-back")
}

// pass copies one direction until it ends. The end of a connection is passed on at once, also over a silent link, except
// for a connection that has lost bytes.
func (k *Link) pass(ctx context.Context, p *pair, from, to *net.TCPConn, loses func(*State) bool) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		s := k.state.Load()
		if n > 0 && loses(s) {
			p.lost.Store(true)
		}
		if !duty.Pause(ctx, s.Delay) {
			return
		}
		if n > 0 && !p.lost.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !p.lost.Load() {
				_ = to.CloseWrite()
			}
			return
		}
	}
}
