package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
)

// Lease is a lease on a target that the process holds.
type Lease struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	LeaseEpoch uint64 `json:"leaseEpoch"`
	// Slots is the number of hash slots whose keys the target owns.
	Slots int `json:"slots"`
}

// QueueStatus is the queue and the condition of one target as seen by its dispatcher.
type QueueStatus struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	Waiting  int    `json:"waiting"`
	InFlight int    `json:"inFlight"`
	// Limit is the number of requests that may be in flight now.
	Limit int `json:"limit"`
	// Admitted counts the requests sent to the target since the process started.
	Admitted uint64 `json:"admitted"`
	// Condition is what the dispatcher observed: healthy, cold, straggler, suspected-dead or drained.
	Condition string `json:"condition"`
}

// Status is the body of the response to GET /status.
type Status struct {
	VM            string `json:"vm"`
	Role          string `json:"role"`
	DataCentre    string `json:"dataCentre"`
	Incarnation   uint64 `json:"incarnation"`
	ConfigVersion uint64 `json:"configVersion"`
	// OpsRevision is the revision of the operators' decisions, for example drains, that are in effect.
	OpsRevision   uint64 `json:"opsRevision"`
	StoreRevision uint64 `json:"storeRevision"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	// Planner is true while the process holds the planner lease.
	Planner bool          `json:"planner"`
	Leases  []Lease       `json:"leases"`
	Queues  []QueueStatus `json:"queues"`
}

// StatusPage holds the newest status of a duty. The duty publishes it, and the HTTP handlers read it.
type StatusPage struct {
	current atomic.Pointer[Status]
}

// NewStatusPage returns a page that shows initial until the first Publish.
func NewStatusPage(initial Status) *StatusPage {
	p := &StatusPage{}
	p.Publish(initial)
	return p
}

// Publish replaces the status. The caller must not change its slices afterwards.
func (p *StatusPage) Publish(s Status) { p.current.Store(&s) }

// Current returns the newest status.
func (p *StatusPage) Current() Status { return *p.current.Load() }

// OpsHandler serves the operators' pages: /metrics, /healthz, /readyz, /status and /debug/pprof/. read assembles the
// status from the pages of all duties.
func OpsHandler(m *Metrics, read func() Status) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeReady(w, read())
	}).Methods(http.MethodGet)
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(read())
	}).Methods(http.MethodGet)
	r.PathPrefix("/debug/pprof/profile").HandlerFunc(pprof.Profile)
	r.PathPrefix("/debug/pprof/trace").HandlerFunc(pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return r
}

func writeReady(w http.ResponseWriter, s Status) {
	switch {
	case s.Draining:
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !s.Ready:
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}
