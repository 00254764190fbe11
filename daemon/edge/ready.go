package edge

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"sequoiasail.example/platform"
	"sequoiasail.example/telemetry"
)

// readiness is the HTTP handler that tells the load balancer whether this VM takes new connections. It also serves metrics.
type readiness struct {
	storeCache *storeCache
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	// accepts reports whether connections of callers are accepted.
	accepts func() bool
}

func (r *readiness) ready() bool {
	return !r.stopping.Load() && r.storeCache.published.Load().complete && r.accepts()
}

func (r *readiness) handler(m *telemetry.Metrics) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	router.PathPrefix("/").Handler(telemetry.OpsHandler(m, r.status))
	return router
}

func (r *readiness) status() telemetry.Status {
	s := telemetry.Status{Ready: r.ready(), Draining: r.stopping.Load(), Role: "edge"}
	if v := r.storeCache.published.Load(); v.table != nil {
		s.ConfigVersion = uint64(v.table.Version())
	}
	return s
}
