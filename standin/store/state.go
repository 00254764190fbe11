package store

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// maxVMSnapshots is the number of VM lists kept, so that an old one can be returned while VMListLagMs is set.
const maxVMSnapshots = 256

// lease is a lease that deletes its keys at end, unless it is renewed for another ttl.
type lease struct {
	ttl time.Duration
	end time.Time
}

// watcher is a watch call that waits until end for a change of a key with the prefix.
type watcher struct {
	client string
	prefix string
	end    time.Time
	reply  chan answer
}

// vmSnapshot is a VM list and the time at which it was set.
type vmSnapshot struct {
	at  time.Time
	vms []store.VMStatus
}

// state is the store's content. The state duty owns it; the front end only reads faults.
type state struct {
	revision          types.Revision
	entries           map[string]store.Entry
	leaseOfKey        map[string]store.LeaseID // by key; the end of the lease deletes the key
	leases            map[store.LeaseID]lease
	lastLease         store.LeaseID
	history           []store.Event  // ordered by revision
	historyLimit      int            // largest length of history
	compactedRevision types.Revision // the history holds the changes after it
	watchers          []watcher
	snapshots         []vmSnapshot
	lose              int // number of next successful writes whose answers are lost
	faults            atomic.Pointer[Faults]
	saved             content // to which restore goes back
	era               atomic.Uint32
}

func newState(limit int) *state {
	s := &state{
		entries:      map[string]store.Entry{},
		leaseOfKey:   map[string]store.LeaseID{},
		leases:       map[store.LeaseID]lease{},
		historyLimit: max(limit, 1),
	}
	s.faults.Store(&Faults{})
	return s
}

// Step implements loop.State.
func (s *state) Step(now time.Time, m message) {
	s.Tick(now)
	if m.kind == kindWatch {
		s.watch(now, m)
		return
	}
	m.reply <- s.apply(now, m)
}

func (s *state) apply(now time.Time, m message) answer {
	switch m.kind {
	case kindGet:
		return s.get(m.key)
	case kindList:
		return s.list(m.key)
	case kindCAS:
		return s.maybeLose(s.cas(m.write))
	case kindLeaseGrant:
		return s.maybeLose(s.grantLease(now, m.ttl))
	case kindLeaseKeepAlive:
		return s.maybeLose(s.keepAlive(now, m.lease))
	case kindLeaseRevoke:
		return s.maybeLose(s.revokeLease(m.lease))
	case kindVMs:
		return s.vms(now)
	case kindSetVMs:
		return s.setVMs(now, m.vms)
	case kindSetFaults:
		return s.setFaults(m.faults)
	case kindCompact:
		return s.compact()
	case kindSnapshot:
		s.saved = s.copyContent()
		return answer{}
	case kindRestore:
		return s.restore(now)
	}
	return failed(types.CodeInternal, "unknown call")
}

// maybeLose marks the answer to a successful write as lost while lose is above zero.
func (s *state) maybeLose(a answer) answer {
	if a.fault == nil && s.lose > 0 {
		s.lose--
		a.lose = true
	}
	return a
}

func (s *state) get(key string) answer {
	e, ok := s.entries[key]
	if !ok {
		return failed(types.CodeNotFound, "key %s does not exist", key)
	}
	return answer{entry: e}
}

func (s *state) list(prefix string) answer {
	found := []store.Entry{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return answer{entries: found, revision: s.revision}
}

func (s *state) cas(w store.Write) answer {
	if w.Key == "" {
		return failed(types.CodeBadRequest, "write without a key")
	}
	if len(w.Value) > store.MaxValueBytes {
		return failed(types.CodeBodyTooLarge, "value of %d bytes is too large", len(w.Value))
	}
	if found := s.entries[w.Key].Revision; found != w.Expected {
		return failed(types.CodeConflict, "key %s has revision %d, expected %d", w.Key, found, w.Expected)
	}
	if w.Delete {
		return s.delete(w.Key, w.WriteID)
	}
	if _, ok := s.leases[w.Lease]; !ok && w.Lease != 0 {
		return failed(types.CodeNotFound, "lease %d does not exist", w.Lease)
	}
	s.revision++
	e := store.Entry{Key: w.Key, Value: w.Value, Revision: s.revision, WriteID: w.WriteID}
	s.entries[w.Key] = e
	s.attach(w.Key, w.Lease)
	s.publish(store.Event{Entry: e})
	return answer{revision: s.revision}
}

func (s *state) attach(key string, id store.LeaseID) {
	if id == 0 {
		delete(s.leaseOfKey, key)
		return
	}
	s.leaseOfKey[key] = id
}

func (s *state) delete(key, writeID string) answer {
	if _, ok := s.entries[key]; !ok {
		return failed(types.CodeNotFound, "key %s does not exist", key)
	}
	s.revision++
	delete(s.entries, key)
	delete(s.leaseOfKey, key)
	s.publish(store.Event{Entry: store.Entry{Key: key, Revision: s.revision, WriteID: writeID}, Deleted: true})
	return answer{revision: s.revision}
}

func (s *state) setFaults(f Faults) answer {
	s.lose = f.LoseAnswers
	s.faults.Store(&f)
	s.watchers = slices.DeleteFunc(s.watchers, func(w watcher) bool { return f.silences(w.client) })
	s.endWatches(func(w watcher) (answer, bool) { return watchEnded, f.Down || f.cuts(w.client) })
	return answer{}
}

// compact discards the history, so that watches from an earlier revision fail.
func (s *state) compact() answer {
	s.history, s.compactedRevision = nil, s.revision
	return answer{revision: s.revision}
}

// Finish implements loop.State.
func (s *state) Finish() {
	s.endWatches(func(watcher) (answer, bool) { return watchEnded, true })
}
