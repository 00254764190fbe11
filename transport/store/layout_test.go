package store

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// recorder answers with the keys and prefixes that it was asked for.
type recorder struct {
	Store
	asked []string
}

func (r *recorder) Get(_ context.Context, key string) (Entry, error) {
	r.asked = append(r.asked, key)
	return Entry{Key: key}, nil
}

func (r *recorder) List(_ context.Context, prefix string) ([]Entry, types.Revision, error) {
	r.asked = append(r.asked, prefix)
	return []Entry{{Key: prefix + "x"}}, 1, nil
}

func (r *recorder) Watch(_ context.Context, prefix string, _ types.Revision) ([]Event, types.Revision, error) {
	r.asked = append(r.asked, prefix)
	return []Event{{Entry: Entry{Key: prefix + "x"}}}, 1, nil
}

func (r *recorder) CAS(_ context.Context, w Write) (types.Revision, error) {
	r.asked = append(r.asked, w.Key)
	return 1, nil
}

// Guards against a watch of all live keys that also delivers every earlier configuration.
func TestHistoryIsOutsideTheLiveKeys(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := &recorder{}
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
	is.Equal(r.asked, []string{"sail/live/config/current", "sail/config/history/", "sail/live/", "sail/config/history/1"})
}
