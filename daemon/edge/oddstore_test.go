package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/platform/standin"
	"sequoiasail.example/transport/store"
)

// trap is an address at which no connection may arrive.
type trap struct {
	address string
	reached atomic.Int32
}

func newTrap(t *testing.T) *trap {
	t.Helper()
	l, err := standin.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	tr := &trap{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tr.reached.Add(1)
			c.Close()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return tr
}

// oddEntries are entries of another writer by key. Each registration would lead requests to address if it were used.
func oddEntries(address string) map[string]string {
	settings := standin.TargetSettings{Target: "odd", Incarnation: 1, Service: "orders", DataCentre: "north", Slots: 4}
	_, value := standin.Registration(settings, address, false, 0)
	good := string(value)
	with := func(old, changed string) string { return strings.Replace(good, old, changed, 1) }
	_, port, _ := net.SplitHostPort(address)
	odd := map[string]string{
		"servers/odd-nested":        `{"x":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `,` + good[1:],
		"servers/odd-slots":         with(`"slots":4`, `"slots":1000000000`),
		"servers/odd-slots-64":      with(`"slots":4`, `"slots":99999999999999999999`),
		"servers/odd-start":         with(`"born":1`, `"born":9223372036854775807`),
		"servers/odd-start-text":    with(`"born":1`, `"born":"1"`),
		"servers/odd-sequence":      with(`"seq_no":1`, `"seq_no":99999999999999999999`),
		"servers/odd-port":          with(":"+port, ":65536"),
		"servers/odd-port-0":        with(":"+port, ":0"),
		"servers/odd-port-sign":     with(":"+port, ":+"+port),
		"servers/odd-port-zeros":    with(":"+port, ":000"+port),
		"servers/odd-address":       with("127.0.0.1", "0.0.0.0"),
		"servers/odd-service":       with(`"orders"`, `"none"`),
		"servers/odd-service-empty": with(`"orders"`, `""`),
		"servers/odd-service-long":  with(`"orders"`, `"`+strings.Repeat("o", 100_000)+`"`),
		"servers/odd-state":         with(`"ready"`, `"resting"`),
		"servers/odd-warmup":        with(`"warmup_left_s":0`, `"warmup_left_s":-1e300`),
		"servers/odd-warmup-power":  with(`"warmup_left_s":0`, `"warmup_left_s":1e999`),
		"servers/odd-null":          `null`,
		"servers/odd-bytes":         "\x00\xff\xfe",
		"servers/odd-empty":         ``,
		"servers/odd-cbor":          "\xbf\x67service\x7f\xff\xff",
		"servers/odd-1MB":           `{"x":"` + strings.Repeat("x", 900_000) + `",` + good[1:],
		"servers/odd name":          good,
		"servers/odd\r\nX-Forged:1": good,
		"servers/":                  good,
		"sail/vm/":                  `{}`,
		"sail/vm/odd-nested":        strings.Repeat("[", 100_000),
		"sail/vm/odd-null":          `null`,
		"sail/vm/odd-name":          `{"vm":"odd-name","incarnation":1,"dataCentre":"north","cores":1,"peerAddress":"odd.invalid:7540","mirrorAddress":"odd.invalid:8544"}`,
		"sail/vm/odd-cores":         `{"vm":"odd-cores","incarnation":1,"dataCentre":"north","cores":1e300,"peerAddress":"127.0.0.1:1","mirrorAddress":"127.0.0.1:1"}`,
		"sail/vm/odd-other":         `{"vm":"vm-1","incarnation":1,"dataCentre":"north","cores":1,"peerAddress":"127.0.0.1:1","mirrorAddress":"127.0.0.1:1"}`,
		"sail/odd":                  strings.Repeat("{", 1000),
		"op/odd":                    strings.Repeat("[", 100_000),
		"op/evacuate/":              `null`,
		"op/evacuate/odd\n":         strings.Repeat("9", 100_000),
	}
	return odd
}

// Guards against the incident in which one odd entry of another writer ended the machines that read the list or kept them from
// following it: among odd entries written before its start and while it runs, a VM serves, sends requests to a target that is
// registered after them, none to one that is removed or whose entry becomes odd, and takes a new configuration.
func TestVMFollowsTheStoreAmongOddEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	tr := newTrap(t)
	odd := oddEntries(tr.address)
	for key, value := range odd {
		c.put(key, []byte(value))
	}
	c.put("sail/keeper", []byte(`{"vm":`+strings.Repeat("9", 1000)+`}`))
	c.target("maps", "i-m", true, 0)
	first := c.target("orders", "i-o1", false, 0)
	c.configure(10, route("/maps/", true, "maps"), route("/orders/", false, "orders"))
	vms := []*vm{c.start("vm-1"), c.start("vm-2")}
	requests := 0
	order := func(v *vm, path string) int {
		requests++
		res, _, err := v.call("POST", path, fmt.Sprintf("o%d", requests), 1, "b")
		if err != nil {
			return 0
		}
		return res.StatusCode
	}
	for _, v := range vms {
		eventually(t, "readiness", 10*time.Second, v.isReady)
		eventually(t, "an answer for a key", 3*time.Second, func() bool {
			requests++
			res, _, err := v.call("GET", "/maps/1", fmt.Sprintf("k%d", requests), 7, "")
			return err == nil && res.StatusCode == 200
		})
		is.Equal(order(v, "/orders/1"), 200)
	}
	// The entries change while the VMs follow the list: each is written again, and some are removed.
	for key, value := range odd {
		c.put(key, []byte(value+" "))
	}
	second := c.target("orders", "i-o2", false, 0)
	c.put("servers/i-o1", []byte(odd["servers/odd-nested"]))
	anyVM := func() { order(vms[requests%2], "/orders/1") }
	eventually(t, "requests to the target registered after the odd entries", 3*time.Second, func() bool { anyVM(); return second.count() > 0 })
	awaitSilence(t, first, anyVM)
	third := c.target("orders", "i-o3", false, 0)
	c.check(standin.Replace(t.Context(), c.store.Client("operator"), store.Write{Key: "servers/i-o2", Delete: true}))
	eventually(t, "requests to a third target", 3*time.Second, func() bool { anyVM(); return third.count() > 0 })
	awaitSilence(t, second, anyVM)
	c.configure(16, route("/new/", false, "orders"))
	for _, v := range vms {
		eventually(t, "the new configuration", 2*time.Second, func() bool { return order(v, "/new/1") == 200 })
		is.Equal(order(v, "/orders/1"), http.StatusNotFound)
		is.True(v.isReady())
		select {
		case err := <-v.done:
			t.Fatalf("a VM has ended: %v", err)
		default:
		}
	}
	is.Equal(tr.reached.Load(), int32(0))
}

// awaitSilence sends requests until a target has got none for half a second.
func awaitSilence(t *testing.T, target *clusterTarget, request func()) {
	t.Helper()
	last, since := target.count(), time.Now()
	eventually(t, "the end of the requests to a target", 3*time.Second, func() bool {
		request()
		if n := target.count(); n != last {
			last, since = n, time.Now()
		}
		return time.Since(since) > 500*time.Millisecond
	})
}

// Guards against a keyed service that is never served again after another writer has damaged its owner table: each coordinator
// read the table again and again.
func TestDamagedOwnerTableIsReplaced(t *testing.T) {
	is := is.New(t)
	c, _ := newServingCluster(t, 0)
	c.put("sail-keys/maps", []byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	v := c.start("vm-1")
	served := func() bool {
		res, _, err := v.call("GET", "/maps/1", "r1", 7, "")
		return err == nil && res.StatusCode == 200
	}
	eventually(t, "an answer for a key", 20*time.Second, served)
	is.True(v.isReady())
}
