package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// world is the platform on loopback, and the VMs of a test.
type world struct {
	t     *testing.T
	group *duty.Group
	store *backend.Server
	// storeAddress is where all VMs reach the store.
	storeAddress string
	run          uint32
	// seeds are the mirror addresses of the VMs started so far.
	seeds []string
}

// worlds counts the worlds of the process, so that each has addresses of its own.
var worlds atomic.Uint32

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, group: duty.NewGroup(), store: backend.New(backend.DefaultHistory), run: worlds.Add(1)}
	l, err := standin.Listen(t.Context())
	w.check(err)
	w.storeAddress = l.Addr().String()
	w.launch(w.store.Duty(), standin.StoreDuty(l, w.store, "vm"))
	t.Cleanup(func() { w.check(w.group.Abort(context.Background())) })
	return w
}

// newServingWorld returns a world with a target of each service and routes to them. An order takes orderWork.
func newServingWorld(t *testing.T, orderWork time.Duration) (w *world, orders *worldTarget) {
	t.Helper()
	w = newWorld(t)
	w.target("maps", "i-m", true, 0)
	orders = w.target("orders", "i-o", false, orderWork)
	w.configure(10, route("/maps/", true, "maps"), route("/orders/", false, "orders"))
	return w, orders
}

func (w *world) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) launch(duties ...duty.Duty) {
	w.t.Helper()
	for _, d := range duties {
		w.group.Add(d)
	}
	w.check(w.group.Start(w.t.Context()))
}

func (w *world) put(key string, value []byte) {
	w.t.Helper()
	w.check(standin.Replace(w.t.Context(), w.store.Client("operator"), store.Write{Key: key, Value: value}))
}

// setRefuse makes the store refuse all calls.
func (w *world) setRefuse(refuse bool) {
	w.t.Helper()
	w.check(w.store.SetFaults(w.t.Context(), backend.Faults{Down: refuse}))
}

// worldTarget counts the requests that a target has run.
type worldTarget struct{ ran atomic.Int64 }

func (f *worldTarget) count() int { return int(f.ran.Load()) }

func (w *world) target(service types.Service, id types.Target, keyed bool, work time.Duration) *worldTarget {
	w.t.Helper()
	l, err := standin.Listen(w.t.Context())
	w.check(err)
	f := &worldTarget{}
	s := standin.TargetSettings{
		Target: id, Life: 1, Service: service, DataCentre: "north", Keyed: keyed, Slots: 4, QueueLimit: 4, ServiceTime: work,
	}
	w.launch(standin.TargetDuties(l, s, func(event any) {
		if _, ran := event.(standin.RequestStarted); ran {
			f.ran.Add(1)
		}
	})...)
	w.put(standin.Registration(s, l.Addr().String(), false, 0))
	return f
}

func (w *world) configure(version uint32, routes ...standin.Route) {
	w.t.Helper()
	services := []standin.Service{
		{Name: "maps", Keyed: true, ColdTime: 3 * time.Second, ColdRate: 4},
		{Name: "orders", ColdTime: 3 * time.Second, ColdRate: 4},
	}
	w.put(standin.ConfigurationKey, standin.Configuration(version, routes, services))
}

func route(prefix string, idempotent bool, service types.Service) standin.Route {
	return standin.Route{
		Name: prefix, Host: "a.example", Prefix: prefix, Idempotent: idempotent, Service: service,
		Timeout: 1500 * time.Millisecond, Attempts: 2,
	}
}

// vm runs an edge daemon on loopback.
type vm struct {
	front, ready string
	stop         context.CancelFunc
	done         chan error
}

func (w *world) start(name types.VM) *vm {
	w.t.Helper()
	description := standin.VM{
		Name: name, DataCentre: "north", DataCentres: []types.DataCentre{"north"}, IP: standin.LoopbackIP(w.run, len(w.seeds)),
		Seeds: w.seeds, StoreAddress: w.storeAddress, StopGracePeriod: 4 * time.Second, MaxGrantTTL: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5,
	}
	s, err := platform.DecodeSettings(description.SettingsFile())
	w.check(err)
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{
		front: "http://" + description.CallerAddress(), ready: description.ReadyURL(), stop: cancel, done: make(chan error, 1),
	}
	w.seeds = append(w.seeds, description.ControlAddress())
	e := New(s, "", io.Discard)
	go func() { v.done <- e.Run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		<-v.done
	})
	return v
}

func (v *vm) isReady() bool {
	res, err := http.Get(v.ready)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func eventually(t *testing.T, what string, limit time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("%s did not happen within %v", what, limit)
}

func (v *vm) call(method, path, id string, key int, body string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, v.front+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	r.Host = "a.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1400")
	r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}
