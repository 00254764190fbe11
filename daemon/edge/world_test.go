package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoiasail.example/platform"
	"sequoiasail.example/types"
)

// world is the platform on loopback: a store with watches and leases, and targets that take grants.
type world struct {
	t       *testing.T
	store   *httptest.Server
	mu      sync.Mutex
	changed chan struct{}
	items   map[string]item
	log     []item
	rev     uint64
	leases  uint64
	// refuse makes the store answer 503.
	refuse bool
	calls  int
	// seeds are the mirror addresses of the VMs started so far.
	seeds []string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, items: make(map[string]item), changed: make(chan struct{})}
	w.store = httptest.NewServer(http.HandlerFunc(w.serve))
	t.Cleanup(func() {
		w.store.CloseClientConnections()
		w.store.Close()
	})
	return w
}

func (w *world) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.calls++
	refuse := w.refuse
	w.mu.Unlock()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case refuse:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case path == "/api/kv-watch":
		w.watch(rw, r, q)
	case path == "/api/kv-range":
		w.list(rw, q.Get("prefix"))
	case path == "/api/kv-key":
		w.get(rw, q.Get("key"))
	case path == "/api/kv-txn":
		w.txn(rw, r)
	case path == "/api/kv-lease":
		w.mu.Lock()
		w.leases++
		id := w.leases
		w.mu.Unlock()
		reply(rw, map[string]any{"lease": id, "ttl_s_time": 3})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		reply(rw, map[string]any{"ttl_s_time": 3})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		w.endLease(strings.TrimPrefix(path, "/api/kv-lease-end/"))
		reply(rw, map[string]any{})
	}
}

func reply(rw http.ResponseWriter, v any) { _ = json.NewEncoder(rw).Encode(v) }

func (w *world) write(i item) {
	w.rev++
	i.Revision = w.rev
	w.log = append(w.log, i)
	if i.Removed {
		delete(w.items, i.Key)
	} else {
		w.items[i.Key] = i
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.t.Error(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(item{Key: key, Value: data})
}

func (w *world) setRefuse(refuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse = refuse
}

func (w *world) endLease(text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, i := range w.items {
		if i.Lease == id {
			w.write(item{Key: key, Removed: true})
		}
	}
}

func (w *world) list(rw http.ResponseWriter, prefix string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	items := []item{}
	for key, i := range w.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	reply(rw, map[string]any{"items": items, "more_pages": false, "current_rev": w.rev})
}

func (w *world) get(rw http.ResponseWriter, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, ok := w.items[key]
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	reply(rw, i)
}

func (w *world) watch(rw http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	for {
		w.mu.Lock()
		events, changed, rev := []item{}, w.changed, w.rev
		for _, i := range w.log {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		w.mu.Unlock()
		if len(events) > 0 {
			reply(rw, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (w *world) txn(rw http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Writes       []item   `json:"writes"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range t.Precondition {
		if w.items[p.Key].Revision != p.Revision {
			rw.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Writes {
		w.write(i)
	}
	for _, key := range t.Remove {
		w.write(item{Key: key, Removed: true})
	}
	reply(rw, map[string]any{"revision": w.rev})
}

// fakeTarget runs requests for the keys that it holds.
type fakeTarget struct {
	id     string
	server *httptest.Server
	mu     sync.Mutex
	holds  map[int]time.Time
	ran    []string
	// delay is how long a request takes.
	delay time.Duration
}

func (w *world) target(service, id string, keyed bool) *fakeTarget {
	f := &fakeTarget{id: id, holds: make(map[int]time.Time)}
	f.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { f.serve(rw, r, keyed) }))
	w.t.Cleanup(f.server.Close)
	w.register(f, service, "ready")
	return f
}

func (w *world) register(f *fakeTarget, service, state string) {
	w.put("servers/"+f.id, map[string]any{
		"service": service, "address": f.address(), "zone": "north", "version": "v1", "slots": 4, "state": state,
		"warmup_left_s": 0, "seq_no": 1, "born": 1,
	})
}

func (f *fakeTarget) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

func (f *fakeTarget) serve(rw http.ResponseWriter, r *http.Request, keyed bool) {
	rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expected-Instance"); want != f.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/api/grant", "/api/release":
		f.order(r)
		return
	case "/health":
		rw.Header().Set("X-Server-Load", "0,0,4,100")
		return
	}
	key, _ := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if keyed && !time.Now().Before(f.holds[key]) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.ran = append(f.ran, r.Header.Get("X-Request-Id"))
	time.Sleep(f.delay)
	rw.Header().Set("X-Response-Signature", "signed-"+f.id)
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(rw, "%s %s %s", r.Method, r.RequestURI, body)
}

func (f *fakeTarget) order(r *http.Request) {
	var o struct {
		From, To int
		Hold     float64 `json:"hold_s"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	for k := o.From; k <= o.To; k++ {
		f.holds[k] = time.Now().Add(time.Duration(o.Hold * float64(time.Second)))
	}
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran)
}

func (w *world) configure(version string, routes ...map[string]any) {
	w.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "maps", "health_path": "/health", "max_conns": 100, "warmup_s": 3, "warmup_per_s": 4, "sharded": true},
			{"name": "orders", "health_path": "/health", "max_conns": 100, "warmup_s": 3, "warmup_per_s": 4},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1024, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
}

func route(prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": prefix, "host": "a.example", "prefix": prefix, "route_type": kind, "timeout_s": 1.5, "target_latency_s": 0.5,
		"priority": 1, "service": service, "max_attempts": 2,
	}
}

// vm runs an edge daemon on loopback.
type vm struct {
	front, ready string
	stop         context.CancelFunc
	done         chan error
}

func (w *world) start(name string) *vm {
	w.t.Helper()
	port := freePort(w.t)
	s := platform.Settings{
		VM: types.VM(name), DataCentre: "north", IP: "127.0.0.1",
		CallerAddress: fmt.Sprintf("127.0.0.1:%d", freePort(w.t)), ReadyAddress: fmt.Sprintf("127.0.0.1:%d", freePort(w.t)),
		PeerPort: port, MirrorAddress: fmt.Sprintf("127.0.0.1:%d", port), Seeds: w.seeds, StoreAddress: strings.TrimPrefix(w.store.URL, "http://"), ShortestLease: time.Second,
		StopTime: 4 * time.Second, LongestHold: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		ColdOvershoot: 1.5, ColdSlack: 5, Cores: 1,
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{front: "http://" + s.CallerAddress, ready: "http://" + s.ReadyAddress, stop: cancel, done: make(chan error, 1)}
	w.seeds = append(w.seeds, s.MirrorAddress)
	e := New(s, "", io.Discard)
	go func() { v.done <- e.Run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		<-v.done
	})
	return v
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (v *vm) isReady() bool {
	res, err := http.Get(v.ready + "/api/ready")
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
