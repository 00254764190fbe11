package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

const (
	linkCapacity      = 1024
	maxCallsInFlight  = 1024
	dialTimeout       = 300 * time.Millisecond
	writeTimeout      = time.Second
	expiryInterval    = 5 * time.Millisecond
	minRedialInterval = 20 * time.Millisecond
	maxRedialInterval = time.Second
)

// Call is one request to a peer.
type Call struct {
	// Method is one of the Method constants.
	Method string
	// Args and Reply are pointers to the message types of the method.
	Args  any
	Reply any
	// Timeout bounds the call from the time it is sent.
	Timeout time.Duration
	// Done is called once, on the link's duty. It may block only on a ring whose consumer never waits for this link.
	Done func(*Call)
	// Err is set before Done when the call failed. Its outcome tells whether the peer may have received the call.
	Err *types.Fault

	sentAt    time.Time
	expiresAt time.Time
	finished  bool
}

// Dial opens a connection to a peer.
type Dial func(ctx context.Context) (net.Conn, error)

// TCP returns a Dial for a plain TCP connection to address.
func TCP(address string) Dial {
	return func(ctx context.Context) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
}

// Link owns one net/rpc connection. It redials with exponential backoff and replaces a connection that is silent.
type Link struct {
	name string
	dial Dial
	in   *ring.Ring[*Call]

	// The fields below belong to the duty.
	client        *rpc.Client
	conn          *countingConn
	completed     chan *rpc.Call
	calls         map[*rpc.Call]*Call
	lastAnswer    time.Time
	redialAt      time.Time
	redialBackoff time.Duration
	dialErr       error
}

// NewLink returns a link named name, which appears in the duty's name.
func NewLink(name string, dial Dial) *Link {
	return &Link{
		name:      name,
		dial:      dial,
		in:        ring.New[*Call](linkCapacity),
		completed: make(chan *rpc.Call, maxCallsInFlight),
		calls:     make(map[*rpc.Call]*Call),
	}
}

// TryCall queues c. It returns ring.ErrFull or ring.ErrClosed, in which case Done is not called.
func (l *Link) TryCall(c *Call) error { return l.in.TryPut(c) }

// Ring returns the input ring for metrics.
func (l *Link) Ring() *ring.Ring[*Call] { return l.in }

// Duty returns the duty that runs the link.
func (l *Link) Duty() duty.Duty {
	return duty.Duty{
		Name: "link-" + l.name,
		Run:  l.run,
		Stop: func(context.Context) error { l.in.Close(); return nil },
	}
}

func (l *Link) run(ctx context.Context) error {
	expiry := time.NewTimer(expiryInterval)
	defer expiry.Stop()
	defer l.shutdown()
	watching := true
	for {
		if !watching && len(l.calls) > 0 {
			expiry.Reset(expiryInterval)
			watching = true
		}
		select {
		case <-l.in.Ready():
			l.sendWaiting(ctx)
		case done := <-l.completed:
			l.complete(done)
			l.sendWaiting(ctx)
		case now := <-expiry.C:
			// A link without calls sets no timer, so that an idle link costs nothing.
			watching = false
			l.expire(now)
		case <-l.in.Done():
			l.sendWaiting(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// sendWaiting leaves calls in the ring while too many are in flight, so that the ring refuses further ones.
func (l *Link) sendWaiting(ctx context.Context) {
	for len(l.calls) < maxCallsInFlight {
		c, ok := l.in.TryGet()
		if !ok {
			return
		}
		l.send(ctx, c)
	}
}

func (l *Link) send(ctx context.Context, c *Call) {
	if !l.connect(ctx) {
		c.finish(l.notConnected())
		return
	}
	c.sentAt = time.Now()
	c.expiresAt = c.sentAt.Add(c.Timeout)
	before := l.conn.written.Load()
	sent := l.client.Go(c.Method, c.Args, c.Reply, l.completed)
	if l.conn.written.Load() == before {
		// The client was closed by its reader before this call; its completion is ignored.
		c.finish(types.NotRun(types.CodePeerUnavailable, "connection to %s is closed", l.name))
		l.disconnect()
		return
	}
	l.calls[sent] = c
}

// notConnected keeps the reason as cause only: the message goes to callers, the reason may hold addresses.
func (l *Link) notConnected() *types.Fault {
	f := types.WrapFault(types.CodePeerUnavailable, l.dialErr, "no connection to %s", l.name)
	f.Outcome = types.OutcomeNotRun
	return f
}

func (l *Link) connect(ctx context.Context) bool {
	if l.client != nil {
		return true
	}
	if time.Now().Before(l.redialAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx)
	l.dialErr = err
	if err != nil {
		l.redialBackoff = min(max(2*l.redialBackoff, minRedialInterval), maxRedialInterval)
		l.redialAt = time.Now().Add(jitter(l.redialBackoff))
		return false
	}
	l.redialBackoff = 0
	l.conn = &countingConn{Conn: conn}
	l.client = rpc.NewClient(l.conn)
	l.lastAnswer = time.Now()
	return true
}

// jitter returns a time from half of d to d, so that the links to a peer that was lost do not all dial it at once.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

func (l *Link) complete(done *rpc.Call) {
	c, known := l.calls[done]
	if !known {
		return
	}
	delete(l.calls, done)
	l.lastAnswer = time.Now()
	if done.Error == nil {
		c.finish(nil)
		return
	}
	c.finish(types.WrapFault(types.CodePeerUnavailable, done.Error, "call to %s failed", l.name))
	if _, fromServer := done.Error.(rpc.ServerError); !fromServer {
		l.disconnect()
	}
}

// expire ends calls past their timeout. A connection that gave no answer since such a call was sent is replaced,
// because a middlebox may have lost track of it.
func (l *Link) expire(now time.Time) {
	silent := false
	for _, c := range l.calls {
		if c.finished || now.Before(c.expiresAt) {
			continue
		}
		c.finish(types.NewFault(types.CodeTimeout, "no answer from %s within %s", l.name, c.Timeout))
		silent = silent || !l.lastAnswer.After(c.sentAt)
	}
	if silent {
		l.disconnect()
	}
}

// disconnect closes the connection and ends all calls on it. Their outcome is unknown.
func (l *Link) disconnect() {
	if l.client == nil {
		return
	}
	_ = l.client.Close()
	l.client = nil
	for sent, c := range l.calls {
		c.finish(types.NewFault(types.CodePeerUnavailable, "connection to %s was closed", l.name))
		delete(l.calls, sent)
	}
}

func (l *Link) shutdown() {
	l.disconnect()
	for {
		c, ok := l.in.TryGet()
		if !ok {
			return
		}
		c.finish(types.NotRun(types.CodeShuttingDown, "link to %s is stopping", l.name))
	}
}

func (c *Call) finish(err *types.Fault) {
	if c.finished {
		return
	}
	c.finished = true
	c.Err = err
	c.Done(c)
}

// countingConn counts written bytes and bounds each write.
type countingConn struct {
	net.Conn
	written atomic.Uint64
}

func (c *countingConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, types.WrapFault(types.CodePeerUnavailable, err, "set write deadline")
	}
	n, err := c.Conn.Write(b)
	c.written.Add(uint64(n))
	return n, err
}
