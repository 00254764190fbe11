package identity_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	"sequoiasail.example/settings"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/identity/identitytest"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// party is a process with a clock of its own that records what its source reports.
type party struct {
	*identity.Source
	dir            string
	ahead          atomic.Int64
	loads, refused atomic.Int64
	failures       chan identity.HandshakeFailure
}

func (p *party) Loaded(identity.Certificate)                 { p.loads.Add(1) }
func (p *party) LoadFailed(error)                            { p.refused.Add(1) }
func (p *party) HandshakeFailed(f identity.HandshakeFailure) { p.failures <- f }
func (p *party) now() time.Time                              { return time.Now().Add(time.Duration(p.ahead.Load())) }

func tomorrow() time.Time { return time.Now().Add(24 * time.Hour) }

// newParty starts the duty of a process named vm that a issued a certificate for.
func newParty(t *testing.T, a *identitytest.Authority, vm types.VM) *party {
	t.Helper()
	p := &party{dir: t.TempDir(), failures: make(chan identity.HandshakeFailure, 16)}
	files := a.Write(t, p.dir, string(vm), identitytest.Process, tomorrow())
	p.Source = identity.New(identity.Options{Settings: files, VM: vm, Observer: p, Now: p.now})
	start(t, p.Duty())
	return p
}

func start(t *testing.T, d duty.Duty) {
	t.Helper()
	g := duty.NewGroup()
	g.Add(d)
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Stop(context.Background()) })
}

// listen serves one byte per connection and returns the address.
func (p *party) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	secured := p.PeerListener(l)
	start(t, duty.Duty{Name: "server", Run: func(context.Context) error {
		for {
			c, err := secured.Accept()
			if err != nil {
				return nil
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}, Stop: func(context.Context) error { return l.Close() }})
	return l.Addr().String()
}

// serial connects to address and returns the serial number of the certificate that vm showed.
func (p *party) serial(t *testing.T, address string, vm types.VM) (string, error) {
	t.Helper()
	c, err := p.Dial(tcp(address), vm)(t.Context())
	if err != nil {
		return "", err
	}
	defer c.Close()
	state := c.(interface{ ConnectionState() tls.ConnectionState }).ConnectionState()
	return state.PeerCertificates[0].SerialNumber.Text(16), nil
}

func tcp(address string) identity.Dial {
	return func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
}

// Guards against renewed files that are used only after a restart, and against reading them on every handshake.
func TestRenewedFilesAreUsed(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	server, client := newParty(t, a, "vm-1"), newParty(t, a, "vm-2")
	address := server.listen(t)
	first, err := client.serial(t, address, "vm-1")
	is.NoErr(err)
	server.ahead.Add(int64(time.Second))
	same, err := client.serial(t, address, "vm-1")
	is.NoErr(err)
	is.Equal(same, first)
	a.Write(t, server.dir, "vm-1", identitytest.Process, tomorrow())
	early, err := client.serial(t, address, "vm-1")
	is.NoErr(err)
	is.Equal(early, first) // read less than a second ago
	server.ahead.Add(int64(time.Second))
	renewed, err := client.serial(t, address, "vm-1")
	is.NoErr(err)
	is.True(renewed != first)
	is.Equal(server.loads.Load(), int64(2))
}

// Guards against a new authority that takes effect only after a restart.
func TestRenewedAuthorityIsUsed(t *testing.T) {
	is := is.New(t)
	a, next := identitytest.NewAuthority(t), identitytest.NewAuthority(t)
	server, client := newParty(t, a, "vm-1"), newParty(t, next, "vm-2")
	identitytest.Put(t, client.dir, "ca.pem", append(next.PEM, a.PEM...))
	client.ahead.Add(int64(time.Second))
	address := server.listen(t)
	_, err := client.serial(t, address, "vm-1")
	is.Equal(types.CodeOf(err), types.CodePeerUnavailable)
	is.Equal((<-server.failures).Side, identity.SideAccept)
	identitytest.Put(t, server.dir, "ca.pem", append(a.PEM, next.PEM...))
	server.ahead.Add(int64(time.Second))
	_, err = client.serial(t, address, "vm-1")
	is.NoErr(err)
}

// Guards against a process that drops a working certificate for files that are broken, half written, out of date or
// those of another VM, and against a log line for each handshake meanwhile.
func TestBrokenFilesKeepTheOldCertificate(t *testing.T) {
	a, other := identitytest.NewAuthority(t), identitytest.NewAuthority(t)
	cases := map[string]func(t *testing.T, dir string){
		"no PEM":    func(t *testing.T, dir string) { identitytest.Put(t, dir, "cert.pem", []byte("x")) },
		"empty":     func(t *testing.T, dir string) { identitytest.Put(t, dir, "key.pem", nil) },
		"missing":   func(_ *testing.T, dir string) { _ = os.Remove(dir + "/ca.pem") },
		"cut off":   func(t *testing.T, dir string) { identitytest.Put(t, dir, "ca.pem", append(a.PEM, other.PEM[:99]...)) },
		"other key": func(t *testing.T, dir string) { copyFile(t, a, dir, "key.pem") },
		"expired":   func(t *testing.T, dir string) { a.Write(t, dir, "vm-1", identitytest.Process, time.Now()) },
		"other VM":  func(t *testing.T, dir string) { a.Write(t, dir, "vm-9", identitytest.Process, tomorrow()) },
		"operator":  func(t *testing.T, dir string) { a.Write(t, dir, "vm-1", identitytest.Operator, tomorrow()) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newParty(t, a, "vm-1"), newParty(t, a, "vm-2")
			address := server.listen(t)
			first, err := client.serial(t, address, "vm-1")
			is.NoErr(err)
			spoil(t, server.dir)
			for range 2 {
				server.ahead.Add(int64(time.Second))
				kept, err := client.serial(t, address, "vm-1")
				is.NoErr(err)
				is.Equal(kept, first)
			}
			is.Equal(server.refused.Load(), int64(1))
			a.Write(t, server.dir, "vm-1", identitytest.Process, tomorrow())
			server.ahead.Add(int64(time.Second))
			renewed, err := client.serial(t, address, "vm-1")
			is.NoErr(err)
			is.True(renewed != first)
		})
	}
}

