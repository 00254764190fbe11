package store

import (
	"context"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// Prefixes of the system's keys in the platform's store.
const (
	liveRoot    = "sail/live/"
	historyRoot = "sail/"
	// historyPrefix starts the keys of earlier configurations.
	historyPrefix = "config/history/"
)

// Layout places the system's keys under roots of their own. History is apart from what processes watch: at the design
// size 100 earlier configurations are 20 MB, which each process would read at its start and again with each change.
type Layout struct {
	Store
}

// WithLayout returns s with the system's keys at their places. List and Watch with an empty prefix leave the history
// out; the history has the prefix config/history/.
func WithLayout(s Store) *Layout { return &Layout{s} }

func place(key string) string {
	if strings.HasPrefix(key, historyPrefix) {
		return historyRoot + key
	}
	return liveRoot + key
}

func unplace(key string) string {
	if live, ok := strings.CutPrefix(key, liveRoot); ok {
		return live
	}
	return strings.TrimPrefix(key, historyRoot)
}

// Get implements Store.
func (l *Layout) Get(ctx context.Context, key string) (Entry, error) {
	e, err := l.Store.Get(ctx, place(key))
	e.Key = unplace(e.Key)
	return e, err
}

// List implements Store.
func (l *Layout) List(ctx context.Context, prefix string) ([]Entry, types.Revision, error) {
	entries, revision, err := l.Store.List(ctx, place(prefix))
	for i := range entries {
		entries[i].Key = unplace(entries[i].Key)
	}
	return entries, revision, err
}

// CAS implements Store.
func (l *Layout) CAS(ctx context.Context, w Write) (types.Revision, error) {
	w.Key = place(w.Key)
	return l.Store.CAS(ctx, w)
}

// Watch implements Store.
func (l *Layout) Watch(ctx context.Context, prefix string, after types.Revision) ([]Event, types.Revision, error) {
	events, next, err := l.Store.Watch(ctx, place(prefix), after)
	for i := range events {
		events[i].Key = unplace(events[i].Key)
	}
	return events, next, err
}

// Connect returns the platform's store at address with the system's layout. name identifies the calling process.
func Connect(address, name string, timeout time.Duration) *Layout {
	return WithLayout(NewHTTP(Options{Address: address, Name: name, Timeout: timeout}))
}

// Close closes the connections of a store that Connect returned.
func (l *Layout) Close() {
	if h, ok := l.Store.(*HTTP); ok {
		h.Close()
	}
}
