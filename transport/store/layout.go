package store

import (
	"context"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// Prefixes of keys. The first two are added in the platform's store.
const (
	livePrefix  = "sail/live/"
	historyRoot = "sail/"
	// historyPrefix is the prefix of the keys of earlier configurations.
	historyPrefix = "config/history/"
)

// Layout is a Store that maps the system's keys to prefixes in the platform's store. The history has a prefix outside
// the one that processes watch: at the design size 100 earlier configurations are 20 MB, which each process would read
// at its start and again with each change.
type Layout struct {
	Store
}

// WithLayout returns s with the system's key layout. List and Watch with an empty prefix omit the history, which has
// the prefix config/history/.
func WithLayout(s Store) *Layout { return &Layout{s} }

// storeKey returns the key in the platform's store for a key of the system.
func storeKey(key string) string {
	if strings.HasPrefix(key, historyPrefix) {
		return historyRoot + key
	}
	return livePrefix + key
}

// logicalKey is the inverse of storeKey.
func logicalKey(key string) string {
	if live, ok := strings.CutPrefix(key, livePrefix); ok {
		return live
	}
	return strings.TrimPrefix(key, historyRoot)
}

// Get implements Store.
func (l *Layout) Get(ctx context.Context, key string) (Entry, error) {
	e, err := l.Store.Get(ctx, storeKey(key))
	e.Key = logicalKey(e.Key)
	return e, err
}

// List implements Store.
func (l *Layout) List(ctx context.Context, prefix string) ([]Entry, types.Revision, error) {
	entries, revision, err := l.Store.List(ctx, storeKey(prefix))
	for i := range entries {
		entries[i].Key = logicalKey(entries[i].Key)
	}
	return entries, revision, err
}

// CAS implements Store.
func (l *Layout) CAS(ctx context.Context, w Write) (types.Revision, error) {
	w.Key = storeKey(w.Key)
	return l.Store.CAS(ctx, w)
}

// Watch implements Store.
func (l *Layout) Watch(ctx context.Context, prefix string, after types.Revision) ([]Event, types.Revision, error) {
	events, next, err := l.Store.Watch(ctx, storeKey(prefix), after)
	for i := range events {
		events[i].Key = logicalKey(events[i].Key)
	}
	return events, next, err
}

// Connect returns a client of the platform's store at address with the system's key layout. name identifies the calling
// process.
func Connect(address, name string, timeout time.Duration) *Layout {
	return WithLayout(NewHTTP(Options{Address: address, Name: name, Timeout: timeout}))
}

// Close closes the idle connections of a store that Connect returned.
func (l *Layout) Close() {
	if h, ok := l.Store.(*HTTP); ok {
		h.Close()
	}
}
