// Package crowdtest starts the processes that clients reach on loopback, with stand-ins of the store and the targets, and with
// crowds of clients that keep to no limit. A test checks that each process stays alive, that its memory and its open descriptors
// stay under a bound, and that one ordinary request is answered. It checks no times and no share of served requests, so that its
// result does not depend on the speed of the machine.
package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Times for which a condition is awaited. They only end a test that fails.
const (
	readyLimit  = 20 * time.Second
	answerLimit = 20 * time.Second
)

// largeBytes is the size of the responses to requests under /v1/large/, hugeBytes that of those under /v1/huge/, and the largest
// that a request may have.
const (
	largeBytes = 3 << 20
	hugeBytes  = 64 << 20
)

// buildOnce builds the daemons once for all tests and returns their directory.
var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		return "", err
	}
	arguments := []string{"build", "-o", dir}
	for _, name := range []string{"sail-edge", "sail-gateway", "sail-dispatcher"} {
		arguments = append(arguments, "sequoiasail.example/cmd/"+name)
	}
	if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildOnce(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a process that clients reach.
type process struct {
	t       *testing.T
	command *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// address is the address for callers, readyURL that of readiness, peerAddress that for other processes.
	address, readyURL, peerAddress string
	// crowdAddress is where the clients of a crowd connect.
	crowdAddress string
	// store is the store of a sail-edge, nil for other processes.
	store *backend.Server
}

// runs numbers the processes, so that each has loopback addresses of its own.
var runs atomic.Uint32

// execute starts a binary, which is killed at the end of the test.
func (p *process) execute(name string, environment []string, arguments ...string) {
	p.t.Helper()
	dir, err := buildOnce()
	check(p.t, err)
	p.exited = make(chan struct{})
	p.crowdAddress = p.address
	p.command = exec.Command(filepath.Join(dir, name), arguments...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stderr = os.Stderr
	check(p.t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
}

// start starts a process with the given limits, 0 for none, and waits until it serves.
type start func(t *testing.T, memoryMB float64, maxFDs int) *process

// edgeWith returns a function that starts a sail-edge process with a target and a store, which holds the configuration that edit
// returns.
func edgeWith(edit func(configuration []byte) []byte) start {
	return func(t *testing.T, memoryMB float64, maxFDs int) *process {
		t.Helper()
		p := executeEdge(t, memoryMB, maxFDs, edit)
		p.awaitServing()
		return p
	}
}

// edge starts a sail-edge process whose configuration allows requests of hugeBytes.
var edge = edgeWith(withLargeBodies)

// executeEdge starts a sail-edge process and does not wait for it.
func executeEdge(t *testing.T, memoryMB float64, maxFDs int, edit func(configuration []byte) []byte) *process {
	t.Helper()
	group, b := duty.NewGroup(), backend.New(backend.DefaultHistory)
	storeListener, err := standin.Listen(t.Context())
	check(t, err)
	group.Add(b.Duty())
	group.Add(standin.StoreDuty(storeListener, b, "vm"))
	check(t, group.Start(t.Context()))
	t.Cleanup(func() { _ = group.Abort(context.Background()) })
	registerTarget(t, b)
	put(t, b, standin.ConfigurationKey, edit(configuration(16)))
	vm := standin.VM{
		Name: "vm-1", DataCentre: "north", DataCentres: []types.DataCentre{"north"}, IP: standin.LoopbackIP(runs.Add(1), 0),
		StoreAddress: storeListener.Addr().String(), StopGracePeriod: 4 * time.Second, MaxGrantTTL: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
		MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	check(t, os.WriteFile(file, vm.SettingsFile(), 0o600))
	p := &process{t: t, address: vm.CallerAddress(), readyURL: vm.ReadyURL(), peerAddress: vm.ControlAddress(), store: b}
	p.execute("sail-edge", []string{standin.SettingsEnvironment(file)})
	return p
}

// awaitServing waits until the process serves.
func (p *process) awaitServing() {
	p.t.Helper()
	p.await("readiness", readyLimit, p.isReady)
	p.await("an answer", answerLimit, p.answersOne)
}

// configuration returns a version of the configuration of a sail-edge.
func configuration(version uint32) []byte {
	return standin.Configuration(version, []standin.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Idempotent: true, Service: "maps", Timeout: 20 * time.Second, Attempts: 2},
	}, []standin.Service{{Name: "maps", ColdTime: time.Second, ColdRate: 10}})
}

// withLargeBodies returns a configuration that allows requests of hugeBytes.
func withLargeBodies(configuration []byte) []byte {
	return bytes.Replace(configuration, []byte(`"max_body_bytes":65536`), fmt.Appendf(nil, `"max_body_bytes":%d`, hugeBytes), 1)
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func put(t *testing.T, b *backend.Server, key string, value []byte) {
	t.Helper()
	check(t, standin.Replace(t.Context(), b.Client("operator"), store.Write{Key: key, Value: value}))
}

// registerTarget starts a target that repeats the ID of each request, and registers it.
func registerTarget(t *testing.T, b *backend.Server) {
	l, err := standin.Listen(t.Context())
	check(t, err)
	large := strings.Repeat("l", largeBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		body := "small"
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/large/"):
			body = large
		case strings.HasPrefix(r.URL.Path, "/v1/huge/"):
			body = strings.Repeat("h", hugeBytes)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	s := standin.TargetSettings{Target: "i-1", Incarnation: 1, Service: "maps", DataCentre: "north", Slots: 64, QueueLimit: 64}
	key, value := standin.Registration(s, l.Addr().String(), false, 0)
	put(t, b, key, value)
}

// await fails the test if f does not return true within the limit, or if the process ends.
func (p *process) await(what string, limit time.Duration, f func() bool) {
	p.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
		p.checkAlive()
	}
	p.t.Fatalf("%s did not come within %v", what, limit)
}

func (p *process) checkAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %s", p.command.ProcessState)
	default:
	}
}

// client opens a connection for each request.
var client = http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *process) isReady() bool {
	res, err := client.Get(p.readyURL)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var lastID atomic.Int64

// answersOne sends one ordinary request on a new connection.
func (p *process) answersOne() bool {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.address+"/v1/small/1", nil)
	check(p.t, err)
	r.Host = "a.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", lastID.Add(1)))
	r.Header.Set("X-Deadline-Ms", "2500")
	res, err := client.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// dial opens a connection of a client of a crowd, which is closed at the end of the crowd's context.
func (p *process) dial(ctx context.Context) (net.Conn, bool) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.crowdAddress)
	if err != nil {
		return nil, false
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	return c, true
}

// peakMemoryMB returns the largest resident memory of the process so far.
func (p *process) peakMemoryMB() float64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	check(p.t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	check(p.t, err)
	return kib / 1024
}

// descriptors returns the number of descriptors that the process has open.
func (p *process) descriptors() int {
	p.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	check(p.t, err)
	return len(list)
}
