package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
)

const (
	// readyInterval is the time between two readiness probes of a VM, readyTimeout bounds one probe.
	readyInterval = time.Second
	readyTimeout  = 500 * time.Millisecond
	// maxReadyFailures is the number of failed probes in a row after which a VM gets no new connections.
	maxReadyFailures = 2
)

// rotation probes the readiness of the VMs, as the platform's load balancer does, and keeps the set of VMs in rotation.
type rotation struct {
	urls     []string
	failures []int
	// inRotation is a bit mask: bit i is set while VM i receives new connections.
	inRotation *atomic.Uint64
	client     *http.Client
}

func newRotation(urls []string) *rotation {
	return &rotation{
		urls: urls, failures: make([]int, len(urls)), inRotation: &atomic.Uint64{},
		client: &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (r *rotation) duty() duty.Duty { return duty.Duty{Name: "rotation", Run: r.run} }

func (r *rotation) run(ctx context.Context) error {
	for i := range r.failures {
		r.failures[i] = maxReadyFailures
	}
	for ctx.Err() == nil {
		next := time.Now().Add(readyInterval)
		mask := uint64(0)
		for i, url := range r.urls {
			if r.ready(ctx, url) {
				r.failures[i] = 0
			} else {
				r.failures[i]++
			}
			if r.failures[i] < maxReadyFailures {
				mask |= 1 << i
			}
		}
		r.inRotation.Store(mask)
		duty.Pause(ctx, time.Until(next))
	}
	return nil
}

func (r *rotation) ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := r.client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// allInRotation reports whether all VMs receive new connections.
func (r *rotation) allInRotation() bool { return r.inRotation.Load() == 1<<len(r.urls)-1 }
