package store

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// watch answers at once if the history has a matching change, else at the next one or when the wait is over.
func (s *state) watch(now time.Time, m message) {
	if m.after < s.compactedRevision || m.after > s.revision {
		m.reply <- failed(types.CodeNotFound, "history does not reach back to revision %d", m.after)
		return
	}
	if found := s.changes(m.key, m.after); len(found) > 0 {
		m.reply <- answer{events: found, revision: s.revision}
		return
	}
	wait := min(m.wait, store.MaxWatchWait)
	if wait <= 0 {
		m.reply <- answer{revision: s.revision}
		return
	}
	s.watchers = append(s.watchers, watcher{client: m.client, prefix: m.key, end: now.Add(wait), reply: m.reply})
}

func (s *state) changes(prefix string, after types.Revision) []store.Event {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(e store.Event, r types.Revision) int {
		return cmp.Compare(e.Revision, r)
	})
	var found []store.Event
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// publish appends e to the history and answers the watchers of its key.
func (s *state) publish(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > s.historyLimit {
		s.compactedRevision = s.history[0].Revision
		s.history[0] = store.Event{}
		s.history = s.history[1:]
	}
	s.endWatches(func(w watcher) (answer, bool) {
		return answer{events: []store.Event{e}, revision: e.Revision}, strings.HasPrefix(e.Key, w.prefix)
	})
}

// endWatches answers and removes the watchers for which end returns true.
func (s *state) endWatches(end func(watcher) (answer, bool)) {
	s.watchers = slices.DeleteFunc(s.watchers, func(w watcher) bool {
		a, over := end(w)
		if over {
			w.reply <- a
		}
		return over
	})
}

// setVMs records the platform's VM list.
func (s *state) setVMs(now time.Time, vms []store.VMStatus) answer {
	s.snapshots = append(s.snapshots, vmSnapshot{at: now, vms: vms})
	if len(s.snapshots) > maxVMSnapshots {
		s.snapshots = s.snapshots[1:]
	}
	return answer{}
}

// vms returns the newest VM list that is at least VMListLagMs old.
func (s *state) vms(now time.Time) answer {
	until := now.Add(-time.Duration(s.faults.Load().VMListLagMs) * time.Millisecond)
	for i := len(s.snapshots) - 1; i >= 0; i-- {
		if !s.snapshots[i].at.After(until) {
			return answer{vms: s.snapshots[i].vms}
		}
	}
	return answer{vms: []store.VMStatus{}}
}
