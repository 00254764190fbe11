package process

import (
	"maps"
	"slices"
	"sync/atomic"

	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Mirror holds the store entries as last read, for peers that start while the store is unavailable. The watch duty writes
// it and the peer server reads it.
type Mirror struct {
	// entries is used by the watch duty only.
	entries map[string]store.Entry
	// current is the answer to peers. It is replaced as a whole and never modified.
	current atomic.Pointer[peer.LatestAnswer]
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	m := &Mirror{entries: make(map[string]store.Entry)}
	m.current.Store(&peer.LatestAnswer{})
	return m
}

// apply updates the entries with the result of a list or watch call and replaces the answer to peers.
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

// PeerService serves the net/rpc methods Peer.* to other processes.
type PeerService struct {
	Mirror *Mirror
}

// Latest returns the store entries that this process last read.
func (s *PeerService) Latest(_ *peer.Empty, out *peer.LatestAnswer) error {
	*out = *s.Mirror.current.Load()
	return nil
}
