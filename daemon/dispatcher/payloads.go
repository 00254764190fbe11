package dispatcher

import (
	"sync/atomic"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
)

const (
	// payloadCost and headerLineCost estimate the memory of a payload besides its bytes: its entries in the tables of the worker and
	// of the dispatch core, and the entry of a map and a slice for each header line.
	payloadCost    = 1 << 10
	headerLineCost = 200
)

// payloads holds the requests in progress, and the requests with their answers that the dispatch core remembers. It is used by the
// dispatch duty only, except for bytes.
type payloads struct {
	byHandle map[dispatch.Handle]*payload
	// bytes is the estimated memory of all payloads, limit the one from which on no further request is remembered.
	bytes atomic.Int64
	limit int64
}

func newPayloads(limit int64) *payloads {
	return &payloads{byHandle: make(map[dispatch.Handle]*payload), limit: limit}
}

// full reports whether no further request is remembered.
func (s *payloads) full() bool { return s.bytes.Load() >= s.limit }

func (s *payloads) add(h dispatch.Handle, p *payload) {
	s.byHandle[h] = p
	s.resize(p)
}

// resize counts a payload whose content has changed.
func (s *payloads) resize(p *payload) {
	size := p.estimate()
	s.bytes.Add(size - p.counted)
	p.counted = size
}

func (s *payloads) remove(h dispatch.Handle) {
	if p, found := s.byHandle[h]; found {
		s.bytes.Add(-p.counted)
		delete(s.byHandle, h)
	}
}

// dropContent keeps only what identifies a request that is done, and where it was sent: it is not sent again.
func (p *payload) dropContent() {
	r := p.request
	p.request = &peer.DoRequest{
		RequestID: r.RequestID, Caller: r.Caller, Service: r.Service, Target: r.Target, Slot: r.Slot, KeyHash: r.KeyHash,
	}
}

// estimate returns the estimated memory of a payload, in bytes.
func (p *payload) estimate() int64 {
	size := payloadCost
	if p.request != nil {
		size += len(p.request.Body) + len(p.request.Path) + len(p.request.Key) + headerSize(p.request.Header)
	}
	if p.targetResponse != nil {
		size += len(p.targetResponse.body) + headerSize(p.targetResponse.header)
	}
	return int64(size)
}

func headerSize(header map[string][]string) (size int) {
	for name, values := range header {
		size += headerLineCost + len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
