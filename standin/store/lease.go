package store

import (
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// leaseWriteID is the write identifier of deletions caused by the end of a lease.
const leaseWriteID = "lease-ended"

func (s *state) grantLease(now time.Time, ttl time.Duration) answer {
	if ttl <= 0 {
		return failed(types.CodeBadRequest, "lease without a time to live")
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, end: now.Add(ttl)}
	return answer{lease: s.lastLease}
}

func (s *state) keepAlive(now time.Time, id store.LeaseID) answer {
	l, ok := s.leases[id]
	if !ok {
		return failed(types.CodeNotFound, "lease %d does not exist", id)
	}
	l.end = now.Add(l.ttl)
	s.leases[id] = l
	return answer{lease: id}
}

func (s *state) revokeLease(id store.LeaseID) answer {
	if _, ok := s.leases[id]; !ok {
		return failed(types.CodeNotFound, "lease %d does not exist", id)
	}
	s.endLease(id)
	return answer{lease: id}
}

func (s *state) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, owner := range s.leaseOfKey {
		if owner == id {
			s.delete(key, leaseWriteID)
		}
	}
}

// Tick implements loop.State. It ends expired leases and watches. Leases also expire while the store is down.
func (s *state) Tick(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.end) {
			s.endLease(id)
		}
	}
	s.endWatches(func(w watcher) (answer, bool) {
		return answer{revision: s.revision}, !now.Before(w.end)
	})
}

// Next implements loop.State.
func (s *state) Next() (at time.Time, ok bool) {
	earlier := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for _, l := range s.leases {
		earlier(l.end)
	}
	for _, w := range s.watchers {
		earlier(w.end)
	}
	return at, ok
}
