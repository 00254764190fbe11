package edge

import (
	"context"

	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// tableJob is a read or a conditional write of the owner table of one service.
type tableJob struct {
	service types.Service
	command keyspace.Command
	// table is nil for a read.
	table *keyspace.Table
	// expected is the store revision that a write replaces.
	expected types.Revision
}

// tableStore reads and writes owner tables in the store for the coordinator.
type tableStore struct {
	in    *ring.Ring[tableJob]
	out   *ring.Ring[any]
	store store.Store
}

func (s *tableStore) duty() duty.Duty { return duty.Duty{Name: "keeper-store", Run: s.run} }

func (s *tableStore) run(ctx context.Context) error {
	s.in.Serve(ctx, func(j tableJob) error {
		if j.table == nil {
			return s.out.Put(ctx, s.read(ctx, j))
		}
		return s.out.Put(ctx, s.write(ctx, j))
	})
	return nil
}

func (s *tableStore) read(ctx context.Context, j tableJob) tableRead {
	t, revision, err := readTable(ctx, s.store, j.service)
	r := tableRead{service: j.service, loaded: keyspace.Loaded{Command: j.command, Table: t, Found: err == nil, Revision: revision}}
	if types.CodeOf(err) != types.CodeNotFound {
		r.err = err
	}
	return r
}

// write stores a table. After a lost answer or a conflict it reads the table back to find out whether the write took effect. A table
// found in a later era doesn't show it: the snapshot may have it, and the next one may not.
func (s *tableStore) write(ctx context.Context, j tableJob) tableWritten {
	value, err := encodeTable(*j.table)
	if err != nil {
		return j.written(0, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err := s.store.CAS(callCtx, store.Write{Key: ownersKey(j.service), Expected: j.expected, Value: value})
	if code := types.CodeOf(err); err != nil && (code == types.CodeAnswerLost || code == types.CodeConflict) {
		if back := s.read(ctx, j); back.err == nil && back.loaded.Table.Writer == j.table.Writer && back.loaded.Revision.Era() == j.expected.Era() {
			return j.written(back.loaded.Revision, nil)
		}
	}
	return j.written(revision, err)
}

// written returns the result of a write.
func (j tableJob) written(revision types.Revision, err error) tableWritten {
	return tableWritten{service: j.service, committed: keyspace.Committed{Command: j.command, Revision: revision, Err: err}}
}
