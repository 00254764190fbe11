package store

import (
	"maps"
	"slices"
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// content is what a snapshot keeps of the state.
type content struct {
	revision, compactedRevision types.Revision
	entries                     map[string]store.Entry
	leaseOfKey                  map[string]store.LeaseID
	leases                      map[store.LeaseID]lease
	lastLease                   store.LeaseID
	history                     []store.Event
}

func (s *state) copyContent() content {
	return content{
		revision: s.revision, compactedRevision: s.compactedRevision, entries: maps.Clone(s.entries),
		leaseOfKey: maps.Clone(s.leaseOfKey), leases: maps.Clone(s.leases), lastLease: s.lastLease, history: slices.Clone(s.history),
	}
}

// restore goes back to the saved content. The leases in it run for their full time to live again.
func (s *state) restore(now time.Time) answer {
	saved := s.saved
	s.revision, s.compactedRevision, s.lastLease = saved.revision, saved.compactedRevision, saved.lastLease
	s.history = slices.Clone(saved.history)
	s.entries, s.leaseOfKey = cloneMap(saved.entries), cloneMap(saved.leaseOfKey)
	s.leases = cloneMap(saved.leases)
	for id, l := range s.leases {
		l.end = now.Add(l.ttl)
		s.leases[id] = l
	}
	s.era.Add(1)
	s.endWatches(func(watcher) (answer, bool) {
		return failed(types.CodeNotFound, "the store went back to a snapshot"), true
	})
	return answer{}
}

// cloneMap is maps.Clone, but returns an empty map for nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
