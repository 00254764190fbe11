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

// testProcess is a process with its own clock that records the events of its source.
type testProcess struct {
	*identity.Source
	dir                 string
	clockOffset         atomic.Int64
	loads, loadFailures atomic.Int64
	failures            chan identity.HandshakeFailure
}

func (p *testProcess) Loaded(identity.Certificate)                 { p.loads.Add(1) }
func (p *testProcess) LoadFailed(error)                            { p.loadFailures.Add(1) }
func (p *testProcess) HandshakeFailed(f identity.HandshakeFailure) { p.failures <- f }
func (p *testProcess) now() time.Time                              { return time.Now().Add(time.Duration(p.clockOffset.Load())) }

func tomorrow() time.Time { return time.Now().Add(24 * time.Hour) }

// newTestProcess starts the duty of a process named vm with a certificate issued by a.
func newTestProcess(t *testing.T, a *identitytest.Authority, vm types.VM) *testProcess {
	t.Helper()
	p := &testProcess{dir: t.TempDir(), failures: make(chan identity.HandshakeFailure, 16)}
	files := a.Issue(t, p.dir, string(vm), identitytest.ProcessUsages, tomorrow())
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

// listen starts a server that reads one byte per connection, and returns its address.
func (p *testProcess) listen(t *testing.T) string {
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

// serverSerial connects to address and returns the serial number of the certificate that vm presented.
func (p *testProcess) serverSerial(t *testing.T, address string, vm types.VM) (string, error) {
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

// Guards against renewed files that take effect only after a restart, and against reading them on every handshake.
func TestRenewedFilesAreUsed(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	server, client := newTestProcess(t, a, "vm-1"), newTestProcess(t, a, "vm-2")
	address := server.listen(t)
	first, err := client.serverSerial(t, address, "vm-1")
	is.NoErr(err)
	server.clockOffset.Add(int64(time.Second))
	same, err := client.serverSerial(t, address, "vm-1")
	is.NoErr(err)
	is.Equal(same, first)
	a.Issue(t, server.dir, "vm-1", identitytest.ProcessUsages, tomorrow())
	early, err := client.serverSerial(t, address, "vm-1")
	is.NoErr(err)
	is.Equal(early, first) // read less than a second ago
	server.clockOffset.Add(int64(time.Second))
	renewed, err := client.serverSerial(t, address, "vm-1")
	is.NoErr(err)
	is.True(renewed != first)
	is.Equal(server.loads.Load(), int64(2))
}

// Guards against a new CA that takes effect only after a restart.
func TestRenewedAuthorityIsUsed(t *testing.T) {
	is := is.New(t)
	a, next := identitytest.NewAuthority(t), identitytest.NewAuthority(t)
	server, client := newTestProcess(t, a, "vm-1"), newTestProcess(t, next, "vm-2")
	identitytest.WriteFile(t, client.dir, "ca.pem", append(next.PEM, a.PEM...))
	client.clockOffset.Add(int64(time.Second))
	address := server.listen(t)
	_, err := client.serverSerial(t, address, "vm-1")
	is.Equal(types.CodeOf(err), types.CodePeerUnavailable)
	is.Equal((<-server.failures).Side, identity.SideAccept)
	identitytest.WriteFile(t, server.dir, "ca.pem", append(a.PEM, next.PEM...))
	server.clockOffset.Add(int64(time.Second))
	_, err = client.serverSerial(t, address, "vm-1")
	is.NoErr(err)
}

// Guards against replacing a working certificate by files that are malformed, half written, expired or for another VM,
// and against a log line for each handshake in the meantime.
func TestInvalidFilesKeepCurrentCertificate(t *testing.T) {
	a, other := identitytest.NewAuthority(t), identitytest.NewAuthority(t)
	cases := map[string]func(t *testing.T, dir string){
		"no PEM":  func(t *testing.T, dir string) { identitytest.WriteFile(t, dir, "cert.pem", []byte("x")) },
		"empty":   func(t *testing.T, dir string) { identitytest.WriteFile(t, dir, "key.pem", nil) },
		"missing": func(_ *testing.T, dir string) { _ = os.Remove(dir + "/ca.pem") },
		"cut off": func(t *testing.T, dir string) {
			identitytest.WriteFile(t, dir, "ca.pem", append(a.PEM, other.PEM[:99]...))
		},
		"other key": func(t *testing.T, dir string) { copyFile(t, a, dir, "key.pem") },
		"expired":   func(t *testing.T, dir string) { a.Issue(t, dir, "vm-1", identitytest.ProcessUsages, time.Now()) },
		"other VM":  func(t *testing.T, dir string) { a.Issue(t, dir, "vm-9", identitytest.ProcessUsages, tomorrow()) },
		"operator":  func(t *testing.T, dir string) { a.Issue(t, dir, "vm-1", identitytest.OperatorUsages, tomorrow()) },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newTestProcess(t, a, "vm-1"), newTestProcess(t, a, "vm-2")
			address := server.listen(t)
			first, err := client.serverSerial(t, address, "vm-1")
			is.NoErr(err)
			corrupt(t, server.dir)
			for range 2 {
				server.clockOffset.Add(int64(time.Second))
				kept, err := client.serverSerial(t, address, "vm-1")
				is.NoErr(err)
				is.Equal(kept, first)
			}
			is.Equal(server.loadFailures.Load(), int64(1))
			a.Issue(t, server.dir, "vm-1", identitytest.ProcessUsages, tomorrow())
			server.clockOffset.Add(int64(time.Second))
			renewed, err := client.serverSerial(t, address, "vm-1")
			is.NoErr(err)
			is.True(renewed != first)
		})
	}
}

// copyFile replaces one file in dir by the same file of another certificate.
func copyFile(t *testing.T, a *identitytest.Authority, dir, name string) {
	t.Helper()
	from := t.TempDir()
	a.Issue(t, from, "vm-1", identitytest.ProcessUsages, tomorrow())
	data, err := os.ReadFile(from + "/" + name)
	if err != nil {
		t.Fatal(err)
	}
	identitytest.WriteFile(t, dir, name, data)
}

// Guards against unbounded concurrent handshakes, of which none ends in time when a fleet reconnects at once, and
// against handshake slots that are never released.
func TestHandshakesAreBounded(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	server, client := newTestProcess(t, a, "vm-1"), newTestProcess(t, a, "vm-2")
	address := server.listen(t)
	slots := server.Handshakes()
	for range slots.Cap() {
		is.NoErr(slots.TryPut(struct{}{}))
	}
	_, err := client.serverSerial(t, address, "vm-1")
	is.Equal(types.CodeOf(err), types.CodePeerUnavailable)
	is.Equal(slots.Depth(), slots.Cap())
	is.True(strings.Contains((<-server.failures).Err.Error(), "64 handshakes in progress"))
	_, _ = slots.TryGet()
	for range 2 {
		_, err = client.serverSerial(t, address, "vm-1")
		is.NoErr(err)
	}
}

// Guards against a Close that blocks on an unresponsive peer when the buffers of the connection are full.
func TestCloseDoesNotWaitForSilentPeer(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	server, client := newTestProcess(t, a, "vm-1"), newTestProcess(t, a, "vm-2")
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

// Guards against settings that pass the check although the process could not start or its peers would refuse it, and
// against problems that do not name the field.
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
	files := identitytest.NewAuthority(t).Issue(t, t.TempDir(), "vm-1", identitytest.ProcessUsages, tomorrow())
	files.Check(c, "vm-1")
	is.NoErr(c.Err())
	files.Check(c, "vm-2")
	is.Equal(len(c.Problems), 1)
	is.True(strings.HasPrefix(c.Problems.Lines()[0], "tls.certFile: would be refused: "))
}
