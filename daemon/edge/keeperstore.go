package edge

import (
	"context"

	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// storeJob is a read or write of the owners of one service.
type storeJob struct {
	service types.Service
	// table is nil for a read.
	table    *keyspace.Table
	expected types.Revision
}

// keeperStore reads and writes the owners of keys.
type keeperStore struct {
	in    *ring.Ring[storeJob]
	out   *ring.Ring[any]
	store store.Store
}

func (s *keeperStore) duty() duty.Duty { return duty.Duty{Name: "keeper-store", Run: s.run} }

func (s *keeperStore) run(ctx context.Context) error {
	s.in.Serve(ctx, func(j storeJob) error {
		if j.table == nil {
			return s.out.Put(ctx, s.read(ctx, j))
		}
		return s.out.Put(ctx, s.write(ctx, j))
	})
	return nil
}

func (s *keeperStore) read(ctx context.Context, j storeJob) tableRead {
	t, revision, err := readTable(ctx, s.store, j.service)
	if err != nil && types.CodeOf(err) == types.CodeNotFound {
		return tableRead{service: j.service}
	}
	return tableRead{service: j.service, loaded: keyspace.Loaded{Table: t, Found: err == nil}, revision: revision, err: err}
}

// write stores a table. When the answer is lost it reads back whether the write took effect.
func (s *keeperStore) write(ctx context.Context, j storeJob) tableWritten {
	value, err := encodeTable(*j.table)
	if err != nil {
		return tableWritten{service: j.service, err: err}
	}
	callCtx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	revision, err := s.store.CAS(callCtx, store.Write{Key: ownersKey(j.service), Expected: j.expected, Value: value})
	if code := types.CodeOf(err); err != nil && (code == types.CodeAnswerLost || code == types.CodeConflict) {
		if back := s.read(ctx, j); back.err == nil && back.loaded.Table.Writer == j.table.Writer {
			return tableWritten{service: j.service, revision: back.revision}
		}
	}
	return tableWritten{service: j.service, revision: revision, err: err}
}