// copyFile replaces one file of dir by that of another certificate.
func copyFile(t *testing.T, a *identitytest.Authority, dir, name string) {
	t.Helper()
	from := t.TempDir()
	a.Write(t, from, "vm-1", identitytest.Process, tomorrow())
	data, err := os.ReadFile(from + "/" + name)
	if err != nil {
		t.Fatal(err)
	}
	identitytest.Put(t, dir, name, data)
}

// Guards against a fleet that reconnects at once and of which no handshake ends in time, and against places that are
// never given back.
func TestHandshakesAreBounded(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	server, client := newParty(t, a, "vm-1"), newParty(t, a, "vm-2")
	address := server.listen(t)
	places := server.Handshakes()
	for range places.Cap() {
		is.NoErr(places.TryPut(struct{}{}))
	}
	_, err := client.serial(t, address, "vm-1")
	is.Equal(types.CodeOf(err), types.CodePeerUnavailable)
	is.Equal(places.Depth(), places.Cap())
	is.True(strings.Contains((<-server.failures).Err.Error(), "64 handshakes in progress"))
	_, _ = places.TryGet()
	for range 2 {
		_, err = client.serial(t, address, "vm-1")
		is.NoErr(err)
	}
}

// Guards against a duty that waits for a silent peer when it closes a connection whose buffers are full.
func TestCloseDoesNotWaitForSilentPeer(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	server, client := newParty(t, a, "vm-1"), newParty(t, a, "vm-2")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	secured := server.PeerListener(l)
	release := make(chan struct{})
	start(t, duty.Duty{Name: "silent", Run: func(context.Context) error {
		c, err := secured.Accept()
		if err != nil {
			return nil
		}
		_, _ = io.ReadFull(c, make([]byte, 1))
		<-release
		return c.Close()
	}, Stop: func(context.Context) error { return l.Close() }})
	defer close(release)
	c, err := client.Dial(tcp(l.Addr().String()), "vm-1")(t.Context())
	is.NoErr(err)
	is.NoErr(c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	for err == nil {
		_, err = c.Write(make([]byte, 1<<16))
	}
	began := time.Now()
	is.NoErr(c.Close())
	is.True(time.Since(began) < time.Second)
}

// Guards against settings that pass the check although the process could not start or would be refused.
func TestCheckNamesThePath(t *testing.T) {
	is := is.New(t)
	c := settings.NewChecks()
	(*identity.Settings)(nil).Check(c, "vm-1")
	is.NoErr(c.Err())
	(&identity.Settings{CertFile: "absent.pem"}).Check(c, "vm-1")
	is.Equal(c.Problems.Lines(), []string{
		"tls.certFile: cannot read the file: open absent.pem: no such file or directory (bad-settings)",
		"tls.keyFile: is required (bad-settings)",
		"tls.caFile: is required (bad-settings)",
	})
	c = settings.NewChecks()
	files := identitytest.NewAuthority(t).Write(t, t.TempDir(), "vm-1", identitytest.Process, tomorrow())
	files.Check(c, "vm-1")
	is.NoErr(c.Err())
	files.Check(c, "vm-2")
	is.Equal(len(c.Problems), 1)
	is.True(strings.HasPrefix(c.Problems.Lines()[0], "tls.certFile: would be refused: "))
}
