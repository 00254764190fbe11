package process

import (
	"maps"
	"slices"
	"sync/atomic"

	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Mirror keeps what the store held when it was last read, for processes that start while the store is out of reach. It
// is written by the watch duty and read by the peer server.
type Mirror struct {
	entries map[string]store.Entry
	current atomic.Pointer[peer.LatestAnswer]
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	m := &Mirror{entries: make(map[string]store.Entry)}
	m.current.Store(&peer.LatestAnswer{})
	return m
}

// apply follows one answer of the store.
func (m *Mirror) apply(u Update) {
	if u.Err != nil {
		return
	}
	if u.Snapshot {
		clear(m.entries)
	}
	for _, e := range u.Events {
		if e.Deleted {
			delete(m.entries, e.Key)
			continue
		}
		m.entries[e.Key] = e.Entry
	}
	if len(u.Events) > 0 || u.Snapshot {
		m.publish(u.Revision)
	}
}

func (m *Mirror) publish(revision types.Revision) {
	answer := &peer.LatestAnswer{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[key]
		answer.Entries = append(answer.Entries, peer.LatestEntry{
			Key: e.Key, Value: e.Value, Revision: e.Revision, WriteID: e.WriteID,
		})
	}
	m.current.Store(answer)
}

// PeerService serves Peer.* to other processes.
type PeerService struct {
	Mirror *Mirror
}

// Latest returns what this process last read from the store.
func (s *PeerService) Latest(_ *peer.Empty, out *peer.LatestAnswer) error {
	*out = *s.Mirror.current.Load()
	return nil
}
