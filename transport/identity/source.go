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
	// minReloadInterval is the shortest time between two reads of the files.
	minReloadInterval = time.Second
	// maxReloadWait bounds how long a handshake waits for a reload. When the disk hangs, it leaves most of the 300 ms
	// that a link allows for a connection.
	maxReloadWait = 50 * time.Millisecond
	// reloadQueueCapacity bounds the handshakes that wait for a reload. When the ring is full, a handshake proceeds with
	// the current certificate.
	reloadQueueCapacity = 256
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

// Side is the side of a connection that this process is on.
type Side string

// Sides of a connection: server and client.
const (
	SideAccept  Side = "accept"
	SideConnect Side = "connect"
)

// HandshakeFailure describes a failed TLS handshake. Remote is the address of the other side.
type HandshakeFailure struct {
	Side   Side
	Remote string
	Err    *types.Fault
}

// Observer receives the events of a Source. Its methods are called from several goroutines and must not block.
type Observer interface {
	// Loaded reports a new certificate, which new connections use.
	Loaded(Certificate)
	// LoadFailed reports files that are invalid or inconsistent. It is called once for each change of the files.
	LoadFailed(error)
	// HandshakeFailed reports a failed handshake.
	HandshakeFailed(HandshakeFailure)
}

// Options configures a Source.
type Options struct {
	Settings Settings
	// VM is the DNS name that the certificate must have. Empty for an operator.
	VM types.VM
	// Observer is optional.
	Observer Observer
	// Now is the wall clock. The default is time.Now.
	Now func() time.Time
}

// Source provides the TLS credentials of one process. The files are first read when its duty is provisioned.
type Source struct {
	options        Options
	reloadRequests *ring.Ring[reloadRequest]
	current        atomic.Pointer[credentials]
	// handshakes is a semaphore: it holds one element for each handshake in progress as server.
	handshakes *ring.Ring[struct{}]

	// The fields below are accessed only by the duty. lastDigest is the digest of the files at the last reload, and
	// lastValid tells whether they were valid.
	lastReloadAt time.Time
	lastDigest   [3 * sha256.Size]byte
	lastValid    bool
}

// reloadRequest asks the duty to reload the files if they are due. The duty closes done afterwards.
type reloadRequest struct {
	done chan struct{}
}

// New returns a source for o.
func New(o Options) *Source {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Observer == nil {
		o.Observer = nopObserver{}
	}
	return &Source{
		options:        o,
		reloadRequests: ring.New[reloadRequest](reloadQueueCapacity),
		handshakes:     ring.New[struct{}](maxHandshakes),
	}
}

// ReloadRequests returns the ring of handshakes that wait for a reload, for metrics.
func (s *Source) ReloadRequests() *ring.Ring[reloadRequest] { return s.reloadRequests }

// Handshakes returns the ring of handshakes in progress as server, for metrics.
func (s *Source) Handshakes() *ring.Ring[struct{}] { return s.handshakes }

// Duty returns the duty that loads the files. Its Provision returns a CodeBadSettings fault when they are invalid.
func (s *Source) Duty() duty.Duty {
	return duty.Duty{
		Name:      "tls-files",
		Provision: func(context.Context) error { return s.reload(s.options.Now()) },
		Run:       s.run,
		Stop:      func(context.Context) error { s.reloadRequests.Close(); return nil },
	}
}

func (s *Source) run(ctx context.Context) error {
	s.reloadRequests.Serve(ctx, func(c reloadRequest) error {
		if now := s.options.Now(); now.Sub(s.lastReloadAt) >= minReloadInterval {
			_ = s.reload(now) // the observer receives the error
		}
		close(c.done)
		return nil
	})
	return nil
}

// reload reads the files and uses them when they have changed and are valid. Files that were invalid are checked again
// even when unchanged, because a certificate can become valid as time passes.
func (s *Source) reload(now time.Time) error {
	s.lastReloadAt = now
	checks := settings.NewChecks()
	files := s.options.Settings.readFiles(checks)
	digest := files.digest()
	changed := digest != s.lastDigest
	if !changed && s.lastValid {
		return nil
	}
	s.lastDigest = digest
	m := files.parse(checks, s.options.VM, now)
	s.lastValid = m != nil
	if m == nil {
		if changed {
			s.options.Observer.LoadFailed(checks.Err())
		}
		return types.WrapFault(types.CodeBadSettings, checks.Err(), "load TLS files")
	}
	s.current.Store(m)
	s.options.Observer.Loaded(m.describe())
	return nil
}

// newestCredentials returns the newest valid credentials. It waits at most maxReloadWait for the duty to reload the
// files.
func (s *Source) newestCredentials(ctx context.Context) *credentials {
	c := reloadRequest{done: make(chan struct{})}
	if s.reloadRequests.TryPut(c) != nil {
		return s.current.Load()
	}
	ctx, cancel := context.WithTimeout(ctx, maxReloadWait)
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	return s.current.Load()
}

func (m *credentials) describe() Certificate {
	leaf := m.chain[0]
	return Certificate{Names: leaf.DNSNames, Serial: leaf.SerialNumber.Text(16), NotAfter: leaf.NotAfter}
}

// nopObserver is the observer of a source that has none.
type nopObserver struct{}

func (nopObserver) Loaded(Certificate)               {}
func (nopObserver) LoadFailed(error)                 {}
func (nopObserver) HandshakeFailed(HandshakeFailure) {}
