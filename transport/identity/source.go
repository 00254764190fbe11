package identity

import (
	"context"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

const (
	// checkInterval bounds how often handshakes cause the files to be read.
	checkInterval = time.Second
	// checkWait bounds how long a handshake waits for the files. It leaves most of the 300 ms that a link allows for a
	// connection when the disk hangs.
	checkWait = 50 * time.Millisecond
	// checksCapacity bounds the handshakes that wait for the files. When the ring is full, a handshake uses the
	// certificate in use.
	checksCapacity = 256
)

// Certificate describes the certificate in use.
type Certificate struct {
	// Names are its DNS names.
	Names []string
	// Serial is its serial number in hexadecimal digits.
	Serial string
	// NotAfter is the end of its validity.
	NotAfter time.Time
}

// Side tells which side of a connection this process is.
type Side string

// Sides of a connection.
const (
	SideAccept  Side = "accept"
	SideConnect Side = "connect"
)

// HandshakeFailure is a connection that was not established because one side did not accept the other.
type HandshakeFailure struct {
	Side   Side
	Remote string
	Err    *types.Fault
}

// Observer is told what happens. Its methods are called from several goroutines and must not block.
type Observer interface {
	// Loaded reports a certificate that new connections use from now on.
	Loaded(Certificate)
	// LoadFailed reports files that do not fit together. It is called once for each state of the files.
	LoadFailed(error)
	// HandshakeFailed reports a refused connection.
	HandshakeFailed(HandshakeFailure)
}

// Options configures a Source.
type Options struct {
	Settings Settings
	// VM is the name that the certificate must carry. Empty for an operator.
	VM types.VM
	// Observer is optional.
	Observer Observer
	// Now is the wall clock. Default time.Now.
	Now func() time.Time
}

// Source holds the identity of one process. Nothing is read before its duty is provisioned.
type Source struct {
	options Options
	checks  *ring.Ring[check]
	current atomic.Pointer[material]
	// handshakes holds one element for each handshake that is computed as the side that listens.
	handshakes *ring.Ring[struct{}]

	// The fields below belong to the duty.
	checkedAt time.Time
	seen      [3 * sha256.Size]byte
	seenValid bool
}

// check asks the duty to look at the files. The duty closes done afterwards.
type check struct {
	done chan struct{}
}

// New returns a source for o.
func New(o Options) *Source {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Observer == nil {
		o.Observer = ignore{}
	}
	return &Source{
		options:    o,
		checks:     ring.New[check](checksCapacity),
		handshakes: ring.New[struct{}](maxHandshakes),
	}
}

// Checks returns the ring of handshakes that wait for the files, for metrics.
func (s *Source) Checks() *ring.Ring[check] { return s.checks }

// Handshakes returns the ring of handshakes in progress, for metrics.
func (s *Source) Handshakes() *ring.Ring[struct{}] { return s.handshakes }

// Duty returns the duty that owns the files. Its Provision returns a CodeBadSettings fault when they do not fit.
func (s *Source) Duty() duty.Duty {
	return duty.Duty{
		Name:      "tls-files",
		Provision: func(context.Context) error { return s.reload(s.options.Now()) },
		Run:       s.run,
		Stop:      func(context.Context) error { s.checks.Close(); return nil },
	}
}

func (s *Source) run(ctx context.Context) error {
	s.checks.Serve(ctx, func(c check) error {
		if now := s.options.Now(); now.Sub(s.checkedAt) >= checkInterval {
			_ = s.reload(now) // reported to the observer
		}
		close(c.done)
		return nil
	})
	return nil
}

// reload takes the files into use when they have changed and fit together. Files that did not fit are tried again even
// when unchanged, because a certificate can become valid with time.
func (s *Source) reload(now time.Time) error {
	s.checkedAt = now
	checks := settings.NewChecks()
	files := s.options.Settings.read(checks)
	sum := files.sum()
	changed := sum != s.seen
	if !changed && s.seenValid {
		return nil
	}
	s.seen = sum
	m := files.parse(checks, s.options.VM, now)
	s.seenValid = m != nil
	if m == nil {
		if changed {
			s.options.Observer.LoadFailed(checks.Err())
		}
		return types.WrapFault(types.CodeBadSettings, checks.Err(), "files for TLS")
	}
	s.current.Store(m)
	s.options.Observer.Loaded(m.describe())
	return nil
}

// latest returns the newest usable material. It waits a bounded time for the duty to look at the files.
func (s *Source) latest(ctx context.Context) *material {
	c := check{done: make(chan struct{})}
	if s.checks.TryPut(c) != nil {
		return s.current.Load()
	}
	ctx, cancel := context.WithTimeout(ctx, checkWait)
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	return s.current.Load()
}

func (m *material) describe() Certificate {
	leaf := m.chain[0]
	return Certificate{Names: leaf.DNSNames, Serial: leaf.SerialNumber.Text(16), NotAfter: leaf.NotAfter}
}

// ignore is the observer of a source that has none.
type ignore struct{}

func (ignore) Loaded(Certificate)               {}
func (ignore) LoadFailed(error)                 {}
func (ignore) HandshakeFailed(HandshakeFailure) {}
