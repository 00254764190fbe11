package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
)

const (
	// readyInterval is how often a VM is asked whether it is ready, readyTimeout bounds the question.
	readyInterval = time.Second
	readyTimeout  = 500 * time.Millisecond
	// readyMisses is the number of questions in a row after which a VM gets no new connections.
	readyMisses = 2
)

// rotation asks the VMs whether they are ready, as the platform's load balancer does.
type rotation struct {
	urls   []string
	misses []int
	// open holds a bit for each VM that takes new connections.
	open   *atomic.Uint64
	client *http.Client
}

func newRotation(urls []string) *rotation {
	return &rotation{
		urls: urls, misses: make([]int, len(urls)), open: &atomic.Uint64{},
		client: &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (r *rotation) duty() duty.Duty { return duty.Duty{Name: "rotation", Run: r.run} }

func (r *rotation) run(ctx context.Context) error {
	for i := range r.misses {
		r.misses[i] = readyMisses
	}
	for ctx.Err() == nil {
		next := time.Now().Add(readyInterval)
		mask := uint64(0)
		for i, url := range r.urls {
			if r.ready(ctx, url) {
				r.misses[i] = 0
			} else {
				r.misses[i]++
			}
			if r.misses[i] < readyMisses {
				mask |= 1 << i
			}
		}
		r.open.Store(mask)
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

// allOpen reports whether all VMs take connections.
func (r *rotation) allOpen() bool { return r.open.Load() == 1<<len(r.urls)-1 }
