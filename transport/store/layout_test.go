package store

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// recordingStore records the keys and prefixes of its calls and returns entries with these keys.
type recordingStore struct {
	Store
	requested []string
}

func (r *recordingStore) Get(_ context.Context, key string) (Entry, error) {
	r.requested = append(r.requested, key)
	return Entry{Key: key}, nil
}

func (r *recordingStore) List(_ context.Context, prefix string) ([]Entry, types.Revision, error) {
	r.requested = append(r.requested, prefix)
	return []Entry{{Key: prefix + "x"}}, 1, nil
}

func (r *recordingStore) Watch(_ context.Context, prefix string, _ types.Revision) ([]Event, types.Revision, error) {
	r.requested = append(r.requested, prefix)
	return []Event{{Entry: Entry{Key: prefix + "x"}}}, 1, nil
}

func (r *recordingStore) CAS(_ context.Context, w Write) (types.Revision, error) {
	r.requested = append(r.requested, w.Key)
	return 1, nil
}

// Guards against a watch of all live keys that also returns every earlier configuration.
func TestHistoryIsOutsideLiveKeys(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := &recordingStore{}
	s := WithLayout(r)
	e, err := s.Get(ctx, "config/current")
	is.NoErr(err)
	is.Equal(e.Key, "config/current")
	list, _, err := s.List(ctx, "config/history/")
	is.NoErr(err)
	is.Equal(list[0].Key, "config/history/x")
	events, _, err := s.Watch(ctx, "", 0)
	is.NoErr(err)
	is.Equal(events[0].Key, "x")
	_, err = s.CAS(ctx, Write{Key: "config/history/1"})
	is.NoErr(err)
	is.Equal(r.requested, []string{"sail/live/config/current", "sail/config/history/", "sail/live/", "sail/config/history/1"})
}
