package process

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/daemon/httpserver"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/identity"
)

// handshakeLogInterval is the minimum time between log lines about failed handshakes. A client that redials without pause
// would otherwise fill the log ring, so that other lines are dropped. The metric counts all failed handshakes.
const handshakeLogInterval = time.Second

// OpsServer returns the HTTP server of the admin interface. read returns the status that the status page shows.
func (b *Base) OpsServer(address string, read func() telemetry.Status) *httpserver.Server {
	return &httpserver.Server{
		Limits:         HTTPLimits,
		Headers:        b.headers,
		MaxConnections: adminConnections,
		Name:           "ops",
		Address:        address,
		Handler:        telemetry.OpsHandler(b.Metrics, read),
		Listen:         b.Listen,
		Secure:         b.Identity.AdminListener,
	}
}

// addIdentity sets Identity and adds its duty if the settings have TLS, and logs whether connections are secured.
func (b *Base) addIdentity(s Settings) {
	if s.TLS == nil {
		b.Log.Info("tls is off: links and operators' pages are plain", nil)
		return
	}
	observer := &tlsObserver{log: b.Log, metrics: b.Metrics}
	b.Metrics.Gauge("sail_tls_certificate_not_after_seconds", func() float64 { return float64(observer.notAfter.Load()) })
	b.Identity = identity.New(identity.Options{Settings: *s.TLS, VM: s.VM, Observer: observer})
	b.Metrics.Ring("tls-files", b.Identity.ReloadRequests())
	b.Metrics.Ring("tls-handshakes", b.Identity.Handshakes())
	b.Group.Add(b.Identity.Duty())
	b.Log.Info("tls is on: links and operators' pages require certificates", log.Fields{
		"certFile": s.TLS.CertFile, "keyFile": s.TLS.KeyFile, "caFile": s.TLS.CAFile,
	})
}

// tlsObserver logs and counts certificate loads and failed handshakes of an identity.Source.
type tlsObserver struct {
	log     *telemetry.Log
	metrics *telemetry.Metrics
	// notAfter is when the certificate in use expires, in seconds since the Unix epoch.
	notAfter atomic.Int64
	// loggedAt is when a failed handshake was logged last, in nanoseconds since the Unix epoch.
	loggedAt atomic.Int64
}

func (o *tlsObserver) Loaded(c identity.Certificate) {
	o.notAfter.Store(c.NotAfter.Unix())
	o.metrics.Counter(`sail_tls_loads_total{result="ok"}`).Inc()
	o.log.Info("certificate loaded", log.Fields{
		"names": strings.Join(c.Names, ","), "serial": c.Serial, "notAfter": c.NotAfter.UTC().Format(time.RFC3339),
	})
}

func (o *tlsObserver) LoadFailed(err error) {
	o.metrics.Counter(`sail_tls_loads_total{result="failed"}`).Inc()
	o.log.Warn("certificate files refused, the certificate in use is kept", log.Fields{"error": err.Error()})
}

func (o *tlsObserver) HandshakeFailed(f identity.HandshakeFailure) {
	o.metrics.Counter(`sail_tls_handshakes_failed_total{side="` + string(f.Side) + `"}`).Inc()
	now, last := time.Now().UnixNano(), o.loggedAt.Load()
	if now-last < int64(handshakeLogInterval) || !o.loggedAt.CompareAndSwap(last, now) {
		return
	}
	o.log.Warn("tls handshake failed", log.Fields{"side": string(f.Side), "remote": f.Remote, "error": f.Err.Error()})
}
