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
	// callQueueCapacity and maxCallsInFlight bound the calls of one link that are queued and sent.
	callQueueCapacity = 1024
	maxCallsInFlight  = 1024
	// dialTimeout bounds the opening of a connection, including a TLS handshake. writeTimeout bounds each write.
	dialTimeout  = 300 * time.Millisecond
	writeTimeout = time.Second
	// expiryInterval is the time between checks for calls past their timeout.
	expiryInterval = 5 * time.Millisecond
	// minRedialInterval and maxRedialInterval bound the backoff after a failed dial.
	minRedialInterval = 20 * time.Millisecond
	maxRedialInterval = time.Second
)

// Call is one RPC to a peer, with its result.
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

// Dial is a function that opens a connection to a peer.
type Dial func(ctx context.Context) (net.Conn, error)

// TCPDialer returns a Dial that opens plain TCP connections to address, which is host:port.
func TCPDialer(address string) Dial {
	return func(ctx context.Context) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
}

// Link is the client side of one net/rpc connection. It redials with exponential backoff and replaces a connection
// that no longer responds.
type Link struct {
	name string
	dial Dial
	// queue holds calls that are not sent yet.
	queue *ring.Ring[*Call]

	// The fields below are accessed only by the duty. client and conn are the current connection; client is nil when
	// there is none. completed receives the finished RPCs, and calls holds the calls in flight by their RPC. lastAnswer is
	// when the last reply arrived, or when the connection was opened. dialErr is the error of the last dial.
	client        *rpc.Client
	conn          *countingConn
	completed     chan *rpc.Call
	calls         map[*rpc.Call]*Call
	lastAnswer    time.Time
	redialAt      time.Time
	redialBackoff time.Duration
	dialErr       error
}

// NewLink returns a link that connects with dial. name is the peer's name in the duty's name and in faults.
func NewLink(name string, dial Dial) *Link {
	return &Link{
		name:      name,
		dial:      dial,
		queue:     ring.New[*Call](callQueueCapacity),
		completed: make(chan *rpc.Call, maxCallsInFlight),
		calls:     make(map[*rpc.Call]*Call),
	}
}

// TryCall queues c. When it returns ring.ErrFull or ring.ErrClosed, Done is not called.
func (l *Link) TryCall(c *Call) error { return l.queue.TryPut(c) }

// Ring returns the ring of queued calls, for metrics.
func (l *Link) Ring() *ring.Ring[*Call] { return l.queue }

// Duty returns the duty that runs the link.
func (l *Link) Duty() duty.Duty {
	return duty.Duty{
		Name: "link-" + l.name,
		Run:  l.run,
		Stop: func(context.Context) error { l.queue.Close(); return nil },
	}
}

func (l *Link) run(ctx context.Context) error {
	expiry := time.NewTimer(expiryInterval)
	defer expiry.Stop()
	defer l.shutdown()
	timerSet := true
	for {
		if !timerSet && len(l.calls) > 0 {
			expiry.Reset(expiryInterval)
			timerSet = true
		}
		select {
		case <-l.queue.Ready():
			l.sendQueued(ctx)
		case done := <-l.completed:
			l.complete(done)
			l.sendQueued(ctx)
		case now := <-expiry.C:
			// Without calls in flight the timer is not set again, so that an idle link uses no CPU.
			timerSet = false
			l.expireCalls(now)
		case <-l.queue.Done():
			l.sendQueued(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// sendQueued sends queued calls. At maxCallsInFlight it leaves the rest in the ring, so that a full ring refuses
// further calls.
func (l *Link) sendQueued(ctx context.Context) {
	for len(l.calls) < maxCallsInFlight {
		c, ok := l.queue.TryGet()
		if !ok {
			return
		}
		l.send(ctx, c)
	}
}

func (l *Link) send(ctx context.Context, c *Call) {
	if !l.connect(ctx) {
		c.finish(l.notConnectedFault())
		return
	}
	c.sentAt = time.Now()
	c.expiresAt = c.sentAt.Add(c.Timeout)
	before := l.conn.written.Load()
	sent := l.client.Go(c.Method, c.Args, c.Reply, l.completed)
	if l.conn.written.Load() == before {
		// The rpc client closed itself after a read error before this call. Its completion is ignored.
		c.finish(types.NotRun(types.CodePeerUnavailable, "connection to %s is closed", l.name))
		l.disconnect()
		return
	}
	l.calls[sent] = c
}

// notConnectedFault returns the fault of a call without a connection. The dial error is only its cause: the message
// is shown to callers, and the error may contain addresses.
func (l *Link) notConnectedFault() *types.Fault {
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

// jitter returns a random duration between d/2 and d, so that the links of all processes do not redial a lost peer at
// the same time.
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

// expireCalls fails calls past their timeout. A connection without any reply since such a call was sent is replaced,
// because a middlebox may have dropped its state for the connection.
func (l *Link) expireCalls(now time.Time) {
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

// disconnect closes the connection and fails all calls in flight. Their outcome is unknown.
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
		c, ok := l.queue.TryGet()
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

// countingConn counts written bytes and sets a deadline for each write.
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
